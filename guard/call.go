package guard

import (
	"context"
	"errors"
	"time"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/poison"
	"verbenareel/schema"
)

// call is one attempt to run a request.
type call struct {
	admit   admit.Call
	request *schema.ExecuteRequest
	// fingerprints identify the request in the table of suspects.
	fingerprints []uint64
	// message is the request as the backend client sends it.
	message core.Request
	// ctx is passed to the backend client; cancel makes the client signal cancellation to the backend server. cancel
	// is nil for a call that must not be sent again, which always runs to completion.
	ctx    context.Context
	cancel context.CancelFunc
	// index is the position in Guard.running. sampled is true once the age of the running call was reported to the
	// limiter as a latency sample.
	index   int
	sampled bool
	// pauseCount is the number of pauses of the process before the call was started.
	pauseCount int64
	// abandoned is true if the call was cancelled because the backend server was in a slow phase when it started.
	abandoned bool
	// startPace is the pace of the backend server in hundredths at the start of the call.
	startPace int
	// withdrawn is true if the call was cancelled while running, by the router, the caller or the guard itself; its
	// result is then no evidence about the backend server.
	withdrawn bool
	// reply is the reply to a held call, unless the backend server crashed. reset reports that its connection ended before
	// the response.
	reply *schema.ExecuteReply
	reset bool
	// outcome receives exactly one reply.
	outcome chan *schema.ExecuteReply
}

func newCall(now time.Time, request *schema.ExecuteRequest, timeout time.Duration) *call {
	c := &call{
		request: request,
		fingerprints: core.SuspectFingerprints(request.GetService(), request.GetCaller(), request.GetMethod(), string(request.GetUri()),
			request.GetBody()),
		outcome: make(chan *schema.ExecuteReply, 1),
	}
	c.admit = admit.Call{
		Priority:   request.GetPriority(),
		Repeatable: request.GetRepeatable() && !request.HasTicket(),
		Eager:      request.GetEager(),
		Deadline:   now.Add(timeout),
		Customer:   request.GetCustomer(),
		Owner:      c,
	}
	if left := request.GetTargetUs(); left > 0 {
		c.admit.Target = now.Add(time.Duration(left) * time.Microsecond)
	}
	if request.HasTicket() || request.GetOnce() {
		c.ctx = context.Background()
		return c
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Execute implements core.Executor.
func (g *Guard) Execute(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	start := g.clock.Now()
	c := newCall(start, request, g.timeout(request))
	reply := g.execute(ctx, c)
	now := g.clock.Now()
	g.mu.Lock()
	load := g.load(now)
	closed := g.controller.Closed()
	if request.GetReportWork() {
		reply.SetHeldUs(uint32(max(1, now.Sub(start).Microseconds())))
		reply.SetWorkUs(uint32(g.serviceTimes.expected(request.GetRule(), 0).Microseconds()))
	}
	g.mu.Unlock()
	reply.SetLoad(load.Message())
	required := reply.GetReason() == schema.Reason_REASON_TICKET_REQUIRED
	if (required || request.GetIssueNext()) && closed == schema.Reason_REASON_NONE {
		ticket, _ := g.issue(now)
		reply.SetNextTicket(ticket)
	}
	g.metrics.count(reply)
	g.repeats.record(now, request, reply)
	return reply
}

// timeout returns the remaining time of a request, capped at the timeout of the service.
func (g *Guard) timeout(request *schema.ExecuteRequest) time.Duration {
	timeout := time.Duration(request.GetTimeoutUs()) * time.Microsecond
	snapshot := g.snapshots.Snapshot()
	if snapshot == nil {
		return timeout
	}
	if bound := snapshot.Service(g.member().GetService()).GetTimeout().AsDuration(); bound > 0 {
		return min(timeout, bound)
	}
	return timeout
}

// execute returns a reply that the caller may modify.
func (g *Guard) execute(ctx context.Context, c *call) *schema.ExecuteReply {
	if !c.request.HasTicket() {
		return g.run(ctx, c)
	}
	for {
		claim := g.claimTicket(c)
		switch claim.State {
		case core.ClaimReply:
			return copyReply(claim.Reply)
		case core.ClaimRun:
			return copyReply(g.run(ctx, c))
		}
		if reason := g.awaitTicket(ctx, c, claim.Wait); reason != schema.Reason_REASON_NONE {
			return core.Unknown(reason)
		}
	}
}

// claimTicket claims the ticket of a call. It must come before every check that could refuse the call: if the ticket
// has already been used by a run, a refusal would wrongly state that the call did not run.
func (g *Guard) claimTicket(c *call) core.Claim {
	g.storeMu.Lock()
	defer g.storeMu.Unlock()
	r := c.request
	fingerprint := core.Fingerprint(r.GetService(), r.GetMethod(), string(r.GetUri()), r.GetBody())
	return g.store.Begin(g.clock.Now(), r.GetTicket(), fingerprint)
}

// awaitTicket waits for another attempt that is running the same ticket. It returns the reason for which it stopped
// waiting, or REASON_NONE once that attempt has ended.
func (g *Guard) awaitTicket(ctx context.Context, c *call, wait <-chan struct{}) schema.Reason {
	select {
	case <-wait:
		return schema.Reason_REASON_NONE
	case <-ctx.Done():
		return endReason(ctx)
	case <-g.clock.After(c.admit.Deadline.Sub(g.clock.Now())):
		return schema.Reason_REASON_DEADLINE
	}
}

func endReason(ctx context.Context) schema.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schema.Reason_REASON_DEADLINE
	}
	return schema.Reason_REASON_CANCELLED
}

