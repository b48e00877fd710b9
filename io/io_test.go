package io_test

import (
	"context"
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"verbenareel/core"
	"verbenareel/fakes"
	"verbenareel/io"
	"verbenareel/schema"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The cleanup goroutine of the fasthttp worker pool exits up to 10 s after its server has stopped.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		// fasthttp starts one goroutine per process that updates the Date header.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// executor implements Execute with a function. Its other methods must not be called.
type executor struct {
	core.Executor
	execute func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply
}

func (e executor) Execute(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	return e.execute(ctx, request)
}

type handlerFunc func(call *core.Call) *schema.ExecuteReply

func (h handlerFunc) Handle(_ context.Context, call *core.Call) *schema.ExecuteReply { return h(call) }

func answeredReply(headers []*schema.Header, body []byte) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{
		Status: schema.Status_STATUS_ANSWERED, Code: 200, Headers: headers, Body: body,
	}.Build()
}

// echo returns a reply with the headers and body of the request.
func echo(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	return answeredReply(request.GetHeaders(), request.GetBody())
}

func echoCall(call *core.Call) *schema.ExecuteReply { return answeredReply(call.Headers, call.Body) }

// serveInBackground starts a server and stops it at the end of the test.
func serveInBackground[P interface{ Serve(context.Context) error }](t testing.TB, server P, err error) P {
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return server
}

func newServer(t testing.TB, execute func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply, opts ...io.Option) *io.Server {
	s, err := io.NewServer("127.0.0.1:0", executor{execute: execute}, nil, opts...)
	return serveInBackground(t, s, err)
}

func newTransport(t testing.TB, opts ...io.Option) *io.Transport {
	transport := io.NewTransport(clockwork.NewRealClock(), opts...)
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

func newForwarder(t testing.TB, target string) *fakes.Forwarder {
	f, err := fakes.NewForwarder(target)
	return serveInBackground(t, f, err)
}

func newFront(t testing.TB, h handlerFunc, opts ...io.Option) *io.Front {
	f, err := io.NewFront("127.0.0.1:0", h, opts...)
	return serveInBackground(t, f, err)
}

func newBackend(t testing.TB, address string, opts ...io.Option) *io.Backend {
	b := io.NewBackend(address, opts...)
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// newTCPServer starts a server that calls serve for each connection and then closes the connection. It returns the address.
func newTCPServer(t testing.TB, serve func(conn *net.TCPConn)) string {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func newInstance(address string) *core.Instance {
	return core.NewInstance(schema.Member_builder{Instance: "sheets-1", Address: address}.Build(),
		schema.InstanceState_INSTANCE_STATE_SERVING)
}

func newExecuteRequest(body string) *schema.ExecuteRequest {
	return schema.ExecuteRequest_builder{Method: "POST", Uri: []byte("/sheets"), Body: []byte(body)}.Build()
}

// checkError asserts that err is a TransportError with the given reason and Sent value.
func checkError(t testing.TB, err error, reason schema.Reason, sent bool) {
	t.Helper()
	var failure *core.TransportError
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, failure.Reason(), qt.Equals, reason, qt.Commentf("%v", err))
	qt.Check(t, failure.MaybeSent(), qt.Equals, sent, qt.Commentf("%v", err))
}
