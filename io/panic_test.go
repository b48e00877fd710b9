package io_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestPanicInExecutor guards against one request that takes the whole process down, with all calls in progress.
func TestPanicInExecutor(t *testing.T) {
	server := newServer(t, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		if string(r.GetBody()) == "bad" {
			panic("bad")
		}
		return echo(ctx, r)
	})
	transport := newTransport(t)
	for range 2 {
		_, err := transport.Execute(t.Context(), newInstance(server.Addr()), newExecuteRequest("bad"))
		checkError(t, err, schema.Reason_REASON_NODE_LOST, true)
		_, err = transport.Execute(t.Context(), newInstance(server.Addr()), newExecuteRequest("good"))
		qt.Check(t, err, qt.IsNil)
	}
}

// TestPanicInHandler guards against one request of a caller that ends the process or leaves its caller without a response.
func TestPanicInHandler(t *testing.T) {
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
		if call.Path == "/bad" {
			panic("bad")
		}
		return schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED, Code: http.StatusOK}.Build()
	})
	for path, want := range map[string]int{"/bad": http.StatusBadGateway, "/good": http.StatusOK} {
		response, err := http.Get("http://" + front.Addr() + path)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, want)
		_ = response.Body.Close()
	}
	qt.Check(t, front.Shutdown(t.Context()), qt.IsNil)
}
