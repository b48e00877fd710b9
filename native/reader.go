package native

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/head"
	"verbenareel/status"
)

const (
	// maxResponseBody is the maximum size of a response body. The platform stores values of up to 1 MB, which base64 encoding
	// makes a third larger.
	maxResponseBody = 2 << 20
	// maxIdleConnections is the maximum number of idle connections kept: one for the watch and one for the instance list.
	maxIdleConnections = 2
	// defaultTimeout is the longest time without a byte of a response, on top of the time that a long poll may wait. The
	// platform answers in milliseconds; how long the transfer takes depends on the size and the link.
	defaultTimeout = time.Second
	// minTransferRate is the average rate in bytes per second below which a response is given up: another connection may be
	// faster. It is a twentieth of a link of 10 Mbit/s.
	minTransferRate = 64 << 10
	// maxInterimResponses is the maximum number of interim responses that are skipped.
	maxInterimResponses = 16
	// TCP keep-alive settings. The probes detect a connection that goes silent during a long poll.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var (
	errNoResponse = errors.New("interim responses without a final one")
	errNoLength   = errors.New("response has neither a content length nor chunked encoding")
)

// Error is the error of a failed read.
type Error struct {
	path string
	code int
	err  error
}

// NewError returns the error of a failed read of path. code is the HTTP status code, or 0 if there was no response.
func NewError(path string, code int, err error) *Error {
	return &Error{path: path, code: code, err: err}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("read %s from platform: %v", e.path, e.err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Code returns the HTTP status code, or 0 if there was no response.
func (e *Error) Code() int { return e.code }

// HTTPReader sends GET requests to one platform and reuses connections. It is safe for concurrent use.
type HTTPReader struct {
	target  atomic.Pointer[target]
	clock   core.Clock
	timeout time.Duration
	calls   atomic.Uint64
	// lengthRequired is set if a response whose body ends with its connection is refused.
	lengthRequired bool
	// lastResponse is the time of the last complete response in Unix nanoseconds.
	lastResponse atomic.Int64

	mutex sync.Mutex
	idle  []*connection
}

// target is the platform that an HTTPReader reads. err is set if its URL is invalid.
type target struct {
	base string
	host string
	err  error
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// progress is that of the response that is being read, or nil.
	progress *progress
}

// Read implements io.Reader. It records the progress of the response.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.progress != nil && n > 0 {
		c.progress.record(n)
	}
	return n, err
}

// NewHTTPReader returns a reader for the platform at a base URL such as http://127.0.0.1:7000. If the URL is invalid, every read
// returns an error.
func NewHTTPReader(base string, clock core.Clock) *HTTPReader {
	r := &HTTPReader{clock: clock, timeout: defaultTimeout}
	r.SetBase(base)
	return r
}

// SetTimeout sets the timeout of a request, on top of the time that a long poll may wait. It must be called before the first read.
func (r *HTTPReader) SetTimeout(timeout time.Duration) { r.timeout = timeout }

// RequireLength makes reads fail whose response has a body with neither a length nor chunked encoding: nothing tells whether such a body
// is complete. It must be called before the first read.
func (r *HTTPReader) RequireLength() { r.lengthRequired = true }

// SetBase changes the base URL. It closes idle connections to the previous platform; reads in progress continue.
func (r *HTTPReader) SetBase(base string) {
	previous := r.target.Swap(newTarget(base))
	if previous != nil && previous.base != r.target.Load().base {
		r.Close()
	}
}

func newTarget(base string) *target {
	t := &target{base: strings.TrimSuffix(base, "/")}
	u, err := url.Parse(base)
	switch {
	case err != nil:
		t.err = fmt.Errorf("parse URL: %w", err)
	case u.Scheme != "http" || u.Host == "":
		t.err = fmt.Errorf("URL %q is not of the form http://host:port", base)
	default:
		t.host = u.Host
	}
	if t.host != "" && u.Port() == "" {
		t.host = net.JoinHostPort(u.Hostname(), "80")
	}
	return t
}

// Calls returns the number of requests sent.
func (r *HTTPReader) Calls() uint64 { return r.calls.Load() }

// LastResponse returns the time of the last complete response, or the zero time if there was none.
func (r *HTTPReader) LastResponse() time.Time {
	if nanoseconds := r.lastResponse.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{}
}

