// Package admit is the admission control of a guard: a state machine of calls in flight, queued calls and exclusive
// runs. It does no I/O, holds no lock and reads no clock.
package admit

import (
	"math"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// ranks is the number of queues: one for each priority of repeatable calls, then one for each priority of calls
	// that must not be repeated.
	ranks = 2 * (int(schema.Priority_PRIORITY_HIGH) + 1)
	// slotTimeWeight is the weight of one call in the moving average of the time that a call holds its slot.
	slotTimeWeight = 0.1
)

// state is the state of a call in its life cycle.
type state int

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateEnded
)

// Call is a call that requests admission. The owner sets the exported fields and does not change them afterwards.
type Call struct {
	// Priority orders calls with the same value of Repeatable.
	Priority schema.Priority
	// Repeatable calls are started last and refused first.
	Repeatable bool
	// Eager calls are refused if they cannot start at once.
	Eager bool
	// Alone marks a call that is suspected of crashing the backend server and must run with no other call in flight.
	Alone bool
	// Deadline is the time after which the call must not start.
	Deadline time.Time
	// Target is the time until which the answer has its full value; zero if the call has none. Among queued calls,
	// short ones and those that can still meet their target start first, and among equals the one with the earliest
	// target.
	Target time.Time
	// Expected is the expected service time; 0 means the average of all calls.
	Expected time.Duration
	// Customer is the name of the customer that the call belongs to, or empty.
	Customer string
	// Owner is an arbitrary value of the owner.
	Owner any

	state      state
	started    time.Time
	sent       time.Time
	inFlight   int
	prev, next *Call
	queue      *list
	// share is the recent use by the customer, or nil; charged is the slot time that the start of the call added to it.
	share   *share
	charged time.Duration
}

// Started returns the time at which the call started.
func (c *Call) Started() time.Time { return c.started }

// InFlight returns the number of calls in flight when the call started, including itself.
func (c *Call) InFlight() int { return c.inFlight }

// Queued reports whether the call is in the queue.
func (c *Call) Queued() bool { return c.state == stateQueued }

// rank returns the index of the queue for the call.
func (c *Call) rank() int {
	priority := int(c.Priority)
	if c.Priority == schema.Priority_PRIORITY_UNSPECIFIED {
		priority = int(schema.Priority_PRIORITY_NORMAL)
	}
	if !c.Repeatable {
		priority += ranks / 2
	}
	return min(max(priority, 0), ranks-1)
}

// Event tells the owner to start a call (REASON_NONE) or that it was refused. Each call gets exactly one event.
type Event struct {
	Call   *Call
	Reason schema.Reason
}

// Controller decides which calls run. The slices of events that its methods return are valid until the next method
// call.
type Controller struct {
	limiter  core.Limiter
	capacity int

	inFlight  int
	exclusive bool
	closed    schema.Reason
	paused    bool

	queues   [ranks]list
	queued   int
	suspects list
	// startsBeforeSuspect is the number of other calls that may start before the next suspect, so that a stream of
	// suspects does not starve them.
	startsBeforeSuspect int
	// barrierSince is the time since which other calls are held back for the first suspect, or zero.
	barrierSince time.Time
	avgSlotTime  time.Duration
	events       []Event
	// rate bounds the number of calls sent to the backend server within one second; 0 means no bound. A call counts
	// from its admission until RateWindow after its first byte was sent, because a dial or a pause may lie between
	// the two.
	rate   int
	unsent int
	sends  window
	// holdUntil is the time before which no call starts while warmAt is zero.
	holdUntil time.Time
	// warmAt is the last time at which the backend server was confirmed to handle any rate. warmConfirmed is true
	// while no later report puts that in doubt.
	warmAt        time.Time
	warmConfirmed bool
	// gate reports whether the backend server is in a phase in which starting calls is worthwhile.
	gate func(now time.Time) bool
	// shares is the recent use of the slots by each customer.
	shares shares
}

