// Package peers keeps the document and the members of a deployment alike on all nodes. State decides, without I/O;
// Exchange is the control loop around it, which owns it and moves its messages.
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
	// sendTimeout bounds a small exchange with a peer, pullTimeout one that may carry a whole document.
	sendTimeout = 500 * time.Millisecond
	pullTimeout = 2 * time.Second
	// inboxSize is the number of inputs that wait for the loop before their senders do.
	inboxSize = 256
	// heardStep is by how much a confirmation must be newer to be taken from a load report.
	heardStep = 100 * time.Millisecond
	// maxOutstanding bounds the exchanges that wait for an answer; further ones fail at once.
	maxOutstanding = 128
)

var errOutstanding = errors.New("too many exchanges wait for an answer")

// event is an input to the state, run by the loop.
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
	initial   *initial
	reading   Reading

	inbox   chan event
	started chan struct{}
	done    chan struct{}
	running atomic.Bool
	group   conc.WaitGroup
	// outstanding counts exchanges without an answer.
	outstanding atomic.Int64
	dropped     atomic.Uint64
	snapshot    atomic.Pointer[core.Snapshot]
	// ticked is the time of the last tick in Unix nanoseconds; caughtUp is the state's Fresh.
	ticked   atomic.Int64
	caughtUp atomic.Bool
	// standing is the state's, for readers outside the loop.
	standing atomic.Pointer[standing]
	last     atomic.Pointer[Status]
	// seen is what the published snapshot was made of.
	seen published
	// lost tells that the loss of the platform was logged.
	lost bool
}

type published struct {
	revision, changes uint64
	listed            time.Time
}

type standing struct {
	revision, manifest uint64
	confirmed          time.Time
}

type initial struct {
	revision uint64
	text     []byte
}

// Option changes an Exchange.
type Option func(*Exchange)

// WithSeeds gives rpc addresses of nodes to ask at the start.
func WithSeeds(seeds []string) Option { return func(e *Exchange) { e.seeds = seeds } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(e *Exchange) { e.logger = logger } }

// WithRegisterer registers the metrics of the exchange.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(e *Exchange) { registerer.MustRegister(newCollector(e)) }
}

// WithSuspects sets the table that the exchange spreads.
func WithSuspects(suspects core.Suspects) Option { return func(e *Exchange) { e.suspects = suspects } }

// WithDocument gives a document that is known at the start.
func WithDocument(revision uint64, text []byte) Option {
	return func(e *Exchange) { e.initial = &initial{revision: revision, text: text} }
}

// WithReading sets how the node reads its platform; the default is DefaultReading.
func WithReading(reading Reading) Option { return func(e *Exchange) { e.reading = reading } }

// New returns the exchange of the node with the record self: instance, service, domain, address and incarnation. The
// platform may be nil.
func New(self *schema.Member, platform core.Platform, transport core.PeerTransport, clock core.Clock, opts ...Option) *Exchange {
	e := &Exchange{
		self: self, platform: platform, transport: transport, clock: clock, logger: zap.NewNop(),
		reading: DefaultReading(), inbox: make(chan event, inboxSize), started: make(chan struct{}), done: make(chan struct{}),
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
		e.state.offer(now, e.initial.revision, e.initial.text, time.Time{})
	}
	e.publish()
	e.stand()
	e.store(now)
	return e
}

// Done returns a channel that is closed when Run has returned.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Snapshot implements core.Snapshots.
func (e *Exchange) Snapshot() *core.Snapshot { return e.snapshot.Load() }

// Fresh reports whether the node has caught up since the process was last paused. It is false from the moment that a
// paused process runs again until peers or the platform answered, or none of them can be reached.
func (e *Exchange) Fresh() bool {
	return e.caughtUp.Load() && e.clock.Now().Sub(time.Unix(0, e.ticked.Load())) <= pauseGap
}

// Run is the control loop. It returns when ctx ends, after messages on their way were answered or timed out.
func (e *Exchange) Run(ctx context.Context) error {
	if e.running.Swap(true) {
		return errors.New("exchange runs already")
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
			e.finish(ctx)
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
	e.ticked.Store(now.UnixNano())
	e.apply(ctx, now)
}

// handle runs an input and those that wait behind it, and publishes once.
func (e *Exchange) handle(ctx context.Context, f event) {
	now := e.clock.Now()
	f(now)
	for range len(e.inbox) {
		(<-e.inbox)(now)
	}
	e.apply(ctx, now)
}

// apply publishes what changed and starts the effects.
func (e *Exchange) apply(ctx context.Context, now time.Time) {
	e.publish()
	e.stand()
	e.caughtUp.Store(e.state.Fresh(now))
	for _, effect := range e.state.Take() {
		e.perform(ctx, effect)
	}
}

// finish sends what was announced last, and takes inputs until the messages on their way have ended.
func (e *Exchange) finish(ctx context.Context) {
	now := e.clock.Now()
	for range len(e.inbox) {
		(<-e.inbox)(now)
	}
	e.apply(ctx, now)
	settled := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		e.group.Wait()
		close(settled)
	})
	defer waiter.Wait()
	for {
		select {
		case f := <-e.inbox:
			f(e.clock.Now())
		case <-settled:
			e.store(e.clock.Now())
			return
		}
	}
}

// publish stores a new snapshot if the document or a member changed.
func (e *Exchange) publish() {
	e.report()
	e.logPlatform()
	seen := published{revision: e.state.Revision(), changes: e.state.table.changes, listed: e.state.listed}
	if seen == e.seen {
		return
	}
	e.seen = seen
	snapshot := e.state.Snapshot()
	if snapshot == nil {
		return
	}
	e.state.counters.Published++
	before := e.snapshot.Swap(snapshot)
	e.logChanges(before, snapshot)
}

