package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// callerFaults are the reasons for which a guard refuses a call that its router must not have accepted.
var callerFaults = []schema.Reason{
	schema.Reason_REASON_TOO_LARGE,
	schema.Reason_REASON_DEPTH,
	schema.Reason_REASON_MALFORMED,
	schema.Reason_REASON_NO_RULE,
	schema.Reason_REASON_TICKET_REQUIRED,
}

// routerOfGuards returns a router with three guards, of which the first calls get the verdict and the others an answer.
func routerOfGuards(verdict schema.Reason, verdicts int) *Router {
	withRetries := func(s *schema.Service) { s.SetRetryRatio(1); s.SetFreeResends(4) }
	sends := 0
	r, _, _ := newConfiguredRouter(3, withRetries, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
		sends++
		if sends <= verdicts {
			return core.NotRun(verdict)
		}
		return answer(200)
	})
	return r
}

// TestVerdictOfOtherNode guards against a call that ends with a 4xx since the guard of another node judged it by another document
// than the router which accepted it.
func TestVerdictOfOtherNode(t *testing.T) {
	for _, reason := range callerFaults {
		t.Run(core.ReasonName(reason), func(t *testing.T) {
			c := qt.New(t)
			assertOutcome(c, lookup(routerOfGuards(reason, 1)), schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE)
			reply := lookup(routerOfGuards(reason, 10))
			c.Check(reply.GetStatus(), qt.Equals, schema.Status_STATUS_NOT_RUN)
			c.Check(core.ReasonName(reply.GetReason()), qt.Equals, "other-configuration")
			c.Check(reply.GetRetryAfterUs() > 0, qt.IsTrue)
		})
	}
}

// TestUnsentVerdict guards against a 4xx for a call that could not be sent to another node, and against an instance that other
// calls avoid because of it.
func TestUnsentVerdict(t *testing.T) {
	for _, reason := range []schema.Reason{schema.Reason_REASON_TOO_LARGE, schema.Reason_REASON_MALFORMED} {
		t.Run(core.ReasonName(reason), func(t *testing.T) {
			r, network, _ := newTestRouter(1, nil)
			network.fail = func(to *core.Instance, _ func() *schema.ExecuteReply) (*schema.ExecuteReply, error) {
				return nil, lostError(to, reason, false)
			}
			reply := lookup(r)
			qt.Check(t, reply.GetStatus(), qt.Equals, schema.Status_STATUS_NOT_RUN)
			qt.Check(t, core.ReasonName(reply.GetReason()), qt.Equals, "other-configuration")
			qt.Check(t, r.viewByName("sheets-1").InBackoff(time.Now()), qt.IsFalse)
		})
	}
}

// TestKeptVerdicts guards against the loss of verdicts that only the executor of a ticket can give, and of outcomes that are open.
func TestKeptVerdicts(t *testing.T) {
	withTicket := schema.ExecuteRequest_builder{Ticket: &schema.Ticket{}}.Build()
	for name, test := range map[string]struct {
		request *schema.ExecuteRequest
		reply   *schema.ExecuteReply
	}{
		"ticket required": {withTicket, core.NotRun(schema.Reason_REASON_TICKET_REQUIRED)},
		"ticket invalid":  {withTicket, core.NotRun(schema.Reason_REASON_TICKET_INVALID)},
		"ticket mismatch": {withTicket, core.NotRun(schema.Reason_REASON_TICKET_MISMATCH)},
		"ticket closed":   {withTicket, core.NotRun(schema.Reason_REASON_TICKET_CLOSED)},
		"poisoned":        {&schema.ExecuteRequest{}, core.NotRun(schema.Reason_REASON_POISONED)},
		"may have run":    {&schema.ExecuteRequest{}, core.Unknown(schema.Reason_REASON_TOO_LARGE)},
	} {
		t.Run(name, func(t *testing.T) {
			want := test.reply.GetReason()
			reply := guardReply(test.request, test.reply).reply
			assertOutcome(qt.New(t), reply, test.reply.GetStatus(), want)
		})
	}
	for _, reason := range callerFaults[:4] {
		reply := guardReply(withTicket, core.NotRun(reason)).reply
		qt.Check(t, core.ReasonName(reply.GetReason()), qt.Equals, "other-configuration", qt.Commentf("%v", reason))
	}
}
