package worth

import (
	"maps"
	"math"
	"time"
)

const (
	// demandDecayTime is the time constant with which earlier requests lose weight in the demand.
	demandDecayTime = 2 * time.Second
	// decayStep is the least time after which the demand decays, so that not every call goes through all values.
	decayStep = 20 * time.Millisecond
	// minDemand is the demand below which a value is forgotten.
	minDemand = 0.01
	// maxKeep is the largest share of a budget that is kept for calls of higher worth.
	maxKeep = 0.9
	// clearlyHigher is the ratio of worths from which on a call precedes another one. Calls of similar worth share alike.
	clearlyHigher = 1.5
	// guaranteedShare is the share of its requests that a call of any worth gets from the last of a budget, so that no kind
	// is shut out.
	guaranteedShare = 0.05
)

// Order decides whose retries use a budget that is too small for all. A retry must leave a share of the budget that
// follows the recent demand of calls of higher worth. So calls of the highest worth may use the budget to the end, and the
// others use what the demand of the former leaves. An Order is not safe for concurrent use.
type Order struct {
	last   time.Time
	demand map[float64]*demand
}

// demand is the recent demand of the calls of one value.
type demand struct {
	// requests is the decayed number of requests, and owed the part of a retry that the calls were denied and are guaranteed.
	requests, owed float64
}

// Retry decides one request for a retry of a call of the given value and reports whether it was granted. capacity is the
// most that the budget can hold. reserve takes a retry if at least keep remains after it.
func (o *Order) Retry(now time.Time, value, capacity float64, reserve func(keep float64) bool) bool {
	d := o.record(now, value)
	keep := math.Min(o.Keep(value)*capacity, capacity-1)
	if reserve(math.Max(keep, 0)) {
		return true
	}
	d.owed = math.Min(d.owed+guaranteedShare, 1)
	if d.owed < 1 || !reserve(0) {
		return false
	}
	d.owed = 0
	return true
}

// Keep returns the share of the budget that a call of the given value must leave to calls of higher worth.
func (o *Order) Keep(value float64) float64 {
	above, total := 0.0, 0.0
	for v, d := range o.demand {
		total += d.requests
		if v > clearlyHigher*value {
			above += d.requests
		}
	}
	if above == 0 {
		return 0
	}
	return maxKeep * above / total
}

// record counts a request in the demand.
func (o *Order) record(now time.Time, value float64) *demand {
	o.decay(now)
	d := o.demand[value]
	if d == nil {
		d = &demand{}
		if o.demand == nil {
			o.demand = make(map[float64]*demand)
		}
		o.demand[value] = d
	}
	d.requests++
	return d
}

func (o *Order) decay(now time.Time) {
	elapsed := now.Sub(o.last)
	if elapsed < decayStep {
		return
	}
	o.last = now
	weight := math.Exp(-elapsed.Seconds() / demandDecayTime.Seconds())
	for _, d := range o.demand {
		d.requests *= weight
	}
	maps.DeleteFunc(o.demand, func(_ float64, d *demand) bool { return d.requests < minDemand })
}
