// Package node assembles one node from its components: guard, router, gossip with peers, load reports and listeners.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/beacon"
	"verbenareel/config"
	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/io"
	"verbenareel/meter"
	"verbenareel/native"
	"verbenareel/peers"
	"verbenareel/picker"
	"verbenareel/poison"
	"verbenareel/quota"
	"verbenareel/router"
	"verbenareel/schema"
	"verbenareel/ticket"
)

const (
	// suspectCapacity is the maximum number of entries in the table of suspects.
	suspectCapacity = 1024
	// suspectTTL is how long a suspect or poisoned request is kept in the table.
	suspectTTL = 10 * time.Minute
	// maxPushedSuspects is the maximum number of records in one push. The newest records come first, so the push
	// contains those of the crash that triggered it.
	maxPushedSuspects = 64
	// catchUpPollInterval is the interval at which waitUntilFresh checks whether the exchange has caught up after the
	// process was paused.
	catchUpPollInterval = 5 * time.Millisecond
	// adapterWatchTimeout is how long a watch on an adapter's platform may stay pending.
	adapterWatchTimeout = 15 * time.Second
	// adapterListInterval is the minimum time between two reads of the instance list through an adapter.
	adapterListInterval = 20 * time.Second
	// adapterEntryWait is how long a watch of the node's own entry may stay pending. It is below the 20 s for which the
	// platform keeps its history: other entries change meanwhile, and a watch that begins before the history does is refused.
	adapterEntryWait = 18 * time.Second
	// adapterStaleAge is the age of the last confirmation of the document at which a node reads it beside its watch.
	adapterStaleAge = 700 * time.Millisecond
	// adapterReaders is the number of nodes per failure domain that watch an adapter's platform.
	adapterReaders = 1
	// adapterBurst allows a new process to read the document, the list and the entry of its own instance at the same time.
	adapterBurst = 3
	// adapterStartSpread spreads the first reads of nodes that start at the same time.
	adapterStartSpread = 50 * time.Millisecond
)

// Node is a load balancer process that runs next to one backend server.
type Node struct {
	settings *schema.Settings
	// currentSettings holds the settings of the last reload. Components that need a restart keep using settings.
	currentSettings atomic.Pointer[schema.Settings]
	client          *native.Client
	self            *schema.Member
	clock           core.Clock
	logger          *zap.Logger
	registry        *prometheus.Registry
	guard           *guard.Guard
	router          *router.Router
	exchange        *peers.Exchange
	backend         *io.Backend
	transport       *io.Transport
	memory          *io.Memory
	server          *io.Server
	front           *io.Front
	status          *statusServer
	ready           *readinessServer
	beacon          *beacon.Beacon
	quota           *quota.Service
	meter           *meter.Meter
	chooser         core.Chooser
	adapter         core.Adapter
	shuttingDown    atomic.Bool
	done            chan struct{}
}

// Option configures a Node.
type Option func(*Node)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger *zap.Logger) Option {
	return func(n *Node) { n.logger = logger }
}

// WithClock sets the clock. The default is the system clock.
func WithClock(clock core.Clock) Option {
	return func(n *Node) { n.clock = clock }
}

// WithChooser replaces the router's chooser, for example to measure a baseline.
func WithChooser(chooser core.Chooser) Option {
	return func(n *Node) { n.chooser = chooser }
}

// WithAdapter makes the node use a platform with a different protocol. By default the node uses the HTTP protocol of
// package native.
func WithAdapter(adapter core.Adapter) Option {
	return func(n *Node) { n.adapter = adapter }
}

