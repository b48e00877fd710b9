package core

import "time"

// Restorable is an Adapter whose platform may be restored from a backup: what it says may then be older than what is known.
type Restorable interface {
	// Merge returns the text that takes effect when the text candidate with a revision is offered to a node that has the text
	// accepted in force, with a revision that is lower or equal. What is offered may be older in parts.
	Merge(inForce uint64, accepted []byte, revision uint64, candidate []byte) []byte
	// MayBeRestored reports whether the platform tells when it is restored.
	MayBeRestored() bool
	// RestoredAt returns when the first response after the last restoration arrived, or the zero time.
	RestoredAt() time.Time
	// Settled reports whether the document with a revision has all that was accepted before the platform was last restored.
	Settled(revision uint64) bool
}
