package peers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

// checkingState returns the state of a node that is not the first in rank to confirm the document.
func checkingState(t testing.TB, now time.Time) *State {
	s := readingState(now)
	s.reading.CheckChanges = true
	for i := range 20 {
		r := nodeRecord(i)
		r.SetState(schema.InstanceState_INSTANCE_STATE_SERVING)
		s.table.merge(r, now, false)
	}
	s.confirmedAt, s.lastContact = now, now
	qt.Assert(t, s.currentReaderRole(now).fleetRank > 0, qt.IsTrue)
	return s
}

// advance ticks a state in contact with peers, and returns the reads of the document that it began beside a watch.
func advance(s *State, now time.Time, d time.Duration) (later time.Time, reads int) {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(TickInterval)
		s.lastContact = now
		s.Tick(now)
		for _, e := range taken[ReadDocument](s) {
			if e.Wait == 0 {
				reads++
			}
		}
	}
	return now, reads
}

// TestLargeChangeReadByAll guards against a large configuration that each node of a fleet reads by itself, while it is on its way to
// the nodes that watch it: the reads take the links from callers and from the transfer.
func TestLargeChangeReadByAll(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	learn := func(s *State, size int) {
		s.CheckDone(start, CheckDocument{inForce: s.Revision(), sentAt: start, readID: s.confirmRead.pendingID}, size, nil)
	}
	t.Run("small", func(t *testing.T) {
		s := checkingState(t, start)
		learn(s, largeChange-1)
		qt.Check(t, taken[ReadDocument](s), qt.HasLen, 1)
	})
	t.Run("large", func(t *testing.T) {
		s := checkingState(t, start)
		learn(s, largeChange)
		now, reads := advance(s, start, newsGrace/2-TickInterval)
		qt.Check(t, reads, qt.Equals, 0)
		_, reads = advance(s, now, newsGrace)
		qt.Check(t, reads, qt.Equals, 1)
	})
	t.Run("large, from a peer", func(t *testing.T) {
		s := checkingState(t, start)
		learn(s, largeChange)
		s.applyDocument(start, 2, testDocument(2, 3), start)
		_, reads := advance(s, start, 2*newsGrace)
		qt.Check(t, reads, qt.Equals, 0)
	})
	t.Run("large, without peers", func(t *testing.T) {
		s := checkingState(t, start)
		s.lastContact = start.Add(-isolationTimeout)
		learn(s, largeChange)
		qt.Check(t, taken[ReadDocument](s), qt.HasLen, 1)
	})
}

// TestChangeWithoutDocument guards against reads without end after a change that brings no document to apply: the same text was written
// again, or the text is invalid.
func TestChangeWithoutDocument(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for name, text := range map[string][]byte{"same text": nil, "invalid text": []byte("no document")} {
		t.Run(name, func(t *testing.T) {
			s := checkingState(t, start)
			reads, written := 0, uint64(2)
			for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(TickInterval) {
				s.lastContact = now
				s.Tick(now)
				for _, e := range s.TakeEffects() {
					switch e := e.(type) {
					case CheckDocument:
						changed := 0
						if reads == 0 || e.After < written && text != nil {
							changed = 1
						}
						s.CheckDone(now, e, changed, nil)
					case ReadDocument:
						if e.Wait > 0 {
							continue
						}
						reads++
						if e.After >= written || text == nil {
							s.DocumentDone(now, e, e.After, nil, nil)
							continue
						}
						s.DocumentDone(now, e, written, text, nil)
					}
				}
			}
			qt.Check(t, reads, qt.Equals, 1)
		})
	}
}

// TestChecksWhileChangeSpreads guards against a check of each node of a fleet for each change that takes longer to spread than the
// first nodes in rank wait: the calls count against the platform's limit.
func TestChecksWhileChangeSpreads(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	checks := 0
	const nodes, spread = 80, 1500 * time.Millisecond
	for self := range nodes {
		s := checkingState(t, now)
		s.reading.MaxConfirmationAge = 700 * time.Millisecond
		r := nodeRecord(self)
		s.self.SetInstance(r.GetInstance())
		for i := range nodes {
			other := nodeRecord(i)
			other.SetState(schema.InstanceState_INSTANCE_STATE_SERVING)
			s.table.merge(other, now, false)
		}
		at := now
		for at.Before(now.Add(spread)) {
			at = at.Add(TickInterval)
			s.lastContact = at
			s.Tick(at)
			checks += len(taken[CheckDocument](s))
		}
	}
	qt.Check(t, checks > 0, qt.IsTrue)
	qt.Check(t, checks <= nodes/2, qt.IsTrue, qt.Commentf("%d checks", checks))
}

// TestWideLinksReadFirst guards against a large configuration that enters a failure domain over a thin link while a wide one is there.
func TestWideLinksReadFirst(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const wide, thin = 200, 10
	newFleetState := func(own uint32, others ...uint32) *State {
		s := readingState(now)
		s.self.SetLinkMbps(own)
		for i, link := range others {
			r := nodeRecord(i)
			r.SetDomain(s.self.GetDomain())
			r.SetState(schema.InstanceState_INSTANCE_STATE_SERVING)
			r.SetLinkMbps(link)
			s.table.merge(r, now, false)
		}
		return s
	}
	for epoch := range 20 {
		at := now.Add(time.Duration(epoch) * epochLength)
		qt.Check(t, newFleetState(wide, thin, thin, thin).isReader(at), qt.IsTrue)
		qt.Check(t, newFleetState(thin, thin, wide, thin).isReader(at), qt.IsFalse)
		qt.Check(t, newFleetState(thin, wide).currentReaderRole(at).fleetRank, qt.Equals, 1)
	}
	turns := 0
	for epoch := range 40 {
		if newFleetState(wide, wide+1, thin).isReader(now.Add(time.Duration(epoch) * epochLength)) {
			turns++
		}
	}
	qt.Check(t, turns > 5 && turns < 35, qt.IsTrue, qt.Commentf("%d of 40 turns", turns))
}
