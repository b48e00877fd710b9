package io

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	stdio "io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// sweepsPerLife is how often idle connections are looked at in the time that one may live.
	sweepsPerLife = 4
	// slotGrace is how long a request may occupy its connection after its deadline. The server was told of the
	// cancellation by then; a connection that is still without a response has probably gone silent. With 5 s, a few hung
	// calls filled the lowered limit of an instance, which then got no work for as long.
	slotGrace = time.Second
	// unackedTime is how long written bytes may stay unacknowledged before the kernel ends the connection.
	unackedTime = time.Second
	// minStall is the shortest time without a response after which idle connections are no longer trusted.
	minStall = 250 * time.Millisecond
	// maxInterim bounds the informational responses before the final one.
	maxInterim = 16
	// noLength is what fasthttp gives for a response with neither a length nor chunked framing.
	noLength = -2
	// chunkedLength is what fasthttp gives for a chunked response.
	chunkedLength = -1
)

var (
	errDeadline = errors.New("deadline passed before the first byte")
	errNoReport = errors.New("response carries no valid load report")
)

// Backend sends calls to the backend server of a guard over its own pool of connections.
type Backend struct {
	options
	faults  faults
	address string
	slots   *slots
	group   conc.WaitGroup
	stopped context.Context
	stop    context.CancelFunc
	done    chan struct{}
	once    sync.Once
	// bodyLimit bounds a response body in bytes.
	bodyLimit atomic.Int64

	mutex sync.Mutex
	idle  []*backendConn
	open  map[*backendConn]struct{}
}

// NewBackend returns a Backend for the server at address. It opens connections on demand.
func NewBackend(address string, opts ...Option) *Backend {
	o := newOptions(opts, defaultBackendIdle, defaultConnections)
	b := &Backend{
		options: o,
		faults:  newFaults(o.registerer, "backend"),
		address: address,
		slots:   newSlots(o.connections),
		done:    make(chan struct{}),
		open:    make(map[*backendConn]struct{}),
	}
	b.bodyLimit.Store(int64(o.maxBody))
	b.stopped, b.stop = context.WithCancel(context.Background())
	b.group.Go(b.sweep)
	return b
}

// Close closes all connections; requests in progress end as lost.
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

// Done is closed once Close has finished.
func (b *Backend) Done() <-chan struct{} { return b.done }

// sweep closes the connections that are idle for too long.
func (b *Backend) sweep() {
	for {
		select {
		case <-b.stopped.Done():
			return
		case <-b.clock.After(b.idleTime / sweepsPerLife):
			b.closeIdle(b.clock.Now())
		}
	}
}

// closeIdle closes the connections that are idle for too long, or too many. They are ordered by their last use.
func (b *Backend) closeIdle(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	old := 0
	surplus := len(b.open) - b.slots.bound()
	for old < len(b.idle) && (old < surplus || now.Sub(b.idle[old].used) >= b.idleTime) {
		delete(b.open, b.idle[old])
		_ = b.idle[old].Close()
		b.idle[old] = nil
		old++
	}
	b.idle = b.idle[old:]
}

// Connect implements core.Backend.
func (b *Backend) Connect(ctx context.Context) error {
	conn, err := b.dial(ctx)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Probe implements core.Backend.
func (b *Backend) Probe(ctx context.Context) (*core.ServerReport, error) {
	result := b.Send(ctx, &core.Request{Method: fasthttp.MethodGet, URI: core.ProbePath})
	switch {
	case result.Code == 0:
		return nil, fmt.Errorf("probe %s: %s", b.address, core.ReasonName(result.Reason))
	case result.Report == nil:
		return nil, fmt.Errorf("probe %s: code %d: %w", b.address, result.Code, errNoReport)
	}
	return result.Report, nil
}

// Send implements core.Backend. A zero Deadline means none. Besides the reasons of core.Result it gives CANCELLED if ctx
// was cancelled before the first byte.
func (b *Backend) Send(ctx context.Context, request *core.Request) *core.Result {
	if !b.slots.acquire(ctx) {
		return b.fail(&core.Result{Reason: endReason(ctx)})
	}
	defer b.slots.release()
	c, err := b.acquire(ctx)
	if c != nil && ctx.Err() != nil {
		c.reusable = true
		b.release(c)
		err = ctx.Err()
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return b.fail(&core.Result{Reason: endReason(ctx)})
	case err != nil:
		return b.fail(&core.Result{Reason: schema.Reason_REASON_CONNECT})
	}
	result := c.exchange(ctx, request)
	b.release(c)
	return b.fail(result)
}

// Configure sets the bounds on open connections and on bodies in bytes; both come from the document and may change.
func (b *Backend) Configure(connections, maxBody int) {
	b.slots.setLimit(connections)
	b.bodyLimit.Store(int64(maxBody))
	b.closeIdle(b.clock.Now())
}

// fail counts the reason of a result.
func (b *Backend) fail(result *core.Result) *core.Result {
	if result.Reason != schema.Reason_REASON_NONE {
		b.faults.count(core.ReasonName(result.Reason))
	}
	return result
}

// acquire returns an idle connection that is still open, or a new one.
func (b *Backend) acquire(ctx context.Context) (*backendConn, error) {
	for {
		c := b.pop()
		if c == nil {
			break
		}
		if b.clock.Now().Sub(c.used) < b.idleTime && c.alive() {
			return c, nil
		}
		b.drop(c)
	}
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

func (b *Backend) dial(ctx context.Context) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: b.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return nil, fmt.Errorf("backend server: %w", err)
	}
	tcp := conn.(*net.TCPConn)
	if err := setUserTimeout(tcp, unackedTime); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("backend server: %w", err)
	}
	return tcp, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT (RFC 5482): a device on the path that has lost track of the connection is noticed
