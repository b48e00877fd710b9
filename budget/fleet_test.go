package budget_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/budget"
)

// The fleet of these tests: its size, its bound on arrivals beyond the first of each call, and the time step.
const (
	fleetNodes  = 86
	fleetRatio  = 0.2
	fleetSlack  = 212
	fleetWindow = 10 * time.Second
	fleetStep   = 10 * time.Millisecond
	fleetShed   = 0.55
)

// spender is the part of one node in a retry budget.
type spender interface {
	deposit(now time.Time)
	take(now time.Time) bool
	arrive(now time.Time)
	members(now time.Time, count int)
}

type windowSpender struct{ w *budget.Window }

func newWindowSpender() spender {
	return windowSpender{budget.NewWindow(fleetRatio, fleetSlack, fleetWindow)}
}

func (s windowSpender) deposit(now time.Time)            { s.w.Deposit(now, 0) }
func (s windowSpender) take(now time.Time) bool          { return s.w.Reserve(now, 0) }
func (s windowSpender) arrive(now time.Time)             { s.w.Commit(now) }
func (s windowSpender) members(now time.Time, count int) { s.w.SetMembers(now, count) }

// ratioSpender is the budget of a service without the section retry_budget.
type ratioSpender struct{ r *budget.Ratio }

func newRatioSpender() spender {
	return ratioSpender{budget.NewRatio(0.1, 0.3, budget.RetryDecayTime)}
}

func (s ratioSpender) deposit(now time.Time)   { s.r.Deposit(now) }
func (s ratioSpender) take(now time.Time) bool { return s.r.Take(now) }
func (s ratioSpender) arrive(time.Time)        {}
func (s ratioSpender) members(time.Time, int)  {}

// retryFleet runs calls through nodes that share a retry budget, in virtual time.
type retryFleet struct {
	now    time.Time
	random *rand.Rand
	create func() spender
	nodes  []spender
	step   int
	// due holds the events of later steps; calls and repeats count per step, served the calls that were not shed.
	due            map[int][]func()
	calls, repeats []int
	served, failed int
	// shed is the share of the attempts that servers shed.
	shed float64
	// side, if not 0, lets all calls enter at the first (1) or the second half (2) of the nodes.
	side int
	// aborted is the share of the calls that guards abort to run them again, as long as the budget has a retry.
	aborted float64
}

func newRetryFleet(seed uint64, create func() spender) *retryFleet {
	return newSizedFleet(fleetNodes, seed, create)
}

func newSizedFleet(nodes int, seed uint64, create func() spender) *retryFleet {
	f := &retryFleet{now: epoch, random: rand.New(rand.NewPCG(seed, 1)), create: create, due: make(map[int][]func())}
	for range nodes {
		f.nodes = append(f.nodes, create())
	}
	f.announce(nodes)
	return f
}

func (f *retryFleet) announce(count int) {
	for _, n := range f.nodes {
		n.members(f.now, count)
	}
}

// run lets callers send perSecond calls a second. Half of the calls enter at a few nodes, which change every second.
func (f *retryFleet) run(duration time.Duration, perSecond float64) {
	for range int(duration / fleetStep) {
		f.calls, f.repeats = append(f.calls, 0), append(f.repeats, 0)
		for _, event := range f.due[f.step] {
			event()
		}
		delete(f.due, f.step)
		for chance := perSecond * fleetStep.Seconds(); chance > 0; chance-- {
			if f.random.Float64() < chance {
				f.call()
			}
		}
		f.now = f.now.Add(fleetStep)
		f.step++
	}
}

func (f *retryFleet) call() {
	f.calls[f.step]++
	node := f.random.IntN(len(f.nodes))
	if f.random.IntN(2) == 0 {
		node = (f.step/100*7 + f.random.IntN(5)) % len(f.nodes)
	}
	if half := len(f.nodes) / 2; f.side > 0 {
		node = node%half + (f.side-1)*half
	}
	n := f.nodes[node]
	n.deposit(f.now)
	if w, ok := n.(windowSpender); ok && f.random.Float64() < f.aborted && w.w.Available(f.now) >= 1 {
		f.after(5, func() {
			w.w.Reserve(f.now, math.Inf(-1))
			f.retry(n, 2)
		})
		return
	}
	f.finish(n, 1)
}

// finish decides how an attempt ends, which is retried up to three times. An attempt takes up to 0.3 s to arrive.
func (f *retryFleet) finish(n spender, attempt int) {
	if f.random.Float64() >= f.shed {
		f.served++
		return
	}
	if attempt >= 4 || !n.take(f.now) {
		f.failed++
		return
	}
	f.retry(n, attempt+1)
}

// retry lets a reserved attempt arrive.
func (f *retryFleet) retry(n spender, attempt int) {
	f.after(30, func() {
		f.repeats[f.step]++
		n.arrive(f.now)
		f.finish(n, attempt)
	})
}

// after runs an event within the given number of steps.
func (f *retryFleet) after(steps int, event func()) {
	at := f.step + 1 + f.random.IntN(steps)
	f.due[at] = append(f.due[at], event)
}

