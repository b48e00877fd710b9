package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/admit"
	"verbenareel/schema"
)

// kind is a kind of request in a load pattern.
type kind struct {
	name       string
	perSecond  float64
	work       time.Duration
	target     time.Duration
	timeout    time.Duration
	priority   schema.Priority
	repeatable bool
	customer   string
}

// pattern is a load on one backend server.
type pattern struct {
	slots  int
	length time.Duration
	kinds  []kind
	// loadFactor returns a multiplier of the arrival rate at a time since the start.
	loadFactor func(at time.Duration) float64
	// gate reports whether the controller's gate is open at a time since the start.
	gate func(at time.Duration) bool
	// weights holds the weights of customers, or nil.
	weights map[string]float64
	// settle is the time after which calls are counted.
	settle time.Duration
}

// tally counts the outcomes of the calls of one kind.
type tally struct {
	offered, inTime, late, refused int
	// waited is the total time that refused calls waited before their refusal.
	waited time.Duration
}

func (t tally) share() float64 { return float64(t.inTime) / float64(max(1, t.offered)) }

type arrival struct {
	admit.Call
	kind kind
	at   time.Time
	end  time.Time
}

// simulate runs a controller through a load pattern and returns the tallies by kind. Without targets, the controller
// orders calls by rank and refuses them by their deadlines alone.
func simulate(p pattern, targets bool) map[string]*tally {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	now := start
	controller := admit.New(&constant{limit: p.slots}, 2*p.slots)
	controller.SetWeights(p.weights)
	if p.gate != nil {
		controller.SetGate(func(now time.Time) bool { return p.gate(now.Sub(start)) })
	}
	tallies := make(map[string]*tally)
	var running []*arrival
	apply := func(events []admit.Event) {
		for _, e := range events {
			a := e.Call.Owner.(*arrival)
			t := tallies[a.kind.name]
			if e.Reason != none {
				t.refused++
				t.waited += now.Sub(a.at)
				continue
			}
			a.end = now.Add(a.kind.work)
			running = append(running, a)
			if a.end.After(a.at.Add(a.kind.target)) {
				t.late++
			} else {
				t.inTime++
			}
		}
	}
	const step = time.Millisecond
	for ; now.Sub(start) < p.length; now = now.Add(step) {
		for i := 0; i < len(running); {
			if a := running[i]; !a.end.After(now) {
				running = append(running[:i], running[i+1:]...)
				apply(controller.Finish(now, &a.Call))
				i = 0
				continue
			}
			i++
		}
		if now.Sub(start) == p.settle {
			for _, t := range tallies {
				*t = tally{}
			}
		}
		apply(controller.Tick(now))
		for _, k := range p.kinds {
			if tallies[k.name] == nil {
				tallies[k.name] = &tally{}
			}
			if random.Float64() >= k.perSecond*p.loadFactor(now.Sub(start))*step.Seconds() {
				continue
			}
			tallies[k.name].offered++
			a := &arrival{kind: k, at: now}
			a.Priority, a.Repeatable, a.Deadline, a.Owner = k.priority, k.repeatable, now.Add(k.timeout), a
			a.Customer = k.customer
			if targets {
				a.Target, a.Expected = now.Add(k.target), k.work
			}
			apply(controller.Offer(now, &a.Call))
		}
	}
	return tallies
}

func steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

var (
	view = kind{name: "view", perSecond: 40, work: 260 * time.Millisecond, target: 600 * time.Millisecond, timeout: 1200 * time.Millisecond,
		priority: schema.Priority_PRIORITY_LOW, repeatable: true}
	deposit = kind{name: "deposit", perSecond: 8, work: 300 * time.Millisecond, target: 800 * time.Millisecond, timeout: 1500 * time.Millisecond,
		priority: schema.Priority_PRIORITY_NORMAL}
	nested = kind{name: "nested", perSecond: 40, work: 55 * time.Millisecond, target: 150 * time.Millisecond, timeout: 600 * time.Millisecond,
		priority: schema.Priority_PRIORITY_NORMAL, repeatable: true}
)

// TestOverload guards against a queue under permanent overload in which every call waits until it is late, as it does
// in order of arrival. The load is 1.5 times the capacity of the server.
func TestOverload(t *testing.T) {
	p := pattern{slots: 14, length: 20 * time.Second, kinds: []kind{view}, loadFactor: steady(2)}
	without, with := simulate(p, false)["view"], simulate(p, true)["view"]
	t.Logf("without targets %+v, with targets %+v", *without, *with)
	qt.Check(t, with.share() > without.share()+0.2, qt.IsTrue)
	qt.Check(t, with.waited < time.Duration(with.refused+1)*view.target/8, qt.IsTrue)
}

