package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

const (
	// maxAttempts limits the attempts of one call, independent of the retry budget.
	maxAttempts = 4
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
	// maxCrashesPerCall limits the backend servers that one call may crash. After the first crash the call is sent once
	// more, marked as a suspect, and then no more.
	maxCrashesPerCall = 2
)

// call holds the state of one call in the router.
type call struct {
	input *core.Call
	rule  *schema.Rule
	// service is the service of the rule, or the one that the rule's traffic split selected for this call.
	service string
	group   *group
	// customer is the customer whose quota the call counts toward, or empty.
	customer string
	// customerName is the customer that the API key of the call belongs to, also if the rule is exempt; empty without one.
	customerName string
	priority     schema.Priority
	deadline     time.Time
	// target is the time at which the rule's target latency ends, or zero if it has none.
	target      time.Time
	fingerprint uint64
	ticket      *schema.Ticket
	// ticketRefusal is the reason of the last refused execution of the ticket.
	ticketRefusal schema.Reason
	// crashes counts the backend servers that crashed while they ran the call.
	crashes int
	// reachedSends counts the attempts that may have reached a backend server, and refusedSends those that a guard
	// refused.
	reachedSends int
	refusedSends int
	// retryCharged is set when a guard aborted the call and the retry was charged to the budget, until an attempt
	// reaches a backend server again.
	retryCharged bool
	// reservation is the budget of all nodes in which a retry is reserved for the next attempt that reaches a server.
	reservation *budgets
	// eager asks the guard of the next attempt to refuse the call unless it can start at once.
	eager bool
	// choice is the latest choice of an instance, and profile what is usual for the rule, or nil.
	choice  core.Choice
	profile *profile
	// abandonSlow allows the guard of the next attempt to abort the call if its backend server was slow when the call
	// started.
	abandonSlow bool
	// tried holds the instances that must not get the call again, declined those that could not start it at once, and
	// hops the result of each attempt.
	tried    []*picker.View
	declined []*picker.View
	hops     []hop
	// executionReply is the reply of an attempt that ran or may have run. Once it is set, the outcome of the call can
	// no longer be NotRun.
	executionReply *schema.ExecuteReply
}

// Handle implements core.Handler.
func (r *Router) Handle(ctx context.Context, input *core.Call) *schema.ExecuteReply {
	start := r.clock.Now()
	c, refusal := r.accept(start, input)
	if c == nil {
		if input.Ticket != nil {
			// An earlier attempt with this ticket, through another router, may have run.
			refusal = core.Unknown(refusal.GetReason())
		}
		r.metrics.recordCall("", refusal, 0)
		r.logRefusal(input, refusal)
		return refusal
	}
	ctx, stop := context.WithTimeout(ctx, c.deadline.Sub(start))
	defer stop()
	reply := r.runWithinQuota(ctx, c, start)
	if !c.rule.GetRepeatable() {
		// A guard of an older version may not have checked it.
		reply = core.CheckRefusal(reply)
	}
	took := r.clock.Now().Sub(start)
	r.metrics.recordCall(c.service, reply, took)
	r.customers.record(start.Add(took), c.customerName, reply)
	r.recordLeft(c)
	r.logCall(c, reply, took)
	return reply
}

// runWithinQuota executes an accepted call if the quota of its customer allows it.
func (r *Router) runWithinQuota(ctx context.Context, c *call, start time.Time) *schema.ExecuteReply {
	snapshot := r.snapshots.Snapshot()
	if refusal := r.chargeQuota(ctx, snapshot, c.customer); refusal != nil {
		if c.ticket != nil {
			// An earlier attempt with this ticket, through another router, may have run.
			return core.Unknown(schema.Reason_REASON_QUOTA)
		}
		return refusal
	}
	c.group.budgets.recordCall(start, c.rule.GetRepeatable(), r.nestedRepeat(start, c))
	c.group.offer.record(c.profile.usualWork())
	reply := r.run(ctx, c)
	r.refundQuota(snapshot, c.customer, reply)
	return reply
}

