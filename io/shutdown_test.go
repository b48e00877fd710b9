package io_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// TestLingerEnds guards against a session that waits for ever for its caller to close the connection after a refused request
// and holds up a graceful shutdown: if the caller sent the rest of its request, the watch for its close removed the deadline of
// that wait.
func TestLingerEnds(t *testing.T) {
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(_ context.Context, call *core.Call) *schema.ExecuteReply {
		return answeredReply(nil, call.Body)
	}), io.WithReadTimeout(100*time.Millisecond))
	serveInBackground(t, front, err)
	conns := make([]*callerConn, 50)
	for i := range conns {
		conns[i] = dial(t, front)
		conns[i].send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha")
	}
	time.Sleep(10 * time.Millisecond)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		qt.Check(t, front.Shutdown(ctx), qt.IsNil)
	})
	for _, c := range conns {
		response, _ := c.receive(t)
		qt.Check(t, response.code, qt.Equals, 408)
		c.send(t, "lf")
	}
}
