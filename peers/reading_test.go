package peers

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

const ownName = "sheets-1"

// storeReading returns the settings for a platform whose list is authoritative and that every node reads by itself.
func storeReading() ReadPolicy {
	reading := DefaultReadPolicy()
	reading.WatchTimeout, reading.ReadersPerDomain, reading.MinListInterval = 15*time.Second, 1, 20*time.Second
	reading.ListAuthoritative, reading.MaxConfirmationAge, reading.OutageGrace, reading.Burst = true, time.Second, 2500*time.Millisecond, 2
	return reading
}

// readingState returns the state of a node that reads a platform with an authoritative list.
func readingState(now time.Time) *State {
	record := schema.Member_builder{
		Instance: "node-1", Service: "sheets", Domain: "domain-1", Address: "127.0.0.1:1", Incarnation: 1,
		State: schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE,
	}.Build()
	s := NewState(now, record, true, nil, nil, rand.New(rand.NewPCG(1, 1)))
	s.reading = storeReading()
	s.tokens = 2
	s.applyDocument(now, 1, testDocument(1, 3), now)
	return s
}

func listed(name, address string, state schema.InstanceState) *schema.Member {
	return schema.Member_builder{Instance: name, Service: "sheets", Domain: "domain-1", Address: address, State: state}.Build()
}

