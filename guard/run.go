package guard

import (
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/limit"
	"verbenareel/poison"
	"verbenareel/schema"
)

const (
	// latencyWeight is the weight of one call in the reported averages of service time and failure rate.
	latencyWeight = 0.1
	// drainingReportTTL is how long a report of a draining backend server is valid. Without an expiry, one wrong
	// report would keep the instance out of use until the next probe.
	drainingReportTTL = 2 * time.Second
	// listPropagationDelay is the highest delay until a state change of a backend server appears in the platform's
	// instance list.
	listPropagationDelay = 300 * time.Millisecond
	// listRefreshInterval is the time between two reads of the instance list while the health check is unreliable.
	// The health check counts as unreliable if more than untrustedFailureRate of the calls fail.
	listRefreshInterval  = time.Second
	untrustedFailureRate = 0.3
	// Connection resets with at most resetWindow between them belong together; resetThreshold of them indicate a
	// restart of the backend server.
	resetWindow    = 100 * time.Millisecond
	resetThreshold = 2
)

// lostResult is the result of a call for which the backend client returned none.
var lostResult = &core.Result{Written: true, Reason: schema.Reason_REASON_CONNECTION_LOST}

// server is the state of the backend server as known to the guard.
type server struct {
	latency       time.Duration
	failures      float64
	coldState     coldState
	incarnation   uint64
	drainingUntil time.Time
	// drainingSince is the time of the first of the current consecutive draining reports.
	drainingSince time.Time
	// listRequested is when the platform's instance list was last requested.
	listRequested time.Time
	// reportReceived is the arrival of the last state report. reportApplied is set to the same time after the report
	// has been applied, so that log lines written while it is applied show the age of the report before it.
	reportReceived time.Time
	reportApplied  time.Time
	lastReset      time.Time
	resets         int
	// fullAt is when the last report arrived if the server was full by it, or zero.
	fullAt time.Time
	// lastAnswered is the latest start time among the answered calls.
	lastAnswered time.Time
	// down is true while no connection can be opened. connectDue makes the next tick try to open one.
	down        bool
	connectDue  bool
	connecting  bool
	nextConnect time.Time
	backoff     time.Duration
}

// handle executes the decisions of the controller. It is called with mu held.
func (g *Guard) handle(now time.Time, events []admit.Event) {
	for _, e := range events {
		c := e.Call.Owner.(*call)
		if e.Reason != schema.Reason_REASON_NONE {
			g.settle(now, c, core.NotRun(e.Reason))
			continue
		}
		g.recordStartPace(e)
		c.index = len(g.running)
		c.pauseCount = g.pause.count.Load()
		g.running = append(g.running, c)
		g.goroutines.Go(func() { g.send(c) })
	}
}

// settle stores the outcome of a call and passes it to the goroutine that waits for it.
func (g *Guard) settle(now time.Time, c *call, reply *schema.ExecuteReply) {
	delete(g.attempts, c.request.GetAttempt())
	if c.request.HasTicket() {
		g.storeMu.Lock()
		g.store.Finish(now, c.request.GetTicket(), reply)
		g.storeMu.Unlock()
	}
	c.outcome <- reply
	g.unsettled--
	g.checkIdle()
}

// send runs a call that the controller started.
func (g *Guard) send(c *call) {
	if c.cancel != nil {
		defer c.cancel()
	}
	if reason := g.checkBeforeSend(c); reason != schema.Reason_REASON_NONE {
		g.releaseUnsent(c, reason)
		return
	}
	// The slot is released even if the backend client panics.
	result := lostResult
	defer func() { g.complete(c, result) }()
	r := c.request
	if r.GetAbandonSlow() && c.cancel != nil {
		g.goroutines.Go(func() { g.abandonIfSlow(c) })
	}
	c.message = core.Request{
		Method:     r.GetMethod(),
		URI:        string(r.GetUri()),
		Headers:    r.GetHeaders(),
		Body:       r.GetBody(),
		Depth:      r.GetDepth(),
		Deadline:   c.admit.Deadline,
		Instance:   r.GetInstance(),
		Caller:     r.GetCaller(),
		Customer:   r.GetCustomer(),
		ID:         string(r.GetRequestId()),
		AtMostOnce: r.GetOnce(),
		BeforeSend: func() schema.Reason { return g.checkPauseBeforeSend(c) },
		OnSent:     func() { g.recordSend(c) },
	}
	if sent := g.backend.Send(c.ctx, &c.message); sent != nil {
		result = sent
	}
}

// checkBeforeSend returns the reason for which a started call must not be sent, or REASON_NONE. Conditions may have
// changed since the controller started it: the process may have been paused, or the request may have crashed another
// instance.
func (g *Guard) checkBeforeSend(c *call) schema.Reason {
	now := g.clock.Now()
	if !now.Before(c.admit.Deadline) {
		return schema.Reason_REASON_DEADLINE
	}
	if c.ctx.Err() != nil {
		return schema.Reason_REASON_CANCELLED
	}
	crashes := g.crashes(now, c)
	if crashes >= poison.RefusalThreshold {
		return schema.Reason_REASON_POISONED
	}
	if crashes > 0 && !c.admit.Alone {
		return schema.Reason_REASON_SUSPECT
	}
	if reason := ineligible(g.member(), g.snapshots.Snapshot()); reason != schema.Reason_REASON_NONE {
		return reason
	}
	return g.checkPauseBeforeSend(c)
}

