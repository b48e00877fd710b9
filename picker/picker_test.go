package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenareel/core"
	"verbenareel/schema"
)

var start = time.Unix(1000, 0)

func source(seed uint64) Source { return rand.NewPCG(seed, 1).Uint64 }

// newViews returns n views with fresh reports that show half of the limit in flight.
func newViews(n int) ([]core.Candidate, []*View) {
	var candidates []core.Candidate
	var views []*View
	for i := range n {
		member := schema.Member_builder{Instance: fmt.Sprintf("sheets-%d", i), Incarnation: 1}.Build()
		v := NewView(start, core.NewInstance(member, schema.InstanceState_INSTANCE_STATE_SERVING), 0)
		v.SetReport(start, core.LoadReport{InFlight: 9, Limit: 18, Latency: 20 * time.Millisecond})
		candidates = append(candidates, v)
		views = append(views, v)
	}
	baseline := NewBaseline(start, views, 2)
	for _, v := range views {
		v.SetBaseline(baseline)
	}
	return candidates, views
}

func none(int) bool { return false }

func choosers(seed uint64) map[string]core.Chooser {
	return map[string]core.Chooser{
		"expected":          NewExpectedLatency(source(seed)),
		"random":            NewRandom(source(seed)),
		"round robin":       NewRoundRobin(source(seed)),
		"least outstanding": NewLeastOutstanding(source(seed)),
	}
}

// share returns the share of 2000 choices that select the candidate.
func share(chooser core.Chooser, now time.Time, candidates []core.Candidate, index int) float64 {
	count := 0
	for range 2000 {
		if chooser.Choose(now, candidates, none) == index {
			count++
		}
	}
	return float64(count) / 2000
}

// TestExclude guards against choosing an excluded candidate, and against choosing none while one is left.
func TestExclude(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excluded := rapid.SliceOfN(rapid.Bool(), 0, 60).Draw(t, "excluded")
		candidates, views := newViews(len(excluded))
		for _, v := range views {
			v.SetReport(start, core.LoadReport{
				InFlight:    rapid.IntRange(0, 30).Draw(t, "in flight"),
				Limit:       rapid.IntRange(0, 18).Draw(t, "limit"),
				FailureRate: rapid.Float64Range(0, 1).Draw(t, "failures"),
			})
		}
		left := 0
		for _, x := range excluded {
			if !x {
				left++
			}
		}
		for name, chooser := range choosers(rapid.Uint64().Draw(t, "seed")) {
			index := chooser.Choose(start, candidates, func(i int) bool { return excluded[i] })
			if left == 0 && index != -1 || left > 0 && (index < 0 || excluded[index]) {
				t.Fatalf("%s chose %d of %v", name, index, excluded)
			}
		}
	})
}

// TestExpectedLatency guards against sending too many calls to an instance with a bad estimate, and against sending it none.
func TestExpectedLatency(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name     string
		degrade  func(v *View)
		min, max float64
	}{
		{"even", func(*View) {}, 0.12, 0.21},
		{"failing at once", func(v *View) {
			v.SetReport(start, core.LoadReport{Limit: 18, Latency: time.Millisecond, FailureRate: 0.9})
		}, 0.0005, 0.004},
		{"slow by its report", func(v *View) {
			v.SetReport(start, core.LoadReport{InFlight: 2, Limit: 18, Latency: 200 * time.Millisecond})
		}, 0.0005, 0.004},
		{"with a call in flight", func(v *View) { v.Begin(start) }, 0, 0.001},
		{"full", func(v *View) {
			v.SetReport(start, core.LoadReport{InFlight: 18, Queued: 4, Limit: 18, Latency: 20 * time.Millisecond})
		}, 0.0005, 0.004},
		{"remote", func(v *View) { v.Update(v.Instance(), 4*time.Millisecond) }, 0.0005, 0.004},
	} {
		c.Run(test.name, func(c *qt.C) {
			candidates, views := newViews(6)
			test.degrade(views[2])
			got := share(NewExpectedLatency(source(7)), start, candidates, 2)
			c.Assert(got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("share %v", got))
		})
	}
}

