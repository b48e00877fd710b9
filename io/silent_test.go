package io_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
)

// TestBackendDistrustsIdleConnections checks that all idle connections are discarded when one of them stalls. If all
// connections have gone silent together, each of them would otherwise cost one request its full timeout.
func TestBackendDistrustsIdleConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	forwarder := newForwarder(t, server.Listener.Addr().String())
	backend := newBackend(t, forwarder.Addr())
	send := func() *core.Result {
		deadline := time.Now().Add(600 * time.Millisecond)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		return backend.Send(ctx, &core.Request{Method: "GET", URI: "/", Deadline: deadline})
	}
	var group conc.WaitGroup
	for range 3 {
		for range 8 {
			group.Go(func() { qt.Check(t, send().Code, qt.Equals, http.StatusNoContent) })
		}
		group.Wait()
	}
	forwarder.StallOpen()
	stalled := make(chan *core.Result, 1)
	group.Go(func() { stalled <- send() })
	time.Sleep(400 * time.Millisecond)
	qt.Check(t, send().Code, qt.Equals, http.StatusNoContent)
	forwarder.Cut()
	group.Wait()
	qt.Check(t, (<-stalled).Code, qt.Equals, 0)
}

// TestAbandonedCallsShowSilence checks that a silent connection is detected even if each caller gives up before the silence
// timeout.
func TestAbandonedCallsShowSilence(t *testing.T) {
	server := newServer(t, echo)
	forwarder := newForwarder(t, server.Addr())
	transport := newTransport(t)
	send := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := transport.Execute(ctx, newInstance(forwarder.Addr()), newExecuteRequest("x"))
		return err
	}
	_, err := transport.Execute(context.Background(), newInstance(forwarder.Addr()), newExecuteRequest("x"))
	qt.Assert(t, err, qt.IsNil)
	forwarder.StallOpen()
	qt.Check(t, send(), qt.IsNotNil)
	deadline := time.Now().Add(1500 * time.Millisecond)
	for forwarder.Accepted() < 2 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		_ = send()
	}
	qt.Check(t, forwarder.Accepted(), qt.Equals, 2)
}
