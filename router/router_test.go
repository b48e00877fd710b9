package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

// fixedSnapshots implements core.Snapshots with a snapshot that the tests set.
type fixedSnapshots struct{ atomic.Pointer[core.Snapshot] }

func (f *fixedSnapshots) Snapshot() *core.Snapshot { return f.Load() }

// members returns n instances of the service sheets in failure domain a, named sheets-1 to sheets-n.
func members(n int) []*schema.Member {
	var list []*schema.Member
	for i := range n {
		list = append(list, schema.Member_builder{
			Instance:    fmt.Sprintf("sheets-%d", i+1),
			Service:     "sheets",
			Domain:      "a",
			Address:     fmt.Sprintf("127.0.0.%d:1", i+1),
			Incarnation: uint64(i + 1),
			State:       schema.InstanceState_INSTANCE_STATE_SERVING,
		}.Build())
	}
	return list
}

// document returns a document with one service whose calls are repeatable below /look and need a ticket elsewhere.
func document(edit func(*schema.Service)) *schema.Document {
	service := schema.Service_builder{
		Slots:      18,
		ColdLimit:  2,
		Timeout:    durationpb.New(time.Second),
		RetryRatio: 0.1,
		RetryFloor: 0.0001,
	}.Build()
	if edit != nil {
		edit(service)
	}
	return schema.Document_builder{
		Places: schema.Places_builder{
			Domains: map[string]*schema.Domain{"a": schema.Domain_builder{Region: "north"}.Build()},
		}.Build(),
		Services: map[string]*schema.Service{"sheets": service},
		Rules: []*schema.Rule{
			schema.Rule_builder{Path: "/look", Service: "sheets", Repeatable: true}.Build(),
			schema.Rule_builder{Path: "/", Service: "sheets"}.Build(),
		},
	}.Build()
}

// network implements core.Transport on top of fake guards.
type network struct {
	core.Transport
	guards map[string]*guard
	// fail, if set, replaces the exchange with the guard; deliver executes the request there.
	fail func(to *core.Instance, deliver func() *schema.ExecuteReply) (*schema.ExecuteReply, error)
}

func (n *network) Execute(ctx context.Context, to *core.Instance, request *schema.ExecuteRequest) (*schema.ExecuteReply, error) {
	deliver := func() *schema.ExecuteReply { return n.guards[to.Name()].Execute(ctx, request) }
	if n.fail != nil {
		return n.fail(to, deliver)
	}
	reply := deliver()
	if ctx.Err() != nil {
		return nil, lostError(to, schema.Reason_REASON_DEADLINE, true)
	}
	return reply, nil
}

func (n *network) Cancel(ctx context.Context, to *core.Instance, request *schema.CancelRequest) (*schema.CancelReply, error) {
	return n.guards[to.Name()].Cancel(ctx, request), nil
}

func (n *network) Issue(ctx context.Context, to *core.Instance, request *schema.IssueRequest) (*schema.IssueReply, error) {
	return n.guards[to.Name()].Issue(ctx, request), nil
}

func lostError(to *core.Instance, reason schema.Reason, sent bool) error {
	return core.NewTransportError(to.Address(), reason, sent, errors.New("test"))
}

// guard is a core.Executor with a replaceable Execute.
type guard struct {
	core.Executor
	name    string
	execute func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply
	// notRun is the reply to Cancel.
	notRun bool
}

func (g *guard) Execute(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	return g.execute(ctx, request)
}

func (g *guard) Cancel(context.Context, *schema.CancelRequest) *schema.CancelReply {
	return schema.CancelReply_builder{NotRun: g.notRun}.Build()
}

func (g *guard) Issue(context.Context, *schema.IssueRequest) *schema.IssueReply {
	ticket := schema.Ticket_builder{Instance: g.name, Service: "sheets", Incarnation: 1}.Build()
	return schema.IssueReply_builder{Ticket: ticket}.Build()
}

func answer(code uint32) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED, Code: code}.Build()
}

// newTestRouter returns a router in failure domain a with n remote guards that all use execute.
func newTestRouter(n int, execute func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply) (*Router, *network, *fixedSnapshots) {
	return newConfiguredRouter(n, nil, execute)
}

func newConfiguredRouter(n int, edit func(*schema.Service), execute func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply) (*Router, *network, *fixedSnapshots) {
	transport := &network{guards: make(map[string]*guard)}
	list := members(n)
	for _, m := range list {
		transport.guards[m.GetInstance()] = &guard{name: m.GetInstance(), execute: execute}
	}
	snapshots := &fixedSnapshots{}
	snapshots.Store(core.NewSnapshot(1, document(edit), list))
	self := schema.Member_builder{Instance: "front-1", Domain: "a"}.Build()
	chooser := picker.NewExpectedLatency(rand.NewPCG(1, 1).Uint64)
	return New(self, snapshots, nil, transport, clockwork.NewRealClock(), WithChooser(chooser)), transport, snapshots
}

func lookup(r *Router) *schema.ExecuteReply {
	return r.Handle(context.Background(), &core.Call{Method: "GET", URI: "/look", Path: "/look"})
}

