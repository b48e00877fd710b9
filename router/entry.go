package router

import (
	"math/rand/v2"
	"time"

	"verbenareel/picker"
	"verbenareel/schema"
	"verbenareel/worth"
)

// entryReportAge is the age of a load report above which the wait at its instance counts as unknown.
const entryReportAge = 300 * time.Millisecond

// admits decides whether a new call is sent to an instance, or refused at once because none can serve it in time. Nested
// calls are always sent, because their failure loses the work of the run that made them.
func (r *Router) admits(now time.Time, c *call) bool {
	if !c.group.settings.GetEntryAdmission() || c.input.Depth > 0 || r.isLikelyNested(c) {
		return true
	}
	until := c.deadline
	if !c.target.IsZero() && c.target.Before(until) {
		until = c.target
	}
	return c.group.budgets.admits(now, c.value(), until.Sub(now), func() worth.Servers { return r.servers(now, c.group) })
}

// servers returns the least expected wait at the instances of a service whose reports are recent. Nothing is known if
// fewer than half of the eligible instances that reported at all did so recently.
func (r *Router) servers(now time.Time, g *group) worth.Servers {
	// The caller holds the mutex of the budgets, which the table is built under.
	revision := r.revision()
	s := worth.Servers{}
	recent, reported := 0, 0
	for _, v := range g.views {
		load, received := v.Load()
		if received.IsZero() || !v.Eligible(now, revision) {
			continue
		}
		reported++
		if now.Sub(received) > entryReportAge || load.Limit == 0 {
			continue
		}
		wait := expectedWait(v)
		if recent == 0 || wait < s.Wait {
			s.Wait = wait
		}
		recent++
	}
	s.Known = recent > 0 && 2*recent >= reported
	return s
}

// expectedWait returns the expected time until a slot is free for another call at an instance.
func expectedWait(v *picker.View) time.Duration {
	load, _ := v.Load()
	missing := load.InFlight + load.Queued + v.SentSinceReport() + 1 - load.Limit
	return load.Latency * time.Duration(max(missing, 0)) / time.Duration(max(load.Limit, 1))
}

// retryAfter returns the delay after which the caller of a refused call may return, or 0 if it would be refused for the
// same reason.
func (r *Router) retryAfter(c *call, reason schema.Reason) time.Duration {
	wait := retryAfter(reason)
	if wait == 0 || !c.group.settings.GetEntryAdmission() {
		return wait
	}
	now := r.clock.Now()
	return c.group.budgets.retryAfter(now, c.deadline.Sub(now), c.targetLeft(now), r.servers(now, c.group))
}

// recordAttempt counts the outcome of an attempt for the admission at entry. An eager attempt that was declined tells
// only that the call could not start at once.
func (b *budgets) recordAttempt(now time.Time, reply *schema.ExecuteReply, eager bool) {
	outcome := worth.Served
	switch reply.GetReason() {
	case schema.Reason_REASON_SHED:
		outcome = worth.Shed
	case schema.Reason_REASON_BUSY, schema.Reason_REASON_PREEMPTED:
		if eager {
			return
		}
		outcome = worth.Full
	default:
		if reply.GetStatus() != schema.Status_STATUS_ANSWERED {
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry.Record(now, outcome)
}

func (b *budgets) admits(now time.Time, value float64, left time.Duration, servers func() worth.Servers) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry.Admit(now, value, left, servers)
}

func (b *budgets) retryAfter(now time.Time, left, inTime time.Duration, servers worth.Servers) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry.RetryAfter(now, left, inTime, servers, rand.Float64())
}

// refusedShares returns the shares of the recent attempts that servers shed, and that found them full.
func (b *budgets) refusedShares(now time.Time) (shed, full float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry.Share(now, worth.Shed), b.entry.Share(now, worth.Full)
}
