// Package peers replicates the configuration document and the member records of a deployment to all nodes by gossip.
// State makes the decisions and does no I/O; Exchange owns a State, runs its control loop and sends its messages.
package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// sendTimeout limits a small request to a peer; pullTimeout limits one that may transfer a whole document.
	sendTimeout = 500 * time.Millisecond
	pullTimeout = 2 * time.Second
	// inboxSize is the number of inputs buffered for the control loop before senders block.
	inboxSize = 256
	// minConfirmationAdvance is how much newer the confirmation in a load report must be to reach the control loop.
	minConfirmationAdvance = 100 * time.Millisecond
	// maxInFlight limits the requests that wait for a reply; further requests fail immediately.
	maxInFlight = 128
)

var errTooManyInFlight = errors.New("peer request dropped: too many requests in flight")

// event is an input to the state. The control loop runs it.
type event func(now time.Time)

// Exchange implements core.Peer and core.Snapshots.
type Exchange struct {
	self      *schema.Member
	state     *State
	platform  core.Platform
	transport core.PeerTransport
	clock     core.Clock
	suspects  core.Suspects
	logger    *zap.Logger
	seeds     []string
	initial   *initialDocument
	reading   ReadPolicy

	inbox   chan event
	started chan struct{}
	done    chan struct{}
	running atomic.Bool
	group   conc.WaitGroup
	// inFlight counts the requests that wait for a reply.
	inFlight atomic.Int64
	dropped  atomic.Uint64
	snapshot atomic.Pointer[core.Snapshot]
	// lastTick is the time of the last tick in Unix nanoseconds. fresh is a copy of State.Fresh for readers outside the
	// control loop.
	lastTick atomic.Int64
	fresh    atomic.Bool
	// digest is a copy of the state's digest for readers outside the control loop.
	digest     atomic.Pointer[digest]
	lastStatus atomic.Pointer[Status]
	// firstProcess is the name of the instance if State.FirstProcess holds for it.
	firstProcess atomic.Pointer[string]
	// published identifies the state that the published snapshot was built from.
	published   publishedVersion
	publishedAt time.Time
	// platformDown is set while the platform is logged as unreachable.
	platformDown bool
	// ownExpired is the value that was last logged.
	ownExpired bool
}

type digest struct {
	revision, manifest uint64
	confirmedAt        time.Time
	// currentAt is that of State.currentAt.
	currentAt time.Time
}

type initialDocument struct {
	revision uint64
	text     []byte
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithSeeds sets the RPC addresses of nodes to contact at startup.
func WithSeeds(seeds []string) Option { return func(e *Exchange) { e.seeds = seeds } }

// WithLogger sets the logger. The default discards all entries.
func WithLogger(logger *zap.Logger) Option { return func(e *Exchange) { e.logger = logger } }

// WithRegisterer registers the metrics of the exchange.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(e *Exchange) { registerer.MustRegister(newCollector(e)) }
}

// WithSuspects sets the table of suspects to replicate.
func WithSuspects(suspects core.Suspects) Option { return func(e *Exchange) { e.suspects = suspects } }

// WithDocument sets a document that is already known at startup.
func WithDocument(revision uint64, text []byte) Option {
	return func(e *Exchange) { e.initial = &initialDocument{revision: revision, text: text} }
}

// WithReadPolicy sets how the node reads its platform. The default is DefaultReadPolicy.
func WithReadPolicy(reading ReadPolicy) Option { return func(e *Exchange) { e.reading = reading } }

// New returns the exchange of the node described by self, which needs instance, service, domain, address and
// incarnation. The platform may be nil.
func New(self *schema.Member, platform core.Platform, transport core.PeerTransport, clock core.Clock, opts ...Option) *Exchange {
	e := &Exchange{
		self: self, platform: platform, transport: transport, clock: clock, logger: zap.NewNop(),
		reading: DefaultReadPolicy(), inbox: make(chan event, inboxSize), started: make(chan struct{}), done: make(chan struct{}),
	}
	for _, o := range opts {
		o(e)
	}
	now := clock.Now()
	random := rand.New(rand.NewPCG(self.GetIncarnation(), uint64(now.UnixNano())))
	e.state = NewState(now, self, platform != nil, e.seeds, e.suspects, random)
	e.state.reading = e.reading
	e.state.tokens = max(1, e.reading.Burst)
	if e.initial != nil {
		e.state.applyDocument(now, e.initial.revision, e.initial.text, time.Time{})
	}
	e.publish()
	e.storeDigest(now)
	e.storeStatus(now)
	return e
}

// Done returns a channel that is closed when Run has returned.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Snapshot implements core.Snapshots.
func (e *Exchange) Snapshot() *core.Snapshot { return e.snapshot.Load() }

// Fresh reports whether the node has caught up since the process was last paused. It is false from the moment the
// process resumes until peers or the platform have answered, or none of them can be reached.
func (e *Exchange) Fresh() bool {
	return e.fresh.Load() && e.clock.Now().Sub(time.Unix(0, e.lastTick.Load())) <= pauseThreshold
}

