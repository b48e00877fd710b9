package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenareel/schema"
)

// Bounds of the retries of all nodes together: their share of the calls in a window, and the slack per node.
const (
	maxRetryShare = 0.2
	slackPerNode  = 4
	budgetWindow  = 10 * time.Second
	fleetNodes    = 14
)

// fleet simulates a chain of services behind many nodes, each node with its own budget per service. A call to a service
// usually makes one nested call to the next service.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	budgets [fleetNodes][]*budgets
	// failing is the probability that a run fails, for each service.
	failing []float64
	// firstSends and repeatedSends hold the times of the first sends and of all repeated sends, for each service.
	firstSends, repeatedSends [][]time.Time
}

func newFleet(seed uint64, services int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		failing: make([]float64, services), firstSends: make([][]time.Time, services), repeatedSends: make([][]time.Time, services),
	}
	settings := schema.Service_builder{RetryRatio: 0.1, RetryFloor: 0.3}.Build()
	for i := range f.budgets {
		for range services {
			b := &budgets{}
			b.configure(settings)
			f.budgets[i] = append(f.budgets[i], b)
		}
	}
	return f
}

// call sends a call through a random node, which retries it within its budget. again is set for a nested call of a
// repeated run.
func (f *fleet) call(service int, again bool) {
	const nested = 0.7
	b := f.budgets[f.random.IntN(fleetNodes)][service]
	b.recordCall(f.now, true, 0)
	for attempt := range maxAttempts {
		if attempt > 0 && !b.takeRetry(f.now, 1) {
			return
		}
		repeated := again || attempt > 0
		if repeated {
			f.repeatedSends[service] = append(f.repeatedSends[service], f.now)
		} else {
			f.firstSends[service] = append(f.firstSends[service], f.now)
		}
		if service+1 < len(f.failing) && f.random.Float64() < nested {
			f.call(service+1, repeated)
		}
		if f.random.Float64() >= f.failing[service] {
			return
		}
	}
}

// countWithinWindow counts the times within budgetWindow before at.
func countWithinWindow(times []time.Time, at time.Time) int {
	count := 0
	for i := len(times) - 1; i >= 0 && at.Sub(times[i]) < budgetWindow; i-- {
		count++
	}
	return count
}

// TestFleetBudget guards against retry storms. Within any 10 s, the repeated sends to a service must stay within the
// given share of its first sends plus the slack. Repeated sends include the retries of all nodes and the nested calls
// of repeated runs. Load and failure rates vary at random.
func TestFleetBudget(t *testing.T) {
	const services = 2
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), services)
		for range rapid.IntRange(2, 6).Draw(t, "phases") {
			perSecond := rapid.IntRange(1, 150).Draw(t, "calls a second")
			for i := range f.failing {
				f.failing[i] = rapid.SampledFrom([]float64{0, 0.05, 0.5, 1}).Draw(t, "failing")
			}
			end := f.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
			for f.now.Before(end) {
				f.now = f.now.Add(time.Second / time.Duration(perSecond))
				f.call(f.random.IntN(services), false)
			}
			f.checkBound(t)
		}
	})
}

// checkBound compares the repeated sends of the last window with the most first sends in the last window or in the ones
// that end half a window or a window earlier.
func (f *fleet) checkBound(t *rapid.T) {
	for service := range f.failing {
		most := 0
		for _, shift := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			at := f.now.Add(-shift)
			var before []time.Time
			for _, call := range f.firstSends[service] {
				if !call.After(at) {
					before = append(before, call)
				}
			}
			most = max(most, countWithinWindow(before, at))
		}
		repeats := countWithinWindow(f.repeatedSends[service], f.now)
		if bound := maxRetryShare*float64(most) + slackPerNode*fleetNodes; float64(repeats) > bound {
			t.Fatalf("service %d: %d repeats of %d calls within %v; at most %.0f", service, repeats, most, budgetWindow, bound)
		}
	}
}