// worst returns the highest excess over the bound in any window, and the highest share of the bound that was used.
func (f *retryFleet) worst() (excess, used float64) {
	width := int(fleetWindow / fleetStep)
	calls, repeats := 0, 0
	for i := range f.calls {
		calls += f.calls[i]
		repeats += f.repeats[i]
		if i < width {
			continue
		}
		calls -= f.calls[i-width]
		repeats -= f.repeats[i-width]
		bound := fleetRatio*float64(calls) + fleetSlack
		excess = max(excess, float64(repeats)-bound)
		used = max(used, float64(repeats)/bound)
	}
	return excess, used
}

// servedShare returns the share of the calls that were served since the counters were last read.
func (f *retryFleet) servedShare() float64 {
	share := float64(f.served) / float64(f.served+f.failed)
	f.served, f.failed = 0, 0
	return share
}

// shedAtRandom is the load pattern in which servers shed 55% at random, after a quiet time and a burst, which ends.
func (f *retryFleet) shedAtRandom() float64 {
	f.run(15*time.Second, 1074)
	f.run(6*time.Second, 2.5*1074)
	f.servedShare()
	f.shed = fleetShed
	f.run(12*time.Second, 1074)
	share := f.servedShare()
	f.shed = 0
	f.run(12*time.Second, 300)
	return share
}

// TestFleetWindows guards against windows in which all nodes together cause more arrivals than the bound while servers
// shed 55% at random, with uneven demand that moves between nodes, and against a budget of which much stays unused.
func TestFleetWindows(t *testing.T) {
	for seed := range uint64(5) {
		f := newRetryFleet(seed, newWindowSpender)
		served := f.shedAtRandom()
		excess, used := f.worst()
		before := newRetryFleet(seed, newRatioSpender)
		servedBefore := before.shedAtRandom()
		_, usedBefore := before.worst()
		t.Logf("seed %d: served %.3f, used %.3f; present scheme served %.3f, used %.3f", seed, served, used, servedBefore, usedBefore)
		qt.Check(t, excess, qt.Equals, 0.0)
		qt.Check(t, used > 0.9, qt.IsTrue, qt.Commentf("used %.3f", used))
		qt.Check(t, served > servedBefore+0.02, qt.IsTrue, qt.Commentf("%.3f against %.3f", served, servedBefore))
	}
}

// TestLargeFleet guards against parts of the slack that add up to more than it in a fleet with more nodes than slack, and
// against parts that are too small to be used.
func TestLargeFleet(t *testing.T) {
	const nodes = 840
	f := newSizedFleet(nodes, 1, newWindowSpender)
	f.run(15*time.Second, 2500)
	f.shed = fleetShed
	f.run(25*time.Second, 2500)
	excess, used := f.worst()
	t.Logf("used %.3f", used)
	qt.Check(t, excess, qt.Equals, 0.0)
	qt.Check(t, used > 0.5, qt.IsTrue, qt.Commentf("used %.3f", used))
}

// TestFleetAborts guards against calls that guards abort on many nodes at once, and that run again beyond the bound.
func TestFleetAborts(t *testing.T) {
	f := newRetryFleet(1, newWindowSpender)
	f.run(15*time.Second, 1074)
	f.aborted = 0.5
	f.run(12*time.Second, 1074)
	f.shed = fleetShed
	f.run(12*time.Second, 1074)
	excess, used := f.worst()
	t.Logf("used %.3f", used)
	qt.Check(t, excess, qt.Equals, 0.0)
	qt.Check(t, used > 0.8, qt.IsTrue, qt.Commentf("used %.3f", used))
}

// TestFleetMoves guards against exceeding the bound when all callers move to the other half of the nodes, as in the
// failover of a failure domain, soon after the budget became short: the first half relied on later calls.
func TestFleetMoves(t *testing.T) {
	for _, before := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second} {
		f := newRetryFleet(1, newWindowSpender)
		f.side = 1
		f.run(15*time.Second, 1074)
		f.shed = fleetShed
		f.run(before, 1074)
		f.side = 2
		f.run(20*time.Second, 1074)
		excess, used := f.worst()
		t.Logf("moved after %v: used %.3f", before, used)
		qt.Check(t, excess, qt.Equals, 0.0, qt.Commentf("moved after %v", before))
	}
}

// TestFleetVanishes guards against exceeding the bound after half of the nodes vanish while the budget is short, and
// after they return as new processes. The others learn of it a second later, and their callers are gone too or move.
func TestFleetVanishes(t *testing.T) {
	for _, after := range []float64{537, 1074} {
		f := newRetryFleet(1, newWindowSpender)
		f.run(15*time.Second, 1074)
		f.shed = fleetShed
		f.run(3*time.Second, 1074)
		f.nodes = f.nodes[:fleetNodes/2]
		f.run(time.Second, after)
		f.announce(len(f.nodes))
		f.run(14*time.Second, after)
		for range fleetNodes / 2 {
			f.nodes = append(f.nodes, f.create())
		}
		f.announce(len(f.nodes))
		f.run(12*time.Second, 1074)
		excess, used := f.worst()
		qt.Check(t, excess, qt.Equals, 0.0, qt.Commentf("callers after it: %v/s", after))
		qt.Check(t, used > 0.8, qt.IsTrue, qt.Commentf("used %.3f", used))
	}
}
