package io

import (
	"bufio"
	"context"
	"errors"
	stdio "io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/head"
	"verbenareel/schema"
)

// backendConn is a connection to the backend server. It counts the bytes read and written for the current request.
type backendConn struct {
	*net.TCPConn
	backend  *Backend
	raw      syscall.RawConn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	reusable bool
	// refused are the IDs of the requests that the server refused on this connection. A faulty server may write such a
	// refusal once more, so no request with the same ID is sent there again.
	refused []string
	// request is the current request.
	request      *core.Request
	stallTimer   *time.Timer
	bytesWritten int
	bytesRead    int
	// endedByServer reports that the server closed or reset the connection.
	endedByServer bool
	// inSync reports that no response to another request has been read.
	inSync bool
	// halfClosed is set before this side closes its writing end, upon which the server may close the connection too.
	halfClosed atomic.Bool
	// holding is the memory that the current response takes.
	holding *holding
}

func newBackendConn(b *Backend, conn *net.TCPConn) *backendConn {
	c := &backendConn{TCPConn: conn, backend: b}
	c.raw, _ = conn.SyscallConn()
	c.reader = bufio.NewReaderSize(c, maxHeaderBytes)
	c.writer = bufio.NewWriterSize(c, connBufferSize)
	return c
}

// Read implements io.Reader. It counts the bytes read and fails if a response exceeds its maximum size.
func (c *backendConn) Read(p []byte) (int, error) {
	if c.bytesRead > c.backend.maxResponseBytes() {
		return 0, fasthttp.ErrBodyTooLarge
	}
	n, err := c.TCPConn.Read(p)
	c.bytesRead += n
	c.endedByServer = c.endedByServer || isReset(err)
	if full := c.holding.grow(n); full != nil {
		return 0, full
	}
	return n, err
}

