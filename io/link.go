package io

import (
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

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
	l.settle(l.current)
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

// release ends a call. A call that was abandoned counts on until the connection is read from again: if callers give up
// before a silent connection is noticed, as the losers of hedges do, it would never be noticed otherwise.
func (l *link) release(c *connection, clock core.Clock, abandoned bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.used = clock.Now()
	if abandoned {
		c.abandoned++
		c.abandonedAt = l.used
	} else {
		l.end(c, 1)
	}
	l.settle(c)
	l.closeLeaving()
}

// settle ends the abandoned calls of a connection that was read from since, or that has ended.
func (l *link) settle(c *connection) {
	if c == nil || c.abandoned == 0 {
		return
	}
	if c.codec.read.Load() > c.abandonedAt.UnixNano() || c.codec.cause() != nil {
		l.end(c, c.abandoned)
		c.abandoned = 0
	}
}

// end stops counting some of the calls of a connection.
func (l *link) end(c *connection, count int) {
	c.calls -= count
	l.calls.Add(int64(-count))
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
		l.settle(c)
		if c.calls == 0 {
			c.end(errLeaving)
		}
		return c.codec.cause() != nil
	})
	c := l.current
	l.settle(c)
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
		l.settle(c)
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
	// abandoned counts those of the calls whose caller no longer waits; the last of them was given up at abandonedAt.
	abandoned   int
	abandonedAt time.Time
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
