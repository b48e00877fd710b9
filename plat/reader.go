package plat

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
)

const (
	// maxBody bounds a response; the platform holds values up to 1 MB, which base64 makes a third longer.
	maxBody = 2 << 20
	// maxIdle is the number of connections kept: one for the watch and one for the list.
	maxIdle = 2
	// defaultTimeout bounds a call beyond the wait that it asks for. The platform answers in milliseconds.
	defaultTimeout = time.Second
	// Keep-alive probes find a connection that has gone silent while a watch is pending on it.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Error reports that a read failed.
type Error struct {
	path string
	code int
	err  error
}

// NewError returns an error for the read of a path; code is the HTTP status code, or 0 if there was no response.
func NewError(path string, code int, err error) *Error {
	return &Error{path: path, code: code, err: err}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("read %s of the platform: %v", e.path, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Code returns the HTTP status code, or 0 if there was no response.
func (e *Error) Code() int { return e.code }

// Reader sends GET requests to one platform and keeps its connections. It is safe for concurrent use.
type Reader struct {
	target  atomic.Pointer[target]
	clock   core.Clock
	timeout time.Duration
	calls   atomic.Uint64
	// answered is the time of the last whole response in Unix nanoseconds.
	answered atomic.Int64

	mutex sync.Mutex
	idle  []*connection
}

// target is the platform that a Reader reads; with err, its URL is invalid.
type target struct {
	base string
	host string
	err  error
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

// NewReader returns a reader for the platform at a base URL such as http://127.0.0.1:7000. With an invalid URL, each read
// returns an error.
func NewReader(base string, clock core.Clock) *Reader {
	r := &Reader{clock: clock, timeout: defaultTimeout}
	r.SetBase(base)
	return r
}

// SetBase changes the base URL. Idle connections to the platform before are closed; reads that are pending go on.
func (r *Reader) SetBase(base string) {
	before := r.target.Swap(newTarget(base))
	if before != nil && before.base != r.target.Load().base {
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
func (r *Reader) Calls() uint64 { return r.calls.Load() }

// Answered returns the time of the last whole response, or the zero time.
func (r *Reader) Answered() time.Time {
	if nanoseconds := r.answered.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{}
}

// Close closes idle connections.
func (r *Reader) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, i := range r.idle {
		_ = i.Close()
	}
	r.idle = nil
}

// Get sends one GET request, whose response may take wait longer than usual. A kept connection that the platform has closed is replaced once, since a read may repeat. The
// caller releases the response. Each error is a *Error.
func (r *Reader) Get(ctx context.Context, path string, wait time.Duration) (*fasthttp.Response, error) {
	if err := r.target.Load().err; err != nil {
		return nil, &Error{path: path, err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+r.timeout)
	defer cancel()
	kept := r.take()
	if kept != nil {
		response, err := r.exchange(ctx, kept, path)
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
	response, err := r.exchange(ctx, fresh, path)
	if err != nil {
		return nil, &Error{path: path, err: err}
	}
	return response, nil
}

func (r *Reader) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", r.target.Load().host)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, nil
}

func (r *Reader) take() *connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := len(r.idle) - 1
	if last < 0 {
		return nil
	}
	kept := r.idle[last]
	r.idle = r.idle[:last]
	return kept
}

func (r *Reader) keep(conn *connection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.idle) >= maxIdle {
		_ = conn.Close()
		return
	}
	r.idle = append(r.idle, conn)
}

// exchange writes the request and reads the whole response. The end of ctx ends it at once.
func (r *Reader) exchange(ctx context.Context, conn *connection, path string) (*fasthttp.Response, error) {
	r.calls.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response := fasthttp.AcquireResponse()
	err := r.transfer(conn, path, response)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		fasthttp.ReleaseResponse(response)
		_ = conn.Close()
		return nil, err
	}
	r.answered.Store(r.clock.Now().UnixNano())
	if response.ConnectionClose() {
		_ = conn.Close()
		return response, nil
	}
	r.keep(conn)
	return response, nil
}

func (r *Reader) transfer(conn *connection, path string, response *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(r.target.Load().base + path)
	if err := request.Write(conn.writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := conn.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := response.ReadLimitBody(conn.reader, maxBody); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}
