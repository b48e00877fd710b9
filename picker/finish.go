package picker

import (
	"math"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// paceLife is the age at which a reported pace counts half.
	paceLife = 100 * time.Millisecond
	// usualPace is the pace that is assumed of an instance whose pace is not known.
	usualPace = 1.8
	// kneeShare is the share of slots in use above which backend servers slow down, and kneeCost by how much.
	kneeShare = 0.8
	kneeCost  = 1.7
	// spreadCost is what the calls in flight cost below the knee, at all slots in use. It spreads calls over instances that
	// are alike, whose room shrinks before their next report.
	spreadCost = 0.5
	// coldCost is how many times as long work takes in cold start, at an instance whose pace is not known.
	coldCost = 2
	// trySome is one in how many calls goes to any instance at which it would start at once, so that new instances and those
	// far away get some work and are known to answer.
	trySome = 25
	// silentAfter is the age of the last report at which an instance that reports by itself may be cut off, and silentCost
	// what this costs.
	silentAfter = 300 * time.Millisecond
	silentCost  = 4
)

// Finish chooses the candidate at which a call is expected to finish first, by the pace that the backend server itself
// reports. It is for instances that report their load many times a second.
type Finish struct {
	source Source
	// domain is that of the router, and remote the cost of the way to another one, as a share of the service time.
	domain string
	remote float64
}

// NewFinish returns a Finish for a router in the failure domain; a nil source means math/rand/v2.
func NewFinish(domain string, remote float64, source Source) *Finish {
	return &Finish{source: orDefault(source), domain: domain, remote: remote}
}

// Choose implements core.Chooser. Of candidates that are alike, the first from a random start is chosen.
func (f *Finish) Choose(now time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	if f.source.below(trySome) == 0 {
		if index := f.source.draw(n, func(i int) bool { return exclude(i) || !isReady(now, candidates[i]) }); index >= 0 {
			return index
		}
	}
	best, lowest := -1, math.Inf(1)
	start := f.source.below(n)
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

// isReady reports whether a call that is sent now would probably start at once.
func isReady(now time.Time, candidate core.Candidate) bool {
	view, ok := candidate.(*View)
	return ok && view.Ready(now)
}

// cost returns the expected time of a call in service times of the usual pace.
func (f *Finish) cost(now time.Time, candidate core.Candidate) float64 {
	load, received := candidate.Load()
	e := gather(now, candidate)
	age := now.Sub(received)
	cost := pace(load, received, age) * f.crowding(e)
	if load.State == schema.InstanceState_INSTANCE_STATE_COLD && load.Pace <= 0 {
		cost *= coldCost
	}
	if !received.IsZero() && age > silentAfter {
		cost *= silentCost
	}
	cost += startWait(candidate, load, e.usual)
	cost *= 1 + failurePenalty*e.failures
	if candidate.Instance().Domain() != f.domain {
		cost += f.remote
	}
	return cost
}

// pace returns the pace to be expected: the reported one, the less so the older it is.
func pace(load core.LoadReport, received time.Time, age time.Duration) float64 {
	if received.IsZero() || load.Pace <= 0 {
		return usualPace
	}
	usual := usualPace * max(load.BasePace, 1)
	return usual + half(max(age, 0), float64(paceLife))*(load.Pace-usual)
}

// startWait returns the wait until an instance whose starts are bounded may begin another call, in service times.
func startWait(candidate core.Candidate, load core.LoadReport, usual float64) float64 {
	if load.StartRate == 0 || usual <= 0 {
		return 0
	}
	sent := 0
	if view, ok := candidate.(*View); ok {
		sent = view.SentSince()
	}
	missing := sent + 1 + load.Queued - load.StartsLeft
	return float64(max(0, missing)) / float64(load.StartRate) * float64(time.Second) / usual
}

// crowding returns how many times as long a call takes since others are in flight or wait.
func (f *Finish) crowding(e evidence) float64 {
	if e.limit <= 0 {
		return 1
	}
	share := (e.others + e.own + 1) / e.limit
	cost := 1 + spreadCost*share
	if share > kneeShare {
		cost *= kneeCost
	}
	return cost + max(0, share-1)
}
