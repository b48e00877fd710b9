package io

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

// Front serves callers over HTTP/1.1. It works on several requests of one connection at a time and answers them in
// order. When a caller closes its connection, the contexts of its calls end.
type Front struct {
	options
	faults   faults
	handler  core.Handler
	listener net.Listener
	group    conc.WaitGroup
	// stopped ends when the Front is closed at once.
	stopped context.Context
	stop    context.CancelFunc
	done    chan struct{}
	once    sync.Once
	// retiring tells callers to close their connections.
	retiring atomic.Bool
	bounds   atomic.Pointer[frontBounds]

	mutex    sync.Mutex
	sessions map[*session]struct{}
	draining bool
}

// frontBounds are the bounds on what a caller may send, and how long it may take or stay idle.
type frontBounds struct {
	header     int
	body       int
	headerTime time.Duration
	idleTime   time.Duration
}

// NewFront listens on address, whose port may be 0, and serves once Serve is called.
func NewFront(address string, handler core.Handler, opts ...Option) (*Front, error) {
	o := newOptions(append([]Option{WithWriteTimeout(defaultCallerWrite)}, opts...), defaultCallerIdle, defaultMaxServerConns)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("http front: %w", err)
	}
	f := &Front{
		options:  o,
		faults:   newFaults(o.registerer, "front"),
		handler:  handler,
		listener: listener,
		done:     make(chan struct{}),
		sessions: make(map[*session]struct{}),
	}
	f.stopped, f.stop = context.WithCancel(context.Background())
	f.Configure(nil)
	return f, nil
}

// Configure sets the bounds of the document; those that it leaves out, or a nil message, keep their defaults.
func (f *Front) Configure(limits *schema.Limits) {
	b := &frontBounds{header: maxHeaderBytes, body: f.maxBody, headerTime: f.readTimeout, idleTime: f.idleTime}
	if size := int(limits.GetMaxHeader()); size > 0 {
		b.header = min(size, headRoom)
	}
	if size := int(limits.GetMaxBody()); size > 0 {
		b.body = size
	}
	if timeout := limits.GetHeaderTimeout().AsDuration(); timeout > 0 {
		b.headerTime = timeout
	}
	if life := limits.GetIdleTimeout().AsDuration(); life > 0 {
		b.idleTime = life
	}
	f.bounds.Store(b)
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Done is closed once the front has stopped.
func (f *Front) Done() <-chan struct{} { return f.done }

// Serve accepts connections until Shutdown, or until ctx ends, which ends the contexts of all calls.
func (f *Front) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, f.close)
	defer release()
	defer f.finish()
	defer f.group.Wait()
	return f.accept()
}

func (f *Front) accept() error {
	for {
		conn, err := f.listener.Accept()
		switch {
		case err == nil:
			f.open(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			// Out of file descriptors or the like: the next attempt may succeed.
			f.faults.count(kindAccept)
			f.logger.Warn("cannot accept a connection", zap.Error(err))
			time.Sleep(acceptPause)
		}
	}
}

// open starts the session of a connection, or closes the connection if there are too many.
func (f *Front) open(conn net.Conn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.draining || len(f.sessions) >= f.connections {
		f.faults.count(kindRefused)
		_ = conn.Close()
		return
	}
	s := newSession(f, conn)
	f.sessions[s] = struct{}{}
	f.group.Go(func() {
		s.serve()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.sessions, s)
	})
}

// Retire makes each response tell its caller to close the connection. New connections are still served.
func (f *Front) Retire() { f.retiring.Store(true) }

// Shutdown stops accepting, closes idle connections, waits for the calls in progress and closes theirs. If ctx ends
// first, the contexts of the calls end.
func (f *Front) Shutdown(ctx context.Context) error {
	f.retiring.Store(true)
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
		err = fmt.Errorf("http front: wait for calls in progress: %w", ctx.Err())
	}
	f.close()
	f.finish()
	return err
}

// drain ends the listener and lets each session end after its last response.
func (f *Front) drain() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.draining = true
	_ = f.listener.Close()
	for s := range f.sessions {
		s.drain()
	}
}

func (f *Front) close() {
	f.stop()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.draining = true
	_ = f.listener.Close()
	for s := range f.sessions {
		s.abort()
	}
}

func (f *Front) finish() { f.once.Do(func() { close(f.done) }) }