// stand stores the standing of the state if it changed.
func (e *Exchange) stand() {
	now := standing{revision: e.state.Revision(), manifest: e.state.manifest(), confirmed: e.state.confirmed}
	if before := e.standing.Load(); before == nil || *before != now {
		e.standing.Store(&now)
	}
}

// report logs a newly rejected document.
func (e *Exchange) report() {
	r := e.state.rejected
	last := e.last.Load()
	if r.revision == 0 || last != nil && last.Rejected == r.revision && last.RejectedAt.Equal(r.at) {
		return
	}
	e.store(r.at)
	e.logger.Error("document rejected", zap.Uint64("revision", r.revision),
		zap.Uint64("revision_in_force", e.state.Revision()), zap.Error(r.faults))
}

func (e *Exchange) store(now time.Time) Status {
	status := e.state.Status(now)
	status.Counters.Dropped = e.dropped.Load()
	e.last.Store(&status)
	return status
}

// ask runs f on the loop and waits for its end; it returns false if the loop does not run.
func (e *Exchange) ask(f event) bool {
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

// Announce changes the state of the node's own record, and pushes it to several peers at once.
func (e *Exchange) Announce(state schema.InstanceState) {
	e.post(func(now time.Time) { e.state.Announce(now, state) })
}

// Identify gives the node's own record the name of the backend server beside it.
func (e *Exchange) Identify(instance string) {
	e.post(func(now time.Time) { e.state.Identify(now, instance) })
}

// Standing returns what the node tells others of its document, as State.Standing.
func (e *Exchange) Standing() (revision, manifest uint64, confirmed uint32) {
	s := e.standing.Load()
	age := uint32(0)
	if !s.confirmed.IsZero() {
		age = uint32(e.clock.Now().Sub(s.confirmed).Milliseconds()) + 1
	}
	return s.revision, s.manifest, age
}

// Heard takes the standing of the node at an address, as State.Heard. What changes nothing does not reach the loop.
func (e *Exchange) Heard(from string, revision, manifest uint64, confirmed uint32) {
	s := e.standing.Load()
	if revision < s.revision || confirmed == 0 {
		return
	}
	at := e.clock.Now().Add(-time.Duration(confirmed) * time.Millisecond)
	if revision == s.revision && manifest == s.manifest && at.Sub(s.confirmed) < heardStep {
		return
	}
	select {
	case e.inbox <- func(now time.Time) { e.state.Heard(now, from, revision, manifest, confirmed) }:
	default:
		e.dropped.Add(1)
	}
}

// WantList asks for a read of the platform's list.
func (e *Exchange) WantList() { e.post(e.state.WantList) }

func (e *Exchange) post(f event) {
	select {
	case e.inbox <- f:
	case <-e.done:
	}
}

// Status returns a picture of the exchange.
func (e *Exchange) Status() Status {
	var status Status
	if e.ask(func(now time.Time) { status = e.store(now) }) {
		return status
	}
	return *e.last.Load()
}

// perform starts an effect. Announcements outlive ctx by their timeout, so that the last one arrives.
func (e *Exchange) perform(ctx context.Context, effect Effect) {
	switch m := effect.(type) {
	case SendSync:
		exchange(context.WithoutCancel(ctx), e, sendTimeout, m, e.state.SyncDone, func(ctx context.Context) (*schema.SyncReply, error) {
			return e.transport.Sync(ctx, m.To, m.Request)
		})
	case SendBuckets:
		exchange(ctx, e, pullTimeout, m, e.state.BucketsDone, func(ctx context.Context) (*schema.BucketsReply, error) {
			return e.transport.Buckets(ctx, m.To, m.Request)
		})
	case FetchManifest:
		exchange(ctx, e, pullTimeout, m, e.state.ManifestDone, func(ctx context.Context) (*schema.ManifestReply, error) {
			return e.transport.Manifest(ctx, m.To, m.Request)
		})
	case FetchSections:
		exchange(ctx, e, pullTimeout, m, e.state.SectionsDone, func(ctx context.Context) (*schema.SectionsReply, error) {
			return e.transport.Sections(ctx, m.To, m.Request)
		})
	case ReadDocument:
		e.group.Go(func() {
			revision, text, err := e.platform.Document(ctx, m.After, m.Wait)
			e.deliver(func(now time.Time) { e.state.DocumentDone(now, m, revision, text, err) })
		})
	case ReadMembers:
		e.group.Go(func() {
			list, err := e.platform.Members(ctx)
			e.deliver(func(now time.Time) { e.state.MembersDone(now, m, list, err) })
		})
	}
}

// exchange sends a message and gives its reply to done on the loop.
func exchange[M any, R any](
	ctx context.Context, e *Exchange, timeout time.Duration, message M,
	done func(time.Time, M, R, error), call func(context.Context) (R, error),
) {
	if e.outstanding.Load() >= maxOutstanding {
		e.dropped.Add(1)
		var none R
		done(e.clock.Now(), message, none, errOutstanding)
		return
	}
	e.outstanding.Add(1)
	e.group.Go(func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := call(limited)
		e.outstanding.Add(-1)
		if err != nil {
			err = fmt.Errorf("exchange with peer: %w", err)
		}
		e.deliver(func(now time.Time) { done(now, message, reply, err) })
	})
}

// deliver gives an input to the loop. The loop takes inputs until all senders have ended.
func (e *Exchange) deliver(f event) { e.inbox <- f }
