package router

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// scriptStep is what happens to one message, or to one call at a guard.
type scriptStep int

const (
	delivered scriptStep = iota
	replyLost
	// messageDelayed makes the message time out at the router; the guard receives it later or never.
	messageDelayed
	unsent
	// staysQueued keeps the call in the guard's queue until it is cancelled or runs late. For a message, it delivers
	// all delayed messages first.
	staysQueued
	refuses
	fails
	scriptSteps
)

// scriptedNetwork connects a router to guards with real ticket stores. It loses and delays messages as the script says.
type scriptedNetwork struct {
	mu      sync.Mutex
	script  []scriptStep
	stores  map[string]*ticket.Store
	full    map[string]bool
	runs    int
	delayed []func()
	queued  map[uint64]func(run bool)
}

func newScriptedNetwork(script []scriptStep, full []bool) *scriptedNetwork {
	n := &scriptedNetwork{
		script: script,
		stores: make(map[string]*ticket.Store),
		full:   make(map[string]bool),
		queued: make(map[uint64]func(bool)),
	}
	for i, m := range members(len(full)) {
		n.stores[m.GetInstance()] = ticket.New(m.GetInstance(), m.GetIncarnation(), time.Now())
		n.full[m.GetInstance()] = full[i]
	}
	return n
}

func (n *scriptedNetwork) next() scriptStep {
	if len(n.script) == 0 {
		return delivered
	}
	f := n.script[0]
	n.script = n.script[1:]
	return f
}

// deliverPending delivers all delayed messages and runs all calls that are still queued.
func (n *scriptedNetwork) deliverPending() {
	for len(n.delayed) > 0 {
		f := n.delayed[0]
		n.delayed = n.delayed[1:]
		f()
	}
	for attempt, end := range n.queued {
		delete(n.queued, attempt)
		end(true)
	}
}

// transmit applies the next step of the script to a message.
func (n *scriptedNetwork) transmit(to *core.Instance, deliver func()) error {
	switch n.next() {
	case replyLost:
		deliver()
		return lostError(to, schema.Reason_REASON_NODE_LOST, true)
	case messageDelayed:
		n.delayed = append(n.delayed, deliver)
		return lostError(to, schema.Reason_REASON_CONNECTION_SILENT, true)
	case unsent:
		return lostError(to, schema.Reason_REASON_UNREACHABLE, false)
	case staysQueued:
		n.deliverPending()
	}
	deliver()
	return nil
}

// Execute implements core.Transport. For a call that stays queued, it returns when ctx ends.
func (n *scriptedNetwork) Execute(ctx context.Context, to *core.Instance, request *schema.ExecuteRequest) (*schema.ExecuteReply, error) {
	n.mu.Lock()
	var reply *schema.ExecuteReply
	err := n.transmit(to, func() { reply = n.claim(to.Name(), request) })
	// A delayed delivery sets reply, under the lock, after this call has returned.
	received := reply
	n.mu.Unlock()
	if err == nil && received == nil {
		<-ctx.Done()
		return nil, lostError(to, contextReason(ctx), true)
	}
	return received, err
}

// claim runs a call, under its ticket if it has one. It returns nil for a call that stays queued.
func (n *scriptedNetwork) claim(name string, request *schema.ExecuteRequest) *schema.ExecuteReply {
	if !request.HasTicket() {
		return n.run(request.GetAttempt(), func(*schema.ExecuteReply) {})
	}
	store := n.stores[name]
	claim := store.Begin(time.Now(), request.GetTicket(), request.GetFingerprint())
	switch claim.State {
	case core.ClaimReply:
		return claim.Reply
	case core.ClaimWait:
		return nil
	}
	return n.run(request.GetAttempt(), func(r *schema.ExecuteReply) { store.Finish(time.Now(), request.GetTicket(), r) })
}

func (n *scriptedNetwork) run(attempt uint64, finish func(*schema.ExecuteReply)) *schema.ExecuteReply {
	reply := answer(200)
	switch n.next() {
	case staysQueued:
		n.queued[attempt] = func(run bool) {
			if !run {
				finish(core.NotRun(schema.Reason_REASON_CANCELLED))
				return
			}
			n.runs++
			finish(answer(200))
		}
		return nil
	case refuses:
		reply = core.NotRun(schema.Reason_REASON_BUSY)
	case unsent:
		reply = core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
		n.runs++
	case fails:
		reply = answer(500)
		n.runs++
	default:
		n.runs++
	}
	finish(reply)
	return reply
}