// after the time, not after the minutes that retransmissions last.
func setUserTimeout(conn *net.TCPConn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the socket: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("set the user timeout: %w", err)
	}
	return nil
}

// distrust closes the connections that are idle. It is called when a request on a used connection gets no response: a
// device that lost track of one connection has probably lost the others too, and each would cost a request.
func (b *Backend) distrust() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, c := range b.idle {
		delete(b.open, c)
		_ = c.Close()
	}
	b.faults.count("distrusted")
	b.idle = nil
}

func (b *Backend) pop() *backendConn {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := len(b.idle) - 1
	if last < 0 {
		return nil
	}
	c := b.idle[last]
	b.idle[last] = nil
	b.idle = b.idle[:last]
	return c
}

// release puts a connection back, or closes it if it cannot be used again.
func (b *Backend) release(c *backendConn) {
	if !c.reusable {
		b.drop(c)
		return
	}
	c.used = b.clock.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped.Err() == nil {
		b.idle = append(b.idle, c)
	}
}

func (b *Backend) drop(c *backendConn) {
	_ = c.Close()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.open, c)
}

// slots bounds the requests in progress, and with them the open connections. Waiters are served in order.
type slots struct {
	mutex   sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

func newSlots(limit int) *slots { return &slots{limit: limit} }

// acquire waits for a slot and reports whether it got one before ctx ended.
func (s *slots) acquire(ctx context.Context) bool {
	s.mutex.Lock()
	if s.used < s.limit {
		s.used++
		s.mutex.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.mutex.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return !s.withdraw(granted)
	}
}

// withdraw removes a waiter and reports whether it was still waiting.
func (s *slots) withdraw(granted chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := slices.Index(s.waiters, granted)
	if at < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, at, at+1)
	return true
}

func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used--
	s.grant()
}

func (s *slots) setLimit(limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	s.grant()
}

func (s *slots) bound() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit
}

func (s *slots) grant() {
	for s.used < s.limit && len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.used++
	}
}

// backendConn is a connection to the backend server. It counts the bytes of the exchange in progress.
type backendConn struct {
	*net.TCPConn
	backend  *Backend
	raw      syscall.RawConn
	reader   *bufio.Reader
	writer   *bufio.Writer
	used     time.Time
	reusable bool
	deadline time.Time
	stall    *time.Timer
	written  int
	read     int
}

func newBackendConn(b *Backend, conn *net.TCPConn) *backendConn {
	c := &backendConn{TCPConn: conn, backend: b}
	c.raw, _ = conn.SyscallConn()
	c.reader = bufio.NewReaderSize(c, maxHeaderBytes)
	c.writer = bufio.NewWriterSize(c, readBufferSize)
	return c
}

// Read counts the bytes read.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read += n
	return n, err
}

// Write counts the bytes written. The clock is read right before the first byte.
func (c *backendConn) Write(p []byte) (int, error) {
	if c.written == 0 && !c.deadline.IsZero() && !c.backend.clock.Now().Before(c.deadline) {
		return 0, errDeadline
	}
	n, err := c.TCPConn.Write(p)
	c.written += n
	return n, err
}

