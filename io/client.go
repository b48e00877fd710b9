package io

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"verbenareel/schema"
)

// exchange is a request on its way and the message that receives its reply. A forgotten reply is read and dropped.
type exchange struct {
	frame
	message   proto.Message
	forgotten atomic.Bool
}

// clientCodec is the net/rpc codec of one connection.
type clientCodec struct {
	transport *Transport
	conn      net.Conn
	reader    *frameReader
	writer    *frameWriter
	read      atomic.Int64
	// leave is called when the server takes no further calls.
	leave func()
	// request and response are the headers being written and read; net/rpc writes under a lock and reads in one goroutine.
	request  schema.RpcRequest
	response schema.RpcResponse

	mutex sync.Mutex
	err   error
}

func newClientCodec(t *Transport, conn net.Conn, p purpose) *clientCodec {
	c := &clientCodec{transport: t, conn: conn}
	c.read.Store(t.clock.Now().UnixNano())
	c.reader = newFrameReader(&stampedReader{conn: conn, clock: t.clock, read: &c.read}, p.limit(t.maxBody))
	c.writer = newFrameWriter(conn, t.writeTimeout, &t.group, func(err error) {
		t.faults.count(kindWrite)
		c.end(fmt.Errorf("write: %w", err))
	})
	return c
}

// cause returns why the connection ended, or nil.
func (c *clientCodec) cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// end closes the connection; the first cause is kept.
func (c *clientCodec) end(err error) {
	c.mutex.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mutex.Unlock()
	c.writer.stop(err)
	_ = c.conn.Close()
}

// WriteRequest implements rpc.ClientCodec. body is an *exchange. The caller flushes once net/rpc has released its lock, so
// that calls at the same time go out in one write.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	x, ok := body.(*exchange)
	if !ok {
		return fmt.Errorf("unexpected body %T", body)
	}
	c.request.SetMethod(request.ServiceMethod)
	c.request.SetSequence(request.Seq)
	if err := x.seal(&c.request); err != nil {
		return err
	}
	return c.writer.enqueue(&x.frame)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	header := &c.response
	if err := c.reader.read(header); err != nil {
		return c.lost(err)
	}
	if header.GetMethod() == goodbyeMethod {
		c.leave()
	}
	response.Seq = header.GetSequence()
	response.Error = header.GetError()
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. body is nil or an *exchange.
func (c *clientCodec) ReadResponseBody(body any) error {
	x, ok := body.(*exchange)
	if !ok || x.forgotten.Load() {
		return c.check(c.reader.skip())
	}
	return c.check(c.reader.read(x.message))
}

func (c *clientCodec) check(err error) error {
	if err != nil {
		return c.lost(err)
	}
	return nil
}

// lost ends the connection after a read error, since the stream may be out of step.
func (c *clientCodec) lost(err error) error {
	var malformed *FrameError
	if errors.As(err, &malformed) {
		c.transport.faults.count(malformed.kind)
	}
	c.end(fmt.Errorf("read: %w", err))
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.end(errClosed)
	return nil
}
