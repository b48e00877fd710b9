package io

import (
	"context"
	"errors"
	"fmt"
	stdio "io"
	"math"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

// Names under which the methods of a node are registered with net/rpc.
const (
	guardService = "Guard"
	peerService  = "Peer"
	nodeService  = "Node"
	// goodbyeMethod marks an unsolicited response that announces that the server accepts no further calls on the
	// connection.
	goodbyeMethod = "Node.Goodbye"
)

const (
	// serverIdleTimeout is twice the idle timeout of clients, so that a server only closes connections of clients that are
	// gone.
	serverIdleTimeout = 2 * defaultNodeIdleTimeout
	idleSweepInterval = 5 * time.Second
	// goodbyeGrace is the time within which clients must stop sending calls after a goodbye. It allows for several round
	// trips between regions.
	goodbyeGrace      = 200 * time.Millisecond
	drainPollInterval = 2 * time.Millisecond
	acceptRetryDelay  = 10 * time.Millisecond
	kindAccept        = "accept"
	kindWrite         = "write"
	kindIdle          = "idle"
	kindTooManyConns  = "too-many-connections"
	logKeyMessage     = "message"
)

var errConnectionEnded = errors.New("connection closed")

// Server is the RPC server of a node. It serves the methods of an executor and of a gossip peer to other nodes.
type Server struct {
	options
	errorCounter errorCounter
	executor     core.Executor
	peer         core.Peer
	bodies       *bodyStore
	frames       *frameBudget
	listener     net.Listener
	group        conc.WaitGroup
	stopped      context.Context
	stop         context.CancelFunc

	mutex    sync.Mutex
	conns    map[*serverConn]struct{}
	draining bool
	done     chan struct{}
	once     sync.Once
}

// NewServer returns a Server that listens on address. The port may be 0, and peer may be nil. Connections are accepted once
// Serve is called.
func NewServer(address string, executor core.Executor, peer core.Peer, opts ...Option) (*Server, error) {
	o := newOptions(opts, serverIdleTimeout, defaultMaxServerConns)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("rpc server: %w", err)
	}
	stopped, stop := context.WithCancel(context.Background())
	return &Server{
		options:      o,
		errorCounter: newErrorCounter(o.registerer, "server"),
		executor:     executor,
		peer:         peer,
		bodies:       newBodyStore(o.clock, classBodies.maxMessageSize(o.maxBody), o.memory),
		frames:       newFrameBudget(o.frameMemory),
		listener:     listener,
		stopped:      stopped,
		stop:         stop,
		conns:        make(map[*serverConn]struct{}),
		done:         make(chan struct{}),
	}, nil
}

// ReceiveWait returns the time until the bodies that are being transferred to the server have arrived.
func (s *Server) ReceiveWait() time.Duration { return s.bodies.wait() }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Done returns a channel that is closed when the server has stopped and its connections are closed.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections until Shutdown is called or ctx is done. When ctx is done, all connections are closed
// immediately.
func (s *Server) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, s.close)
	defer release()
	s.group.Go(s.sweepIdle)
	err := s.accept()
	<-s.stopped.Done()
	s.group.Wait()
	s.closeDone()
	return err
}

// Shutdown stops accepting connections, waits for the calls in progress and closes all connections. If ctx is done first,
// the connections are closed immediately and the error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	err := s.drain(ctx)
	s.close()
	s.group.Wait()
	s.closeDone()
	return err
}

func (s *Server) closeDone() { s.once.Do(func() { close(s.done) }) }

// stopAccepting closes the listener. No connection is accepted after it returns.
func (s *Server) stopAccepting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	_ = s.listener.Close()
}

func (s *Server) close() {
	s.stopAccepting()
	s.stop()
	for _, c := range s.connections() {
		c.closeWithError(net.ErrClosed)
	}
}

func (s *Server) connections() []*serverConn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.serve(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			// The error may be temporary, such as a lack of file descriptors.
			s.errorCounter.inc(kindAccept)
			s.logger.Warn("failed to accept connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining || len(s.conns) >= s.maxConnections {
		s.errorCounter.inc(kindTooManyConns)
		_ = conn.Close()
		return
	}
	c := newServerConn(s, conn)
	s.conns[c] = struct{}{}
	s.group.Go(func() {
		c.serve()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.conns, c)
	})
}

// drain announces to all clients that no further calls are accepted, and waits until they have closed their connections.
// After goodbyeGrace it no longer waits for connections without calls in progress, because their clients may not support
// the goodbye message.
func (s *Server) drain(ctx context.Context) error {
	for _, c := range s.connections() {
		c.sendGoodbye()
	}
	graceEnd := time.Now().Add(goodbyeGrace)
	for {
		graceOver := time.Now().After(graceEnd)
		busy := false
		for _, c := range s.connections() {
			busy = busy || !graceOver || !c.drained()
		}
		if !busy {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("rpc server: calls still in progress: %w", ctx.Err())
		case <-time.After(drainPollInterval):
		}
	}
}

// sweepIdle periodically closes connections whose client has disappeared without closing them.
func (s *Server) sweepIdle() {
	for {
		select {
		case <-s.stopped.Done():
			return
		case now := <-s.clock.After(idleSweepInterval):
			s.bodies.sweep()
			for _, c := range s.connections() {
				if c.calls.Load() == 0 && now.Sub(time.Unix(0, c.lastRead.Load())) > s.idleTimeout {
					s.errorCounter.inc(kindIdle)
					c.closeWithError(net.ErrClosed)
				}
			}
		}
	}
}

