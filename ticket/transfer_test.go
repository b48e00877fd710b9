package ticket_test

import (
	"flag"
	"fmt"
	"slices"
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
	executors map[string]*executor
	// network holds the messages on the way; delivering one may append others.
	network []func()
	calls   []*routerCall
	// request is sent by a correct caller; misused is another request that wrongly uses the same ticket.
	request *request
	misused *request
	ticket  *schema.Ticket
	seen    map[string]int
	// calm is how rarely faults occur: one in so many of the chosen ones does.
	calm int
	// unrecorded makes guards refuse some calls before Begin. They may not do so if callers misuse tickets: the router
	// would take the refusal of another request, recorded since, for its own.
	unrecorded bool
}

// request holds the facts of one call that the oracle compares, by the caller's ticket.
type request struct {
	fingerprint uint64
	runs        int
	ran         map[string]bool
	notRun      map[string]bool
	answers     map[string]string
}

// routerCall is one send of a request through one router. Replies to earlier messages have a lower sequence.
type routerCall struct {
	*request
	ticket   string
	transfer *ticket.Transfer
	sequence int
	ended    bool
}

// executor is a guard, reduced to its store and the jobs that it queues and runs.
type executor struct {
	*ticket.Store
	incarnation uint64
	jobs        []*job
}

type job struct {
	call    *routerCall
	ticket  *schema.Ticket
	started bool
	reply   func(*schema.ExecuteReply)
}

func newWorld(t *rapid.T, seen map[string]int) *world {
	w := &world{t: t, now: epoch, seen: seen, executors: map[string]*executor{"a": {}, "b": {}, "c": {}}}
	w.calm = 1 << (2 * w.draw("calm", 4))
	w.unrecorded = w.draw("unrecorded", 2) == 1
	w.request = newRequest(1)
	for name := range w.executors {
		w.restart(name)
	}
	return w
}

func newRequest(fingerprint uint64) *request {
	return &request{fingerprint, 0, map[string]bool{}, map[string]bool{}, map[string]string{}}
}

func (w *world) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, name) }

func (w *world) drawExecutor() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "executor")
}

func (w *world) restart(name string) {
	incarnation := w.executors[name].incarnation + 1
	store := ticket.New(name, incarnation, w.now, ticket.WithCapacity(5), ticket.WithOutcomeLife(90*time.Second),
		ticket.WithKey(fmt.Appendf(nil, "%s-%d", name, incarnation)))
	*w.executors[name] = executor{Store: store, incarnation: incarnation}
}

// resend makes the caller send its request: with a new ticket only if the last one was answered NotRun.
func (w *world) resend() {
	if w.ticket == nil || w.request.notRun[ticket.Encode(w.ticket)] {
		issued, _ := w.executors[w.drawExecutor()].Issue(w.now, "payout")
		if issued == nil {
			return
		}
		w.ticket = issued
		w.misused = newRequest(2)
	}
	sent := w.request
	if !w.unrecorded && w.draw("misuse", 8) == 0 {
		sent = w.misused
	}
	transfer := ticket.NewTransfer(w.ticket, 2+w.draw("chain", 3))
	w.calls = append(w.calls, &routerCall{request: sent, ticket: ticket.Encode(w.ticket), transfer: transfer})
	w.send(w.calls[len(w.calls)-1])
}

func (w *world) post(message func()) { w.network = append(w.network, message) }

// send puts the next message of a router on the network, or ends its call.
func (w *world) send(c *routerCall) {
	c.sequence++
	step, sequence := c.transfer.Next(), c.sequence
	receive := func(take func()) {
		w.post(func() {
			if c.sequence == sequence && !c.ended {
				take()
				w.send(c)
			}
		})
	}
	x := w.executors[step.Ticket.GetInstance()]
	switch step.Operation {
	case ticket.Done:
		w.end(c, step.Outcome)
	case ticket.Execute:
		w.execute(x, &job{call: c, ticket: step.Ticket, reply: func(reply *schema.ExecuteReply) {
			receive(func() { c.transfer.OnExecute(reply, nil) })
		}})
	case ticket.Issue:
		name := w.drawExecutor()
		w.post(func() {
			issued, reason := w.executors[name].Issue(w.now, "payout")
			reply := schema.IssueReply_builder{Ticket: issued, Reason: reason}.Build()
			receive(func() { c.transfer.OnIssue(reply, nil) })
		})
	case ticket.Supersede, ticket.Close:
		w.post(func() {
			reply := x.Supersede(w.now, step.Ticket, step.Successor)
			receive(func() { c.transfer.OnSupersede(reply, nil) })
		})
	}
}

// execute sends a call to an executor. One that has to wait arrives again later.
func (w *world) execute(x *executor, j *job) {
	w.post(func() {
		if w.unrecorded && w.draw("refuse without a record", 8) == 0 {
			j.reply(core.NotRun(schema.Reason_REASON_WRONG_INSTANCE))
			return
		}
		switch claim := x.Begin(w.now, j.ticket, j.call.fingerprint); claim.State {
		case core.ClaimRun:
			x.jobs = append(x.jobs, j)
		case core.ClaimWait:
			w.execute(x, j)
		case core.ClaimReply:
			j.reply(claim.Reply)
		}
	})
}

