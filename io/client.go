package io

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"verbenareel/meter"
	"verbenareel/schema"
)

// pendingCall is a request in flight and the message that receives the reply. The reply to an abandoned call is discarded.
type pendingCall struct {
	frame
	reply     proto.Message
	cause     meter.Cause
	abandoned atomic.Bool
}

// clientCodec implements rpc.ClientCodec for one connection.
type clientCodec struct {
	transport *Transport
	conn      net.Conn
	reader    *frameReader
	writer    *frameWriter
	// peer counts the bytes; counted is the number of bytes read up to the end of the last reply.
	peer    *meter.Peer
	class   trafficClass
	counted int
	// lastRead is the time of the last successful read in nanoseconds since the Unix epoch.
	lastRead atomic.Int64
	// onGoodbye is called when the server announces that it accepts no further calls on the connection.
	onGoodbye func()
	// request and response are the reused headers. They need no lock of their own, because net/rpc serializes writes with a
	// lock and reads in a single goroutine.
	request  schema.RpcRequest
	response schema.RpcResponse

	mutex sync.Mutex
	err   error
}

func newClientCodec(t *Transport, conn net.Conn, key endpointKey) *clientCodec {
	c := &clientCodec{transport: t, conn: conn, class: key.class, peer: t.meter.Peer(key.address)}
	c.lastRead.Store(t.clock.Now().UnixNano())
	c.reader = newFrameReader(&timestampReader{conn: conn, clock: t.clock, lastRead: &c.lastRead}, key.class.maxMessageSize(t.maxBody))
	c.writer = newFrameWriter(conn, t.writeTimeout, &t.group, func(err error) {
		t.errorCounter.inc(kindWrite)
		c.closeWithError(fmt.Errorf("write: %w", err))
	})
	return c
}

// cause returns the error that closed the connection, or nil if it is open.
func (c *clientCodec) cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// closeWithError closes the connection. The first error is kept as the cause.
func (c *clientCodec) closeWithError(err error) {
	c.mutex.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mutex.Unlock()
	c.writer.stop(err)
	_ = c.conn.Close()
}

// WriteRequest implements rpc.ClientCodec. body is a *pendingCall. The caller flushes after net/rpc has released its lock,
// so that concurrent calls are combined into one write.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	x, ok := body.(*pendingCall)
	if !ok {
		return fmt.Errorf("unexpected request body type %T", body)
	}
	c.request.SetMethod(request.ServiceMethod)
	c.request.SetSequence(request.Seq)
	if err := x.prependHeader(&c.request); err != nil {
		return err
	}
	c.peer.Sent(c.transport.clock.Now(), x.cause, len(x.bytes()))
	return c.writer.enqueue(&x.frame)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	header := &c.response
	if err := c.reader.read(header); err != nil {
		return c.failRead(err)
	}
	if header.GetMethod() == goodbyeMethod {
		c.onGoodbye()
	}
	response.Seq = header.GetSequence()
	response.Error = header.GetError()
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. body is nil or a *pendingCall.
func (c *clientCodec) ReadResponseBody(body any) error {
	x, ok := body.(*pendingCall)
	cause := discardedCause(c.class)
	if ok {
		cause = replyCause(x.cause)
	}
	defer c.countReply(cause)
	if !ok || x.abandoned.Load() {
		return c.checkRead(c.reader.skip())
	}
	return c.checkRead(c.reader.read(x.reply))
}

func (c *clientCodec) checkRead(err error) error {
	if err != nil {
		return c.failRead(err)
	}
	return nil
}

// failRead closes the connection after a read error, because the stream position may no longer be at a frame boundary.
func (c *clientCodec) failRead(err error) error {
	var malformed *FrameError
	if errors.As(err, &malformed) {
		c.transport.errorCounter.inc(malformed.kind)
	}
	c.closeWithError(fmt.Errorf("read: %w", err))
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.closeWithError(errClosed)
	return nil
}
