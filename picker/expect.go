package picker

import (
	"math"
	"time"

	"verbenareel/core"
)

// Constants of Expected; BenchmarkChoosers of package simul compares them.
const (
	// samples is how many random candidates are compared.
	samples = 3
	// trialShare is one in how many calls goes to a random instance without an unanswered call of this router, so that
	// an instance that looked bad is measured again.
	trialShare = 100
	// reportLife is the age at which latency and failures of a report count half and the neutral values count half.
	reportLife = time.Second
	// occupancyLife is the age, in service times, at which the calls in flight of a report count half.
	occupancyLife = 0.5
	// waitWeight weighs the expected wait for a slot. It is above 1, since a call above the limit may also be refused.
	waitWeight = 2
	// ownWeight weighs the calls of this router in flight, compared with their mean over the instances, by the square of
	// the utilization of the service: they are the only part of the view that is never stale.
	ownWeight = 3
	// failurePenalty is what a failed call costs, in usual service times. It is well above 1 so that an instance that
	// fails at once does not look fast.
	failurePenalty = 20
	// stragglerFactor is how many expected latencies the oldest unanswered call may wait before its wait counts as the
	// expected latency.
	stragglerFactor = 6
	// fallbackLatency is the service time assumed before any report of the service arrived.
	fallbackLatency = 10 * time.Millisecond
	// neutralLife is the age up to which reports count for the neutral values.
	neutralLife = 4 * reportLife
)

// Expected chooses the lowest expected latency among a few random candidates: network round trip, service time, wait
// for a slot, and the cost of failures.
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
	lowest := Estimate(now, candidates[best]).Latency
	for range samples - 1 {
		index := e.other(n, best, exclude)
		latency := Estimate(now, candidates[index]).Latency
		if latency < lowest {
			best, lowest = index, latency
		}
	}
	return best
}

// other returns a random index other than best, or best if it is the only one left. Comparing a candidate with itself
// would send part of the calls to an instance that looks bad.
func (e *Expected) other(n, best int, exclude func(index int) bool) int {
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

// trial reports whether the call is sent to the candidate to measure it, whatever its estimate.
func (e *Expected) trial(candidate core.Candidate) bool {
	return e.source.below(trialShare) == 0 && candidate.InFlight() == 0
}

// Forecast is what a call to a candidate is expected to meet.
type Forecast struct {
	// Latency includes the network round trip, the wait for a slot and the cost of failures and of an uneven share of
	// this router's calls. It serves to compare candidates.
	Latency time.Duration
	// Room is the estimated spare concurrency; it is negative if calls wait.
	Room float64
}

// Estimate returns the forecast for a call that is sent to the candidate now.
func Estimate(now time.Time, candidate core.Candidate) Forecast {
	e := gather(now, candidate)
	cost := max(e.latency, e.failures*e.usual) + e.failures*failurePenalty*e.usual
	inFlight := e.others + e.own
	if e.limit > 0 {
		cost *= 1 + waitWeight*max(0, inFlight+1-e.limit)/e.limit
	}
	cost *= 1 + ownWeight*e.pressure()*e.own/(1+e.meanOwn)
	return Forecast{
		Latency: candidate.Delay() + time.Duration(cost),
		Room:    e.limit - inFlight,
	}
}

// evidence is what is known of a candidate after the decay of old reports; times are in nanoseconds.
type evidence struct {
	usual    float64
	latency  float64
	failures float64
	limit    float64
	others   float64
	own      float64
	meanOwn  float64
	// meanInFlight is the mean over the instances of the service, negative if it is not known.
	meanInFlight float64
}

// pressure returns the square of the utilization of the service, at most 1; 1 if it is not known.
func (e *evidence) pressure() float64 {
	if e.limit <= 0 || e.meanInFlight < 0 {
		return 1
	}
	utilization := min(1, e.meanInFlight/e.limit)
	return utilization * utilization
}

func gather(now time.Time, candidate core.Candidate) evidence {
	view, ok := candidate.(*View)
	if !ok {
		load, received := candidate.Load()
		e := neutralEvidence(&Neutral{})
		e.own = float64(candidate.InFlight())
		if !received.IsZero() {
			e.apply(now, &report{load: load, received: received})
		}
		return e
	}
	e := neutralEvidence(view.neutral.Load())
	e.own = float64(view.InFlight())
	if r := view.report.Load(); r != nil {
		e.apply(now, r)
	}
	e.failures = max(e.failures, view.Failures(now))
	if oldest := float64(view.Oldest(now)); oldest > stragglerFactor*e.latency {
		e.latency = oldest
	}
	return e
}

// neutralEvidence returns what is assumed of an instance without a report.
func neutralEvidence(n *Neutral) evidence {
	e := evidence{
		usual:        float64(n.Latency),
		limit:        float64(n.Limit),
		others:       n.InFlight,
		meanOwn:      n.Own,
		meanInFlight: n.InFlight,
	}
	if n.Latency == 0 {
		e.usual = float64(fallbackLatency)
		e.meanInFlight = -1
	}
	e.latency = e.usual
	return e
}

// apply takes a report into account, the less the older it is.
func (e *evidence) apply(now time.Time, r *report) {
	age := max(now.Sub(r.received), 0)
	fresh := half(age, float64(reportLife))
	e.failures = fresh * r.load.FailureRate
	if r.load.Latency > 0 {
		e.latency += fresh * (float64(r.load.Latency) - e.latency)
	}
	e.limit = float64(r.load.Limit)
	others := max(float64(r.load.InFlight+r.load.Queued-r.own), 0)
	e.others += half(age, occupancyLife*e.usual) * (others - e.others)
}

// half returns a weight that is 1 at age 0, a half at the age of life, and falls slowly after that.
func half(age time.Duration, life float64) float64 {
	return life / (life + float64(age))
}

// Neutral is what is assumed of an instance without a recent report.
type Neutral struct {
	// Latency is the usual service time of the service; 0 if it is not known.
	Latency time.Duration
	// Limit is the concurrency of an instance about which nothing is known; 0 if it is not known.
	Limit int
	// InFlight is the usual number of calls in flight at one instance, and Own that of the calls of this router.
	InFlight float64
	Own      float64
}

// Average returns the neutral values of a service: means over its instances and their recent reports, and limit as the
// concurrency of an unknown instance.
func Average(now time.Time, views []*View, limit int) *Neutral {
	n := &Neutral{Limit: limit}
	var reports, latency float64
	for _, v := range views {
		n.Own += float64(v.InFlight()) / float64(len(views))
		load, received := v.Load()
		if received.IsZero() || now.Sub(received) > neutralLife || load.Latency == 0 {
			continue
		}
		reports++
		latency += math.Log(float64(load.Latency))
		n.InFlight += float64(load.InFlight + load.Queued)
	}
	if reports > 0 {
		// The geometric mean, so that one straggler does not make the others look fast.
		n.Latency = time.Duration(math.Exp(latency / reports))
		n.InFlight /= reports
	}
	return n
}
