package io

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// pingCheckInterval is the interval between checks of a connection with an unanswered ping. It is short so that a pause
	// of this process during that time is detected.
	pingCheckInterval = 25 * time.Millisecond
	// minCheckInterval is the minimum interval between checks.
	minCheckInterval = 5 * time.Millisecond
	// idleCheckInterval is the interval between checks of connections without calls.
	idleCheckInterval = time.Second
	// pauseThreshold is the delay of a check from which this process is assumed to have been paused. Replies may then be
	// waiting in the kernel, so the measurement of silence is restarted.
	pauseThreshold = 200 * time.Millisecond
)

var (
	errClosed           = errors.New("transport is closed")
	errConnectionSilent = errors.New("connection silent: no data received within the ping timeout")
	errServerShutdown   = errors.New("server is shutting down")
	errConnectionIdle   = errors.New("connection closed after the idle timeout")
)

// trafficClass is the kind of traffic on a connection. Calls, gossip and large bodies use separate connections, because
// gossip messages and bodies delay the messages behind them.
type trafficClass int

const (
	classCalls trafficClass = iota
	classPeers
	classBodies
)

// maxMessageSize returns the maximum size of a message in bytes.
func (c trafficClass) maxMessageSize(maxBody int) int {
	if c == classPeers {
		return maxDocumentSize + maxMessageOverhead
	}
	return maxBody + maxMessageOverhead
}

type endpointKey struct {
	address string
	class   trafficClass
}

// Transport is the RPC client for other nodes. It opens connections on demand and uses one connection per address for calls,
// and another one for gossip.
type Transport struct {
	options
	errorCounter errorCounter
	group        conc.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	once         sync.Once

	mutex     sync.Mutex
	endpoints map[endpointKey]*endpoint
}

// NewTransport returns a Transport. clock is used to detect silent and idle connections.
func NewTransport(clock core.Clock, opts ...Option) *Transport {
	o := newOptions(append([]Option{WithClock(clock)}, opts...), defaultNodeIdleTimeout, defaultMaxConnections)
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options:      o,
		errorCounter: newErrorCounter(o.registerer, "transport"),
		ctx:          ctx,
		cancel:       cancel,
		done:         make(chan struct{}),
		endpoints:    make(map[endpointKey]*endpoint),
	}
	t.group.Go(t.monitor)
	return t
}

// Close closes all connections. Calls in flight fail.
func (t *Transport) Close() error {
	t.mutex.Lock()
	t.cancel()
	t.mutex.Unlock()
	for _, e := range t.appendEndpoints(nil) {
		e.close()
	}
	t.group.Wait()
	t.once.Do(func() { close(t.done) })
	return nil
}

// Done returns a channel that is closed when Close has finished.
func (t *Transport) Done() <-chan struct{} { return t.done }

// Execute implements core.Transport. It replaces a large body of the request by the ID of its transfer.
func (t *Transport) Execute(ctx context.Context, to *core.Instance, request *schema.ExecuteRequest) (*schema.ExecuteReply, error) {
	if len(request.GetBody()) > maxInlineBody {
		refusal, err := t.sendBody(ctx, to.Address(), request)
		if refusal != schema.Reason_REASON_NONE || err != nil {
			return core.NotRun(refusal), err
		}
	}
	return call(ctx, t, classCalls, to.Address(), "Guard.Execute", request, new(schema.ExecuteReply))
}

// Cancel implements core.Transport.
func (t *Transport) Cancel(ctx context.Context, to *core.Instance, request *schema.CancelRequest) (*schema.CancelReply, error) {
	return call(ctx, t, classCalls, to.Address(), "Guard.Cancel", request, new(schema.CancelReply))
}

// Issue implements core.Transport.
func (t *Transport) Issue(ctx context.Context, to *core.Instance, request *schema.IssueRequest) (*schema.IssueReply, error) {
	return call(ctx, t, classCalls, to.Address(), "Guard.Issue", request, new(schema.IssueReply))
}

