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

// model simulates executors, routers and a caller on a network that loses, duplicates, delays and reorders messages.
type model struct {
	t         *rapid.T
	now       time.Time
	executors map[string]*executor
	// network holds the messages in transit; delivering one may append others.
	network []func()
	calls   []*routerCall
	// request is sent by a correct caller; misused is another request that incorrectly uses the same ticket.
	request  *request
	misused  *request
	ticket   *schema.Ticket
	outcomes map[string]int
	// faultInterval reduces the rate of faults: only one in this many fault actions that are drawn takes effect.
	faultInterval int
	// refuseUnrecorded makes guards refuse some calls before Begin. It excludes the misuse of tickets by callers, since
	// the router would mistake the recorded refusal of another request for that of its own.
	refuseUnrecorded bool
}

// request records the facts about one call that the invariants check, keyed by the caller's ticket.
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

// executor models a guard by its store and the jobs that it queues and runs.
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

func newModel(t *rapid.T, seen map[string]int) *model {
	m := &model{t: t, now: epoch, outcomes: seen, executors: map[string]*executor{"a": {}, "b": {}, "c": {}}}
	m.faultInterval = 1 << (2 * m.draw("calm", 4))
	m.refuseUnrecorded = m.draw("unrecorded", 2) == 1
	m.request = newRequest(1)
	for name := range m.executors {
		m.restart(name)
	}
	return m
}

func newRequest(fingerprint uint64) *request {
	return &request{fingerprint, 0, map[string]bool{}, map[string]bool{}, map[string]string{}}
}

func (m *model) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, name) }

func (m *model) drawExecutor() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "executor")
}

func (m *model) restart(name string) {
	incarnation := m.executors[name].incarnation + 1
	store := ticket.New(name, incarnation, m.now, ticket.WithCapacity(5), ticket.WithOutcomeLife(90*time.Second),
		ticket.WithKey(fmt.Appendf(nil, "%s-%d", name, incarnation)))
	*m.executors[name] = executor{Store: store, incarnation: incarnation}
}

// resend sends the caller's request, with a new ticket only if the previous one was answered NotRun.
func (m *model) resend() {
	if m.ticket == nil || m.request.notRun[ticket.Encode(m.ticket)] {
		issued, _ := m.executors[m.drawExecutor()].Issue(m.now, "payout")
		if issued == nil {
			return
		}
		m.ticket = issued
		m.misused = newRequest(2)
	}
	sent := m.request
	if !m.refuseUnrecorded && m.draw("misuse", 8) == 0 {
		sent = m.misused
	}
	transfer := ticket.NewTransfer(m.ticket, 2+m.draw("chain", 3))
	m.calls = append(m.calls, &routerCall{request: sent, ticket: ticket.Encode(m.ticket), transfer: transfer})
	m.send(m.calls[len(m.calls)-1])
}

func (m *model) enqueue(message func()) { m.network = append(m.network, message) }

// send puts the next message of a router on the network, or ends its call.
func (m *model) send(c *routerCall) {
	c.sequence++
	step, sequence := c.transfer.Next(), c.sequence
	receive := func(take func()) {
		m.enqueue(func() {
			if c.sequence == sequence && !c.ended {
				take()
				m.send(c)
			}
		})
	}
	target := m.executors[step.Ticket.GetInstance()]
	switch step.Operation {
	case ticket.Done:
		m.checkOutcome(c, step.Outcome)
	case ticket.Execute:
		m.execute(target, &job{call: c, ticket: step.Ticket, reply: func(reply *schema.ExecuteReply) {
			receive(func() { c.transfer.OnExecute(reply, nil) })
		}})
	case ticket.Issue:
		name := m.drawExecutor()
		m.enqueue(func() {
			issued, reason := m.executors[name].Issue(m.now, "payout")
			reply := schema.IssueReply_builder{Ticket: issued, Reason: reason}.Build()
			receive(func() { c.transfer.OnIssue(reply, nil) })
		})
	case ticket.Supersede, ticket.Close:
		m.enqueue(func() {
			reply := target.Supersede(m.now, step.Ticket, step.Successor)
			receive(func() { c.transfer.OnSupersede(reply, nil) })
		})
	}
}

// execute sends a call to an executor. A call that has to wait is delivered again later.
func (m *model) execute(target *executor, j *job) {
	m.enqueue(func() {
		if m.refuseUnrecorded && m.draw("refuse without a record", 8) == 0 {
			j.reply(core.NotRun(schema.Reason_REASON_WRONG_INSTANCE))
			return
		}
		switch claim := target.Begin(m.now, j.ticket, j.call.fingerprint); claim.State {
		case core.ClaimRun:
			target.jobs = append(target.jobs, j)
		case core.ClaimWait:
			m.execute(target, j)
		case core.ClaimReply:
			j.reply(claim.Reply)
		}
	})
}

// runJob starts, refuses or finishes a job of an executor.
func (m *model) runJob() {
	name := m.drawExecutor()
	target := m.executors[name]
	if len(target.jobs) == 0 {
		return
	}
	i := m.draw("job", len(target.jobs))
	j, r := target.jobs[i], target.jobs[i].call.request
	reply := outcome(fmt.Sprintf("request %d: run %d on %s", r.fingerprint, r.runs, name))
	switch choice := m.draw("work", 3); {
	case !j.started && choice == 0:
		j.started = true
		r.runs++
		r.ran[j.call.ticket] = true
		m.checkRequest(r)
		return
	case !j.started:
		reply = core.NotRun(schema.Reason_REASON_BUSY)
	case choice == 0:
		reply = core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
	}
	target.jobs = slices.Delete(target.jobs, i, i+1)
	target.Finish(m.now, j.ticket, reply)
	j.reply(reply)
}