// taken drains the pending effects and returns those of one type.
func taken[E Effect](s *State) []E {
	var found []E
	for _, e := range s.TakeEffects() {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func checkState(t testing.TB, s *State, name string, state schema.InstanceState) {
	t.Helper()
	qt.Check(t, s.Snapshot().Instance(name).State().String(), qt.Equals, state.String())
}

const (
	unknown = schema.InstanceState_INSTANCE_STATE_UNSPECIFIED
	serving = schema.InstanceState_INSTANCE_STATE_SERVING
	leaving = schema.InstanceState_INSTANCE_STATE_LEAVING
	gone    = schema.InstanceState_INSTANCE_STATE_GONE
	out     = schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE
)

// identify sets the name of the node's backend server, whose service is known from a record of an earlier process.
func identify(s *State, now time.Time) {
	s.table.merge(earlierRecord(ownName, serving), now, false)
	s.SetInstanceName(now, ownName)
}

// earlierRecord returns a record that an earlier process of the node announced.
func earlierRecord(name string, state schema.InstanceState) *schema.Member {
	return schema.Member_builder{
		Instance: name, Service: "sheets", Domain: "domain-1", Address: "127.0.0.1:1", Incarnation: 9, Version: 9, State: state,
	}.Build()
}

// TestIdentify guards against announcing an instance before its backend server is known, and against keeping the name
// of a backend server that was replaced.
func TestIdentify(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	checkState(t, s, "node-1", out)
	identify(s, now)
	checkState(t, s, ownName, serving)
	checkState(t, s, "node-1", gone)
	s.table.merge(earlierRecord("sheets-2", serving), now, false)
	s.SetInstanceName(now, "sheets-2")
	checkState(t, s, "sheets-2", serving)
	checkState(t, s, ownName, gone)
	before := s.table.changes
	s.SetInstanceName(now, "sheets-2")
	qt.Check(t, s.table.changes, qt.Equals, before)
	s.Announce(now, leaving)
	s.SetInstanceName(now, "sheets-3")
	checkState(t, s, "sheets-3", leaving)
}

// TestServiceUnproven guards against calls to a server of another service that took over the address of the node's server: a
// name that may be of another service is out of service until something shows whose it is.
func TestServiceUnproven(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	foreign := schema.Member_builder{Instance: ownName, Service: "cutting", Domain: "domain-1", Address: "127.0.0.1:1", State: serving}.Build()
	entry := func(m *schema.Member) func(*State) {
		return func(s *State) { s.OwnEntryDone(now, ReadOwnEntry{Instance: ownName, sentAt: now}, m, nil) }
	}
	sync := func(r *schema.Member) func(*State) {
		return func(s *State) {
			s.HandleSync(now, schema.SyncRequest_builder{From: "sheets-5", Members: []*schema.Member{r}}.Build())
		}
	}
	for _, c := range []struct {
		name  string
		shown func(*State)
		want  schema.InstanceState
	}{
		{"nothing is known", func(*State) {}, out},
		{"entry of the service", entry(listed(ownName, "127.0.0.1:1", serving)), serving},
		{"entry of another service", entry(foreign), out},
		{"no entry", entry(nil), leaving},
		{"platform cannot be read", func(s *State) { s.OwnEntryDone(now, ReadOwnEntry{Instance: ownName, sentAt: now}, nil, errDown) }, out},
		{"list names the service", func(s *State) {
			s.MembersDone(now, ReadMembers{sentAt: now}, []*schema.Member{listed(ownName, "127.0.0.1:1", serving)}, nil)
		}, serving},
		{"record of an earlier process", sync(earlierRecord(ownName, serving)), serving},
		{"record of an earlier process that did not know either", sync(earlierRecord(ownName, out)), out},
		{"record of an earlier process that is gone", sync(earlierRecord(ownName, gone)), out},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, before := range []bool{false, true} {
				s := ownEntryState(now)
				if before {
					s.SetInstanceName(now, "sheets-0")
				}
				s.SetInstanceName(now, ownName)
				checkState(t, s, ownName, out)
				c.shown(s)
				checkState(t, s, ownName, c.want)
			}
		})
	}
	t.Run("record of an earlier process meets the new one", func(t *testing.T) {
		peer := ownEntryState(now)
		peer.table.merge(earlierRecord(ownName, serving), now, true)
		s := ownEntryState(now)
		s.SetInstanceName(now, ownName)
		peer.HandleSync(now, schema.SyncRequest_builder{From: ownName, Members: []*schema.Member{s.self}}.Build())
		checkState(t, peer, ownName, serving)
		sync(peer.table.byName[ownName].record)(s)
		checkState(t, s, ownName, serving)
	})
	t.Run("entry of another service comes later", func(t *testing.T) {
		s := ownEntryState(now)
		identify(s, now)
		entry(foreign)(s)
		checkState(t, s, ownName, out)
		other := earlierRecord("sheets-7", serving)
		s.table.merge(other, now, false)
		checkState(t, s, "sheets-7", serving)
		s.MembersDone(now, ReadMembers{sentAt: now}, []*schema.Member{schema.Member_builder{
			Instance: "sheets-7", Service: "cutting", Domain: "domain-1", Address: "127.0.0.1:1", State: serving,
		}.Build()}, nil)
		checkState(t, s, "sheets-7", out)
	})
}

// TestFirstProcess guards against a process that takes itself for the first of its instance, and gives a cold server its share
// once more, because its record has replaced that of the earlier process; and against a record whose version stays so low that a
// node behind a partition never accepts it.
func TestFirstProcess(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	meet := func(s, peer *State) {
		hashes := append([]uint64{}, peer.table.bucketHashes[:]...)
		s.repairBuckets("127.0.0.1:9", hashes)
		for _, sent := range taken[SendBuckets](s) {
			s.BucketsDone(now, sent, peer.HandleBuckets(now, sent.Request), nil)
		}
	}
	for _, earlier := range []bool{false, true} {
		peer, s := ownEntryState(now), ownEntryState(now)
		if earlier {
			peer.table.merge(earlierRecord(ownName, serving), now, true)
		}
		s.SetInstanceName(now, ownName)
		s.OwnEntryDone(now, ReadOwnEntry{Instance: ownName, sentAt: now}, listed(ownName, "127.0.0.1:1", serving), nil)
		checkState(t, s, ownName, serving)
		qt.Check(t, s.FirstProcess(), qt.IsFalse, qt.Commentf("no other node was asked"))
		peer.HandleSync(now, schema.SyncRequest_builder{From: ownName, Members: []*schema.Member{s.self}}.Build())
		meet(s, peer)
		qt.Check(t, s.FirstProcess(), qt.Equals, !earlier)
		checkState(t, s, ownName, serving)

		parted := ownEntryState(now)
		stale := earlierRecord(ownName, leaving)
		stale.SetVersion(uint64(now.UnixMilli()) - 1)
		parted.table.merge(stale, now, true)
		later := now.Add(versionRaiseDelay)
		s.Tick(later)
		parted.HandleSync(later, schema.SyncRequest_builder{From: ownName, Members: []*schema.Member{s.self}}.Build())
		checkState(t, parted, ownName, serving)
	}
}

