package picker

import (
	"math"
	"time"

	"verbenareel/core"
	"verbenareel/spill"
)

// Constants of ExpectedLatency. BenchmarkChoosers of package simul compares choosers with these values.
const (
	// sampledCandidates is the number of random candidates that are compared for each call.
	sampledCandidates = 3
	// exploreInterval makes one in this many calls go to a random instance that has no unanswered call of this router,
	// so that an instance with a bad estimate is measured again.
	exploreInterval = 100
	// reportHalfLife is the age at which the latency and failure rate of a report and the baseline are weighted
	// equally.
	reportHalfLife = time.Second
	// occupancyHalfLife is the age, in units of the service time, at which the calls in flight of a report and the
	// baseline are weighted equally.
	occupancyHalfLife = 0.5
	// waitWeight is the weight of the expected wait for a slot. It is above 1 because a call above the limit may also
	// be refused.
	waitWeight = 2
	// ownInFlightWeight is the weight of this router's calls in flight, relative to their mean over the instances, and
	// scaled by the squared utilization of the service. They are the only input that is never stale.
	ownInFlightWeight = 3
	// failurePenalty is the cost of a failed call in multiples of the baseline latency. It is well above 1 so that an
	// instance that fails fast does not look fast.
	failurePenalty = 20
	// stragglerFactor is the multiple of the expected latency above which the wait of the oldest unanswered call is
	// used as the expected latency.
	stragglerFactor = 6
	// defaultLatency is the service time assumed until the first report of the service arrives.
	defaultLatency = 10 * time.Millisecond
	// baselineMaxAge is the maximum age of the reports that the baseline is computed from.
	baselineMaxAge = 4 * reportHalfLife
)

// ExpectedLatency chooses the candidate with the lowest expected latency among a few random ones. The estimate includes
// the network round trip, the service time, the wait for a slot and the cost of failures.
type ExpectedLatency struct {
	source Source
}

// NewExpectedLatency returns an ExpectedLatency; a nil source means math/rand/v2.
func NewExpectedLatency(source Source) *ExpectedLatency {
	return &ExpectedLatency{source: sourceOrDefault(source)}
}

// Choose implements core.Chooser.
func (e *ExpectedLatency) Choose(now time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	best := e.source.draw(n, exclude)
	if best < 0 || e.explores(candidates[best]) {
		return best
	}
	lowest := Estimate(now, candidates[best]).Latency
	for range sampledCandidates - 1 {
		index := e.drawOther(n, best, exclude)
		latency := Estimate(now, candidates[index]).Latency
		if latency < lowest {
			best, lowest = index, latency
		}
	}
	return best
}

// drawOther returns a random index other than best, or best if no other is left. If a candidate were compared with
// itself, a part of the calls would go to instances with bad estimates.
func (e *ExpectedLatency) drawOther(n, best int, exclude func(index int) bool) int {
	for range 2 {
		if index := e.source.draw(n, exclude); index != best {
			return index
		}
	}
	for i := range n {
		if index := (best + i + 1) % n; !exclude(index) {
			return index
		}
	}
	return best
}

// explores reports whether the call is sent to the candidate regardless of its estimate, to measure it.
func (e *ExpectedLatency) explores(candidate core.Candidate) bool {
	return e.source.intN(exploreInterval) == 0 && candidate.InFlight() == 0
}

// Forecast is the estimate for a call to a candidate.
type Forecast struct {
	// Latency is the expected latency. It includes the network round trip, the wait for a slot, the cost of failures
	// and the cost of an uneven distribution of this router's calls, and is meant for comparing candidates.
	Latency time.Duration
	// SpareConcurrency is the estimated number of free slots; it is negative if calls are queued.
	SpareConcurrency float64
}

// Estimate returns the forecast for a call sent to the candidate now.
func Estimate(now time.Time, candidate core.Candidate) Forecast {
	e := estimateLoad(now, candidate)
	cost := max(e.latency, e.failures*e.baselineLatency) + e.failures*failurePenalty*e.baselineLatency
	inFlight := e.otherInFlight + e.ownInFlight
	if e.limit > 0 {
		cost *= 1 + waitWeight*max(0, inFlight+1-e.limit)/e.limit
	}
	cost *= 1 + ownInFlightWeight*e.utilizationSquared()*e.ownInFlight/(1+e.meanOwnInFlight)
	return Forecast{
		Latency:          candidate.Delay() + time.Duration(cost),
		SpareConcurrency: e.limit - inFlight,
	}
}