// Write implements io.Writer. It counts the bytes written, and checks right before the first byte that the request may
// still be sent.
func (c *backendConn) Write(p []byte) (int, error) {
	if c.bytesWritten == 0 {
		if err := c.checkFirstByte(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Write(p)
	first := c.bytesWritten == 0 && n > 0
	c.bytesWritten += n
	if first && c.request.OnSent != nil {
		c.request.OnSent()
	}
	return n, err
}

// checkFirstByte returns an error of type *unsentError if the request must not be sent any more.
func (c *backendConn) checkFirstByte() error {
	if d := c.request.Deadline; !d.IsZero() && !c.backend.clock.Now().Before(d) {
		return &unsentError{schema.Reason_REASON_DEADLINE}
	}
	if c.request.BeforeSend == nil {
		return nil
	}
	if reason := c.request.BeforeSend(); reason != schema.Reason_REASON_NONE {
		return &unsentError{reason}
	}
	return nil
}

// unsentError is the error of a request that was withheld before its first byte. The connection can be used again.
type unsentError struct{ reason schema.Reason }

// Error implements error.
func (e *unsentError) Error() string { return "request was not sent: " + core.ReasonName(e.reason) }

// isOpen reports whether an idle connection can be reused: the server has neither closed it nor sent unsolicited data.
func (c *backendConn) isOpen() bool {
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

// roundTrip writes the request and reads the response. When ctx is done it half-closes the connection, which signals the
// cancellation to the server and unblocks a blocked write. It then continues to read: for cancelGrace if the server is
// expected to drop the request, otherwise until the time limit of the request.
func (c *backendConn) roundTrip(ctx context.Context, request *core.Request) *core.Result {
	c.reusable, c.bytesWritten, c.bytesRead, c.request, c.endedByServer = false, 0, 0, request, false
	c.holding = c.backend.memory.hold(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	defer c.holding.release()
	timeout, stallTimeout := c.backend.timeouts(request.Deadline)
	_ = c.SetDeadline(time.Now().Add(timeout))
	if !c.lastUsed.IsZero() {
		c.watchStall(stallTimeout)
		defer c.stallTimer.Stop()
	}
	stopCancelWatch := context.AfterFunc(ctx, func() {
		c.halfClosed.Store(true)
		_ = c.CloseWrite()
		if c.backend.wire.ServersDropCancelled {
			_ = c.SetReadDeadline(time.Now().Add(cancelGrace))
		}
	})
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	sendErr, err := c.sendAndReceive(request, response)
	notCancelled := stopCancelWatch()
	var unsent *unsentError
	switch {
	case errors.As(sendErr, &unsent), err != nil && sendErr != nil && c.bytesRead == 0:
		return c.sendFailure(ctx, sendErr, !notCancelled)
	case err != nil:
		return c.receiveFailure(err, notCancelled)
	}
	c.reusable = sendErr == nil && notCancelled && !response.ConnectionClose() && c.reader.Buffered() == 0 && c.inSync
	result := c.newResult(request, response)
	if sendErr != nil && !notCancelled && isVerdict(result) {
		// The server judged the part of the body that it got before the cancellation, and the caller sent all of it.
		return &core.Result{Written: true, Reason: contextReason(ctx), Report: result.Report}
	}
	return result
}

// isVerdict reports whether the server responded that its request is at fault.
func isVerdict(result *core.Result) bool {
	return result.Reason == schema.Reason_REASON_NONE &&
		result.Code >= fasthttp.StatusBadRequest && result.Code < fasthttp.StatusInternalServerError
}

// recordRefusal records that the server refused a request. Without request IDs, a repeated refusal can't be told from the
// response to the next request, so the connection is not used again.
func (c *backendConn) recordRefusal(id string) {
	c.refused = append(c.refused, id)
	if c.backend.wire.RequestID == "" || len(c.refused) >= maxRefusals {
		c.reusable = false
	}
}

// sendAndReceive sends the request and receives the response. A server may respond before it has read a long body, and may
// not read any further until its response has been read. A request with a long body is therefore written concurrently.
func (c *backendConn) sendAndReceive(request *core.Request, response *fasthttp.Response) (sendErr, err error) {
	if len(request.Body) <= maxBufferedBody {
		if err := c.send(request); err != nil {
			return err, err
		}
		return nil, c.receive(request, response)
	}
	var sender conc.WaitGroup
	sent := false
	sender.Go(func() {
		sendErr = c.send(request)
		if sendErr != nil {
			// The request is incomplete, so a response either has been sent already or will never be.
			_ = c.SetReadDeadline(time.Now().Add(cancelGrace))
		}
		sent = sendErr == nil
	})
	err = c.receive(request, response)
	_ = c.SetWriteDeadline(time.Now())
	sender.Wait()
	if err != nil && !sent && sendErr == nil {
		sendErr = err
	}
	return sendErr, err
}

// watchStall starts a timer that discards the idle connections after timeout. The timer is reused, because a new timer per
// request would cost two allocations.
func (c *backendConn) watchStall(timeout time.Duration) {
	if c.stallTimer == nil {
		c.stallTimer = time.AfterFunc(timeout, c.backend.discardIdle)
		return
	}
	c.stallTimer.Reset(timeout)
}

// timeouts returns how long a request may occupy its connection, and how long it may go without a response before the idle
// connections are discarded.
func (b *Backend) timeouts(deadline time.Time) (timeout, stallTimeout time.Duration) {
	if deadline.IsZero() {
		return b.responseTimeout, b.responseTimeout / 2
	}
	left := max(0, deadline.Sub(b.clock.Now()))
	return min(b.responseTimeout, left+deadlineGrace), max(minStallTimeout, left/2)
}

// maxResponseBytes returns the maximum size of a response including the skipped responses before it. fasthttp limits the
// size of headers and bodies, but not the overhead of chunked encoding.
func (b *Backend) maxResponseBytes() int {
	body := int(b.maxResponseBody.Load())
	return maxChunkOverhead*body + maxSkippedResponses*(maxHeaderBytes+body)
}

func (c *backendConn) send(request *core.Request) error {
	message := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(message)
	c.buildRequest(message, request)
	c.writer.Reset(c)
	if err := message.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *backendConn) buildRequest(message *fasthttp.Request, request *core.Request) {
	h := &message.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(request.Method)
	h.SetRequestURI(request.URI)
	w := c.backend.wire
	for _, f := range request.Headers {
		if name := f.GetName(); !isHopByHop(name) && !w.IsCallField(name) {
			h.AddBytesV(f.GetName(), f.GetValue())
		}
	}
	if len(h.Host()) == 0 {
		h.SetHost(c.backend.address)
	}
	if !request.Deadline.IsZero() {
		left := max(0, request.Deadline.Sub(c.backend.clock.Now()))
		h.Set(w.Timeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	for _, f := range [...]struct{ name, value string }{
		{w.Depth, strconv.FormatUint(uint64(request.Depth), 10)},
		{w.Target, request.Instance},
		{w.Caller, request.Caller},
		{w.Customer, request.Customer},
	} {
		if f.name != "" && f.value != "" {
			h.Set(f.name, f.value)
		}
	}
	message.SetBodyRaw(request.Body)
}

// sendFailure returns the result of a request that was withheld, or that could not be written and to which the server sent nothing.
func (c *backendConn) sendFailure(ctx context.Context, err error, cancelled bool) *core.Result {
	result := &core.Result{Written: c.bytesWritten > 0, Reason: schema.Reason_REASON_CONNECTION_LOST}
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent):
		result.Reason = unsent.reason
		c.reusable = !cancelled && c.bytesRead == 0
	case cancelled && !result.Written:
		result.Reason = contextReason(ctx)
	default:
		result.ConnectionReset = isReset(err) && !cancelled
		result.ConnectionEnded = result.ConnectionReset
	}
	return result
}

// receiveFailure returns the result of a request whose response could not be read. ConnectionReset is not set after a
// cancellation, because most servers then close the connection.
func (c *backendConn) receiveFailure(err error, notCancelled bool) *core.Result {
	result := &core.Result{Written: true, ConnectionEnded: c.endedByServer}
	var smallBuffer *fasthttp.ErrSmallBuffer
	var malformed *head.Error
	var timeout interface{ Timeout() bool }
	switch {
	case c.holding.evicted.Load():
		result.Reason = schema.Reason_REASON_MEMORY
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &smallBuffer):
		result.Reason = schema.Reason_REASON_TOO_LARGE
	case !notCancelled && c.backend.wire.ServersDropCancelled:
		result.Reason = schema.Reason_REASON_CANCELLED
	case errors.As(err, &timeout) && timeout.Timeout():
		result.Reason = schema.Reason_REASON_DEADLINE
	case errors.As(err, &malformed), errors.Is(err, errTwoIDs):
		result.Reason = schema.Reason_REASON_GARBLED
	case c.bytesRead > 0:
		result.Reason = schema.Reason_REASON_TRUNCATED
	default:
		result.Reason = schema.Reason_REASON_CONNECTION_LOST
		result.ConnectionReset = notCancelled && c.backend.stopped.Err() == nil
	}
	return result
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, stdio.EOF)
}
