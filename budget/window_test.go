package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenareel/budget"
)

// TestWindowBound guards against a window at any position in which more arrivals reach a server than the calls within it
// earn, plus the slack, or plus the one arrival for which a node saves if the slack is smaller. Arrivals reach the server
// at any time between their reservation and its end.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio, slack := rapid.Float64Range(0, 1).Draw(t, "ratio"), rapid.Float64Range(0, 20).Draw(t, "slack")
		w := budget.NewWindow(ratio, slack, fleetWindow).RelyOnNothing()
		var calls, arrivals []time.Time
		high, pending := epoch, 0
		for _, now := range drawTimes(t, 2) {
			high = later(high, now)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				w.Deposit(now, 0)
				calls = append(calls, high)
			case 2:
				if w.Reserve(now, 0) {
					pending++
				}
			case 3:
				if pending > 0 {
					pending--
					arrivals = append(arrivals, high)
					w.Commit(now)
				}
			default:
				if pending > 0 {
					pending--
					w.Release()
				}
			}
		}
		for i, first := range arrivals {
			for j := i; j < len(arrivals) && arrivals[j].Sub(first) < fleetWindow; j++ {
				end, earned := first.Add(fleetWindow), max(slack, 1)+1e-3
				for _, call := range calls {
					if !call.Before(first) && call.Before(end) {
						earned += ratio
					}
				}
				if float64(j-i+1) > earned {
					t.Fatalf("%d arrivals within %v of %v; at most %.2f", j-i+1, fleetWindow, first, earned)
				}
			}
		}
	})
}

// TestWindowStart guards against a restart that grants the node's part of the slack twice, and against a call that a
// repeated run made and that earns a retry.
func TestWindowStart(t *testing.T) {
	w := budget.NewWindow(0.2, 10, fleetWindow)
	qt.Check(t, w.Reserve(epoch, 0), qt.IsFalse)
	for range 5 {
		w.Deposit(epoch, 0)
	}
	qt.Check(t, w.Reserve(epoch, 0.5), qt.IsFalse, qt.Commentf("less would remain than is kept"))
	qt.Check(t, w.Reserve(epoch, 0), qt.IsTrue)
	w.Release()
	w.Deposit(epoch, 1)
	qt.Check(t, w.Reserve(epoch, 0), qt.IsFalse)
	qt.Check(t, w.Repeats(epoch), qt.Equals, 1.0)
	qt.Check(t, w.Calls(epoch), qt.Equals, 6.0)
	w.SetMembers(epoch, 2)
	qt.Check(t, w.Available(epoch.Add(2*fleetWindow)), qt.Equals, 5.0)
}
