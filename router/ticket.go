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
	// maxIssues bounds the guards that are asked for a ticket.
	maxIssues = 4
	// firstResend and lastResend bound the wait before a ticket is sent again to the same instance.
	firstResend = 5 * time.Millisecond
	lastResend  = 200 * time.Millisecond
	// maxUnreachable is how many connections in a row may fail before the outcome is left unknown.
	maxUnreachable = 3
	// closeTimeout bounds the messages that settle a ticket after the caller's time is up, beyond the round trip.
	closeTimeout = 20 * time.Millisecond
)

// requireTicket answers a call without a ticket: it returns one for the caller to send.
func (r *Router) requireTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	next, reason := r.issue(ctx, c)
	if next == nil {
		return final(core.NotRun(reason))
	}
	reply := core.NotRun(schema.Reason_REASON_TICKET_REQUIRED)
	reply.SetNextTicket(next)
	return reply
}

// issue has an instance that the call was not sent to issue a ticket.
func (r *Router) issue(ctx context.Context, c *call) (*schema.Ticket, schema.Reason) {
	reason := schema.Reason_REASON_NO_INSTANCE
	for range maxIssues {
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

// issueAt asks one guard for a ticket.
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
		r.lost(view, err)
		return nil, err
	}
	view.Reached()
	if reply.HasLoad() {
		view.Receive(r.clock.Now(), core.NewLoadReport(reply.GetLoad()))
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

// runTicket runs a call with a ticket, and gets the caller's next ticket at the same time.
func (r *Router) runTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	if c.ticket.GetService() != c.service {
		// The rules may have changed since an earlier send that ran.
		return core.Unknown(schema.Reason_REASON_TICKET_MISMATCH)
	}
	next := r.issueNext(ctx, c)
	reply := r.transfer(ctx, c)
	if !succeeded(reply) {
		reply = final(reply)
	}
	if issued := next(); issued != nil {
		reply = shallow(reply)
		reply.SetNextTicket(issued)
	}
	return reply
}

// issueNext gets a ticket for the caller's next call from the instance that would be chosen now: with the ticket of the
// executor, a caller would stay with one instance. The executor's ticket is used if this one is late or refused. The
// function that is returned ends the request and gives its ticket, or nil.
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

// transfer drives the protocol of package ticket: it sends each message of it, until the outcome is known.
func (r *Router) transfer(ctx context.Context, c *call) *schema.ExecuteReply {
	t := ticket.NewTransfer(c.ticket, ticket.MaxChain)
	for {
		if ctx.Err() != nil {
			t.Stop(endReason(ctx))
		}
		step := t.Next()
		switch step.Operation {
		case ticket.Done:
			return r.explained(c, step.Outcome)
		case ticket.Execute:
			r.executeTicket(ctx, c, t, step)
		case ticket.Issue:
			r.issueSuccessor(ctx, c, t, step)
		case ticket.Supersede, ticket.Close:
			t.OnSupersede(r.supersede(ctx, c, step))
		}
	}
}

// explained returns the outcome, with the reason INCARNATION if the executor of the ticket cannot be reached and another
// process has taken its place.
func (r *Router) explained(c *call, outcome *schema.ExecuteReply) *schema.ExecuteReply {
	view := r.viewNamed(c.ticket.GetInstance())
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
	view := r.viewNamed(step.Ticket.GetInstance())
	if view == nil {
		t.OnExecute(nil, unreachableError(step.Ticket, schema.Reason_REASON_UNREACHABLE))
		return
	}
	x := r.resend(ctx, c, view)
	switch {
	case x.replied:
		c.refusal = x.reply.GetReason()
		if x.reply.GetSuspect() {
			c.crashes++
		}
		c.group.usage.refused(r.clock.Now(), c.refusal)
		t.OnExecute(x.reply, nil)
	case ctx.Err() != nil || x.reply.GetReason() == schema.Reason_REASON_DEADLINE:
		t.Stop(x.reply.GetReason())
	default:
		t.OnExecute(nil, unreachableError(step.Ticket, x.reply.GetReason()))
	}
}

// unreachableError reports that the executor of a ticket cannot be asked.
func unreachableError(t *schema.Ticket, reason schema.Reason) error {
	return core.NewTransportError(t.GetInstance(), reason, true, errUnreachable)
}

var errUnreachable = errors.New("the executor of the ticket cannot be reached")

// resend sends the ticket until the executor replies, the time is up, or the executor cannot be reached several times in
// a row. Each send is to the same instance, which runs the ticket at most once.
func (r *Router) resend(ctx context.Context, c *call, view *picker.View) exchange {
	wait := firstResend
	unreachable := 0
	for {
		x := r.send(ctx, c, view)
		if x.replied || ctx.Err() != nil || x.reply.GetReason() == schema.Reason_REASON_DEADLINE {
			return x
		}
		unreachable++
		if x.sent {
			unreachable = 0
		}
		if unreachable >= maxUnreachable {
			return exchange{reply: core.Unknown(schema.Reason_REASON_UNREACHABLE)}
		}
		r.metrics.retried(c.service, x.reply.GetReason())
		select {
		case <-ctx.Done():
			return x
		case <-r.clock.After(wait):
		}
		wait = min(2*wait, lastResend)
	}
}

// issueSuccessor has another instance issue the ticket that is to supersede a refused one.
func (r *Router) issueSuccessor(ctx context.Context, c *call, t *ticket.Transfer, step ticket.Step) {
	now := r.clock.Now()
	c.exclude(step.Tried)
	view := r.choose(c)
	switch {
	case view == nil || ctx.Err() != nil:
		t.Stop(c.refusal)
	case !c.group.usage.retry(now):
		r.metrics.budgetSpent(c.service)
		t.Stop(schema.Reason_REASON_RETRY_BUDGET)
	default:
		r.metrics.retried(c.service, c.refusal)
		c.tried = append(c.tried, view)
		t.OnIssue(r.issueAt(ctx, c.service, view))
	}
}

// exclude keeps the instances from being chosen for the call.
func (c *call) exclude(names []string) {
	for _, v := range c.group.views {
		if slices.Contains(names, v.Instance().Name()) && !slices.Contains(c.tried, v) {
			c.tried = append(c.tried, v)
		}
	}
}

// supersede asks the executor of a ticket to record its successor or its end. It may take a short time after the caller's
// time is up: without the reply the outcome would be unknown.
func (r *Router) supersede(ctx context.Context, c *call, step ticket.Step) (*schema.SupersedeReply, error) {
	view := r.viewNamed(step.Ticket.GetInstance())
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
		r.lost(view, err)
	}
	return reply, err
}

// viewNamed returns the view of the instance, whatever its state, or nil.
func (r *Router) viewNamed(name string) *picker.View {
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