// checkPauseBeforeSend returns REASON_PAUSED if the process was paused since a call was started. It comes after all other
// checks, and again when a connection is open: until the first byte, a pause may fall between any two steps.
func (g *Guard) checkPauseBeforeSend(c *call) schema.Reason {
	if g.pausedSinceStart(g.clock.Now(), c) {
		return schema.Reason_REASON_PAUSED
	}
	return schema.Reason_REASON_NONE
}

// releaseUnsent ends a call of which no byte was sent.
func (g *Guard) releaseUnsent(c *call, reason schema.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.checkPause(now)
	g.refresh(now)
	g.release(now, c)
	g.settle(now, c, core.NotRun(reason))
}

// complete ends a call that was sent.
func (g *Guard) complete(c *call, result *core.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	reply := outcome(result)
	if !c.request.GetRepeatable() {
		reply = core.CheckRefusal(reply)
	}
	if c.abandoned && reply.GetStatus() == schema.Status_STATUS_UNKNOWN {
		reply = core.Unknown(schema.Reason_REASON_SLOW)
	}
	if result.Written {
		// The backend client may not have called Sent.
		g.controller.MarkSent(now, &c.admit)
	}
	ended := result.ConnectionEnded && reply.GetStatus() == schema.Status_STATUS_UNKNOWN
	if ended {
		g.raiseSuspicion(now, c)
	}
	g.recordResult(now, c, result, reply)
	g.checkPause(now)
	g.refresh(now)
	if ended && c.ctx.Err() == nil {
		c.reply = reply
		g.holdCall(c, result)
		g.release(now, c)
		return
	}
	g.release(now, c)
	g.settle(now, c, reply)
	g.applyPace(now)
}

// release frees the slot of a call.
func (g *Guard) release(now time.Time, c *call) {
	delete(g.attempts, c.request.GetAttempt())
	last := g.running[len(g.running)-1]
	g.running[c.index] = last
	last.index = c.index
	g.running[len(g.running)-1] = nil
	g.running = g.running[:len(g.running)-1]
	g.handle(now, g.controller.Finish(now, &c.admit))
	g.checkIdle()
}

// outcome converts the result of sending a call into the reply to its caller.
func outcome(result *core.Result) *schema.ExecuteReply {
	switch {
	case result.Reason == schema.Reason_REASON_SHED, result.Reason == schema.Reason_REASON_WRONG_INSTANCE:
		return core.NotRun(result.Reason)
	case result.Code != 0:
		return schema.ExecuteReply_builder{
			Status:  schema.Status_STATUS_ANSWERED,
			Code:    uint32(result.Code),
			Headers: result.Headers,
			Body:    result.Body,
			Retried: retried(result),
		}.Build()
	case !result.Written:
		return core.NotRun(reasonOr(result.Reason, schema.Reason_REASON_CONNECT))
	default:
		return core.Unknown(reasonOr(result.Reason, schema.Reason_REASON_CONNECTION_LOST))
	}
}

func reasonOr(reason, otherwise schema.Reason) schema.Reason {
	if reason == schema.Reason_REASON_NONE {
		return otherwise
	}
	return reason
}

// retried reports whether an error response was already retried deeper in the call chain.
func retried(result *core.Result) bool {
	if result.Code < http.StatusBadRequest {
		return false
	}
	for _, h := range result.Headers {
		if strings.EqualFold(h.GetName(), core.HeaderRetried) {
			return true
		}
	}
	return false
}

// recordResult updates the measurements with the result of a call.
func (g *Guard) recordResult(now time.Time, c *call, result *core.Result, reply *schema.ExecuteReply) {
	if result.Report != nil {
		g.applyReport(now, c.admit.Started(), result.Report)
	}
	if result.ConnectionReset {
		g.countReset(now, reply.GetStatus() == schema.Status_STATUS_UNKNOWN)
	}
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN {
		reason := reply.GetReason()
		lost := reason == schema.Reason_REASON_CONNECT || reason == schema.Reason_REASON_CONNECTION_LOST
		g.server.connectDue = g.server.connectDue || lost
		return
	}
	if c.withdrawn && reply.GetStatus() == schema.Status_STATUS_UNKNOWN {
		return
	}
	answered := result.Code != 0
	if answered && g.crashes(now, c) > 0 {
		g.clearSuspect(now, c.fingerprints)
	}
	started := c.admit.Started()
	if answered && started.After(g.server.lastAnswered) {
		g.server.lastAnswered = started
	}
	latency := now.Sub(started)
	failed := reply.GetStatus() == schema.Status_STATUS_UNKNOWN || result.Code >= http.StatusInternalServerError
	g.server.measure(latency, failed)
	if !failed {
		g.recordServiceTime(now, c, latency)
	}
	g.limiter.Observe(now, core.Sample{Latency: latency, InFlight: c.admit.InFlight(), Failed: failed})
}

