package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// takeWait is how long a call waits for tokens. A reply takes 1 to 7 ms; the rest allows for a coordinator that waits for
	// its processor, and for a second request after askTimeout.
	takeWait = 100 * time.Millisecond
	// requestTimeout is the time after which a request counts as failed. A later reply is not used.
	requestTimeout = 100 * time.Millisecond
	// idleInterval is the time between two steps while no customer has a quota.
	idleInterval = 100 * time.Millisecond
	// maxLocalRounds bounds the exchanges between the node and the coordinator of one process in one step.
	maxLocalRounds = 4
)

// Service runs the Node and the Coordinator of a process. It implements core.Quota and core.QuotaPeer, and is safe for
// concurrent use.
type Service struct {
	address   string
	snapshots core.Snapshots
	transport core.QuotaTransport
	clock     core.Clock
	logger    *zap.Logger
	done      chan struct{}
	requests  conc.WaitGroup

	mutex       sync.Mutex
	ctx         context.Context
	applied     *core.Snapshot
	node        *Node
	coordinator *Coordinator
	// waiting holds a channel for each customer with calls that wait for a reply. It is closed when they should try again.
	waiting map[string]chan struct{}
	report  reporter
	failed  uint64
}

// Option configures a Service.
type Option func(*Service)

// WithLogger sets the logger. The default discards all entries.
func WithLogger(logger *zap.Logger) Option { return func(s *Service) { s.logger = logger } }

// WithRegisterer registers the metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(s *Service) { registerer.MustRegister(newCollector(s)) }
}

// New returns the Service of the node that self describes.
func New(self *schema.Member, tolerance *schema.QuotaTolerance, snapshots core.Snapshots, transport core.QuotaTransport, clock core.Clock, opts ...Option) *Service {
	s := &Service{
		address:     self.GetAddress(),
		snapshots:   snapshots,
		transport:   transport,
		clock:       clock,
		logger:      zap.NewNop(),
		done:        make(chan struct{}),
		ctx:         context.Background(),
		node:        NewNode(self.GetAddress(), self.GetIncarnation(), NewTolerance(tolerance), rand.Float64),
		coordinator: NewCoordinator(rand.Uint64, rand.Float64),
		waiting:     make(map[string]chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Done returns a channel that is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Run performs the periodic work until ctx ends: renewals, requests for tokens in advance, and the end of leases.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	defer s.requests.Wait()
	defer s.stop()
	s.start(ctx)
	for {
		interval := s.step()
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(interval):
		}
	}
}

func (s *Service) start(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ctx = ctx
}

// stop keeps requests from being started after Run has returned.
func (s *Service) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.ctx = ended
}

// step performs the periodic work once and returns the time until the next.
func (s *Service) step() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.update(now)
	if s.node.Step(now) {
		s.logger.Warn("process was paused; discarding quota tokens")
	}
	s.coordinator.Step(now)
	s.exchange(now)
	s.wakeUnasked()
	s.report.log(s, now)
	if !s.node.Active() {
		return idleInterval
	}
	return stepInterval
}

// update applies a new snapshot.
func (s *Service) update(now time.Time) {
	snapshot := s.snapshots.Snapshot()
	if snapshot == nil || snapshot == s.applied {
		return
	}
	s.applied = snapshot
	view := NewView(snapshot)
	s.node.Update(now, view)
	s.coordinator.Update(now, view)
}

// Take implements core.Quota.
func (s *Service) Take(ctx context.Context, customer string) (allowed bool, retryAfter time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	if !s.node.Limits(customer) {
		// The customer may have its first quota in a snapshot that the periodic work has not seen yet.
		s.update(now)
	}
	verdict, wait := s.node.Take(now, customer, false)
	if verdict == Pending {
		return s.await(ctx, now, customer)
	}
	return verdict == Allowed, wait
}

// await waits for tokens. The mutex is held at its beginning and its end.
func (s *Service) await(ctx context.Context, now time.Time, customer string) (bool, time.Duration) {
	limit := s.clock.After(takeWait)
	for {
		wake := s.wakeChannel(customer)
		s.exchange(now)
		s.mutex.Unlock()
		over := false
		select {
		case <-wake:
		case <-limit:
			over = true
		case <-ctx.Done():
			over = true
		}
		s.mutex.Lock()
		now = s.clock.Now()
		verdict, wait := s.node.Take(now, customer, true)
		if verdict != Pending {
			return verdict == Allowed, wait
		}
		if over {
			return false, s.node.GiveUp(now, customer)
		}
	}
}

func (s *Service) wakeChannel(customer string) chan struct{} {
	wake := s.waiting[customer]
	if wake == nil {
		wake = make(chan struct{})
		s.waiting[customer] = wake
	}
	return wake
}

func (s *Service) wake(customer string) {
	if wake := s.waiting[customer]; wake != nil {
		close(wake)
		delete(s.waiting, customer)
	}
}

// wakeUnasked lets calls try again whose request failed.
func (s *Service) wakeUnasked() {
	for customer := range s.waiting {
		if !s.node.Asked(customer) {
			s.wake(customer)
		}
	}
}

// Refund implements core.Quota.
func (s *Service) Refund(customer string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.node.Refund(s.clock.Now(), customer)
}

// Quota implements core.QuotaPeer.
func (s *Service) Quota(request *schema.QuotaRequest) *schema.QuotaReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.update(now)
	return s.coordinator.Serve(now, request)
}

// exchange sends the messages that are due. Those to the process's own coordinator are handled at once.
func (s *Service) exchange(now time.Time) {
	for range maxLocalRounds {
		local := false
		for _, m := range s.node.Outgoing(now) {
			instance := s.applied.Instance(m.To)
			switch {
			case instance == nil:
				s.fail(now, m)
			case instance.Address() == s.address:
				local = true
				s.finish(now, m, s.coordinator.Serve(now, m.Request))
			default:
				s.send(instance.Address(), m)
			}
		}
		if !local {
			return
		}
	}
}

func (s *Service) finish(now time.Time, m *Message, reply *schema.QuotaReply) {
	s.node.Receive(now, m, reply)
	for _, a := range m.accounts {
		s.wake(a.name)
	}
}

func (s *Service) fail(now time.Time, m *Message) {
	s.failed++
	s.node.Fail(now, m)
}

// send sends a message to another node and applies the reply.
func (s *Service) send(address string, m *Message) {
	parent := s.ctx
	if parent.Err() != nil {
		return
	}
	s.requests.Go(func() {
		ctx, cancel := context.WithTimeout(parent, requestTimeout)
		defer cancel()
		reply, err := s.transport.Quota(ctx, address, m.Request)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		now := s.clock.Now()
		if err != nil {
			s.fail(now, m)
			return
		}
		s.finish(now, m, reply)
		s.exchange(now)
	})
}
