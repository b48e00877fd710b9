package io

import (
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenareel/core"
	"verbenareel/meter"
	"verbenareel/schema"
)

// endpoint manages the connections to one address for one class of traffic.
type endpoint struct {
	transport *Transport
	key       endpointKey
	// calls is the number of calls in flight on all connections of the endpoint.
	calls atomic.Int64

	mutex   sync.Mutex
	current *connection
	// draining contains the connections whose server accepts no further calls. They are closed when their calls have ended.
	draining []*connection
	dialing  *dialAttempt
	lastUsed time.Time
	closed   bool
}

// dialAttempt is an attempt to open a connection. Several calls may wait for it.
type dialAttempt struct {
	done chan struct{}
	err  error
}

// acquire returns the current connection and counts a call on it. If there is no connection, it returns the dial attempt to
// wait for, starting one if necessary. It returns neither if the endpoint is closed.
func (e *endpoint) acquire(clock core.Clock) (*connection, *dialAttempt) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return nil, nil
	}
	now := clock.Now()
	e.lastUsed = now
	e.removeAbandoned(e.current)
	if c := e.current; c != nil && c.codec.cause() == nil {
		if c.calls == 0 {
			c.silentSince = now
		}
		c.calls++
		e.calls.Add(1)
		return c, nil
	}
	e.current = nil
	if e.dialing == nil {
		e.dialing = &dialAttempt{done: make(chan struct{})}
		e.transport.group.Go(e.dial)
	}
	return nil, e.dialing
}

// release ends a call. An abandoned call continues to count as in flight until data is received on the connection. Silence
// is only checked on connections with calls in flight, so a silent connection would otherwise go undetected if all callers
// give up early, as cancelled hedges do.
func (e *endpoint) release(c *connection, clock core.Clock, abandoned bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastUsed = clock.Now()
	if abandoned {
		c.abandoned++
		c.abandonedAt = e.lastUsed
	} else {
		e.removeCalls(c, 1)
	}
	e.removeAbandoned(c)
	e.closeDrained()
}

// removeAbandoned ends the abandoned calls of a connection if it has received data since, or has been closed.
func (e *endpoint) removeAbandoned(c *connection) {
	if c == nil || c.abandoned == 0 {
		return
	}
	if c.codec.lastRead.Load() > c.abandonedAt.UnixNano() || c.codec.cause() != nil {
		e.removeCalls(c, c.abandoned)
		c.abandoned = 0
	}
}

// removeCalls reduces the number of calls in flight on a connection and on the endpoint by count.
func (e *endpoint) removeCalls(c *connection, count int) {
	c.calls -= count
	e.calls.Add(int64(-count))
}

// startDraining excludes a connection from new calls because its server is shutting down.
func (e *endpoint) startDraining(c *connection) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.current == c {
		e.current = nil
	}
	e.draining = append(e.draining, c)
	e.closeDrained()
}

// closeDrained closes the draining connections whose calls have ended.
func (e *endpoint) closeDrained() {
	e.draining = slices.DeleteFunc(e.draining, func(c *connection) bool {
		if c.calls == 0 {
			c.closeWithError(errServerShutdown)
		}
		return c.calls == 0
	})
}

func (e *endpoint) dial() {
	t := e.transport
	dialer := net.Dialer{Timeout: t.dialTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", e.key.address)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	attempt := e.dialing
	e.dialing = nil
	attempt.err = err
	if err == nil && t.ctx.Err() != nil {
		_ = conn.Close()
		attempt.err = errClosed
	}
	if attempt.err == nil {
		e.current = newConnection(e, conn)
	}
	close(attempt.done)
}

func (e *endpoint) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed = true
	if e.current != nil {
		e.current.closeWithError(errClosed)
	}
	for _, c := range e.draining {
		c.closeWithError(errClosed)
	}
}

// closeIfUnused closes the endpoint, unless it has connections or a dial attempt again. It reports whether it is closed.
func (e *endpoint) closeIfUnused() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed = e.current == nil && e.dialing == nil && len(e.draining) == 0
	return e.closed
}

// check pings or closes connections as needed. paused reports that this process was paused since the last check. check
// returns the time until the next check, and whether the endpoint is unused.
func (e *endpoint) check(now time.Time, paused bool) (next time.Duration, unused bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	next = e.transport.pingAfter
	e.draining = slices.DeleteFunc(e.draining, func(c *connection) bool {
		next = min(next, c.checkSilence(now, paused))
		e.removeAbandoned(c)
		if c.calls == 0 {
			c.closeWithError(errServerShutdown)
		}
		return c.codec.cause() != nil
	})
	c := e.current
	e.removeAbandoned(c)
	expired := now.Sub(e.lastUsed) >= e.transport.idleTimeout
	if c != nil && c.calls > 0 {
		next = min(next, c.checkSilence(now, paused))
	}
	if c != nil && c.calls == 0 {
		c.pingSentAt = time.Time{}
		if expired {
			c.closeWithError(errConnectionIdle)
		}
	}
	if c == nil || c.codec.cause() != nil {
		e.removeAbandoned(c)
		e.current = nil
		return next, expired
	}
	return next, false
}

// connection is an open connection. Its fields are protected by the mutex of the endpoint.
type connection struct {
	transport *Transport
	codec     *clientCodec
	client    *rpc.Client
	calls     int
	// abandoned is the number of calls whose caller has given up. abandonedAt is the time at which the last one did.
	abandoned   int
	abandonedAt time.Time
	// silentSince is the earliest time from which silence is measured, even if the last read was before it.
	silentSince time.Time
	// pingSentAt is the time of the unanswered ping, or the zero time.
	pingSentAt time.Time
}

func newConnection(e *endpoint, conn net.Conn) *connection {
	c := &connection{transport: e.transport, codec: newClientCodec(e.transport, conn, e.key)}
	c.codec.onGoodbye = func() { e.startDraining(c) }
	c.client = rpc.NewClientWithCodec(c.codec)
	return c
}

// checkSilence pings a connection that has been silent for pingAfter, and closes it if no data arrives within pingTimeout.
// It returns the time until the next check.
func (c *connection) checkSilence(now time.Time, paused bool) time.Duration {
	lastRead := time.Unix(0, c.codec.lastRead.Load())
	if paused {
		c.silentSince = now
		c.pingSentAt = time.Time{}
	}
	if lastRead.Before(c.silentSince) {
		lastRead = c.silentSince
	}
	if lastRead.After(c.pingSentAt) {
		c.pingSentAt = time.Time{}
	}
	silent := now.Sub(lastRead)
	switch {
	case c.pingSentAt.IsZero() && silent < c.transport.pingAfter:
		return c.transport.pingAfter - silent
	case c.pingSentAt.IsZero():
		c.pingSentAt = now
		c.ping()
	case now.Sub(c.pingSentAt) >= c.transport.pingTimeout:
		c.transport.errorCounter.inc("silent")
		c.closeWithError(errConnectionSilent)
	}
	return min(pingCheckInterval, c.transport.pingTimeout-now.Sub(c.pingSentAt))
}

func (c *connection) ping() {
	x := &pendingCall{reply: &schema.PingReply{}, cause: meter.Ping}
	if x.encode(&schema.PingRequest{}, maxMessageOverhead) == nil {
		c.client.Go("Node.Ping", x, x, make(chan *rpc.Call, 1))
		c.codec.writer.flush()
	}
}

func (c *connection) closeWithError(err error) {
	c.codec.closeWithError(err)
	_ = c.client.Close()
}
