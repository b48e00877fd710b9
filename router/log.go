package router

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

// hop is what came of one send of a call.
type hop struct {
	instance string
	status   schema.Status
	reason   schema.Reason
	code     uint32
	load     core.LoadReport
}

func newHop(view *picker.View, reply *schema.ExecuteReply) hop {
	load, _ := view.Load()
	return hop{
		instance: view.Instance().Name(),
		status:   reply.GetStatus(),
		reason:   reply.GetReason(),
		code:     reply.GetCode(),
		load:     load,
	}
}

// String returns a hop as it stands in a log line, such as "sheets-1:not-run/busy(18+4/18)".
func (h hop) String() string {
	outcome := core.StatusName(h.status) + "/" + core.ReasonName(h.reason)
	if h.status == schema.Status_STATUS_ANSWERED {
		outcome = fmt.Sprint(h.code)
	}
	return fmt.Sprintf("%s:%s(%d+%d/%d)", h.instance, outcome, h.load.InFlight, h.load.Queued, h.load.Limit)
}

// logCall logs a call that was not answered well at the first instance.
func (r *Router) logCall(c *call, reply *schema.ExecuteReply, took time.Duration) {
	if succeeded(reply) && len(c.trail) <= 1 {
		return
	}
	hops := make([]string, 0, len(c.trail))
	for _, h := range c.trail {
		hops = append(hops, h.String())
	}
	r.logger.Info(callMessage(reply),
		zap.String("request", c.input.ID),
		zap.String("path", c.input.Path),
		zap.String("service", c.service),
		zap.String("outcome", core.StatusName(reply.GetStatus())),
		zap.String("reason", core.ReasonName(reply.GetReason())),
		zap.Uint32("code", reply.GetCode()),
		zap.Duration("took", took),
		zap.String("hops", strings.Join(hops, " ")),
		zap.Uint64("revision", r.revision()))
}

func callMessage(reply *schema.ExecuteReply) string {
	switch {
	case succeeded(reply):
		return "call answered after another attempt"
	case reply.GetStatus() == schema.Status_STATUS_ANSWERED:
		return "call answered with an error of the backend server"
	case reply.GetStatus() == schema.Status_STATUS_NOT_RUN:
		return "call refused"
	}
	return "call without an answer"
}

// logRefusal logs a request that did not become a call.
func (r *Router) logRefusal(input *core.Call, reply *schema.ExecuteReply) {
	r.logger.Info("request refused",
		zap.String("request", input.ID),
		zap.String("host", input.Host),
		zap.String("path", input.Path),
		zap.String("reason", core.ReasonName(reply.GetReason())),
		zap.Uint64("revision", r.revision()))
}

// revision returns the revision of the configuration in force, or 0.
func (r *Router) revision() uint64 {
	t := r.table.Load()
	if t == nil || t.snapshot == nil {
		return 0
	}
	return t.snapshot.Revision()
}
