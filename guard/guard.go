// Package guard controls all access to one backend server. It combines admission control, the concurrency limit,
// tickets and suspect tracking with the backend client, and measures the backend server.
package guard

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/limit"
	"verbenareel/schema"
)

// Guard implements core.Executor.
type Guard struct {
	// self is the member record of the instance. It changes when a different backend server starts at the same
	// address.
	self             atomic.Pointer[schema.Member]
	onInstanceChange func(instance string)
	refreshList      func()
	receiveWait      func() time.Duration
	firstProcess     func(instance string) bool
	snapshots        core.Snapshots
	backend          core.Backend
	clock            core.Clock
	logger           *zap.Logger
	suspects         core.SuspectTable
	push             func(ctx context.Context, fingerprints []uint64)
	recheck          func(ctx context.Context) error
	registry         prometheus.Registerer
	metrics          *metrics
	epoch            time.Time
	done             chan struct{}
	goroutines       conc.WaitGroup
	// lastTick is the time of the last tick in nanoseconds since epoch.
	lastTick atomic.Int64

	storeMu sync.Mutex
	store   core.OutcomeStore

	// mu protects the fields below. Lock order: storeMu may be locked while mu is held, but mu must not be locked
	// while storeMu is held.
	mu         sync.Mutex
	controller *admit.Controller
	limiter    core.Limiter
	server     server
	crash      crash
	// coldRate is the highest number of calls per second sent to a cold backend server; 0 means no bound.
	coldRate float64
	// coldBound is the number of calls per second that a cold backend server can handle, and warmTime is how long a
	// cold start lasts.
	coldBound float64
	warmTime  time.Duration
	running   []*call
	// unsettled is the number of calls that have no outcome yet.
	unsettled int
	// applied is the snapshot whose settings are in force.
	applied    *core.Snapshot
	ineligible schema.Reason
	// draining is true once Drain was called; drained is closed once the last call has ended after that.
	draining bool
	drained  chan struct{}
	// lastOffer is when the last call was offered.
	lastOffer time.Time
	// attempts holds the queued and running calls by their attempt number.
	attempts     map[uint64]*call
	cancelled    cancelledAttempts
	pause        pause
	probes       probes
	pace         pace
	serviceTimes serviceTimes
	knee         knee
	repeats      repeats
	// slots is the concurrency limit that the backend server last reported.
	slots int
	// pacePolling is true while pollPace runs.
	pacePolling bool
}

// Option configures a Guard.
type Option func(*Guard)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(logger *zap.Logger) Option { return func(g *Guard) { g.logger = logger } }

// WithRegisterer sets the registry for the metrics of the guard; by default they are not exported.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(g *Guard) { g.registry = registerer }
}

// WithSuspects sets the table of suspects. By default no request is treated as a suspect.
func WithSuspects(table core.SuspectTable) Option { return func(g *Guard) { g.suspects = table } }

// WithSuspectPush sets the function that sends suspects to the other instances of the service and returns once they
// have acknowledged. Replies to calls that were in flight during a crash wait for it, for at most 200 ms.
func WithSuspectPush(push func(ctx context.Context, fingerprints []uint64)) Option {
	return func(g *Guard) { g.push = push }
}

// WithRecheck sets a function that refreshes the snapshot after the process was paused. It returns nil once another
// process has confirmed the snapshot. Without it, the latest snapshot counts as up to date.
func WithRecheck(recheck func(ctx context.Context) error) Option {
	return func(g *Guard) { g.recheck = recheck }
}

// WithInstanceChange sets the function that is called with the new instance name when the backend server reports a name
// other than the current one.
func WithInstanceChange(onInstanceChange func(instance string)) Option {
	return func(g *Guard) { g.onInstanceChange = onInstanceChange }
}

// WithListRefresh sets the function that requests a read of the platform's instance list. With it, the list decides
// whether a backend server that reports itself as draining is leaving; by default the report of the backend server
// decides.
func WithListRefresh(check func()) Option { return func(g *Guard) { g.refreshList = check } }

// WithFirstProcess sets the function that reports whether certainly no earlier process sent calls to the backend server of the
// instance. By default an earlier process may have.
func WithFirstProcess(firstProcess func(instance string) bool) Option {
	return func(g *Guard) { g.firstProcess = firstProcess }
}

// WithReceiveWait sets the function that returns the time until the bodies on their way to the node have arrived, for load
// reports.
func WithReceiveWait(wait func() time.Duration) Option {
	return func(g *Guard) { g.receiveWait = wait }
}