// Supersede implements core.Transport.
func (t *Transport) Supersede(ctx context.Context, to *core.Instance, request *schema.SupersedeRequest) (*schema.SupersedeReply, error) {
	return call(ctx, t, classCalls, to.Address(), "Guard.Supersede", request, new(schema.SupersedeReply))
}

// Sync implements core.PeerTransport.
func (t *Transport) Sync(ctx context.Context, address string, request *schema.SyncRequest) (*schema.SyncReply, error) {
	return call(ctx, t, classPeers, address, "Peer.Sync", request, new(schema.SyncReply))
}

// Buckets implements core.PeerTransport.
func (t *Transport) Buckets(ctx context.Context, address string, request *schema.BucketsRequest) (*schema.BucketsReply, error) {
	return call(ctx, t, classPeers, address, "Peer.Buckets", request, new(schema.BucketsReply))
}

// Manifest implements core.PeerTransport.
func (t *Transport) Manifest(ctx context.Context, address string, request *schema.ManifestRequest) (*schema.ManifestReply, error) {
	return call(ctx, t, classPeers, address, "Peer.Manifest", request, new(schema.ManifestReply))
}

// Sections implements core.PeerTransport.
func (t *Transport) Sections(ctx context.Context, address string, request *schema.SectionsRequest) (*schema.SectionsReply, error) {
	return call(ctx, t, classPeers, address, "Peer.Sections", request, new(schema.SectionsReply))
}

// Suspects implements core.PeerTransport. It uses the connection for calls, so that a large document section does not
// delay it.
func (t *Transport) Suspects(ctx context.Context, address string, request *schema.SuspectsRequest) (*schema.SuspectsReply, error) {
	return call(ctx, t, classCalls, address, "Peer.Suspects", request, new(schema.SuspectsReply))
}

// call sends a request and waits for the reply or until ctx is done.
func call[R proto.Message](ctx context.Context, t *Transport, class trafficClass, address, method string, request proto.Message, reply R) (R, error) {
	err := t.roundTrip(ctx, class, address, method, request, reply)
	if err != nil {
		var none R
		return none, err
	}
	return reply, nil
}

func (t *Transport) roundTrip(ctx context.Context, class trafficClass, address, method string, request, reply proto.Message) error {
	sent, err := t.start(ctx, class, address, method, request, reply)
	if err != nil {
		return err
	}
	return sent.wait(ctx)
}

// outgoingCall is a request that was sent on a connection. Exactly one of wait and abandon must be called.
type outgoingCall struct {
	transport  *Transport
	address    string
	request    *pendingCall
	endpoint   *endpoint
	connection *connection
	pending    *rpc.Call
}

// start sends a request without waiting for the reply. The requests that one goroutine sends to an address arrive in order
// as long as they use one connection.
func (t *Transport) start(ctx context.Context, class trafficClass, address, method string, request, reply proto.Message) (*outgoingCall, error) {
	x := &pendingCall{reply: reply, cause: requestCause(method)}
	if err := x.encode(request, class.maxMessageSize(t.maxBody)); err != nil {
		return nil, t.encodeError(address, err)
	}
	e, c, err := t.acquire(ctx, endpointKey{address, class})
	if err != nil {
		return nil, err
	}
	pending := c.client.Go(method, x, x, make(chan *rpc.Call, 1))
	c.codec.writer.flush()
	return &outgoingCall{transport: t, address: address, request: x, endpoint: e, connection: c, pending: pending}, nil
}

// encodeError converts the error of a message that could not be encoded.
func (t *Transport) encodeError(address string, err error) error {
	var oversize *FrameError
	if errors.As(err, &oversize) {
		t.errorCounter.inc(oversize.Kind())
		return core.NewTransportError(address, schema.Reason_REASON_TOO_LARGE, false, err)
	}
	t.errorCounter.inc("encode")
	return core.NewTransportError(address, schema.Reason_REASON_MALFORMED, false, err)
}

// wait waits for the reply or until ctx is done.
func (o *outgoingCall) wait(ctx context.Context) error {
	select {
	case <-o.pending.Done:
		o.endpoint.release(o.connection, o.transport.clock, false)
		return o.transport.callError(o.connection, &o.request.frame, o.address, o.pending.Error)
	case <-ctx.Done():
		sent := o.abandon()
		return core.NewTransportError(o.address, contextReason(ctx), sent, ctx.Err())
	}
}