// Cancel implements core.Transport.
func (n *scriptedNetwork) Cancel(_ context.Context, to *core.Instance, request *schema.CancelRequest) (*schema.CancelReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	removed := false
	err := n.transmit(to, func() {
		if end, ok := n.queued[request.GetAttempt()]; ok {
			removed = true
			delete(n.queued, request.GetAttempt())
			end(false)
		}
	})
	return schema.CancelReply_builder{NotRun: removed}.Build(), err
}

// Issue implements core.Transport. It does not consume the script, since the router also sends it concurrently with
// other messages.
func (n *scriptedNetwork) Issue(_ context.Context, to *core.Instance, request *schema.IssueRequest) (*schema.IssueReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.full[to.Name()] {
		return schema.IssueReply_builder{Reason: schema.Reason_REASON_TICKETS_FULL}.Build(), nil
	}
	issued, _ := n.stores[to.Name()].Issue(time.Now(), request.GetService())
	return schema.IssueReply_builder{Ticket: issued}.Build(), nil
}

// Supersede implements core.Transport.
func (n *scriptedNetwork) Supersede(_ context.Context, to *core.Instance, request *schema.SupersedeRequest) (*schema.SupersedeReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var reply *schema.SupersedeReply
	err := n.transmit(to, func() {
		reply = n.stores[to.Name()].Supersede(time.Now(), request.GetTicket(), request.GetSuccessor())
	})
	return reply, err
}

// newScriptedRouter returns a router with large budgets and one guard per element of full, which says whether the
// guard's ticket store is full.
func newScriptedRouter(script []scriptStep, full []bool) (*Router, *scriptedNetwork) {
	n := newScriptedNetwork(script, full)
	snapshots := &fixedSnapshots{}
	snapshots.Store(core.NewSnapshot(1, document(func(s *schema.Service) {
		s.SetRetryRatio(10)
		s.SetHedgeRatio(10)
	}), members(len(full))))
	self := schema.Member_builder{Instance: "front-1", Domain: "a"}.Build()
	return New(self, snapshots, nil, n, clockwork.NewRealClock()), n
}

// order sends a call with a ticket of the first instance.
func (n *scriptedNetwork) order(ctx context.Context, r *Router) *schema.ExecuteReply {
	issued, _ := n.stores["sheets-1"].Issue(time.Now(), "sheets")
	return r.Handle(ctx, &core.Call{Method: "POST", URI: "/order", Path: "/order", Ticket: issued})
}

// TestNotRun guards against reporting NotRun for a call that ran or still runs later, and against running one ticket
// twice.
func TestNotRun(t *testing.T) {
	fateOf := rapid.Custom(func(t *rapid.T) scriptStep { return scriptStep(rapid.IntRange(0, int(scriptSteps)-1).Draw(t, "fate")) })
	check := func(rt *rapid.T) {
		full := rapid.SliceOfN(rapid.Bool(), 1, 4).Draw(rt, "full")
		script := rapid.SliceOf(fateOf).Draw(rt, "script")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		hedgeDelay := time.Duration(rapid.IntRange(0, 2).Draw(rt, "hedge delay")) * time.Millisecond
		timeout := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "timeout")) * time.Millisecond
		var reply *schema.ExecuteReply
		var n *scriptedNetwork
		synctest.Test(t, func(*testing.T) {
			var r *Router
			r, n = newScriptedRouter(script, full)
			r.current(time.Now()).groups["sheets"].budgets.delay = hedgeDelay
			ctx, stop := context.WithTimeout(context.Background(), timeout)
			defer stop()
			if repeatable {
				reply = r.Handle(ctx, &core.Call{Method: "GET", URI: "/look", Path: "/look"})
			} else {
				reply = n.order(ctx, r)
			}
			r.stop()
			n.deliverPending()
		})
		if reply.GetStatus() == schema.Status_STATUS_NOT_RUN && n.runs > 0 {
			rt.Fatalf("NotRun(%s) was reported but the call ran %d times", core.ReasonName(reply.GetReason()), n.runs)
		}
		if !repeatable && n.runs > 1 {
			rt.Fatalf("the ticket ran %d times", n.runs)
		}
	}
	// The two replies that trigger the race are rare in a single run of 100 draws.
	for range 20 {
		rapid.Check(t, check)
	}
}

