package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
	"verbenareel/ticket"
)

const (
	// maxIssueAttempts limits the guards that are asked for a ticket.
	maxIssueAttempts = 4
	// minResendDelay and maxResendDelay bound the exponential backoff between sends of a ticket to the same instance.
	minResendDelay = 5 * time.Millisecond
	maxResendDelay = 200 * time.Millisecond
	// maxConnectFailures is the number of consecutive connection failures after which the outcome is reported as
	// unknown.
	maxConnectFailures = 3
	// closeTimeout is the time, in addition to the round trip, for the messages that determine the outcome of a ticket
	// after the caller's deadline.
	closeTimeout = 20 * time.Millisecond
)

// requireTicket refuses a call without a ticket and returns a ticket with which the caller may send it again.
func (r *Router) requireTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	next, reason := r.issue(ctx, c)
	if next == nil {
		return withoutFurtherRetry(core.NotRun(reason))
	}
	reply := core.NotRun(schema.Reason_REASON_TICKET_REQUIRED)
	reply.SetNextTicket(next)
	return reply
}

// issue requests a ticket from an instance to which the call was not sent.
func (r *Router) issue(ctx context.Context, c *call) (*schema.Ticket, schema.Reason) {
	reason := schema.Reason_REASON_NO_INSTANCE
	for range maxIssueAttempts {
		view := r.choose(c)
		if view == nil || ctx.Err() != nil {
			break
		}
		c.tried = append(c.tried, view)
		reply, err := r.issueAt(ctx, c.service, view)
		if err == nil && reply.HasTicket() {
			return reply.GetTicket(), schema.Reason_REASON_NONE
		}
		reason = reply.GetReason()
		if err != nil {
			reason = errorReason(err)
		}
	}
	return nil, reason
}

// issueAt requests a ticket from one guard.
func (r *Router) issueAt(ctx context.Context, service string, view *picker.View) (*schema.IssueReply, error) {
	request := schema.IssueRequest_builder{
		Instance: view.Instance().Name(),
		Service:  service,
	}.Build()
	if r.isLocal(view) {
		return r.local.Issue(ctx, request), nil
	}
	reply, err := r.transport.Issue(ctx, view.Instance(), request)
	if err != nil {
		r.recordTransportError(view, err)
		return nil, err
	}
	view.ResetBackoff()
	if reply.HasLoad() {
		view.SetReport(r.clock.Now(), core.NewLoadReport(reply.GetLoad()))
	}
	return reply, nil
}

func errorReason(err error) schema.Reason {
	var transportError *core.TransportError
	if errors.As(err, &transportError) {
		return transportError.Reason()
	}
	return schema.Reason_REASON_NODE_LOST
}

// runTicket runs a call with a ticket and requests the ticket for the caller's next call concurrently.
func (r *Router) runTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	if c.ticket.GetService() != c.service {
		// The rules may have changed since an earlier attempt that ran.
		return core.Unknown(schema.Reason_REASON_TICKET_MISMATCH)
	}
	next := r.issueNext(ctx, c)
	reply := r.transfer(ctx, c)
	if !succeeded(reply) {
		reply = withoutFurtherRetry(reply)
	}
	if issued := next(); issued != nil {
		reply = shallowCopy(reply)
		reply.SetNextTicket(issued)
	}
	return reply
}

// issueNext requests a ticket for the caller's next call from the instance that the chooser prefers now. With the
// ticket of the executor alone, a caller would stay with one instance; that ticket is used only if this request is late
// or refused. The returned function cancels the request if it is still pending and returns the ticket, or nil.
func (r *Router) issueNext(ctx context.Context, c *call) func() *schema.Ticket {
	view := r.choose(c)
	if view == nil || view.Instance().Name() == c.ticket.GetInstance() {
		return func() *schema.Ticket { return nil }
	}
	ctx, stop := context.WithCancel(ctx)
	var issued *schema.Ticket
	var task conc.WaitGroup
	service := c.service
	task.Go(func() {
		if reply, err := r.issueAt(ctx, service, view); err == nil {
			issued = reply.GetTicket()
		}
	})
	return func() *schema.Ticket {
		stop()
		task.Wait()
		return issued
	}
}

// transfer sends the messages of a ticket.Transfer until the outcome is known.
func (r *Router) transfer(ctx context.Context, c *call) *schema.ExecuteReply {
	t := ticket.NewTransfer(c.ticket, ticket.MaxChain)
	for {
		if ctx.Err() != nil {
			t.Stop(contextReason(ctx))
		}
		step := t.Next()
		switch step.Operation {
		case ticket.Done:
			return r.withIncarnationReason(c, step.Outcome)
		case ticket.Execute:
			r.executeTicket(ctx, c, t, step)
		case ticket.Issue:
			r.issueSuccessor(ctx, c, t, step)
		case ticket.Supersede, ticket.Close:
			t.OnSupersede(r.supersede(ctx, c, step))
		}
	}
}

// withIncarnationReason returns the outcome, with the reason INCARNATION if the executor of the ticket is unreachable
// and another process has replaced it.
func (r *Router) withIncarnationReason(c *call, outcome *schema.ExecuteReply) *schema.ExecuteReply {
	view := r.viewByName(c.ticket.GetInstance())
	if view == nil || outcome.GetReason() != schema.Reason_REASON_UNREACHABLE {
		return outcome
	}
	incarnation := view.Instance().Incarnation()
	if incarnation != 0 && incarnation != c.ticket.GetIncarnation() {
		return core.Unknown(schema.Reason_REASON_INCARNATION)
	}
	return outcome
}

