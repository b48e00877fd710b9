// Package node joins the parts of one node: guard, router, exchange with peers, and the listeners.
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
	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/io"
	"verbenareel/peers"
	"verbenareel/picker"
	"verbenareel/plat"
	"verbenareel/poison"
	"verbenareel/router"
	"verbenareel/schema"
	"verbenareel/ticket"
)

const (
	// suspectCapacity bounds the table of suspect requests.
	suspectCapacity = 1024
	// suspectLife is the time for which a suspect or refused request is remembered.
	suspectLife = 10 * time.Minute
	// pushedSuspects bounds the records in one push; the latest come first, so those of a new crash are among them.
	pushedSuspects = 64
	// freshInterval is the time between two looks at whether the exchange has caught up after a pause.
	freshInterval = 5 * time.Millisecond
	// adapterWatch is the time for which a watch of an adapter's platform may stay pending, adapterList the time between two
	// reads of its list.
	adapterWatch = 15 * time.Second
	adapterList  = 20 * time.Second
	// adapterStale is the age of the last confirmation of the document at which a node reads it beside its watch.
	adapterStale = 700 * time.Millisecond
	// adapterReaders is the number of nodes of a failure domain that watch an adapter's platform.
	adapterReaders = 1
	// adapterBurst lets a new process read the document and the list together.
	adapterBurst = 2
	// adapterSpread spreads the first reads of nodes that start together.
	adapterSpread = 50 * time.Millisecond
	// retireTime is how long a node that shuts down goes on serving, until callers have noticed that it is not ready.
	retireTime = 2500 * time.Millisecond
	// limitsInterval is the time between two looks at the limits of the document.
	limitsInterval = 100 * time.Millisecond
	// defaultDrainTimeout bounds a graceful shutdown if the settings give no time.
	defaultDrainTimeout = 30 * time.Second
)

// Node is one process of the system, beside one backend server.
type Node struct {
	settings *schema.Settings
	// current are the settings of the last reload.
	current   atomic.Pointer[schema.Settings]
	client    *plat.Client
	self      *schema.Member
	clock     core.Clock
	logger    *zap.Logger
	registry  *prometheus.Registry
	guard     *guard.Guard
	router    *router.Router
	exchange  *peers.Exchange
	backend   *io.Backend
	transport *io.Transport
	server    *io.Server
	front     *io.Front
	status    *status
	ready     *ready
	beacon    *beacon.Beacon
	chooser   core.Chooser
	adapter   core.Adapter
	leaving   atomic.Bool
	done      chan struct{}
}

// Option changes a Node at its creation.
type Option func(*Node)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return func(n *Node) { n.logger = logger }
}

// WithClock sets the clock.
func WithClock(clock core.Clock) Option {
	return func(n *Node) { n.clock = clock }
}

// WithChooser replaces the chooser of the router, for comparisons.
func WithChooser(chooser core.Chooser) Option {
	return func(n *Node) { n.chooser = chooser }
}

// WithAdapter makes the node read another platform than that of this project's own protocol.
func WithAdapter(adapter core.Adapter) Option {
	return func(n *Node) { n.adapter = adapter }
}

// New opens the listeners of a node and joins its parts. Run starts it.
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
	n.current.Store(settings)
	n.logger = n.logger.With(zap.String("node", settings.GetInstance()))
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.build()
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// record returns the node's own member record, with a new incarnation.
func (n *Node) record() *schema.Member {
	state := schema.InstanceState_INSTANCE_STATE_SERVING
	if n.adapter != nil {
		// The backend server gives the name of the instance; until then there is none to send work to.
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
	}.Build()
}

