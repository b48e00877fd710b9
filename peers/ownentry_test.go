package peers

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

// ownEntryState returns the state of a node that reads the entry of its own instance by itself, and whose list may be old.
func ownEntryState(now time.Time) *State {
	s := readingState(now)
	s.reading.ReadOwnEntry = true
	return s
}

// TestOwnEntryDecides guards against a server that is used again after it left, since a list that is seconds old still names
// it as serving, and against one that is given up because such a list does not name it yet.
func TestOwnEntryDecides(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := ownEntryState(now)
	identify(s, now)
	own := listed(ownName, "127.0.0.1:1", serving)
	list := func(members ...*schema.Member) { s.MembersDone(now, ReadMembers{sentAt: now}, members, nil) }
	entry := func(m *schema.Member) { s.OwnEntryDone(now, ReadOwnEntry{Instance: ownName, sentAt: now}, m, nil) }

	list(listed("sheets-9", "127.0.0.1:9", serving))
	checkState(t, s, ownName, serving)
	checkState(t, s, "sheets-9", serving)
	qt.Check(t, s.Snapshot().ListTime().IsZero(), qt.IsTrue)
	entry(listed(ownName, "127.0.0.1:1", leaving))
	checkState(t, s, ownName, leaving)
	list(own)
	checkState(t, s, ownName, leaving)
	entry(own)
	checkState(t, s, ownName, serving)
	qt.Check(t, s.Snapshot().ListTime(), qt.Equals, now)
	s.OwnEntryDone(now, ReadOwnEntry{Instance: "sheets-0", sentAt: now}, nil, nil)
	checkState(t, s, ownName, serving)

	s.OwnEntryDone(now, ReadOwnEntry{Instance: ownName, sentAt: now}, nil, errDown)
	now = now.Add(time.Second)
	entry(nil)
	checkState(t, s, ownName, serving)
	now = now.Add(3 * time.Second)
	entry(nil)
	checkState(t, s, ownName, leaving)
}

// stepReads runs the state for a duration and returns the number of reads of the list and of the own entry. Lists name the
// given instances.
func stepReads(s *State, now *time.Time, d time.Duration, list ...*schema.Member) (lists, entries int) {
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(TickInterval)
		s.Tick(*now)
		for _, e := range s.TakeEffects() {
			switch e := e.(type) {
			case ReadMembers:
				lists++
				s.MembersDone(*now, e, append([]*schema.Member{}, list...), nil)
			case ReadOwnEntry:
				entries++
				s.OwnEntryDone(*now, e, listed(e.Instance, "127.0.0.1:1", serving), nil)
			}
		}
	}
	return lists, entries
}

// listedOthers returns a list that names as many other instances as a node needs to find all.
func listedOthers() []*schema.Member {
	return []*schema.Member{
		listed("sheets-7", "127.0.0.1:7", serving), listed("sheets-8", "127.0.0.1:8", serving), listed("sheets-9", "127.0.0.1:9", serving),
	}
}

// TestDiscovery guards against a node that knows no others for a long time because the first list that it read was older
// than the fleet, and against lists that are read again and again.
func TestDiscovery(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := ownEntryState(now)
	lists, entries := stepReads(s, &now, 2500*time.Millisecond)
	qt.Check(t, lists >= 2 && lists <= 3, qt.IsTrue, qt.Commentf("%d reads", lists))
	qt.Check(t, entries, qt.Equals, 0, qt.Commentf("the instance is not known yet"))
	identify(s, now)
	lists, entries = stepReads(s, &now, 8*time.Second, listedOthers()...)
	qt.Check(t, lists, qt.Equals, 1)
	qt.Check(t, entries, qt.Equals, 1)

	now = now.Add(-10 * time.Second)
	s = ownEntryState(now)
	lists, _ = stepReads(s, &now, 12*time.Second)
	qt.Check(t, lists, qt.Equals, maxDiscoveryReads)
}

// TestOwnEntryRequested guards against reads of the whole list, in a large fleet many pages, where a guard only asks whether
// its own server is leaving.
func TestOwnEntryRequested(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := ownEntryState(now)
	identify(s, now)
	stepReads(s, &now, 2*time.Second, listedOthers()...)
	s.RequestListRead(now)
	lists, entries := stepReads(s, &now, time.Second, listedOthers()...)
	qt.Check(t, lists, qt.Equals, 0)
	qt.Check(t, entries, qt.Equals, 1)
}