// TestBurst guards against a queue in which calls are still late long after a burst has ended. The burst lasts three
// seconds at almost twice the capacity of the server.
func TestBurst(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 8*time.Second {
			return 2.5
		}
		return 0.8
	}
	p := pattern{slots: 14, length: 15 * time.Second, kinds: []kind{view}, loadFactor: burst}
	without, with := simulate(p, false)["view"], simulate(p, true)["view"]
	t.Logf("without targets %+v, with targets %+v", *without, *with)
	qt.Check(t, with.inTime > without.inTime, qt.IsTrue)
}

// TestNestedCalls guards against short nested calls that are refused or served last under overload beside long calls.
// The work that their callers have done so far would be lost.
func TestNestedCalls(t *testing.T) {
	p := pattern{slots: 14, length: 20 * time.Second, kinds: []kind{deposit, nested}, loadFactor: steady(5)}
	without, with := simulate(p, false), simulate(p, true)
	t.Logf("without targets %+v, with targets %+v", *without["nested"], *with["nested"])
	qt.Check(t, with["nested"].share() > 0.95, qt.IsTrue)
	qt.Check(t, with["nested"].share() > without["nested"].share(), qt.IsTrue)
	qt.Check(t, with["nested"].refused*20 < with["nested"].offered, qt.IsTrue)
}

// TestSlowPhases guards against refusing calls that wait for the end of a slow phase. The server is slow for a
// quarter of the time, in phases of 150 ms in which the gate is closed.
func TestSlowPhases(t *testing.T) {
	open := func(at time.Duration) bool { return at/(150*time.Millisecond)%4 != 0 }
	p := pattern{slots: 14, length: 20 * time.Second, kinds: []kind{view}, loadFactor: steady(0.8), gate: open}
	result := simulate(p, true)["view"]
	t.Logf("%+v", *result)
	qt.Check(t, result.share() > 0.98, qt.IsTrue)
	qt.Check(t, result.refused, qt.Equals, 0)
}

// TestColdStarts guards against more starts within any second than a cold server can handle, here 17, and against a
// server that is left idle meanwhile.
func TestColdStarts(t *testing.T) {
	const rate = 17
	now := time.Unix(1000, 0)
	controller := admit.New(&constant{limit: 18}, 36)
	controller.SetRate(rate)
	var starts []time.Time
	apply := func(events []admit.Event) {
		for _, e := range events {
			if e.Reason == none {
				starts = append(starts, now)
				controller.MarkSent(now, e.Call)
				controller.Finish(now, e.Call)
			}
		}
	}
	for range 5000 {
		now = now.Add(time.Millisecond)
		call := &admit.Call{Deadline: now.Add(time.Second), Repeatable: true}
		apply(controller.Offer(now, call))
		apply(controller.Tick(now))
	}
	for i := rate; i < len(starts); i++ {
		qt.Assert(t, starts[i].Sub(starts[i-rate]) >= time.Second, qt.IsTrue)
	}
	qt.Check(t, len(starts) >= 4*rate, qt.IsTrue, qt.Commentf("%d starts", len(starts)))
	perSecond, left := controller.StartsLeft(now)
	qt.Check(t, perSecond, qt.Equals, rate)
	qt.Check(t, left <= rate, qt.IsTrue)
}

// TestEvict guards against matching calls that stay in the queue and against other calls that are evicted with them.
func TestEvict(t *testing.T) {
	now := time.Unix(1000, 0)
	controller := admit.New(&constant{limit: 1}, 4)
	call := func(eager bool) *admit.Call {
		return &admit.Call{Deadline: now.Add(time.Second), Repeatable: true, Eager: eager}
	}
	running, staying := call(false), call(false)
	qt.Assert(t, controller.Offer(now, running), qt.HasLen, 1)
	qt.Assert(t, controller.Offer(now, staying), qt.HasLen, 0)
	events := controller.Offer(now, call(true))
	qt.Assert(t, events, qt.HasLen, 1)
	qt.Check(t, events[0].Reason, qt.Equals, schema.Reason_REASON_BUSY)
	qt.Check(t, controller.Evict(now, schema.Reason_REASON_SLOW, func(c *admit.Call) bool { return c != staying }), qt.HasLen, 0)
	events = controller.Evict(now, schema.Reason_REASON_SLOW, func(c *admit.Call) bool { return c == staying })
	qt.Assert(t, events, qt.HasLen, 1)
	qt.Check(t, events[0].Call, qt.Equals, staying)
	qt.Check(t, controller.Queued(), qt.Equals, 0)
}