// New returns a controller whose queue holds at most capacity calls and, in addition, as many suspects.
func New(limiter core.Limiter, capacity int) *Controller {
	return &Controller{limiter: limiter, capacity: max(capacity, 0), gate: func(time.Time) bool { return true }}
}

// SetCapacity changes the capacity of the queue. Calls that are already queued stay in it.
func (c *Controller) SetCapacity(capacity int) { c.capacity = max(capacity, 0) }

// SetRate bounds the number of calls sent within any second; a value below 1 sets no bound. The owner reports each
// send with Sent.
func (c *Controller) SetRate(perSecond float64) { c.rate = int(math.Floor(perSecond)) }

// HoldUntil starts no call before a time, because the number of calls sent in the last second is not known. The hold
// ends early once SetWarm sets a time; a zero time removes it.
func (c *Controller) HoldUntil(until time.Time) { c.holdUntil = until }

// SetWarm sets the last time at which the backend server was confirmed to handle any rate, and whether it is still
// confirmed to do so. Calls sent before that time do not count towards the rate. Calls sent since then count in
// either case, because the server may have turned cold.
func (c *Controller) SetWarm(at time.Time, warmConfirmed bool) {
	c.warmAt, c.warmConfirmed = at, warmConfirmed
}

// SetGate sets a function that is called before each start. While it returns false, calls stay queued; Tick calls it
// again.
func (c *Controller) SetGate(gate func(now time.Time) bool) { c.gate = gate }

// Evict refuses the queued calls for which match returns true, other than suspects.
func (c *Controller) Evict(now time.Time, reason schema.Reason, match func(*Call) bool) []Event {
	c.events = c.events[:0]
	for i := range c.queues {
		for call := c.queues[i].first; call != nil; {
			next := call.next
			if match(call) {
				c.dequeue(call)
				c.refuse(call, reason)
			}
			call = next
		}
	}
	c.start(now)
	return c.events
}

// rateExhausted reports whether no call may start now because the calls sent within the last second use up the rate,
// or may do so.
func (c *Controller) rateExhausted(now time.Time) bool {
	return c.rate > 0 && (c.onHold(now) || c.countedSends(now) >= c.rate)
}

// rateLimited reports whether the rate applies because the backend server is not confirmed to handle any rate.
func (c *Controller) rateLimited() bool { return c.rate > 0 && !c.warmConfirmed }

// onHold reports whether no call may start because the number of calls sent in the last second is not known.
func (c *Controller) onHold(now time.Time) bool { return c.warmAt.IsZero() && now.Before(c.holdUntil) }

// countedSends returns the number of calls that count towards the rate.
func (c *Controller) countedSends(now time.Time) int { return c.unsent + c.sends.since(now, c.warmAt) }

// StartsLeft returns the bound on the calls per second, or 0 if there is none, and how many of them may start now.
func (c *Controller) StartsLeft(now time.Time) (rate, left int) {
	switch {
	case !c.rateLimited():
		return 0, 0
	case c.onHold(now):
		return c.rate, 0
	}
	return c.rate, max(0, c.rate-c.countedSends(now))
}

// MarkSent records that the first byte of a started call was sent. A call that ends without it never reached the backend
// server.
func (c *Controller) MarkSent(now time.Time, call *Call) {
	if !call.sent.IsZero() || call.state != stateRunning {
		return
	}
	call.sent = now
	c.unsent--
	c.sends.add(now)
}

// Unsent returns the number of calls that were started but not sent yet.
func (c *Controller) Unsent() int { return c.unsent }

// SendsSince returns the number of calls whose first byte was sent at from or later and within RateWindow before now.
func (c *Controller) SendsSince(now, from time.Time) int { return c.sends.since(now, from) }

// InFlight returns the number of calls that occupy the backend server.
func (c *Controller) InFlight() int { return c.inFlight }

// Queued returns the number of queued calls, including suspects.
func (c *Controller) Queued() int { return c.queued + c.suspects.length }

