package peers

import "time"

const (
	// maxHold is how long a new process holds back the first document of the platform while no peer has answered. A peer answers
	// within some milliseconds of its name being known.
	maxHold = 300 * time.Millisecond
	// enoughReplies is the number of peers without a document after which there is likely none.
	enoughReplies = 2
)

// heldDocument is the first document that a new process has read from a platform that may have been restored from a backup.
// Peers may know a later one, with which it must be merged before it takes effect.
type heldDocument struct {
	revision    uint64
	text        []byte
	confirmedAt time.Time
}

// applyRead applies a document that was read from the platform, or holds it back.
func (s *State) applyRead(now time.Time, revision uint64, text []byte, confirmedAt time.Time) {
	if s.accepted != nil || s.reading.AskPeers == nil || !s.reading.AskPeers() || now.Sub(s.startedAt) >= maxHold+s.reading.StartSpread {
		s.applyDocument(now, revision, text, confirmedAt)
		return
	}
	s.held = &heldDocument{revision: revision, text: text, confirmedAt: confirmedAt}
	s.releaseHeld(now)
	s.askPeers(now)
}

// askPeers sends the first sync requests at once while a document is held back.
func (s *State) askPeers(now time.Time) {
	if s.held != nil && s.syncCount == 0 {
		s.nextSync = now
		s.startSync(now)
	}
}

// countStartReply counts the peers that answered without a document before the first document is in force.
func (s *State) countStartReply(now time.Time, revision uint64) {
	if s.accepted != nil {
		return
	}
	if revision == 0 {
		s.startReplies++
	}
	s.releaseHeld(now)
}

// releaseHeld applies the held document once a peer's document is in force, peers have none, there are no peers, or they do not
// answer in time.
func (s *State) releaseHeld(now time.Time) {
	if s.held == nil {
		return
	}
	alone := len(s.table.sorted) <= 1 && len(s.seeds) == 0 && !s.membersRead.endedAt.IsZero() && s.membersRead.failures == 0
	answered := s.pull == nil && s.startReplies >= enoughReplies
	late := now.Sub(s.startedAt) >= maxHold+s.reading.StartSpread
	if s.accepted == nil && !alone && !answered && !late {
		return
	}
	held := s.held
	s.held = nil
	s.applyDocument(now, held.revision, held.text, held.confirmedAt)
}