// Run runs the control loop until ctx is canceled. It returns once all requests in flight have been answered or have
// timed out.
func (e *Exchange) Run(ctx context.Context) error {
	if e.running.Swap(true) {
		return errors.New("exchange is already running")
	}
	close(e.started)
	e.loop(ctx)
	return nil
}

func (e *Exchange) loop(ctx context.Context) {
	defer close(e.done)
	e.tick(ctx, e.clock.Now())
	next := e.clock.After(TickInterval)
	for {
		select {
		case <-ctx.Done():
			e.drain(ctx)
			return
		case f := <-e.inbox:
			e.handle(ctx, f)
		case <-next:
			e.tick(ctx, e.clock.Now())
			next = e.clock.After(TickInterval)
		}
	}
}

func (e *Exchange) tick(ctx context.Context, now time.Time) {
	e.state.Tick(now)
	e.lastTick.Store(now.UnixNano())
	e.apply(ctx, now)
}

// handle runs an input and all inputs queued behind it, then publishes the result once.
func (e *Exchange) handle(ctx context.Context, f event) {
	now := e.clock.Now()
	f(now)
	for range len(e.inbox) {
		(<-e.inbox)(now)
	}
	e.apply(ctx, now)
}

// apply publishes changes of the state and starts the effects it requested.
func (e *Exchange) apply(ctx context.Context, now time.Time) {
	e.publish()
	e.storeDigest(now)
	e.fresh.Store(e.state.Fresh(now))
	for _, effect := range e.state.TakeEffects() {
		e.startEffect(ctx, effect)
	}
}

// drain sends pending announcements and processes inputs until all requests in flight have ended.
func (e *Exchange) drain(ctx context.Context) {
	now := e.clock.Now()
	for range len(e.inbox) {
		(<-e.inbox)(now)
	}
	e.apply(ctx, now)
	idle := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		e.group.Wait()
		close(idle)
	})
	defer waiter.Wait()
	for {
		select {
		case f := <-e.inbox:
			f(e.clock.Now())
		case <-idle:
			e.storeStatus(e.clock.Now())
			return
		}
	}
}

// storeDigest updates the copy of the state's digest if it changed.
func (e *Exchange) storeDigest(now time.Time) {
	d := digest{
		revision: e.state.Revision(), manifest: e.state.manifest(),
		confirmedAt: e.state.confirmedAt, currentAt: e.state.currentAt(now),
	}
	if before := e.digest.Load(); before == nil || *before != d {
		e.digest.Store(&d)
	}
}

// logRejection logs a document that was rejected since the last call.
func (e *Exchange) logRejection() {
	r := e.state.rejected
	last := e.lastStatus.Load()
	if r.revision == 0 || last != nil && last.Rejected == r.revision && last.RejectedAt.Equal(r.at) {
		return
	}
	e.storeStatus(r.at)
	e.logger.Error("document rejected", zap.Uint64("revision", r.revision),
		zap.Uint64("revision_in_force", e.state.Revision()), zap.Error(r.faults))
}

func (e *Exchange) storeStatus(now time.Time) Status {
	status := e.state.Status(now)
	status.Counters.Dropped = e.dropped.Load()
	e.lastStatus.Store(&status)
	return status
}

// runOnLoop runs f on the control loop and waits for it to return. It returns false if the loop is not running.
func (e *Exchange) runOnLoop(f event) bool {
	select {
	case <-e.started:
	default:
		return false
	}
	ran := make(chan struct{})
	select {
	case e.inbox <- func(now time.Time) {
		f(now)
		close(ran)
	}:
	case <-e.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-e.done:
		return false
	}
}

// Announce changes the state in the node's own record and sends the record to several peers immediately.
func (e *Exchange) Announce(state schema.InstanceState) {
	e.enqueue(func(now time.Time) { e.state.Announce(now, state) })
}

// SetInstanceName sets the instance name in the node's own record to that of the local backend server.
func (e *Exchange) SetInstanceName(instance string) {
	e.enqueue(func(now time.Time) { e.state.SetInstanceName(now, instance) })
}

// FirstProcess reports whether no earlier process of the node announced the instance, as far as other nodes know. It is false
// if the instance is not the current one.
func (e *Exchange) FirstProcess(instance string) bool {
	first := e.firstProcess.Load()
	return first != nil && *first == instance
}

// Digest returns the digest of the node's document, like State.Digest. It is safe for concurrent use.
func (e *Exchange) Digest() (revision, manifest uint64, confirmed uint32) {
	s := e.digest.Load()
	age := uint32(0)
	if !s.confirmedAt.IsZero() {
		age = uint32(e.clock.Now().Sub(s.confirmedAt).Milliseconds()) + 1
	}
	return s.revision, s.manifest, age
}

// ConfirmedAt implements core.Confirmer.
func (e *Exchange) ConfirmedAt() time.Time {
	if s := e.digest.Load(); s != nil {
		return s.currentAt
	}
	return time.Time{}
}

