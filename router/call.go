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
	// maxAttempts bounds the sends of one call, whatever the budget allows.
	maxAttempts = 4
	// minReturn and maxReturn bound the time after which a refused caller may try again.
	minReturn = 100 * time.Millisecond
	maxReturn = 500 * time.Millisecond
	// maxCrashes bounds the backend servers that one call may crash: it is sent to a second one as a suspect, and to no
	// other.
	maxCrashes = 2
)

// call is the state of one call in the router.
type call struct {
	input *core.Call
	rule  *schema.Rule
	// service is that of the rule, or the part of its split that the call was given to.
	service  string
	group    *group
	deadline time.Time
	// target is the end of the rule's target latency, or zero.
	target      time.Time
	fingerprint uint64
	ticket      *schema.Ticket
	// refusal is the reason of the last refusal of a ticket.
	refusal schema.Reason
	// crashes counts the backend servers that crashed with the call in flight.
	crashes int
	// arrivals counts the sends that may have reached a backend server, bounces those that a guard refused.
	arrivals int
	bounces  int
	// paid tells that a guard broke the call off, and that the retry that it was charged has not reached a server yet.
	paid bool
	// eager tells that the next send is to be refused if the call cannot start at once.
	eager bool
	// abandon tells that the next send may be broken off if the instance was slow at its start.
	abandon bool
	// tried holds the instances that are not to get the call again, declined those that could not start it at once, and
	// trail what came of each send.
	tried    []*picker.View
	declined []*picker.View
	trail    []hop
	// possible is the reply of an attempt that ran or may have run. Once it is set, the call cannot end as not run.
	possible *schema.ExecuteReply
}

// Handle implements core.Handler.
func (r *Router) Handle(ctx context.Context, input *core.Call) *schema.ExecuteReply {
	start := r.clock.Now()
	c, refusal := r.accept(start, input)
	if c == nil {
		if input.Ticket != nil {
			// An earlier send of the ticket through another router may have run.
			refusal = core.Unknown(refusal.GetReason())
		}
		r.metrics.finished("", refusal, 0)
		r.logRefusal(input, refusal)
		return refusal
	}
	ctx, stop := context.WithTimeout(ctx, c.deadline.Sub(start))
	defer stop()
	c.group.usage.called(start, c.rule.GetRepeatable())
	reply := r.run(ctx, c)
	took := r.clock.Now().Sub(start)
	r.metrics.finished(c.service, reply, took)
	r.logCall(c, reply, took)
	return reply
}

// run performs an accepted call.
func (r *Router) run(ctx context.Context, c *call) *schema.ExecuteReply {
	switch {
	case c.rule.GetRepeatable(), c.once():
		return r.repeat(ctx, c)
	case c.ticket == nil:
		return r.requireTicket(ctx, c)
	}
	return r.runTicket(ctx, c)
}

// accept checks the input and returns the state of the call, or the refusal.
func (r *Router) accept(now time.Time, input *core.Call) (*call, *schema.ExecuteReply) {
	t := r.current(now)
	if t.snapshot == nil {
		return nil, final(core.NotRun(schema.Reason_REASON_NO_CONFIGURATION))
	}
	if input.Depth >= core.MaxDepth {
		return nil, final(core.NotRun(schema.Reason_REASON_DEPTH))
	}
	rule := t.snapshot.Route(input.Method, input.Host, input.Path)
	service := r.splits.service(rule)
	g := t.groups[service]
	if g == nil {
		return nil, final(core.NotRun(schema.Reason_REASON_NO_RULE))
	}
	if bound := g.settings.GetMaxBody(); bound > 0 && len(input.Body) > int(bound) {
		return nil, final(core.NotRun(schema.Reason_REASON_TOO_LARGE))
	}
	timeout := g.settings.GetTimeout().AsDuration()
	if rule.HasTimeout() {
		timeout = rule.GetTimeout().AsDuration()
	}
	if input.Timeout > 0 {
		timeout = min(timeout, input.Timeout)
	}
	c := &call{input: input, rule: rule, service: service, group: g, deadline: now.Add(timeout)}
	if rule.HasTargetLatency() {
		c.target = now.Add(rule.GetTargetLatency().AsDuration())
	}
	c.fingerprint = core.Fingerprint(service, input.Method, input.URI, input.Body)
	if !rule.GetRepeatable() {
		c.ticket = input.Ticket
	}
	return c, nil
}

