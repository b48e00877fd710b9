package peers

import (
	"math"
	"time"
)

const (
	// largeChange is the size in bytes from which a change is left to the nodes that watch the document: while it is transferred to
	// them and their peers, every other node finds that its own document is not confirmed.
	largeChange = 64 << 10
	// newsGrace is the time after which a node reads a large change itself that has not reached it by way of its peers. Nodes are
	// staggered by rank; the first does not wait.
	newsGrace = 2 * time.Second
	// All but the first nodes in rank spread their checks of the document over lateCheckSpread.
	firstCheckers   = 4
	lateCheckSpread = time.Second
)

// news is a change of the document that the node knows of but does not have.
type news struct {
	// revision is the one in force when the node learned of the change, or 0 without news.
	revision uint64
	// readAt is when the node reads the change itself.
	readAt time.Time
}

// lateCheckDelay returns how much longer than by its stagger a node of a rank waits before it checks the document. If the first
// nodes could not confirm it, a later one is probably on its way.
func (s *State) lateCheckDelay(now time.Time, rank int) time.Duration {
	switch {
	case !s.reading.CheckChanges || rank < firstCheckers || now.Sub(s.lastContact) >= isolationTimeout:
		return 0
	case s.pull != nil:
		return lateCheckSpread
	}
	return lateCheckSpread * time.Duration(rank-firstCheckers+1) / time.Duration(len(s.table.sorted))
}

// pendingNews reports whether the platform is known to hold a later document than the one in force.
func (s *State) pendingNews() bool { return s.news.revision > 0 && s.news.revision == s.Revision() }

// startConfirmRead asks the platform whether the document is current, in addition to a pending watch.
func (s *State) startConfirmRead(now time.Time) {
	if s.reading.CheckChanges && !s.pendingNews() {
		s.startCheck(now, &s.confirmRead, 0)
		return
	}
	s.startRead(now, &s.confirmRead, 0, 0)
}

func (s *State) startCheck(now time.Time, r *readSchedule, recheckID uint64) {
	s.beginRead(now, r)
	s.emit(CheckDocument{
		After: s.knownRevision(), inForce: s.Revision(), sentAt: now, readID: s.lastID, recheckID: recheckID, pauseCount: s.pauseCount,
	})
}

// CheckDone processes the result of a CheckDocument.
func (s *State) CheckDone(now time.Time, sent CheckDocument, changed int, err error) {
	s.detectPause(now)
	s.documentRead.finish(now, sent.readID, err)
	s.confirmRead.finish(now, sent.readID, err)
	s.recordReadResult(now, sent.sentAt, err)
	switch {
	case err != nil:
		s.countRecheckAnswer(sent.recheckID, 0)
	case sent.inForce != s.Revision():
		s.countRecheckAnswer(sent.recheckID, 2)
	case changed == 0:
		s.recordConfirmation(sent.sentAt)
		s.countRecheckAnswer(sent.recheckID, 2)
	case sent.recheckID > 0 && sent.recheckID == s.pauseCount && s.takeToken(now):
		s.startDocumentRead(now, 0, sent.recheckID)
	default:
		s.countRecheckAnswer(sent.recheckID, 0)
		s.recordNews(now, changed)
	}
	s.finishRecheck()
}

// recordNews records that the platform holds a later document. A small one is read at once.
func (s *State) recordNews(now time.Time, size int) {
	wait := time.Duration(0)
	if size >= largeChange && now.Sub(s.lastContact) < isolationTimeout {
		wait = scale(newsGrace, 1-math.Pow(staggerShare, float64(s.currentReaderRole(now).fleetRank)))
	}
	s.news = news{revision: s.Revision(), readAt: now.Add(wait)}
	if wait == 0 && s.takeToken(now) {
		s.startRead(now, &s.confirmRead, 0, 0)
	}
}

// newsReadDue reports whether the node must read a change of which it knows. While a peer transfers it, the node waits.
func (s *State) newsReadDue(now time.Time) bool {
	pulling := s.pull != nil && now.Sub(s.pull.startedAt) < newsGrace
	return !now.Before(s.news.readAt) && !pulling && !now.Before(s.confirmRead.backoff())
}
