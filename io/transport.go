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
	// pingedPeriod is the time between two checks of a connection that has not answered a ping. It is short so that a
	// pause of this process in that time is noticed.
	pingedPeriod = 25 * time.Millisecond
	// minWait bounds the rate of checks.
	minWait = 5 * time.Millisecond
	// idlePeriod is the time between two checks of connections without calls.
	idlePeriod = time.Second
	// pauseGap is the delay of a check above which this process itself was paused: replies may wait in the kernel, so
	// silence is measured anew.
	pauseGap = 200 * time.Millisecond
)

var (
	errClosed  = errors.New("transport is closed")
	errSilent  = errors.New("nothing was read on the connection")
	errLeaving = errors.New("server is shutting down")
	errIdle    = errors.New("connection was idle")
)

// purpose separates the connections of calls from those of the peer exchange, whose messages may be large.
type purpose int

const (
	purposeCalls purpose = iota
	purposePeers
)

// limit returns the largest message of a connection in bytes.
func (p purpose) limit(maxBody int) int {
	if p == purposePeers {
		return maxDocument + frameRoom
	}
	return maxBody + frameRoom
}

type linkKey struct {
	address string
	purpose purpose
}

// Transport reaches other nodes. It keeps one connection for calls and one for the peer exchange per address, opened
// on demand.
type Transport struct {
	options
	faults faults
	group  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once

	mutex sync.Mutex
	links map[linkKey]*link
}

// NewTransport returns a Transport. clock measures silence and idle time.
func NewTransport(clock core.Clock, opts ...Option) *Transport {
	o := newOptions(append([]Option{WithClock(clock)}, opts...), defaultNodeIdle, defaultConnections)
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options: o,
		faults:  newFaults(o.registerer, "transport"),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		links:   make(map[linkKey]*link),
	}
	t.group.Go(t.monitor)
	return t
}

// Close closes all connections; calls in flight fail.
func (t *Transport) Close() error {
	t.mutex.Lock()
	t.cancel()
	t.mutex.Unlock()
	for _, l := range t.appendLinks(nil) {
		l.close()
	}
	t.group.Wait()
	t.once.Do(func() { close(t.done) })
	return nil
}

// Done is closed once Close has finished.
func (t *Transport) Done() <-chan struct{} { return t.done }

// Execute implements core.Transport.
func (t *Transport) Execute(ctx context.Context, to *core.Instance, request *schema.ExecuteRequest) (*schema.ExecuteReply, error) {
	return call(ctx, t, purposeCalls, to.Address(), "Guard.Execute", request, new(schema.ExecuteReply))
}

// Cancel implements core.Transport.
func (t *Transport) Cancel(ctx context.Context, to *core.Instance, request *schema.CancelRequest) (*schema.CancelReply, error) {
	return call(ctx, t, purposeCalls, to.Address(), "Guard.Cancel", request, new(schema.CancelReply))
}

// Issue implements core.Transport.
func (t *Transport) Issue(ctx context.Context, to *core.Instance, request *schema.IssueRequest) (*schema.IssueReply, error) {
	return call(ctx, t, purposeCalls, to.Address(), "Guard.Issue", request, new(schema.IssueReply))
}

// Supersede implements core.Transport.
func (t *Transport) Supersede(ctx context.Context, to *core.Instance, request *schema.SupersedeRequest) (*schema.SupersedeReply, error) {
	return call(ctx, t, purposeCalls, to.Address(), "Guard.Supersede", request, new(schema.SupersedeReply))
}

// Sync implements core.PeerTransport.
func (t *Transport) Sync(ctx context.Context, address string, request *schema.SyncRequest) (*schema.SyncReply, error) {
	return call(ctx, t, purposePeers, address, "Peer.Sync", request, new(schema.SyncReply))
}

// Buckets implements core.PeerTransport.
func (t *Transport) Buckets(ctx context.Context, address string, request *schema.BucketsRequest) (*schema.BucketsReply, error) {
	return call(ctx, t, purposePeers, address, "Peer.Buckets", request, new(schema.BucketsReply))
}

// Manifest implements core.PeerTransport.
func (t *Transport) Manifest(ctx context.Context, address string, request *schema.ManifestRequest) (*schema.ManifestReply, error) {
	return call(ctx, t, purposePeers, address, "Peer.Manifest", request, new(schema.ManifestReply))
}

// Sections implements core.PeerTransport.
func (t *Transport) Sections(ctx context.Context, address string, request *schema.SectionsRequest) (*schema.SectionsReply, error) {
	return call(ctx, t, purposePeers, address, "Peer.Sections", request, new(schema.SectionsReply))
}