// once reports whether the call may not be sent again once it may have run, and needs no ticket.
func (c *call) once() bool {
	return !c.rule.GetRepeatable() && c.rule.GetOnce() == schema.Once_ONCE_REQUEST
}

// repeat sends a call that needs no ticket until it is answered or may not be sent again.
func (r *Router) repeat(ctx context.Context, c *call) *schema.ExecuteReply {
	last := core.NotRun(schema.Reason_REASON_NO_INSTANCE)
	for attempt := range maxAttempts {
		view := r.choose(c)
		if view == nil && len(c.declined) > 0 {
			// Each instance that looked better has declined; one of them has to queue the call.
			c.declined = nil
			view = r.choose(c)
		}
		if view == nil {
			break
		}
		if attempt > 0 && !r.mayResend(c, last) {
			last = overBudget(last)
			break
		}
		if attempt > 0 {
			r.metrics.retried(c.service, last.GetReason())
		}
		begin := r.clock.Now()
		better := r.hasBetter(begin, c, view)
		c.eager = better && c.bounces < int(c.group.settings.GetFreeResends())
		c.abandon = better && r.mayAbandon(begin, c)
		if attempt == 0 && !c.once() {
			last = r.hedged(ctx, c, view)
		} else {
			last = r.attempt(ctx, c, view)
		}
		now := r.clock.Now()
		if succeeded(last) {
			c.group.usage.answered(now.Sub(begin))
		}
		c.group.usage.refused(now, last.GetReason())
		if ctx.Err() != nil || c.crashes >= maxCrashes || !c.retryable(last) {
			break
		}
	}
	return c.conclude(last)
}

// mayResend reports whether the call may be sent to another instance, by its rule and the retry budget. A call that no
// backend server has met costs no budget at first, and one that was broken off costs one retry, however many decline it.
func (r *Router) mayResend(c *call, last *schema.ExecuteReply) bool {
	if isAbandoned(last) {
		c.group.usage.abandoned(r.clock.Now())
		c.paid = true
		return true
	}
	if c.paid && !reached(last) {
		return true
	}
	if limit := int(c.rule.GetMaxAttempts()); limit > 0 && c.arrivals >= limit {
		return false
	}
	if c.arrivals == 0 && c.bounces <= int(c.group.settings.GetFreeResends()) {
		return true
	}
	if !c.group.usage.retry(r.clock.Now()) {
		r.metrics.budgetSpent(c.service)
		return false
	}
	return true
}

// attempt sends the call to the instance and notes whether it may have run there.
func (r *Router) attempt(ctx context.Context, c *call, view *picker.View) *schema.ExecuteReply {
	reply := r.send(ctx, c, view).reply
	c.note(view, reply)
	return reply
}

// note keeps the reply of an attempt that may have run. A whole response is worth more than none.
func (c *call) note(view *picker.View, reply *schema.ExecuteReply) {
	c.noteReply(view, reply)
	c.tried = slices.DeleteFunc(c.tried, func(v *picker.View) bool { return v == view })
	if c.eager && isDeclined(reply) {
		c.declined = append(c.declined, view)
	} else {
		c.tried = append(c.tried, view)
	}
	if reached(reply) {
		c.arrivals++
		c.paid = false
	} else {
		c.bounces++
	}
	if reply.GetSuspect() {
		c.crashes++
	}
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN {
		return
	}
	if c.possible.GetStatus() != schema.Status_STATUS_ANSWERED {
		c.possible = reply
	}
}

// conclude returns the reply for the caller, given the last attempt's.
func (c *call) conclude(last *schema.ExecuteReply) *schema.ExecuteReply {
	if succeeded(last) {
		return last
	}
	if c.possible != nil {
		return final(c.possible)
	}
	last = final(last)
	if wait := backoff(last.GetReason()); wait > 0 {
		last.SetRetryAfterUs(wait.Microseconds())
	}
	return last
}

