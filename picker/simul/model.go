// Package simul simulates choosers with a small model of instances and routers in virtual time. It uses neither sockets
// nor the wall clock: an event loop delivers calls, replies and load reports in the order of their times, so that runs
// with the same seed give the same results. It is meant for comparing choosers, not for predicting the performance of a
// deployment.
package simul

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

// Parameters of the model.
const (
	instances   = 6
	domains     = 4
	slots       = 18
	coldLimit   = 2
	queueLength = 9
	callTimeout = time.Second
	maxSends    = 3
	retryRatio  = 0.1
	// retryBurst is the capacity of a router's token bucket for retries.
	retryBurst = 10
	// ewmaWeight is the weight of the newest call in the moving averages of a guard.
	ewmaWeight = 0.1
)

// Scenario describes one simulation.
type Scenario struct {
	Name string
	// Load is the arrival rate relative to the capacity of all instances.
	Load    float64
	Routers int
	// ServiceTime is the mean service time of an instance, and OneWay the one-way network delay between failure
	// domains.
	ServiceTime, OneWay time.Duration
	// ReportDelay is an additional delay of each load report.
	ReportDelay time.Duration
	// Warmup is excluded from the results; the fault starts at its end. Length is the time from the start to the last
	// arrival.
	Warmup, Length time.Duration
	// Fault injects a fault at the end of the warm-up.
	Fault func(*Run)
}

// Result holds the results for the calls that arrived after the warm-up.
type Result struct {
	Calls, Failed, Retries int
	Latency                *hdrhistogram.Histogram
	// sends counts the sends to each instance, in windows of 100 ms from the start.
	sends [][instances]int
}

const sendsWindow = 100 * time.Millisecond

// Share returns the share of all sends in the interval that went to the instance.
func (r *Result) Share(instance int, from, to time.Duration) float64 {
	count, all := 0, 0
	for _, window := range r.sends[from/sendsWindow : min(int(to/sendsWindow), len(r.sends))] {
		count += window[instance]
		for _, n := range window {
			all += n
		}
	}
	return float64(count) / float64(all)
}

func (r *Result) recordSend(instance int, since time.Duration) {
	window := int(since / sendsWindow)
	for len(r.sends) <= window {
		r.sends = append(r.sends, [instances]int{})
	}
	r.sends[window][instance]++
}

// String formats the latency percentiles in milliseconds, and failures and retries as a percentage of the calls.
func (r *Result) String() string {
	milliseconds := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	share := func(n int) float64 { return 100 * float64(n) / float64(r.Calls) }
	return fmt.Sprintf("p50 %6.1f  p99 %6.1f  p99.9 %6.1f  failed %6.3f%%  retries %6.3f%%",
		milliseconds(50), milliseconds(99), milliseconds(99.9), share(r.Failed), share(r.Retries))
}

// Run is a running simulation of a scenario.
type Run struct {
	scenario Scenario
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   events
	guards   []*guard
	routers  []*router
	revision uint64
	result   *Result
}

// Simulate runs the scenario; build returns the chooser of one router.
func Simulate(s Scenario, seed uint64, build func(picker.Source) core.Chooser) *Result {
	r := &Run{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, 1)),
		start:    time.Unix(0, 0),
		result:   &Result{Latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)},
	}
	r.now = r.start
	for range instances {
		r.guards = append(r.guards, newGuard(r))
	}
	for i := range s.Routers {
		r.routers = append(r.routers, newRouter(r, i, build(r.random.Uint64)))
	}
	if s.Fault != nil {
		r.After(s.Warmup, func() { s.Fault(r) })
	}
	r.After(0, r.arrive)
	r.After(0, r.tick)
	r.loop()
	return r.result
}