// HandleDigest processes the digest received from the node at an address, like State.HandleDigest. Digests without news
// are not passed to the control loop.
func (e *Exchange) HandleDigest(from string, revision, manifest uint64, confirmed uint32) {
	s := e.digest.Load()
	if revision < s.revision || confirmed == 0 {
		return
	}
	at := e.clock.Now().Add(-time.Duration(confirmed) * time.Millisecond)
	if revision == s.revision && manifest == s.manifest && at.Sub(s.confirmedAt) < minConfirmationAdvance {
		return
	}
	select {
	case e.inbox <- func(now time.Time) { e.state.HandleDigest(now, from, revision, manifest, confirmed) }:
	default:
		e.dropped.Add(1)
	}
}

// RequestListRead requests a read of the platform's instance list.
func (e *Exchange) RequestListRead() { e.enqueue(e.state.RequestListRead) }

func (e *Exchange) enqueue(f event) {
	select {
	case e.inbox <- f:
	case <-e.done:
	}
}

// Status returns the current status of the exchange, or the last one stored if the control loop is not running.
func (e *Exchange) Status() Status {
	var status Status
	if e.runOnLoop(func(now time.Time) { status = e.storeStatus(now) }) {
		return status
	}
	return *e.lastStatus.Load()
}

// startEffect starts an effect in the background. Syncs are not canceled with ctx, so that the last announcement of a
// stopping node is delivered; their timeout still applies.
func (e *Exchange) startEffect(ctx context.Context, effect Effect) {
	switch m := effect.(type) {
	case SendSync:
		roundTrip(context.WithoutCancel(ctx), e, sendTimeout, m, e.state.SyncDone, func(ctx context.Context) (*schema.SyncReply, error) {
			return e.transport.Sync(ctx, m.To, m.Request)
		})
	case SendBuckets:
		roundTrip(ctx, e, pullTimeout, m, e.state.BucketsDone, func(ctx context.Context) (*schema.BucketsReply, error) {
			return e.transport.Buckets(ctx, m.To, m.Request)
		})
	case FetchManifest:
		roundTrip(ctx, e, pullTimeout, m, e.state.ManifestDone, func(ctx context.Context) (*schema.ManifestReply, error) {
			return e.transport.Manifest(ctx, m.To, m.Request)
		})
	case FetchSections:
		roundTrip(ctx, e, pullTimeout, m, e.state.SectionsDone, func(ctx context.Context) (*schema.SectionsReply, error) {
			return e.transport.Sections(ctx, m.To, m.Request)
		})
	case ReadDocument:
		e.group.Go(func() {
			revision, text, err := e.platform.Document(ctx, m.After, m.Wait)
			e.deliver(func(now time.Time) { e.state.DocumentDone(now, m, revision, text, err) })
		})
	case CheckDocument:
		e.group.Go(func() {
			changed, err := e.checkDocument(ctx, m.After)
			e.deliver(func(now time.Time) { e.state.CheckDone(now, m, changed, err) })
		})
	case ReadMembers:
		e.group.Go(func() {
			list, err := e.platform.Members(ctx)
			e.deliver(func(now time.Time) { e.state.MembersDone(now, m, list, err) })
		})
	case ReadOwnEntry:
		e.group.Go(func() {
			entry, err := e.readEntry(ctx, m.Instance)
			e.deliver(func(now time.Time) { e.state.OwnEntryDone(now, m, entry, err) })
		})
	case WatchOwnEntry:
		e.group.Go(func() {
			entry, err := e.watchEntry(ctx, m.Instance, m.Wait)
			e.deliver(func(now time.Time) { e.state.OwnEntryWatched(now, m, entry, err) })
		})
	}
}

// checkDocument asks the platform for changes, if it can tell them.
func (e *Exchange) checkDocument(ctx context.Context, revision uint64) (int, error) {
	checker, ok := e.platform.(core.ChangeChecker)
	if !ok {
		return 1, nil
	}
	changed, err := checker.CheckDocument(ctx, revision)
	if err != nil {
		return 0, fmt.Errorf("check document: %w", err)
	}
	return changed, nil
}

// roundTrip sends a message and passes its reply to done on the control loop.
func roundTrip[M any, R any](
	ctx context.Context, e *Exchange, timeout time.Duration, message M,
	done func(time.Time, M, R, error), call func(context.Context) (R, error),
) {
	if e.inFlight.Load() >= maxInFlight {
		e.dropped.Add(1)
		var zero R
		done(e.clock.Now(), message, zero, errTooManyInFlight)
		return
	}
	e.inFlight.Add(1)
	e.group.Go(func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := call(limited)
		e.inFlight.Add(-1)
		if err != nil {
			err = fmt.Errorf("request to peer: %w", err)
		}
		e.deliver(func(now time.Time) { done(now, message, reply, err) })
	})
}

// deliver passes an input to the control loop. It may block: the loop processes inputs until all senders have ended.
func (e *Exchange) deliver(f event) { e.inbox <- f }
