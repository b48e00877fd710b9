package picker

import (
	"math"
	"time"

	"verbenareel/core"
	"verbenareel/spill"
)

// ByNeed is an EarliestFinish that sends a call to another failure domain only if the call needs it: if it would be late in
// the router's domain. Calls without a target latency follow EarliestFinish with its constant cost.
type ByNeed struct {
	*EarliestFinish
}

// NewByNeed returns a ByNeed; base is its fallback.
func NewByNeed(base *EarliestFinish) *ByNeed { return &ByNeed{EarliestFinish: base} }

// ChooseFor implements core.NeedChooser.
func (b *ByNeed) ChooseFor(now time.Time, need core.Need, candidates []core.Candidate, exclude func(index int) bool) core.Choice {
	if need.Target <= 0 {
		index := b.Choose(now, candidates, exclude)
		return core.Choice{Index: index, Leave: b.leaves(candidates, index, core.LeaveCost)}
	}
	if index := b.explore(now, candidates, exclude); index >= 0 {
		return core.Choice{Index: index}
	}
	home, queue := b.chooseHome(now, need, candidates, exclude)
	homeSide := side(now, need, candidates, home)
	call := spill.Call{Target: need.Target, Left: need.Left, RequestBytes: need.RequestBytes, AnswerBytes: need.AnswerBytes}
	if spill.InTime(call, homeSide) {
		return core.Choice{Index: home, Queue: queue}
	}
	away := b.chooseAway(now, candidates, exclude)
	if away < 0 || home >= 0 && isClosed(now, candidates[away]) {
		return core.Choice{Index: home, Queue: queue}
	}
	if home < 0 {
		return core.Choice{Index: away, Leave: core.LeaveNoInstance}
	}
	roundTrip, ease := roundTripTo(candidates[away]), planOf(candidates[away]).Ease()
	reason := spill.Decide(call, homeSide, side(now, need, candidates, away), roundTrip, ease, b.source.float())
	if reason == "" {
		return core.Choice{Index: home, Queue: queue}
	}
	return core.Choice{Index: away, Leave: reason}
}

// leaves returns the reason if the candidate is in another domain.
func (b *ByNeed) leaves(candidates []core.Candidate, index int, reason core.LeaveReason) core.LeaveReason {
	if index < 0 || b.isHome(candidates[index]) {
		return ""
	}
	return reason
}

func (b *ByNeed) isHome(candidate core.Candidate) bool {
	return candidate.Instance().Domain() == b.domain
}

// explore returns a random ready instance of the router's domain for some calls, or -1. Instances of other domains are known
// by their reports alone, since a call to measure them would cross domains.
func (b *ByNeed) explore(now time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	if b.source.intN(readyExploreInterval) != 0 {
		return -1
	}
	return b.source.draw(len(candidates), func(i int) bool {
		return !b.isHome(candidates[i]) || exclude(i) || !isReady(now, candidates[i])
	})
}

// chooseHome returns the cheapest candidate of the router's domain, or -1. queue reports that it has declined the call, which
// is then to wait there.
func (b *ByNeed) chooseHome(now time.Time, need core.Need, candidates []core.Candidate, exclude func(index int) bool) (best int, queue bool) {
	best, lowest := -1, math.Inf(1)
	start := b.source.intN(max(1, len(candidates)))
	for i := range candidates {
		index := (start + i) % len(candidates)
		if !b.isHome(candidates[index]) {
			continue
		}
		declined := need.Declined != nil && need.Declined(index)
		if !declined && exclude(index) {
			continue
		}
		if cost := b.cost(now, candidates[index]) + closedCost(now, candidates[index]); cost < lowest {
			best, lowest, queue = index, cost, declined
		}
	}
	return best, queue
}

// chooseAway draws a candidate of another domain among those that would start a call at once, by their room and by what their
// own domain leaves of it. The routers of all domains see the same reports, so the best candidate would get the calls of all.
// If no candidate is ready, it returns the cheapest, or -1 if there is none.
func (b *ByNeed) chooseAway(now time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	chosen, total := -1, 0.0
	cheapest, lowest := -1, math.Inf(1)
	for i, candidate := range candidates {
		if b.isHome(candidate) || exclude(i) {
			continue
		}
		if weight := room(now, candidate); weight > 0 {
			total += weight
			// Reservoir sampling keeps each candidate with a chance in proportion to its weight.
			if b.source.float() < weight/total {
				chosen = i
			}
		} else if cost := b.cost(now, candidate) + closedCost(now, candidate); chosen < 0 && cost < lowest {
			cheapest, lowest = i, cost
		}
	}
	if chosen >= 0 {
		return chosen
	}
	return cheapest
}

