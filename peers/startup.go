package peers

import (
	"slices"
	"time"
)

// startHold is the longest time for which a new process holds back a document that lists customers. It covers the first
// exchanges with other nodes and the transfer of a document; without any answer by then, an old document is better than none.
const startHold = time.Second

// heldBack reports whether the accepted document must not be published yet. The first copy that a new process gets may be an
// old one, from a platform that serves stale data or from a node that was cut off, and list a key that was revoked meanwhile.
// The process therefore waits until other nodes have told which revision they have, also if it has read the platform itself: the
// platform may have been restored from a backup. A document without customers is not held back, and no document once one was
// published.
func (s *State) heldBack(now time.Time) bool {
	switch {
	case s.accepted == nil, s.published, len(s.accepted.document.GetCustomers()) == 0, now.Sub(s.startedAt) >= startHold:
		return false
	case s.pull != nil:
		return true
	}
	return len(s.startSources) < s.startAnswersNeeded()
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
