package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"verbenareel/core"
	"verbenareel/field"
	"verbenareel/picker"
	"verbenareel/schema"
	"verbenareel/status"
)

// cancelTimeout is how long a cancelled call waits for the guard's confirmation, in addition to the network round trip.
// It is only a few milliseconds because the caller is still waiting.
const cancelTimeout = 5 * time.Millisecond

// sendResult is the result of one attempt.
type sendResult struct {
	reply *schema.ExecuteReply
	// sent reports whether the request may have reached the guard.
	sent bool
	// replied reports whether the reply came from the guard.
	replied bool
}

// newRequest returns the message for one attempt of the call, with a new attempt number, or nil if the remaining time
// is too short.
func (c *call) newRequest(now time.Time, view *picker.View, caller string) *schema.ExecuteRequest {
	remaining := c.deadline.Sub(now) - view.Delay()
	h := newHop(now, view)
	h.leave = c.leaveFor(view)
	c.hops = append(c.hops, h)
	if remaining <= 0 {
		return nil
	}
	return schema.ExecuteRequest_builder{
		Attempt:     rand.Uint64(),
		Instance:    view.Instance().Name(),
		Service:     c.service,
		Method:      c.input.Method,
		Uri:         []byte(c.input.URI),
		Headers:     c.input.Headers,
		Body:        c.input.Body,
		TimeoutUs:   remaining.Microseconds(),
		Priority:    c.priority,
		Repeatable:  c.rule.GetRepeatable(),
		Ticket:      c.ticket,
		Depth:       c.input.Depth + 1,
		Fingerprint: c.fingerprint,
		Suspect:     c.crashes > 0,
		IssueNext:   c.ticket != nil,
		Once:        c.once(),
		Caller:      caller,
		Customer:    c.customerName,
		RequestId:   []byte(c.input.ID),
		TargetUs:    c.targetLeft(now).Microseconds(),
		Eager:       c.eager,
		Rule:        c.rule.GetName(),
		AbandonSlow: c.abandonSlow,

		EarlierArrivals: uint32(c.reachedSends),
		ReportWork:      c.profile != nil,
	}.Build()
}

// targetLeft returns the remaining time of the rule's target latency, or 0 if there is none.
func (c *call) targetLeft(now time.Time) time.Duration {
	if c.target.IsZero() {
		return 0
	}
	return max(0, c.target.Sub(now))
}

// send sends the call to one instance and updates its view from the reply.
func (r *Router) send(ctx context.Context, c *call, view *picker.View) sendResult {
	return r.sendRequest(ctx, view, c.newRequest(r.clock.Now(), view, r.self.GetService()))
}

// sendRequest sends a message to the instance. A nil message means that the remaining time is too short.
func (r *Router) sendRequest(ctx context.Context, view *picker.View, request *schema.ExecuteRequest) sendResult {
	if request == nil {
		return sendResult{reply: core.NotRun(schema.Reason_REASON_DEADLINE)}
	}
	begin, bodySize := r.clock.Now(), len(request.GetBody())
	pending := view.Begin(begin)
	result := r.execute(ctx, view, request)
	end := r.clock.Now()
	view.End(end, pending, countsAsFailure(result.reply))
	r.leaving.observeRoundTrip(view.Instance().Domain(), end.Sub(begin), bodySize, result.reply)
	r.updateView(view, result)
	return result
}

// countsAsFailure reports whether the reply raises the failure rate of the instance. A refusal does not, since its load
// report already describes the overload.
func countsAsFailure(reply *schema.ExecuteReply) bool {
	switch reply.GetStatus() {
	case schema.Status_STATUS_ANSWERED:
		return reply.GetCode() >= 500
	case schema.Status_STATUS_UNKNOWN:
		return reply.GetReason() != schema.Reason_REASON_CANCELLED && !isAbandoned(reply)
	}
	return false
}

// updateView updates the view from a reply of the guard.
func (r *Router) updateView(view *picker.View, result sendResult) {
	if !result.replied {
		return
	}
	now := r.clock.Now()
	switch result.reply.GetReason() {
	case schema.Reason_REASON_WRONG_INSTANCE,
		schema.Reason_REASON_NO_CONFIGURATION,
		schema.Reason_REASON_PAUSED,
		schema.Reason_REASON_CONNECT:
		// The node replied but does not serve this instance yet, or its backend server is down.
		view.RecordConnectFailure(now)
	default:
		view.ResetBackoff()
		if result.reply.HasLoad() {
			view.SetReport(now, core.NewLoadReport(result.reply.GetLoad()))
		}
	}
}