// run executes an accepted call.
func (r *Router) run(ctx context.Context, c *call) *schema.ExecuteReply {
	switch {
	case c.rule.GetRepeatable(), c.once():
		return r.runWithoutTicket(ctx, c)
	case c.ticket == nil:
		return r.requireTicket(ctx, c)
	}
	return r.runTicket(ctx, c)
}

// once reports whether the call must not be sent again after an attempt that may have run, and is protected by this
// rule setting instead of a ticket.
func (c *call) once() bool {
	return !c.rule.GetRepeatable() && c.rule.GetOnce() == schema.Once_ONCE_REQUEST
}

// runWithoutTicket sends a call that needs no ticket until it is answered or may not be retried.
func (r *Router) runWithoutTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	last := core.NotRun(schema.Reason_REASON_NO_INSTANCE)
	if !r.admits(r.clock.Now(), c) {
		return r.finalReply(c, core.NotRun(schema.Reason_REASON_ENTRY))
	}
	defer func() { c.releaseRetry(r.clock.Now()) }()
	for attempt := range maxAttempts {
		view := r.choose(c)
		if view == nil && len(c.declined) > 0 {
			// All instances that could have started the call at once declined it, so let one of them queue it.
			c.declined = nil
			view = r.choose(c)
		}
		if view == nil {
			break
		}
		if attempt > 0 && !r.mayRetry(c, last) {
			last = deniedByBudget(last)
			break
		}
		if attempt > 0 {
			r.metrics.recordRetry(c.service, last.GetReason())
		}
		begin := r.clock.Now()
		better := r.hasReadyAlternative(begin, c, view)
		c.eager = better && !c.choice.Queue && c.refusedSends < int(c.group.settings.GetFreeResends())
		c.abandonSlow = better && r.mayAbandon(begin, c)
		if attempt == 0 && !c.once() {
			last = r.attemptHedged(ctx, c, view)
		} else {
			last = r.attempt(ctx, c, view)
		}
		c.profile.observe(last)
		now := r.clock.Now()
		c.settleRetry(now, last)
		if succeeded(last) {
			c.group.budgets.recordLatency(now.Sub(begin))
		}
		c.group.budgets.recordRefusal(now, last.GetReason())
		c.group.budgets.recordAttempt(now, last, c.eager)
		if ctx.Err() != nil || c.crashes >= maxCrashesPerCall || !c.retryable(last) {
			break
		}
	}
	return r.finalReply(c, last)
}

// mayRetry reports whether the rule and the retry budget allow another attempt. Attempts that reached no backend server
// are not charged until the service's free resends are used up. A call that a guard aborted is charged for one retry,
// however many instances decline it afterwards.
func (r *Router) mayRetry(c *call, last *schema.ExecuteReply) bool {
	if isAbandoned(last) {
		c.group.budgets.chargeAbandoned(r.clock.Now())
		c.holdRetry(c.group.budgets)
		c.retryCharged = true
		return true
	}
	if (c.retryCharged || c.reservation != nil) && !mayHaveReachedServer(last) {
		return true
	}
	if limit := int(c.rule.GetMaxAttempts()); limit > 0 && c.reachedSends >= limit {
		return false
	}
	if c.reachedSends == 0 && c.refusedSends <= int(c.group.settings.GetFreeResends()) {
		return true
	}
	if !c.reserveRetry(r.clock.Now()) {
		r.metrics.recordDeniedRetry(c.service)
		return false
	}
	return true
}

// attempt sends the call to the instance and records the result.
func (r *Router) attempt(ctx context.Context, c *call, view *picker.View) *schema.ExecuteReply {
	reply := r.send(ctx, c, view).reply
	c.recordAttempt(view, reply)
	return reply
}

