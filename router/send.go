package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

// cancelTimeout bounds the wait for a guard's word on a cancelled call, beyond the network round trip. The caller waits
// for it, so it is a few milliseconds.
const cancelTimeout = 5 * time.Millisecond

// exchange is the reply to one send.
type exchange struct {
	reply *schema.ExecuteReply
	// sent reports whether the request may have reached the guard.
	sent bool
	// replied reports whether the reply is the guard's.
	replied bool
}

// request returns the message for one send of the call, with a fresh attempt number, or nil if too little time is left.
func (c *call) request(now time.Time, view *picker.View, caller string) *schema.ExecuteRequest {
	remaining := c.deadline.Sub(now) - view.Delay()
	c.trail = append(c.trail, newHop(now, view))
	if remaining <= 0 {
		return nil
	}
	return schema.ExecuteRequest_builder{
		Attempt:     rand.Uint64(),
		Instance:    view.Instance().Name(),
		Service:     c.service,
		Method:      c.input.Method,
		Uri:         c.input.URI,
		Headers:     c.input.Headers,
		Body:        c.input.Body,
		TimeoutUs:   remaining.Microseconds(),
		Priority:    c.rule.GetPriority(),
		Repeatable:  c.rule.GetRepeatable(),
		Ticket:      c.ticket,
		Depth:       c.input.Depth + 1,
		Fingerprint: c.fingerprint,
		Suspect:     c.crashes > 0,
		IssueNext:   c.ticket != nil,
		Once:        c.once(),
		Caller:      caller,
		RequestId:   c.input.ID,
		TargetUs:    c.targetLeft(now).Microseconds(),
		Eager:       c.eager,
		Rule:        c.rule.GetName(),
		AbandonSlow: c.abandon,
	}.Build()
}

// targetLeft returns the time that is left of the rule's target latency, or 0 if there is none.
func (c *call) targetLeft(now time.Time) time.Duration {
	if c.target.IsZero() {
		return 0
	}
	return max(0, c.target.Sub(now))
}

// send sends the call to one instance and records what the reply says of its load.
func (r *Router) send(ctx context.Context, c *call, view *picker.View) exchange {
	return r.sendRequest(ctx, view, c.request(r.clock.Now(), view, r.self.GetService()))
}

// sendRequest sends a message to the instance; a nil message is out of time.
func (r *Router) sendRequest(ctx context.Context, view *picker.View, request *schema.ExecuteRequest) exchange {
	if request == nil {
		return exchange{reply: core.NotRun(schema.Reason_REASON_DEADLINE)}
	}
	flight := view.Begin(r.clock.Now())
	x := r.execute(ctx, view, request)
	view.End(r.clock.Now(), flight, failed(x.reply))
	r.observe(view, x)
	return x
}

// failed reports whether the reply speaks against the instance. A refusal does not: its load report does.
func failed(reply *schema.ExecuteReply) bool {
	switch reply.GetStatus() {
	case schema.Status_STATUS_ANSWERED:
		return reply.GetCode() >= 500
	case schema.Status_STATUS_UNKNOWN:
		return reply.GetReason() != schema.Reason_REASON_CANCELLED && !isAbandoned(reply)
	}
	return false
}

// observe updates the view from a reply.
func (r *Router) observe(view *picker.View, x exchange) {
	if !x.replied {
		return
	}
	now := r.clock.Now()
	switch x.reply.GetReason() {
	case schema.Reason_REASON_WRONG_INSTANCE,
		schema.Reason_REASON_NO_CONFIGURATION,
		schema.Reason_REASON_PAUSED,
		schema.Reason_REASON_CONNECT:
		// The node answers, but not yet for this instance, or its backend server is down.
		view.Lost(now)
	default:
		view.Reached()
		if x.reply.HasLoad() {
			view.Receive(now, core.NewLoadReport(x.reply.GetLoad()))
		}
	}
}

// execute performs the exchange with the guard.
func (r *Router) execute(ctx context.Context, view *picker.View, request *schema.ExecuteRequest) exchange {
	if r.isLocal(view) {
		return guardReply(r.local.Execute(ctx, request))
	}
	reply, err := r.transport.Execute(ctx, view.Instance(), request)
	if err == nil {
		return guardReply(reply)
	}
	reason, sent := r.lost(view, err)
	if !sent {
		return exchange{reply: core.NotRun(reason)}
	}
	if ctx.Err() == nil {
		return exchange{reply: core.Unknown(reason), sent: true}
	}
	return exchange{reply: r.cancel(ctx, view, request), sent: true}
}

func (r *Router) isLocal(view *picker.View) bool {
	return view.Instance().Address() == r.self.GetAddress()
}

// guardReply returns the exchange of a guard's reply. A reply without a known status says nothing about the call.
func guardReply(reply *schema.ExecuteReply) exchange {
	switch reply.GetStatus() {
	case schema.Status_STATUS_ANSWERED, schema.Status_STATUS_NOT_RUN, schema.Status_STATUS_UNKNOWN:
		return exchange{reply: reply, sent: true, replied: true}
	}
	return exchange{reply: core.Unknown(schema.Reason_REASON_MALFORMED), sent: true}
}

// lost records a failed exchange and returns its reason, and whether the request may have reached the node.
func (r *Router) lost(view *picker.View, err error) (schema.Reason, bool) {
	var transportError *core.TransportError
	if !errors.As(err, &transportError) {
		return schema.Reason_REASON_NODE_LOST, true
	}
	switch transportError.Reason() {
	case schema.Reason_REASON_DEADLINE, schema.Reason_REASON_CANCELLED:
	default:
		view.Lost(r.clock.Now())
	}
	return transportError.Reason(), transportError.Sent()
}

// cancel withdraws a sent call whose time is up and returns its outcome: it did not run only if the guard says so.
func (r *Router) cancel(ctx context.Context, view *picker.View, request *schema.ExecuteRequest) *schema.ExecuteReply {
	reason := endReason(ctx)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout+view.Delay())
	defer stop()
	message := schema.CancelRequest_builder{Attempt: request.GetAttempt()}.Build()
	reply, err := r.transport.Cancel(ctx, view.Instance(), message)
	if err == nil && reply.GetNotRun() {
		return core.NotRun(reason)
	}
	return core.Unknown(reason)
}

// endReason returns why a context has ended.
func endReason(ctx context.Context) schema.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schema.Reason_REASON_DEADLINE
	}
	return schema.Reason_REASON_CANCELLED
}
