package guard_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/limit"
	"verbenareel/poison"
	"verbenareel/schema"
	"verbenareel/ticket"
)

const (
	slots    = 18
	cold     = 2
	queue    = 8
	warmTime = 4 * time.Second
	service  = 10 * time.Millisecond
)

// clock is the clock of the synctest bubble. A test can move it forward without firing timers, which has the same
// effect as a pause of the process.
type clock struct {
	clockwork.Clock
	ahead atomic.Int64
}

func (c *clock) Now() time.Time        { return c.Clock.Now().Add(time.Duration(c.ahead.Load())) }
func (c *clock) pause(d time.Duration) { c.ahead.Add(int64(d)) }

// snapshots is a core.Snapshots with a snapshot that tests replace.
type snapshots struct{ atomic.Pointer[core.Snapshot] }

func (s *snapshots) Snapshot() *core.Snapshot { return s.Load() }

// set publishes a snapshot with the failure domain in or out of service.
func (s *snapshots) set(revision uint64, out bool) {
	document := schema.Document_builder{
		Places: schema.Places_builder{
			Domains: map[string]*schema.Domain{"sapporo": schema.Domain_builder{OutOfService: out}.Build()},
		}.Build(),
		Services: map[string]*schema.Service{"sheets": schema.Service_builder{
			Slots: slots, ColdLimit: cold, WarmTime: durationpb.New(warmTime), Queue: queue,
			Timeout: durationpb.New(time.Minute), MaxBody: 1 << 20, ProbesPerSecond: 1,
		}.Build()},
	}.Build()
	s.Store(core.NewSnapshot(revision, document, nil))
}

// backend is a core.Backend that counts calls and answers each with a function of the test.
type backend struct {
	mu       sync.Mutex
	inFlight int
	sent     int
	checks   int
	probes   int
	down     error
	openIdle bool
	// probeError is the error of each probe.
	probeError error
	report     *core.ServerReport
	send       func(ctx context.Context, request *core.Request, inFlight int) *core.Result
}

func (b *backend) Send(ctx context.Context, request *core.Request) *core.Result {
	b.mu.Lock()
	b.sent++
	b.inFlight++
	inFlight := b.inFlight
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.inFlight--
		b.mu.Unlock()
	}()
	if request.OnSent != nil {
		request.OnSent()
	}
	return b.send(ctx, request, inFlight)
}

func (b *backend) Probe(ctx context.Context) (*core.ServerReport, error) {
	b.mu.Lock()
	b.probes++
	report, err := b.report, b.probeError
	b.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return report, b.Connect(ctx)
}

func (*backend) Configure(int, int, string) {}

func (b *backend) Connect(context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checks++
	return b.down
}

func (b *backend) HasOpenIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openIdle
}

func (b *backend) calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}

func (b *backend) setDown(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = err
}

// harness holds a guard under test in a synctest bubble.
type harness struct {
	*qt.C
	*guard.Guard
	clock     *clock
	snapshots *snapshots
	backend   *backend
	group     conc.WaitGroup
	// cancelled counts the blocked calls whose context was cancelled.
	cancelled atomic.Int64
}

// run runs a test in a bubble with a running guard. By default each call takes the service time.
func run(t *testing.T, opts []guard.Option, test func(*harness)) {
	t.Helper()
	runWith(t, func(b *backend) core.Backend { return b }, opts, test)
}

// runWith is like run, with the backend that wrap returns.
func runWith(t *testing.T, wrap func(*backend) core.Backend, opts []guard.Option, test func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &harness{C: qt.New(t), clock: &clock{Clock: clockwork.NewRealClock()}, snapshots: &snapshots{}}
		b.backend = &backend{report: &core.ServerReport{}, send: func(context.Context, *core.Request, int) *core.Result {
			time.Sleep(service)
			return answered()
		}}
		b.snapshots.set(1, false)
		b.Guard = guard.New(member(), b.snapshots, wrap(b.backend), ticket.New("sheets-1", 7, b.clock.Now()), b.clock, opts...)
		ctx, cancel := context.WithCancel(t.Context())
		b.group.Go(func() { _ = b.Guard.Run(ctx) })
		synctest.Wait()
		test(b)
		cancel()
		<-b.Guard.Done()
		b.group.Wait()
	})
}