// New creates the components of a node and opens its listeners. Run starts the node.
func New(settings *schema.Settings, opts ...Option) (*Node, error) {
	n := &Node{
		settings: settings,
		clock:    clockwork.NewRealClock(),
		logger:   zap.NewNop(),
		registry: prometheus.NewRegistry(),
		done:     make(chan struct{}),
	}
	for _, o := range opts {
		o(n)
	}
	n.currentSettings.Store(settings)
	n.logger = n.logger.With(zap.String("node", settings.GetInstance()))
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.buildComponents()
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// newMember returns the node's own member record with a new incarnation.
func (n *Node) newMember() *schema.Member {
	state := schema.InstanceState_INSTANCE_STATE_SERVING
	if n.adapter != nil {
		// The backend server reports the instance name. Until then the node must not receive calls.
		state = schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE
	}
	return schema.Member_builder{
		Instance:    n.settings.GetInstance(),
		Service:     n.settings.GetService(),
		Domain:      n.settings.GetDomain(),
		Address:     cmp.Or(n.settings.GetAdvertiseAddress(), n.settings.GetRpcAddress()),
		Incarnation: rand.Uint64(),
		Version:     uint64(n.clock.Now().UnixMilli()),
		State:       state,
		LinkMbps:    uint32(n.settings.GetLinkMbps()),
	}.Build()
}

// buildComponents creates and connects the components that have no listener.
func (n *Node) buildComponents() {
	n.self = n.newMember()
	suspects := poison.New(suspectCapacity, suspectTTL)
	n.memory = callerMemory(n.settings.GetCallers())
	n.memory.Register(n.registry)
	n.meter = meter.New(n.settings.GetDomain(), func() *core.Snapshot { return n.exchange.Snapshot() }, n.registry)
	n.transport = io.NewTransport(n.clock, io.WithLogger(n.logger), io.WithRegisterer(n.registry), io.WithMeter(n.meter))
	n.backend = io.NewBackend(n.settings.GetBackendAddress(), io.WithLogger(n.logger), io.WithRegisterer(n.registry),
		io.WithWire(n.wire()), io.WithMemory(n.memory))
	n.exchange = peers.New(n.self, n.platform(), n.transport, n.clock, peers.WithSeeds(n.settings.GetSeeds()),
		peers.WithLogger(n.logger), peers.WithRegisterer(n.registry), peers.WithSuspects(suspects),
		peers.WithReadPolicy(n.reading()))
	store := ticket.New(n.settings.GetInstance(), n.self.GetIncarnation(), n.clock.Now())
	n.guard = guard.New(n.self, n.exchange, n.backend, store, n.clock, guard.WithLogger(n.logger),
		guard.WithRegisterer(n.registry), guard.WithSuspects(suspects), guard.WithRecheck(n.waitUntilFresh), guard.WithInstanceChange(n.exchange.SetInstanceName), guard.WithListRefresh(n.listRefresher()),
		guard.WithFirstProcess(n.exchange.FirstProcess),
		guard.WithReceiveWait(n.receiveWait),
		guard.WithSuspectPush(func(ctx context.Context, _ []uint64) {
			records := suspects.Records(n.clock.Now(), maxPushedSuspects)
			n.exchange.PushSuspects(ctx, n.settings.GetService(), records)
		}))
	n.quota = quota.New(n.self, n.settings.GetQuotaTolerance(), n.exchange, n.transport, n.clock, quota.WithLogger(n.logger),
		quota.WithRegisterer(n.registry))
	routerOptions := []router.Option{router.WithLogger(n.logger), router.WithRegisterer(n.registry), router.WithQuota(n.quota)}
	if n.chooser == nil && n.adapter != nil {
		n.chooser = newChooser(n.settings)
	}
	if n.chooser != nil {
		routerOptions = append(routerOptions, router.WithChooser(n.chooser))
	}
	if budget := n.settings.GetRetryBudget(); budget != nil {
		routerOptions = append(routerOptions, router.WithRetryBudget(budget, n.guard.RepeatShare))
	}
	if n.adapter != nil {
		routerOptions = append(routerOptions, router.WithoutDepth())
	}
	n.router = router.New(n.self, n.exchange, n.guard, n.transport, n.clock, routerOptions...)
}

// newChooser returns the chooser for instances that report their load many times a second.
func newChooser(settings *schema.Settings) core.Chooser {
	finish := picker.NewEarliestFinish(settings.GetDomain(), settings.GetRemoteCost(), nil)
	if settings.GetLeaveDomain() == config.LeaveByNeed {
		return picker.NewByNeed(finish)
	}
	return finish
}

// summaries returns the source of the summaries that cross failure domains, or nil if load reports do.
func (n *Node) summaries() beacon.Summaries {
	if _, ok := n.chooser.(core.NeedChooser); !ok {
		return nil
	}
	return n.router
}

// receiveWait returns the time until the bodies that are being transferred to this node have arrived.
func (n *Node) receiveWait() time.Duration {
	if n.server == nil {
		return 0
	}
	return n.server.ReceiveWait()
}

// listRefresher returns the function with which the guard requests a read of the platform's instance list, or nil if the
// list does not determine which instances exist.
func (n *Node) listRefresher() func() {
	if n.adapter == nil {
		return nil
	}
	return n.exchange.RequestListRead
}

// wire returns the wire format used with callers and the backend server.
func (n *Node) wire() *core.WireFormat {
	if n.adapter != nil {
		return n.adapter.Wire()
	}
	return core.NativeWire()
}

// reading returns how the node reads its platform. With an adapter, nodes of each failure domain watch the document
// directly and the instance list determines which instances exist. A guard requests the list when its backend server
// reports that it is draining.
func (n *Node) reading() peers.ReadPolicy {
	if n.adapter == nil {
		return peers.DefaultReadPolicy()
	}
	_, checks := n.adapter.(core.ChangeChecker)
	reading := peers.ReadPolicy{
		Parse:              n.adapter.Parse,
		WatchTimeout:       adapterWatchTimeout,
		ReadersPerDomain:   adapterReaders,
		MinListInterval:    adapterListInterval,
		ListAuthoritative:  true,
		ReadOwnEntry:       true,
		OwnEntryWait:       adapterEntryWait,
		MaxConfirmationAge: adapterStaleAge,
		CheckChanges:       checks,
		StartSpread:        adapterStartSpread,
		Burst:              adapterBurst,
		OutageGrace:        n.settings.GetListGrace().AsDuration(),
	}
	if restorable, ok := n.adapter.(core.Restorable); ok {
		reading.Merge, reading.RestoredAt = restorable.Merge, restorable.RestoredAt
		reading.AskPeers, reading.Settled = restorable.MayBeRestored, restorable.Settled
	}
	return reading
}

// platform returns the platform client, or nil if no platform is configured.
func (n *Node) platform() core.Platform {
	if n.adapter != nil {
		return n.adapter
	}
	if n.settings.GetPlatformUrl() == "" {
		return nil
	}
	n.client = native.New(n.settings.GetPlatformUrl(), n.clock)
	return n.client
}

// HTTPAddress returns the address of the HTTP listener for callers.
func (n *Node) HTTPAddress() string { return n.front.Addr() }

// RPCAddress returns the address of the RPC listener for other nodes.
func (n *Node) RPCAddress() string { return n.server.Addr() }

// StatusAddress returns the address of the listener for metrics and status.
func (n *Node) StatusAddress() string { return n.status.Addr() }

// Exchange returns the gossip component, which holds the configuration and the members.
func (n *Node) Exchange() *peers.Exchange { return n.exchange }

// Guard returns the guard of the local backend server.
func (n *Node) Guard() *guard.Guard { return n.guard }

// Registry returns the registry with the node's metrics.
func (n *Node) Registry() *prometheus.Registry { return n.registry }

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves until ctx is cancelled and then shuts down gracefully: requests in progress finish first. It returns early
// if a component fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	defer n.close()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	failures := make(chan error, 8)
	start := func(name string, run func(context.Context) error) {
		group.Go(func() {
			if err := run(running); err != nil && !errors.Is(err, context.Canceled) {
				failures <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	start("gossip with peers", n.exchange.Run)
	start("guard", n.guard.Run)
	start("router", n.router.Run)
	start("RPC server", n.server.Serve)
	start("HTTP server", n.front.Serve)
	start("status server", n.status.Serve)
	start("load reports", n.beacon.Run)
	start("quotas", n.quota.Run)
	if n.ready != nil {
		start("readiness server", n.ready.Serve)
	}
	n.logger.Info("node started", zap.String("http", n.HTTPAddress()), zap.String("rpc", n.RPCAddress()),
		zap.String("status", n.StatusAddress()))
	select {
	case <-ctx.Done():
		n.shutdown()
		return nil
	case err := <-failures:
		return err
	}
}

// documentLimits returns the limits of the document in force for callers, and whether that document is known to be the current one.
func (n *Node) documentLimits() (limits *schema.Limits, current bool) {
	mayBeOld := n.router.DocumentMayBeOld(n.clock.Now())
	snapshot := n.exchange.Snapshot()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Document().GetLimits(), !mayBeOld
}

// Ready reports whether the node serves callers, that is, it has a configuration and is not shutting down.
func (n *Node) Ready() bool { return n.exchange.Snapshot() != nil && !n.shuttingDown.Load() }

// waitUntilFresh waits until the exchange has caught up after the process was paused.
func (n *Node) waitUntilFresh(ctx context.Context) error {
	for !n.exchange.Fresh() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for configuration and member updates after a pause: %w", ctx.Err())
		case <-n.clock.After(catchUpPollInterval):
		}
	}
	return nil
}

// close releases the client connections opened by New. The listeners are closed by their servers.
func (n *Node) close() {
	if n.transport != nil {
		_ = n.transport.Close()
	}
	if n.backend != nil {
		_ = n.backend.Close()
	}
	if n.adapter != nil {
		n.adapter.Close()
	}
}
