package io_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/io"
	"verbenareel/schema"
)

// newSlowLink returns the address of a forwarder to an address that passes on at most bytesPerSecond from clients, all
// connections together, as the link of a machine does. After stallAfter bytes it passes on nothing; 0 means never.
func newSlowLink(t *testing.T, address string, bytesPerSecond int, stallAfter int64) string {
	link := make(chan struct{}, 1)
	var passed atomic.Int64
	transmit := func(size int) bool {
		link <- struct{}{}
		defer func() { <-link }()
		time.Sleep(time.Duration(size) * time.Second / time.Duration(bytesPerSecond))
		return stallAfter == 0 || passed.Add(int64(size)) < stallAfter
	}
	return newTCPServer(t, func(client *net.TCPConn) {
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		var group conc.WaitGroup
		group.Go(func() {
			buffer := make([]byte, 32<<10)
			for {
				n, err := server.Read(buffer)
				if err != nil {
					return
				}
				_, _ = client.Write(buffer[:n])
			}
		})
		defer group.Wait()
		defer func() { _ = server.Close() }()
		buffer := make([]byte, 2<<10)
		for {
			n, err := client.Read(buffer)
			if err != nil {
				return
			}
			if transmit(n) {
				_, _ = server.Write(buffer[:n])
			}
		}
	})
}

// TestLargeBodies guards against bodies that are mixed up or cut short when many of them are transferred at the same time.
func TestLargeBodies(t *testing.T) {
	server := newServer(t, echo)
	transport := newTransport(t)
	var group conc.WaitGroup
	for i := range 24 {
		group.Go(func() {
			body := strings.Repeat(fmt.Sprint(i, "."), 1000*(i+1))
			request := newExecuteRequest(body)
			request.SetTimeoutUs(time.Minute.Microseconds())
			reply, err := transport.Execute(t.Context(), newInstance(server.Addr()), request)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(reply.GetBody()) == body, qt.IsTrue)
		})
	}
	group.Wait()
}

// TestUploadOverSlowLink guards against an upload that is given up because its connection looks silent while the link still
// carries its body, and against calls that wait behind the bodies of uploads.
func TestUploadOverSlowLink(t *testing.T) {
	const (
		linkRate = 250 << 10
		bodySize = 300 << 10
		// maxQueueing is the time in which the link carries the unconfirmed chunks of all uploads, with a reserve.
		maxQueueing = 300 * time.Millisecond
	)
	server := newServer(t, echo)
	to := newInstance(newSlowLink(t, server.Addr(), linkRate, 0))
	transport := newTransport(t, io.WithPingTimeouts(100*time.Millisecond, 200*time.Millisecond))
	var uploads conc.WaitGroup
	for range 2 {
		uploads.Go(func() {
			reply, err := transport.Execute(t.Context(), to, newExecuteRequest(strings.Repeat("x", bodySize)))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(reply.GetBody()), qt.Equals, bodySize)
		})
	}
	time.Sleep(200 * time.Millisecond)
	for range 5 {
		start := time.Now()
		_, err := transport.Execute(t.Context(), to, newExecuteRequest("lookup"))
		qt.Check(t, err, qt.IsNil)
		took := time.Since(start)
		qt.Check(t, took < maxQueueing, qt.IsTrue, qt.Commentf("a call took %v", took))
	}
	uploads.Wait()
}

// TestLostUpload guards against an upload that is reported as possibly run although its body never arrived completely: the
// caller of a call that may not repeat could then not send it again.
func TestLostUpload(t *testing.T) {
	var runs atomic.Int64
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		runs.Add(1)
		return echo(ctx, r)
	})
	to := newInstance(newSlowLink(t, server.Addr(), 10<<20, 40<<10))
	transport := newTransport(t, io.WithPingTimeouts(50*time.Millisecond, 100*time.Millisecond))
	_, err := transport.Execute(t.Context(), to, newExecuteRequest(strings.Repeat("x", 100<<10)))
	checkError(t, err, schema.Reason_REASON_CONNECTION_SILENT, false)
	qt.Check(t, runs.Load(), qt.Equals, int64(0))
}

// TestUnknownTransfer guards against a call that runs without its body, for example after a restart of the node.
func TestUnknownTransfer(t *testing.T) {
	server := newServer(t, echo)
	request := newExecuteRequest("")
	request.SetBodyTransfer(7)
	reply, err := newTransport(t).Execute(t.Context(), newInstance(server.Addr()), request)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply.GetStatus(), qt.Equals, schema.Status_STATUS_NOT_RUN)
	qt.Check(t, reply.GetReason(), qt.Equals, schema.Reason_REASON_NODE_LOST)
}

// TestTransferTimeout guards against a backend server that is given more time than is left after the transfer of a body.
func TestTransferTimeout(t *testing.T) {
	const timeout = 2 * time.Second
	left := make(chan time.Duration, 1)
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		left <- time.Duration(r.GetTimeoutUs()) * time.Microsecond
		return echo(ctx, r)
	})
	request := newExecuteRequest(strings.Repeat("x", 100<<10))
	request.SetTimeoutUs(timeout.Microseconds())
	to := newInstance(newSlowLink(t, server.Addr(), 200<<10, 0))
	start := time.Now()
	_, err := newTransport(t).Execute(t.Context(), to, request)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, <-left < timeout-400*time.Millisecond, qt.IsTrue, qt.Commentf("the whole call took %v", time.Since(start)))
}

// TestBytesOfRequest guards against a request that is refused by every node but the own one since its target or ID is not valid UTF-8,
// or that arrives changed.
func TestBytesOfRequest(t *testing.T) {
	const target, id = "/sheets/caf\xe9?q=\xff\x00", "id-\xfe"
	server := newServer(t, func(_ context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		return answeredReply(nil, []byte(string(r.GetUri())+" "+string(r.GetRequestId())))
	})
	request := newExecuteRequest("")
	request.SetUri([]byte(target))
	request.SetRequestId([]byte(id))
	reply, err := newTransport(t).Execute(t.Context(), newInstance(server.Addr()), request)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(reply.GetBody()), qt.Equals, target+" "+id)
}

// TestUnencodable guards against a message that is reported as too large because it cannot be encoded.
func TestUnencodable(t *testing.T) {
	request := newExecuteRequest("")
	request.SetCustomer("\xff")
	_, err := newTransport(t).Execute(t.Context(), newInstance("127.0.0.1:9"), request)
	checkError(t, err, schema.Reason_REASON_MALFORMED, false)
}
