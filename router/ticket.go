package router

import (
	"context"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

const (
	// maxIssues bounds the guards that are asked for a ticket.
	maxIssues = 4
	// firstResend and lastResend bound the wait before a ticket is sent again to the same instance.
	firstResend = 5 * time.Millisecond
	lastResend  = 200 * time.Millisecond
	// maxUnreachable is how many connections in a row may fail before the outcome is left unknown.
	maxUnreachable = 3
)

// requireTicket answers a call without a ticket: it returns one for the caller to send.
func (r *Router) requireTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	ticket, reason := r.issue(ctx, c)
	if ticket == nil {
		return final(core.NotRun(reason))
	}
	reply := core.NotRun(schema.Reason_REASON_TICKET_REQUIRED)
	reply.SetNextTicket(ticket)
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
		reply := r.issueAt(ctx, c, view)
		if reply.HasTicket() {
			return reply.GetTicket(), schema.Reason_REASON_NONE
		}
		reason = reply.GetReason()
	}
	return nil, reason
}

// issueAt asks one guard for a ticket.
func (r *Router) issueAt(ctx context.Context, c *call, view *picker.View) *schema.IssueReply {
	request := schema.IssueRequest_builder{
		Instance: view.Instance().Name(),
		Service:  c.rule.GetService(),
	}.Build()
	if r.isLocal(view) {
		return r.local.Issue(ctx, request)
	}
	reply, err := r.transport.Issue(ctx, view.Instance(), request)
	if err != nil {
		reason, _ := r.lost(view, err)
		return schema.IssueReply_builder{Reason: reason}.Build()
	}
	view.Reached()
	if reply.HasLoad() {
		view.Receive(r.clock.Now(), core.NewLoadReport(reply.GetLoad()))
	}
	return reply
}

// runTicket sends a call with a ticket to the instance that the ticket names.
func (r *Router) runTicket(ctx context.Context, c *call) *schema.ExecuteReply {
	if c.ticket.GetService() != c.rule.GetService() {
		// The rules may have changed since an earlier send that ran.
		return core.Unknown(schema.Reason_REASON_TICKET_MISMATCH)
	}
	view := r.executor(c)
	if view == nil {
		return core.Unknown(schema.Reason_REASON_UNREACHABLE)
	}
	reply := r.resend(ctx, c, view)
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN && !decided(reply) {
		return r.closeTicket(ctx, c, view, reply)
	}
	return reply
}

// executor returns the view of the instance that the ticket names, whatever its state, or nil.
func (r *Router) executor(c *call) *picker.View {
	g := r.current(r.clock.Now()).groups[c.ticket.GetService()]
	if g == nil {
		return nil
	}
	for _, v := range g.views {
		if v.Instance().Name() == c.ticket.GetInstance() {
			return v
		}
	}
	return nil
}

// decided reports whether the executor's refusal is the end of the ticket by itself: it was never valid for the request
// or is closed.
func decided(reply *schema.ExecuteReply) bool {
	switch reply.GetReason() {
	case schema.Reason_REASON_TICKET_INVALID,
		schema.Reason_REASON_TICKET_MISMATCH,
		schema.Reason_REASON_TICKET_CLOSED:
		return true
	}
	return false
}

// resend sends the ticket until the executor replies or the time is up. Each send is to the same instance, which runs the
// ticket at most once.
func (r *Router) resend(ctx context.Context, c *call, view *picker.View) *schema.ExecuteReply {
	wait := firstResend
	unreachable := 0
	for {
		x := r.send(ctx, c, view)
		if x.replied || ctx.Err() != nil {
			return x.reply
		}
		unreachable++
		if x.sent {
			unreachable = 0
		}
		if unreachable >= maxUnreachable {
			return core.Unknown(r.unreachable(c, view))
		}
		select {
		case <-ctx.Done():
			return core.Unknown(schema.Reason_REASON_DEADLINE)
		case <-r.clock.After(wait):
		}
		wait = min(2*wait, lastResend)
	}
}

// unreachable returns why the executor of the ticket cannot be asked.
func (r *Router) unreachable(c *call, view *picker.View) schema.Reason {
	incarnation := view.Instance().Incarnation()
	if incarnation != 0 && incarnation != c.ticket.GetIncarnation() {
		return schema.Reason_REASON_INCARNATION
	}
	return schema.Reason_REASON_UNREACHABLE
}

// closeTicket has the executor close a refused ticket. The call did not run only once that is confirmed: a delayed copy
// could still be transferred otherwise.
func (r *Router) closeTicket(ctx context.Context, c *call, view *picker.View, refusal *schema.ExecuteReply) *schema.ExecuteReply {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout+view.Delay())
	defer stop()
	reply := r.supersede(ctx, view, schema.SupersedeRequest_builder{Ticket: c.ticket}.Build())
	if reply.GetState() == schema.SupersedeState_SUPERSEDE_STATE_CLOSED {
		return final(core.NotRun(refusal.GetReason()))
	}
	return core.Unknown(refusal.GetReason())
}

// supersede asks the executor of a ticket to record its successor or its end. It returns nil without a reply.
func (r *Router) supersede(ctx context.Context, view *picker.View, request *schema.SupersedeRequest) *schema.SupersedeReply {
	if r.isLocal(view) {
		return r.local.Supersede(ctx, request)
	}
	reply, err := r.transport.Supersede(ctx, view.Instance(), request)
	if err != nil {
		r.lost(view, err)
		return nil
	}
	return reply
}