func assertOutcome(c *qt.C, reply *schema.ExecuteReply, status schema.Status, reason schema.Reason) {
	c.Helper()
	c.Assert(reply.GetStatus(), qt.Equals, status)
	c.Assert(reply.GetReason(), qt.Equals, reason)
}

// TestHandle guards against outcomes that differ from the replies of the guards.
func TestHandle(t *testing.T) {
	c := qt.New(t)
	c.Run("answered", func(c *qt.C) {
		r, _, _ := newTestRouter(3, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
		assertOutcome(c, lookup(r), schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE)
	})
	c.Run("depth", func(c *qt.C) {
		r, _, _ := newTestRouter(1, nil)
		reply := r.Handle(context.Background(), &core.Call{Path: "/look", Depth: core.MaxDepth})
		assertOutcome(c, reply, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_DEPTH)
	})
	c.Run("ticket required", func(c *qt.C) {
		r, _, _ := newTestRouter(1, nil)
		reply := r.Handle(context.Background(), &core.Call{Method: "POST", Path: "/order"})
		assertOutcome(c, reply, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_TICKET_REQUIRED)
		c.Assert(reply.GetNextTicket().GetInstance(), qt.Equals, "sheets-1")
	})
	for _, notRun := range []bool{false, true} {
		c.Run(fmt.Sprintf("deadline, cancelled before its start %v", notRun), func(c *qt.C) {
			synctest.Test(t, func(*testing.T) {
				r, transport, _ := newTestRouter(1, func(ctx context.Context, _ *schema.ExecuteRequest) *schema.ExecuteReply {
					<-ctx.Done()
					return nil
				})
				transport.guards["sheets-1"].notRun = notRun
				status := schema.Status_STATUS_UNKNOWN
				if notRun {
					status = schema.Status_STATUS_NOT_RUN
				}
				assertOutcome(c, lookup(r), status, schema.Reason_REASON_DEADLINE)
			})
		})
	}
}

// TestRetryBudget guards against retries in excess of the service's budget.
func TestRetryBudget(t *testing.T) {
	runs := 0
	r, _, _ := newTestRouter(3, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
		runs++
		return core.NotRun(schema.Reason_REASON_BUSY)
	})
	for range 1000 {
		reply := lookup(r)
		qt.Assert(t, reply.GetRetried(), qt.IsTrue)
		qt.Assert(t, reply.GetStatus(), qt.Equals, schema.Status_STATUS_NOT_RUN)
	}
	qt.Assert(t, runs > 1050 && runs <= 1101, qt.IsTrue, qt.Commentf("%d sends", runs))
}

// TestLayers guards against retries that multiply across nested calls.
func TestLayers(t *testing.T) {
	for name, last := range map[string]*schema.ExecuteReply{
		"refusing": core.NotRun(schema.Reason_REASON_BUSY),
		"failing":  answer(500),
	} {
		t.Run(name, func(t *testing.T) {
			const calls = 500
			runs := 0
			next, _, _ := newTestRouter(3, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
				runs++
				return last
			})
			for range core.MaxDepth - 1 {
				inner := next
				next, _, _ = newTestRouter(3, func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
					nested := inner.Handle(ctx, &core.Call{Path: "/look", Depth: request.GetDepth()})
					reply := answer(503)
					reply.SetRetried(nested.GetRetried())
					return reply
				})
			}
			for range calls {
				qt.Assert(t, succeeded(lookup(next)), qt.IsFalse)
			}
			qt.Assert(t, runs >= calls && runs <= calls*6/5, qt.IsTrue, qt.Commentf("%d runs of %d calls", runs, calls))
		})
	}
}

// TestCrashes guards against a request that crashes more than two backend servers.
func TestCrashes(t *testing.T) {
	var suspects []bool
	r, _, _ := newConfiguredRouter(4, func(s *schema.Service) { s.SetRetryRatio(10) },
		func(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
			suspects = append(suspects, request.GetSuspect())
			reply := core.Unknown(schema.Reason_REASON_CRASHED)
			reply.SetSuspect(true)
			return reply
		})
	assertOutcome(qt.New(t), lookup(r), schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_CRASHED)
	qt.Assert(t, suspects, qt.DeepEquals, []bool{false, true})
}

// TestRetryUsesCurrentSnapshot guards against a retry that uses an outdated snapshot.
func TestRetryUsesCurrentSnapshot(t *testing.T) {
	runs := 0
	var snapshots *fixedSnapshots
	r, _, snapshots := newConfiguredRouter(2, func(s *schema.Service) { s.SetRetryRatio(10) },
		func(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
			runs++
			list := members(2)
			for _, m := range list {
				if m.GetInstance() != request.GetInstance() {
					m.SetState(schema.InstanceState_INSTANCE_STATE_LEAVING)
				}
			}
			snapshots.Store(core.NewSnapshot(2, document(nil), list))
			return core.NotRun(schema.Reason_REASON_BUSY)
		})
	assertOutcome(qt.New(t), lookup(r), schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_BUSY)
	qt.Assert(t, runs, qt.Equals, 1)
}