// start executes a request and returns a channel that receives the reply.
func (b *harness) start(ctx context.Context, request *schema.ExecuteRequest) <-chan *schema.ExecuteReply {
	replies := make(chan *schema.ExecuteReply, 1)
	b.group.Go(func() { replies <- b.Execute(ctx, request) })
	synctest.Wait()
	return replies
}

func (b *harness) checkReply(reply *schema.ExecuteReply, status schema.Status, reason schema.Reason) {
	b.Helper()
	b.Check(core.StatusName(reply.GetStatus()), qt.Equals, core.StatusName(status))
	b.Check(core.ReasonName(reply.GetReason()), qt.Equals, core.ReasonName(reason))
	b.Check(reply.GetLoad().GetIncarnation(), qt.Equals, uint64(7))
}

func (b *harness) checkAnswered(reply *schema.ExecuteReply) {
	b.Helper()
	b.checkReply(reply, schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE)
}

func (b *harness) checkNotRun(reply *schema.ExecuteReply, reason schema.Reason) {
	b.Helper()
	b.checkReply(reply, schema.Status_STATUS_NOT_RUN, reason)
}

func (b *harness) checkUnknown(reply *schema.ExecuteReply, reason schema.Reason) {
	b.Helper()
	b.checkReply(reply, schema.Status_STATUS_UNKNOWN, reason)
}

func answered() *core.Result { return &core.Result{Written: true, Code: 200} }

func lookup() *schema.ExecuteRequest {
	return schema.ExecuteRequest_builder{
		Instance: "sheets-1", Service: "sheets", Method: "GET", Uri: []byte("/sheets/7"),
		TimeoutUs: time.Second.Microseconds(), Repeatable: true, Depth: 1,
	}.Build()
}

func (b *harness) order(ticket *schema.Ticket) *schema.ExecuteRequest {
	request := lookup()
	request.SetRepeatable(false)
	if ticket == nil {
		issue := schema.IssueRequest_builder{Instance: "sheets-1", Service: "sheets"}.Build()
		ticket = b.Issue(context.Background(), issue).GetTicket()
	}
	request.SetTicket(ticket)
	return request
}

func member() *schema.Member {
	return schema.Member_builder{Instance: "sheets-1", Service: "sheets", Domain: "sapporo", Incarnation: 7}.Build()
}

// blockCalls makes calls to the backend block until release is called.
func (b *harness) blockCalls() (release func()) {
	gate := make(chan struct{})
	b.backend.send = func(ctx context.Context, _ *core.Request, _ int) *core.Result {
		select {
		case <-gate:
		case <-ctx.Done():
			b.cancelled.Add(1)
			<-gate
		}
		return answered()
	}
	return func() {
		close(gate)
		synctest.Wait()
	}
}

// warmUp runs calls with a result until the limit has reached the slots.
func (b *harness) warmUp(result *core.Result) {
	b.backend.send = func(context.Context, *core.Request, int) *core.Result {
		time.Sleep(service)
		return result
	}
	for range 1000 {
		b.Execute(b.Context(), lookup())
	}
	b.Check(b.Load().Limit, qt.Equals, slots)
}

// TestColdStart guards against a restarted guard that sends its server more calls than the ramp allows while 200
// callers send continuously.
func TestColdStart(t *testing.T) {
	run(t, nil, func(b *harness) {
		started := b.clock.Now()
		var excess, answers atomic.Int64
		b.backend.send = func(_ context.Context, _ *core.Request, inFlight int) *core.Result {
			warm := min(b.clock.Now().Sub(started), warmTime)
			if inFlight > cold+int((slots-cold)*warm/warmTime) {
				excess.Add(1)
			}
			time.Sleep(service)
			return answered()
		}
		var callers conc.WaitGroup
		for range 200 {
			callers.Go(func() {
				for b.clock.Now().Sub(started) < warmTime+time.Second {
					if b.Execute(b.Context(), lookup()).GetStatus() == schema.Status_STATUS_ANSWERED {
						answers.Add(1)
					}
					time.Sleep(2 * service)
				}
			})
		}
		callers.Wait()
		b.Check(excess.Load(), qt.Equals, int64(0))
		b.Check(b.Load().Limit, qt.Equals, slots)
		b.Logf("%d calls answered in 5 s", answers.Load())
	})
}