// execute sends the request to the guard and waits for the reply.
func (r *Router) execute(ctx context.Context, view *picker.View, request *schema.ExecuteRequest) sendResult {
	if r.isLocal(view) {
		return guardReply(request, r.local.Execute(ctx, request))
	}
	reply, err := r.transport.Execute(ctx, view.Instance(), request)
	if err == nil {
		return guardReply(request, reply)
	}
	reason, sent := r.recordTransportError(view, err)
	if !sent {
		return sendResult{reply: overrule(request, core.NotRun(reason))}
	}
	if ctx.Err() == nil {
		return sendResult{reply: core.Unknown(reason), sent: true}
	}
	return sendResult{reply: r.cancel(ctx, view, request), sent: true}
}

func (r *Router) isLocal(view *picker.View) bool {
	return view.Instance().Address() == r.self.GetAddress()
}

// guardReply wraps the reply of a guard to a request. A reply with an unknown status does not tell whether the call ran, and neither does an
// answer that can't be passed on.
func guardReply(request *schema.ExecuteRequest, reply *schema.ExecuteReply) sendResult {
	switch reply.GetStatus() {
	case schema.Status_STATUS_ANSWERED, schema.Status_STATUS_NOT_RUN, schema.Status_STATUS_UNKNOWN:
		return sendResult{reply: overrule(request, checkAnswer(reply)), sent: true, replied: true}
	}
	return sendResult{reply: core.Unknown(schema.Reason_REASON_MALFORMED), sent: true}
}

// checkAnswer returns the reply of a guard. An answer whose code is no status code, or with a field that is no header field, is an
// unknown outcome: the server got the call, but its answer can't be passed on.
func checkAnswer(reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetStatus() != schema.Status_STATUS_ANSWERED || status.IsValid(reply.GetCode()) && areFields(reply.GetHeaders()) {
		return reply
	}
	unknown := core.Unknown(schema.Reason_REASON_GARBLED)
	unknown.SetRetried(reply.GetRetried())
	unknown.SetLoad(reply.GetLoad())
	unknown.SetNextTicket(reply.GetNextTicket())
	return unknown
}

func areFields(headers []*schema.Header) bool {
	return !slices.ContainsFunc(headers, func(h *schema.Header) bool {
		return !field.IsToken(h.GetName()) || field.HasControl(h.GetValue())
	})
}

// overrule returns the reply, with the reason OTHER_CONFIGURATION if it refuses the request for a fault of the caller. The router has
// accepted the call by its own configuration, so the two nodes disagree, and another instance may run the call.
func overrule(request *schema.ExecuteRequest, reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetStatus() != schema.Status_STATUS_NOT_RUN || !blamesCaller(request, reply.GetReason()) {
		return reply
	}
	overruled := shallowCopy(reply)
	overruled.SetReason(schema.Reason_REASON_OTHER_CONFIGURATION)
	if !request.HasTicket() {
		overruled.ClearNextTicket()
	}
	return overruled
}

// blamesCaller reports whether a reason to refuse a request means that its caller must not send it again as it is. Reasons about
// the ticket of a request are not meant: only the executor of the ticket can give them.
func blamesCaller(request *schema.ExecuteRequest, reason schema.Reason) bool {
	switch reason {
	case schema.Reason_REASON_TOO_LARGE, schema.Reason_REASON_DEPTH, schema.Reason_REASON_MALFORMED, schema.Reason_REASON_NO_RULE:
		return true
	case schema.Reason_REASON_TICKET_REQUIRED:
		return !request.HasTicket()
	}
	return false
}

// recordTransportError records a transport error and returns its reason, and whether the request may have reached the
// node.
func (r *Router) recordTransportError(view *picker.View, err error) (schema.Reason, bool) {
	var transportError *core.TransportError
	if !errors.As(err, &transportError) {
		return schema.Reason_REASON_NODE_LOST, true
	}
	switch transportError.Reason() {
	case schema.Reason_REASON_DEADLINE, schema.Reason_REASON_CANCELLED,
		schema.Reason_REASON_TOO_LARGE, schema.Reason_REASON_MALFORMED:
		// The reason is the call, not the node.
	default:
		view.RecordConnectFailure(r.clock.Now())
	}
	return transportError.Reason(), transportError.MaybeSent()
}

// cancel cancels a request whose time is up and returns its outcome, which is NotRun only if the guard confirms it.
func (r *Router) cancel(ctx context.Context, view *picker.View, request *schema.ExecuteRequest) *schema.ExecuteReply {
	reason := contextReason(ctx)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout+view.Delay())
	defer stop()
	message := schema.CancelRequest_builder{Attempt: request.GetAttempt()}.Build()
	reply, err := r.transport.Cancel(ctx, view.Instance(), message)
	if err == nil && reply.GetNotRun() {
		return core.NotRun(reason)
	}
	return core.Unknown(reason)
}

// contextReason returns the reason that corresponds to the error of an ended context.
func contextReason(ctx context.Context) schema.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schema.Reason_REASON_DEADLINE
	}
	return schema.Reason_REASON_CANCELLED
}
