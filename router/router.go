// Package router is the call loop of a node: it routes a call by the rules in force, chooses an instance, sends the call
// to that instance's guard, and retries, hedges or transfers it.
package router

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

const (
	// tickInterval is the time between two ticks of Run.
	tickInterval = 100 * time.Millisecond
	// pauseGap is the time between two ticks that shows that the process was paused.
	pauseGap = 500 * time.Millisecond
)

// Router implements core.Handler. It is safe for concurrent use.
type Router struct {
	self      *schema.Member
	snapshots core.Snapshots
	local     core.Executor
	transport core.Transport
	clock     core.Clock
	chooser   core.Chooser
	logger    *zap.Logger
	metrics   *metrics
	done      chan struct{}

	// sampled counts the calls that were answered well, for their share in the log.
	sampled atomic.Uint64
	// retiring tells that the node is about to stop: no run is broken off any more to be repeated elsewhere.
	retiring atomic.Bool

	spawning sync.Mutex
	stopped  bool
	tasks    conc.WaitGroup

	splits splits
	table  atomic.Pointer[table]
	mu     sync.Mutex
	views  map[string]*picker.View
	usages map[string]*usage
}

// Option configures a Router.
type Option func(*options)

type options struct {
	logger     *zap.Logger
	registerer prometheus.Registerer
	chooser    core.Chooser
}

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithRegisterer registers the metrics of the router.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(o *options) { o.registerer = registerer }
}

// WithChooser replaces the chooser, which is picker.Expected by default.
func WithChooser(chooser core.Chooser) Option {
	return func(o *options) { o.chooser = chooser }
}

// New returns the router of the node that self describes. local is the guard of the same node.
func New(self *schema.Member, snapshots core.Snapshots, local core.Executor, transport core.Transport, clock core.Clock, opts ...Option) *Router {
	o := &options{logger: zap.NewNop(), chooser: picker.NewExpected(nil)}
	for _, apply := range opts {
		apply(o)
	}
	r := &Router{
		self:      self,
		snapshots: snapshots,
		local:     local,
		transport: transport,
		clock:     clock,
		chooser:   o.chooser,
		logger:    o.logger,
		metrics:   newMetrics(),
		done:      make(chan struct{}),
		views:     make(map[string]*picker.View),
		usages:    make(map[string]*usage),
	}
	r.metrics.register(o.registerer, o.logger)
	return r
}

// Run ticks until ctx ends and then waits for cancelled hedges. It discards the view of load after a pause of the
// process and keeps the neutral values and the hedging delay current.
func (r *Router) Run(ctx context.Context) error {
	defer r.stop()
	last := r.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.clock.After(tickInterval):
		}
		now := r.clock.Now()
		r.tick(now, now.Sub(last))
		last = now
	}
}

// Retire makes the router see each call through at the instance that runs it, since the node is about to stop.
func (r *Router) Retire() { r.retiring.Store(true) }

// Done is closed when Run has returned.
func (r *Router) Done() <-chan struct{} { return r.done }

// Report takes a load report that a guard sent by itself; hash is core.InstanceHash of its instance.
func (r *Router) Report(hash uint64, load core.LoadReport) {
	now := r.clock.Now()
	if v := r.current(now).hashes[hash]; v != nil {
		v.Receive(now, load)
	}
}

// tick runs the periodic work; gap is the time since the last tick.
func (r *Router) tick(now time.Time, gap time.Duration) {
	t := r.current(now)
	if gap > pauseGap {
		r.logger.Warn("process was paused; discarding the view of load", zap.Duration("gap", gap))
		t.drop()
	}
	for _, g := range t.groups {
		g.refresh(now)
	}
}

// table is what the router derives from one snapshot.
type table struct {
	snapshot *core.Snapshot
	groups   map[string]*group
	// hashes holds the views by the hash of their name, as load reports give it.
	hashes map[uint64]*picker.View
}

// group holds the instances of one service. Only the views change.
type group struct {
	settings   *schema.Service
	candidates []core.Candidate
	views      []*picker.View
	usage      *usage
}

// drop discards what is known of the load of each instance.
func (t *table) drop() {
	for _, g := range t.groups {
		for _, v := range g.views {
			v.Drop()
		}
	}
}

// current returns the table of the snapshot in force. Its snapshot is nil before the first one.
func (r *Router) current(now time.Time) *table {
	t := r.table.Load()
	if t != nil && t.snapshot == r.snapshots.Snapshot() {
		return t
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.snapshots.Snapshot()
	t = r.table.Load()
	if t == nil || t.snapshot != snapshot {
		t = r.build(now, snapshot)
		r.table.Store(t)
	}
	return t
}

// build returns the table of a snapshot. Views of instances that the snapshot still holds are kept.
func (r *Router) build(now time.Time, snapshot *core.Snapshot) *table {
	t := &table{snapshot: snapshot, groups: make(map[string]*group), hashes: make(map[uint64]*picker.View)}
	if snapshot == nil {
		return t
	}
	for name, settings := range snapshot.Document().GetServices() {
		t.groups[name] = r.buildGroup(now, snapshot, name, settings)
	}
	for _, g := range t.groups {
		for _, v := range g.views {
			t.hashes[core.InstanceHash(v.Instance().Name())] = v
		}
	}
	r.splits.keep(snapshot.Document().GetRules())
	maps.DeleteFunc(r.views, func(name string, _ *picker.View) bool { return snapshot.Instance(name) == nil })
	maps.DeleteFunc(r.usages, func(name string, _ *usage) bool { return snapshot.Service(name) == nil })
	return t
}

func (r *Router) buildGroup(now time.Time, snapshot *core.Snapshot, name string, settings *schema.Service) *group {
	g := &group{settings: settings}
	for _, instance := range snapshot.Instances(name) {
		v := r.viewOf(now, snapshot, instance)
		g.views = append(g.views, v)
		g.candidates = append(g.candidates, v)
	}
	g.usage = r.usages[name]
	if g.usage == nil {
		g.usage = &usage{}
		r.usages[name] = g.usage
	}
	g.usage.configure(settings)
	g.refresh(now)
	return g
}

// viewOf returns the view of an instance, updated to the snapshot.
func (r *Router) viewOf(now time.Time, snapshot *core.Snapshot, instance *core.Instance) *picker.View {
	delay := snapshot.Delay(r.self.GetDomain(), instance.Domain())
	v := r.views[instance.Name()]
	if v == nil {
		v = picker.NewView(now, instance, delay)
		r.views[instance.Name()] = v
		return v
	}
	v.Update(instance, delay)
	return v
}

// refresh recomputes what is assumed of instances without a recent report, from those that have one.
func (g *group) refresh(now time.Time) {
	neutral := picker.Average(now, g.views, int(g.settings.GetColdLimit()))
	for _, v := range g.views {
		v.SetNeutral(neutral)
	}
	g.usage.refresh(now)
}