// TestTransfer guards against a refused ticket that is not transferred to another instance, and against NotRun without
// confirmation by the executor.
func TestTransfer(t *testing.T) {
	for _, test := range []struct {
		name   string
		script []scriptStep
		status schema.Status
		reason schema.Reason
	}{
		{"refused once", []scriptStep{delivered, refuses}, schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE},
		{"reply lost", []scriptStep{replyLost, delivered}, schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE},
		{"refused by all", []scriptStep{
			delivered, refuses, delivered, delivered, refuses, delivered, delivered, refuses, delivered,
		}, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_BUSY},
		{"close lost", []scriptStep{
			delivered, refuses, delivered, delivered, refuses, delivered, delivered, refuses, replyLost, replyLost, replyLost,
		}, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_NODE_LOST},
		{"never reached", []scriptStep{unsent, unsent, unsent}, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_UNREACHABLE},
		{"out of time in the queue", []scriptStep{delivered, staysQueued}, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_DEADLINE},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, n := newScriptedRouter(test.script, []bool{false, false, false})
				reply := n.order(context.Background(), r)
				assertOutcome(qt.New(t), reply, test.status, test.reason)
			})
		})
	}
}

// confirmedSnapshots is a core.Snapshots that knows when its document was confirmed.
type confirmedSnapshots struct {
	fixedSnapshots
	at time.Time
}

func (c *confirmedSnapshots) ConfirmedAt() time.Time { return c.at }

// TestRefusalNamesDocument guards against a 404 whose log line does not tell which configuration decided, how old it was, and
// whether the one before had a rule for the request.
func TestRefusalNamesDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		snapshots := &confirmedSnapshots{at: clock.Now().Add(-3 * time.Second)}
		logged, logs := observer.New(zap.InfoLevel)
		self := schema.Member_builder{Instance: "self", Service: "sheets", Domain: "a", Address: "127.0.0.100:1"}.Build()
		r := New(self, snapshots, nil, nil, clock, WithLogger(zap.New(logged)))
		before := document(nil)
		before.SetRules(append(before.GetRules(), schema.Rule_builder{Host: "h.example", Path: "/gone/", Service: "sheets"}.Build()))
		after := document(nil)
		after.SetDeployment("version 7")
		after.SetRules([]*schema.Rule{schema.Rule_builder{Host: "h.example", Path: "/kept/", Service: "sheets"}.Build()})
		for i, d := range []*schema.Document{before, after} {
			snapshots.Store(core.NewSnapshot(uint64(i+1), d, nil))
			r.current(clock.Now())
		}
		reply := r.Handle(t.Context(), &core.Call{Method: "GET", Host: "h.example", Path: "/gone/1"})
		qt.Check(t, core.ReasonName(reply.GetReason()), qt.Equals, "no-rule")
		fields := logs.FilterMessage("request refused").All()[0].ContextMap()
		qt.Check(t, fields["code"], qt.Equals, int64(404))
		qt.Check(t, fields["deployment"], qt.Equals, "version 7")
		qt.Check(t, fields["document_age"], qt.Equals, 3*time.Second)
		qt.Check(t, fields["rule_matches"], qt.Equals, false)
		qt.Check(t, fields["rule_matched_before"], qt.Equals, true)
	})
}

// TestRuleWithoutService guards against a final 404 for a call that a rule allows, since the document gives the rule no service
// to run it.
func TestRuleWithoutService(t *testing.T) {
	rule := schema.Rule_builder{Path: "/look", Repeatable: true}
	split := func(service string, weight float64) schema.Rule_builder {
		b := rule
		b.Split = []*schema.Share{schema.Share_builder{Service: service, Weight: weight}.Build()}
		return b
	}
	missing := rule
	missing.Service = "missing"
	for name, b := range map[string]schema.Rule_builder{
		"no weight above 0":          split("sheets", 0),
		"split to a missing service": split("missing", 1),
		"missing service":            missing,
	} {
		t.Run(name, func(t *testing.T) {
			r, _, snapshots := newTestRouter(1, nil)
			d := document(nil)
			d.SetRules([]*schema.Rule{b.Build()})
			snapshots.Store(core.NewSnapshot(2, d, members(1)))
			assertComeBack(qt.New(t), lookup(r), schema.Reason_REASON_NO_INSTANCE)
		})
	}
}

// assertComeBack asserts that a call was refused with a reason that does not last, and that its caller is told when to send it
// again.
func assertComeBack(c *qt.C, reply *schema.ExecuteReply, reason schema.Reason) {
	c.Helper()
	assertOutcome(c, reply, schema.Status_STATUS_NOT_RUN, reason)
	c.Assert(reply.GetRetryAfterUs() > 0, qt.IsTrue)
	c.Assert(reply.GetRetried(), qt.IsTrue)
}

