package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/schema"
)

// earnEachCall lets each call earn one retry.
var earnEachCall = schema.RetryBudget_builder{Ratio: 1 / spentShare, Slack: 4 / spentShare, Window: durationpb.New(10 * time.Second)}.Build()

// withSharedBudget applies a budget of all nodes to the router of a test.
func withSharedBudget(r *Router, settings *schema.RetryBudget) *budgets {
	r.retryBudget = settings
	r.table.Store(nil)
	return r.current(r.clock.Now()).groups["sheets"].budgets
}

// TestSharedBudget guards against arrivals that the budget of all nodes does not count, and against retries that
// reached no backend server and are counted.
func TestSharedBudget(t *testing.T) {
	busy, shed := core.NotRun(schema.Reason_REASON_BUSY), core.NotRun(schema.Reason_REASON_SHED)
	slow := core.Unknown(schema.Reason_REASON_SLOW)
	for _, c := range []struct {
		name    string
		replies []*schema.ExecuteReply
		sends   int
		repeats float64
	}{
		{"answered", []*schema.ExecuteReply{answer(200)}, 1, 0},
		{"shed", []*schema.ExecuteReply{shed, answer(200)}, 2, 1},
		{"shed twice, one retry earned", []*schema.ExecuteReply{shed, shed, answer(200)}, 2, 1},
		{"first arrival after refusals by guards", []*schema.ExecuteReply{busy, busy, answer(200)}, 3, 0},
		{"shed, then refused by a guard", []*schema.ExecuteReply{shed, busy, answer(200)}, 3, 1},
		{"shed, then refused by all guards", []*schema.ExecuteReply{shed, busy, busy, busy}, 4, 0},
		{"aborted by the guard", []*schema.ExecuteReply{slow, busy, answer(200)}, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			sends := 0
			reached := uint32(0)
			r, _, _ := newConfiguredRouter(4, func(s *schema.Service) { s.SetFreeResends(2) },
				func(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
					qt.Check(t, request.GetEarlierArrivals(), qt.Equals, reached)
					reply := c.replies[sends]
					sends++
					if mayHaveReachedServer(reply) {
						reached++
					}
					return reply
				})
			b := withSharedBudget(r, earnEachCall)
			lookup(r)
			now := r.clock.Now()
			state, shared := b.state(now)
			qt.Check(t, shared, qt.IsTrue)
			qt.Check(t, sends, qt.Equals, c.sends)
			qt.Check(t, state, qt.Equals, budgetState{available: 1 - c.repeats, calls: 1, repeats: c.repeats})
		})
	}
}

// TestNestedRepeats guards against nested calls of repeated runs that earn retries like other calls, and against taking
// calls from outside for nested ones.
func TestNestedRepeats(t *testing.T) {
	short := schema.Rule_builder{Path: "/look", Service: "sheets", Repeatable: true, TargetLatency: durationpb.New(150 * time.Millisecond)}.Build()
	long := schema.Rule_builder{Path: "/", Service: "sheets", Repeatable: true, TargetLatency: durationpb.New(time.Second)}.Build()
	for _, c := range []struct {
		name         string
		withoutDepth bool
		depth        uint32
		path         string
		repeats      float64
	}{
		{"from outside", false, 0, "/look", 0},
		{"nested", false, 1, "/", 0.5},
		{"short, format without depth", true, 0, "/look", 0.5},
		{"long, format without depth", true, 0, "/", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _, snapshots := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
			withRules(snapshots, 1, nil, short, long)
			r.withoutDepth, r.repeatShare = c.withoutDepth, func(time.Time) float64 { return 0.5 }
			b := withSharedBudget(r, earnEachCall)
			r.Handle(context.Background(), &core.Call{Method: "GET", URI: c.path, Path: c.path, Depth: c.depth})
			state, _ := b.state(r.clock.Now())
			qt.Check(t, state.repeats, qt.Equals, c.repeats)
		})
	}
}
