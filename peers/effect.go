package peers

import (
	"time"

	"verbenareel/schema"
)

// Effect is a message that State wants to be sent, or a read of the platform that it wants to be made. Its result is
// given back with the method that each type names.
type Effect interface{ effect() }

// SendSync is answered with State.SyncDone.
type SendSync struct {
	To      string
	Request *schema.SyncRequest
	// at is the time of sending, wake the pause that the message belongs to.
	at   time.Time
	wake uint64
}

// SendBuckets is answered with State.BucketsDone.
type SendBuckets struct {
	To      string
	Request *schema.BucketsRequest
}

// FetchManifest is answered with State.ManifestDone.
type FetchManifest struct {
	To      string
	Request *schema.ManifestRequest
	number  uint64
}

// FetchSections is answered with State.SectionsDone.
type FetchSections struct {
	To      string
	Request *schema.SectionsRequest
	number  uint64
}

// ReadDocument is answered with State.DocumentDone.
type ReadDocument struct {
	After  uint64
	Wait   time.Duration
	at     time.Time
	number uint64
	// wake is the pause that the read belongs to, or 0; wakes is the number of pauses before it.
	wake, wakes uint64
}

// ReadMembers is answered with State.MembersDone.
type ReadMembers struct {
	at     time.Time
	number uint64
}

func (SendSync) effect()      {}
func (SendBuckets) effect()   {}
func (FetchManifest) effect() {}
func (FetchSections) effect() {}
func (ReadDocument) effect()  {}
func (ReadMembers) effect()   {}