// build joins the parts that have no listener.
func (n *Node) build() {
	n.self = n.record()
	suspects := poison.New(suspectCapacity, suspectLife)
	n.transport = io.NewTransport(n.clock, io.WithLogger(n.logger), io.WithRegisterer(n.registry))
	n.backend = io.NewBackend(n.settings.GetBackendAddress(), io.WithLogger(n.logger), io.WithRegisterer(n.registry),
		io.WithWire(n.wire()))
	n.exchange = peers.New(n.self, n.platform(), n.transport, n.clock, peers.WithSeeds(n.settings.GetSeeds()),
		peers.WithLogger(n.logger), peers.WithRegisterer(n.registry), peers.WithSuspects(suspects),
		peers.WithReading(n.reading()))
	store := ticket.New(n.settings.GetInstance(), n.self.GetIncarnation(), n.clock.Now())
	n.guard = guard.New(n.self, n.exchange, n.backend, store, n.clock, guard.WithLogger(n.logger),
		guard.WithRegisterer(n.registry), guard.WithSuspects(suspects), guard.WithRecheck(n.waitFresh), guard.WithIdentify(n.exchange.Identify), guard.WithListCheck(n.listCheck()),
		guard.WithSuspectPush(func(ctx context.Context, _ []uint64) {
			records := suspects.Records(n.clock.Now(), pushedSuspects)
			n.exchange.PushSuspects(ctx, n.settings.GetService(), records)
		}))
	routerOptions := []router.Option{router.WithLogger(n.logger), router.WithRegisterer(n.registry)}
	if n.chooser == nil && n.adapter != nil {
		n.chooser = picker.NewFinish(n.settings.GetDomain(), n.settings.GetRemoteCost(), nil)
	}
	if n.chooser != nil {
		routerOptions = append(routerOptions, router.WithChooser(n.chooser))
	}
	n.router = router.New(n.self, n.exchange, n.guard, n.transport, n.clock, routerOptions...)
}

// listen opens the listeners.
func (n *Node) listen() error {
	var err error
	n.server, err = io.NewServer(n.settings.GetRpcAddress(), n.guard, n.exchange, io.WithLogger(n.logger),
		io.WithRegisterer(n.registry))
	if err != nil {
		return fmt.Errorf("open the rpc listener: %w", err)
	}
	n.front, err = io.NewFront(n.settings.GetHttpAddress(), n.router, io.WithLogger(n.logger),
		io.WithRegisterer(n.registry), io.WithWire(n.wire()))
	if err != nil {
		return fmt.Errorf("open the HTTP listener: %w", err)
	}
	n.status, err = newStatus(n.settings.GetStatusAddress(), n)
	if err != nil {
		return fmt.Errorf("open the status listener: %w", err)
	}
	if address := n.settings.GetReadyAddress(); address != "" {
		if n.ready, err = newReady(address, n); err != nil {
			return fmt.Errorf("open the readiness listener: %w", err)
		}
	}
	n.beacon, err = beacon.New(n.self, n.server.Addr(), n.settings.GetReportInterval().AsDuration(), n.exchange, n.guard, n.router,
		n.exchange, n.clock, beacon.WithLogger(n.logger), beacon.WithRegisterer(n.registry))
	if err != nil {
		return fmt.Errorf("open the listener for load reports: %w", err)
	}
	return nil
}

// listCheck returns the function by which the guard asks for the platform's list, or nil if the list does not decide which
// instances there are.
func (n *Node) listCheck() func() {
	if n.adapter == nil {
		return nil
	}
	return n.exchange.WantList
}

// wire returns the format in which callers and the backend server speak.
func (n *Node) wire() *core.Wire {
	if n.adapter != nil {
		return n.adapter.Wire()
	}
	return core.OwnWire()
}

// reading returns how the node reads its platform. With an adapter each node watches the document itself, and the list of
// instances decides; a guard asks for it when its backend server says that it is leaving.
func (n *Node) reading() peers.Reading {
	if n.adapter == nil {
		return peers.DefaultReading()
	}
	return peers.Reading{
		Parse:       n.adapter.Parse,
		Watch:       adapterWatch,
		Readers:     adapterReaders,
		List:        adapterList,
		ListDecides: true,
		Stale:       adapterStale,
		StartSpread: adapterSpread,
		Burst:       adapterBurst,
		Grace:       n.settings.GetListGrace().AsDuration(),
	}
}