// withOpenCall applies an event to the router of a call without an outcome, if there is one.
func (m *model) withOpenCall(event func(*routerCall)) {
	open := slices.DeleteFunc(slices.Clone(m.calls), func(c *routerCall) bool { return c.ended })
	if len(open) > 0 {
		c := open[m.draw("call", len(open))]
		event(c)
		m.send(c)
	}
}

// fail reports an error for the router's pending message, which may still arrive later.
func (m *model) fail(c *routerCall) {
	err := core.NewTransportError("x", rapid.SampledFrom([]schema.Reason{
		schema.Reason_REASON_NODE_LOST,
		schema.Reason_REASON_CONNECTION_SILENT,
		schema.Reason_REASON_UNREACHABLE,
		schema.Reason_REASON_DEADLINE,
	}).Draw(m.t, "reason"), true, nil)
	switch c.transfer.Next().Operation {
	case ticket.Execute:
		c.transfer.OnExecute(nil, err)
	case ticket.Issue:
		c.transfer.OnIssue(nil, err)
	default:
		c.transfer.OnSupersede(nil, err)
	}
}

// drawMessage returns a random message in transit, and removes it or leaves it to be delivered again.
func (m *model) drawMessage(remove bool) func() {
	if len(m.network) == 0 {
		return func() {}
	}
	i := m.draw("message", len(m.network))
	message := m.network[i]
	if remove {
		m.network = slices.Delete(m.network, i, i+1)
	}
	return message
}

// checkOutcome compares the outcome of a call with the recorded facts.
func (m *model) checkOutcome(c *routerCall, outcome *schema.ExecuteReply) {
	c.ended = true
	m.outcomes[fmt.Sprintf("%s by %d", core.StatusName(outcome.GetStatus()), c.transfer.Chain())]++
	switch outcome.GetStatus() {
	case schema.Status_STATUS_NOT_RUN:
		c.notRun[c.ticket] = true
	case schema.Status_STATUS_ANSWERED:
		body := string(outcome.GetBody())
		if earlier, ok := c.answers[c.ticket]; ok && earlier != body {
			m.t.Fatalf("repeated send answered %q after %q", body, earlier)
		}
		if !strings.HasPrefix(body, fmt.Sprintf("request %d:", c.fingerprint)) {
			m.t.Fatalf("request %d got the answer %q", c.fingerprint, body)
		}
		c.answers[c.ticket] = body
	case schema.Status_STATUS_UNSPECIFIED:
		m.t.Fatalf("outcome without a status: %v", outcome)
	}
	m.checkRequest(c.request)
}

func (m *model) checkRequest(r *request) {
	if r.runs > 1 {
		m.t.Fatalf("request %d ran %d times", r.fingerprint, r.runs)
	}
	for used := range r.notRun {
		if r.ran[used] {
			m.t.Fatalf("request %d ran with a ticket that was answered NotRun", r.fingerprint)
		}
	}
}

// actions lists the actions of the simulation; repeated ones are chosen more often.
func (m *model) actions() []func() {
	deliver := func() { m.drawMessage(true)() }
	rarely := func(fault func()) func() {
		return func() {
			if m.draw("fault", m.faultInterval) == 0 {
				fault()
			}
		}
	}
	return []func(){
		deliver, deliver, deliver, deliver, deliver, deliver, m.runJob, m.runJob, m.runJob,
		func() { m.drawMessage(false)() },
		rarely(m.resend),
		rarely(func() { m.drawMessage(true) }),
		rarely(func() { m.withOpenCall(m.fail) }),
		rarely(func() { m.withOpenCall(func(c *routerCall) { c.transfer.Stop(schema.Reason_REASON_DEADLINE) }) }),
		rarely(func() { m.restart(m.drawExecutor()) }),
		rarely(func() { m.now = m.now.Add(time.Duration(m.draw("seconds", 90)) * time.Second) }),
	}
}

// checkMany runs a property with enough checks to reach long chains, unless -rapid.checks is set on the command line.
func checkMany(t *testing.T, checks int, property func(*rapid.T)) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	if f.Value.String() == f.DefValue {
		qt.New(t).Assert(f.Value.Set(strconv.Itoa(checks)), qt.IsNil)
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	rapid.Check(t, property)
}

// TestTransferRunsOnce guards against a request that runs twice, or runs after it was answered NotRun, under any
// network faults.
func TestTransferRunsOnce(t *testing.T) {
	seen := map[string]int{}
	checkMany(t, 3000, func(t *rapid.T) {
		m := newModel(t, seen)
		actions := m.actions()
		m.resend()
		for range 250 {
			actions[m.draw("action", len(actions))]()
		}
	})
	t.Log(seen)
	for _, outcome := range []string{"answered by 2", "answered by 3", "not-run by 3", "unknown by 2"} {
		qt.New(t).Check(seen[outcome] > 0, qt.IsTrue, qt.Commentf("the simulation never reached: %s", outcome))
	}
}
