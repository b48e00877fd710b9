package router

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// fate is what happens to one message or to one call at a guard.
type fate int

const (
	delivered fate = iota
	replyLost
	// messageLate is lost for the router and reaches the guard later, or never.
	messageLate
	unsent
	// waits stays in the queue of the guard until it is cancelled or runs late.
	waits
	refuses
	fails
	fates
)

// world holds guards with real ticket tables behind a network that loses and delays messages as scripted.
type world struct {
	mu     sync.Mutex
	script []fate
	stores map[string]*ticket.Store
	full   map[string]bool
	runs   int
	late   []func()
	queued map[uint64]func(run bool)
}

func newWorld(script []fate, full []bool) *world {
	w := &world{
		script: script,
		stores: make(map[string]*ticket.Store),
		full:   make(map[string]bool),
		queued: make(map[uint64]func(bool)),
	}
	for i, m := range members(len(full)) {
		w.stores[m.GetInstance()] = ticket.New(m.GetInstance(), m.GetIncarnation(), time.Now())
		w.full[m.GetInstance()] = full[i]
	}
	return w
}

func (w *world) next() fate {
	if len(w.script) == 0 {
		return delivered
	}
	f := w.script[0]
	w.script = w.script[1:]
	return f
}

// flush delivers all late messages and runs all calls that still wait.
func (w *world) flush() {
	for len(w.late) > 0 {
		f := w.late[0]
		w.late = w.late[1:]
		f()
	}
	for attempt, end := range w.queued {
		delete(w.queued, attempt)
		end(true)
	}
}

// message applies a fate to a message. Late messages are delivered before a later one if the script says so.
func (w *world) message(to *core.Instance, deliver func()) error {
	switch w.next() {
	case replyLost:
		deliver()
		return lostError(to, schema.Reason_REASON_NODE_LOST, true)
	case messageLate:
		w.late = append(w.late, deliver)
		return lostError(to, schema.Reason_REASON_CONNECTION_SILENT, true)
	case unsent:
		return lostError(to, schema.Reason_REASON_UNREACHABLE, false)
	case waits:
		w.flush()
	}
	deliver()
	return nil
}

// Execute implements core.Transport. A call that waits in a queue is given up when ctx ends.
func (w *world) Execute(ctx context.Context, to *core.Instance, request *schema.ExecuteRequest) (*schema.ExecuteReply, error) {
	w.mu.Lock()
	var reply *schema.ExecuteReply
	err := w.message(to, func() { reply = w.claim(to.Name(), request) })
	// A late delivery sets reply after this call has returned, under the lock.
	received := reply
	w.mu.Unlock()
	if err == nil && received == nil {
		<-ctx.Done()
		return nil, lostError(to, endReason(ctx), true)
	}
	return received, err
}

// claim runs a call under its ticket, if it has one. It returns nil for a call that waits.
func (w *world) claim(name string, request *schema.ExecuteRequest) *schema.ExecuteReply {
	if !request.HasTicket() {
		return w.run(request.GetAttempt(), func(*schema.ExecuteReply) {})
	}
	store := w.stores[name]
	claim := store.Begin(time.Now(), request.GetTicket(), request.GetFingerprint())
	switch claim.State {
	case core.ClaimReply:
		return claim.Reply
	case core.ClaimWait:
		return nil
	}
	return w.run(request.GetAttempt(), func(r *schema.ExecuteReply) { store.Finish(time.Now(), request.GetTicket(), r) })
}

func (w *world) run(attempt uint64, finish func(*schema.ExecuteReply)) *schema.ExecuteReply {
	reply := answer(200)
	switch w.next() {
	case waits:
		w.queued[attempt] = func(run bool) {
			if !run {
				finish(core.NotRun(schema.Reason_REASON_CANCELLED))
				return
			}
			w.runs++
			finish(answer(200))
		}
		return nil
	case refuses:
		reply = core.NotRun(schema.Reason_REASON_BUSY)
	case unsent:
		reply = core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
		w.runs++
	case fails:
		reply = answer(500)
		w.runs++
	default:
		w.runs++
	}
	finish(reply)
	return reply
}

// Cancel implements core.Transport.
func (w *world) Cancel(_ context.Context, to *core.Instance, request *schema.CancelRequest) (*schema.CancelReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	removed := false
	err := w.message(to, func() {
		if end, ok := w.queued[request.GetAttempt()]; ok {
			removed = true
			delete(w.queued, request.GetAttempt())
			end(false)
		}
	})
	return schema.CancelReply_builder{NotRun: removed}.Build(), err
}