// TestListDecides guards against an instance that keeps working although the platform's list no longer names it, and
// against one that stops working because the platform could not be read.
func TestListDecides(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	identify(s, now)
	checkState(t, s, ownName, serving)
	own := listed(ownName, "127.0.0.1:1", serving)
	other := listed("sheets-9", "127.0.0.1:9", serving)
	read := func(at time.Time, members ...*schema.Member) {
		s.MembersDone(at, ReadMembers{sentAt: at}, members, nil)
	}

	read(now, other)
	checkState(t, s, ownName, leaving)
	read(now, other, own)
	checkState(t, s, ownName, serving)
	read(now, other, listed(ownName, "127.0.0.1:1", leaving))
	checkState(t, s, ownName, leaving)
	read(now, other, own)
	checkState(t, s, ownName, serving)

	s.MembersDone(now, ReadMembers{sentAt: now}, nil, errors.New("down"))
	checkState(t, s, ownName, serving)
	now = now.Add(time.Second)
	read(now)
	checkState(t, s, ownName, serving)
	checkState(t, s, "sheets-9", serving)
	now = now.Add(2 * time.Second)
	read(now)
	checkState(t, s, "sheets-9", serving)
	now = now.Add(time.Second)
	read(now)
	checkState(t, s, ownName, leaving)
	checkState(t, s, "sheets-9", unknown)
}

// TestListedInGrace guards against treating a leaving backend server as serving. A list that was read shortly after an
// outage may lack its entry because the entry expired, so that list must not count as one that names the instance, and
// neither must the one before the outage any longer.
func TestListedInGrace(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	identify(s, now)
	own := listed(ownName, "127.0.0.1:1", serving)
	read := func(members ...*schema.Member) {
		now = now.Add(time.Second)
		s.MembersDone(now, ReadMembers{sentAt: now}, members, nil)
	}
	read(own)
	qt.Check(t, s.Snapshot().ListTime(), qt.Equals, now)
	s.MembersDone(now, ReadMembers{sentAt: now}, nil, errDown)
	read()
	checkState(t, s, ownName, serving)
	qt.Check(t, s.Snapshot().ListTime().IsZero(), qt.IsTrue)
	read(own)
	qt.Check(t, s.Snapshot().ListTime(), qt.Equals, now)
	read()
	read()
	checkState(t, s, ownName, leaving)
	qt.Check(t, s.Snapshot().ListTime(), qt.Equals, now)
}

// TestReusedAddress guards against sending work to the previous instance at a reused address: the list may still name
// it.
func TestReusedAddress(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	old := listed("sheets-8", "127.0.0.1:9", serving)
	s.MembersDone(now, ReadMembers{sentAt: now}, []*schema.Member{old}, nil)
	checkState(t, s, "sheets-8", serving)
	next := schema.Member_builder{
		Instance: "sheets-9", Service: "sheets", Domain: "domain-1", Address: "127.0.0.1:9", Incarnation: 9, Version: 9, State: out,
	}.Build()
	s.mergeRecords(now, []*schema.Member{next}, "sheets-9")
	checkState(t, s, "sheets-8", serving)
	s.mergeRecords(now, []*schema.Member{withState(next, serving)}, "sheets-9")
	next.SetVersion(10)
	next.SetState(serving)
	s.mergeRecords(now, []*schema.Member{next}, "sheets-9")
	checkState(t, s, "sheets-8", gone)
	checkState(t, s, "sheets-9", serving)
}

