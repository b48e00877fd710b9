package io_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"verbenareel/core"
	"verbenareel/fakes"
	"verbenareel/io"
	"verbenareel/schema"
)

// leftByFasthttp is the cleaner of fasthttp's worker pool, which notices up to 10 s after the end that it has ended.
var leftByFasthttp = goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, leftByFasthttp) }

// executor answers calls with the function; its other operations answer with empty replies.
type executor func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply

func (e executor) Execute(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	return e(ctx, request)
}

func (executor) Cancel(context.Context, *schema.CancelRequest) *schema.CancelReply {
	return &schema.CancelReply{}
}

func (executor) Issue(context.Context, *schema.IssueRequest) *schema.IssueReply {
	return &schema.IssueReply{}
}

func (executor) Supersede(context.Context, *schema.SupersedeRequest) *schema.SupersedeReply {
	return &schema.SupersedeReply{}
}

func newServer(t testing.TB, e core.Executor, opts ...io.Option) *io.Server {
	s, err := io.NewServer("127.0.0.1:0", e, nil, opts...)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(ctx) })
	t.Cleanup(func() { cancel(); group.Wait(); <-s.Done() })
	return s
}

func newTransport(t testing.TB, opts ...io.Option) *io.Transport {
	transport := io.NewTransport(clockwork.NewRealClock(), opts...)
	t.Cleanup(func() { _ = transport.Close(); <-transport.Done() })
	return transport
}

func instanceAt(address string) *core.Instance {
	return core.NewInstance(schema.Member_builder{Instance: "sheets-1", Address: address}.Build(),
		schema.InstanceState_INSTANCE_STATE_SERVING)
}

func TestSmoke(t *testing.T) {
	b, err := fakes.NewBackend("sheets-1", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = b.Serve(ctx) })
	defer func() { cancel(); group.Wait() }()
	backend := io.NewBackend(b.Address())
	defer func() { _ = backend.Close() }()
	report, err := backend.Probe(ctx)
	qt.Assert(t, err, qt.IsNil)
	fmt.Printf("%+v\n", *report)
	server := newServer(t, executor(func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		result := backend.Send(ctx, &core.Request{Method: r.GetMethod(), URI: r.GetUri(), Headers: r.GetHeaders(), Body: r.GetBody(), Deadline: time.Now().Add(time.Second)})
		fmt.Printf("%+v\n", result)
		return schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED, Code: uint32(result.Code), Headers: result.Headers, Body: result.Body}.Build()
	}))
	transport := newTransport(t)
	front, err := io.NewFront("127.0.0.1:0", handler(func(ctx context.Context, call *core.Call) *schema.ExecuteReply {
		reply, err := transport.Execute(ctx, instanceAt(server.Addr()), schema.ExecuteRequest_builder{Method: call.Method, Uri: call.URI, Headers: call.Headers, Body: call.Body}.Build())
		if err != nil {
			return core.Unknown(schema.Reason_REASON_NODE_LOST)
		}
		return reply
	}))
	qt.Assert(t, err, qt.IsNil)
	group.Go(func() { _ = front.Serve(ctx) })
	sent := io.NewBackend(front.Addr())
	defer func() { _ = sent.Close() }()
	result := sent.Send(ctx, &core.Request{Method: "POST", URI: "/x?y=1", Body: []byte("hello")})
	fmt.Printf("%+v %s\n", result, result.Body)
	fmt.Println(front.Shutdown(ctx), server.Shutdown(ctx))
}

type handler func(ctx context.Context, call *core.Call) *schema.ExecuteReply

func (h handler) Handle(ctx context.Context, call *core.Call) *schema.ExecuteReply {
	return h(ctx, call)
}
