package admit

import (
	"time"

	"verbenareel/schema"
)

const (
	// While a suspect waits to run alone, other calls are held back for at most barrierFactor times the average slot
	// time, but at least for minBarrier.
	barrierFactor = 4
	minBarrier    = 100 * time.Millisecond
)

// ClearSuspects allows the matching suspects to run beside other calls, because another run of the same request has
// ended without a crash.
func (c *Controller) ClearSuspects(now time.Time, match func(*Call) bool) []Event {
	c.events = c.events[:0]
	for call := c.suspects.first; call != nil; {
		next := call.next
		if match(call) {
			c.dequeue(call)
			c.yieldIfSuspect(now, call)
			call.Alone = false
			c.enqueue(call)
		}
		call = next
	}
	c.start(now)
	return c.events
}

// enqueueSuspect queues a call that must run alone, or returns the reason for which it is refused.
func (c *Controller) enqueueSuspect(now time.Time, call *Call) schema.Reason {
	if c.suspects.length >= c.capacity || c.wouldBeLate(now, call, c.avgSlotTime*time.Duration(c.limiter.Limit(now)*(c.suspects.length+1))) {
		return schema.Reason_REASON_SUSPECT
	}
	c.enqueue(call)
	return schema.Reason_REASON_NONE
}

// suspectIsNext reports whether the first suspect is the next call to start. No other call starts before it, so that
// the calls in flight drain and the suspect does not starve.
func (c *Controller) suspectIsNext() bool {
	return c.suspects.first != nil && (c.startsBeforeSuspect == 0 || c.queued == 0)
}

// yieldTurn allows other calls to start before the next suspect.
func (c *Controller) yieldTurn(now time.Time) {
	c.startsBeforeSuspect = max(c.limiter.Limit(now), 1)
	c.barrierSince = time.Time{}
}

// yieldIfSuspect yields the turn of a suspect that leaves the queue without a run.
func (c *Controller) yieldIfSuspect(now time.Time, call *Call) {
	if call.Alone {
		c.yieldTurn(now)
	}
}

// checkBarrier refuses the first suspect if the calls in flight do not end in time. Otherwise a hanging call would
// hold back all other calls for as long as it hangs.
func (c *Controller) checkBarrier(now time.Time) {
	if !c.suspectIsNext() || c.inFlight == 0 {
		return
	}
	if c.barrierSince.IsZero() {
		c.barrierSince = now
	}
	if now.Sub(c.barrierSince) < max(barrierFactor*c.avgSlotTime, minBarrier) {
		return
	}
	suspect := c.suspects.first
	c.dequeue(suspect)
	c.refuse(suspect, schema.Reason_REASON_SUSPECT)
	c.yieldTurn(now)
}
