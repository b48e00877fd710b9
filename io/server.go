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
	// goodbyeMethod marks a response to no request: the server takes no further calls on the connection.
	goodbyeMethod = "Node.Goodbye"
)

const (
	// serverIdle is twice the idle life on the client's side, so a server closes only connections whose client is gone.
	serverIdle  = 2 * defaultNodeIdle
	sweepPeriod = 5 * time.Second
	// goodbyeTime covers several round trips between regions, within which a client stops sending after a goodbye.
	goodbyeTime  = 200 * time.Millisecond
	drainPeriod  = 2 * time.Millisecond
	acceptPause  = 10 * time.Millisecond
	kindAccept   = "accept"
	kindWrite    = "write"
	kindIdle     = "idle"
	kindRefused  = "too-many-connections"
	kindMessages = "message"
)

var errEnded = errors.New("connection ended")

// Server serves the operations of a guard and of a gossip peer to other nodes.
type Server struct {
	options
	faults   faults
	executor core.Executor
	peer     core.Peer
	listener net.Listener
	group    conc.WaitGroup
	stopped  context.Context
	stop     context.CancelFunc

	mutex    sync.Mutex
	conns    map[*serverConn]struct{}
	draining bool
	done     chan struct{}
	once     sync.Once
}

// NewServer listens on address, whose port may be 0, and serves once Serve is called. peer may be nil.
func NewServer(address string, executor core.Executor, peer core.Peer, opts ...Option) (*Server, error) {
	o := newOptions(opts, serverIdle, defaultMaxServerConns)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("rpc server: %w", err)
	}
	stopped, stop := context.WithCancel(context.Background())
	return &Server{
		options:  o,
		faults:   newFaults(o.registerer, "server"),
		executor: executor,
		peer:     peer,
		listener: listener,
		stopped:  stopped,
		stop:     stop,
		conns:    make(map[*serverConn]struct{}),
		done:     make(chan struct{}),
	}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Done is closed once the server has stopped and its connections are closed.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections until Shutdown, or until ctx ends, which closes all connections at once.
func (s *Server) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, s.close)
	defer release()
	s.group.Go(s.sweep)
	err := s.accept()
	<-s.stopped.Done()
	s.group.Wait()
	s.finish()
	return err
}

// Shutdown stops accepting, waits for the calls in progress and closes the connections. If ctx ends first, the
// connections are closed at once and the error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.refuse()
	err := s.drain(ctx)
	s.close()
	s.group.Wait()
	s.finish()
	return err
}

func (s *Server) finish() { s.once.Do(func() { close(s.done) }) }

// refuse ends the listener; no connection is taken up after it returns.
func (s *Server) refuse() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	_ = s.listener.Close()
}