// TestCancel guards against a cancelled call that is no longer counted as in flight although the server still runs
// it, and against a not_run confirmation for a call that has started or may still start.
func TestCancel(t *testing.T) {
	attempt := func(id uint64) *schema.ExecuteRequest {
		request := lookup()
		request.SetAttempt(id)
		return request
	}
	cancelRequest := func(id uint64) *schema.CancelRequest { return schema.CancelRequest_builder{Attempt: id}.Build() }
	run(t, nil, func(b *harness) {
		release := b.blockCalls()
		ctx, cancel := context.WithCancel(b.Context())
		first := b.start(ctx, attempt(1))
		second := b.start(ctx, attempt(2))
		third := b.start(b.Context(), attempt(3))
		fourth := b.start(b.Context(), attempt(4))
		cancel()
		b.checkUnknown(<-first, schema.Reason_REASON_CANCELLED)
		b.checkUnknown(<-second, schema.Reason_REASON_CANCELLED)
		b.Check(b.Load().InFlight, qt.Equals, cold)
		b.Check(b.backend.calls(), qt.Equals, cold)
		synctest.Wait()
		b.Check(b.cancelled.Load(), qt.Equals, int64(cold))

		b.Check(b.Cancel(b.Context(), cancelRequest(1)).GetNotRun(), qt.IsFalse)
		b.Check(b.Cancel(b.Context(), cancelRequest(3)).GetNotRun(), qt.IsTrue)
		b.checkNotRun(<-third, schema.Reason_REASON_CANCELLED)
		release()
		b.checkAnswered(<-fourth)
		b.Check(b.backend.calls(), qt.Equals, cold+1)

		b.Check(b.Cancel(b.Context(), cancelRequest(5)).GetNotRun(), qt.IsFalse)
		b.checkNotRun(b.Execute(b.Context(), attempt(5)), schema.Reason_REASON_CANCELLED)
	})
}

// hookLimiter calls a function at each query of the limit.
type hookLimiter struct {
	*limit.Fixed
	hook func()
}

func (l *hookLimiter) Limit(now time.Time) int {
	l.hook()
	return l.Fixed.Limit(now)
}

