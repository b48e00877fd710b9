package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/schema"
)

// contendedRules are a rule for urgent calls and one for long calls of the same service.
func contendedRules() []*schema.Rule {
	return []*schema.Rule{
		schema.Rule_builder{Path: "/look", Service: "sheets", Priority: schema.Priority_PRIORITY_HIGH, Repeatable: true,
			TargetLatency: durationpb.New(250 * time.Millisecond)}.Build(),
		schema.Rule_builder{Path: "/", Service: "sheets", Priority: schema.Priority_PRIORITY_LOW, Once: schema.Once_ONCE_REQUEST,
			TargetLatency: durationpb.New(900 * time.Millisecond)}.Build(),
	}
}

// TestEntryAdmission guards against sending long calls to instances that can start none in time, against refusing
// urgent, nested or any calls without the setting, and against refusals after which all callers return at once.
func TestEntryAdmission(t *testing.T) {
	const calls = 40
	for _, c := range []struct {
		name    string
		enabled bool
		depth   uint32
		path    string
		refused bool
	}{
		{"long", true, 0, "/order", true},
		{"urgent", true, 0, "/look", false},
		{"nested", true, 1, "/order", false},
		{"without the setting", false, 0, "/order", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				load := schema.Load_builder{InFlight: 9, Queued: 90, Limit: 9, LatencyUs: 300_000}.Build()
				r, _, snapshots := newTestRouter(3, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
					sent++
					reply := core.NotRun(schema.Reason_REASON_BUSY)
					reply.SetLoad(load)
					return reply
				})
				withRules(snapshots, 3, func(s *schema.Service) { s.SetEntryAdmission(c.enabled); s.SetRetryFloor(0) }, contendedRules()...)
				for range calls {
					lookup(r)
				}
				sent = 0
				delays := make(map[int64]bool)
				refused := 0
				for range calls {
					reply := r.Handle(context.Background(), &core.Call{Method: "GET", URI: c.path, Path: c.path, Depth: c.depth})
					delays[reply.GetRetryAfterUs()] = true
					if reply.GetReason() == schema.Reason_REASON_ENTRY {
						refused++
					}
				}
				qt.Check(t, len(delays) > calls/2, qt.IsTrue)
				if c.refused {
					qt.Check(t, refused > calls*9/10, qt.IsTrue, qt.Commentf("%d refused", refused))
					return
				}
				qt.Check(t, refused, qt.Equals, 0)
				qt.Check(t, sent >= calls, qt.IsTrue)
			})
		})
	}
}

// TestRetryOrder guards against long calls that use the last of the budget while urgent ones need retries.
func TestRetryOrder(t *testing.T) {
	for _, byWorth := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { checkRetryOrder(t, byWorth) })
	}
}

// checkRetryOrder sends urgent and long calls alternately to servers that shed all, and compares their retries.
func checkRetryOrder(t *testing.T, byWorth bool) {
	t.Helper()
	sends := map[string]int{}
	r, _, snapshots := newTestRouter(4, func(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
		sends[string(request.GetUri())]++
		return core.NotRun(schema.Reason_REASON_SHED)
	})
	withRules(snapshots, 4, func(s *schema.Service) {
		if byWorth {
			s.SetRetryOrder(schema.RetryOrder_RETRY_ORDER_WORTH)
		}
	}, contendedRules()...)
	withSharedBudget(r, schema.RetryBudget_builder{Ratio: 0.2, Slack: 8, Window: durationpb.New(10 * time.Second)}.Build())
	for range 300 {
		order(r)
		lookup(r)
	}
	urgent, long := sends["/look"]-300, sends["/order"]-300
	t.Logf("by worth %v: %d retries of urgent calls, %d of long ones", byWorth, urgent, long)
	qt.Check(t, long > 0, qt.IsTrue)
	qt.Check(t, urgent > 4*long, qt.Equals, byWorth)
}
