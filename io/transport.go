package io

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
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
	defer l.release(c, t.clock)
	pending := c.client.Go(method, x, x, make(chan *rpc.Call, 1))
	c.codec.writer.flush()
	select {
	case <-pending.Done:
		return t.outcome(c, &x.frame, address, pending.Error)
	case <-ctx.Done():
		x.forgotten.Store(true)
		sent := !c.codec.writer.drop(&x.frame)
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

// link is the way to one address.
type link struct {
	transport *Transport
	key       linkKey
	// calls counts the calls in flight on all connections of the link.
	calls atomic.Int64

	mutex   sync.Mutex
	current *connection
	// leaving holds connections whose server takes no further calls, until their calls have ended.
	leaving []*connection
	dialing *dial
	used    time.Time
	retired bool
}

// dial is an attempt to open a connection, which several calls may wait for.
type dial struct {
	done chan struct{}
	err  error
}

// acquire returns the connection with its call counted, or the dial to wait for, or neither if the link was retired.
func (l *link) acquire(clock core.Clock) (*connection, *dial) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.retired {
		return nil, nil
	}
	now := clock.Now()
	l.used = now
	if c := l.current; c != nil && c.codec.cause() == nil {
		if c.calls == 0 {
			c.quiet = now
		}
		c.calls++
		l.calls.Add(1)
		return c, nil
	}
	l.current = nil
	if l.dialing == nil {
		l.dialing = &dial{done: make(chan struct{})}
		l.transport.group.Go(l.dial)
	}
	return nil, l.dialing
}

func (l *link) release(c *connection, clock core.Clock) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.calls--
	l.calls.Add(-1)
	l.used = clock.Now()
	l.closeLeaving()
}

// leave takes a connection out of use for new calls, because its server is shutting down.
func (l *link) leave(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current == c {
		l.current = nil
	}
	l.leaving = append(l.leaving, c)
	l.closeLeaving()
}

// closeLeaving closes the leaving connections whose calls have ended.
func (l *link) closeLeaving() {
	l.leaving = slices.DeleteFunc(l.leaving, func(c *connection) bool {
		if c.calls == 0 {
			c.end(errLeaving)
		}
		return c.calls == 0
	})
}

func (l *link) dial() {
	t := l.transport
	dialer := net.Dialer{Timeout: t.dialTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", l.key.address)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	attempt := l.dialing
	l.dialing = nil
	attempt.err = err
	if err == nil && t.ctx.Err() != nil {
		_ = conn.Close()
		attempt.err = errClosed
	}
	if attempt.err == nil {
		l.current = newConnection(l, conn)
	}
	close(attempt.done)
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retired = true
	if l.current != nil {
		l.current.end(errClosed)
	}
	for _, c := range l.leaving {
		c.end(errClosed)
	}
}

// retire marks the link as unusable unless a call came in meanwhile.
func (l *link) retire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retired = l.current == nil && l.dialing == nil && len(l.leaving) == 0
	return l.retired
}

// check pings or closes connections as needed. It returns the time until the next check and whether the link is unused.
func (l *link) check(now time.Time, paused bool) (next time.Duration, unused bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next = l.transport.pingAfter
	l.leaving = slices.DeleteFunc(l.leaving, func(c *connection) bool {
		next = min(next, c.checkSilence(now, paused))
		return c.codec.cause() != nil
	})
	c := l.current
	idle := now.Sub(l.used) >= l.transport.idleTime
	if c != nil && c.calls > 0 {
		next = min(next, c.checkSilence(now, paused))
	}
	if c != nil && c.calls == 0 {
		c.pinged = time.Time{}
		if idle {
			c.end(errIdle)
		}
	}
	if c == nil || c.codec.cause() != nil {
		l.current = nil
		return next, idle
	}
	return next, false
}

// connection is an open connection; its fields are guarded by the mutex of the link.
type connection struct {
	transport *Transport
	codec     *clientCodec
	client    *rpc.Client
	calls     int
	// quiet is when the silence that is measured may have begun at the earliest.
	quiet  time.Time
	pinged time.Time
}

func newConnection(l *link, conn net.Conn) *connection {
	c := &connection{transport: l.transport, codec: newClientCodec(l.transport, conn, l.key.purpose)}
	c.codec.leave = func() { l.leave(c) }
	c.client = rpc.NewClientWithCodec(c.codec)
	return c
}