// abandon stops waiting for the reply, and reports whether the request may have been sent.
func (o *outgoingCall) abandon() bool {
	o.request.abandoned.Store(true)
	sent := !o.connection.codec.writer.withdraw(&o.request.frame)
	o.endpoint.release(o.connection, o.transport.clock, sent)
	return sent
}

// callError converts the result of a completed call to a *core.TransportError, or nil if it succeeded.
func (t *Transport) callError(c *connection, f *frame, address string, err error) error {
	if err == nil {
		return nil
	}
	sent := !c.codec.writer.withdraw(f)
	reason := schema.Reason_REASON_NODE_LOST
	if cause := c.codec.cause(); cause != nil {
		err = cause
	}
	switch {
	case errors.Is(err, errConnectionSilent):
		reason = schema.Reason_REASON_CONNECTION_SILENT
	case !sent:
		reason = schema.Reason_REASON_UNREACHABLE
	}
	t.errorCounter.inc(core.ReasonName(reason))
	return core.NewTransportError(address, reason, sent, err)
}

func contextReason(ctx context.Context) schema.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schema.Reason_REASON_DEADLINE
	}
	return schema.Reason_REASON_CANCELLED
}

func (t *Transport) acquire(ctx context.Context, key endpointKey) (*endpoint, *connection, error) {
	for {
		if ctx.Err() != nil {
			return nil, nil, core.NewTransportError(key.address, contextReason(ctx), false, ctx.Err())
		}
		e := t.endpoint(key)
		if e == nil {
			return nil, nil, core.NewTransportError(key.address, schema.Reason_REASON_UNREACHABLE, false, errClosed)
		}
		c, wait := e.acquire(t.clock)
		if c != nil {
			return e, c, nil
		}
		if wait == nil {
			continue
		}
		select {
		case <-wait.done:
		case <-ctx.Done():
			continue
		}
		if wait.err != nil {
			t.errorCounter.inc("dial")
			return nil, nil, core.NewTransportError(key.address, schema.Reason_REASON_UNREACHABLE, false, wait.err)
		}
	}
}

// endpoint returns the endpoint for the key, or nil if the transport is closed.
func (t *Transport) endpoint(key endpointKey) *endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil {
		return nil
	}
	e, ok := t.endpoints[key]
	if !ok {
		e = &endpoint{transport: t, key: key, lastUsed: t.clock.Now()}
		t.endpoints[key] = e
	}
	return e
}

func (t *Transport) appendEndpoints(endpoints []*endpoint) []*endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, e := range t.endpoints {
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// monitor closes silent and idle connections and removes unused endpoints. It sleeps until the earliest time at which a
// connection can reach its silence timeout. Endpoints without calls are checked only every idleCheckInterval, because a
// node may have hundreds of them.
func (t *Transport) monitor() {
	wait := t.pingAfter
	nextCheck := t.clock.Now().Add(wait)
	nextIdle := nextCheck
	var endpoints []*endpoint
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.clock.After(wait):
		}
		now := t.clock.Now()
		wasPaused := now.Sub(nextCheck) > pauseThreshold
		idle := !now.Before(nextIdle)
		if idle {
			nextIdle = now.Add(idleCheckInterval)
		}
		endpoints = t.appendEndpoints(endpoints[:0])
		wait = t.pingAfter
		for _, e := range endpoints {
			if idle || e.calls.Load() > 0 {
				wait = min(wait, t.check(e, now, wasPaused))
			}
		}
		clear(endpoints)
		wait = max(wait, minCheckInterval)
		nextCheck = now.Add(wait)
	}
}

// check checks one endpoint and returns the time until the next check.
func (t *Transport) check(e *endpoint, now time.Time, paused bool) time.Duration {
	next, unused := e.check(now, paused)
	if unused {
		t.removeUnused(e)
	}
	return next
}

func (t *Transport) removeUnused(e *endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e.closeIfUnused() {
		delete(t.endpoints, e.key)
	}
}
