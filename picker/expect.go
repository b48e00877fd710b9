package picker

import (
	"time"

	"verbenareel/core"
)

const (
	// samples is how many random candidates are compared.
	samples = 3
	// trialShare is one in how many calls goes to a random instance without an unanswered call, so that an instance
	// that looked bad is measured again.
	trialShare = 100
	// reportLife is the age at which a report counts half and the neutral values count half.
	reportLife = time.Second
	// failurePenalty is what a failed call costs, in usual service times. It is well above 1 so that an instance that
	// fails at once does not look fast.
	failurePenalty = 20
	// stragglerFactor is how many expected latencies the oldest unanswered call may wait before it counts as the
	// expected latency itself.
	stragglerFactor = 3
	// fallbackLatency is the service time assumed before any report of the service arrived.
	fallbackLatency = 10 * time.Millisecond
)

// Expected chooses among a few random candidates: those with room first, then the lowest expected latency, network
// round trip included.
type Expected struct {
	source Source
}

// NewExpected returns an Expected; a nil source means math/rand/v2.
func NewExpected(source Source) *Expected {
	return &Expected{source: orDefault(source)}
}

// Choose implements core.Chooser.
func (e *Expected) Choose(now time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	best := e.source.draw(n, exclude)
	if best < 0 || e.trial(candidates[best]) {
		return best
	}
	chosen := Estimate(now, candidates[best])
	for range samples - 1 {
		index := e.source.draw(n, exclude)
		if index == best {
			continue
		}
		other := Estimate(now, candidates[index])
		if other.Better(chosen) {
			best, chosen = index, other
		}
	}
	return best
}

// trial reports whether the call is sent to the candidate to measure it, whatever its estimate.
func (e *Expected) trial(candidate core.Candidate) bool {
	return e.source.below(trialShare) == 0 && candidate.InFlight() == 0
}

// Forecast is what a call to a candidate is expected to meet.
type Forecast struct {
	// Latency includes the network round trip and the cost of failures.
	Latency time.Duration
	// Room is the spare concurrency; it is negative if calls wait.
	Room float64
}

// Better reports whether f is to be preferred to other.
func (f Forecast) Better(other Forecast) bool {
	if (f.Room >= 1) != (other.Room >= 1) {
		return f.Room >= 1
	}
	return f.Latency < other.Latency
}

// Estimate returns the forecast for a call that is sent to the candidate now.
func Estimate(now time.Time, candidate core.Candidate) Forecast {
	view, ok := candidate.(*View)
	if !ok {
		load, received := candidate.Load()
		return forecast(now, &report{load: load, received: received}, &Neutral{}, candidate)
	}
	f := forecast(now, view.report.Load(), view.neutral.Load(), candidate)
	penalty := view.Failures() * failurePenalty * float64(usual(view.neutral.Load()))
	f.Latency += time.Duration(penalty)
	if oldest := view.Oldest(now); oldest > stragglerFactor*f.Latency {
		f.Latency = oldest
	}
	return f
}

func usual(neutral *Neutral) time.Duration {
	if neutral.Latency == 0 {
		return fallbackLatency
	}
	return neutral.Latency
}

func forecast(now time.Time, r *report, neutral *Neutral, candidate core.Candidate) Forecast {
	own := float64(candidate.InFlight())
	if r == nil || r.received.IsZero() {
		return waiting(usual(neutral), candidate.Delay(), own+neutral.InFlight, neutral.Limit)
	}
	age := max(now.Sub(r.received), 0)
	fresh := float64(reportLife) / float64(reportLife+age)
	others := max(float64(r.load.InFlight+r.load.Queued-r.own), 0)
	others = fresh*others + (1-fresh)*neutral.InFlight
	latency := fresh*float64(r.load.Latency) + (1-fresh)*float64(usual(neutral))
	latency += fresh * r.load.FailureRate * failurePenalty * float64(usual(neutral))
	return waiting(time.Duration(latency), candidate.Delay(), own+others, r.load.Limit)
}

// waiting returns the forecast for an instance with the service time and calls in flight: calls above the limit wait
// their turn.
func waiting(latency, delay time.Duration, inFlight float64, limit int) Forecast {
	room := float64(limit) - inFlight
	if limit == 0 {
		room = 1
	}
	expected := float64(latency)
	if room < 1 {
		expected *= 1 + (1-room)/float64(max(limit, 1))
	}
	return Forecast{Latency: delay + time.Duration(expected), Room: room}
}

// Average returns the neutral values of a service: the mean of the reports received within a few report lives, and limit
// as the concurrency of an unknown instance.
func Average(now time.Time, views []*View, limit int) *Neutral {
	n := &Neutral{Limit: limit}
	count := 0
	var latency time.Duration
	for _, v := range views {
		load, received := v.Load()
		if received.IsZero() || now.Sub(received) > 4*reportLife || load.Latency == 0 {
			continue
		}
		count++
		latency += load.Latency
		n.InFlight += float64(load.InFlight + load.Queued)
	}
	if count > 0 {
		n.Latency = latency / time.Duration(count)
		n.InFlight /= float64(count)
	}
	return n
}
