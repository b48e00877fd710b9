// Package router implements the request path of a node: it routes a call by the configured rules, chooses an instance,
// sends the call to the guard of that instance, and retries, hedges or transfers it.
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
	// tickInterval is the interval of the periodic work in Run.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is assumed to have been paused.
	pauseThreshold = 500 * time.Millisecond
)

// Router implements core.Handler. It is safe for concurrent use.
type Router struct {
	self      *schema.Member
	snapshots core.Snapshots
	local     core.Executor
	transport core.Transport
	clock     core.Clock
	chooser   core.Chooser
	quota     core.Quota
	logger    *zap.Logger
	metrics   *metrics
	customers *customerMetrics
	done      chan struct{}

	// successes counts the successful calls without any irregularity, for log sampling.
	successes atomic.Uint64
	// retiring is set before the node stops. From then on no running call is aborted to be repeated at another
	// instance.
	retiring atomic.Bool
	// latestDeadline is the latest deadline of a call that is accepted while the node stops, or nil.
	latestDeadline atomic.Pointer[time.Time]

	tasksMu sync.Mutex
	stopped bool
	tasks   conc.WaitGroup

	splits  splits
	leaving *leaving
	table   atomic.Pointer[table]
	// documentBefore is the snapshot with the document before the one in force, or nil.
	documentBefore atomic.Pointer[core.Snapshot]
	mu             sync.Mutex
	viewsByName    map[string]*picker.View
	budgets        map[string]*budgets
	retryBudget    *schema.RetryBudget
	repeatShare    func(now time.Time) float64
	// withoutDepth reports that the wire format does not carry the nesting depth of calls.
	withoutDepth bool
}

// Option configures a Router.
type Option func(*options)

type options struct {
	logger     *zap.Logger
	registerer prometheus.Registerer
	chooser    core.Chooser
	quota      core.Quota

	retryBudget  *schema.RetryBudget
	repeatShare  func(now time.Time) float64
	withoutDepth bool
}

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithRegisterer sets the registerer of the router's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(o *options) { o.registerer = registerer }
}

// WithChooser replaces the default chooser, picker.ExpectedLatency.
func WithChooser(chooser core.Chooser) Option {
	return func(o *options) { o.chooser = chooser }
}

// New returns the router of the node that self describes. local is the guard of that node.
func New(self *schema.Member, snapshots core.Snapshots, local core.Executor, transport core.Transport, clock core.Clock, opts ...Option) *Router {
	o := &options{logger: zap.NewNop(), chooser: picker.NewExpectedLatency(nil)}
	for _, apply := range opts {
		apply(o)
	}
	r := &Router{
		self:        self,
		snapshots:   snapshots,
		local:       local,
		transport:   transport,
		clock:       clock,
		chooser:     o.chooser,
		quota:       o.quota,
		logger:      o.logger,
		metrics:     newMetrics(),
		customers:   newCustomerMetrics(),
		done:        make(chan struct{}),
		viewsByName: make(map[string]*picker.View),
		budgets:     make(map[string]*budgets),
		retryBudget: o.retryBudget,
		repeatShare: o.repeatShare,
		leaving:     newLeaving(o.chooser),

		withoutDepth: o.withoutDepth,
	}
	r.leaving.register(o.registerer, o.logger)
	r.metrics.register(o.registerer, o.logger, r.customers)
	return r
}

// Run performs the periodic work until ctx ends and then waits for cancelled hedges. The periodic work discards all
// load reports after the process was paused, and updates the baselines and hedging delays.
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

// DisableAbandon is called before the node stops. From then on each running call is left to finish at its instance instead of
// being aborted and repeated at another one.
func (r *Router) DisableAbandon() { r.retiring.Store(true) }

// RefuseAfter is called while the node stops. From then on a call is accepted only if its deadline is not after the latest
// one, because the node cannot wait longer for its answer. Nested calls are always accepted: they belong to a call that is
// already running.
func (r *Router) RefuseAfter(latest time.Time) { r.latestDeadline.Store(&latest) }

// endsInTime reports whether a new call can be answered before the node stops.
func (r *Router) endsInTime(input *core.Call, deadline time.Time) bool {
	latest := r.latestDeadline.Load()
	return latest == nil || input.Depth > 0 || !deadline.After(*latest)
}

// Done returns a channel that is closed when Run has returned.
func (r *Router) Done() <-chan struct{} { return r.done }

// HandleReport records a load report that a guard sent separately from a reply; hash is the core.InstanceHash of its
// instance.
func (r *Router) HandleReport(hash uint64, load core.LoadReport) {
	now := r.clock.Now()
	if v := r.current(now).viewsByHash[hash]; v != nil {
		v.SetReport(now, load)
	}
}

