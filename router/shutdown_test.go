package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestRefuseAfter guards against a call that is accepted although the node may stop before its deadline, and against nested
// calls of a running call that are refused.
func TestRefuseAfter(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    time.Duration
		timeout time.Duration
		depth   uint32
		refused bool
	}{
		{"ends in time", time.Second, 0, 0, false},
		{"timeout of the service", 999 * time.Millisecond, 0, 0, true},
		{"timeout of the caller", 200 * time.Millisecond, 200 * time.Millisecond, 0, false},
		{"timeout of the caller too long", 200 * time.Millisecond, 201 * time.Millisecond, 0, true},
		{"nested", 200 * time.Millisecond, 0, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _, _ := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
				r.RefuseAfter(time.Now().Add(c.left))
				reply := r.Handle(t.Context(), &core.Call{Method: "GET", URI: "/look", Path: "/look", Timeout: c.timeout, Depth: c.depth})
				if !c.refused {
					qt.Check(t, succeeded(reply), qt.IsTrue)
					return
				}
				assertOutcome(qt.New(t), reply, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_LEAVING)
				qt.Check(t, reply.GetRetryAfterUs() > 0, qt.IsTrue)
			})
		})
	}
}