// TestRuleUnknownYet guards against a final 404 from a node that does not know whether its document is the current one, and
// against a refusal of a call that the document allows.
func TestRuleUnknownYet(t *testing.T) {
	const never = time.Duration(-1)
	for _, test := range []struct {
		name, path string
		age        time.Duration
		reason     schema.Reason
	}{
		{"confirmed", "/new", time.Second, schema.Reason_REASON_NO_RULE},
		{"confirmed long ago", "/new", 4 * time.Second, schema.Reason_REASON_NO_CONFIGURATION},
		{"never confirmed", "/new", never, schema.Reason_REASON_NO_CONFIGURATION},
		{"allowed, confirmed long ago", "/look", time.Hour, schema.Reason_REASON_NONE},
		{"allowed, never confirmed", "/look", never, schema.Reason_REASON_NONE},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r, snapshots := confirmedRouter()
				if test.age != never {
					snapshots.at = time.Now().Add(-test.age)
				}
				input := &core.Call{Method: "GET", URI: test.path, Path: test.path}
				allowed := test.reason == schema.Reason_REASON_NONE
				c.Check(r.NeedsBody(input), qt.Equals, allowed)
				input.BodyUnread = !allowed
				assertVerdict(c, r.Handle(t.Context(), input), test.reason)
			})
		})
	}
}

// TestSizeLimitUnknownYet guards against a final 413 by the limit of a document that may not be the current one.
func TestSizeLimitUnknownYet(t *testing.T) {
	const limit = 10
	for age, reason := range map[time.Duration]schema.Reason{
		time.Second: schema.Reason_REASON_TOO_LARGE, time.Hour: schema.Reason_REASON_NO_CONFIGURATION,
	} {
		t.Run(age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, snapshots := confirmedRouter()
				snapshots.at = time.Now().Add(-age)
				snapshots.Store(core.NewSnapshot(3, document(func(s *schema.Service) { s.SetMaxBody(limit) }), members(1)))
				input := &core.Call{Method: "GET", URI: "/look", Path: "/look", Body: make([]byte, limit)}
				assertVerdict(qt.New(t), r.Handle(t.Context(), input), schema.Reason_REASON_NONE)
				input.Body = make([]byte, limit+1)
				assertVerdict(qt.New(t), r.Handle(t.Context(), input), reason)
			})
		})
	}
}

// TestRuleAddedMeanwhile guards against a final 404 by a document that is replaced, and its successor confirmed, while a call is
// routed.
func TestRuleAddedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, snapshots := confirmedRouter()
		r.current(time.Now())
		r.snapshots = &replacedSnapshots{confirmedSnapshots: snapshots, next: core.NewSnapshot(3, document(nil), members(1))}
		reply := r.Handle(t.Context(), &core.Call{Method: "GET", URI: "/new", Path: "/new"})
		assertVerdict(qt.New(t), reply, schema.Reason_REASON_NO_CONFIGURATION)
	})
}

// confirmedRouter returns a router whose document allows only calls below /look, and its snapshots. The document was never
// confirmed.
func confirmedRouter() (*Router, *confirmedSnapshots) {
	r, _, _ := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
	d := document(nil)
	d.SetRules(d.GetRules()[:1])
	snapshots := &confirmedSnapshots{}
	snapshots.Store(core.NewSnapshot(2, d, members(1)))
	r.snapshots = snapshots
	return r, snapshots
}

// replacedSnapshots is a confirmedSnapshots whose document is replaced by a confirmed one after it was read.
type replacedSnapshots struct {
	*confirmedSnapshots
	next *core.Snapshot
}

func (r *replacedSnapshots) Snapshot() *core.Snapshot {
	before := r.Load()
	r.Store(r.next)
	r.at = time.Now()
	return before
}

// assertVerdict asserts that a call was answered, refused for good, or refused for now.
func assertVerdict(c *qt.C, reply *schema.ExecuteReply, reason schema.Reason) {
	c.Helper()
	switch reason {
	case schema.Reason_REASON_NONE:
		assertOutcome(c, reply, schema.Status_STATUS_ANSWERED, reason)
	case schema.Reason_REASON_NO_RULE, schema.Reason_REASON_UNKNOWN_KEY, schema.Reason_REASON_TOO_LARGE:
		assertOutcome(c, reply, schema.Status_STATUS_NOT_RUN, reason)
	default:
		assertComeBack(c, reply, reason)
	}
}
