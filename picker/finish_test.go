package picker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// reportingViews returns views in two failure domains, with fresh reports of an idle server.
func reportingViews(n int) ([]core.Candidate, []*View) {
	var candidates []core.Candidate
	var views []*View
	for i := range n {
		member := schema.Member_builder{Instance: string(rune('a' + i)), Domain: []string{"near", "far"}[i%2], Incarnation: 1}.Build()
		v := NewView(start, core.NewInstance(member, schema.InstanceState_INSTANCE_STATE_SERVING), 0)
		v.SetReport(start, core.LoadReport{Limit: 18, Pace: 1, Latency: 200 * time.Millisecond})
		candidates, views = append(candidates, v), append(views, v)
	}
	baseline := NewBaseline(start, views, 18)
	for _, v := range views {
		v.SetBaseline(baseline)
	}
	return candidates, views
}

// TestFinish guards against choosing an instance at which the call would finish later than at another one.
func TestFinish(t *testing.T) {
	for _, c := range []struct {
		name string
		// degrade makes the first instance worse than the third; both are in the router's failure domain.
		degrade func(v *View)
	}{
		{"slow", func(v *View) { v.SetReport(start, core.LoadReport{Limit: 18, Pace: 5}) }},
		{"full", func(v *View) { v.SetReport(start, core.LoadReport{Limit: 18, Pace: 1, InFlight: 18}) }},
		{"over the knee", func(v *View) { v.SetReport(start, core.LoadReport{Limit: 18, Pace: 1, InFlight: 16}) }},
		{"queue", func(v *View) { v.SetReport(start, core.LoadReport{Limit: 18, Pace: 1, InFlight: 18, Queued: 9}) }},
		{"failing", func(v *View) {
			for range 20 {
				v.RecordFailure(start)
			}
		}},
		{"cold", func(v *View) {
			v.SetReport(start, core.LoadReport{Limit: 18, State: schema.InstanceState_INSTANCE_STATE_COLD})
		}},
		{"cold and spent", func(v *View) { v.SetReport(start, core.LoadReport{Limit: 18, Pace: 1, StartRate: 17, StartsLeft: 0}) }},
		{"silent", func(v *View) { v.SetReport(start.Add(-time.Second), core.LoadReport{Limit: 18, Pace: 1}) }},
		{"own calls since the report", func(v *View) {
			for range 15 {
				v.Begin(start)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidates, views := reportingViews(4)
			c.degrade(views[0])
			f := NewEarliestFinish("near", 0.5, source(1))
			qt.Check(t, share(f, start, candidates, 0) < 0.05, qt.IsTrue)
			qt.Check(t, share(f, start, candidates, 2) > 0.8, qt.IsTrue)
		})
	}
}

// TestFinishDomains guards against calls that leave the failure domain without need, and against overloading it when
// another one is faster.
func TestFinishDomains(t *testing.T) {
	candidates, views := reportingViews(2)
	f := NewEarliestFinish("near", 0.5, source(1))
	qt.Check(t, share(f, start, candidates, 0) > 0.9, qt.IsTrue)
	views[0].SetReport(start, core.LoadReport{Limit: 18, Pace: 5})
	qt.Check(t, share(f, start, candidates, 1) > 0.9, qt.IsTrue)
}

// TestFinishFullLink guards against uploads that all go to the nearest instance although its link is full of bodies: a load
// with few slots in use and many bytes on their way.
func TestFinishFullLink(t *testing.T) {
	candidates, views := reportingViews(2)
	f := NewEarliestFinish("near", 0.5, source(1))
	for _, v := range views {
		v.SetBaseline(&Baseline{Latency: 100 * time.Millisecond})
	}
	views[0].SetReport(start, core.LoadReport{Limit: 18, Pace: 1, Latency: 100 * time.Millisecond, ReceiveWait: 200 * time.Millisecond})
	views[1].SetReport(start, core.LoadReport{Limit: 18, Pace: 1, Latency: 100 * time.Millisecond})
	qt.Check(t, share(f, start, candidates, 1) > 0.9, qt.IsTrue)
}

// TestFinishExplores guards against starving an instance because another one is always slightly better.
func TestFinishExplores(t *testing.T) {
	candidates, _ := reportingViews(2)
	f := NewEarliestFinish("near", 0.5, source(1))
	qt.Check(t, share(f, start, candidates, 1) > 0.01, qt.IsTrue)
}

// TestPaceDecay guards against giving an old report of the pace the weight of a fresh one.
func TestPaceDecay(t *testing.T) {
	load := core.LoadReport{Pace: 5}
	qt.Check(t, expectedPace(load, start, 0), qt.Equals, 5.0)
	qt.Check(t, expectedPace(load, start, time.Second) < 2.2, qt.IsTrue)
	qt.Check(t, expectedPace(core.LoadReport{}, start, 0), qt.Equals, defaultPace)
}

// TestReady guards against sending eager calls to instances that would queue them.
func TestReady(t *testing.T) {
	for _, c := range []struct {
		name string
		load core.LoadReport
		want bool
	}{
		{"room", core.LoadReport{Limit: 18, Pace: 1, InFlight: 17}, true},
		{"full", core.LoadReport{Limit: 18, Pace: 1, InFlight: 17, Queued: 1}, false},
		{"slow", core.LoadReport{Limit: 18, Pace: 2, BasePace: 1}, false},
		{"slow for long", core.LoadReport{Limit: 18, Pace: 2, BasePace: 2}, true},
		{"cold with starts left", core.LoadReport{Limit: 18, Pace: 1, StartRate: 17, StartsLeft: 1}, true},
		{"cold and spent", core.LoadReport{Limit: 18, Pace: 1, StartRate: 17}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, views := reportingViews(1)
			views[0].SetReport(start, c.load)
			qt.Check(t, views[0].Ready(start), qt.Equals, c.want)
			qt.Check(t, views[0].Ready(start.Add(time.Second)), qt.IsFalse)
		})
	}
}