// checkSilence pings the connection or closes it, and returns the time until the next check.
func (c *connection) checkSilence(now time.Time, paused bool) time.Duration {
	read := time.Unix(0, c.codec.read.Load())
	if paused {
		c.quiet = now
		c.pinged = time.Time{}
	}
	if read.Before(c.quiet) {
		read = c.quiet
	}
	if read.After(c.pinged) {
		c.pinged = time.Time{}
	}
	silent := now.Sub(read)
	switch {
	case c.pinged.IsZero() && silent < c.transport.pingAfter:
		return c.transport.pingAfter - silent
	case c.pinged.IsZero():
		c.pinged = now
		c.ping()
	case now.Sub(c.pinged) >= c.transport.silentAfter:
		c.transport.faults.count("silent")
		c.end(errSilent)
	}
	return min(pingedPeriod, c.transport.silentAfter-now.Sub(c.pinged))
}

func (c *connection) ping() {
	x := &exchange{message: &schema.PingReply{}}
	if x.encode(&schema.PingRequest{}, frameRoom) == nil {
		c.client.Go("Node.Ping", x, x, make(chan *rpc.Call, 1))
		c.codec.writer.flush()
	}
}

func (c *connection) end(err error) {
	c.codec.end(err)
	_ = c.client.Close()
}

// exchange is a request on its way and the message that receives its reply. A forgotten reply is read and dropped.
type exchange struct {
	frame
	message   proto.Message
	forgotten atomic.Bool
}

// clientCodec is the net/rpc codec of one connection.
type clientCodec struct {
	transport *Transport
	conn      net.Conn
	reader    *frameReader
	writer    *frameWriter
	read      atomic.Int64
	// leave is called when the server takes no further calls.
	leave func()
	// request and response are the headers being written and read; net/rpc writes under a lock and reads in one goroutine.
	request  schema.RpcRequest
	response schema.RpcResponse

	mutex sync.Mutex
	err   error
}

func newClientCodec(t *Transport, conn net.Conn, p purpose) *clientCodec {
	c := &clientCodec{transport: t, conn: conn}
	c.read.Store(t.clock.Now().UnixNano())
	c.reader = newFrameReader(&stampedReader{conn: conn, clock: t.clock, read: &c.read}, p.limit(t.maxBody))
	c.writer = newFrameWriter(conn, t.writeTimeout, &t.group, func(err error) {
		t.faults.count(kindWrite)
		c.end(fmt.Errorf("write: %w", err))
	})
	return c
}

// cause returns why the connection ended, or nil.
func (c *clientCodec) cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// end closes the connection; the first cause is kept.
func (c *clientCodec) end(err error) {
	c.mutex.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mutex.Unlock()
	c.writer.stop(err)
	_ = c.conn.Close()
}

// WriteRequest implements rpc.ClientCodec. body is an *exchange. The caller flushes once net/rpc has released its lock, so
// that calls at the same time go out in one write.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	x, ok := body.(*exchange)
	if !ok {
		return fmt.Errorf("unexpected body %T", body)
	}
	c.request.SetMethod(request.ServiceMethod)
	c.request.SetSequence(request.Seq)
	if err := x.seal(&c.request); err != nil {
		return err
	}
	return c.writer.enqueue(&x.frame)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	header := &c.response
	if err := c.reader.read(header); err != nil {
		return c.lost(err)
	}
	if header.GetMethod() == goodbyeMethod {
		c.leave()
	}
	response.Seq = header.GetSequence()
	response.Error = header.GetError()
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. body is nil or an *exchange.
func (c *clientCodec) ReadResponseBody(body any) error {
	x, ok := body.(*exchange)
	if !ok || x.forgotten.Load() {
		return c.check(c.reader.skip())
	}
	return c.check(c.reader.read(x.message))
}

func (c *clientCodec) check(err error) error {
	if err != nil {
		return c.lost(err)
	}
	return nil
}

// lost ends the connection after a read error, since the stream may be out of step.
func (c *clientCodec) lost(err error) error {
	var malformed *FrameError
	if errors.As(err, &malformed) {
		c.transport.faults.count(malformed.kind)
	}
	c.end(fmt.Errorf("read: %w", err))
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.end(errClosed)
	return nil
}
