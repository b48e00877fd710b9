package admit

import (
	"time"

	"verbenareel/schema"
)

const (
	// lateValue is the value of an answer that misses its target, relative to one that meets it.
	lateValue = 0.25
	// targetMarginDivisor sets the margin to its target that a call must have to be queued behind others: its
	// expected service time divided by this number.
	targetMarginDivisor = 5
	// shortFactor is how many times shorter than the average slot time the expected time of a short call is at least.
	shortFactor = 2
)

// wouldBeLate reports whether a call that is queued behind the given total service time is expected to miss its
// deadline. It also reports true if the call is expected to miss its target while other calls are queued, since it
// would take the place of calls that can still meet theirs.
func (c *Controller) wouldBeLate(now time.Time, call *Call, ahead time.Duration) bool {
	limit := max(c.limiter.Limit(now), 1)
	wait := (ahead + c.avgSlotTime) / time.Duration(limit)
	if c.rateLimited() && c.rateExhausted(now) {
		wait = max(wait, c.holdUntil.Sub(now), RateWindow*time.Duration(c.queued+1)/time.Duration(c.rate))
	}
	end := now.Add(wait + c.expected(call))
	if !call.Target.IsZero() && c.queued > 0 && !c.isShort(call) && end.Add(c.expected(call)/targetMarginDivisor).After(call.Target) {
		return true
	}
	return end.After(call.Deadline)
}

// isShort reports whether a call is expected to take much less time than the average. Such a call delays others
// little, and is often a nested call that a running call waits for.
func (c *Controller) isShort(call *Call) bool { return shortFactor*c.expected(call) < c.avgSlotTime }

// waitingAhead returns the number of queued calls with at least the given rank.
func (c *Controller) waitingAhead(rank int) int {
	count := 0
	for i := rank; i < ranks; i++ {
		count += c.queues[i].length
	}
	return count
}

// workAhead returns the total expected time of the queued calls that start before a new one. For a call with a target
// these are the calls that precede it and all calls without a target, otherwise the calls of at least its rank.
func (c *Controller) workAhead(now time.Time, call *Call) time.Duration {
	if call.Target.IsZero() {
		return c.avgSlotTime * time.Duration(c.waitingAhead(call.rank())-c.waitingOver(now, call))
	}
	var sum time.Duration
	for i := range c.queues {
		for waiting := c.queues[i].first; waiting != nil; waiting = waiting.next {
			if waiting.Target.IsZero() || !c.startsBefore(now, call, waiting) {
				sum += c.expected(waiting)
			}
		}
	}
	return sum
}

// makeRoom refuses a queued call of lower value than a new one, and reports whether there was one.
func (c *Controller) makeRoom(now time.Time, call *Call) bool {
	if call.Target.IsZero() {
		return c.preempt(now, call.rank()) || c.preemptMostOver(now, call)
	}
	var least *Call
	for i := range c.queues {
		for waiting := c.queues[i].first; waiting != nil; waiting = waiting.next {
			if !waiting.Target.IsZero() && (least == nil || c.precedes(now, least, waiting)) {
				least = waiting
			}
		}
	}
	if least != nil && least.Priority >= call.Priority && c.preemptMostOver(now, call) {
		return true
	}
	if least == nil || !c.startsBefore(now, call, least) {
		return false
	}
	c.preemptCall(c.unfairest(now, least))
	return true
}

// preempt refuses the newest call of the lowest rank below rank, and reports whether there was one.
func (c *Controller) preempt(now time.Time, rank int) bool {
	for i := range rank {
		if call := c.queues[i].last; call != nil {
			c.preemptCall(c.unfairest(now, call))
			return true
		}
	}
	return false
}

// preemptCall refuses a queued call.
func (c *Controller) preemptCall(call *Call) {
	c.dequeue(call)
	c.refuse(call, schema.Reason_REASON_PREEMPTED)
}

// mostValuable returns the queued call with a target that has the highest value per time in its slot, or nil. Among
// calls of equal value, the one with the earliest target comes first.
func (c *Controller) mostValuable(now time.Time) *Call {
	var best *Call
	for i := ranks - 1; i >= 0; i-- {
		for call := c.queues[i].first; call != nil; call = call.next {
			if !call.Target.IsZero() && (best == nil || c.precedes(now, call, best)) {
				best = call
			}
		}
	}
	return best
}

// value returns the value of a call that starts now per second in its slot.
func (c *Controller) value(now time.Time, call *Call) float64 {
	expected := max(c.expected(call), time.Millisecond)
	value := float64(max(call.Priority, schema.Priority_PRIORITY_LOW)) / expected.Seconds()
	if now.Add(expected).After(call.Target) {
		value *= lateValue
	}
	return value
}

// precedes reports whether a call starts before another one. Both must have a target.
func (c *Controller) precedes(now time.Time, call, other *Call) bool {
	a, b := c.value(now, call), c.value(now, other)
	return a > b || a == b && call.Target.Before(other.Target)
}

// expected returns the expected service time of a call.
func (c *Controller) expected(call *Call) time.Duration {
	if call.Expected > 0 {
		return call.Expected
	}
	return c.avgSlotTime
}

// missesTarget reports whether a queued call can no longer meet its target while so many others are queued ahead of
// it that it would wait until its deadline.
func (c *Controller) missesTarget(now time.Time, call *Call) bool {
	if call.Target.IsZero() || c.isShort(call) || 2*c.queued < c.limiter.Limit(now) {
		return false
	}
	return now.Add(c.expected(call)).After(call.Target)
}