// serverConn is one connection of a Server and its net/rpc codec.
type serverConn struct {
	server     *Server
	conn       net.Conn
	reader     *frameReader
	writer     *frameWriter
	ctx        context.Context
	cancel     context.CancelFunc
	unreadable bool
	// request and response are the reused headers. They need no lock of their own, because net/rpc reads in a single
	// goroutine and serializes writes with a lock.
	request  schema.RpcRequest
	response schema.RpcResponse
	// calls is the number of requests that have been read and not yet answered. lastRead is the time of the last successful
	// read in nanoseconds since the Unix epoch.
	calls    atomic.Int64
	lastRead atomic.Int64
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	c := &serverConn{server: s, conn: conn}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.lastRead.Store(s.clock.Now().UnixNano())
	c.reader = newFrameReader(&timestampReader{conn: conn, clock: s.clock, lastRead: &c.lastRead}, maxMessageOverhead)
	c.writer = newFrameWriter(conn, s.writeTimeout, &s.group, func(err error) {
		s.errorCounter.inc(kindWrite)
		c.closeWithError(err)
	})
	return c
}

// timestampReader records the time of the last successful read.
type timestampReader struct {
	conn     net.Conn
	clock    core.Clock
	lastRead *atomic.Int64
}

func (r *timestampReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.lastRead.Store(r.clock.Now().UnixNano())
	}
	return n, err
}

// serve serves requests until the connection is closed and all handlers have returned. Each connection has its own
// rpc.Server, because net/rpc passes no context to handlers and the receivers hold the context of the connection.
func (c *serverConn) serve() {
	methods := rpc.NewServer()
	_ = methods.RegisterName(nodeService, &NodeMethods{})
	_ = methods.RegisterName(guardService, &GuardMethods{ctx: c.ctx, server: c.server, executor: c.server.executor, bodies: c.server.bodies})
	if c.server.peer != nil {
		_ = methods.RegisterName(peerService, &PeerMethods{server: c.server, peer: c.server.peer})
	}
	methods.ServeCodec(c)
}

// closeWithError closes the connection immediately and cancels the context of its calls.
func (c *serverConn) closeWithError(err error) {
	c.cancel()
	c.writer.stop(err)
	_ = c.conn.Close()
}

// sendGoodbye tells the client to send no further calls on the connection.
func (c *serverConn) sendGoodbye() {
	f := new(frame)
	if f.encode(&schema.PingReply{}, maxMessageOverhead) != nil {
		return
	}
	header := schema.RpcResponse_builder{Method: goodbyeMethod, Sequence: math.MaxUint64}.Build()
	if f.prependHeader(header) == nil {
		_ = c.writer.enqueue(f)
		c.writer.flush()
	}
}

// drained reports whether all requests that were read have been answered and the replies have been written.
func (c *serverConn) drained() bool { return c.calls.Load() == 0 && c.writer.idle() }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverConn) ReadRequestHeader(request *rpc.Request) error {
	if c.unreadable {
		c.cancel()
		return stdio.EOF
	}
	header := &c.request
	if err := c.reader.readWithin(c.server.frames, c.conn, header); err != nil {
		c.recordFrameError(err)
		c.closeWithError(err)
		return stdio.EOF
	}
	c.calls.Add(1)
	request.ServiceMethod = header.GetMethod()
	request.Seq = header.GetSequence()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. A malformed body is answered with an error. After an oversize body the
// connection is closed, because the rest of the stream is not read.
func (c *serverConn) ReadRequestBody(body any) error {
	limit := classCalls.maxMessageSize(c.server.maxBody)
	if strings.HasPrefix(c.request.GetMethod(), peerService) {
		limit = classPeers.maxMessageSize(c.server.maxBody)
	}
	c.reader.setLimit(limit)
	defer c.reader.setLimit(maxMessageOverhead)
	message, ok := body.(proto.Message)
	if !ok {
		return c.checkRead(c.reader.skip())
	}
	return c.checkRead(c.reader.readWithin(c.server.frames, c.conn, message))
}

func (c *serverConn) checkRead(err error) error {
	if err != nil {
		c.failRead(err)
	}
	return err
}

func (c *serverConn) failRead(err error) {
	var malformed *FrameError
	c.recordFrameError(err)
	c.unreadable = !errors.As(err, &malformed) || malformed.kind == "oversize"
}

func (c *serverConn) recordFrameError(err error) {
	var malformed *FrameError
	if !errors.As(err, &malformed) {
		return
	}
	c.server.errorCounter.inc(malformed.kind)
	c.server.logger.Warn("received invalid message from client",
		zap.String(logKeyMessage, malformed.kind), zap.Stringer("client", c.conn.RemoteAddr()), zap.Error(err))
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverConn) WriteResponse(response *rpc.Response, body any) error {
	defer c.calls.Add(-1)
	var message proto.Message = &schema.PingReply{}
	if reply, ok := body.(*Reply); ok && reply.message != nil {
		message = reply.message
	}
	f := new(frame)
	if err := f.encode(message, max(classCalls.maxMessageSize(c.server.maxBody), classPeers.maxMessageSize(c.server.maxBody))); err != nil {
		c.server.errorCounter.inc("reply")
		response.Error = err.Error()
		if err = f.encode(&schema.PingReply{}, maxMessageOverhead); err != nil {
			return err
		}
	}
	c.response.SetSequence(response.Seq)
	c.response.SetError(response.Error)
	if err := f.prependHeader(&c.response); err != nil {
		return err
	}
	if err := c.writer.enqueue(f); err != nil {
		return err
	}
	c.writer.flush()
	return nil
}

// Close implements rpc.ServerCodec. net/rpc calls it after all handlers have returned.
func (c *serverConn) Close() error {
	c.writer.waitIdle()
	c.closeWithError(errConnectionEnded)
	return nil
}