// WithLimiter replaces the adaptive limiter.
func WithLimiter(limiter core.Limiter) Option { return func(g *Guard) { g.limiter = limiter } }

// New returns the guard for the backend server of self. The concurrency limit starts at the cold limit.
func New(self *schema.Member, snapshots core.Snapshots, backend core.Backend, store core.OutcomeStore, clock core.Clock, opts ...Option) *Guard {
	g := &Guard{
		snapshots:        snapshots,
		onInstanceChange: func(string) {},
		receiveWait:      func() time.Duration { return 0 },
		firstProcess:     func(string) bool { return false },
		backend:          backend,
		clock:            clock,
		store:            store,
		logger:           zap.NewNop(),
		suspects:         noSuspects{},
		registry:         prometheus.NewRegistry(),
		epoch:            clock.Now(),
		done:             make(chan struct{}),
		attempts:         make(map[uint64]*call),
	}
	g.self.Store(self)
	g.limiter = limit.NewAdaptive(g.epoch, limit.Bounds{})
	for _, o := range opts {
		o(g)
	}
	g.controller = admit.New(g.limiter, 0)
	g.controller.SetGate(g.pace.allowsStart)
	g.holdAfterRestart()
	g.lastOffer = g.epoch
	g.ineligible = ineligible(self, nil)
	g.metrics = newMetrics(g)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(g.epoch)
	return g
}

// noSuspects is the default table of suspects; it is always empty.
type noSuspects struct{}

func (noSuspects) Crashes(time.Time, uint64) int    { return 0 }
func (noSuspects) Record(time.Time, []uint64, bool) {}
func (noSuspects) Known(time.Time, uint64) bool     { return false }
func (noSuspects) Clear(time.Time, uint64)          {}

// Done is closed when Run has returned.
func (g *Guard) Done() <-chan struct{} { return g.done }

// Load returns the guard's measurement of its backend server.
func (g *Guard) Load() core.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.clock.Now())
}

func (g *Guard) load(now time.Time) core.LoadReport {
	limit := 0
	if g.controller.Closed() == schema.Reason_REASON_NONE {
		limit = g.limiter.Limit(now)
	}
	rate, left := g.controller.StartsLeft(now)
	return core.LoadReport{
		StartRate:   rate,
		StartsLeft:  left,
		ReceiveWait: g.receiveWait(),
		InFlight:    g.controller.InFlight(),
		Queued:      g.controller.Queued(),
		Limit:       limit,
		Latency:     g.server.latency,
		FailureRate: g.server.failures,
		State:       g.state(now),
		Revision:    g.revision(),
		Incarnation: g.member().GetIncarnation(),
		Pace:        float64(g.pace.percent) / nominalPace,
		BasePace:    float64(g.pace.base()) / nominalPace,
	}
}

// member returns the current member record of the instance.
func (g *Guard) member() *schema.Member { return g.self.Load() }

// Instance returns the name of the instance.
func (g *Guard) Instance() string { return g.member().GetInstance() }

func (g *Guard) revision() uint64 {
	if g.applied == nil {
		return 0
	}
	return g.applied.Revision()
}

// state returns the state that the guard reports to routers. Temporary conditions, which end without an operator's
// action, are reported as cold with a limit of 0.
func (g *Guard) state(now time.Time) schema.InstanceState {
	switch g.controller.Closed() {
	case schema.Reason_REASON_NONE:
	case schema.Reason_REASON_LEAVING:
		return schema.InstanceState_INSTANCE_STATE_LEAVING
	case schema.Reason_REASON_OUT_OF_SERVICE:
		return schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE
	default:
		return schema.InstanceState_INSTANCE_STATE_COLD
	}
	if !g.rampEnded(now) || g.coldRateApplies() {
		return schema.InstanceState_INSTANCE_STATE_COLD
	}
	return schema.InstanceState_INSTANCE_STATE_SERVING
}

// Drain refuses new and queued calls as NotRun(leaving) and waits for running calls to finish. It returns an error if
// ctx ends first.
func (g *Guard) Drain(ctx context.Context) error {
	drained := g.beginDrain()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain ended with %d calls in flight: %w", g.Load().InFlight, ctx.Err())
	}
}

// beginDrain stops the guard from accepting new calls. The returned channel is closed once no call is running.
func (g *Guard) beginDrain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	g.refresh(g.clock.Now())
	g.checkIdle()
	return g.drained
}