// Closed returns the reason for which new calls are refused, or REASON_NONE.
func (c *Controller) Closed() schema.Reason { return c.closed }

// Paused reports whether starts are paused.
func (c *Controller) Paused() bool { return c.paused }

// Offer starts, queues or refuses a new call, after starting queued calls that could have started before it.
func (c *Controller) Offer(now time.Time, call *Call) []Event {
	c.events = c.events[:0]
	c.shares.recordOffer(now, call)
	c.expire(now)
	c.start(now)
	if reason := c.enqueueOrRefuse(now, call); reason != schema.Reason_REASON_NONE {
		c.refuse(call, reason)
	}
	c.start(now)
	return c.events
}

// Finish ends a started call whose response or connection has ended.
func (c *Controller) Finish(now time.Time, call *Call) []Event {
	c.events = c.events[:0]
	if call.state != stateRunning {
		return c.events
	}
	call.state = stateEnded
	c.inFlight--
	if call.sent.IsZero() {
		c.unsent--
	}
	c.recordSlotTime(now.Sub(call.started))
	c.shares.recordEnd(now, call)
	if call.Alone {
		c.exclusive = false
		c.yieldTurn(now)
	}
	c.start(now)
	return c.events
}

// Cancel removes a queued call, with one event for it, and reports whether it did. A running call is not affected.
func (c *Controller) Cancel(now time.Time, call *Call, reason schema.Reason) (bool, []Event) {
	c.events = c.events[:0]
	if call.state != stateQueued {
		return false, c.events
	}
	c.dequeue(call)
	c.refuse(call, reason)
	c.yieldIfSuspect(now, call)
	c.start(now)
	return true, c.events
}

// Tick refuses the calls whose deadline has passed and starts others if the limit or the rate allows it.
func (c *Controller) Tick(now time.Time) []Event {
	c.events = c.events[:0]
	c.expire(now)
	c.start(now)
	return c.events
}

// Close refuses new and queued calls with reason; running calls continue.
func (c *Controller) Close(reason schema.Reason) []Event {
	c.events = c.events[:0]
	c.closed = reason
	for i := ranks - 1; i >= 0; i-- {
		c.refuseAll(&c.queues[i], reason)
	}
	c.refuseAll(&c.suspects, reason)
	return c.events
}

// Open accepts calls again after Close.
func (c *Controller) Open() { c.closed = schema.Reason_REASON_NONE }

// Pause starts no calls until Resume. New calls are queued up to the capacity.
func (c *Controller) Pause() { c.paused = true }

// Resume ends a pause.
func (c *Controller) Resume(now time.Time) []Event {
	c.paused = false
	return c.Tick(now)
}

// enqueueOrRefuse queues a call, or returns the reason for which it is refused. A call that can start at once is
// queued too, and the following call of start starts it.
func (c *Controller) enqueueOrRefuse(now time.Time, call *Call) schema.Reason {
	switch {
	case c.closed != schema.Reason_REASON_NONE:
		return c.closed
	case !now.Before(call.Deadline):
		return schema.Reason_REASON_DEADLINE
	case call.Eager && c.rateExhausted(now):
		return schema.Reason_REASON_COLD
	case c.canStart(now, call):
	case call.Alone:
		return c.enqueueSuspect(now, call)
	case call.Eager && !c.blockedByGateOnly(now):
		return schema.Reason_REASON_BUSY
	case c.wouldBeLate(now, call, c.workAhead(now, call)):
		return schema.Reason_REASON_BUSY
	case c.queued >= c.capacity && !c.makeRoom(now, call):
		return schema.Reason_REASON_BUSY
	}
	c.enqueue(call)
	return schema.Reason_REASON_NONE
}

// blockedByGateOnly reports whether nothing but the gate prevents starts. The gate may be closed only until a
// requested pace report arrives.
func (c *Controller) blockedByGateOnly(now time.Time) bool {
	return !c.paused && !c.exclusive && c.suspects.length == 0 && c.inFlight+c.queued < c.limiter.Limit(now)
}

