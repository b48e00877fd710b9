package ticket_test

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// world is a model of executors, routers and a caller whose messages are lost, duplicated, delayed and reordered.
type world struct {
	t         *rapid.T
	now       time.Time
	executors []*executor
	// network holds the messages on the way; delivering one may append others.
	network []func()
	calls   []*routerCall
	// request is sent by a correct caller. misused is another request that wrongly uses the same ticket.
	request *request
	misused *request
	seen    map[string]int
	// calm is how rarely faults occur: one in so many of the chosen ones does.
	calm int
	// unrecorded makes guards refuse some calls before Begin. They may not do so if callers misuse tickets: the router
	// would take the refusal of another request, recorded since, for its own.
	unrecorded bool
}

// request is a caller's call with the facts that the oracle compares. Facts by ticket use the caller's ticket.
type request struct {
	fingerprint uint64
	ticket      *schema.Ticket
	runs        int
	ranWith     map[string]bool
	notRunWith  map[string]bool
	answers     map[string]string
}

// routerCall is one send of a request through one router.
type routerCall struct {
	request  *request
	root     string
	transfer *ticket.Transfer
	sequence int
	ended    bool
}

// executor is a guard, reduced to its store and the jobs that it queues and runs.
type executor struct {
	name        string
	incarnation uint64
	store       *ticket.Store
	jobs        []*job
	waiters     []waiter
}

type job struct {
	call    *routerCall
	ticket  *schema.Ticket
	started bool
	reply   func(*schema.ExecuteReply)
}

type waiter struct {
	ended <-chan struct{}
	again func()
}

func newWorld(t *rapid.T, seen map[string]int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), seen: seen}
	w.calm = 1 << (2 * w.draw("calm", 4))
	for _, name := range []string{"a", "b", "c"} {
		x := &executor{name: name}
		w.executors = append(w.executors, x)
		w.restart(x)
	}
	w.unrecorded = w.draw("unrecorded", 2) == 1
	w.request = newRequest(1)
	return w
}

func newRequest(fingerprint uint64) *request {
	return &request{
		fingerprint: fingerprint,
		ranWith:     map[string]bool{},
		notRunWith:  map[string]bool{},
		answers:     map[string]string{},
	}
}

func (w *world) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, name) }

func (w *world) executor() *executor { return w.executors[w.draw("executor", len(w.executors))] }

func (w *world) restart(x *executor) {
	x.incarnation++
	x.jobs = nil
	x.waiters = nil
	x.store = ticket.New(x.name, x.incarnation, w.now, ticket.WithCapacity(5),
		ticket.WithOutcomeLife(90*time.Second), ticket.WithKey(fmt.Appendf(nil, "%s-%d", x.name, x.incarnation)))
}

// resend makes the caller send the request: with a new ticket only if the last one was answered NotRun.
func (w *world) resend() {
	first := w.request
	if first.ticket == nil || first.notRunWith[ticket.Encode(first.ticket)] {
		issued, _ := w.executor().store.Issue(w.now, "payout")
		if issued == nil {
			return
		}
		first.ticket = issued
		w.misused = newRequest(2)
	}
	r := first
	if !w.unrecorded && w.draw("misuse", 8) == 0 {
		r = w.misused
	}
	c := &routerCall{
		request:  r,
		root:     ticket.Encode(first.ticket),
		transfer: ticket.NewTransfer(first.ticket, 2+w.draw("chain", 3)),
	}
	w.calls = append(w.calls, c)
	w.send(c)
}