// Issue implements core.Transport. It follows no script, since the router also sends it beside other messages.
func (w *world) Issue(_ context.Context, to *core.Instance, request *schema.IssueRequest) (*schema.IssueReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full[to.Name()] {
		return schema.IssueReply_builder{Reason: schema.Reason_REASON_TICKETS_FULL}.Build(), nil
	}
	issued, _ := w.stores[to.Name()].Issue(time.Now(), request.GetService())
	return schema.IssueReply_builder{Ticket: issued}.Build(), nil
}

// Supersede implements core.Transport.
func (w *world) Supersede(_ context.Context, to *core.Instance, request *schema.SupersedeRequest) (*schema.SupersedeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var reply *schema.SupersedeReply
	err := w.message(to, func() {
		reply = w.stores[to.Name()].Supersede(time.Now(), request.GetTicket(), request.GetSuccessor())
	})
	return reply, err
}

// newScriptedRouter returns a router with large budgets and a guard for each element of full, which tells
// whether the guard's ticket table is full.
func newScriptedRouter(script []fate, full []bool) (*Router, *world) {
	w := newWorld(script, full)
	snapshots := &fixed{}
	snapshots.Store(core.NewSnapshot(1, document(func(s *schema.Service) {
		s.SetRetryRatio(10)
		s.SetHedgeRatio(10)
	}), members(len(full))))
	self := schema.Member_builder{Instance: "front-1", Domain: "a"}.Build()
	return New(self, snapshots, nil, w, clockwork.NewRealClock()), w
}

// order sends a call with a ticket of the first instance.
func (w *world) order(ctx context.Context, r *Router) *schema.ExecuteReply {
	issued, _ := w.stores["sheets-1"].Issue(time.Now(), "sheets")
	return r.Handle(ctx, &core.Call{Method: "POST", URI: "/order", Path: "/order", Ticket: issued})
}

// TestNotRun guards against NotRun for a call that ran or still runs later, and against two runs of one ticket.
func TestNotRun(t *testing.T) {
	fateOf := rapid.Custom(func(t *rapid.T) fate { return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")) })
	check := func(rt *rapid.T) {
		full := rapid.SliceOfN(rapid.Bool(), 1, 4).Draw(rt, "full")
		script := rapid.SliceOf(fateOf).Draw(rt, "script")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		hedgeDelay := time.Duration(rapid.IntRange(0, 2).Draw(rt, "hedge delay")) * time.Millisecond
		timeout := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "timeout")) * time.Millisecond
		var reply *schema.ExecuteReply
		var w *world
		synctest.Test(t, func(*testing.T) {
			var r *Router
			r, w = newScriptedRouter(script, full)
			r.current(time.Now()).groups["sheets"].usage.delay = hedgeDelay
			ctx, stop := context.WithTimeout(context.Background(), timeout)
			defer stop()
			if repeatable {
				reply = r.Handle(ctx, &core.Call{Method: "GET", URI: "/look", Path: "/look"})
			} else {
				reply = w.order(ctx, r)
			}
			r.stop()
			w.flush()
		})
		if reply.GetStatus() == schema.Status_STATUS_NOT_RUN && w.runs > 0 {
			rt.Fatalf("NotRun(%s) was told but the call ran %d times", core.ReasonName(reply.GetReason()), w.runs)
		}
		if !repeatable && w.runs > 1 {
			rt.Fatalf("the ticket ran %d times", w.runs)
		}
	}
	// A hundred draws rarely contain the two replies that a race has to get wrong.
	for range 20 {
		rapid.Check(t, check)
	}
}

// TestTransfer guards against a refused ticket that is not moved to another instance, and against NotRun without the
// executor's confirmation.
func TestTransfer(t *testing.T) {
	for _, test := range []struct {
		name   string
		script []fate
		status schema.Status
		reason schema.Reason
	}{
		{"refused once", []fate{delivered, refuses}, schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE},
		{"reply lost", []fate{replyLost, delivered}, schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE},
		{"refused by all", []fate{
			delivered, refuses, delivered, delivered, refuses, delivered, delivered, refuses, delivered,
		}, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_BUSY},
		{"close lost", []fate{
			delivered, refuses, delivered, delivered, refuses, delivered, delivered, refuses, replyLost, replyLost, replyLost,
		}, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_NODE_LOST},
		{"never reached", []fate{unsent, unsent, unsent}, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_UNREACHABLE},
		{"out of time in the queue", []fate{delivered, waits}, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_DEADLINE},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, w := newScriptedRouter(test.script, []bool{false, false, false})
				reply := w.order(context.Background(), r)
				assertOutcome(qt.New(t), reply, test.status, test.reason)
			})
		})
	}
}
