package router

import (
	"fmt"
	"math"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

// sampleEvery is the sampling interval of the log: one in this many calls without any irregularity is logged.
const sampleEvery = 1000

// hop is one attempt of a call as shown in the log: the load report of the instance when it was chosen, and the result.
type hop struct {
	view *picker.View
	load core.LoadReport
	// age is the age of the load report, negative if there was none.
	age    time.Duration
	status schema.Status
	reason schema.Reason
	code   uint32
	ended  bool
	// leave is the reason for which the attempt left the failure domain, or empty.
	leave       core.LeaveReason
	answerBytes int
}

func newHop(now time.Time, view *picker.View) hop {
	load, received := view.Load()
	h := hop{view: view, load: load, age: -1}
	if !received.IsZero() {
		h.age = now.Sub(received)
	}
	return h
}

// end records the reply to the attempt.
func (h *hop) end(reply *schema.ExecuteReply) {
	h.status, h.reason, h.code, h.ended = reply.GetStatus(), reply.GetReason(), reply.GetCode(), true
	h.answerBytes = len(reply.GetBody())
}

// String formats a hop for the log, such as "sheets-1:not-run/busy(18+4/18 pace 1.2 age 12ms)": in flight, queued and
// limit, then the pace and the age of the report.
func (h *hop) String() string {
	outcome := core.StatusName(h.status) + "/" + core.ReasonName(h.reason)
	switch {
	case !h.ended:
		outcome = "no-reply"
	case h.status == schema.Status_STATUS_ANSWERED:
		outcome = fmt.Sprint(h.code)
	}
	known := "nothing known"
	if h.age >= 0 {
		known = fmt.Sprintf("%d+%d/%d pace %.1f age %v", h.load.InFlight, h.load.Queued, h.load.Limit, h.load.Pace, h.age.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s:%s(%s)", h.view.Instance().Name(), outcome, known)
}

// recordHop records the reply to the latest unanswered attempt at the instance.
func (c *call) recordHop(view *picker.View, reply *schema.ExecuteReply) {
	for i := len(c.hops) - 1; i >= 0; i-- {
		if c.hops[i].view == view && !c.hops[i].ended {
			c.hops[i].end(reply)
			return
		}
	}
}

// logCall logs each call that failed, was late or took more than one attempt, and one in sampleEvery of the others.
func (r *Router) logCall(c *call, reply *schema.ExecuteReply, took time.Duration) {
	late := c.rule.HasTargetLatency() && took > c.rule.GetTargetLatency().AsDuration()
	if succeeded(reply) && len(c.hops) <= 1 && !late && r.successes.Add(1)%sampleEvery != 0 {
		return
	}
	hops := make([]string, 0, len(c.hops))
	for i := range c.hops {
		hops = append(hops, c.hops[i].String())
	}
	r.logger.Info(callMessage(reply, len(c.hops), late),
		zap.String("request", c.input.ID),
		zap.String("path", c.input.Path),
		zap.String("service", c.service),
		zap.String("customer", c.customerName),
		zap.String("outcome", core.StatusName(reply.GetStatus())),
		zap.String("reason", core.ReasonName(reply.GetReason())),
		zap.Int("code", codeOf(reply)),
		zap.Duration("took", took),
		zap.Duration("target", c.rule.GetTargetLatency().AsDuration()),
		zap.String("left_domain", string(c.leaveReason())),
		zap.String("hops", strings.Join(hops, " ")),
		r.budgetField(c),
		zap.Uint64("revision", r.revision()))
}

// budgetField shows what was available of the retry budget of all nodes when the call ended, if there is one.
func (r *Router) budgetField(c *call) zap.Field {
	state, shared := c.group.budgets.state(r.clock.Now())
	if !shared {
		return zap.Skip()
	}
	return zap.Float64("retry_budget", math.Round(10*state.available)/10)
}

func callMessage(reply *schema.ExecuteReply, sends int, late bool) string {
	switch {
	case succeeded(reply) && late:
		return "call answered late"
	case succeeded(reply) && sends > 1:
		return "call answered after another attempt"
	case succeeded(reply):
		return "call answered"
	case reply.GetStatus() == schema.Status_STATUS_ANSWERED:
		return "call answered with an error of the backend server"
	case reply.GetStatus() == schema.Status_STATUS_NOT_RUN:
		return "call refused"
	}
	return "call without an answer"
}

// logRefusal logs a request that was refused before it was routed to an instance, with the configuration that decided: its
// version, its age, and whether a rule of it or of the one before matches.
func (r *Router) logRefusal(input *core.Call, reply *schema.ExecuteReply) {
	var snapshot *core.Snapshot
	if t := r.table.Load(); t != nil {
		snapshot = t.snapshot
	}
	r.logger.Info("request refused",
		zap.String("request", input.ID),
		zap.String("host", input.Host),
		zap.String("path", input.Path),
		zap.String("key", core.ShortKeyHash(input.KeyHash)),
		zap.String("reason", core.ReasonName(reply.GetReason())),
		zap.Int("code", codeOf(reply)),
		zap.Int("body_bytes", len(input.Body)),
		zap.Uint32("depth", input.Depth),
		zap.Inline(configuration{r, snapshot}),
		zap.Bool("rule_matches", matches(snapshot, input)),
		zap.Bool("rule_matched_before", matches(r.documentBefore.Load(), input)))
}

// codeOf returns the HTTP status code that the caller gets.
func codeOf(reply *schema.ExecuteReply) int {
	if reply.GetStatus() == schema.Status_STATUS_ANSWERED {
		return int(reply.GetCode())
	}
	return core.OutcomeCode(reply.GetStatus(), reply.GetReason())
}

// configuration is the configuration that decides about requests, for the log: its revision and version, and the time since it was
// last confirmed, if that is known.
type configuration struct {
	router   *Router
	snapshot *core.Snapshot
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c configuration) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddUint64("revision", c.snapshot.Revision())
	e.AddString("deployment", c.snapshot.Document().GetDeployment())
	if confirmer, ok := c.router.snapshots.(core.Confirmer); ok && !confirmer.ConfirmedAt().IsZero() {
		e.AddDuration("document_age", c.router.clock.Now().Sub(confirmer.ConfirmedAt()))
	}
	return nil
}

// Configuration returns the configuration in force for the log.
func (r *Router) Configuration() zapcore.ObjectMarshaler {
	return configuration{r, r.snapshots.Snapshot()}
}

func matches(s *core.Snapshot, input *core.Call) bool {
	return s != nil && s.Route(input.Method, input.Host, input.Path) != nil
}

// revision returns the revision of the current configuration, or 0 if there is none.
func (r *Router) revision() uint64 {
	t := r.table.Load()
	if t == nil || t.snapshot == nil {
		return 0
	}
	return t.snapshot.Revision()
}
