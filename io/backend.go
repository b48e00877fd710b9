package io

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// idleSweepsPerTimeout is the number of checks for expired idle connections per idle timeout.
	idleSweepsPerTimeout = 4
	// deadlineGrace is how long a request may occupy its connection after its deadline. The server has been notified of
	// the cancellation by then, so a connection without a response is probably dead. With 5 s, a few hung calls used up
	// the lowered concurrency limit of an instance, which then received no calls for that time.
	deadlineGrace = time.Second
	// tcpUserTimeout is how long sent data may remain unacknowledged before the kernel closes the connection.
	tcpUserTimeout = time.Second
	// minStallTimeout is the minimum time without a response after which the idle connections are discarded.
	minStallTimeout = 250 * time.Millisecond
	// cancelGrace is how long a cancelled request waits for the server to close the connection. Most servers drop a
	// cancelled request.
	cancelGrace = 250 * time.Millisecond
	// maxIdleForOnce is the maximum idle time of a connection that is used for a request that must not be sent twice. The
	// server may close a connection that has been idle for longer, or a middlebox may drop its state, just as the request
	// is sent.
	maxIdleForOnce = time.Second
	// maxRefusals is the number of refused requests after which a connection is not used again.
	maxRefusals = 16
	// maxBufferedBody is the maximum size of a request body that fits into the buffers of a connection.
	maxBufferedBody = 2 << 10
	// maxSkippedResponses bounds the responses read for one request: interim responses and responses to other requests
	// are skipped.
	maxSkippedResponses = 16
	// maxChunkOverhead is an upper bound for the encoded size of one body byte with chunked encoding. In the worst case a
	// chunk holds one byte: a chunk size, the byte and two CRLFs.
	maxChunkOverhead = 8
)

var errNoLoadReport = errors.New("response has no valid load report")

// Backend sends calls to the backend server of a guard. It manages its own connection pool.
type Backend struct {
	options
	errorCounter errorCounter
	address      string
	semaphore    *semaphore
	group        conc.WaitGroup
	stopped      context.Context
	stop         context.CancelFunc
	done         chan struct{}
	once         sync.Once
	// maxResponseBody is the maximum size of a response body in bytes.
	maxResponseBody atomic.Int64
	probePath       atomic.Pointer[string]

	mutex sync.Mutex
	idle  []*backendConn
	open  map[*backendConn]struct{}
}

// NewBackend returns a Backend for the server at address. It opens connections on demand.
func NewBackend(address string, opts ...Option) *Backend {
	o := newOptions(opts, defaultBackendIdleTimeout, defaultMaxConnections)
	b := &Backend{
		options:      o,
		errorCounter: newErrorCounter(o.registerer, "backend"),
		address:      address,
		semaphore:    newSemaphore(o.maxConnections),
		done:         make(chan struct{}),
		open:         make(map[*backendConn]struct{}),
	}
	b.maxResponseBody.Store(int64(o.maxBody))
	b.probePath.Store(&o.wire.ProbePath)
	b.stopped, b.stop = context.WithCancel(context.Background())
	b.group.Go(b.sweepIdle)
	return b
}

// Close closes all connections. Requests in progress fail as if the connection had been lost.
func (b *Backend) Close() error {
	b.mutex.Lock()
	b.stop()
	for c := range b.open {
		_ = c.Close()
	}
	b.idle = nil
	b.mutex.Unlock()
	b.group.Wait()
	b.once.Do(func() { close(b.done) })
	return nil
}

// Done returns a channel that is closed when Close has finished.
func (b *Backend) Done() <-chan struct{} { return b.done }

// sweepIdle periodically closes expired idle connections.
func (b *Backend) sweepIdle() {
	for {
		select {
		case <-b.stopped.Done():
			return
		case <-b.clock.After(b.idleTimeout / idleSweepsPerTimeout):
			b.closeIdle(b.clock.Now())
		}
	}
}

// closeIdle closes idle connections that have expired or exceed the connection limit. b.idle is ordered by the time of the
// last use.
func (b *Backend) closeIdle(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	closed := 0
	surplus := len(b.open) - b.semaphore.capacity()
	for closed < len(b.idle) && (closed < surplus || now.Sub(b.idle[closed].lastUsed) >= b.idleTimeout) {
		delete(b.open, b.idle[closed])
		_ = b.idle[closed].Close()
		b.idle[closed] = nil
		closed++
	}
	b.idle = b.idle[closed:]
}

// Connect implements core.Backend.
func (b *Backend) Connect(ctx context.Context) error {
	conn, err := b.dial(ctx)
	if err != nil {
		return err
	}
	return conn.Close()
}

// HasOpenIdle implements core.Backend.
func (b *Backend) HasOpenIdle() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.ContainsFunc(b.idle, (*backendConn).isOpen)
}

// Probe implements core.Backend.
func (b *Backend) Probe(ctx context.Context) (*core.ServerReport, error) {
	result := b.Send(ctx, &core.Request{Method: fasthttp.MethodGet, URI: *b.probePath.Load()})
	switch {
	case result.Code == 0:
		return nil, fmt.Errorf("probe %s: %s", b.address, core.ReasonName(result.Reason))
	case result.Report == nil:
		return nil, fmt.Errorf("probe %s: status code %d: %w", b.address, result.Code, errNoLoadReport)
	}
	if b.wire.Instance != "" {
		b.completeReport(result)
	}
	return result.Report, nil
}