// recordAttempt records the reply of an attempt. If several attempts may have run, a complete response takes precedence
// over a reply without one.
func (c *call) recordAttempt(view *picker.View, reply *schema.ExecuteReply) {
	c.recordHop(view, reply)
	c.tried = slices.DeleteFunc(c.tried, func(v *picker.View) bool { return v == view })
	if c.eager && isDeclined(reply) {
		c.declined = append(c.declined, view)
	} else {
		c.tried = append(c.tried, view)
	}
	if mayHaveReachedServer(reply) {
		c.reachedSends++
		c.retryCharged = false
	} else {
		c.refusedSends++
	}
	if reply.GetSuspect() {
		c.crashes++
	}
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN {
		return
	}
	if c.executionReply.GetStatus() != schema.Status_STATUS_ANSWERED {
		c.executionReply = reply
	}
}

// finalReply returns the reply for the caller; last is the reply of the last attempt.
func (r *Router) finalReply(c *call, last *schema.ExecuteReply) *schema.ExecuteReply {
	if succeeded(last) {
		return last
	}
	if c.executionReply != nil {
		return withoutFurtherRetry(c.executionReply)
	}
	last = withoutFurtherRetry(last)
	if wait := r.retryAfter(c, last.GetReason()); wait > 0 {
		last.SetRetryAfterUs(wait.Microseconds())
	}
	return last
}