// send puts the next message of a router on the network, or ends its call.
func (w *world) send(c *routerCall) {
	c.sequence++
	step, sequence := c.transfer.Next(), c.sequence
	current := func() bool { return c.sequence == sequence && !c.ended }
	switch step.Operation {
	case ticket.Done:
		w.check(c, step.Outcome)
	case ticket.Execute:
		w.post(func() {
			w.execute(w.at(step.Ticket), c, step.Ticket, func(reply *schema.ExecuteReply) {
				w.post(func() { w.receive(c, current(), func() { c.transfer.OnExecute(reply, nil) }) })
			})
		})
	case ticket.Issue:
		x := w.executor()
		w.post(func() {
			issued, reason := x.store.Issue(w.now, "payout")
			reply := schema.IssueReply_builder{Ticket: issued, Reason: reason}.Build()
			w.post(func() { w.receive(c, current(), func() { c.transfer.OnIssue(reply, nil) }) })
		})
	case ticket.Supersede, ticket.Close:
		w.post(func() {
			reply := w.at(step.Ticket).store.Supersede(w.now, step.Ticket, step.Successor)
			w.post(func() { w.receive(c, current(), func() { c.transfer.OnSupersede(reply, nil) }) })
		})
	}
}

func (w *world) post(message func()) { w.network = append(w.network, message) }

func (w *world) receive(c *routerCall, current bool, take func()) {
	if !current {
		return
	}
	take()
	w.send(c)
}

func (w *world) at(t *schema.Ticket) *executor {
	for _, x := range w.executors {
		if x.name == t.GetInstance() {
			return x
		}
	}
	w.t.Fatalf("no executor %q", t.GetInstance())
	return nil
}

func (w *world) execute(x *executor, c *routerCall, t *schema.Ticket, reply func(*schema.ExecuteReply)) {
	if w.unrecorded && w.draw("refuse without a record", 8) == 0 {
		reply(core.NotRun(schema.Reason_REASON_WRONG_INSTANCE))
		return
	}
	claim := x.store.Begin(w.now, t, c.request.fingerprint)
	switch claim.State {
	case core.ClaimRun:
		x.jobs = append(x.jobs, &job{call: c, ticket: t, reply: reply})
	case core.ClaimWait:
		x.waiters = append(x.waiters, waiter{claim.Wait, func() { w.execute(x, c, t, reply) }})
	case core.ClaimReply:
		reply(claim.Reply)
	}
}

// work starts, refuses or finishes a job of an executor.
func (w *world) work() {
	x := w.executor()
	if len(x.jobs) == 0 {
		return
	}
	i := w.draw("job", len(x.jobs))
	j := x.jobs[i]
	r := j.call.request
	var reply *schema.ExecuteReply
	switch choice := w.draw("work", 3); {
	case !j.started && choice == 0:
		j.started = true
		r.runs++
		r.ranWith[j.call.root] = true
		w.checkRuns(r)
		return
	case !j.started:
		reply = core.NotRun(schema.Reason_REASON_BUSY)
	case choice == 0:
		reply = core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
	default:
		reply = schema.ExecuteReply_builder{
			Status: schema.Status_STATUS_ANSWERED,
			Code:   200,
			Body:   fmt.Appendf(nil, "request %d: run %d on %s", r.fingerprint, r.runs, x.name),
		}.Build()
	}
	x.jobs = append(x.jobs[:i:i], x.jobs[i+1:]...)
	x.store.Finish(w.now, j.ticket, reply)
	j.reply(reply)
	w.wake(x)
}

func (w *world) wake(x *executor) {
	waiters := x.waiters
	x.waiters = nil
	for _, a := range waiters {
		select {
		case <-a.ended:
			a.again()
		default:
			x.waiters = append(x.waiters, a)
		}
	}
}

// fail gives a router an error for its outstanding message, which may still arrive later.
func (w *world) fail() {
	c := w.open()
	if c == nil {
		return
	}
	reasons := []schema.Reason{
		schema.Reason_REASON_NODE_LOST,
		schema.Reason_REASON_CONNECTION_SILENT,
		schema.Reason_REASON_UNREACHABLE,
		schema.Reason_REASON_DEADLINE,
	}
	err := core.NewTransportError("x", reasons[w.draw("reason", len(reasons))], true, nil)
	switch c.transfer.Next().Operation {
	case ticket.Execute:
		c.transfer.OnExecute(nil, err)
	case ticket.Issue:
		c.transfer.OnIssue(nil, err)
	default:
		c.transfer.OnSupersede(nil, err)
	}
	w.send(c)
}