// TestUnreachable guards against calls that keep trying an unreachable node, and against never trying it again.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, transport, _ := newConfiguredRouter(2, func(s *schema.Service) { s.SetRetryRatio(10) },
			func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
		sends := 0
		transport.fail = func(to *core.Instance, deliver func() *schema.ExecuteReply) (*schema.ExecuteReply, error) {
			if to.Name() != "sheets-1" {
				return deliver(), nil
			}
			sends++
			return nil, lostError(to, schema.Reason_REASON_UNREACHABLE, false)
		}
		for range 1000 {
			qt.Assert(t, succeeded(lookup(r)), qt.IsTrue)
			time.Sleep(time.Millisecond)
		}
		qt.Assert(t, sends >= 3 && sends <= 8, qt.IsTrue, qt.Commentf("%d sends in 1 s", sends))
	})
}

// TestHedge guards against hedges that are unnecessary or over budget, and against slower attempts that are not
// cancelled.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, cancelled := false, 0
		r, _, _ := newConfiguredRouter(2, func(s *schema.Service) { s.SetHedgeRatio(0.01) },
			func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
				wait := 10 * time.Millisecond
				if silent && request.GetInstance() == "sheets-1" {
					wait = time.Hour
				}
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					cancelled++
				}
				return answer(200)
			})
		slow := func() time.Duration {
			r.tick(r.clock.Now(), 0)
			var worst time.Duration
			for range 40 {
				begin := time.Now()
				lookup(r)
				worst = max(worst, time.Since(begin))
			}
			synctest.Wait()
			return worst
		}
		for range 400 {
			lookup(r)
		}
		silent = true
		qt.Assert(t, slow() <= 25*time.Millisecond, qt.IsTrue)
		qt.Assert(t, cancelled > 0 && cancelled <= 5, qt.IsTrue, qt.Commentf("%d losers", cancelled))
		for _, g := range r.current(time.Now()).groups {
			g.budgets.recordRefusal(time.Now(), schema.Reason_REASON_BUSY)
			qt.Assert(t, g.budgets.takeHedge(time.Now()), qt.IsFalse, qt.Commentf("while the service sheds load"))
			time.Sleep(2 * shedWindow)
			taken := 0
			for taken < 100 && g.budgets.takeHedge(time.Now()) {
				taken++
			}
			qt.Assert(t, taken <= 4, qt.IsTrue, qt.Commentf("%d hedges left after 440 calls", taken))
		}
		r.stop()
	})
}

// TestRace guards against a refused hedge, before or after the first reply, that hides a first attempt that may have
// run.
func TestRace(t *testing.T) {
	for _, wait := range []time.Duration{0, 40 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sends atomic.Int64
				r, _, _ := newConfiguredRouter(2, func(s *schema.Service) { s.SetHedgeRatio(10) },
					func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
						if sends.Add(1) == 2 {
							time.Sleep(wait)
							return core.NotRun(schema.Reason_REASON_BUSY)
						}
						time.Sleep(20 * time.Millisecond)
						return core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
					})
				r.current(time.Now()).groups["sheets"].budgets.delay = time.Millisecond
				assertOutcome(qt.New(t), lookup(r), schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_CONNECTION_LOST)
				r.stop()
			})
		})
	}
}

// TestPause guards against load reports from before a pause of the process that are still used after it.
func TestPause(t *testing.T) {
	r, _, _ := newTestRouter(1, nil)
	clock := clockwork.NewFakeClock()
	r.clock = clock
	ctx, stop := context.WithCancel(context.Background())
	var task conc.WaitGroup
	task.Go(func() { qt.Check(t, r.Run(ctx), qt.IsNil) })
	for _, test := range []struct {
		gap  time.Duration
		kept bool
	}{{tickInterval, true}, {600 * time.Millisecond, false}} {
		qt.Assert(t, clock.BlockUntilContext(ctx, 1), qt.IsNil)
		view := r.current(clock.Now()).groups["sheets"].views[0]
		view.SetReport(clock.Now(), core.LoadReport{Limit: 3})
		clock.Advance(test.gap)
		qt.Assert(t, clock.BlockUntilContext(ctx, 1), qt.IsNil)
		_, received := view.Load()
		qt.Assert(t, !received.IsZero(), qt.Equals, test.kept)
	}
	stop()
	task.Wait()
	<-r.Done()
}

// TestExplain guards against an explanation that gives the wrong cause.
func TestExplain(t *testing.T) {
	r, _, snapshots := newTestRouter(2, nil)
	d := document(nil)
	d.GetPlaces().SetInstances(map[string]*schema.InstancePlace{"sheets-2": schema.InstancePlace_builder{OutOfService: true}.Build()})
	snapshots.Store(core.NewSnapshot(7, d, members(2)))
	qt.Check(t, r.Explain("sheets-1"), qt.Matches, "gets work: .*")
	qt.Check(t, r.Explain("sheets-2"), qt.Matches, ".*out of service by revision 7.*")
	qt.Check(t, r.Explain("sheets-3"), qt.Matches, ".*neither in the platform's list.*")
	qt.Check(t, r.InstanceStatuses(), qt.HasLen, 2)
}
