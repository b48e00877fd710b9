package peers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

// anyDocument accepts every text.
func anyDocument([]byte) (*schema.Document, error) { return &schema.Document{}, nil }

// pullingState returns a state with an accepted version, or none for a nil text.
func pullingState(now time.Time, revision uint64, text []byte) *State {
	s := readingState(now)
	s.reading.Parse = anyDocument
	s.accepted = nil
	if text != nil {
		s.applyDocument(now, revision, text, now)
	}
	s.TakeEffects()
	return s
}

// announce passes the digest of one state to another one.
func announce(now time.Time, from, to *State, address string) {
	revision, manifest, confirmed := from.Digest(now)
	to.HandleDigest(now, address, revision, manifest, confirmed)
}

// completePull performs the pull of a state from a source until it ends.
func completePull(now time.Time, source, to *State) {
	for to.pull != nil {
		for _, e := range to.TakeEffects() {
			switch e := e.(type) {
			case FetchManifest:
				to.ManifestDone(now, e, source.HandleManifest(now, e.Request), nil)
			case FetchSections:
				to.SectionsDone(now, e, source.HandleSections(now, e.Request), nil)
			}
		}
	}
}

// fetchOnce performs one request for blocks of a pull.
func fetchOnce(now time.Time, source, to *State) {
	for _, e := range taken[FetchManifest](to) {
		to.ManifestDone(now, e, source.HandleManifest(now, e.Request), nil)
	}
	for _, e := range taken[FetchSections](to) {
		to.SectionsDone(now, e, source.HandleSections(now, e.Request), nil)
	}
}

// TestBlocksOfBrokenPull guards against a transfer that starts from nothing after a failure, or when a later revision is announced: on a
// thin link, or in a series of changes, it would never end.
func TestBlocksOfBrokenPull(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	text, next := routesText(1<<20, 1, 1), routesText(1<<20, 2, 1)
	source := pullingState(now, 5, text)
	total := uint64(len(source.accepted.blocks))
	const changed = 4
	t.Run("failure", func(t *testing.T) {
		s := pullingState(now, 0, nil)
		announce(now, source, s, "127.0.0.1:5")
		fetchOnce(now, source, s)
		for _, e := range taken[FetchSections](s) {
			s.SectionsDone(now, e, nil, errUnreachable)
		}
		qt.Assert(t, s.pull, qt.IsNil)
		announce(now, source, s, "127.0.0.1:5")
		completePull(now, source, s)
		qt.Check(t, s.counters.BlocksReceived, qt.Equals, total)
		qt.Check(t, string(s.accepted.text()), qt.Equals, string(text))
	})
	t.Run("later revision", func(t *testing.T) {
		s, later := pullingState(now, 0, nil), pullingState(now, 6, next)
		announce(now, source, s, "127.0.0.1:5")
		fetchOnce(now, source, s)
		late := taken[FetchSections](s)
		announce(now, later, s, "127.0.0.1:6")
		s.SectionsDone(now, late[0], source.HandleSections(now, late[0].Request), nil)
		completePull(now, later, s)
		qt.Check(t, s.counters.BlocksReceived <= total+changed, qt.IsTrue)
		qt.Check(t, s.Revision(), qt.Equals, uint64(6))
		qt.Check(t, len(s.received.blocks), qt.Equals, 0)
	})
}

// TestSourceWithLaterRevision guards against a peer that answers nothing about the revision that it announced, since it has accepted a
// later one.
func TestSourceWithLaterRevision(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	source := pullingState(now, 5, routesText(1<<20, 1, 1))
	for name, before := range map[string]func(*State){
		"before the manifest": func(*State) {},
		"between blocks":      func(s *State) { fetchOnce(now, source, s) },
	} {
		t.Run(name, func(t *testing.T) {
			s, later := pullingState(now, 0, nil), pullingState(now, 6, routesText(1<<20, 2, 9))
			announce(now, source, s, "127.0.0.1:5")
			before(s)
			completePull(now, later, s)
			qt.Check(t, s.Revision(), qt.Equals, uint64(6))
			qt.Check(t, s.counters.PullsFailed, qt.Equals, uint64(0))
			qt.Check(t, now.Sub(s.confirmedAt) <= time.Millisecond, qt.IsTrue)
		})
	}
}

// TestBlocksWithoutCompression guards against an upgrade in which nodes with and without compressed replies don't understand each other.
func TestBlocksWithoutCompression(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	source := pullingState(now, 5, routesText(512<<10, 1, 1))
	reply := source.HandleSections(now, schema.SectionsRequest_builder{Sections: source.accepted.hashes}.Build())
	qt.Check(t, reply.GetSections(), qt.HasLen, len(source.accepted.hashes))
	blocks, err := source.compressor.decompress(reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, blocks, qt.HasLen, len(source.accepted.hashes))
}

// TestTextAboveLimit guards against a text that the nodes that read the platform accept, and those that pull it cannot have.
func TestTextAboveLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := pullingState(now, 5, routesText(64<<10, 1, 1))
	s.applyDocument(now, 6, routesText(maxText+1<<10, 1, 1), now)
	qt.Check(t, s.Revision(), qt.Equals, uint64(5))
	qt.Check(t, s.rejected.faults, qt.ErrorIs, errTextTooLarge)
	s.applyDocument(now, 7, routesText(maxText-1<<10, 1, 1), now)
	qt.Check(t, s.Revision(), qt.Equals, uint64(7))
}

// TestReplyWithoutBlocks guards against a reply that lacks blocks and is sent again once the node has them.
func TestReplyWithoutBlocks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	text := routesText(64<<10, 1, 1)
	source := pullingState(now, 5, routesText(64<<10, 1, 2))
	request := schema.SectionsRequest_builder{Sections: newDocumentVersion(6, text).hashes, Compressed: true}.Build()
	for _, complete := range []bool{false, true} {
		blocks, err := source.compressor.decompress(source.HandleSections(now, request))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(blocks[0]) > 0, qt.Equals, complete)
		source.applyDocument(now, 6, text, now)
	}
}

// TestFalseBlocks guards against a reply that ends a node or brings it a document that nobody published.
func TestFalseBlocks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	source := pullingState(now, 5, routesText(64<<10, 1, 1))
	for name, reply := range map[string]*schema.SectionsReply{
		"no frame":    schema.SectionsReply_builder{Compressed: []byte("x")}.Build(),
		"other bytes": schema.SectionsReply_builder{Sections: [][]byte{[]byte("x")}}.Build(),
		"nothing":     {},
	} {
		t.Run(name, func(t *testing.T) {
			s := pullingState(now, 0, nil)
			announce(now, source, s, "127.0.0.1:5")
			for s.pull != nil {
				for _, e := range s.TakeEffects() {
					switch e := e.(type) {
					case FetchManifest:
						s.ManifestDone(now, e, source.HandleManifest(now, e.Request), nil)
					case FetchSections:
						s.SectionsDone(now, e, reply, nil)
					}
				}
			}
			qt.Check(t, s.Revision(), qt.Equals, uint64(0))
			qt.Check(t, s.received.size, qt.Equals, 0)
		})
	}
}