func (s *Server) close() {
	s.refuse()
	s.stop()
	for _, c := range s.connections() {
		c.end(net.ErrClosed)
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
			// Out of file descriptors or the like: the next attempt may succeed.
			s.faults.count(kindAccept)
			s.logger.Warn("cannot accept a connection", zap.Error(err))
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining || len(s.conns) >= s.options.connections {
		s.faults.count(kindRefused)
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

// drain tells the clients that no further calls are taken, and waits until they have closed their connections. A
// connection whose client does not know the goodbye is given up once it has no call in progress and goodbyeTime has
// passed.
func (s *Server) drain(ctx context.Context) error {
	for _, c := range s.connections() {
		c.sayGoodbye()
	}
	patient := time.Now().Add(goodbyeTime)
	for {
		late := time.Now().After(patient)
		busy := false
		for _, c := range s.connections() {
			busy = busy || !late || !c.drained()
		}
		if !busy {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("rpc server: wait for calls in progress: %w", ctx.Err())
		case <-time.After(drainPeriod):
		}
	}
}

// sweep closes connections whose client is gone without a sign.
func (s *Server) sweep() {
	for {
		select {
		case <-s.stopped.Done():
			return
		case now := <-s.clock.After(sweepPeriod):
			for _, c := range s.connections() {
				if c.calls.Load() == 0 && now.Sub(time.Unix(0, c.read.Load())) > s.idleTime {
					s.faults.count(kindIdle)
					c.end(net.ErrClosed)
				}
			}
		}
	}
}

// serverConn is one connection of a Server and its net/rpc codec.
type serverConn struct {
	server *Server
	conn   net.Conn
	reader *frameReader
	writer *frameWriter
	ctx    context.Context
	cancel context.CancelFunc
	broken bool
	// request and response are the headers being read and written; net/rpc reads in one goroutine and writes under a lock.
	request  schema.RpcRequest
	response schema.RpcResponse
	// calls counts requests read and not yet answered; read is the time of the last byte read.
	calls atomic.Int64
	read  atomic.Int64
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	c := &serverConn{server: s, conn: conn}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.read.Store(s.clock.Now().UnixNano())
	c.reader = newFrameReader(&stampedReader{conn: conn, clock: s.clock, read: &c.read}, frameRoom)
	c.writer = newFrameWriter(conn, s.writeTimeout, &s.group, func(err error) {
		s.faults.count(kindWrite)
		c.end(err)
	})
	return c
}

// stampedReader records the time of each read.
type stampedReader struct {
	conn  net.Conn
	clock core.Clock
	read  *atomic.Int64
}

func (r *stampedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.read.Store(r.clock.Now().UnixNano())
	}
	return n, err
}

// serve runs until the connection ends and its handlers have returned. The receivers are registered for this
// connection alone, because net/rpc passes no context to a handler.
func (c *serverConn) serve() {
	methods := rpc.NewServer()
	_ = methods.RegisterName(nodeService, &NodeMethods{})
	_ = methods.RegisterName(guardService, &GuardMethods{ctx: c.ctx, executor: c.server.executor})
	if c.server.peer != nil {
		_ = methods.RegisterName(peerService, &PeerMethods{peer: c.server.peer})
	}
	methods.ServeCodec(c)
}

// end closes the connection at once.
func (c *serverConn) end(err error) {
	c.cancel()
	c.writer.stop(err)
	_ = c.conn.Close()
}

// sayGoodbye tells the client to send no further calls on the connection.
func (c *serverConn) sayGoodbye() {
	f := new(frame)
	if f.encode(&schema.PingReply{}, frameRoom) != nil {
		return
	}
	header := schema.RpcResponse_builder{Method: goodbyeMethod, Sequence: math.MaxUint64}.Build()
	if f.seal(header) == nil {
		_ = c.writer.enqueue(f)
		c.writer.flush()
	}
}

// drained reports whether all requests read are answered and the answers written.
func (c *serverConn) drained() bool { return c.calls.Load() == 0 && c.writer.idle() }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverConn) ReadRequestHeader(request *rpc.Request) error {
	if c.broken {
		c.cancel()
		return stdio.EOF
	}
	header := &c.request
	if err := c.reader.read(header); err != nil {
		c.fault(err)
		c.end(err)
		return stdio.EOF
	}
	c.calls.Add(1)
	request.ServiceMethod = header.GetMethod()
	request.Seq = header.GetSequence()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. A malformed body is answered with an error; after an oversize one the
// connection is closed, since the rest of the stream is not read.
func (c *serverConn) ReadRequestBody(body any) error {
	limit := purposeCalls.limit(c.server.maxBody)
	if strings.HasPrefix(c.request.GetMethod(), peerService) {
		limit = purposePeers.limit(c.server.maxBody)
	}
	c.reader.setLimit(limit)
	defer c.reader.setLimit(frameRoom)
	message, ok := body.(proto.Message)
	if !ok {
		return c.check(c.reader.skip())
	}
	return c.check(c.reader.read(message))
}

func (c *serverConn) check(err error) error {
	if err != nil {
		c.reject(err)
	}
	return err
}

func (c *serverConn) reject(err error) {
	var malformed *FrameError
	c.fault(err)
	c.broken = !errors.As(err, &malformed) || malformed.kind == "oversize"
}

func (c *serverConn) fault(err error) {
	var malformed *FrameError
	if !errors.As(err, &malformed) {
		return
	}
	c.server.faults.count(malformed.kind)
	c.server.logger.Warn("closing or refusing after a bad message",
		zap.String(kindMessages, malformed.kind), zap.Stringer("client", c.conn.RemoteAddr()), zap.Error(err))
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverConn) WriteResponse(response *rpc.Response, body any) error {
	defer c.calls.Add(-1)
	var message proto.Message = &schema.PingReply{}
	if reply, ok := body.(*Reply); ok && reply.message != nil {
		message = reply.message
	}
	f := new(frame)
	if err := f.encode(message, max(purposeCalls.limit(c.server.maxBody), purposePeers.limit(c.server.maxBody))); err != nil {
		c.server.faults.count("reply")
		response.Error = err.Error()
		if err = f.encode(&schema.PingReply{}, frameRoom); err != nil {
			return err
		}
	}
	c.response.SetSequence(response.Seq)
	c.response.SetError(response.Error)
	if err := f.seal(&c.response); err != nil {
		return err
	}
	if err := c.writer.enqueue(f); err != nil {
		return err
	}
	c.writer.flush()
	return nil
}

// Close implements rpc.ServerCodec. It is called once all handlers have returned.
func (c *serverConn) Close() error {
	c.writer.wait()
	c.end(errEnded)
	return nil
}
