package peers

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

// restorableState returns a state whose platform may be restored, at the time to which restored points. Of two texts, the one that
// is greater in bytes holds.
func restorableState(now time.Time, restored *time.Time) *State {
	s := ownEntryState(now)
	s.reading.RestoredAt = func() time.Time { return *restored }
	s.reading.Merge = func(_ uint64, accepted []byte, _ uint64, candidate []byte) []byte {
		if bytes.Compare(accepted, candidate) > 0 {
			return accepted
		}
		return candidate
	}
	return s
}

// TestRestoredOwnEntry guards against a server that gets no more work because the backup does not have its entry yet, and
// against a health check that is overruled by an entry of the backup.
func TestRestoredOwnEntry(t *testing.T) {
	now, restored := time.Unix(1_700_000_000, 0), time.Time{}
	s := restorableState(now, &restored)
	identify(s, now)
	own := listed(ownName, "127.0.0.1:1", serving)
	entry := func(m *schema.Member) { s.OwnEntryDone(now, ReadOwnEntry{Instance: ownName, sentAt: now}, m, nil) }
	entry(own)
	qt.Check(t, s.Snapshot().ListTime(), qt.Equals, now)

	now = now.Add(time.Second)
	restored = now
	entry(nil)
	checkState(t, s, ownName, serving)
	qt.Check(t, s.counters.PlatformRestores, qt.Equals, uint64(1))
	qt.Check(t, s.listRequestedAt, qt.Equals, now)
	now = now.Add(time.Second)
	entry(own)
	checkState(t, s, ownName, serving)
	qt.Check(t, s.Snapshot().ListTime().IsZero(), qt.IsTrue)
	entry(listed(ownName, "127.0.0.1:1", leaving))
	checkState(t, s, ownName, leaving)
	now = now.Add(3 * time.Second)
	entry(own)
	qt.Check(t, s.Snapshot().ListTime(), qt.Equals, now)
	now = now.Add(time.Second)
	entry(nil)
	checkState(t, s, ownName, leaving)
	qt.Check(t, s.counters.PlatformRestores, qt.Equals, uint64(1))
}

// TestRestoredList guards against servers that are forgotten because the backup does not name them yet.
func TestRestoredList(t *testing.T) {
	now, restored := time.Unix(1_700_000_000, 0), time.Time{}
	s := restorableState(now, &restored)
	list := func(members ...*schema.Member) { s.MembersDone(now, ReadMembers{sentAt: now}, members, nil) }
	list(listed("sheets-9", "127.0.0.1:9", serving))
	restored = now
	list()
	checkState(t, s, "sheets-9", serving)
	now = now.Add(3 * time.Second)
	list()
	qt.Check(t, s.Snapshot().Instance("sheets-9"), qt.IsNil)
}

// TestMergedDocuments guards against nodes that keep different texts under one revision, and against pulls without end between
// them.
func TestMergedDocuments(t *testing.T) {
	now, restored := time.Unix(1_700_000_000, 0), time.Time{}
	x, y := restorableState(now, &restored), restorableState(now, &restored)
	low, high := testDocument(2, 3), testDocument(3, 3)
	if bytes.Compare(low, high) > 0 {
		low, high = high, low
	}
	x.applyDocument(now, 7, high, now)
	y.applyDocument(now, 8, low, now)
	for range 3 {
		offerTo(now, y, x)
		offerTo(now, x, y)
	}
	qt.Check(t, x.Revision(), qt.Equals, uint64(8))
	qt.Check(t, y.Revision(), qt.Equals, uint64(8))
	qt.Check(t, string(x.accepted.text()), qt.Equals, string(high))
	qt.Check(t, string(y.accepted.text()), qt.Equals, string(high))
	pulls := x.counters.Pulls + y.counters.Pulls
	offerTo(now, y, x)
	offerTo(now, x, y)
	qt.Check(t, x.counters.Pulls+y.counters.Pulls, qt.Equals, pulls)
	x.applyDocument(now, 9, low, now)
	qt.Check(t, x.Revision(), qt.Equals, uint64(9))
	qt.Check(t, string(x.accepted.text()), qt.Equals, string(high))
}

// offerTo passes the digest of one state to another one and performs the pull that follows.
func offerTo(now time.Time, from, to *State) {
	revision, manifest, confirmed := from.Digest(now)
	to.TakeEffects()
	to.HandleDigest(now, "127.0.0.1:5", revision, manifest, confirmed)
	for _, e := range taken[FetchManifest](to) {
		to.ManifestDone(now, e, from.HandleManifest(now, e.Request), nil)
	}
	for _, e := range taken[FetchSections](to) {
		to.SectionsDone(now, e, from.HandleSections(now, e.Request), nil)
	}
}