func (r *Run) loop() {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// After schedules f to run after d.
func (r *Run) After(d time.Duration, f func()) {
	heap.Push(&r.events, event{at: r.now.Add(d), order: r.random.Uint32(), run: f})
}

func (r *Run) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

// arrive starts one call at a random router and schedules the next arrival.
func (r *Run) arrive() {
	since := r.now.Sub(r.start)
	if since > r.scenario.Length {
		return
	}
	measured := since > r.scenario.Warmup
	if measured {
		r.result.Calls++
	}
	c := &call{router: r.routers[r.random.IntN(len(r.routers))], begin: r.now, measured: measured}
	c.send()
	interval := float64(r.scenario.ServiceTime) / (instances * slots * r.scenario.Load)
	r.After(r.exponential(time.Duration(interval)), r.arrive)
}

// tick updates the baselines of the views, as the tick of the real router does.
func (r *Run) tick() {
	if r.now.Sub(r.start) > r.scenario.Length {
		return
	}
	for _, o := range r.routers {
		baseline := picker.NewBaseline(r.now, o.views, coldLimit)
		for _, v := range o.views {
			v.SetBaseline(baseline)
		}
	}
	r.After(100*time.Millisecond, r.tick)
}

// Slow multiplies the service time of an instance by factor.
func (r *Run) Slow(instance int, factor float64) { r.guards[instance].factor = factor }

// FailFast makes an instance answer each call immediately with an error.
func (r *Run) FailFast(instance int) { r.guards[instance].failing = true }

// Recover reverts Slow and FailFast.
func (r *Run) Recover(instance int) {
	r.guards[instance].factor = 1
	r.guards[instance].failing = false
}

// Leave takes an instance out of service.
func (r *Run) Leave(instance int) {
	r.setState(instance, schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE)
}

// Return puts an instance back in service. Its limit rises from the cold limit to all slots within warm.
func (r *Run) Return(instance int, warm time.Duration) {
	g := r.guards[instance]
	g.returned = r.now
	g.warm = warm
	r.setState(instance, schema.InstanceState_INSTANCE_STATE_SERVING)
}

// setState changes the state at the guard at once, and at each router after a random delay of up to a second.
func (r *Run) setState(instance int, state schema.InstanceState) {
	g := r.guards[instance]
	g.state = state
	r.revision++
	revision := r.revision
	g.revision = revision
	record := newInstance(instance, state)
	for _, o := range r.routers {
		r.After(time.Duration(r.random.Int64N(int64(time.Second))), func() {
			o.revision = max(o.revision, revision)
			o.views[instance].Update(record, o.views[instance].Delay())
		})
	}
}

func newInstance(index int, state schema.InstanceState) *core.Instance {
	return core.NewInstance(schema.Member_builder{
		Instance:    fmt.Sprintf("instance-%d", index),
		Domain:      fmt.Sprintf("domain-%d", index%domains),
		Incarnation: uint64(index + 1),
	}.Build(), state)
}

// guard models the guard of an instance and its backend server.
type guard struct {
	run      *Run
	state    schema.InstanceState
	revision uint64
	factor   float64
	failing  bool
	returned time.Time
	warm     time.Duration
	inFlight int
	queue    []func()
	latency  float64
	failures float64
}

func newGuard(r *Run) *guard {
	return &guard{run: r, state: schema.InstanceState_INSTANCE_STATE_SERVING, factor: 1, latency: float64(r.scenario.ServiceTime)}
}

// limit returns the current concurrency limit, which rises over time after a return.
func (g *guard) limit() int {
	if g.warm == 0 {
		return slots
	}
	share := float64(g.run.now.Sub(g.returned)) / float64(g.warm)
	return min(slots, coldLimit+int(share*(slots-coldLimit)))
}

func (g *guard) report() core.LoadReport {
	return core.LoadReport{
		InFlight:    g.inFlight,
		Queued:      len(g.queue),
		Limit:       g.limit(),
		Latency:     time.Duration(g.latency),
		FailureRate: math.Round(g.failures*1000) / 1000,
		State:       g.state,
		Revision:    g.revision,
	}
}

// execute runs, queues or refuses a call, and passes the outcome to reply.
func (g *guard) execute(reply func(outcome)) {
	switch {
	case g.state >= schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE:
		reply(refused)
	case g.inFlight < g.limit():
		g.begin(reply)
	case len(g.queue) < queueLength:
		g.queue = append(g.queue, func() { g.begin(reply) })
	default:
		reply(refused)
	}
}

func (g *guard) begin(reply func(outcome)) {
	g.inFlight++
	// The sum of two exponential stages has a lower variance than a single one, as the service times of most servers
	// do.
	stage := time.Duration(float64(g.run.scenario.ServiceTime) * g.factor / 2)
	took := g.run.exponential(stage) + g.run.exponential(stage)
	if g.failing {
		took = 100 * time.Microsecond
	}
	g.run.After(took, func() { g.finish(took, reply) })
}

func (g *guard) finish(took time.Duration, reply func(outcome)) {
	g.inFlight--
	g.latency += ewmaWeight * (float64(took) - g.latency)
	failed, o := 0.0, answered
	if g.failing {
		failed, o = 1, crashed
	}
	g.failures += ewmaWeight * (failed - g.failures)
	for len(g.queue) > 0 && g.inFlight < g.limit() {
		next := g.queue[0]
		g.queue = g.queue[1:]
		next()
	}
	reply(o)
}

// outcome is the result of one attempt.
type outcome int

const (
	answered outcome = iota
	crashed
	refused
)

// router models a router, which chooses instances for the calls that arrive at its node.
type router struct {
	run        *Run
	chooser    core.Chooser
	views      []*picker.View
	candidates []core.Candidate
	revision   uint64
	tokens     float64
}

func newRouter(r *Run, index int, chooser core.Chooser) *router {
	o := &router{run: r, chooser: chooser}
	for i := range instances {
		delay := 2 * r.scenario.OneWay
		if i%domains == index%domains {
			delay = 0
		}
		v := picker.NewView(r.now, newInstance(i, schema.InstanceState_INSTANCE_STATE_SERVING), delay)
		o.views = append(o.views, v)
		o.candidates = append(o.candidates, v)
	}
	return o
}

// call is the call of a caller, with all its attempts.
type call struct {
	router   *router
	begin    time.Time
	measured bool
	sends    int
	tried    [instances]bool
}

// send sends the call to an instance that it has not been sent to yet.
func (c *call) send() {
	o := c.router
	r := o.run
	i := o.chooser.Choose(r.now, o.candidates, func(i int) bool {
		return c.tried[i] || !o.views[i].Eligible(r.now, o.revision)
	})
	if i < 0 {
		c.end(false)
		return
	}
	r.result.recordSend(i, r.now.Sub(r.start))
	c.sends++
	c.tried[i] = true
	v, g := o.views[i], r.guards[i]
	pending := v.Begin(r.now)
	r.After(v.Delay()/2, func() {
		g.execute(func(result outcome) {
			load := g.report()
			r.After(v.Delay()/2, func() { c.receive(v, pending, load, result) })
		})
	})
}

// receive handles the reply to an attempt.
func (c *call) receive(v *picker.View, pending *picker.PendingCall, load core.LoadReport, result outcome) {
	r := c.router.run
	v.End(r.now, pending, result == crashed)
	if r.scenario.ReportDelay == 0 {
		v.SetReport(r.now, load)
	} else {
		r.After(r.scenario.ReportDelay, func() { v.SetReport(r.now, load) })
	}
	c.router.tokens = min(c.router.tokens+retryRatio, retryBurst)
	switch {
	case result == answered:
		c.end(r.now.Sub(c.begin) <= callTimeout)
	case c.sends >= maxSends || c.router.tokens < 1:
		c.end(false)
	default:
		c.router.tokens--
		if c.measured {
			r.result.Retries++
		}
		c.send()
	}
}

// end records the outcome of the call if it is measured.
func (c *call) end(succeeded bool) {
	if !c.measured {
		return
	}
	r := c.router.run
	if !succeeded {
		r.result.Failed++
		return
	}
	_ = r.result.Latency.RecordValue(r.now.Sub(c.begin).Microseconds())
}

// event is scheduled for a time; events with equal times run in a random but reproducible order.
type event struct {
	at    time.Time
	order uint32
	run   func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Scenarios returns the scenarios for comparing choosers at the given load. Faults start after a warm-up of 1 s.
func Scenarios(load float64, length time.Duration) []Scenario {
	const warmup = time.Second
	base := Scenario{
		Load:        load,
		Routers:     14,
		ServiceTime: 20 * time.Millisecond,
		OneWay:      500 * time.Microsecond,
		Warmup:      warmup,
		Length:      warmup + length,
	}
	with := func(name string, edit func(*Scenario)) Scenario {
		s := base
		s.Name = name
		edit(&s)
		return s
	}
	return []Scenario{
		with("steady", func(*Scenario) {}),
		with("steady, 200 routers", func(s *Scenario) { s.Routers = 200 }),
		with("short calls, far domains", func(s *Scenario) {
			s.ServiceTime = 5 * time.Millisecond
			s.OneWay = 1500 * time.Microsecond
		}),
		with("straggler of 10x", func(s *Scenario) { s.Fault = func(r *Run) { r.Slow(1, 10) } }),
		with("straggler, 200 routers", func(s *Scenario) {
			s.Routers = 200
			s.Fault = func(r *Run) { r.Slow(1, 10) }
		}),
		with("straggler, 2 routers", func(s *Scenario) {
			s.Routers = 2
			s.Fault = func(r *Run) { r.Slow(1, 10) }
		}),
		with("fail-fast", func(s *Scenario) { s.Fault = func(r *Run) { r.FailFast(1) } }),
		with("reports 1 s old", func(s *Scenario) { s.ReportDelay = time.Second }),
		with("straggler, reports 1 s old", func(s *Scenario) {
			s.ReportDelay = time.Second
			s.Fault = func(r *Run) { r.Slow(1, 10) }
		}),
		with("domain leaves, returns cold", func(s *Scenario) {
			s.Load = 0.7
			s.Fault = func(r *Run) {
				r.Leave(2)
				r.After(length/4, func() { r.Return(2, length/4) })
			}
		}),
	}
}
