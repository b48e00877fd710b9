package io

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

// Front is the HTTP/1.1 server for callers. It supports pipelining: requests of one connection are processed concurrently,
// and the responses are sent in order. When a caller closes its connection, the contexts of its calls are cancelled.
type Front struct {
	options
	errorCounter errorCounter
	handler      core.Handler
	listener     net.Listener
	group        conc.WaitGroup
	// stopped is cancelled when the Front closes without waiting for the calls in progress.
	stopped context.Context
	stop    context.CancelFunc
	done    chan struct{}
	once    sync.Once
	// keepAlivesDisabled adds "Connection: close" to each response behind which no request has been passed on.
	keepAlivesDisabled atomic.Bool
	// limits are those that were last in force.
	limits    atomic.Pointer[frontLimits]
	callers   callerLimits
	refusals  refusalLog
	responses *prometheus.CounterVec

	mutex    sync.Mutex
	sessions map[*session]struct{}
	// closing is the number of sessions whose connection was closed for another one, and fromAddress that of the sessions of
	// each IP address.
	closing     int
	fromAddress map[netip.Addr]int
	draining    bool
	closed      bool
}

// acceptLastWait is how long connections are accepted after a graceful shutdown has begun. They may have waited in the kernel's
// queue, and would be reset if the listener was closed.
const acceptLastWait = 10 * time.Millisecond

// errNoConfiguration refuses a request above the sizes while no document is known to be the current one.
var errNoConfiguration = errors.New("size is above the limits, and node has no configuration that is known to be current")

// frontLimits are the size limits and timeouts that apply to callers. current reports whether they come from a document that is known
// to be the current one.
type frontLimits struct {
	document      *schema.Limits
	current       bool
	maxHeader     int
	maxBody       int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewFront returns a Front that listens on address. The port may be 0. Connections are accepted once Serve is called.
func NewFront(address string, handler core.Handler, opts ...Option) (*Front, error) {
	o := newOptions(append([]Option{WithWriteTimeout(defaultCallerWriteTimeout)}, opts...), defaultCallerIdleTimeout, defaultMaxServerConns)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("http front: %w", err)
	}
	f := &Front{
		options:      o,
		errorCounter: newErrorCounter(o.registerer, "front"),
		handler:      handler,
		listener:     listener,
		done:         make(chan struct{}),
		sessions:     make(map[*session]struct{}),
		fromAddress:  make(map[netip.Addr]int),
		callers:      newCallerLimits(&o),
		refusals:     newRefusalLog(o.logger),
		responses:    newResponseCounter(o.registerer),
	}
	f.stopped, f.stop = context.WithCancel(context.Background())
	return f, nil
}

// currentLimits returns the limits of the document in force.
func (f *Front) currentLimits() *frontLimits {
	document, current := f.documentLimits()
	if l := f.limits.Load(); l != nil && l.document == document && l.current == current {
		return l
	}
	l := f.newLimits(document)
	l.current = current
	f.limits.Store(l)
	return l
}

// newLimits returns the limits of a document. Limits that are not set, and all limits of a nil message, have their default values.
func (f *Front) newLimits(limits *schema.Limits) *frontLimits {
	l := &frontLimits{
		document: limits, maxHeader: maxHeaderBytes, maxBody: f.maxBody, headerTimeout: f.readTimeout, idleTimeout: f.idleTimeout,
	}
	if size := int(limits.GetMaxHeader()); size > 0 {
		l.maxHeader = min(size, maxFieldBytes)
	}
	if size := int(limits.GetMaxBody()); size > 0 {
		l.maxBody = size
	}
	if timeout := limits.GetHeaderTimeout().AsDuration(); timeout > 0 {
		l.headerTimeout = timeout
	}
	if timeout := limits.GetIdleTimeout().AsDuration(); timeout > 0 {
		l.idleTimeout = timeout
	}
	return l
}

// refusal returns the error with which a request is refused. Without a document, or with one that may be old, a request above the
// sizes may be within the limits of the document to come.
func (l *frontLimits) refusal(err error) error {
	if !l.current && (errors.Is(err, errHeaderTooLarge) || errors.Is(err, fasthttp.ErrBodyTooLarge)) {
		return errNoConfiguration
	}
	return err
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Done returns a channel that is closed when the front has stopped.
func (f *Front) Done() <-chan struct{} { return f.done }

// Serve accepts connections until Shutdown is called or ctx is done. When ctx is done, the contexts of all calls are
// cancelled.
func (f *Front) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, f.close)
	defer release()
	defer f.closeDone()
	defer f.group.Wait()
	return f.accept()
}

func (f *Front) accept() error {
	for {
		conn, err := f.listener.Accept()
		switch {
		case err == nil:
			f.startSession(conn)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			// The error may be temporary, such as a lack of file descriptors.
			f.errorCounter.inc(kindAccept)
			f.logger.Warn("failed to accept connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

// startSession starts a session for the connection, or closes the connection if the limit is reached or the front is
// closed.
func (f *Front) startSession(conn net.Conn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed || !f.admit(conn) {
		_ = conn.Close()
		return
	}
	address := addressOf(conn)
	f.fromAddress[address]++
	s := newSession(f, conn)
	if f.draining {
		s.drain(lastRequestWait)
	}
	f.sessions[s] = struct{}{}
	f.group.Go(func() {
		s.serve()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.remove(s, address)
	})
}

// remove ends the session of a caller. The mutex must be held.
func (f *Front) remove(s *session, address netip.Addr) {
	delete(f.sessions, s)
	if s.closed {
		f.closing--
	}
	if f.fromAddress[address]--; f.fromAddress[address] <= 0 {
		delete(f.fromAddress, address)
	}
}

// DisableKeepAlives adds "Connection: close" to all responses from now on. New connections are still accepted.
func (f *Front) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// cancelledAnswerTime is how long a shutdown waits for the responses to the calls that it cancelled.
const cancelledAnswerTime = 250 * time.Millisecond

// Shutdown stops accepting connections, closes idle connections and waits for the calls in progress. If ctx is done first,
// the contexts of the calls are cancelled, and their callers still get the responses.
func (f *Front) Shutdown(ctx context.Context) error {
	f.keepAlivesDisabled.Store(true)
	f.drain()
	ended := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		f.group.Wait()
		close(ended)
	})
	defer waiter.Wait()
	var err error
	select {
	case <-ended:
	case <-ctx.Done():
		err = fmt.Errorf("http front: calls still in progress: %w", ctx.Err())
		f.cancelCalls()
		select {
		case <-ended:
		case <-f.clock.After(cancelledAnswerTime):
		}
	}
	f.close()
	f.closeDone()
	return err
}

// drain accepts the connections that are waiting, closes the listener and lets each session end after its last response.
func (f *Front) drain() {
	f.startDraining()
	if tcp, ok := f.listener.(*net.TCPListener); ok {
		// A deadline that passes before this goroutine runs makes Accept fail although connections wait.
		for first := true; first || readable(tcp); first = false {
			_ = tcp.SetDeadline(time.Now().Add(acceptLastWait))
			_ = f.accept()
		}
	}
	_ = f.listener.Close()
}

func (f *Front) startDraining() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.draining = true
	for s := range f.sessions {
		s.drain(lastRequestWait)
	}
}

// cancelCalls cancels the contexts of all calls in progress.
func (f *Front) cancelCalls() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for s := range f.sessions {
		s.cancel()
	}
}

func (f *Front) close() {
	f.stop()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	_ = f.listener.Close()
	for s := range f.sessions {
		s.abort()
	}
}

func (f *Front) closeDone() { f.once.Do(func() { close(f.done) }) }