// TestOwnEntryAfterOutage guards against a server that goes on working after its entry was removed, since the node takes the
// entry as lapsed in an outage of the platform that it has outlived, and against one that stops because its entry lapsed.
func TestOwnEntryAfterOutage(t *testing.T) {
	const (
		present = "present"
		absent  = "absent"
		fails   = "fails"
		// failsLate is the failure of a read that began before the last successful one.
		failsLate = "fails late"
		wait      = "wait"
	)
	for _, c := range []struct {
		name  string
		steps []string
		want  schema.InstanceState
		// listed reports whether the list says anything about the instance.
		listed bool
	}{
		{"removed", []string{present, absent}, leaving, true},
		{"lapsed in an outage", []string{present, fails, absent}, serving, false},
		{"lapsed in an outage, back", []string{present, fails, absent, present}, serving, true},
		{"still missing after the grace", []string{present, fails, absent, wait, absent}, leaving, true},
		{"removed after an outage", []string{present, fails, present, absent}, leaving, true},
		{"removed after an outage, old read fails", []string{present, fails, present, failsLate, absent}, leaving, true},
		{"removed while an old read fails", []string{present, failsLate, absent}, leaving, true},
		{"lapsed in a second outage", []string{present, fails, present, fails, absent}, serving, false},
		{"removed, back", []string{present, fails, present, absent, present}, serving, true},
		{"away", []string{present, fails}, serving, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			s := ownEntryState(now)
			identify(s, now)
			for _, step := range c.steps {
				read := ReadOwnEntry{Instance: ownName, sentAt: now.Add(10 * time.Millisecond)}
				now = now.Add(50 * time.Millisecond)
				switch step {
				case present:
					s.OwnEntryDone(now, read, listed(ownName, "127.0.0.1:1", serving), nil)
				case absent:
					s.OwnEntryDone(now, read, nil, nil)
				case fails:
					s.OwnEntryDone(now, read, nil, errDown)
				case failsLate:
					s.MembersDone(now, ReadMembers{sentAt: now.Add(-time.Second)}, nil, errDown)
				case wait:
					now = now.Add(s.reading.OutageGrace)
				}
			}
			checkState(t, s, ownName, c.want)
			qt.Check(t, !s.Snapshot().ListTime().IsZero(), qt.Equals, c.listed)
		})
	}
}

// TestMissingEntryReadAgain guards against a server that stays out of use for a long time because its entry was gone or
// unreadable for a moment, and against reads without end of an entry that stays away.
func TestMissingEntryReadAgain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := ownEntryState(now)
	identify(s, now)
	present, reads := false, 0
	step := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickInterval)
			s.Tick(now)
			for _, e := range s.TakeEffects() {
				switch e := e.(type) {
				case ReadMembers:
					s.MembersDone(now, e, listedOthers(), nil)
				case ReadOwnEntry:
					reads++
					var entry *schema.Member
					if present {
						entry = listed(ownName, "127.0.0.1:1", serving)
					}
					s.OwnEntryDone(now, e, entry, nil)
				}
			}
		}
	}
	step(2 * time.Second)
	checkState(t, s, ownName, leaving)
	present = true
	step(1500 * time.Millisecond)
	checkState(t, s, ownName, serving)
	present = false
	s.RequestListRead(now)
	step(time.Second)
	checkState(t, s, ownName, leaving)
	reads = 0
	step(12 * time.Second)
	qt.Check(t, reads >= 3 && reads <= 6, qt.IsTrue, qt.Commentf("%d reads", reads))
}

// TestOwnEntryWatch guards against a change of the own entry that is noticed only at the next regular read, and against a watch
// that costs more calls than the reads in whose place it is.
func TestOwnEntryWatch(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := ownEntryState(now)
	s.reading.OwnEntryWait = 25 * time.Second
	identify(s, now)
	serving, leaving := listed(ownName, "127.0.0.1:1", serving), listed(ownName, "127.0.0.1:1", leaving)
	var watch *WatchOwnEntry
	reads, watches := 0, 0
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickInterval)
			s.Tick(now)
			for _, e := range s.TakeEffects() {
				switch e := e.(type) {
				case ReadMembers:
					s.MembersDone(now, e, listedOthers(), nil)
				case ReadOwnEntry:
					reads++
					s.OwnEntryDone(now, e, serving, nil)
				case WatchOwnEntry:
					watches++
					watch = &e
				}
			}
			if watch != nil && now.Sub(watch.sentAt) >= watch.Wait {
				done := *watch
				watch = nil
				s.OwnEntryWatched(now, done, serving, nil)
			}
		}
	}
	run(2 * time.Minute)
	qt.Check(t, reads, qt.Equals, 1)
	qt.Check(t, watches, qt.Equals, 5)
	qt.Assert(t, watch, qt.IsNotNil)
	s.OwnEntryWatched(now, *watch, leaving, nil)
	checkState(t, s, ownName, leaving.GetState())

	// The answer to a watch that is older than a read says nothing.
	s.OwnEntryDone(now.Add(time.Second), ReadOwnEntry{Instance: ownName, sentAt: now.Add(time.Second)}, serving, nil)
	s.OwnEntryWatched(now.Add(time.Second), *watch, leaving, nil)
	checkState(t, s, ownName, serving.GetState())

	for i := range maxWatchingFleet {
		s.table.getOrAdd(fmt.Sprint("other-", i), now)
	}
	qt.Check(t, s.ownWatchDue(now.Add(time.Minute)), qt.IsFalse, qt.Commentf("in a large fleet"))
}
