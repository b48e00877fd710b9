package io_test

import (
	"bufio"
	"context"
	"fmt"
	stdio "io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// httpResponse is a response as received by a caller.
type httpResponse struct {
	code   int
	header http.Header
	body   string
}

// roundTrip writes a raw request to address and reads the response.
func roundTrip(t testing.TB, address, request string) httpResponse {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = stdio.WriteString(conn, request)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := stdio.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return httpResponse{code: response.StatusCode, header: response.Header, body: string(body)}
}

func header(name, value string) *schema.Header {
	return schema.Header_builder{Name: name, Value: []byte(value)}.Build()
}

// TestFrontAnswer checks that the front passes all parts of a request to the handler, and forwards the response of the
// backend server unchanged except for the header fields that it sets or removes itself.
func TestFrontAnswer(t *testing.T) {
	next := schema.Ticket_builder{Instance: "payout-1", Serial: 7, Mac: make([]byte, 32)}.Build()
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
		qt.Check(t, call.Method, qt.Equals, "PUT")
		qt.Check(t, call.URI, qt.Equals, "/a//b/../c%41?x=%2F")
		qt.Check(t, call.Path, qt.Equals, "/a//b/../c%41")
		qt.Check(t, string(call.Body), qt.Equals, "body")
		qt.Check(t, call.Timeout, qt.Equals, 1500*time.Millisecond)
		qt.Check(t, call.Depth, qt.Equals, uint32(2))
		qt.Check(t, call.Ticket.GetSerial(), qt.Equals, uint64(7))
		names := ""
		for _, h := range call.Headers {
			names += h.GetName() + " "
		}
		qt.Check(t, names, qt.Equals, "Host X-Kept ")
		return schema.ExecuteReply_builder{
			Status: schema.Status_STATUS_ANSWERED, Code: 418, Body: []byte("\x00tea"), NextTicket: next, Retried: true,
			Headers: []*schema.Header{
				header("x-lower", "a"), header("x-lower", "b"), header("Date", "Thu, 01 Jan 1970 00:00:00 GMT"),
				header("Content-Type", "tea/pot"), header("Set-Cookie", "a=1"), header("Set-Cookie", "a=2"), header("Verbenareel-Outcome", "not-run"),
			},
		}.Build()
	})
	response := roundTrip(t, front.Addr(), "PUT /a//b/../c%41?x=%2F HTTP/1.1\r\nHost: h\r\nX-Kept: 1\r\nConnection: X-Hop\r\n"+
		"X-Hop: 1\r\nVerbenareel-Timeout: 1500\r\nverbenareel-depth: 2\r\nVerbenareel-Ticket: "+ticket.Encode(next)+
		"\r\nContent-Length: 4\r\n\r\nbody")
	qt.Check(t, response.code, qt.Equals, 418)
	qt.Check(t, response.body, qt.Equals, "\x00tea")
	qt.Check(t, response.header, qt.DeepEquals, http.Header{
		"X-Lower": {"a", "b"}, "Date": {"Thu, 01 Jan 1970 00:00:00 GMT"}, "Content-Type": {"tea/pot"}, "Set-Cookie": {"a=1", "a=2"},
		"Content-Length": {"4"}, "Verbenareel-Next-Ticket": {ticket.Encode(next)}, "Verbenareel-Retried": {"1"},
	})
}

// TestFrontOutcomes checks the status code, outcome field and body of each kind of rejection, by which callers distinguish
// the outcomes.
func TestFrontOutcomes(t *testing.T) {
	var reply *schema.ExecuteReply
	front := newFront(t, func(*core.Call) *schema.ExecuteReply { return reply }, io.WithMaxBody(1024))
	for _, c := range []struct {
		reply *schema.ExecuteReply
		code  int
	}{
		{core.NotRun(schema.Reason_REASON_BUSY), 503},
		{core.NotRun(schema.Reason_REASON_RETRY_BUDGET), 429},
		{core.NotRun(schema.Reason_REASON_TICKET_REQUIRED), 428},
		{core.NotRun(schema.Reason_REASON_TICKET_MISMATCH), 422},
		{core.NotRun(schema.Reason_REASON_TICKET_INVALID), 400},
		{core.NotRun(schema.Reason_REASON_NO_RULE), 404},
		{core.Unknown(schema.Reason_REASON_NODE_LOST), 502},
		{core.Unknown(schema.Reason_REASON_DEADLINE), 504},
	} {
		reply = c.reply
		response := roundTrip(t, front.Addr(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		name := core.StatusName(c.reply.GetStatus()) + "; reason=" + core.ReasonName(c.reply.GetReason())
		qt.Check(t, response.code, qt.Equals, c.code)
		qt.Check(t, response.header.Get("Verbenareel-Outcome"), qt.Equals, name)
		qt.Check(t, strings.Count(response.body, "\n"), qt.Equals, 1)
		qt.Check(t, response.header.Get("Retry-After") != "", qt.Equals, c.reply.GetReason() == schema.Reason_REASON_BUSY)
	}
	for _, c := range []struct {
		name, request string
		code          int
		text          string
	}{
		{"timeout", "GET / HTTP/1.1\r\nHost: h\r\nVerbenareel-Timeout: soon\r\n\r\n", 400, "Verbenareel-Timeout"},
		{"depth", "GET / HTTP/1.1\r\nHost: h\r\nVerbenareel-Depth: -1\r\n\r\n", 400, "Verbenareel-Depth"},
		{"depth twice", "GET / HTTP/1.1\r\nHost: h\r\nVerbenareel-Depth: 1\r\nVerbenareel-Depth: 0\r\n\r\n", 400, "more than once"},
		{"ticket", "GET / HTTP/1.1\r\nHost: h\r\nVerbenareel-Ticket: ?\r\n\r\n", 400, "Verbenareel-Ticket"},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, "too-large"},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n", 413, "too-large"},
		{"method", "BREW(1) / HTTP/1.1\r\nHost: h\r\n\r\n", 400, "method"},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := roundTrip(t, front.Addr(), c.request)
			qt.Check(t, response.code, qt.Equals, c.code)
			qt.Check(t, response.body, qt.Contains, c.text)
			qt.Check(t, response.header.Get("Verbenareel-Outcome"), qt.Contains, "not-run; reason=")
		})
	}
}

