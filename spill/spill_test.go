package spill

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
)

const roundTrip = 7 * time.Millisecond

// TestDecide guards against calls that cross domains for less than the crossing costs, and calls that stay and are late.
func TestDecide(t *testing.T) {
	call := Call{Target: 250 * time.Millisecond, Left: 200 * time.Millisecond}
	upload := call
	upload.RequestBytes = 400 << 10
	side := func(finish int) Side { return Side{Exists: true, Finish: time.Duration(finish) * time.Millisecond} }
	for _, c := range []struct {
		name       string
		call       Call
		home, away Side
		ease, draw float64
		want       core.LeaveReason
	}{
		{"in time at home", call, side(119), side(20), 1, 0, ""},
		{"late at home", call, side(320), side(64), 1, 0, core.LeaveLate},
		{"hardly earlier elsewhere", call, side(320), side(305), 1, 0, ""},
		{"round trips of the body", upload, side(300), side(130), 1, 0, ""},
		{"no server at home", call, Side{}, side(500), 0, 0.99, core.LeaveNoInstance},
		{"no server elsewhere", call, side(500), Side{}, 1, 0, ""},
		{"neither", call, Side{}, Side{}, 1, 0, ""},
		{"room for a third", call, side(320), side(64), 0.33, 0.5, ""},
		{"one of the third", call, side(320), side(64), 0.33, 0.3, core.LeaveLate},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, Decide(c.call, c.home, c.away, roundTrip, c.ease, c.draw), qt.Equals, c.want)
		})
	}
}

// TestBalance guards against more calls than the other domains have room for, when one loses its servers and when all are full.
func TestBalance(t *testing.T) {
	c := qt.New(t)
	b := NewBalance(map[string]Domain{"lost": {Demand: 20}, "a": {Capacity: 20, Demand: 15}, "b": {Capacity: 20, Demand: 10}})
	c.Check(b.Ease(), qt.Equals, 0.75)
	c.Check(b.Open("b"), qt.Equals, 2*b.Open("a"))
	c.Check(b.Quiet("lost"), qt.IsFalse)
	calm := NewBalance(map[string]Domain{
		"few": {Capacity: 8, Demand: 1, Servers: 2}, "many": {Capacity: 20, Demand: 8, Servers: 5}, "unknown": {Capacity: 20, Servers: 5},
	})
	c.Check([]bool{calm.Quiet("few"), calm.Quiet("many"), calm.Quiet("unknown")}, qt.DeepEquals, []bool{false, true, false})
	full := NewBalance(map[string]Domain{"a": {Capacity: 20, Demand: 25}, "b": {Capacity: 20, Demand: 30}})
	c.Check(full.Ease(), qt.Equals, 0.0)
	c.Check(full.Open("a"), qt.Equals, minOpen)
	var none *Balance
	c.Check(none.Ease(), qt.Equals, 1.0)
	c.Check(none.Open("a"), qt.Equals, 1.0)
}

// TestDemands guards against demand that is counted after its node has gone, and against a mean over the wrong nodes.
func TestDemands(t *testing.T) {
	c := qt.New(t)
	var d Demands
	now := time.Unix(100, 0)
	d.Record(now, 1, "a", map[uint32]float64{7: 4})
	d.Record(now.Add(demandMaxAge), 2, "a", map[uint32]float64{7: 2})
	d.Record(now.Add(demandMaxAge), 3, "b", nil)
	c.Check(d.Means(7), qt.DeepEquals, map[string]float64{"a": 3, "b": 0})
	d.Forget(now.Add(demandMaxAge + 1))
	c.Check(d.Means(7), qt.DeepEquals, map[string]float64{"a": 2, "b": 0})
	var r Rate
	c.Check(r.Update(time.Second, 500*time.Millisecond), qt.Equals, 2.0)
	c.Check(r.Update(0, demandWindow), qt.Equals, 0.0)
}