// copyReply returns a copy whose fields can be set without modifying the reply in the outcome store.
func copyReply(r *schema.ExecuteReply) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{
		Status:       r.GetStatus(),
		Reason:       r.GetReason(),
		Code:         r.GetCode(),
		Headers:      r.GetHeaders(),
		Body:         r.GetBody(),
		SupersededBy: r.GetSupersededBy(),
		Retried:      r.GetRetried(),
		Suspect:      r.GetSuspect(),
	}.Build()
}

// run submits a call for admission and waits for its outcome.
func (g *Guard) run(ctx context.Context, c *call) *schema.ExecuteReply {
	g.offer(c)
	select {
	case reply := <-c.outcome:
		return reply
	default:
	}
	select {
	case reply := <-c.outcome:
		return reply
	case <-ctx.Done():
		return g.withdraw(c, endReason(ctx), c.request.HasTicket())
	case <-g.clock.After(c.admit.Deadline.Sub(g.clock.Now())):
		return g.withdraw(c, schema.Reason_REASON_DEADLINE, false)
	}
}

// offer starts, queues or refuses a call.
func (g *Guard) offer(c *call) {
	snapshot := g.snapshots.Snapshot()
	reason := g.check(c, snapshot)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.unsettled++
	g.lastOffer = now
	g.checkPause(now)
	g.refresh(now)
	if g.cancelled.remove(c.request.GetAttempt()) {
		reason = schema.Reason_REASON_CANCELLED
	}
	if reason != schema.Reason_REASON_NONE {
		g.settle(now, c, core.NotRun(reason))
		return
	}
	if attempt := c.request.GetAttempt(); attempt != 0 {
		g.attempts[attempt] = c
	}
	c.admit.Expected = g.serviceTimes.expected(c.request.GetRule(), g.pace.base())
	g.handle(now, g.controller.Offer(now, &c.admit))
	g.applyPace(now)
}

// check returns the reason for which this instance cannot run a request at all, or REASON_NONE.
func (g *Guard) check(c *call, snapshot *core.Snapshot) schema.Reason {
	r := c.request
	switch {
	case r.GetInstance() != g.member().GetInstance() || r.GetService() != g.member().GetService():
		return schema.Reason_REASON_WRONG_INSTANCE
	case r.GetDepth() > core.MaxDepth:
		return schema.Reason_REASON_DEPTH
	case !r.GetRepeatable() && !r.HasTicket() && !r.GetOnce():
		return schema.Reason_REASON_TICKET_REQUIRED
	case tooLarge(r, snapshot):
		return schema.Reason_REASON_TOO_LARGE
	}
	now := g.clock.Now()
	crashes := g.crashes(now, c)
	if crashes >= poison.RefusalThreshold {
		return schema.Reason_REASON_POISONED
	}
	c.admit.Alone = crashes > 0 || r.GetSuspect() && !g.wasSuspect(now, c)
	return schema.Reason_REASON_NONE
}