// TestLateStart guards against sending a call although a reason to refuse it appeared after its admission. The reply
// to an expired call may be Unknown if the wait of the caller ends before the call is released.
func TestLateStart(t *testing.T) {
	const short, long = 300 * time.Millisecond, time.Minute
	tests := []struct {
		name    string
		timeout time.Duration
		hook    func(*harness, *poison.Table)
	}{
		{"deadline", short, func(b *harness, _ *poison.Table) { b.clock.pause(400 * time.Millisecond) }},
		{"pause", long, func(b *harness, _ *poison.Table) { b.clock.pause(700 * time.Millisecond) }},
		{"out of service", long, func(b *harness, _ *poison.Table) { b.snapshots.set(2, true) }},
		{"suspect", long, func(b *harness, table *poison.Table) {
			table.Record(b.clock.Now(), core.SuspectFingerprints("sheets", "", "GET", "/sheets/7", nil), true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := poison.New(16, time.Minute)
			l := &hookLimiter{Fixed: limit.NewFixed(1), hook: func() {}}
			run(t, []guard.Option{guard.WithLimiter(l), guard.WithSuspects(table)}, func(b *harness) {
				request := b.order(nil)
				l.hook = sync.OnceFunc(func() { test.hook(b, table) })
				request.SetTimeoutUs(test.timeout.Microseconds())
				reply := b.Execute(b.Context(), request)
				b.Check(reply.GetStatus(), qt.Not(qt.Equals), schema.Status_STATUS_ANSWERED)
				b.Check(b.backend.calls(), qt.Equals, 0)
			})
		})
	}
}

// TestDrain guards against a drain that interrupts running calls, keeps queued calls or accepts new ones.
func TestDrain(t *testing.T) {
	run(t, nil, func(b *harness) {
		release := b.blockCalls()
		order, call := b.start(b.Context(), b.order(nil)), b.start(b.Context(), lookup())
		queued := b.start(b.Context(), lookup())
		ctx, cancel := context.WithTimeout(b.Context(), time.Second/2)
		b.Check(errors.Is(b.Drain(ctx), context.DeadlineExceeded), qt.IsTrue)
		cancel()
		b.checkNotRun(<-queued, schema.Reason_REASON_LEAVING)
		b.checkNotRun(b.Execute(b.Context(), lookup()), schema.Reason_REASON_LEAVING)
		b.Check(b.Load().State, qt.Equals, schema.InstanceState_INSTANCE_STATE_LEAVING)
		release()
		b.Check(b.Drain(b.Context()), qt.IsNil)
		b.checkAnswered(<-order)
		b.checkAnswered(<-call)
	})
}

// TestPause guards against a process that acts on outdated state after a pause: its failure domain may have been
// taken out of service, or its server may have stopped.
func TestPause(t *testing.T) {
	confirm := func() {}
	recheck := guard.WithRecheck(func(context.Context) error {
		confirm()
		return nil
	})
	run(t, []guard.Option{recheck}, func(b *harness) {
		b.clock.pause(10 * time.Second)
		reply := b.start(b.Context(), lookup())
		b.Check(b.backend.calls(), qt.Equals, 0)
		b.checkAnswered(<-reply)
		b.Check(b.backend.checks > 0, qt.IsTrue)

		b.backend.setDown(syscall.ECONNREFUSED)
		b.clock.pause(10 * time.Second)
		b.checkNotRun(<-b.start(b.Context(), lookup()), schema.Reason_REASON_PAUSED)
		b.backend.setDown(nil)
		time.Sleep(2 * time.Second)
		b.checkAnswered(b.Execute(b.Context(), lookup()))

		confirm = func() { b.snapshots.set(2, true) }
		b.clock.pause(10 * time.Second)
		b.checkNotRun(<-b.start(b.Context(), lookup()), schema.Reason_REASON_OUT_OF_SERVICE)
		b.Check(b.backend.calls(), qt.Equals, 2)
	})
}

// TestProbes guards against probes above the budget of one per second, also with pauses of the process and after a
// time without probes, and against an idle server that is never probed.
func TestProbes(t *testing.T) {
	run(t, nil, func(b *harness) {
		b.backend.report = nil
		probes := func() int {
			synctest.Wait()
			b.backend.mu.Lock()
			defer b.backend.mu.Unlock()
			return b.backend.probes
		}
		before := probes()
		for i := range 60 {
			time.Sleep(700 * time.Millisecond)
			if i%3 == 0 {
				b.clock.pause(600 * time.Millisecond)
			}
		}
		elapsed := 60*700*time.Millisecond + 20*600*time.Millisecond
		b.Check(probes()-before <= int(elapsed/time.Second)+1, qt.IsTrue)
		b.Check(probes()-before > 30, qt.IsTrue)

		b.warmUp(&core.Result{Written: true, Code: 200, Report: &core.ServerReport{}})
		before = probes()
		time.Sleep(2500 * time.Millisecond)
		b.Check(probes()-before <= 3, qt.IsTrue)
	})
}

// TestTickets guards against a call that runs twice, an outcome that is lost when the router that sent the call goes
// away, and a ticket that stays claimed after a refusal.
func TestTickets(t *testing.T) {
	run(t, nil, func(b *harness) {
		reply := b.Execute(b.Context(), func() *schema.ExecuteRequest {
			request := lookup()
			request.SetRepeatable(false)
			return request
		}())
		b.checkNotRun(reply, schema.Reason_REASON_TICKET_REQUIRED)
		request := b.order(reply.GetNextTicket())

		release := b.blockCalls()
		ctx, cancel := context.WithCancel(b.Context())
		first := b.start(ctx, request)
		other := b.start(b.Context(), b.order(nil))
		queuedRequest := b.order(nil)
		queuedRequest.SetTimeoutUs(time.Minute.Microseconds())
		request.SetTimeoutUs(time.Minute.Microseconds())
		queued := b.start(ctx, queuedRequest)
		duplicate := b.start(b.Context(), request)
		cancel()
		b.checkUnknown(<-first, schema.Reason_REASON_CANCELLED)
		b.checkUnknown(<-queued, schema.Reason_REASON_CANCELLED)
		b.checkUnknown(<-other, schema.Reason_REASON_DEADLINE)
		synctest.Wait()
		release()
		b.checkAnswered(<-duplicate)
		b.checkAnswered(b.Execute(b.Context(), request))
		b.checkAnswered(b.Execute(b.Context(), queuedRequest))
		b.Check(b.backend.calls(), qt.Equals, 3)
		b.Check(b.cancelled.Load(), qt.Equals, int64(0))

		refused := b.order(nil)
		refused.SetTimeoutUs(0)
		b.checkNotRun(b.Execute(b.Context(), refused), schema.Reason_REASON_DEADLINE)
		closed := b.Supersede(b.Context(), schema.SupersedeRequest_builder{Ticket: refused.GetTicket()}.Build())
		b.Check(closed.GetState(), qt.Equals, schema.SupersedeState_SUPERSEDE_STATE_CLOSED)
		b.snapshots.set(2, true)
		b.checkAnswered(b.Execute(b.Context(), request))
	})
}

// TestCrash guards against a request that causes more than two crashes, replies that are sent before the suspects
// were pushed, and innocent requests that remain suspects.
func TestCrash(t *testing.T) {
	table := poison.New(16, time.Minute)
	var pushed []uint64
	var acknowledged time.Duration
	push := guard.WithSuspectPush(func(ctx context.Context, fingerprints []uint64) {
		pushed = append(pushed, fingerprints...)
		select {
		case <-time.After(acknowledged):
		case <-ctx.Done():
		}
	})
	uri := func(uri string) *schema.ExecuteRequest {
		request := lookup()
		request.SetUri([]byte(uri))
		return request
	}
	run(t, []guard.Option{guard.WithSuspects(table), push}, func(b *harness) {
		var alone atomic.Bool
		crashed := make(chan struct{})
		b.backend.send = func(_ context.Context, request *core.Request, inFlight int) *core.Result {
			alone.Store(inFlight == 1)
			if request.URI == "/bad" {
				time.Sleep(service)
				b.backend.setDown(syscall.ECONNREFUSED)
				close(crashed)
			}
			select {
			case <-crashed:
				return &core.Result{Written: true, ConnectionReset: true, ConnectionEnded: true, Reason: schema.Reason_REASON_CONNECTION_LOST}
			case <-time.After(5 * service):
				return answered()
			}
		}
		restart := func() {
			crashed = make(chan struct{})
			b.backend.setDown(nil)
			time.Sleep(2 * time.Second)
		}
		acknowledged = time.Hour
		began := b.clock.Now()
		good := b.start(b.Context(), uri("/good"))
		bad := b.start(b.Context(), uri("/bad"))
		reply := <-bad
		b.checkUnknown(reply, schema.Reason_REASON_CRASHED)
		b.Check(reply.GetSuspect(), qt.IsTrue)
		b.Check(b.clock.Now().Sub(began) >= 200*time.Millisecond, qt.IsTrue)
		b.checkUnknown(<-good, schema.Reason_REASON_CRASHED)
		b.Check(pushed, qt.HasLen, 2)
		b.checkNotRun(b.Execute(b.Context(), uri("/other")), schema.Reason_REASON_CONNECT)

		restart()
		acknowledged = 0
		other := b.start(b.Context(), uri("/other"))
		good = b.start(b.Context(), uri("/good"))
		b.checkAnswered(<-other)
		b.checkAnswered(<-good)
		b.Check(alone.Load(), qt.IsTrue)
		b.Check(table.Crashes(b.clock.Now(), core.SuspectFingerprints("sheets", "", "GET", "/good", nil)[0]), qt.Equals, 0)

		began = b.clock.Now()
		b.checkUnknown(b.Execute(b.Context(), uri("/bad")), schema.Reason_REASON_CRASHED)
		b.Check(b.clock.Now().Sub(began) < 100*time.Millisecond, qt.IsTrue)
		restart()
		calls := b.backend.calls()
		b.checkNotRun(b.Execute(b.Context(), uri("/bad")), schema.Reason_REASON_POISONED)
		b.Check(b.backend.calls(), qt.Equals, calls)
		b.checkAnswered(b.Execute(b.Context(), uri("/good")))
	})
}

// TestReports guards against a server that turned cold or restarted but still gets the load of a warm one, and
// against a report that raises the limit or takes the instance out of use permanently.
func TestReports(t *testing.T) {
	tests := []struct {
		name   string
		result core.Result
		limit  int
		state  schema.InstanceState
	}{
		{name: "none", limit: slots},
		{name: "higher limit", result: core.Result{Report: &core.ServerReport{HasState: true, Limit: 100, Incarnation: 1}}, limit: slots},
		{name: "lower limit", result: core.Result{Report: &core.ServerReport{HasState: true, Limit: 5, Incarnation: 1}}, limit: 5},
		{name: "cold", result: core.Result{Report: &core.ServerReport{HasState: true, Cold: true, Incarnation: 1}}, limit: cold},
		{name: "new incarnation", result: core.Result{Report: &core.ServerReport{HasState: true, Incarnation: 2}}, limit: cold},
		{name: "draining", result: core.Result{Report: &core.ServerReport{HasState: true, Draining: true, Incarnation: 1}}, limit: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, nil, func(b *harness) {
				result := core.Result{Written: true, Code: 200, Report: &core.ServerReport{HasState: true, Incarnation: 1}}
				b.warmUp(&result)
				result.Report = test.result.Report
				b.Check(int(b.Execute(b.Context(), lookup()).GetLoad().GetLimit()), qt.Equals, test.limit)
				time.Sleep(3 * time.Second)
				b.checkAnswered(b.Execute(b.Context(), lookup()))
			})
		})
	}
}