// Suspects implements core.PeerTransport. It uses the connection of the calls, because a large section must not
// delay it.
func (t *Transport) Suspects(ctx context.Context, address string, request *schema.SuspectsRequest) (*schema.SuspectsReply, error) {
	return call(ctx, t, purposeCalls, address, "Peer.Suspects", request, new(schema.SuspectsReply))
}

// call sends one request and waits for its reply or the end of ctx.
func call[R proto.Message](ctx context.Context, t *Transport, p purpose, address, method string, request proto.Message, reply R) (R, error) {
	err := t.exchange(ctx, p, address, method, request, reply)
	if err != nil {
		var none R
		return none, err
	}
	return reply, nil
}

func (t *Transport) exchange(ctx context.Context, p purpose, address, method string, request, reply proto.Message) error {
	x := &exchange{message: reply}
	if err := x.encode(request, p.limit(t.maxBody)); err != nil {
		t.faults.count("oversize")
		return core.NewTransportError(address, schema.Reason_REASON_TOO_LARGE, false, err)
	}
	l, c, failure := t.acquire(ctx, linkKey{address, p})
	if failure != nil {
		return failure
	}
	abandoned := false
	defer func() { l.release(c, t.clock, abandoned) }()
	pending := c.client.Go(method, x, x, make(chan *rpc.Call, 1))
	c.codec.writer.flush()
	select {
	case <-pending.Done:
		return t.outcome(c, &x.frame, address, pending.Error)
	case <-ctx.Done():
		x.forgotten.Store(true)
		sent := !c.codec.writer.drop(&x.frame)
		abandoned = sent
		return core.NewTransportError(address, endReason(ctx), sent, ctx.Err())
	}
}

// outcome maps the end of a call to an error.
func (t *Transport) outcome(c *connection, f *frame, address string, err error) error {
	if err == nil {
		return nil
	}
	sent := !c.codec.writer.drop(f)
	reason := schema.Reason_REASON_NODE_LOST
	if cause := c.codec.cause(); cause != nil {
		err = cause
	}
	switch {
	case errors.Is(err, errSilent):
		reason = schema.Reason_REASON_CONNECTION_SILENT
	case !sent:
		reason = schema.Reason_REASON_UNREACHABLE
	}
	t.faults.count(core.ReasonName(reason))
	return core.NewTransportError(address, reason, sent, err)
}

func endReason(ctx context.Context) schema.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schema.Reason_REASON_DEADLINE
	}
	return schema.Reason_REASON_CANCELLED
}

func (t *Transport) acquire(ctx context.Context, key linkKey) (*link, *connection, error) {
	for {
		if ctx.Err() != nil {
			return nil, nil, core.NewTransportError(key.address, endReason(ctx), false, ctx.Err())
		}
		l := t.link(key)
		if l == nil {
			return nil, nil, core.NewTransportError(key.address, schema.Reason_REASON_UNREACHABLE, false, errClosed)
		}
		c, wait := l.acquire(t.clock)
		if c != nil {
			return l, c, nil
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
			t.faults.count("dial")
			return nil, nil, core.NewTransportError(key.address, schema.Reason_REASON_UNREACHABLE, false, wait.err)
		}
	}
}

// link returns the link of the key, or nil once the transport is closed.
func (t *Transport) link(key linkKey) *link {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil {
		return nil
	}
	l, ok := t.links[key]
	if !ok {
		l = &link{transport: t, key: key, used: t.clock.Now()}
		t.links[key] = l
	}
	return l
}

func (t *Transport) appendLinks(links []*link) []*link {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, l := range t.links {
		links = append(links, l)
	}
	return links
}

// monitor closes silent and idle connections and forgets addresses that are no longer used. It sleeps until the next
// connection may have been silent for long enough. Links without calls are looked at only once in idlePeriod, because a
// node may have hundreds.
func (t *Transport) monitor() {
	wait := t.pingAfter
	planned := t.clock.Now().Add(wait)
	nextIdle := planned
	var links []*link
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.clock.After(wait):
		}
		now := t.clock.Now()
		paused := now.Sub(planned) > pauseGap
		idle := !now.Before(nextIdle)
		if idle {
			nextIdle = now.Add(idlePeriod)
		}
		links = t.appendLinks(links[:0])
		wait = t.pingAfter
		for _, l := range links {
			if idle || l.calls.Load() > 0 {
				wait = min(wait, t.check(l, now, paused))
			}
		}
		clear(links)
		wait = max(wait, minWait)
		planned = now.Add(wait)
	}
}

// check checks one link and returns the time until the next check.
func (t *Transport) check(l *link, now time.Time, paused bool) time.Duration {
	next, unused := l.check(now, paused)
	if unused {
		t.forget(l)
	}
	return next
}

func (t *Transport) forget(l *link) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if l.retire() {
		delete(t.links, l.key)
	}
}
