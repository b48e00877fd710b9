package io_test

import (
	"context"
	"errors"
	"fmt"
	stdio "io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// TestRepliesOutOfOrder checks that each reply is delivered to its own call if replies arrive late or out of order.
func TestRepliesOutOfOrder(t *testing.T) {
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		time.Sleep(rand.N(2 * time.Millisecond))
		return echo(ctx, r)
	})
	transport := newTransport(t)
	to := newInstance(server.Addr())
	var group conc.WaitGroup
	for i := range 64 {
		group.Go(func() {
			for j := range 20 {
				body := strings.Repeat(fmt.Sprintf("%d-%d.", i, j), 1+rand.IntN(3000))
				// Some calls time out early. Their late replies must be discarded.
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if rand.IntN(8) == 0 {
					ctx, cancel = context.WithTimeout(context.Background(), time.Millisecond)
				}
				reply, err := transport.Execute(ctx, to, newExecuteRequest(body))
				if ctx.Err() == nil {
					qt.Check(t, err, qt.IsNil)
				}
				if err == nil {
					qt.Check(t, string(reply.GetBody()) == body, qt.IsTrue)
				}
				cancel()
			}
		})
	}
	group.Wait()
}

// TestSilentConnection checks that calls on a connection that has gone silent fail after about 750 ms, and that the next
// call uses a new connection. A slow call on a working connection must not be aborted.
func TestSilentConnection(t *testing.T) {
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		if string(r.GetBody()) == "slow" {
			time.Sleep(1200 * time.Millisecond)
		}
		return echo(ctx, r)
	})
	forwarder := newForwarder(t, server.Addr())
	transport := newTransport(t)
	to := newInstance(forwarder.Addr())
	_, err := transport.Execute(t.Context(), to, newExecuteRequest("slow"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, forwarder.Accepted(), qt.Equals, 1)

	forwarder.StallOpen()
	start := time.Now()
	var group conc.WaitGroup
	for range 8 {
		group.Go(func() {
			_, err := transport.Execute(t.Context(), to, newExecuteRequest("lost"))
			checkError(t, err, schema.Reason_REASON_CONNECTION_SILENT, true)
		})
	}
	group.Wait()
	taken := time.Since(start)
	qt.Check(t, taken > 700*time.Millisecond && taken < 950*time.Millisecond, qt.IsTrue, qt.Commentf("%v", taken))
	reply, err := transport.Execute(t.Context(), to, newExecuteRequest("next"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(reply.GetBody()), qt.Equals, "next")
	qt.Check(t, forwarder.Accepted(), qt.Equals, 2)
}

// TestTransportErrors checks the reason of each kind of failure, and whether the error reports the request as possibly
// sent. A wrong value could make the router repeat a call that has run.
func TestTransportErrors(t *testing.T) {
	release := make(chan struct{})
	started, ended := make(chan struct{}, 8), make(chan struct{}, 8)
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		started <- struct{}{}
		select {
		case <-ctx.Done():
			ended <- struct{}{}
		case <-release:
		}
		return echo(ctx, r)
	})
	forwarder := newForwarder(t, server.Addr())
	transport := newTransport(t)
	to := newInstance(forwarder.Addr())

	t.Run("deadline", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := transport.Execute(ctx, to, newExecuteRequest("held"))
		checkError(t, err, schema.Reason_REASON_DEADLINE, true)
		<-started
	})
	t.Run("context already cancelled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := transport.Execute(ctx, to, newExecuteRequest("held"))
		checkError(t, err, schema.Reason_REASON_CANCELLED, false)
	})
	t.Run("connection cut", func(t *testing.T) {
		var group conc.WaitGroup
		defer group.Wait()
		group.Go(func() {
			<-started
			forwarder.Cut()
		})
		_, err := transport.Execute(t.Context(), to, newExecuteRequest("held"))
		checkError(t, err, schema.Reason_REASON_NODE_LOST, true)
		// The contexts of both blocked calls must be cancelled when the connection is closed.
		<-ended
		<-ended
	})
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		_ = listener.Close()
		_, err = transport.Execute(t.Context(), newInstance(listener.Addr().String()), newExecuteRequest("x"))
		checkError(t, err, schema.Reason_REASON_UNREACHABLE, false)
	})
	t.Run("request too large", func(t *testing.T) {
		_, err := transport.Execute(t.Context(), to, newExecuteRequest(strings.Repeat("x", maxBody+1)))
		checkError(t, err, schema.Reason_REASON_TOO_LARGE, false)
	})
	t.Run("no peer", func(t *testing.T) {
		_, err := transport.Sync(t.Context(), forwarder.Addr(), &schema.SyncRequest{})
		checkError(t, err, schema.Reason_REASON_NODE_LOST, true)
	})
	close(release)
}