// room returns the free slots of an instance below the share at which it slows down, by its pace and by the share that its own
// domain does not need. It is 0 if the instance would not start a call at once.
func room(now time.Time, candidate core.Candidate) float64 {
	view, ok := candidate.(*View)
	if !ok || !view.Ready(now) {
		return 0
	}
	load, received := view.Load()
	used := float64(load.InFlight + load.Queued + view.SentSinceReport())
	free := kneeShare*float64(load.Limit) - used
	pace := expectedPace(load, received, now.Sub(received))
	return max(0, free) / pace * planOf(candidate).Open(candidate.Instance().Domain())
}

// Capacity returns the number of calls that an instance works on at its usual pace without slowing down. slots is its limit if
// it has not reported one.
func Capacity(now time.Time, view *View, slots int) float64 {
	load, received := view.Load()
	if received.IsZero() {
		return kneeShare * float64(slots)
	}
	if load.Pace <= 0 {
		return kneeShare * float64(load.Limit)
	}
	return kneeShare * float64(load.Limit) / expectedPace(load, received, now.Sub(received))
}

// planOf returns the balance of the service of a candidate, or nil.
func planOf(candidate core.Candidate) *spill.Balance {
	view, ok := candidate.(*View)
	if !ok {
		return nil
	}
	return view.baseline.Load().Balance
}

// roundTripTo returns the round-trip time to a candidate: as measured, or as the document says if that is longer.
func roundTripTo(candidate core.Candidate) time.Duration {
	view, ok := candidate.(*View)
	if !ok {
		return candidate.Delay()
	}
	return max(candidate.Delay(), view.baseline.Load().RoundTrips[candidate.Instance().Domain()])
}

// side describes a chosen candidate for the decision.
func side(now time.Time, need core.Need, candidates []core.Candidate, index int) spill.Side {
	if index < 0 {
		return spill.Side{}
	}
	if isClosed(now, candidates[index]) {
		return spill.Side{}
	}
	return spill.Side{Exists: true, Finish: expectedFinish(now, candidates[index], need.Work)}
}

// isClosed reports whether the guard of a candidate has just reported that it starts no calls, for example because its backend
// server is down. Its load alone looks like that of an idle server.
func isClosed(now time.Time, candidate core.Candidate) bool {
	load, received := candidate.Load()
	return !received.IsZero() && now.Sub(received) <= maxReportAge && load.Limit == 0
}

// closedCost returns a cost that puts a closed candidate behind all others.
func closedCost(now time.Time, candidate core.Candidate) float64 {
	if isClosed(now, candidate) {
		return math.MaxFloat32
	}
	return 0
}

// expectedFinish returns the expected time until a call finishes at a candidate, without the network. work is the usual service
// time of the call; 0 means that of the service. Unlike the cost, it contains nothing that only spreads calls.
func expectedFinish(now time.Time, candidate core.Candidate, work time.Duration) time.Duration {
	load, received := candidate.Load()
	e := estimateLoad(now, candidate)
	mean := e.baselineLatency
	if view, ok := candidate.(*View); ok && view.baseline.Load().Work > 0 {
		mean = float64(view.baseline.Load().Work)
	}
	usual := float64(work)
	if work <= 0 {
		usual = mean
	}
	age := now.Sub(received)
	factor := expectedPace(load, received, age)
	if !received.IsZero() && age > maxReportAge {
		factor *= staleReportCost
	}
	wait := 0.0
	if e.limit > 0 {
		share := (e.otherInFlight + e.ownInFlight + 1) / e.limit
		if share > kneeShare {
			factor *= kneeCost
		}
		wait = max(0, share-1)
	}
	finish := usual * factor * (1 + failurePenalty*e.failures)
	// Calls wait for other calls, so the wait is in service times of the mean call.
	finish += mean * (wait*factor + startWait(candidate, load, mean))
	return time.Duration(min(finish, float64(time.Hour))) + load.ReceiveWait
}
