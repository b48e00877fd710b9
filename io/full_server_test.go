package io_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/schema"
)

// newFullServer starts a server that resets connections beyond a number. A request to /silent, and each one after it on its
// connection, gets no response; the others get one after a moment.
func newFullServer(t *testing.T, connections int32) string {
	var open atomic.Int32
	return newTCPServer(t, func(conn *net.TCPConn) {
		defer open.Add(-1)
		open.Add(1)
		for range 20 {
			// The server needs a moment to notice that another connection was closed.
			if open.Load() <= connections {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if open.Load() > connections {
			_ = conn.SetLinger(0)
			return
		}
		reader := bufio.NewReader(conn)
		silent := false
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if silent = silent || r.URL.Path == "/silent"; silent {
				continue
			}
			time.Sleep(50 * time.Millisecond)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// TestConnectionLimit guards against connections beyond what a server accepts: idle ones that are too old for a request that must
// not run twice stayed open beside the new ones, and the server reset those.
func TestConnectionLimit(t *testing.T) {
	const connections = 3
	backend := newBackend(t, newFullServer(t, connections))
	backend.Configure(connections, 1000, "")
	sendAll := func(once bool) {
		var group conc.WaitGroup
		results := make([]*core.Result, connections)
		for i := range results {
			group.Go(func() {
				results[i] = backend.Send(t.Context(), &core.Request{Method: "POST", URI: "/", AtMostOnce: once, Deadline: time.Now().Add(5 * time.Second)})
			})
		}
		group.Wait()
		for _, r := range results {
			qt.Check(t, r.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", core.ReasonName(r.Reason)))
		}
	}
	sendAll(false)
	time.Sleep(1100 * time.Millisecond)
	sendAll(true)
}

// TestFullSilent guards against a request on a connection on which a full server has ignored an earlier one.
func TestFullSilent(t *testing.T) {
	for name, leave := range map[string]time.Duration{"timed out": time.Minute, "cancelled": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			backend := newBackend(t, newFullServer(t, 2))
			ctx, cancel := context.WithTimeout(t.Context(), leave)
			defer cancel()
			result := backend.Send(ctx, &core.Request{Method: "POST", URI: "/silent", AtMostOnce: true, Deadline: time.Now().Add(100 * time.Millisecond)})
			qt.Check(t, result.Code, qt.Equals, 0)
			qt.Check(t, result.Written, qt.IsTrue)
			result = sendOnce(t, backend, "b")
			qt.Check(t, result.Code, qt.Equals, http.StatusOK)
			qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_NONE)
		})
	}
}
