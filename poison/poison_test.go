package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"verbenareel/poison"
	"verbenareel/schema"
)

const (
	ttl      = 5 * time.Minute
	capacity = 16
)

var start = time.Unix(1000, 0)

// syncTables merges the records of each table into all others until nothing changes.
func syncTables(now time.Time, tables ...*poison.Table) {
	for changed := true; changed; {
		changed = false
		for _, from := range tables {
			for _, to := range tables {
				changed = len(to.Merge(now, from.Records(now, 1000))) > 0 || changed
			}
		}
	}
}

// assertCrashes checks the crash count of fingerprint 1 in each table.
func assertCrashes(c *qt.C, now time.Time, want int, tables ...*poison.Table) {
	c.Helper()
	for _, t := range tables {
		c.Assert(t.Crashes(now, 1), qt.Equals, want)
	}
}

// TestMergeConverges guards against tables that disagree after messages were delayed, duplicated and reordered, and
// against crashes that are counted twice or lost.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawInt := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		const fingerprints = 4
		tables := []*poison.Table{poison.New(capacity, ttl), poison.New(capacity, ttl), poison.New(capacity, ttl)}
		now := start
		var messages [][]*schema.Suspect
		var crashes, clears [fingerprints]int
		for range 40 {
			now = now.Add(time.Duration(drawInt("milliseconds", 3)) * time.Millisecond)
			table, fingerprint := tables[drawInt("table", len(tables))], drawInt("fingerprint", fingerprints)
			switch drawInt("action", 8) {
			case 0:
				if crashes[fingerprint] < 3 {
					crashes[fingerprint]++
					table.Record(now, []uint64{uint64(fingerprint), uint64(fingerprint)}, true)
				}
			case 1:
				clears[fingerprint]++
				table.Clear(now, uint64(fingerprint))
			case 2, 3:
				messages = append(messages, table.Records(now, 1+drawInt("limit", 20)))
			default:
				if len(messages) > 0 {
					table.Merge(now, messages[drawInt("message", len(messages))])
				}
			}
		}
		syncTables(now, tables...)
		for f := range fingerprints {
			count := tables[0].Crashes(now, uint64(f))
			for _, other := range tables[1:] {
				if other.Crashes(now, uint64(f)) != count {
					t.Fatalf("tables count %d and %d", count, other.Crashes(now, uint64(f)))
				}
			}
			if count > crashes[f] || (clears[f] == 0 && count != crashes[f]) {
				t.Fatalf("table counts %d of %d crashes after %d clears", count, crashes[f], clears[f])
			}
		}
	})
}

// TestClear guards against a clear that an older record undoes, that also removes a later crash, or that readmits a
// refused request.
func TestClear(t *testing.T) {
	c := qt.New(t)
	a, b := poison.New(capacity, ttl), poison.New(capacity, ttl)
	now := start
	a.Record(now, []uint64{1}, true)
	old := a.Records(now, 10)
	syncTables(now, a, b)
	b.Clear(now, 1)
	b.Merge(now, old)
	syncTables(now, a, b)
	assertCrashes(c, now, 0, a, b)

	a.Record(now, []uint64{1}, true)
	syncTables(now, a, b)
	assertCrashes(c, now, 1, a, b)
	b.Record(now, []uint64{1}, true)
	syncTables(now, a, b)
	assertCrashes(c, now, poison.RefusalThreshold, a, b)
	a.Clear(now, 1)
	syncTables(now, a, b)
	assertCrashes(c, now, poison.RefusalThreshold, a, b)
	assertCrashes(c, now.Add(ttl), 0, a, b)
}

// TestClearOutlivesCopies guards against a clear that expires before every copy of the crash has expired.
func TestClearOutlivesCopies(t *testing.T) {
	c := qt.New(t)
	origin, remote, late := poison.New(capacity, ttl), poison.New(capacity, ttl), poison.New(capacity, ttl)
	origin.Record(start, []uint64{1}, true)
	copied := origin.Records(start, 10)
	remote.Merge(start, copied)
	now := start.Add(ttl / 2)
	remote.Clear(now, 1)
	late.Merge(now, copied)
	now = now.Add(ttl * 3 / 4)
	assertCrashes(c, now, 1, late)
	syncTables(now, remote, late)
	assertCrashes(c, now, 0, remote, late)
}