// TestColdAgain guards against a full load on a server that starts cold again because its failure domain returned, it
// stopped answering, or it crashed. It also guards against a single reset that is treated as a crash, and against
// calls that hang on silent connections and are treated as a slow server.
func TestColdAgain(t *testing.T) {
	lost := &core.Result{Written: true, ConnectionReset: true, ConnectionEnded: true, Reason: schema.Reason_REASON_CONNECTION_LOST}
	resets := func(down error, limit int, reasons ...schema.Reason) func(*harness) {
		return func(b *harness) {
			gate := make(chan struct{})
			b.backend.send = func(_ context.Context, _ *core.Request, inFlight int) *core.Result {
				if <-gate; inFlight > len(reasons) {
					time.Sleep(20 * service)
					return answered()
				}
				return lost
			}
			var replies []<-chan *schema.ExecuteReply
			for range 3 {
				replies = append(replies, b.start(b.Context(), lookup()))
			}
			b.backend.setDown(down)
			close(gate)
			synctest.Wait()
			b.start(b.Context(), lookup())
			b.Check(b.backend.calls()-1000, qt.Equals, 3)
			time.Sleep(service)
			for i, reason := range reasons {
				b.checkUnknown(<-replies[i], reason)
			}
			b.Check(b.Load().Limit, qt.Equals, limit)
		}
	}
	const crashed, single = schema.Reason_REASON_CRASHED, schema.Reason_REASON_CONNECTION_LOST
	tests := map[string]func(*harness){
		"domain returns": func(b *harness) {
			b.snapshots.set(2, true)
			time.Sleep(time.Second)
			b.Check(b.Load().State, qt.Equals, schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE)
			b.snapshots.set(3, false)
			time.Sleep(150 * time.Millisecond)
			b.Check(b.Load().Limit, qt.Equals, cold)
		},
		"no answers": func(b *harness) {
			release := b.blockCalls()
			for range slots {
				b.start(b.Context(), lookup())
			}
			time.Sleep(200 * time.Millisecond)
			b.Check(b.Load().Limit, qt.Equals, cold)
			release()
		},
		"some hang": func(b *harness) {
			b.backend.send = func(_ context.Context, request *core.Request, _ int) *core.Result {
				if time.Sleep(service); request.URI == "/hang" {
					time.Sleep(time.Second / 2)
				}
				return answered()
			}
			hang := lookup()
			hang.SetUri([]byte("/hang"))
			for range slots / 2 {
				b.start(b.Context(), hang)
			}
			for range 30 {
				b.checkAnswered(b.Execute(b.Context(), lookup()))
			}
			b.Check(b.Load().Limit, qt.Equals, slots)
		},
		"all reset":          resets(nil, cold, crashed, crashed, crashed),
		"one reset":          resets(nil, slots, single),
		"one reset, refused": resets(syscall.ECONNREFUSED, 0, crashed),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, nil, func(b *harness) {
				b.warmUp(answered())
				test(b)
			})
		})
	}
}