func tooLarge(r *schema.ExecuteRequest, snapshot *core.Snapshot) bool {
	if snapshot == nil {
		return false
	}
	bound := snapshot.Service(r.GetService()).GetMaxBody()
	return bound > 0 && len(r.GetBody()) > int(bound)
}

// withdraw stops waiting for a call. The reply is NotRun only if the call was removed from the queue. With keep set,
// a queued call stays in the queue and its outcome is stored for a resend.
func (g *Guard) withdraw(c *call, reason schema.Reason, keep bool) *schema.ExecuteReply {
	if !keep {
		g.cancelCall(c, reason)
	}
	select {
	case reply := <-c.outcome:
		return reply
	default:
		return core.Unknown(reason)
	}
}

// cancelCall removes a queued call, or signals cancellation of a running one. It reports whether the call was removed
// and so will never start.
func (g *Guard) cancelCall(c *call, reason schema.Reason) bool {
	g.mu.Lock()
	now := g.clock.Now()
	removed, events := g.controller.Cancel(now, &c.admit, reason)
	g.handle(now, events)
	c.withdrawn = c.withdrawn || !removed && c.cancel != nil && reason == schema.Reason_REASON_CANCELLED
	g.mu.Unlock()
	if !removed && c.cancel != nil {
		c.cancel()
	}
	return removed
}

// Cancel implements core.Executor. A cancelled attempt that is not known yet is refused when it arrives. The reply
// does not confirm it as not run, because the attempt may already have run and ended.
func (g *Guard) Cancel(_ context.Context, request *schema.CancelRequest) *schema.CancelReply {
	attempt := request.GetAttempt()
	g.mu.Lock()
	c := g.attempts[attempt]
	if c == nil && attempt != 0 {
		g.cancelled.add(attempt)
	}
	g.mu.Unlock()
	if c == nil {
		return &schema.CancelReply{}
	}
	notRun := g.cancelCall(c, schema.Reason_REASON_CANCELLED)
	return schema.CancelReply_builder{NotRun: notRun}.Build()
}

// Issue implements core.Executor.
func (g *Guard) Issue(_ context.Context, request *schema.IssueRequest) *schema.IssueReply {
	now := g.clock.Now()
	g.mu.Lock()
	g.refresh(now)
	reason := g.controller.Closed()
	load := g.load(now)
	g.mu.Unlock()
	if request.GetInstance() != g.member().GetInstance() || request.GetService() != g.member().GetService() {
		reason = schema.Reason_REASON_WRONG_INSTANCE
	}
	var ticket *schema.Ticket
	if reason == schema.Reason_REASON_NONE {
		ticket, reason = g.issue(now)
	}
	return schema.IssueReply_builder{Ticket: ticket, Reason: reason, Load: load.Message()}.Build()
}

func (g *Guard) issue(now time.Time) (*schema.Ticket, schema.Reason) {
	g.storeMu.Lock()
	defer g.storeMu.Unlock()
	return g.store.Issue(now, g.member().GetService())
}

// Supersede implements core.Executor.
func (g *Guard) Supersede(_ context.Context, request *schema.SupersedeRequest) *schema.SupersedeReply {
	g.storeMu.Lock()
	defer g.storeMu.Unlock()
	return g.store.Supersede(g.clock.Now(), request.GetTicket(), request.GetSuccessor())
}

// maxCancelled is the number of remembered attempts whose cancellation arrived before the call.
const maxCancelled = 1024

// cancelledAttempts holds the most recent attempts that were cancelled before they arrived.
type cancelledAttempts struct {
	set  map[uint64]struct{}
	ring [maxCancelled]uint64
	next int
}

func (s *cancelledAttempts) add(attempt uint64) {
	if s.set == nil {
		s.set = make(map[uint64]struct{}, maxCancelled)
	}
	delete(s.set, s.ring[s.next])
	s.ring[s.next] = attempt
	s.next = (s.next + 1) % maxCancelled
	s.set[attempt] = struct{}{}
}

func (s *cancelledAttempts) remove(attempt uint64) bool {
	_, ok := s.set[attempt]
	delete(s.set, attempt)
	return ok
}