// open returns a call without an outcome, or nil.
func (w *world) open() *routerCall {
	var open []*routerCall
	for _, c := range w.calls {
		if !c.ended {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[w.draw("call", len(open))]
}

func (w *world) deliver(keep bool) {
	if len(w.network) == 0 {
		return
	}
	i := w.draw("message", len(w.network))
	message := w.network[i]
	if !keep {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	message()
}

// check compares the outcome of a call with the oracle.
func (w *world) check(c *routerCall, outcome *schema.ExecuteReply) {
	c.ended = true
	r := c.request
	w.seen[fmt.Sprintf("%s with a chain of %d", core.StatusName(outcome.GetStatus()), c.transfer.Chain())]++
	switch outcome.GetStatus() {
	case schema.Status_STATUS_NOT_RUN:
		r.notRunWith[c.root] = true
	case schema.Status_STATUS_ANSWERED:
		body := string(outcome.GetBody())
		if earlier, ok := r.answers[c.root]; ok && earlier != body {
			w.t.Fatalf("resend answered %q after %q", body, earlier)
		}
		if !strings.HasPrefix(body, fmt.Sprintf("request %d:", r.fingerprint)) {
			w.t.Fatalf("request %d got the answer %q", r.fingerprint, body)
		}
		r.answers[c.root] = body
	case schema.Status_STATUS_UNKNOWN:
	default:
		w.t.Fatalf("outcome without a status: %v", outcome)
	}
	w.checkRuns(r)
}

func (w *world) checkRuns(r *request) {
	if r.runs > 1 {
		w.t.Fatalf("request %d ran %d times", r.fingerprint, r.runs)
	}
	for root := range r.notRunWith {
		if r.ranWith[root] {
			w.t.Fatalf("request %d ran with a ticket that was answered NotRun", r.fingerprint)
		}
	}
}

// actions lists the steps of the model; those named more often are chosen more often.
func (w *world) actions() []func() {
	deliver := func() { w.deliver(false) }
	lose := func() {
		if len(w.network) > 0 {
			i := w.draw("lost", len(w.network))
			w.network = append(w.network[:i:i], w.network[i+1:]...)
		}
	}
	stop := func() {
		if c := w.open(); c != nil {
			c.transfer.Stop(schema.Reason_REASON_DEADLINE)
			w.send(c)
		}
	}
	restart := func() { w.restart(w.executor()) }
	wait := func() { w.now = w.now.Add(time.Duration(w.draw("seconds", 90)) * time.Second) }
	rarely := func(action func()) func() {
		return func() {
			if w.draw("fault", w.calm) == 0 {
				action()
			}
		}
	}
	return []func(){
		deliver, deliver, deliver, deliver, deliver, deliver, w.work, w.work, w.work,
		func() { w.deliver(true) }, rarely(w.resend), rarely(w.fail), rarely(lose), rarely(stop), rarely(restart),
		rarely(wait),
	}
}

// checkMany runs a property with a number of checks that reaches deep chains, unless the command line asks for more.
func checkMany(t *testing.T, checks int, property func(*rapid.T)) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	if f.Value.String() == f.DefValue {
		if err := f.Value.Set(strconv.Itoa(checks)); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	rapid.Check(t, property)
}

// TestTransferRunsOnce guards against a request that runs twice or runs after NotRun, whatever the network does.
func TestTransferRunsOnce(t *testing.T) {
	c := qt.New(t)
	seen := map[string]int{}
	checkMany(t, 3000, func(t *rapid.T) {
		w := newWorld(t, seen)
		actions := w.actions()
		w.resend()
		for range 250 {
			actions[w.draw("action", len(actions))]()
		}
		for len(w.network) > 0 && len(w.calls) < 1000 {
			w.deliver(false)
		}
	})
	t.Log(seen)
	for _, outcome := range []string{"answered with a chain of 2", "not-run with a chain of 2", "unknown with a chain of 1"} {
		c.Check(seen[outcome] > 0, qt.IsTrue, qt.Commentf("the model never reached: %s", outcome))
	}
}