// executeTicket sends the call to the executor of the step's ticket.
func (r *Router) executeTicket(ctx context.Context, c *call, t *ticket.Transfer, step ticket.Step) {
	c.ticket = step.Ticket
	view := r.viewByName(step.Ticket.GetInstance())
	if view == nil {
		t.OnExecute(nil, unreachableError(step.Ticket, schema.Reason_REASON_UNREACHABLE))
		return
	}
	result := r.sendUntilReply(ctx, c, view)
	switch {
	case result.replied:
		c.ticketRefusal = result.reply.GetReason()
		if result.reply.GetSuspect() {
			c.crashes++
		}
		c.group.budgets.recordRefusal(r.clock.Now(), c.ticketRefusal)
		t.OnExecute(result.reply, nil)
	case ctx.Err() != nil || result.reply.GetReason() == schema.Reason_REASON_DEADLINE:
		t.Stop(result.reply.GetReason())
	default:
		t.OnExecute(nil, unreachableError(step.Ticket, result.reply.GetReason()))
	}
}

// unreachableError returns the error for an executor that cannot be reached.
func unreachableError(t *schema.Ticket, reason schema.Reason) error {
	return core.NewTransportError(t.GetInstance(), reason, true, errUnreachable)
}

var errUnreachable = errors.New("executor of the ticket is unreachable")

// sendUntilReply sends the ticket until the executor replies, the time is up, or maxConnectFailures consecutive
// connections fail. All sends go to the same instance, which runs the ticket at most once.
func (r *Router) sendUntilReply(ctx context.Context, c *call, view *picker.View) sendResult {
	wait := minResendDelay
	unreachable := 0
	for {
		result := r.send(ctx, c, view)
		if result.replied || ctx.Err() != nil || result.reply.GetReason() == schema.Reason_REASON_DEADLINE {
			return result
		}
		unreachable++
		if result.sent {
			unreachable = 0
		}
		if unreachable >= maxConnectFailures {
			return sendResult{reply: core.Unknown(schema.Reason_REASON_UNREACHABLE)}
		}
		r.metrics.recordRetry(c.service, result.reply.GetReason())
		select {
		case <-ctx.Done():
			return result
		case <-r.clock.After(wait):
		}
		wait = min(2*wait, maxResendDelay)
	}
}

// issueSuccessor requests a ticket from another instance to supersede a refused one.
func (r *Router) issueSuccessor(ctx context.Context, c *call, t *ticket.Transfer, step ticket.Step) {
	now := r.clock.Now()
	c.excludeInstances(step.Tried)
	view := r.choose(c)
	switch {
	case view == nil || ctx.Err() != nil:
		t.Stop(c.ticketRefusal)
	case !c.group.budgets.takeRetry(now, c.value()):
		r.metrics.recordDeniedRetry(c.service)
		t.Stop(schema.Reason_REASON_RETRY_BUDGET)
	default:
		r.metrics.recordRetry(c.service, c.ticketRefusal)
		c.group.budgets.spendReserved(now)
		c.tried = append(c.tried, view)
		t.OnIssue(r.issueAt(ctx, c.service, view))
	}
}

// excludeInstances excludes the named instances from further attempts of the call.
func (c *call) excludeInstances(names []string) {
	for _, v := range c.group.views {
		if slices.Contains(names, v.Instance().Name()) && !slices.Contains(c.tried, v) {
			c.tried = append(c.tried, v)
		}
	}
}

// supersede asks the executor of a ticket to record its successor, or to close it. It may take up to closeTimeout after
// the caller's deadline, since without the reply the outcome would be unknown.
func (r *Router) supersede(ctx context.Context, c *call, step ticket.Step) (*schema.SupersedeReply, error) {
	view := r.viewByName(step.Ticket.GetInstance())
	if view == nil {
		return nil, unreachableError(step.Ticket, schema.Reason_REASON_UNREACHABLE)
	}
	request := schema.SupersedeRequest_builder{Ticket: step.Ticket, Successor: step.Successor}.Build()
	remaining := c.deadline.Sub(r.clock.Now())
	if ctx.Err() != nil {
		remaining = 0
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), max(remaining, 0)+closeTimeout+view.Delay())
	defer stop()
	if r.isLocal(view) {
		return r.local.Supersede(ctx, request), nil
	}
	reply, err := r.transport.Supersede(ctx, view.Instance(), request)
	if err != nil {
		r.recordTransportError(view, err)
	}
	return reply, err
}

// viewByName returns the view of the instance in any state, or nil if it is not in the snapshot.
func (r *Router) viewByName(name string) *picker.View {
	t := r.current(r.clock.Now())
	if t.snapshot == nil || t.snapshot.Instance(name) == nil {
		return nil
	}
	g := t.groups[t.snapshot.Instance(name).Service()]
	if g == nil {
		return nil
	}
	for _, v := range g.views {
		if v.Instance().Name() == name {
			return v
		}
	}
	return nil
}