// TestSlowClient checks that a client that sends its request too slowly is disconnected with status 408 and does not delay
// other clients.
func TestSlowClient(t *testing.T) {
	front := newFront(t, echoCall, io.WithReadTimeout(200*time.Millisecond))
	for _, start := range []string{"POST / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"} {
		conn, err := net.Dial("tcp", front.Addr())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, _ = stdio.WriteString(conn, start)
		begin := time.Now()
		response := roundTrip(t, front.Addr(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Check(t, response.code, qt.Equals, 200)
		qt.Check(t, time.Since(begin) < 100*time.Millisecond, qt.IsTrue)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		answer, err := stdio.ReadAll(conn)
		qt.Check(t, err, qt.IsNil, qt.Commentf("the connection must be closed"))
		qt.Check(t, strings.HasPrefix(string(answer), "HTTP/1.1 408"), qt.IsTrue, qt.Commentf("%s", answer))
	}
}

// TestFrontShutdown checks that a graceful shutdown waits for the calls in progress.
func TestFrontShutdown(t *testing.T) {
	started := make(chan struct{})
	var finished atomic.Bool
	front := newFront(t, func(*core.Call) *schema.ExecuteReply {
		close(started)
		time.Sleep(50 * time.Millisecond)
		finished.Store(true)
		return answeredReply(nil, []byte("whole"))
	})
	var group conc.WaitGroup
	group.Go(func() {
		<-started
		qt.Check(t, front.Shutdown(t.Context()), qt.IsNil)
		qt.Check(t, finished.Load(), qt.IsTrue, qt.Commentf("Shutdown must wait for the call"))
	})
	qt.Check(t, roundTrip(t, front.Addr(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n").body, qt.Equals, "whole")
	group.Wait()
	<-front.Done()
}

// TestShutdownAnswers guards against requests that a planned stop cuts off without an answer: those in progress at its end are
// cancelled, and their callers are told.
func TestShutdownAnswers(t *testing.T) {
	started := make(chan struct{})
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(ctx context.Context, _ *core.Call) *schema.ExecuteReply {
		close(started)
		<-ctx.Done()
		return core.NotRun(schema.Reason_REASON_CANCELLED)
	}))
	front = serveInBackground(t, front, err)
	var group conc.WaitGroup
	group.Go(func() {
		<-started
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		qt.Check(t, front.Shutdown(ctx), qt.IsNotNil)
	})
	qt.Check(t, roundTrip(t, front.Addr(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n").code, qt.Equals, http.StatusServiceUnavailable)
	group.Wait()
}

// TestPath guards against a rule that is chosen by a path that the backend server does not get: with escapes decoded or empty
// and dot segments removed, an unsafe request matches the prefix of a safe one and may run twice.
func TestPath(t *testing.T) {
	calls := make(chan *core.Call, 1)
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
		calls <- call
		return answeredReply(nil, nil)
	})
	for target, want := range map[string]struct{ uri, path string }{
		"/orders/lookup%2F117/confirm":     {"/orders/lookup%2F117/confirm", "/orders/lookup%2F117/confirm"},
		"/orders//lookup/117/confirm?a=/b": {"/orders//lookup/117/confirm?a=/b", "/orders//lookup/117/confirm"},
		"/orders/x/../lookup/./1":          {"/orders/x/../lookup/./1", "/orders/x/../lookup/./1"},
		"/orders/%6Cookup/1?":              {"/orders/%6Cookup/1?", "/orders/%6Cookup/1"},
		"http://h/orders/lookup%2F1?a=%2F": {"/orders/lookup%2F1?a=%2F", "/orders/lookup%2F1"},
		"http://h//orders/../lookup/1":     {"//orders/../lookup/1", "//orders/../lookup/1"},
		"http://h":                         {"/", "/"},
		"http://h?a=1":                     {"/?a=1", "/"},
	} {
		conn, err := net.Dial("tcp", front.Addr())
		qt.Assert(t, err, qt.IsNil)
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", target)
		_, _ = stdio.Copy(stdio.Discard, conn)
		_ = conn.Close()
		call := <-calls
		qt.Check(t, call.URI, qt.Equals, want.uri)
		qt.Check(t, call.Path, qt.Equals, want.path)
	}
}
