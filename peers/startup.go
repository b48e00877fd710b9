package peers

import (
	"slices"
	"time"
)

// startHold is the longest time for which a new process takes its first document for an old one. It covers the first exchanges with
// other nodes and the transfer of a document; without any answer by then, an old document is better than none.
const startHold = time.Second

// heldBack reports whether the accepted document must not be published yet: the first copy that a new process gets may list a key
// that was revoked meanwhile. A document without customers is not held back, and no document once one was published.
func (s *State) heldBack(now time.Time) bool {
	return s.accepted != nil && !s.published && len(s.accepted.document.GetCustomers()) > 0 && s.awaitsPeers(now)
}

// awaitsPeers reports whether a new process has not heard enough yet to take its document for the current one. The first copy that it
// gets may be an old one, from a platform that serves stale data or from a node that was cut off. The process therefore waits until
// other nodes have told which revision they have, also if it has read the platform itself: the platform may have been restored from
// a backup.
func (s *State) awaitsPeers(now time.Time) bool {
	if now.Sub(s.startedAt) >= startHold {
		return false
	}
	return s.pull != nil || len(s.startSources) < s.startAnswersNeeded()
}

// currentAt returns the last time at which the accepted document was known to be the current one, or the zero time if the document
// may lack what was accepted before.
func (s *State) currentAt(now time.Time) time.Time {
	if s.mayBeOldCopy(now) {
		return time.Time{}
	}
	return s.confirmedAt
}

// mayBeOldCopy reports whether the accepted document may be older than what the platform has accepted: a later one is being pulled, or
// the platform may have confirmed an old one. A platform that tells when it is restored from a backup gives no old copies at other
// times, and accepts only valid documents, so one that this node rejects is in force elsewhere.
func (s *State) mayBeOldCopy(now time.Time) bool {
	switch {
	case s.pull != nil:
		return true
	case s.reading.Settled != nil:
		return !s.reading.Settled(s.Revision()) || s.rejected.revision > s.Revision()
	}
	return s.awaitsPeers(now)
}

// startAnswersNeeded returns the number of other nodes that must have told their revision: initialPeers, or all if there are
// fewer according to the list or to another node.
func (s *State) startAnswersNeeded() int {
	listed := !s.membersRead.endedAt.IsZero() && s.membersRead.failures == 0
	if !listed && !s.fullSyncDone {
		return initialPeers
	}
	others := len(s.table.sorted) - 1
	for _, seed := range s.seeds {
		if s.table.byAddress[seed] == nil {
			others++
		}
	}
	return min(initialPeers, others)
}

// recordStartAnswer records that the node at an address told its revision, if it has any.
func (s *State) recordStartAnswer(from string, revision uint64) {
	if revision > 0 && len(s.startSources) < initialPeers && !slices.Contains(s.startSources, from) {
		s.startSources = append(s.startSources, from)
	}
}