// tick runs the periodic work; gap is the time since the last tick.
func (r *Router) tick(now time.Time, gap time.Duration) {
	t := r.current(now)
	if gap > pauseThreshold {
		r.logger.Warn("process was paused; discarding load reports", zap.Duration("gap", gap))
		t.resetViews()
	}
	r.updateBalances(now, gap, t)
	for service, g := range t.groups {
		g.refresh(now, r.leaving)
		if state, shared := g.budgets.state(now); shared {
			r.metrics.recordBudget(service, state)
		}
		if g.settings.GetEntryAdmission() {
			shed, full := g.budgets.refusedShares(now)
			r.metrics.recordShares(service, shed, full)
		}
	}
}

// table is the routing state derived from one snapshot.
type table struct {
	snapshot *core.Snapshot
	groups   map[string]*group
	// viewsByHash holds the views by the core.InstanceHash of the instance name, which identifies the instance in load
	// reports.
	viewsByHash map[uint64]*picker.View
	// viewsByNeighbor holds the views by the core.NeighborHash.
	viewsByNeighbor map[uint32]*picker.View
	// nodesByDomain holds the number of nodes in each domain.
	nodesByDomain map[string]float64
}

// group holds the instances of one service. It does not change after it was built, except for the state of the views.
type group struct {
	settings   *schema.Service
	candidates []core.Candidate
	views      []*picker.View
	budgets    *budgets
	// meanTarget is the mean target latency of the rules that lead to the service, or 0 if none has a target.
	meanTarget time.Duration
	// offer is nil if calls leave the failure domain at a constant cost.
	offer *offer
}

// resetViews discards the load reports and failure rates of all instances.
func (t *table) resetViews() {
	for _, g := range t.groups {
		for _, v := range g.views {
			v.Reset()
		}
	}
}

// current returns the table of the current snapshot. Before the first snapshot, the snapshot of the table is nil.
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
		if t != nil && t.snapshot.Document() != snapshot.Document() {
			r.documentBefore.Store(t.snapshot)
		}
		t = r.build(now, snapshot)
		r.table.Store(t)
	}
	return t
}

// build returns the table of a snapshot. Views of instances that remain in the snapshot are kept.
func (r *Router) build(now time.Time, snapshot *core.Snapshot) *table {
	t := &table{snapshot: snapshot, groups: make(map[string]*group), viewsByHash: make(map[uint64]*picker.View), viewsByNeighbor: make(map[uint32]*picker.View)}
	if snapshot == nil {
		return t
	}
	for name, settings := range snapshot.Document().GetServices() {
		t.groups[name] = r.buildGroup(now, snapshot, name, settings)
	}
	for _, g := range t.groups {
		for _, v := range g.views {
			t.viewsByHash[core.InstanceHash(v.Instance().Name())] = v
			t.viewsByNeighbor[core.NeighborHash(v.Instance().Name())] = v
		}
	}
	t.nodesByDomain = nodesByDomain(snapshot)
	r.leaving.retain(snapshot)
	r.splits.retain(snapshot.Document().GetRules())
	maps.DeleteFunc(r.viewsByName, func(name string, _ *picker.View) bool { return snapshot.Instance(name) == nil })
	maps.DeleteFunc(r.budgets, func(name string, _ *budgets) bool { return snapshot.Service(name) == nil })
	return t
}

func (r *Router) buildGroup(now time.Time, snapshot *core.Snapshot, name string, settings *schema.Service) *group {
	g := &group{
		settings: settings, offer: r.leaving.offerOf(name),
		meanTarget: meanTarget(snapshot.Document().GetRules(), name),
	}
	for _, instance := range snapshot.Instances(name) {
		v := r.viewOf(now, snapshot, instance)
		g.views = append(g.views, v)
		g.candidates = append(g.candidates, v)
	}
	g.budgets = r.budgets[name]
	if g.budgets == nil {
		g.budgets = &budgets{}
		r.budgets[name] = g.budgets
	}
	g.budgets.configure(settings)
	g.budgets.share(now, r.retryBudget, snapshot.CountNodes())
	g.refresh(now, r.leaving)
	return g
}

// viewOf returns the view of an instance after updating it from the snapshot.
func (r *Router) viewOf(now time.Time, snapshot *core.Snapshot, instance *core.Instance) *picker.View {
	delay := snapshot.Delay(r.self.GetDomain(), instance.Domain())
	v := r.viewsByName[instance.Name()]
	if v == nil {
		v = picker.NewView(now, instance, delay)
		r.viewsByName[instance.Name()] = v
		return v
	}
	v.Update(instance, delay)
	return v
}

// refresh recomputes the baseline that is assumed for instances without a recent report, and the hedging delay.
func (g *group) refresh(now time.Time, l *leaving) {
	baseline := picker.NewBaseline(now, g.views, int(g.settings.GetColdLimit()))
	g.applyBalance(l, baseline)
	for _, v := range g.views {
		v.SetBaseline(baseline)
	}
	g.budgets.refresh(now)
}