// TestDeafWatch guards against missing a change while a pending watch delivers nothing, and against reads by every node
// although another node has just confirmed the document.
func TestDeafWatch(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	step := func(d time.Duration) []ReadDocument {
		var reads []ReadDocument
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickInterval)
			s.Tick(now)
			reads = append(reads, taken[ReadDocument](s)...)
		}
		return reads
	}
	reads := step(time.Second)
	qt.Assert(t, reads, qt.HasLen, 1)
	qt.Check(t, reads[0].Wait, qt.Equals, 15*time.Second)
	reads = step(time.Second)
	qt.Assert(t, reads, qt.HasLen, 1)
	qt.Check(t, reads[0].Wait, qt.Equals, time.Duration(0))
	s.DocumentDone(now, reads[0], 2, testDocument(2, 3), nil)
	qt.Check(t, s.Revision(), qt.Equals, uint64(2))

	for range 20 {
		s.HandleDigest(now, "127.0.0.1:2", 2, s.manifest(), 100)
		qt.Assert(t, step(200*time.Millisecond), qt.HasLen, 0)
	}
	qt.Check(t, len(step(2*time.Second)) > 0, qt.IsTrue)
}

// TestRedate guards against fetching and parsing a document again, or never confirming it, if other nodes or the
// platform report the same text under a higher revision.
func TestRedate(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	document := s.accepted.document
	s.TakeEffects()
	now = now.Add(100 * time.Millisecond)
	s.HandleDigest(now, "127.0.0.1:2", 7, s.manifest(), 5)
	qt.Check(t, taken[FetchManifest](s), qt.HasLen, 0)
	qt.Check(t, s.Revision(), qt.Equals, uint64(7))
	qt.Check(t, s.confirmedAt, qt.Equals, now.Add(-5*time.Millisecond))
	s.DocumentDone(now, ReadDocument{After: 7, sentAt: now}, 9, testDocument(1, 3), nil)
	qt.Check(t, s.Revision(), qt.Equals, uint64(9))
	qt.Check(t, s.confirmedAt, qt.Equals, now)
	qt.Check(t, s.accepted.document, qt.Equals, document)
	qt.Check(t, s.counters.Accepted, qt.Equals, uint64(1))
	s.DocumentDone(now, ReadDocument{After: 9, sentAt: now}, 8, testDocument(2, 3), nil)
	qt.Check(t, s.Revision(), qt.Equals, uint64(9))
}

// TestHeard guards against ignoring a higher revision in the digest of another node.
func TestHeard(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	s.TakeEffects()
	s.HandleDigest(now, "127.0.0.1:2", 7, 77, 5)
	fetches := taken[FetchManifest](s)
	qt.Assert(t, fetches, qt.HasLen, 1)
	qt.Check(t, fetches[0].To, qt.Equals, "127.0.0.1:2")
	revision, manifest, confirmed := s.Digest(now.Add(10 * time.Millisecond))
	qt.Check(t, revision, qt.Equals, uint64(1))
	qt.Check(t, manifest, qt.Equals, s.manifest())
	qt.Check(t, confirmed, qt.Equals, uint32(11))
}

// TestWantList guards against delaying a requested read of the list until the next regular one.
func TestWantList(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := readingState(now)
	step := func(d time.Duration) int {
		reads := 0
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickInterval)
			s.Tick(now)
			for _, r := range taken[ReadMembers](s) {
				reads++
				s.MembersDone(now, r, nil, nil)
			}
		}
		return reads
	}
	qt.Check(t, step(2*time.Second), qt.Equals, 1)
	qt.Check(t, step(5*time.Second), qt.Equals, 0)
	s.RequestListRead(now)
	qt.Check(t, step(time.Second), qt.Equals, 1)
}
