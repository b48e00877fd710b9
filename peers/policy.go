package peers

import (
	"time"

	"verbenareel/config"
	"verbenareel/schema"
)

// ReadPolicy configures how a node reads its platform.
type ReadPolicy struct {
	// Parse returns the document of a text, or an error that describes its faults.
	Parse func(text []byte) (*schema.Document, error)
	// WatchTimeout is how long a watch of the document may stay pending.
	WatchTimeout time.Duration
	// ReadersPerDomain is the number of nodes per failure domain that watch the document, at least 1.
	ReadersPerDomain int
	// MinListInterval is the shortest time between two reads of the list.
	MinListInterval time.Duration
	// ListAuthoritative treats the node's own instance as leaving while the list does not name it. Other nodes learn of this
	// through the instance's announcements and load reports.
	ListAuthoritative bool
	// ReadOwnEntry reads the entry of the node's own instance by itself. The list may then be seconds old: it serves to find
	// other nodes, and says nothing about the node's own instance.
	ReadOwnEntry bool
	// OwnEntryWait is how long a watch of the node's own entry may stay pending. It takes the place of regular reads of the
	// entry; 0 disables it.
	OwnEntryWait time.Duration
	// MaxConfirmationAge is the age of the last confirmation of the document, by the platform or by another node, above which a node
	// reads the document even if a watch is pending: a watch may fail to deliver a change. 0 disables these reads and
	// relies on watches and idle reads.
	MaxConfirmationAge time.Duration
	// CheckChanges makes these reads ask only whether the document has changed. The platform must be a core.ChangeChecker.
	CheckChanges bool
	// Burst is the number of platform calls that may be made at once; 0 means 1.
	Burst float64
	// StartSpread spreads the first reads of processes that start together; 0 disables the spread.
	StartSpread time.Duration
	// OutageGrace is the time after an outage of the platform during which instances that the list no longer names are kept:
	// their entries may have expired during the outage.
	OutageGrace time.Duration
	// Merge, RestoredAt and Settled are those of core.Restorable. They are nil for a platform that is never restored from a backup.
	Merge      func(inForce uint64, accepted []byte, revision uint64, candidate []byte) []byte
	RestoredAt func() time.Time
	Settled    func(revision uint64) bool
	// AskPeers reports whether a new process must hear from its peers before a document that it reads takes effect, since the
	// platform may just have been restored. nil means that it need not.
	AskPeers func() bool
}

// DefaultReadPolicy returns the settings for a platform that speaks this project's own protocol.
func DefaultReadPolicy() ReadPolicy {
	return ReadPolicy{Parse: config.ParseDocument, ReadersPerDomain: readersPerDomain, WatchTimeout: watchTimeout, MinListInterval: minListInterval, StartSpread: startSpread}
}