// alive reports whether the server has neither closed the idle connection nor sent anything on it.
func (c *backendConn) alive() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// exchange writes the request and reads the response. When ctx ends it half-closes the connection, which tells the
// server that the call is cancelled and frees a write that is blocked, and goes on reading.
func (c *backendConn) exchange(ctx context.Context, request *core.Request) *core.Result {
	c.reusable, c.written, c.read, c.deadline = false, 0, 0, request.Deadline
	limit, stall := c.backend.limits(request.Deadline)
	_ = c.SetDeadline(time.Now().Add(limit))
	if !c.used.IsZero() {
		c.watchStall(stall)
		defer c.stall.Stop()
	}
	cancelled := context.AfterFunc(ctx, func() { _ = c.CloseWrite() })
	if err := c.send(request); err != nil {
		return c.unsent(ctx, err, !cancelled())
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	head := request.Method == fasthttp.MethodHead
	err := c.receive(response, head)
	running := cancelled()
	if err != nil {
		return c.broken(err, running)
	}
	c.reusable = running && !response.ConnectionClose() && c.reader.Buffered() == 0
	return c.result(response, head)
}

// watchStall calls distrust after the time, unless the timer is stopped. The timer is reused, because a new one for each
// request would cost two allocations.
func (c *backendConn) watchStall(stall time.Duration) {
	if c.stall == nil {
		c.stall = time.AfterFunc(stall, c.backend.distrust)
		return
	}
	c.stall.Reset(stall)
}

// limits returns how long a request may occupy its connection, and when a missing response makes idle connections
// suspicious.
func (b *Backend) limits(deadline time.Time) (limit, stall time.Duration) {
	if deadline.IsZero() {
		return b.slotLimit, b.slotLimit / 2
	}
	left := max(0, deadline.Sub(b.clock.Now()))
	return min(b.slotLimit, left+slotGrace), max(minStall, left/2)
}

func (c *backendConn) send(request *core.Request) error {
	message := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(message)
	c.fill(message, request)
	c.writer.Reset(c)
	if err := message.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *backendConn) fill(message *fasthttp.Request, request *core.Request) {
	h := &message.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(request.Method)
	h.SetRequestURI(request.URI)
	for _, f := range request.Headers {
		if name := f.GetName(); !isHopByHop(name) && !isCallField(name) {
			h.AddBytesV(f.GetName(), f.GetValue())
		}
	}
	if len(h.Host()) == 0 {
		h.SetHost(c.backend.address)
	}
	if !request.Deadline.IsZero() {
		left := max(0, request.Deadline.Sub(c.backend.clock.Now()))
		h.Set(core.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	h.Set(core.HeaderDepth, strconv.FormatUint(uint64(request.Depth), 10))
	message.SetBodyRaw(request.Body)
}

// unsent maps an error of writing the request.
func (c *backendConn) unsent(ctx context.Context, err error, cancelled bool) *core.Result {
	result := &core.Result{Written: c.written > 0, Reason: schema.Reason_REASON_CONNECTION_LOST}
	switch {
	case errors.Is(err, errDeadline):
		result.Reason = schema.Reason_REASON_DEADLINE
		c.reusable = !cancelled
	case cancelled && !result.Written:
		result.Reason = endReason(ctx)
	default:
		result.Reset = isReset(err) && !cancelled
	}
	return result
}

// broken maps an error of reading the response. A connection that ends after it was cancelled is no sign of a crash.
func (c *backendConn) broken(err error, running bool) *core.Result {
	result := &core.Result{Written: true}
	var small *fasthttp.ErrSmallBuffer
	var slow interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &small):
		result.Reason = schema.Reason_REASON_TOO_LARGE
	case errors.As(err, &slow) && slow.Timeout():
		result.Reason = schema.Reason_REASON_DEADLINE
	case c.read > 0:
		result.Reason = schema.Reason_REASON_TRUNCATED
	default:
		result.Reason = schema.Reason_REASON_CONNECTION_LOST
		result.Reset = running && c.backend.stopped.Err() == nil
	}
	return result
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, stdio.EOF)
}

// receive reads a whole response. It follows fasthttp's ReadLimitBody, but refuses a body that ends with the connection,
// since its end cannot be told from a truncation.
func (c *backendConn) receive(response *fasthttp.Response, head bool) error {
	response.SkipBody = head
	h := &response.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	for range maxInterim {
		if err := h.Read(c.reader); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK || h.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	if head || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	length := h.ContentLength()
	if length == noLength || h.StatusCode() < fasthttp.StatusOK {
		return errNoFraming
	}
	if err := response.ReadBody(c.reader, int(c.backend.bodyLimit.Load())); err != nil {
		return err
	}
	if length == chunkedLength {
		return h.ReadTrailer(c.reader)
	}
	return nil
}

var errNoFraming = errors.New("response has neither a length nor chunked framing")

// result copies a response.
func (c *backendConn) result(response *fasthttp.Response, head bool) *core.Result {
	result := &core.Result{Written: true, Code: response.StatusCode(), Body: response.SwapBody(nil)}
	headers := newHeaderCopy()
	length := head || result.Code == fasthttp.StatusNotModified
	for name, value := range response.Header.All() {
		switch {
		case isFold(name, core.HeaderLoad):
			c.setReport(result, string(value))
			continue
		case isFold(name, core.HeaderNotRun) && result.Code == fasthttp.StatusServiceUnavailable:
			result.Reason = schema.Reason_REASON_SHED
		case isFold(name, fasthttp.HeaderContentLength) && !length:
			continue
		}
		headers.add(name, value)
	}
	result.Headers = keepEndToEnd(headers.finish(), length)
	return result
}

// setReport reads the load report, which is meant for the guard and not passed on.
func (c *backendConn) setReport(result *core.Result, value string) {
	report, ok := parseLoad(value)
	if !ok {
		c.backend.faults.count("malformed-load")
	}
	result.Report = report
}
