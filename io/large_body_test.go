package io_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

const (
	// largeBody is a size above that of the bodies that a server keeps without a reservation, and maxBody the largest size that a
	// document may allow.
	largeBody = 3 << 20
	maxBody   = 64 << 20
)

// countBytes replies with the number of bytes of the body as the status code above 200, in megabytes.
func countBytes(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
	reply := answeredReply(nil, nil)
	reply.SetCode(200 + uint32(len(request.GetBody())>>20))
	return reply
}

func executeBody(t testing.TB, transport *io.Transport, address string, size int) (*schema.ExecuteReply, error) {
	request := newExecuteRequest(strings.Repeat("x", size))
	request.SetTimeoutUs(time.Minute.Microseconds())
	return transport.Execute(t.Context(), newInstance(address), request)
}

// TestBodyWithinDocument guards against bodies that the document allows and that only the node's own server can get.
func TestBodyWithinDocument(t *testing.T) {
	for name, size := range map[string]int{"large": largeBody, "largest": maxBody} {
		t.Run(name, func(t *testing.T) {
			memory := io.NewMemory(8 << 20)
			server := newServer(t, countBytes, io.WithMemory(memory))
			reply, err := executeBody(t, newTransport(t), server.Addr(), size)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, reply.GetCode(), qt.Equals, uint32(200+size>>20))
			qt.Check(t, memory.Used(), qt.Equals, 0)
		})
	}
}

// TestNoMemoryForBody guards against large bodies that fill the memory of a node, and against a refusal for which the caller
// does not try again.
func TestNoMemoryForBody(t *testing.T) {
	const limit = 8 << 20
	memory := io.NewMemory(limit)
	var second *schema.ExecuteReply
	var server *io.Server
	transport := newTransport(t)
	server = newServer(t, func(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
		qt.Check(t, memory.Used(), qt.Equals, 6<<20, qt.Commentf("a running call does not count"))
		reply, err := executeBody(t, transport, server.Addr(), largeBody)
		qt.Check(t, err, qt.IsNil)
		second = reply
		return countBytes(ctx, request)
	}, io.WithMemory(memory))
	reply, err := executeBody(t, transport, server.Addr(), 6<<20)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply.GetStatus(), qt.Equals, schema.Status_STATUS_ANSWERED)
	qt.Check(t, second.GetStatus(), qt.Equals, schema.Status_STATUS_NOT_RUN)
	qt.Check(t, core.ReasonName(second.GetReason()), qt.Equals, "memory")
	qt.Check(t, memory.Used(), qt.Equals, 0)
}

// TestPanicReleasesBody guards against memory of a large body that is lost when the call panics.
func TestPanicReleasesBody(t *testing.T) {
	memory := io.NewMemory(8 << 20)
	server := newServer(t, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { panic("test") }, io.WithMemory(memory))
	_, err := executeBody(t, newTransport(t), server.Addr(), largeBody)
	checkError(t, err, schema.Reason_REASON_NODE_LOST, true)
	qt.Check(t, memory.Used(), qt.Equals, 0)
}
