package io_test

import (
	"context"
	"fmt"
	stdio "io"
	"sync"
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

// TestShutdownQueuedConnections guards against connections that a planned stop resets although their requests had arrived:
// they wait in the kernel's queue until they are accepted.
func TestShutdownQueuedConnections(t *testing.T) {
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(context.Context, *core.Call) *schema.ExecuteReply {
		return answeredReply(nil, []byte("whole"))
	}))
	qt.Assert(t, err, qt.IsNil)
	conns := make([]*callerConn, 50)
	for i := range conns {
		conns[i] = dial(t, front)
		conns[i].send(t, getRequest("/"))
	}
	serveInBackground(t, front, nil)
	qt.Check(t, front.Shutdown(t.Context()), qt.IsNil)
	for _, c := range conns {
		_, body := c.receive(t)
		qt.Check(t, body, qt.Equals, "whole")
		c.checkClosed(t)
	}
}

// TestShutdownSlowRequest guards against a request that a planned stop refuses while its body is still being sent.
func TestShutdownSlowRequest(t *testing.T) {
	front := newFront(t, echoCall)
	c := dial(t, front)
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha")
	time.Sleep(20 * time.Millisecond)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { qt.Check(t, front.Shutdown(t.Context()), qt.IsNil) })
	time.Sleep(100 * time.Millisecond)
	c.send(t, "lf")
	response, body := c.receive(t)
	qt.Check(t, response.code, qt.Equals, 200)
	qt.Check(t, body, qt.Equals, "half")
}

// TestShutdownRace guards against a request that is run but not answered because it arrives on a kept connection at the moment
// of a planned stop.
func TestShutdownRace(t *testing.T) {
	for round := range 30 {
		var mu sync.Mutex
		ran := make(map[string]bool)
		front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
			mu.Lock()
			defer mu.Unlock()
			ran[call.Path] = true
			return answeredReply(nil, []byte("whole"))
		})
		var group conc.WaitGroup
		answered := make([]bool, 20)
		for i := range answered {
			c := dial(t, front)
			c.send(t, getRequest("/warm"))
			c.receive(t)
			group.Go(func() {
				time.Sleep(time.Duration(i*50) * time.Microsecond)
				_, _ = stdio.WriteString(c, getRequest(fmt.Sprint("/", i)))
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				text, err := stdio.ReadAll(c.reader)
				answered[i] = err == nil && len(text) > 0
				_ = c.Close()
			})
		}
		qt.Check(t, front.Shutdown(t.Context()), qt.IsNil)
		group.Wait()
		for i := range answered {
			qt.Check(t, answered[i], qt.Equals, ran[fmt.Sprint("/", i)], qt.Commentf("round %d, connection %d", round, i))
		}
	}
}
