package peers

import (
	"time"

	"verbenareel/schema"
)

// Effect is an I/O operation requested by State: a message to a peer or a read of the platform. The result is passed to
// the State method that the type's comment names.
type Effect interface{ effect() }

// SendSync is completed by State.SyncDone.
type SendSync struct {
	To      string
	Request *schema.SyncRequest
	// sentAt is when the message was sent. recheckID identifies the pause whose recheck the message belongs to, or is
	// 0.
	sentAt    time.Time
	recheckID uint64
}

// SendBuckets is completed by State.BucketsDone.
type SendBuckets struct {
	To      string
	Request *schema.BucketsRequest
}

// FetchManifest is completed by State.ManifestDone.
type FetchManifest struct {
	To      string
	Request *schema.ManifestRequest
	sentAt  time.Time
	attempt uint64
}

// FetchSections is completed by State.SectionsDone.
type FetchSections struct {
	To      string
	Request *schema.SectionsRequest
	attempt uint64
}

// ReadDocument is completed by State.DocumentDone.
type ReadDocument struct {
	After  uint64
	Wait   time.Duration
	sentAt time.Time
	readID uint64
	// recheckID identifies the pause whose recheck the read belongs to, or is 0. pauseCount is the number of pauses
	// before the read began.
	recheckID, pauseCount uint64
}

// CheckDocument asks the platform whether its document was changed after a revision. It is completed by State.CheckDone.
type CheckDocument struct {
	// After is the accepted revision, or a later one that was rejected.
	After  uint64
	sentAt time.Time
	readID uint64
	// inForce is the accepted revision.
	inForce uint64
	// recheckID and pauseCount are those of ReadDocument.
	recheckID, pauseCount uint64
}

// ReadMembers is completed by State.MembersDone.
type ReadMembers struct {
	sentAt time.Time
	readID uint64
}

// ReadOwnEntry is completed by State.OwnEntryDone.
type ReadOwnEntry struct {
	Instance string
	sentAt   time.Time
	readID   uint64
}

// WatchOwnEntry asks the platform to answer once the node's own entry changes, or after Wait. It is completed by
// State.OwnEntryWatched.
type WatchOwnEntry struct {
	Instance   string
	Wait       time.Duration
	sentAt     time.Time
	readID     uint64
	pauseCount uint64
}

func (SendSync) effect()      {}
func (SendBuckets) effect()   {}
func (FetchManifest) effect() {}
func (FetchSections) effect() {}
func (ReadDocument) effect()  {}
func (CheckDocument) effect() {}
func (ReadMembers) effect()   {}
func (ReadOwnEntry) effect()  {}
func (WatchOwnEntry) effect() {}