// TestRefusals guards against running calls that this instance must refuse.
func TestRefusals(t *testing.T) {
	tests := map[schema.Reason]func(*schema.ExecuteRequest){
		schema.Reason_REASON_WRONG_INSTANCE: func(r *schema.ExecuteRequest) { r.SetInstance("sheets-2") },
		schema.Reason_REASON_DEPTH:          func(r *schema.ExecuteRequest) { r.SetDepth(core.MaxDepth + 1) },
		schema.Reason_REASON_TOO_LARGE:      func(r *schema.ExecuteRequest) { r.SetBody(make([]byte, 1<<20+1)) },
	}
	run(t, nil, func(b *harness) {
		for reason, change := range tests {
			request := lookup()
			change(request)
			b.checkNotRun(b.Execute(b.Context(), request), reason)
		}
	})
}

// TestOutcomes guards against a call that is reported as not run although a part of it was sent.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		result *core.Result
		status schema.Status
		reason schema.Reason
	}{
		{"answered", &core.Result{Written: true, Code: 500}, schema.Status_STATUS_ANSWERED, schema.Reason_REASON_NONE},
		{"nothing sent", &core.Result{}, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_CONNECT},
		{"shed", &core.Result{Written: true, Code: 503, Reason: schema.Reason_REASON_SHED}, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_SHED},
		{"lost", &core.Result{Written: true}, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_CONNECTION_LOST},
		{"truncated", &core.Result{Written: true, Reason: schema.Reason_REASON_TRUNCATED}, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_TRUNCATED},
		{"no result", nil, schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_CONNECTION_LOST},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, nil, func(b *harness) {
				b.backend.send = func(context.Context, *core.Request, int) *core.Result { return test.result }
				b.checkReply(b.Execute(b.Context(), lookup()), test.status, test.reason)
			})
		})
	}
}

