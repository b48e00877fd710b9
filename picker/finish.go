package picker

import (
	"math"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// paceHalfLife is the age at which a reported pace and the default are weighted equally.
	paceHalfLife = 100 * time.Millisecond
	// defaultPace is the pace assumed for an instance whose pace is unknown.
	defaultPace = 1.8
	// kneeShare is the share of slots in use above which backend servers slow down, and kneeCost the factor by which
	// they do.
	kneeShare = 0.8
	kneeCost  = 1.7
	// spreadCost is the cost of calls in flight below the knee, at full use of the slots. It spreads calls over equally
	// good instances, whose spare concurrency shrinks before their next report.
	spreadCost = 0.5
	// coldCost is the factor by which calls take longer during a cold start, at an instance whose pace is unknown.
	coldCost = 2
	// readyExploreInterval makes one in this many calls go to a random instance that would start it at once. New and
	// remote instances thus get some calls and are known to be reachable.
	readyExploreInterval = 25
	// maxReportAge is the age of the last report above which an instance that sends reports by itself may be
	// partitioned, and staleReportCost the factor on its cost.
	maxReportAge    = 300 * time.Millisecond
	staleReportCost = 4
)

// EarliestFinish chooses the candidate at which the call is expected to finish first, by the pace that the backend server
// reports. It is meant for instances that report their load many times a second.
type EarliestFinish struct {
	source Source
	// domain is the failure domain of the router, and remoteCost the cost of a call to another one, in multiples of the
	// service time.
	domain     string
	remoteCost float64
}

// NewEarliestFinish returns an EarliestFinish for a router in the failure domain; a nil source means math/rand/v2.
func NewEarliestFinish(domain string, remote float64, source Source) *EarliestFinish {
	return &EarliestFinish{source: sourceOrDefault(source), domain: domain, remoteCost: remote}
}

// Choose implements core.Chooser. Among candidates of equal cost, it takes the first one after a random index.
func (f *EarliestFinish) Choose(now time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	if f.source.intN(readyExploreInterval) == 0 {
		if index := f.source.draw(n, func(i int) bool { return exclude(i) || !isReady(now, candidates[i]) }); index >= 0 {
			return index
		}
	}
	best, lowest := -1, math.Inf(1)
	start := f.source.intN(n)
	for i := range n {
		index := (start + i) % n
		if exclude(index) {
			continue
		}
		if cost := f.cost(now, candidates[index]); cost < lowest {
			best, lowest = index, cost
		}
	}
	return best
}

// isReady reports whether a call sent now would probably start at once.
func isReady(now time.Time, candidate core.Candidate) bool {
	view, ok := candidate.(*View)
	return ok && view.Ready(now)
}

// cost returns the expected duration of a call, in multiples of the usual service time.
func (f *EarliestFinish) cost(now time.Time, candidate core.Candidate) float64 {
	load, received := candidate.Load()
	e := estimateLoad(now, candidate)
	age := now.Sub(received)
	cost := expectedPace(load, received, age) * f.contentionCost(e)
	if load.State == schema.InstanceState_INSTANCE_STATE_COLD && load.Pace <= 0 {
		cost *= coldCost
	}
	if !received.IsZero() && age > maxReportAge {
		cost *= staleReportCost
	}
	cost += startWait(candidate, load, e.baselineLatency)
	if e.baselineLatency > 0 {
		cost += float64(load.ReceiveWait) / e.baselineLatency
	}
	cost *= 1 + failurePenalty*e.failures
	if candidate.Instance().Domain() != f.domain {
		cost += f.remoteCost
	}
	return cost
}

// expectedPace returns the reported pace, decayed with its age towards defaultPace times the base pace.
func expectedPace(load core.LoadReport, received time.Time, age time.Duration) float64 {
	if received.IsZero() || load.Pace <= 0 {
		return defaultPace
	}
	usual := defaultPace * max(load.BasePace, 1)
	return usual + decay(max(age, 0), float64(paceHalfLife))*(load.Pace-usual)
}

// startWait returns the wait, in service times, until an instance with a limited start rate may start another call.
func startWait(candidate core.Candidate, load core.LoadReport, serviceTime float64) float64 {
	if load.StartRate == 0 || serviceTime <= 0 {
		return 0
	}
	sent := 0
	if view, ok := candidate.(*View); ok {
		sent = view.SentSinceReport()
	}
	missing := sent + 1 + load.Queued - load.StartsLeft
	return float64(max(0, missing)) / float64(load.StartRate) * float64(time.Second) / serviceTime
}

// contentionCost returns the factor by which other calls, in flight or queued, slow down a call.
func (f *EarliestFinish) contentionCost(e loadEstimate) float64 {
	if e.limit <= 0 {
		return 1
	}
	share := (e.otherInFlight + e.ownInFlight + 1) / e.limit
	cost := 1 + spreadCost*share
	if share > kneeShare {
		cost *= kneeCost
	}
	return cost + max(0, share-1)
}