// completeReport adds the information in the status code and the probe header fields to the report. A status other than
// 200 means that the server is unhealthy: it is draining or failing. A response without the instance name does not contain
// the state of the server.
func (b *Backend) completeReport(result *core.Result) {
	r := result.Report
	r.Draining = result.Code != fasthttp.StatusOK
	r.HasState = false
	for _, h := range result.Headers {
		switch {
		case strings.EqualFold(h.GetName(), b.wire.Instance):
			r.Instance = string(h.GetValue())
			r.HasState = r.Instance != "" && result.Reason != schema.Reason_REASON_SHED
		case strings.EqualFold(h.GetName(), b.wire.ColdTime):
			left := 0
			if core.ParseCount(string(h.GetValue()), &left) {
				r.ColdRemaining = time.Duration(left) * time.Millisecond
				r.Cold = left > 0
			}
		}
	}
}

// Send implements core.Backend. A zero Deadline means that the request has no deadline. In addition to the reasons listed
// at core.Result, the reason is CANCELLED if ctx was cancelled before the first byte was written, or if the request was
// cancelled and the wire format has ServersDropCancelled set.
func (b *Backend) Send(ctx context.Context, request *core.Request) *core.Result {
	if !b.semaphore.acquire(ctx) {
		return b.countFailure(&core.Result{Reason: contextReason(ctx)})
	}
	defer b.semaphore.release()
	c, err := b.acquire(ctx, request)
	if c != nil && ctx.Err() != nil {
		c.reusable = true
		b.release(c)
		err = ctx.Err()
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return b.countFailure(&core.Result{Reason: contextReason(ctx)})
	case err != nil:
		return b.countFailure(&core.Result{Reason: schema.Reason_REASON_CONNECT})
	}
	result := c.roundTrip(ctx, request)
	if result.Reason == schema.Reason_REASON_SHED || result.Reason == schema.Reason_REASON_WRONG_INSTANCE {
		c.recordRefusal(request.ID)
	}
	b.release(c)
	return b.countFailure(result)
}

// Configure implements core.Backend. The values come from the document and can change at any time.
func (b *Backend) Configure(connections, maxBody int, probePath string) {
	probePath = cmp.Or(probePath, b.wire.ProbePath)
	b.probePath.Store(&probePath)
	b.semaphore.setLimit(connections)
	b.maxResponseBody.Store(int64(maxBody))
	b.closeIdle(b.clock.Now())
}

// countFailure increments the error counter for the reason of a failed result, and returns the result.
func (b *Backend) countFailure(result *core.Result) *core.Result {
	if result.Reason != schema.Reason_REASON_NONE {
		b.errorCounter.inc(core.ReasonName(result.Reason))
	}
	return result
}

// acquire returns an idle connection that is still open, or opens a new one.
func (b *Backend) acquire(ctx context.Context, request *core.Request) (*backendConn, error) {
	for {
		c := b.popIdle(request.ID)
		if c == nil {
			break
		}
		idle := b.clock.Now().Sub(c.lastUsed)
		if request.AtMostOnce && idle >= maxIdleForOnce {
			b.pushIdle(c)
			break
		}
		if idle < b.idleTimeout && c.isOpen() {
			return c, nil
		}
		b.closeConn(c)
	}
	b.makeRoom()
	conn, err := b.dial(ctx)
	if err != nil {
		return nil, err
	}
	c := newBackendConn(b, conn)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped.Err() != nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	b.open[c] = struct{}{}
	return c, nil
}

// makeRoom closes the idle connections for which there is no room beside those of the requests in progress. A server resets
// connections beyond its maximum, and a reset does not tell what has run. b.idle is ordered by the time of the last use.
func (b *Backend) makeRoom() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.idle) > 0 && len(b.idle) > b.semaphore.free() {
		delete(b.open, b.idle[0])
		_ = b.idle[0].Close()
		b.idle = b.idle[1:]
	}
}

func (b *Backend) dial(ctx context.Context) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: b.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return nil, fmt.Errorf("backend server: %w", err)
	}
	tcp := conn.(*net.TCPConn)
	if err := setUserTimeout(tcp, tcpUserTimeout); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("backend server: %w", err)
	}
	return tcp, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482). If a middlebox has dropped the state of the connection, the kernel
// detects it after the timeout instead of after several minutes of retransmissions.
func setUserTimeout(conn *net.TCPConn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("get raw connection: %w", err)
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err = errors.Join(err, sockErr); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// discardIdle closes all idle connections. It is called when a request on a reused connection receives no response: a
// middlebox that has dropped the state of one connection has probably dropped the others too, and each of them would cost
// another request.
func (b *Backend) discardIdle() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, c := range b.idle {
		delete(b.open, c)
		_ = c.Close()
	}
	b.errorCounter.inc("distrusted")
	b.idle = nil
}

// popIdle returns the idle connection that was used last and has not refused a request with the ID, or nil.
func (b *Backend) popIdle(id string) *backendConn {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := len(b.idle) - 1; i >= 0; i-- {
		if c := b.idle[i]; !slices.Contains(c.refused, id) {
			b.idle = slices.Delete(b.idle, i, i+1)
			return c
		}
	}
	return nil
}

// pushIdle adds a connection to the end of the idle list. The caller updates lastUsed if the connection was used.
func (b *Backend) pushIdle(c *backendConn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped.Err() == nil {
		b.idle = append(b.idle, c)
	}
}

// release returns a connection to the pool, or closes it if it cannot be reused.
func (b *Backend) release(c *backendConn) {
	if !c.reusable {
		b.closeConn(c)
		return
	}
	c.lastUsed = b.clock.Now()
	c.request = nil
	b.pushIdle(c)
}

func (b *Backend) closeConn(c *backendConn) {
	_ = c.Close()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.open, c)
}