// backoff returns the time after which a caller may try again after a refusal, drawn at random so that the callers of one
// moment do not return together, or 0 if a later try would meet the same.
func backoff(reason schema.Reason) time.Duration {
	switch reason {
	case schema.Reason_REASON_NO_RULE, schema.Reason_REASON_TOO_LARGE, schema.Reason_REASON_DEPTH,
		schema.Reason_REASON_MALFORMED, schema.Reason_REASON_POISONED:
		return 0
	}
	return minReturn + time.Duration(rand.Int64N(int64(maxReturn-minReturn)))
}

// isDeclined reports whether an eager call was refused since it could not start at once.
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

// mayAbandon reports whether the next send may be broken off and sent elsewhere, by the rule and the retry budget.
func (r *Router) mayAbandon(now time.Time, c *call) bool {
	if r.retiring.Load() || !c.rule.GetRepeatable() || c.arrivals+1 >= max(1, int(c.rule.GetMaxAttempts())) {
		return false
	}
	return c.group.usage.mayAbandon(now)
}

// isAbandoned reports whether a guard broke a call off since its backend server was slow when it started.
func isAbandoned(reply *schema.ExecuteReply) bool {
	return reply.GetStatus() == schema.Status_STATUS_UNKNOWN && reply.GetReason() == schema.Reason_REASON_SLOW
}

// reached reports whether a backend server may have met the request.
func reached(reply *schema.ExecuteReply) bool {
	return reply.GetStatus() != schema.Status_STATUS_NOT_RUN || reply.GetReason() == schema.Reason_REASON_SHED
}

func succeeded(reply *schema.ExecuteReply) bool {
	return reply.GetStatus() == schema.Status_STATUS_ANSWERED && reply.GetCode() < 500
}

// overBudget returns the reply of a call that is not retried because the budget is spent.
func overBudget(last *schema.ExecuteReply) *schema.ExecuteReply {
	if last.GetStatus() == schema.Status_STATUS_NOT_RUN {
		return core.NotRun(schema.Reason_REASON_RETRY_BUDGET)
	}
	return last
}

// final marks a reply so that routers of the layers above do not retry it. The reply may be shared with other callers,
// so it is copied; the body is not.
func final(reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetRetried() {
		return reply
	}
	marked := shallow(reply)
	marked.SetRetried(true)
	return marked
}

func shallow(reply *schema.ExecuteReply) *schema.ExecuteReply {
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
		schema.Reason_REASON_CRASHED:
		return true
	}
	return false
}

// has reports whether the call was sent to the instance and is not to be sent there now.
func (c *call) has(v *picker.View) bool {
	return slices.Contains(c.tried, v) || slices.Contains(c.declined, v)
}

// hasBetter reports whether another instance that the call was not sent to looks as if the call could start there at once.
func (r *Router) hasBetter(now time.Time, c *call, chosen *picker.View) bool {
	t := r.current(now)
	for _, v := range c.group.views {
		if v != chosen && v.Ready(now) && v.Eligible(now, t.snapshot.Revision()) && !c.has(v) {
			return true
		}
	}
	return false
}

// choose returns an instance that the call was not sent to, by the snapshot in force now, or nil. Instances that were
// unreachable a short time ago are used only if there is no other.
func (r *Router) choose(c *call) *picker.View {
	now := r.clock.Now()
	t := r.current(now)
	g := t.groups[c.service]
	if g == nil {
		return nil
	}
	c.group = g
	usable := func(v *picker.View) bool {
		return v.Eligible(now, t.snapshot.Revision()) && !c.has(v)
	}
	for range g.views {
		i := r.chooser.Choose(now, g.candidates, func(i int) bool {
			return g.views[i].Avoided(now) || !usable(g.views[i])
		})
		if i < 0 {
			break
		}
		if g.views[i].Claim(now) {
			return g.views[i]
		}
	}
	i := r.chooser.Choose(now, g.candidates, func(i int) bool { return !usable(g.views[i]) })
	if i < 0 {
		return nil
	}
	return g.views[i]
}