// Close closes all idle connections.
func (r *HTTPReader) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, conn := range r.idle {
		_ = conn.Close()
	}
	r.idle = nil
}

// Get sends a GET request whose response may take wait longer than the timeout, as for a long poll. A request that fails on
// an idle connection, for example because the platform has closed it, is sent once more on a new connection; this is safe
// since a read may be repeated. The caller releases the response. Each error is a *Error.
func (r *HTTPReader) Get(ctx context.Context, path string, wait time.Duration) (*fasthttp.Response, error) {
	return r.GetUpTo(ctx, path, wait, maxResponseBody)
}

// GetUpTo is Get with a maximum size of the response body. A larger one fails with fasthttp.ErrBodyTooLarge, before it is read if
// the platform tells its length.
func (r *HTTPReader) GetUpTo(ctx context.Context, path string, wait time.Duration, maxBody int) (*fasthttp.Response, error) {
	if err := r.target.Load().err; err != nil {
		return nil, &Error{path: path, err: err}
	}
	ctx, p := r.watchProgress(ctx, wait)
	defer p.stop()
	idle := r.takeIdle()
	if idle != nil {
		response, err := r.roundTrip(ctx, idle, path, maxBody, p)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil || errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return nil, &Error{path: path, err: err}
		}
	}
	fresh, err := r.dial(ctx)
	if err != nil {
		return nil, &Error{path: path, err: fmt.Errorf("connect: %w", err)}
	}
	response, err := r.roundTrip(ctx, fresh, path, maxBody, p)
	if err != nil {
		return nil, &Error{path: path, err: err}
	}
	return response, nil
}

func (r *HTTPReader) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", r.target.Load().host)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, writer: bufio.NewWriter(conn)}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// takeIdle removes and returns the idle connection used last, or nil if there is none.
func (r *HTTPReader) takeIdle() *connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := len(r.idle) - 1
	if last < 0 {
		return nil
	}
	conn := r.idle[last]
	r.idle = r.idle[:last]
	return conn
}

// putIdle keeps a connection for reuse, or closes it if enough connections are idle.
func (r *HTTPReader) putIdle(conn *connection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.idle) >= maxIdleConnections {
		_ = conn.Close()
		return
	}
	r.idle = append(r.idle, conn)
}

// roundTrip sends the request and reads the complete response. It closes the connection when ctx is done.
func (r *HTTPReader) roundTrip(ctx context.Context, conn *connection, path string, maxBody int, p *progress) (*fasthttp.Response, error) {
	r.calls.Add(1)
	p.restart()
	conn.progress = p
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response := fasthttp.AcquireResponse()
	err := r.writeAndRead(conn, path, maxBody, response)
	if !stop() {
		// The HTTP library reports a connection that was closed before the first byte as EOF.
		err = context.Cause(ctx)
	}
	conn.progress = nil
	if err != nil {
		fasthttp.ReleaseResponse(response)
		_ = conn.Close()
		return nil, err
	}
	r.lastResponse.Store(r.clock.Now().UnixNano())
	if response.ConnectionClose() {
		_ = conn.Close()
		return response, nil
	}
	r.putIdle(conn)
	return response, nil
}

func (r *HTTPReader) writeAndRead(conn *connection, path string, maxBody int, response *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(r.target.Load().base + path)
	if err := request.Write(conn.writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := conn.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := r.readResponse(conn.reader, maxBody, response); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}

// readResponse reads a complete response. It skips interim responses.
func (r *HTTPReader) readResponse(reader *bufio.Reader, maxBody int, response *fasthttp.Response) error {
	h := &response.Header
	if err := readFinalHead(reader, h); err != nil {
		return err
	}
	if !status.HasBody(h.StatusCode()) {
		return nil
	}
	length := h.ContentLength()
	if length == head.LengthUntilClose && r.lengthRequired {
		return errNoLength
	}
	if err := response.ReadBody(reader, maxBody); err != nil {
		return err
	}
	if length == head.LengthChunked {
		return head.ReadTrailer(reader, h)
	}
	return nil
}

func readFinalHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if err := head.Read(r, h); err != nil {
			return err
		}
		switch code := h.StatusCode(); {
		case code == fasthttp.StatusSwitchingProtocols:
			return errNoResponse
		case code >= fasthttp.StatusOK:
			return nil
		}
	}
	return errNoResponse
}