// TestUnsettledDocument guards against a request that is refused for good by a document from a backup, which may lack what the platform
// had accepted before. Nodes confirm the document to each other as before.
func TestUnsettledDocument(t *testing.T) {
	now, restored := time.Unix(1_700_000_000, 0), time.Time{}
	s := restorableState(now.Add(-time.Minute), &restored)
	const settledFrom = 100
	s.reading.Settled = func(revision uint64) bool { return revision >= settledFrom }
	read := func(revision uint64) {
		now = now.Add(time.Second)
		s.DocumentDone(now, ReadDocument{After: s.Revision(), sentAt: now}, revision, testDocument(1, 3), nil)
		qt.Check(t, s.confirmedAt, qt.Equals, now)
	}
	read(settledFrom - 2)
	qt.Check(t, s.currentAt(now).IsZero(), qt.IsTrue)
	read(settledFrom - 1)
	qt.Check(t, s.currentAt(now).IsZero(), qt.IsTrue)
	read(settledFrom)
	qt.Check(t, s.currentAt(now), qt.Equals, now)
}

// TestLaterDocumentKnown guards against a request that is refused for good by a document of which the node knows that a later one
// exists: it is still being pulled, or this node can't read what the platform has accepted.
func TestLaterDocumentKnown(t *testing.T) {
	now, restored := time.Unix(1_700_000_000, 0), time.Time{}
	newState := func() *State {
		s := restorableState(now.Add(-time.Minute), &restored)
		s.reading.Settled = func(uint64) bool { return true }
		s.DocumentDone(now, ReadDocument{sentAt: now}, 7, testDocument(1, 3), nil)
		qt.Assert(t, s.currentAt(now), qt.Equals, now)
		return s
	}
	t.Run("pull", func(t *testing.T) {
		s, later := newState(), newDocumentVersion(8, testDocument(2, 3))
		s.HandleDigest(now, "127.0.0.1:5", later.revision, later.manifest, 1)
		qt.Check(t, s.currentAt(now).IsZero(), qt.IsTrue)
		s.applyDocument(now, later.revision, testDocument(2, 3), now)
		qt.Check(t, s.currentAt(now), qt.Equals, now)
	})
	t.Run("rejected", func(t *testing.T) {
		s := newState()
		s.DocumentDone(now, ReadDocument{After: 7, sentAt: now}, 8, []byte("no document"), nil)
		s.DocumentDone(now, ReadDocument{After: 8, sentAt: now}, 8, nil, nil)
		qt.Check(t, s.currentAt(now).IsZero(), qt.IsTrue)
		s.DocumentDone(now, ReadDocument{After: 8, sentAt: now}, 9, testDocument(2, 3), nil)
		qt.Check(t, s.currentAt(now), qt.Equals, now)
	})
}

// TestHeldDocument guards against a new process that follows a backup until it hears from its peers, and against one that waits for
// peers that there are not.
func TestHeldDocument(t *testing.T) {
	low, high := testDocument(2, 3), testDocument(3, 3)
	if bytes.Compare(low, high) > 0 {
		low, high = high, low
	}
	start := time.Unix(1_700_000_000, 0)
	restored := time.Time{}
	for name, test := range map[string]func(*State){
		"peer knows better": func(s *State) {
			s.MembersDone(start, ReadMembers{sentAt: start}, listedOthers(), nil)
			peer := restorableState(start, &restored)
			peer.applyDocument(start, 5, high, start)
			sent := taken[SendSync](s)
			qt.Assert(t, sent, qt.HasLen, 3)
			qt.Check(t, s.Snapshot(), qt.IsNil)
			s.SyncDone(start, sent[0], peer.HandleSync(start, sent[0].Request), nil)
			fetch := taken[FetchManifest](s)
			qt.Assert(t, fetch, qt.HasLen, 1)
			s.ManifestDone(start, fetch[0], peer.HandleManifest(start, fetch[0].Request), nil)
			for _, e := range taken[FetchSections](s) {
				s.SectionsDone(start, e, peer.HandleSections(start, e.Request), nil)
			}
			qt.Check(t, string(s.accepted.text()), qt.Equals, string(high))
		},
		"alone": func(s *State) { s.MembersDone(start, ReadMembers{sentAt: start}, nil, nil) },
		"peers without a document": func(s *State) {
			s.MembersDone(start, ReadMembers{sentAt: start}, listedOthers(), nil)
			for _, sent := range taken[SendSync](s)[:enoughReplies] {
				qt.Check(t, s.Snapshot(), qt.IsNil)
				s.SyncDone(start, sent, &schema.SyncReply{}, nil)
			}
		},
		"no answer": func(s *State) {
			s.MembersDone(start, ReadMembers{sentAt: start}, listedOthers(), nil)
			s.Tick(start.Add(maxHold / 2))
			qt.Check(t, s.Snapshot(), qt.IsNil)
			s.Tick(start.Add(maxHold))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := restorableState(start, &restored)
			s.reading.StartSpread = 0
			s.accepted = nil
			s.reading.AskPeers = func() bool { return true }
			s.DocumentDone(start, ReadDocument{sentAt: start}, 9, low, nil)
			qt.Check(t, s.Snapshot(), qt.IsNil)
			test(s)
			qt.Assert(t, s.accepted, qt.IsNotNil)
			qt.Check(t, s.Revision(), qt.Equals, uint64(9))
			qt.Check(t, s.held, qt.IsNil)
		})
	}
}