// loadEstimate is the estimated load of a candidate, with old reports decayed towards the baseline. Times are in
// nanoseconds.
type loadEstimate struct {
	baselineLatency float64
	latency         float64
	failures        float64
	limit           float64
	otherInFlight   float64
	ownInFlight     float64
	meanOwnInFlight float64
	// meanInFlight is the mean over the instances of the service, negative if unknown.
	meanInFlight float64
}

// utilizationSquared returns the squared utilization of the service, at most 1. It returns 1 if the utilization is
// unknown.
func (e *loadEstimate) utilizationSquared() float64 {
	if e.limit <= 0 || e.meanInFlight < 0 {
		return 1
	}
	utilization := min(1, e.meanInFlight/e.limit)
	return utilization * utilization
}

func estimateLoad(now time.Time, candidate core.Candidate) loadEstimate {
	view, ok := candidate.(*View)
	if !ok {
		load, received := candidate.Load()
		e := estimateFromBaseline(&Baseline{})
		e.ownInFlight = float64(candidate.InFlight())
		if !received.IsZero() {
			e.applyReport(now, &report{load: load, received: received})
		}
		return e
	}
	e := estimateFromBaseline(view.baseline.Load())
	e.ownInFlight = float64(view.InFlight())
	if r := view.report.Load(); r != nil {
		e.applyReport(now, r)
	}
	e.failures = max(e.failures, view.FailureRate(now))
	if oldest := float64(view.Oldest(now)); oldest > stragglerFactor*e.latency {
		e.latency = oldest
	}
	return e
}

// estimateFromBaseline returns the estimate for an instance without a report.
func estimateFromBaseline(b *Baseline) loadEstimate {
	e := loadEstimate{
		baselineLatency: float64(b.Latency),
		limit:           float64(b.Limit),
		otherInFlight:   b.InFlight,
		meanOwnInFlight: b.OwnInFlight,
		meanInFlight:    b.InFlight,
	}
	if b.Latency == 0 {
		e.baselineLatency = float64(defaultLatency)
		e.meanInFlight = -1
	}
	e.latency = e.baselineLatency
	return e
}

// applyReport adjusts the estimate by a report, whose weight decreases with its age.
func (e *loadEstimate) applyReport(now time.Time, r *report) {
	age := max(now.Sub(r.received), 0)
	fresh := decay(age, float64(reportHalfLife))
	e.failures = fresh * r.load.FailureRate
	if r.load.Latency > 0 {
		e.latency += fresh * (float64(r.load.Latency) - e.latency)
	}
	e.limit = float64(r.load.Limit)
	others := max(float64(r.load.InFlight+r.load.Queued-r.ownInFlight), 0)
	e.otherInFlight += decay(age, occupancyHalfLife*e.baselineLatency) * (others - e.otherInFlight)
}

// decay returns a weight that is 1 at age 0 and 1/2 at the age halfLife, and then decreases hyperbolically.
func decay(age time.Duration, halfLife float64) float64 {
	return halfLife / (halfLife + float64(age))
}

// Baseline is the load that is assumed for an instance without a recent report.
type Baseline struct {
	// Latency is the typical service time of the service, or 0 if unknown.
	Latency time.Duration
	// Limit is the concurrency limit of an instance without a report, or 0 if unknown.
	Limit int
	// InFlight is the mean number of calls in flight at one instance, and OwnInFlight that of this router's calls.
	InFlight    float64
	OwnInFlight float64
	// Balance is how the failure domains share their room, or nil if calls leave them at a constant cost.
	Balance *spill.Balance
	// Work is the usual service time of this router's calls, or 0 if it is not known.
	Work time.Duration
	// RoundTrips holds the round-trip times to other failure domains, as far as they were measured.
	RoundTrips map[string]time.Duration
}

// NewBaseline returns the baseline of a service: means over its instances and their recent reports, and limit as the
// concurrency limit of instances without a report.
func NewBaseline(now time.Time, views []*View, limit int) *Baseline {
	b := &Baseline{Limit: limit}
	var reports, latency float64
	for _, v := range views {
		b.OwnInFlight += float64(v.InFlight()) / float64(len(views))
		load, received := v.Load()
		if received.IsZero() || now.Sub(received) > baselineMaxAge || load.Latency == 0 {
			continue
		}
		reports++
		latency += math.Log(float64(load.Latency))
		b.InFlight += float64(load.InFlight + load.Queued)
	}
	if reports > 0 {
		// Use the geometric mean, so that one straggler does not make the other instances look fast.
		b.Latency = time.Duration(math.Exp(latency / reports))
		b.InFlight /= reports
	}
	return b
}