func (n *Node) platform() core.Platform {
	if n.adapter != nil {
		return n.adapter
	}
	if n.settings.GetPlatformUrl() == "" {
		return nil
	}
	n.client = plat.New(n.settings.GetPlatformUrl(), n.clock)
	return n.client
}

// HTTPAddress returns the address for callers.
func (n *Node) HTTPAddress() string { return n.front.Addr() }

// RPCAddress returns the address for other nodes.
func (n *Node) RPCAddress() string { return n.server.Addr() }

// StatusAddress returns the address of metrics and status.
func (n *Node) StatusAddress() string { return n.status.Addr() }

// Exchange returns the node's configuration and members.
func (n *Node) Exchange() *peers.Exchange { return n.exchange }

// Guard returns the guard of the node's backend server.
func (n *Node) Guard() *guard.Guard { return n.guard }

// Registry returns the node's metrics.
func (n *Node) Registry() *prometheus.Registry { return n.registry }

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves until ctx ends, then shuts down gracefully: requests in progress are finished first.
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
	start("exchange with peers", n.exchange.Run)
	start("guard", n.guard.Run)
	start("router", n.router.Run)
	start("rpc server", n.server.Serve)
	start("HTTP front", n.front.Serve)
	start("status server", n.status.Serve)
	start("load reports", n.beacon.Run)
	start("limits of callers", n.followLimits)
	if n.ready != nil {
		start("readiness server", n.ready.Serve)
	}
	n.logger.Info("node started", zap.String("http", n.HTTPAddress()), zap.String("rpc", n.RPCAddress()),
		zap.String("status", n.StatusAddress()))
	select {
	case <-ctx.Done():
		return n.shutdown()
	case err := <-failures:
		return err
	}
}

// shutdown announces that the instance leaves, finishes what runs and closes the listeners.
func (n *Node) shutdown() error {
	n.logger.Info("graceful shutdown started")
	limit := n.current.Load().GetDrainTimeout().AsDuration()
	if limit <= 0 {
		limit = defaultDrainTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.leaving.Store(true)
	n.router.Retire()
	n.retire(ctx)
	n.exchange.Announce(schema.InstanceState_INSTANCE_STATE_LEAVING)
	if err := n.guard.Drain(ctx); err != nil {
		return fmt.Errorf("drain the guard: %w", err)
	}
	if err := n.front.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down the HTTP front: %w", err)
	}
	if err := n.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down the rpc server: %w", err)
	}
	n.logger.Info("graceful shutdown finished")
	return nil
}

// retire goes on serving for a time in which callers notice that the node is not ready; the backend server, which may
// outlive this process, goes on getting work meanwhile. Without a readiness listener nobody is told, and it returns at once.
func (n *Node) retire(ctx context.Context) {
	if n.ready == nil {
		return
	}
	n.front.Retire()
	select {
	case <-ctx.Done():
	case <-n.clock.After(retireTime):
	}
}

// followLimits gives the limits of the document in force to the front.
func (n *Node) followLimits(ctx context.Context) error {
	var applied *core.Snapshot
	for {
		if snapshot := n.exchange.Snapshot(); snapshot != applied {
			applied = snapshot
			n.front.Configure(snapshot.Document().GetLimits())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-n.clock.After(limitsInterval):
		}
	}
}

// Ready reports whether the node serves callers: it has a configuration and does not shut down.
func (n *Node) Ready() bool { return n.exchange.Snapshot() != nil && !n.leaving.Load() }

// waitFresh waits until the exchange has caught up after a pause of the process.
func (n *Node) waitFresh(ctx context.Context) error {
	for !n.exchange.Fresh() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the exchange: %w", ctx.Err())
		case <-n.clock.After(freshInterval):
		}
	}
	return nil
}

// close releases what New opened.
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