// TestUnmarkedRefusal guards against a status that tells callers that their unsafe request did not run, although the backend
// server has not said so: such an answer is an unknown outcome, also when the ticket is sent again.
func TestUnmarkedRefusal(t *testing.T) {
	once := func(*harness) *schema.ExecuteRequest {
		request := lookup()
		request.SetRepeatable(false)
		request.SetOnce(true)
		return request
	}
	requests := map[string]func(*harness) *schema.ExecuteRequest{
		"once":   once,
		"ticket": func(b *harness) *schema.ExecuteRequest { return b.order(nil) },
	}
	for kind, newRequest := range requests {
		for _, code := range []int{408, 421, 429, 503} {
			t.Run(kind+" "+strconv.Itoa(code), func(t *testing.T) {
				run(t, nil, func(b *harness) {
					b.backend.send = func(context.Context, *core.Request, int) *core.Result {
						return &core.Result{Written: true, Code: code, Body: []byte("busy")}
					}
					request := newRequest(b)
					b.checkUnknown(b.Execute(b.Context(), request), schema.Reason_REASON_UNMARKED_REFUSAL)
					if request.HasTicket() {
						b.checkUnknown(b.Execute(b.Context(), request), schema.Reason_REASON_UNMARKED_REFUSAL)
					}
					b.checkAnswered(b.Execute(b.Context(), lookup()))
				})
			})
		}
	}
	run(t, nil, func(b *harness) {
		for _, result := range []core.Result{{Code: 500}, {Code: 504}, {Code: 409}} {
			b.backend.send = func(context.Context, *core.Request, int) *core.Result { return &result }
			b.checkAnswered(b.Execute(b.Context(), once(b)))
		}
		b.backend.send = func(context.Context, *core.Request, int) *core.Result {
			return &core.Result{Written: true, Code: 503, Reason: schema.Reason_REASON_SHED}
		}
		b.checkNotRun(b.Execute(b.Context(), once(b)), schema.Reason_REASON_SHED)
	})
}