// work starts, refuses or finishes a job of an executor.
func (w *world) work() {
	name := w.drawExecutor()
	x := w.executors[name]
	if len(x.jobs) == 0 {
		return
	}
	i := w.draw("job", len(x.jobs))
	j, r := x.jobs[i], x.jobs[i].call.request
	reply := outcome(fmt.Sprintf("request %d: run %d on %s", r.fingerprint, r.runs, name))
	switch choice := w.draw("work", 3); {
	case !j.started && choice == 0:
		j.started = true
		r.runs++
		r.ran[j.call.ticket] = true
		w.check(r)
		return
	case !j.started:
		reply = core.NotRun(schema.Reason_REASON_BUSY)
	case choice == 0:
		reply = core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
	}
	x.jobs = slices.Delete(x.jobs, i, i+1)
	x.Finish(w.now, j.ticket, reply)
	j.reply(reply)
}

// withOpen applies a router's event to a call without an outcome, if there is one.
func (w *world) withOpen(event func(*routerCall)) {
	open := slices.DeleteFunc(slices.Clone(w.calls), func(c *routerCall) bool { return c.ended })
	if len(open) > 0 {
		c := open[w.draw("call", len(open))]
		event(c)
		w.send(c)
	}
}

// fail gives a router an error for its outstanding message, which may still arrive later.
func (w *world) fail(c *routerCall) {
	err := core.NewTransportError("x", rapid.SampledFrom([]schema.Reason{
		schema.Reason_REASON_NODE_LOST,
		schema.Reason_REASON_CONNECTION_SILENT,
		schema.Reason_REASON_UNREACHABLE,
		schema.Reason_REASON_DEADLINE,
	}).Draw(w.t, "reason"), true, nil)
	switch c.transfer.Next().Operation {
	case ticket.Execute:
		c.transfer.OnExecute(nil, err)
	case ticket.Issue:
		c.transfer.OnIssue(nil, err)
	default:
		c.transfer.OnSupersede(nil, err)
	}
}

// take returns a message of the network, and removes it or leaves a duplicate.
func (w *world) take(remove bool) func() {
	if len(w.network) == 0 {
		return func() {}
	}
	i := w.draw("message", len(w.network))
	message := w.network[i]
	if remove {
		w.network = slices.Delete(w.network, i, i+1)
	}
	return message
}

// end compares the outcome of a call with the oracle.
func (w *world) end(c *routerCall, outcome *schema.ExecuteReply) {
	c.ended = true
	w.seen[fmt.Sprintf("%s by %d", core.StatusName(outcome.GetStatus()), c.transfer.Chain())]++
	switch outcome.GetStatus() {
	case schema.Status_STATUS_NOT_RUN:
		c.notRun[c.ticket] = true
	case schema.Status_STATUS_ANSWERED:
		body := string(outcome.GetBody())
		if earlier, ok := c.answers[c.ticket]; ok && earlier != body {
			w.t.Fatalf("resend answered %q after %q", body, earlier)
		}
		if !strings.HasPrefix(body, fmt.Sprintf("request %d:", c.fingerprint)) {
			w.t.Fatalf("request %d got the answer %q", c.fingerprint, body)
		}
		c.answers[c.ticket] = body
	case schema.Status_STATUS_UNSPECIFIED:
		w.t.Fatalf("outcome without a status: %v", outcome)
	}
	w.check(c.request)
}

func (w *world) check(r *request) {
	if r.runs > 1 {
		w.t.Fatalf("request %d ran %d times", r.fingerprint, r.runs)
	}
	for used := range r.notRun {
		if r.ran[used] {
			w.t.Fatalf("request %d ran with a ticket that was answered NotRun", r.fingerprint)
		}
	}
}

// actions lists the steps of the model; those named more often are chosen more often.
func (w *world) actions() []func() {
	deliver := func() { w.take(true)() }
	rarely := func(fault func()) func() {
		return func() {
			if w.draw("fault", w.calm) == 0 {
				fault()
			}
		}
	}
	return []func(){
		deliver, deliver, deliver, deliver, deliver, deliver, w.work, w.work, w.work,
		func() { w.take(false)() },
		rarely(w.resend),
		rarely(func() { w.take(true) }),
		rarely(func() { w.withOpen(w.fail) }),
		rarely(func() { w.withOpen(func(c *routerCall) { c.transfer.Stop(schema.Reason_REASON_DEADLINE) }) }),
		rarely(func() { w.restart(w.drawExecutor()) }),
		rarely(func() { w.now = w.now.Add(time.Duration(w.draw("seconds", 90)) * time.Second) }),
	}
}

// checkMany runs a property with a number of checks that reaches deep chains, unless the command line asks for more.
func checkMany(t *testing.T, checks int, property func(*rapid.T)) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	if f.Value.String() == f.DefValue {
		qt.New(t).Assert(f.Value.Set(strconv.Itoa(checks)), qt.IsNil)
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	rapid.Check(t, property)
}

// TestTransferRunsOnce guards against a request that runs twice or runs after NotRun, whatever the network does.
func TestTransferRunsOnce(t *testing.T) {
	seen := map[string]int{}
	checkMany(t, 3000, func(t *rapid.T) {
		w := newWorld(t, seen)
		actions := w.actions()
		w.resend()
		for range 250 {
			actions[w.draw("action", len(actions))]()
		}
	})
	t.Log(seen)
	for _, outcome := range []string{"answered by 2", "answered by 3", "not-run by 3", "unknown by 2"} {
		qt.New(t).Check(seen[outcome] > 0, qt.IsTrue, qt.Commentf("the model never reached: %s", outcome))
	}
}