// measure updates the averages in the load report.
func (s *server) measure(latency time.Duration, failed bool) {
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failures += latencyWeight * (outcome - s.failures)
}

// applyReport applies a load report of the backend server that was requested at the time asked. It can lower the
// limit but not raise it. A server reports cold for the whole of its cold start; the first such report starts the
// ramp of the limiter, and later ones restart the ramp only after it has ended.
func (g *Guard) applyReport(now, asked time.Time, report *core.ServerReport) {
	g.slots = report.Limit
	g.limiter.SetReportedLimit(now, freeSlots(g.knee.limit(now, report.Limit, report.Cold), report))
	g.recordFull(now, report)
	if report.Pace > 0 {
		g.pace.record(now, report.Pace)
	}
	if !report.HasState {
		return
	}
	g.server.reportReceived = now
	g.judgeSuspicions(now, asked, report)
	g.logColdChange(now, report)
	if report.Instance != "" && report.Instance != g.member().GetInstance() {
		g.replaceInstance(now, report.Instance)
	}
	restarted := report.Incarnation != 0 && g.server.incarnation != 0 && report.Incarnation != g.server.incarnation
	if report.Incarnation != 0 {
		g.server.incarnation = report.Incarnation
	}
	if restarted || report.Cold && (!g.server.coldState.cold || g.coldRate == 0 && g.rampEnded(now)) {
		g.treatAsCold(now, "report of the backend server")
	}
	if report.Cold {
		g.releaseHold(now, report)
	}
	g.server.coldState.update(now, asked, report.Cold)
	g.server.reportApplied = now
	g.updateDraining(now, report.Draining)
}

// replaceInstance adopts the name of a different backend server that started at the same address. It discards the
// measurements of pace and slowdown and treats the server as cold.
func (g *Guard) replaceInstance(now time.Time, instance string) {
	old := g.member()
	g.logger.Info("another backend server", zap.String("instance", instance), zap.String("before", old.GetInstance()))
	g.self.Store(schema.Member_builder{
		Instance: instance, Service: old.GetService(), Domain: old.GetDomain(), Address: old.GetAddress(),
		Incarnation: old.GetIncarnation(), Version: old.GetVersion(), State: old.GetState(),
	}.Build())
	g.ineligible = ineligible(g.member(), g.applied)
	g.knee, g.pace = knee{}, pace{}
	g.treatAsCold(now, "another backend server")
	g.onInstanceChange(instance)
}

// updateDraining applies the draining flag of a report. The first such report requests the platform's instance list.
func (g *Guard) updateDraining(now time.Time, draining bool) {
	if !draining {
		g.server.drainingUntil, g.server.drainingSince = time.Time{}, time.Time{}
		return
	}
	if g.server.drainingSince.IsZero() {
		g.server.drainingSince = now
		g.logger.Info("backend server says that it is leaving or unhealthy", zap.String("instance", g.member().GetInstance()))
	}
	g.server.drainingUntil = now.Add(drainingReportTTL)
	if !g.applied.ListTime().After(g.server.drainingSince.Add(listPropagationDelay)) {
		g.requestList(now, listPropagationDelay)
	}
}

// checkList requests the platform's instance list while the health check of the backend server is unreliable: it
// reports draining although the list does not, or it reports a healthy server although calls fail. In that case only
// the list shows whether the server is leaving.
func (g *Guard) checkList(now time.Time) {
	if !g.server.drainingSince.IsZero() || g.server.failures > untrustedFailureRate {
		g.requestList(now, listRefreshInterval)
	}
}

// requestList requests the platform's instance list unless it was requested within the period.
func (g *Guard) requestList(now time.Time, period time.Duration) {
	if g.refreshList == nil || now.Sub(g.server.listRequested) < period {
		return
	}
	g.server.listRequested = now
	g.refreshList()
}

// countReset counts a connection reset by the backend server. Several within a short time indicate a restart. If the call was
// sent, the check for a crash decides about it.
func (g *Guard) countReset(now time.Time, sent bool) {
	if now.Sub(g.server.lastReset) > resetWindow {
		g.server.resets = 0
	}
	g.server.lastReset = now
	g.server.resets++
	if g.server.resets >= resetThreshold && !sent {
		g.treatAsCold(now, "several connections reset")
	}
}

// rampEnded reports whether the ramp of the limiter has ended.
func (g *Guard) rampEnded(now time.Time) bool {
	a, ok := g.limiter.(*limit.Adaptive)
	return !ok || a.Warm(now)
}

func (g *Guard) treatAsCold(now time.Time, cause string) {
	if g.server.coldState.known {
		g.logger.Info("treating the backend server as cold", zap.String("cause", cause))
	}
	g.server.coldState.reset()
	g.limiter.ResetToCold(now)
}