// canStart reports whether the call can start at once, ahead of all queued calls.
func (c *Controller) canStart(now time.Time, call *Call) bool {
	if c.paused || c.exclusive || c.suspects.length > 0 {
		return false
	}
	if call.Alone {
		return c.inFlight == 0
	}
	return c.inFlight < c.limiter.Limit(now) && c.waitingAhead(call.rank()) == 0 && !c.rateExhausted(now) && c.gate(now)
}

// start starts the calls that may start at now.
func (c *Controller) start(now time.Time) {
	if c.paused || c.closed != schema.Reason_REASON_NONE {
		return
	}
	for !c.exclusive {
		c.checkBarrier(now)
		call := c.pickNext(now)
		if call == nil {
			return
		}
		c.dequeue(call)
		if !now.Before(call.Deadline) {
			c.refuse(call, schema.Reason_REASON_DEADLINE)
			continue
		}
		c.startCall(now, call)
	}
}

// pickNext returns the next call to start, or nil.
func (c *Controller) pickNext(now time.Time) *Call {
	if c.suspectIsNext() {
		if c.inFlight > 0 || c.rateExhausted(now) || !c.gate(now) {
			return nil
		}
		return c.suspects.first
	}
	if c.queued == 0 || c.inFlight >= c.limiter.Limit(now) || c.rateExhausted(now) || !c.gate(now) {
		return nil
	}
	if call := c.mostValuable(now); call != nil {
		return c.fairest(now, call)
	}
	for i := ranks - 1; i >= 0; i-- {
		if call := c.queues[i].first; call != nil {
			return c.fairest(now, call)
		}
	}
	return nil
}

func (c *Controller) startCall(now time.Time, call *Call) {
	call.state = stateRunning
	call.started = now
	c.unsent++
	c.inFlight++
	c.shares.recordStart(now, call, c.expected(call))
	call.inFlight = c.inFlight
	c.exclusive = call.Alone
	c.barrierSince = time.Time{}
	if !call.Alone && c.startsBeforeSuspect > 0 {
		c.startsBeforeSuspect--
	}
	c.events = append(c.events, Event{Call: call})
}

func (c *Controller) refuse(call *Call, reason schema.Reason) {
	call.state = stateEnded
	c.events = append(c.events, Event{Call: call, Reason: reason})
}

// expire refuses queued calls whose deadline has passed or that can no longer meet their target.
func (c *Controller) expire(now time.Time) {
	for i := range c.queues {
		c.expireList(now, &c.queues[i])
	}
	c.expireList(now, &c.suspects)
}

func (c *Controller) expireList(now time.Time, l *list) {
	for call := l.first; call != nil; {
		next := call.next
		switch {
		case !now.Before(call.Deadline):
			c.dequeue(call)
			c.refuse(call, schema.Reason_REASON_DEADLINE)
			c.yieldIfSuspect(now, call)
		case c.missesTarget(now, call):
			c.dequeue(call)
			c.refuse(call, schema.Reason_REASON_BUSY)
		}
		call = next
	}
}

func (c *Controller) refuseAll(l *list, reason schema.Reason) {
	for l.first != nil {
		call := l.first
		c.dequeue(call)
		c.refuse(call, reason)
	}
}

func (c *Controller) enqueue(call *Call) {
	call.state = stateQueued
	if call.Alone {
		c.suspects.push(call)
		return
	}
	c.queues[call.rank()].push(call)
	c.queued++
}

func (c *Controller) dequeue(call *Call) {
	if !call.Alone {
		c.queued--
	}
	call.queue.remove(call)
}

// recordSlotTime updates the average time that a call holds its slot.
func (c *Controller) recordSlotTime(held time.Duration) {
	if c.avgSlotTime == 0 {
		c.avgSlotTime = held
		return
	}
	c.avgSlotTime += time.Duration(slotTimeWeight * float64(held-c.avgSlotTime))
}
