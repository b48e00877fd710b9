package io

import (
	"bufio"
	"context"
	"errors"
	stdio "io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/schema"
)

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