// TestExpiryEnds guards against a record that circulates forever between tables that drop and relearn it.
func TestExpiryEnds(t *testing.T) {
	c := qt.New(t)
	a, b := poison.New(capacity, ttl), poison.New(capacity, ttl)
	now := start
	a.Record(now, []uint64{1}, true)
	for range 2 * 64 {
		message := a.Records(now, 10)
		now = now.Add(ttl)
		b.Merge(now, message)
		a, b = b, a
	}
	assertCrashes(c, now, 0, a, b)
	c.Assert(a.Records(now, 10), qt.HasLen, 0)
}

// TestBound guards against a flood of suspects that exceeds the capacity of the table or evicts a refused fingerprint.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, other := poison.New(capacity, ttl), poison.New(10*capacity, ttl)
		now := start
		for range poison.RefusalThreshold {
			table.Record(now, []uint64{1}, true)
		}
		for i := range uint64(10) {
			now = now.Add(time.Second)
			flood := rapid.SliceOfN(rapid.Uint64Range(1000*i+2, 1000*i+1000), 1, 100)
			if rapid.Bool().Draw(t, "local") {
				table.Record(now, flood.Draw(t, "fingerprints"), true)
			} else {
				other.Record(now, flood.Draw(t, "fingerprints"), true)
				changed := table.Merge(now, other.Records(now, 1000))
				if len(table.Merge(now, changed)) > 0 {
					t.Fatalf("Merge returned records that it did not keep")
				}
			}
			if table.Len() > capacity || table.Crashes(now, 1) != poison.RefusalThreshold {
				t.Fatalf("table has %d entries and counts %d crashes of the refused fingerprint", table.Len(), table.Crashes(now, 1))
			}
		}
		newest := uint64(10_001)
		table.Record(now.Add(time.Second), []uint64{newest}, true)
		if table.Crashes(now.Add(time.Second), newest) == 0 {
			t.Fatalf("the newest suspect was evicted before older ones")
		}
	})
}

// TestRecordsRotate guards against refused fingerprints that keep a new suspect from being sent, and against records
// that are never included in small messages.
func TestRecordsRotate(t *testing.T) {
	c := qt.New(t)
	from, to := poison.New(200, ttl), poison.New(200, ttl)
	for f := range uint64(100) {
		from.Record(start, []uint64{f + 100}, true)
		from.Record(start, []uint64{f + 100}, true)
	}
	now := start.Add(time.Second)
	from.Record(now, []uint64{1}, true)
	c.Assert(from.Records(now, 0), qt.HasLen, 0)
	c.Assert(from.Records(now, 1)[0].GetFingerprint(), qt.Equals, uint64(1))
	for range 100 {
		message := from.Records(now, 16)
		c.Assert(len(message) <= 16, qt.IsTrue)
		to.Merge(now, message)
	}
	for f := range uint64(100) {
		c.Assert(to.Crashes(now, f+100), qt.Equals, poison.RefusalThreshold)
	}
}

// TestConcurrent guards against unsynchronized access, which the race detector reports.
func TestConcurrent(t *testing.T) {
	table := poison.New(capacity, ttl)
	var group conc.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for f := range uint64(50) {
				table.Record(start, []uint64{f}, true)
				table.Clear(start, f)
				table.Merge(start, table.Records(start, i))
				table.Crashes(start, f)
			}
		})
	}
	group.Wait()
	qt.New(t).Assert(table.Len() <= capacity, qt.IsTrue)
}

// TestSharedCrashes guards against refusing an innocent request that was in flight when another request crashed two
// backend servers, and against accepting one after it crashed a backend server while running alone.
func TestSharedCrashes(t *testing.T) {
	table := poison.New(16, time.Minute)
	for range 10 {
		table.Record(start, []uint64{1, 2}, false)
	}
	qt.Check(t, table.Crashes(start, 1), qt.Equals, 1)
	table.Record(start, []uint64{2}, true)
	qt.Check(t, table.Crashes(start, 2) >= poison.RefusalThreshold, qt.IsTrue)
	other := poison.New(16, time.Minute)
	other.Merge(start, table.Records(start, 64))
	qt.Check(t, other.Crashes(start, 2) >= poison.RefusalThreshold, qt.IsTrue)
	table.Clear(start, 1)
	qt.Check(t, table.Crashes(start, 1), qt.Equals, 0)
}
