package admit

import (
	"time"

	"verbenareel/schema"
)

const (
	// patienceFactor times the average service time, but at least minPatience, is how long other calls are held back
	// until a suspect can run alone.
	patienceFactor = 4
	minPatience    = 100 * time.Millisecond
)

// Clear lets the suspects that match run beside other calls: another run of the same request has ended without a crash.
func (c *Controller) Clear(now time.Time, match func(*Call) bool) []Event {
	c.events = c.events[:0]
	for call := c.suspects.first; call != nil; {
		next := call.next
		if match(call) {
			c.dequeue(call)
			c.forgo(now, call)
			call.Alone = false
			c.enqueue(call)
		}
		call = next
	}
	c.start(now)
	return c.events
}

// admitSuspect queues a call that has to run alone.
func (c *Controller) admitSuspect(now time.Time, call *Call) schema.Reason {
	if c.suspects.length >= c.capacity || c.late(now, call, c.service*time.Duration(c.limiter.Limit(now)*(c.suspects.length+1))) {
		return schema.Reason_REASON_SUSPECT
	}
	c.enqueue(call)
	return schema.Reason_REASON_NONE
}

// suspectNext reports whether the first suspect has its turn. Until it has run, no other call starts, so that the calls
// in flight end and the suspect does not starve.
func (c *Controller) suspectNext() bool {
	return c.suspects.first != nil && (c.turns == 0 || c.queued == 0)
}

// passTurn lets other calls start before the next suspect.
func (c *Controller) passTurn(now time.Time) {
	c.turns = max(c.limiter.Limit(now), 1)
	c.barrier = time.Time{}
}

// forgo passes the turn of a suspect that leaves the queue without a run.
func (c *Controller) forgo(now time.Time, call *Call) {
	if call.Alone {
		c.passTurn(now)
	}
}

// checkBarrier refuses the first suspect if the calls in flight do not end in time: one that hangs would otherwise hold
// back all others for as long.
func (c *Controller) checkBarrier(now time.Time) {
	if !c.suspectNext() || c.inFlight == 0 {
		return
	}
	if c.barrier.IsZero() {
		c.barrier = now
	}
	if now.Sub(c.barrier) < max(patienceFactor*c.service, minPatience) {
		return
	}
	suspect := c.suspects.first
	c.dequeue(suspect)
	c.refuse(suspect, schema.Reason_REASON_SUSPECT)
	c.passTurn(now)
}