// TestDecay guards against reports that never lose their weight.
func TestDecay(t *testing.T) {
	c := qt.New(t)
	candidates, views := newViews(2)
	views[0].SetReport(start, core.LoadReport{Limit: 18, Latency: time.Second, FailureRate: 1})
	views[0].End(start, views[0].Begin(start), true)
	good := Estimate(start, candidates[1]).Latency
	c.Assert(Estimate(start, candidates[0]).Latency > 50*good, qt.IsTrue)
	later := start.Add(time.Hour)
	c.Assert(Estimate(later, candidates[0]).Latency < Estimate(later, candidates[1]).Latency*11/10, qt.IsTrue)
}

// TestStraggler guards against considering an instance slow only after it has answered.
func TestStraggler(t *testing.T) {
	candidates, views := newViews(2)
	views[0].Begin(start.Add(-300 * time.Millisecond))
	views[1].Begin(start)
	slow, usual := Estimate(start, candidates[0]).Latency, Estimate(start, candidates[1]).Latency
	qt.Assert(t, slow > 5*usual, qt.IsTrue, qt.Commentf("%v against %v", slow, usual))
}

// TestView guards against state that is kept beyond its validity: pending calls, failures, backoff, and reports of an
// earlier process.
func TestView(t *testing.T) {
	c := qt.New(t)
	_, views := newViews(1)
	v := views[0]
	first := v.Begin(start)
	second := v.Begin(start.Add(time.Second))
	v.End(start, first, true)
	c.Assert(v.Oldest(start.Add(3*time.Second)), qt.Equals, 2*time.Second)
	v.End(start, second, false)
	c.Assert(v.Oldest(start), qt.Equals, time.Duration(0))
	c.Assert(v.InFlight(), qt.Equals, 0)
	c.Assert(v.FailureRate(start) > 0, qt.IsTrue)

	v.RecordConnectFailure(start)
	c.Assert(v.InBackoff(start), qt.IsTrue)
	later := start.Add(minBackoff)
	c.Assert(v.Claim(later), qt.IsTrue)
	c.Assert(v.Claim(later), qt.IsFalse, qt.Commentf("a second trial call at once"))
	trial := v.Begin(later)
	c.Assert(v.InBackoff(later.Add(time.Hour)), qt.IsTrue, qt.Commentf("a second trial call beside the first"))
	v.End(later, trial, true)
	for range 20 {
		v.RecordConnectFailure(later.Add(1))
	}
	c.Assert(v.InBackoff(later.Add(2*minBackoff+1)), qt.IsFalse, qt.Commentf("calls that end together count once"))

	member := schema.Member_builder{Instance: "sheets-0", Incarnation: 2}.Build()
	v.Update(core.NewInstance(member, schema.InstanceState_INSTANCE_STATE_COLD), 0)
	_, received := v.Load()
	c.Assert(received.IsZero(), qt.IsTrue)
	c.Assert(v.InBackoff(start), qt.IsFalse)

	v.SetReport(start, core.LoadReport{State: schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE, Revision: 5})
	c.Assert(v.Eligible(start, 5), qt.IsFalse)
	c.Assert(v.Eligible(start, 6), qt.IsTrue)
	v.SetReport(start, core.LoadReport{State: schema.InstanceState_INSTANCE_STATE_LEAVING, Revision: 5})
	c.Assert(v.Eligible(start, 6), qt.IsFalse)
	c.Assert(v.Eligible(start.Add(2*stateMaxAge), 6), qt.IsTrue)
}

// TestAllocations guards against allocations when choosing among 40 candidates.
func TestAllocations(t *testing.T) {
	candidates, _ := newViews(40)
	for name, chooser := range choosers(1) {
		allocations := testing.AllocsPerRun(1000, func() { chooser.Choose(start, candidates, none) })
		qt.Check(t, allocations, qt.Equals, 0.0, qt.Commentf("%s", name))
	}
}

func BenchmarkExpectedLatency(b *testing.B) {
	candidates, views := newViews(40)
	chooser := NewExpectedLatency(nil)
	exclude := func(i int) bool { return !views[i].Eligible(start, 1) || views[i].InBackoff(start) }
	b.ReportAllocs()
	for b.Loop() {
		chooser.Choose(start, candidates, exclude)
	}
}