// checkIdle signals Drain once no call is running and every call has its outcome.
func (g *Guard) checkIdle() {
	if !g.draining || g.controller.InFlight() > 0 || g.unsettled > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// refresh applies the latest snapshot and opens or closes admission accordingly. It is called before each decision to
// start a call.
func (g *Guard) refresh(now time.Time) {
	if snapshot := g.snapshots.Snapshot(); snapshot != g.applied {
		g.apply(snapshot)
	}
	g.controller.SetRate(g.coldRate)
	g.controller.SetWarm(g.server.coldState.warmAt, g.server.coldState.confirmed)
	reason := g.closedReason(now)
	switch closed := g.controller.Closed(); {
	case reason == closed:
	case reason != schema.Reason_REASON_NONE:
		g.logger.Info("refusing new work", zap.String("reason", core.ReasonName(reason)))
		g.handle(now, g.controller.Close(reason))
	default:
		g.logger.Info("accepting work", zap.String("after", core.ReasonName(closed)))
		g.limiter.ResetToCold(now)
		g.controller.Open()
	}
}

// apply applies the settings of the service from a snapshot.
func (g *Guard) apply(snapshot *core.Snapshot) {
	g.applied = snapshot
	g.ineligible = ineligible(g.member(), snapshot)
	service := snapshot.Service(g.member().GetService())
	if service == nil {
		return
	}
	g.controller.SetCapacity(int(service.GetQueue()))
	g.controller.SetWeights(snapshot.CustomerRates())
	g.probes.configure(service.GetProbesPerSecond(), float64(service.GetProbeBurst()), snapshot.ReportInterval(service.GetReportAge().AsDuration()))
	g.coldRate, g.coldBound, g.warmTime = coldRate(service), coldBound(service), service.GetWarmTime().AsDuration()
	if service.GetConnections() > 0 && service.GetMaxBody() > 0 {
		g.backend.Configure(int(service.GetConnections()), int(service.GetMaxBody()), service.GetProbePath())
	}
	g.storeMu.Lock()
	g.store.Configure(service.GetTicketLife().AsDuration(), service.GetOutcomeLife().AsDuration())
	g.storeMu.Unlock()
	if a, ok := g.limiter.(*limit.Adaptive); ok {
		a.Configure(limit.Bounds{
			Cold:     int(service.GetColdLimit()),
			Slots:    int(service.GetSlots()),
			WarmTime: service.GetWarmTime().AsDuration(),
			Fixed:    service.GetFixedLimit(),
		})
	}
}

// closedReason returns the reason for which the guard accepts no calls, or REASON_NONE.
func (g *Guard) closedReason(now time.Time) schema.Reason {
	switch {
	case g.draining || now.Before(g.server.drainingUntil) && !g.listOverridesDraining():
		return schema.Reason_REASON_LEAVING
	case g.ineligible != schema.Reason_REASON_NONE:
		return g.ineligible
	case g.pause.failed:
		return schema.Reason_REASON_PAUSED
	case g.server.down:
		return schema.Reason_REASON_CONNECT
	}
	return schema.Reason_REASON_NONE
}

// listOverridesDraining reports whether the platform's list still shows the backend server as serving in a read made
// after the backend server first reported that it is draining. The list is more reliable than a health check.
func (g *Guard) listOverridesDraining() bool {
	if g.refreshList == nil || g.applied == nil || g.server.drainingSince.IsZero() {
		return false
	}
	instance := g.applied.Instance(g.member().GetInstance())
	return instance.Eligible() && g.applied.ListTime().After(g.server.drainingSince.Add(listPropagationDelay))
}

// ineligible returns the reason for which a snapshot excludes the instance from new calls, or REASON_NONE.
func ineligible(self *schema.Member, snapshot *core.Snapshot) schema.Reason {
	if snapshot == nil || snapshot.Service(self.GetService()) == nil {
		return schema.Reason_REASON_NO_CONFIGURATION
	}
	if instance := snapshot.Instance(self.GetInstance()); instance != nil {
		if instance.State() >= schema.InstanceState_INSTANCE_STATE_LEAVING {
			return schema.Reason_REASON_LEAVING
		}
		if !instance.Eligible() {
			return schema.Reason_REASON_OUT_OF_SERVICE
		}
	}
	if core.OutOfService(snapshot.Document(), self.GetInstance(), self.GetDomain()) {
		return schema.Reason_REASON_OUT_OF_SERVICE
	}
	return schema.Reason_REASON_NONE
}
