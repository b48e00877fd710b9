package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/schema"
)

// fixed is a core.Snapshots with a snapshot that tests replace.
type fixed struct {
	mu       sync.Mutex
	snapshot *core.Snapshot
}

func (f *fixed) Snapshot() *core.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fixed) set(snapshot *core.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
}

// members returns n instances of the service, named service-1 and so on, in the domain.
func members(service, domain string, n int) []*schema.Member {
	var list []*schema.Member
	for i := range n {
		list = append(list, schema.Member_builder{
			Instance:    fmt.Sprintf("%s-%d", service, i+1),
			Service:     service,
			Domain:      domain,
			Address:     "127.0.0.1:1",
			Incarnation: uint64(i + 1),
			State:       schema.InstanceState_INSTANCE_STATE_SERVING,
		}.Build())
	}
	return list
}

// document returns a document with one service; its calls repeat below /look and need a ticket elsewhere.
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
			Regions: map[string]*schema.Region{"north": schema.Region_builder{Delay: durationpb.New(500 * time.Microsecond)}.Build()},
			Domains: map[string]*schema.Domain{
				"a": schema.Domain_builder{Region: "north"}.Build(),
				"b": schema.Domain_builder{Region: "north"}.Build(),
			},
		}.Build(),
		Services: map[string]*schema.Service{"sheets": service},
		Rules: []*schema.Rule{
			schema.Rule_builder{Path: "/look", Service: "sheets", Repeatable: true}.Build(),
			schema.Rule_builder{Path: "/", Service: "sheets"}.Build(),
		},
	}.Build()
}

// network is a core.Transport to fake guards.
type network struct {
	guards map[string]core.Executor
	// fail may replace the exchange with the guard; deliver runs the request there.
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

func (n *network) Supersede(ctx context.Context, to *core.Instance, request *schema.SupersedeRequest) (*schema.SupersedeReply, error) {
	return n.guards[to.Name()].Supersede(ctx, request), nil
}

func lostError(to *core.Instance, reason schema.Reason, sent bool) error {
	return core.NewTransportError(to.Address(), reason, sent, errors.New("test"))
}

// guard is a core.Executor whose operations are functions.
type guard struct {
	name      string
	execute   func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply
	cancel    func(request *schema.CancelRequest) *schema.CancelReply
	supersede func(request *schema.SupersedeRequest) *schema.SupersedeReply
}

func (g *guard) Execute(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	return g.execute(ctx, request)
}

func (g *guard) Cancel(_ context.Context, request *schema.CancelRequest) *schema.CancelReply {
	if g.cancel == nil {
		return &schema.CancelReply{}
	}
	return g.cancel(request)
}

func (g *guard) Issue(context.Context, *schema.IssueRequest) *schema.IssueReply {
	ticket := schema.Ticket_builder{Instance: g.name, Service: "sheets", Incarnation: 1}.Build()
	return schema.IssueReply_builder{Ticket: ticket}.Build()
}

func (g *guard) Supersede(_ context.Context, request *schema.SupersedeRequest) *schema.SupersedeReply {
	if g.supersede == nil {
		return &schema.SupersedeReply{}
	}
	return g.supersede(request)
}

func answer(code uint32) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED, Code: code}.Build()
}

// newTestRouter returns a router in domain a, with n remote guards that all run execute.
func newTestRouter(n int, execute func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply) (*Router, *network, *fixed) {
	return newConfiguredRouter(n, nil, execute)
}

func newConfiguredRouter(n int, edit func(*schema.Service), execute func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply) (*Router, *network, *fixed) {
	transport := &network{guards: make(map[string]core.Executor)}
	list := members("sheets", "a", n)
	for _, m := range list {
		transport.guards[m.GetInstance()] = &guard{name: m.GetInstance(), execute: execute}
	}
	snapshots := &fixed{}
	snapshots.set(core.NewSnapshot(1, document(edit), list))
	self := schema.Member_builder{Instance: "front-1", Domain: "a"}.Build()
	return New(self, snapshots, nil, transport, clockwork.NewRealClock()), transport, snapshots
}

func look(r *Router) *schema.ExecuteReply {
	return r.Handle(context.Background(), &core.Call{Method: "GET", URI: "/look", Path: "/look"})
}

func assertOutcome(c *qt.C, reply *schema.ExecuteReply, status schema.Status, reason schema.Reason) {
	c.Helper()
	c.Assert(reply.GetStatus(), qt.Equals, status)
	c.Assert(reply.GetReason(), qt.Equals, reason)
}

// TestHandle guards against replies that do not match what the guards said.
func TestHandle(t *testing.T) {
	c := qt.New(t)
	c.Run("answered", func(c *qt.C) {
		r, _, _ := newTestRouter(3, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
		assertOutcome(c, look(r), schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE)
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
	c.Run("deadline without the guard's word", func(c *qt.C) {
		synctest.Test(t, func(*testing.T) {
			r, _, _ := newTestRouter(1, func(ctx context.Context, _ *schema.ExecuteRequest) *schema.ExecuteReply {
				<-ctx.Done()
				return nil
			})
			assertOutcome(c, look(r), schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_DEADLINE)
		})
	})
}