// TestBlockedWrite checks that a server that does not read blocks the calls of a connection no longer than the write
// timeout, and that requests that are still queued are not reported as sent.
func TestBlockedWrite(t *testing.T) {
	stuck := make(chan struct{})
	address := newTCPServer(t, func(*net.TCPConn) { <-stuck })
	defer close(stuck)
	const writeTimeout = 1500 * time.Millisecond
	transport := newTransport(t, io.WithPingTimeouts(time.Minute, time.Minute), io.WithWriteTimeout(writeTimeout))
	// The bodies are small enough to be part of the message of their call, and together exceed the socket buffers.
	body := strings.Repeat("x", 16<<10)
	sent := make([]bool, 2048)
	var group conc.WaitGroup
	for i := range sent {
		group.Go(func() {
			_, err := transport.Execute(t.Context(), newInstance(address), newExecuteRequest(body))
			var failure *core.TransportError
			sent[i] = errors.As(err, &failure) && failure.MaybeSent()
		})
	}
	group.Wait()
	qt.Check(t, sent, qt.Contains, true)
	qt.Check(t, sent, qt.Contains, false)

	// After a blocked write the write deadline must be cleared, or later writes would fail.
	server := newServer(t, echo)
	for _, size := range []int{1024, 1} {
		for range size {
			group.Go(func() {
				_, err := transport.Execute(t.Context(), newInstance(server.Addr()), newExecuteRequest(body))
				qt.Check(t, err, qt.IsNil)
			})
		}
		group.Wait()
		time.Sleep(writeTimeout + 50*time.Millisecond)
	}
}

// TestBadFrames checks that malformed or oversize frames neither stop the server nor affect other connections, and that they
// are counted.
func TestBadFrames(t *testing.T) {
	registry := prometheus.NewRegistry()
	server := newServer(t, echo, io.WithMaxBody(1024), io.WithRegisterer(registry))
	transport := newTransport(t)
	header := schema.RpcRequest_builder{Method: "Guard.Execute", Sequence: 1}.Build()
	for name, write := range map[string]func(conn net.Conn){
		"malformed header": func(conn net.Conn) { _, _ = conn.Write([]byte("\x05hello")) },
		"oversize header":  func(conn net.Conn) { _, _ = conn.Write([]byte("\xff\xff\xff\xff\x7f")) },
		"oversize body": func(conn net.Conn) {
			_, _ = protodelim.MarshalTo(conn, header)
			_, _ = protodelim.MarshalTo(conn, newExecuteRequest(strings.Repeat("x", 100<<10)))
		},
		"oversize body of an unknown method": func(conn net.Conn) {
			_, _ = protodelim.MarshalTo(conn, schema.RpcRequest_builder{Method: "Guard.None"}.Build())
			_, _ = protodelim.MarshalTo(conn, newExecuteRequest(strings.Repeat("x", 100<<10)))
		},
		"truncated body": func(conn net.Conn) {
			_, _ = protodelim.MarshalTo(conn, header)
			_, _ = conn.Write([]byte("\x7fabc"))
			_ = conn.(*net.TCPConn).CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Addr())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			write(conn)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			var failure net.Error
			_, err = stdio.ReadAll(conn)
			qt.Check(t, err == nil || !errors.As(err, &failure) || !failure.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
			_, err = transport.Execute(t.Context(), newInstance(server.Addr()), newExecuteRequest("fine"))
			qt.Check(t, err, qt.IsNil)
		})
	}
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, families, qt.HasLen, 1)
	counts := ""
	for _, m := range families[0].GetMetric() {
		counts += fmt.Sprintf("%s=%v ", m.GetLabel()[0].GetValue(), m.GetCounter().GetValue())
	}
	qt.Check(t, counts, qt.Equals, "malformed=1 oversize=3 ")
}

// TestServerShutdown checks that a graceful shutdown does not abort calls in progress. Further calls must fail as
// unreachable and not sent.
func TestServerShutdown(t *testing.T) {
	var calls atomic.Int64
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		calls.Add(1)
		time.Sleep(50 * time.Millisecond)
		return echo(ctx, r)
	})
	transport := newTransport(t)
	var group conc.WaitGroup
	for range 16 {
		group.Go(func() {
			for {
				_, err := transport.Execute(t.Context(), newInstance(server.Addr()), newExecuteRequest("x"))
				if err != nil {
					checkError(t, err, schema.Reason_REASON_UNREACHABLE, false)
					return
				}
			}
		})
	}
	for calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	qt.Check(t, server.Shutdown(ctx), qt.IsNil)
	group.Wait()
	<-server.Done()
}

// TestIdleAndPaused checks that idle connections are closed after the idle timeout, and that a process that was paused does
// not treat its own pause as silence of the connection.
func TestIdleAndPaused(t *testing.T) {
	release := make(chan struct{}, 1)
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		if string(r.GetBody()) == "held" {
			<-release
		}
		return echo(ctx, r)
	})
	forwarder := newForwarder(t, server.Addr())
	clock := clockwork.NewFakeClock()
	advance := func(steps int, step time.Duration) {
		for range steps {
			qt.Check(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
			clock.Advance(step)
		}
		qt.Check(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
	}
	transport := newTransport(t, io.WithClock(clock))
	call := func(body string, accepted int) {
		t.Helper()
		_, err := transport.Execute(t.Context(), newInstance(forwarder.Addr()), newExecuteRequest(body))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, forwarder.Accepted(), qt.Equals, accepted)
	}
	call("first", 1)
	advance(29, time.Second)
	call("within the idle life", 1)
	advance(31, time.Second)
	call("after it", 2)

	forwarder.StallOpen()
	var group conc.WaitGroup
	group.Go(func() { call("held", 2) })
	time.Sleep(20 * time.Millisecond)
	advance(4, 2*time.Second)
	forwarder.Resume()
	release <- struct{}{}
	group.Wait()
}