// retryAfter returns the delay after which a caller may retry a refused call, or 0 if a retry would be refused for the
// same reason. The delay is random so that callers refused at the same time do not retry at the same time.
func retryAfter(reason schema.Reason) time.Duration {
	switch reason {
	case schema.Reason_REASON_NO_RULE, schema.Reason_REASON_TOO_LARGE, schema.Reason_REASON_DEPTH,
		schema.Reason_REASON_MALFORMED, schema.Reason_REASON_POISONED:
		return 0
	}
	return minRetryAfter + time.Duration(rand.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// isDeclined reports whether an eager call was refused because it could not start at once.
func isDeclined(reply *schema.ExecuteReply) bool {
	if reply.GetStatus() != schema.Status_STATUS_NOT_RUN {
		return false
	}
	switch reply.GetReason() {
	case schema.Reason_REASON_BUSY, schema.Reason_REASON_SLOW, schema.Reason_REASON_COLD:
		return true
	}
	return false
}

// mayAbandon reports whether the rule and the retry budget allow a guard to abort the next attempt so that the call is
// sent to another instance.
func (r *Router) mayAbandon(now time.Time, c *call) bool {
	if r.retiring.Load() || !c.rule.GetRepeatable() || c.reachedSends+1 >= max(1, int(c.rule.GetMaxAttempts())) {
		return false
	}
	return c.group.budgets.hasRetry(now, c.value())
}

// isAbandoned reports whether a guard aborted the call because its backend server was slow when the call started.
func isAbandoned(reply *schema.ExecuteReply) bool {
	return reply.GetStatus() == schema.Status_STATUS_UNKNOWN && reply.GetReason() == schema.Reason_REASON_SLOW
}

// mayHaveReachedServer reports whether a backend server may have received the request.
func mayHaveReachedServer(reply *schema.ExecuteReply) bool {
	return reply.GetStatus() != schema.Status_STATUS_NOT_RUN || reply.GetReason() == schema.Reason_REASON_SHED
}

func succeeded(reply *schema.ExecuteReply) bool {
	return reply.GetStatus() == schema.Status_STATUS_ANSWERED && reply.GetCode() < 500
}

// deniedByBudget returns the reply of a call that is not retried because the retry budget is exhausted.
func deniedByBudget(last *schema.ExecuteReply) *schema.ExecuteReply {
	if last.GetStatus() == schema.Status_STATUS_NOT_RUN {
		return core.NotRun(schema.Reason_REASON_RETRY_BUDGET)
	}
	return last
}

// withoutFurtherRetry returns the reply with the flag that keeps the routers of outer calls from retrying it. The reply
// may be shared with other callers, so it is copied, except for the body.
func withoutFurtherRetry(reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetRetried() {
		return reply
	}
	marked := shallowCopy(reply)
	marked.SetRetried(true)
	return marked
}

func shallowCopy(reply *schema.ExecuteReply) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{
		Status:       reply.GetStatus(),
		Reason:       reply.GetReason(),
		Code:         reply.GetCode(),
		Headers:      reply.GetHeaders(),
		Body:         reply.GetBody(),
		Load:         reply.GetLoad(),
		NextTicket:   reply.GetNextTicket(),
		SupersededBy: reply.GetSupersededBy(),
		Retried:      reply.GetRetried(),
		Suspect:      reply.GetSuspect(),
		RetryAfterUs: reply.GetRetryAfterUs(),
	}.Build()
}

// retryable reports whether the call may be sent to another instance after the reply.
func (c *call) retryable(reply *schema.ExecuteReply) bool {
	if reply.GetRetried() || c.once() && reply.GetStatus() != schema.Status_STATUS_NOT_RUN {
		return false
	}
	if reply.GetStatus() == schema.Status_STATUS_ANSWERED {
		return reply.GetCode() >= 500
	}
	switch reply.GetReason() {
	case schema.Reason_REASON_BUSY,
		schema.Reason_REASON_PREEMPTED,
		schema.Reason_REASON_LEAVING,
		schema.Reason_REASON_OUT_OF_SERVICE,
		schema.Reason_REASON_SHED,
		schema.Reason_REASON_SUSPECT,
		schema.Reason_REASON_NO_CONFIGURATION,
		schema.Reason_REASON_CONNECT,
		schema.Reason_REASON_CONNECTION_LOST,
		schema.Reason_REASON_TRUNCATED,
		schema.Reason_REASON_CONNECTION_SILENT,
		schema.Reason_REASON_UNREACHABLE,
		schema.Reason_REASON_NODE_LOST,
		schema.Reason_REASON_PAUSED,
		schema.Reason_REASON_WRONG_INSTANCE,
		schema.Reason_REASON_TICKETS_FULL,
		schema.Reason_REASON_GARBLED,
		schema.Reason_REASON_COLD,
		schema.Reason_REASON_SLOW,
		schema.Reason_REASON_CRASHED,
		schema.Reason_REASON_OTHER_CONFIGURATION:
		return true
	case schema.Reason_REASON_MEMORY:
		// With another status, the response was too large, and would be so again.
		return reply.GetStatus() == schema.Status_STATUS_NOT_RUN
	}
	return false
}

// excludes reports whether the instance is excluded from the next attempt because of an earlier one.
func (c *call) excludes(v *picker.View) bool {
	return slices.Contains(c.tried, v) || slices.Contains(c.declined, v)
}

// hasReadyAlternative reports whether the call could probably start at once at another instance that is not excluded.
func (r *Router) hasReadyAlternative(now time.Time, c *call, chosen *picker.View) bool {
	t := r.current(now)
	for _, v := range c.group.views {
		if v != chosen && v.Ready(now) && v.Eligible(now, t.snapshot.Revision()) && !c.excludes(v) {
			return true
		}
	}
	return false
}

// choose returns an instance for the next attempt by the current snapshot, or nil. Instances in connection backoff are
// used only if there is no other.
func (r *Router) choose(c *call) *picker.View {
	now := r.clock.Now()
	t := r.current(now)
	g := t.groups[c.service]
	if g == nil {
		return nil
	}
	c.group = g
	usable := func(v *picker.View) bool {
		return v.Eligible(now, t.snapshot.Revision()) && !c.excludes(v)
	}
	for range g.views {
		i := r.pick(now, c, g, func(i int) bool {
			return g.views[i].InBackoff(now) || !usable(g.views[i])
		})
		if i < 0 {
			break
		}
		if g.views[i].Claim(now) {
			return g.views[i]
		}
	}
	i := r.pick(now, c, g, func(i int) bool { return !usable(g.views[i]) })
	if i < 0 {
		return nil
	}
	return g.views[i]
}
