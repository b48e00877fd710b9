package io_test

import (
	"bufio"
	"context"
	"fmt"
	stdio "io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// contextHandlerFunc is a handler function that receives the context of the call.
type contextHandlerFunc func(ctx context.Context, call *core.Call) *schema.ExecuteReply

func (h contextHandlerFunc) Handle(ctx context.Context, call *core.Call) *schema.ExecuteReply {
	return h(ctx, call)
}

// callerConn is the client side of a connection to a Front.
type callerConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dial(t testing.TB, front *io.Front) *callerConn {
	conn, err := net.Dial("tcp", front.Addr())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (c *callerConn) send(t testing.TB, text string) {
	_, err := c.Write([]byte(text))
	qt.Assert(t, err, qt.IsNil)
}

// receivedResponse is a response whose body has been read.
type receivedResponse struct {
	code  int
	close bool
}

// receive reads one response.
func (c *callerConn) receive(t testing.TB) (receivedResponse, string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := stdio.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return receivedResponse{code: response.StatusCode, close: response.Close}, string(body)
}

// checkClosed asserts that the front closes the connection without sending another response.
func (c *callerConn) checkClosed(t testing.TB) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := c.reader.ReadByte()
	qt.Check(t, err, qt.IsNotNil)
	var network net.Error
	qt.Check(t, err != nil && strings.Contains(err.Error(), "timeout"), qt.IsFalse, qt.Commentf("%v %v", err, network))
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// TestPipelining checks that pipelined requests are processed concurrently and answered in order.
func TestPipelining(t *testing.T) {
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
	started := make(chan string, 3)
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(_ context.Context, call *core.Call) *schema.ExecuteReply {
		started <- call.Path
		<-release[call.Path]
		return answeredReply(nil, []byte(call.Path))
	}))
	serveInBackground(t, front, err)
	c := dial(t, front)
	c.send(t, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	for range 3 {
		<-started
	}
	for _, path := range []string{"/3", "/2", "/1"} {
		close(release[path])
	}
	for _, path := range []string{"/1", "/2", "/3"} {
		response, body := c.receive(t)
		qt.Check(t, response.code, qt.Equals, 200)
		qt.Check(t, body, qt.Equals, path)
	}
}

// TestCloseBehindPipeline guards against requests that are run while their caller discards the answers: in a planned stop, an
// answer with "Connection: close" must not come before those to requests that were passed on already.
func TestCloseBehindPipeline(t *testing.T) {
	started, release := make(chan struct{}, 3), make(chan struct{})
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(_ context.Context, call *core.Call) *schema.ExecuteReply {
		started <- struct{}{}
		<-release
		return answeredReply(nil, []byte(call.Path))
	}))
	serveInBackground(t, front, err)
	c := dial(t, front)
	c.send(t, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	for range 3 {
		<-started
	}
	front.DisableKeepAlives()
	close(release)
	for _, path := range []string{"/1", "/2", "/3"} {
		response, body := c.receive(t)
		qt.Check(t, body, qt.Equals, path)
		qt.Check(t, response.close, qt.Equals, path == "/3")
	}
}

// TestCallerGone checks that the contexts of calls are cancelled when the caller closes its connection, so that no further
// work is done for it.
func TestCallerGone(t *testing.T) {
	for name, request := range map[string]string{
		"persistent connection":   getRequest("/"),
		"last request":            "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"pipelined requests":      getRequest("/") + getRequest("/"),
		"incomplete next request": getRequest("/") + "GET /ne",
	} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}, 4), make(chan time.Time, 4)
			front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(ctx context.Context, _ *core.Call) *schema.ExecuteReply {
				started <- struct{}{}
				<-ctx.Done()
				ended <- time.Now()
				return core.Unknown(schema.Reason_REASON_CANCELLED)
			}))
			serveInBackground(t, front, err)
			c := dial(t, front)
			c.send(t, request)
			<-started
			closed := time.Now()
			qt.Assert(t, c.Close(), qt.IsNil)
			qt.Check(t, (<-ended).Sub(closed) < 200*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestSmuggling checks that ambiguous requests are rejected. Another HTTP implementation could parse them differently, so
// that a request hidden in the body of another one would be executed (request smuggling).
func TestSmuggling(t *testing.T) {
	calls := 0
	front := newFront(t, func(*core.Call) *schema.ExecuteReply {
		calls++
		return answeredReply(nil, nil)
	})
	for name, request := range map[string]string{
		"two lengths":            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"length and chunks":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two codings":            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"signed length":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd",
		"space before the colon": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd",
		"folded line":            "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"bare line feed":         "GET / HTTP/1.1\r\nHost: h\nX: a\r\n\r\n",
		"line feeds alone":       "GET / HTTP/1.1\nHost: h\n\n",
		"control character":      "GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n",
		"no host":                "GET / HTTP/1.1\r\n\r\n",
		"two hosts":              "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"unknown version":        "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
		"no target":              "GET  HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			before := calls
			c := dial(t, front)
			c.send(t, request+getRequest("/hidden"))
			response, _ := c.receive(t)
			qt.Check(t, response.code, qt.Equals, 400)
			qt.Check(t, response.close, qt.IsTrue)
			c.checkClosed(t)
			qt.Check(t, calls, qt.Equals, before)
		})
	}
}

// TestBodies checks that request bodies are complete and separated from the next request, with chunked encoding, with a
// content length and with "Expect: 100-continue".
func TestBodies(t *testing.T) {
	front := newFront(t, echoCall)
	c := dial(t, front)
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	_, body := c.receive(t)
	qt.Check(t, body, qt.Equals, "abcde")
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nfg"+getRequest("/"))
	_, body = c.receive(t)
	qt.Check(t, body, qt.Equals, "fg")
	_, body = c.receive(t)
	qt.Check(t, body, qt.Equals, "")
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	interim, err := c.reader.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, interim, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.Discard(len("\r\n"))
	qt.Assert(t, err, qt.IsNil)
	c.send(t, "hi")
	_, body = c.receive(t)
	qt.Check(t, body, qt.Equals, "hi")
}

// TestLimits checks that the limits of the document are enforced.
func TestLimits(t *testing.T) {
	limits := schema.Limits_builder{MaxHeader: 200, MaxBody: 4}.Build()
	front := newFront(t, echoCall, io.WithDocumentLimits(func() (*schema.Limits, bool) { return limits, true }))
	for _, c := range []struct {
		name, request string
		code          int
	}{
		{"within", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd", 200},
		{"header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 200) + "\r\n\r\n", 431},
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde", 413},
		{"chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, front)
			conn.send(t, c.request)
			response, _ := conn.receive(t)
			qt.Check(t, response.code, qt.Equals, c.code)
		})
	}
}

// TestRetire checks that callers are told to close their connections to a node that is about to stop, and that shutdown
// does not abort a request in progress.
func TestRetire(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(_ context.Context, call *core.Call) *schema.ExecuteReply {
		if call.Path == "/slow" {
			started <- struct{}{}
			<-release
		}
		return answeredReply(nil, []byte("whole"))
	}))
	serveInBackground(t, front, err)
	idle, busy, used := dial(t, front), dial(t, front), dial(t, front)
	busy.send(t, getRequest("/slow"))
	<-started
	used.send(t, getRequest("/"))
	response, _ := used.receive(t)
	qt.Check(t, response.close, qt.IsFalse)
	front.DisableKeepAlives()
	used.send(t, getRequest("/"))
	response, _ = used.receive(t)
	qt.Check(t, response.close, qt.IsTrue)
	late := dial(t, front)
	late.send(t, getRequest("/"))
	response, _ = late.receive(t)
	qt.Check(t, response.code, qt.Equals, 200)
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	qt.Check(t, front.Shutdown(context.Background()), qt.IsNil)
	_, body := busy.receive(t)
	qt.Check(t, body, qt.Equals, "whole")
	idle.checkClosed(t)
}

// TestHead checks that the response to a HEAD request keeps its Content-Length and is sent without a body, so that the next
// response on the connection is read correctly.
func TestHead(t *testing.T) {
	front := newFront(t, func(*core.Call) *schema.ExecuteReply {
		return answeredReply([]*schema.Header{header("Content-Length", "10")}, nil)
	})
	c := dial(t, front)
	c.send(t, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"+getRequest("/"))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Check(t, response.ContentLength, qt.Equals, int64(10))
	line, err := c.reader.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, line, qt.Equals, "HTTP/1.1 200 OK\r\n")
}

// customWire returns a wire format like those of platforms with their own header fields.
func customWire() *core.WireFormat {
	return &core.WireFormat{
		RequestID: "X-Id", Timeout: "X-Time", ResponseSignature: "X-Seal", Target: "X-Target", Caller: "X-Caller", NotRun: "X-Not-Run",
		Load: "X-Load", Instance: "X-Instance", ColdTime: "X-Cold", CloseDelimitedBodies: true, ServersDropCancelled: true,
		ProbePath: "/probe", ParseLoad: core.ParseLoad,
	}
}

// TestForeignResponses checks that only a valid response to the request itself is returned, and not other data sent by a
// faulty server.
func TestForeignResponses(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, response string
		reason         schema.Reason
		body           string
	}{
		{"whole", ok, schema.Reason_REASON_NONE, "ok"},
		{"late response to another request first", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nold" + ok, schema.Reason_REASON_NONE, "ok"},
		{"without a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nto the end", schema.Reason_REASON_NONE, "to the end"},
		{"without a seal", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", schema.Reason_REASON_GARBLED, ""},
		{"encoded", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", schema.Reason_REASON_GARBLED, ""},
		{"only to another request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok", schema.Reason_REASON_TRUNCATED, ""},
		{"cut short", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nok", schema.Reason_REASON_TRUNCATED, ""},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", schema.Reason_REASON_TRUNCATED, ""},
		{"not run", "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", schema.Reason_REASON_SHED, ""},
		{"not run with another status code", "HTTP/1.1 429 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", schema.Reason_REASON_SHED, ""},
		{"another instance", "HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", schema.Reason_REASON_WRONG_INSTANCE, ""},
		{"error", "HTTP/1.1 500 Error\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno", schema.Reason_REASON_NONE, "no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := newTCPServer(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = conn.Write([]byte(c.response))
			})
			b := newBackend(t, address, io.WithWire(customWire()))
			result := b.Send(t.Context(), &core.Request{Method: "GET", URI: "/", ID: "1", Deadline: time.Now().Add(time.Second)})
			qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(c.reason))
			qt.Check(t, result.Written, qt.IsTrue)
			if c.reason == schema.Reason_REASON_NONE {
				qt.Check(t, string(result.Body), qt.Equals, c.body)
			}
		})
	}
}

// TestResetBody checks that a body delimited by the end of the connection counts as truncated if the connection is reset.
func TestResetBody(t *testing.T) {
	address := newTCPServer(t, func(conn *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\npart"))
		time.Sleep(50 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	b := newBackend(t, address, io.WithWire(customWire()))
	result := b.Send(t.Context(), &core.Request{Method: "GET", URI: "/", ID: "1", Deadline: time.Now().Add(time.Second)})
	qt.Check(t, core.ReasonName(result.Reason), qt.Equals, "truncated")
}

// TestEarlyAnswer checks that a response sent before the server has read the whole request is returned without waiting for
// the blocked write, and that the connection is not reused, because the rest of the request has not been sent.
func TestEarlyAnswer(t *testing.T) {
	connections := make(chan struct{}, 4)
	address := newTCPServer(t, func(conn *net.TCPConn) {
		connections <- struct{}{}
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Too Large\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Id"))
			time.Sleep(300 * time.Millisecond)
		}
	})
	b := newBackend(t, address, io.WithWire(customWire()), io.WithMaxBody(64<<20))
	body := make([]byte, 32<<20)
	headers := []*schema.Header{header("X-Id", "1")}
	result := b.Send(t.Context(), &core.Request{Method: "POST", URI: "/", ID: "1", Headers: headers, Body: body, Deadline: time.Now().Add(2 * time.Second)})
	qt.Check(t, result.Code, qt.Equals, 413)
	headers = []*schema.Header{header("X-Id", "2")}
	result = b.Send(t.Context(), &core.Request{Method: "GET", URI: "/", ID: "2", Headers: headers, Deadline: time.Now().Add(2 * time.Second)})
	qt.Check(t, result.Code, qt.Equals, 413)
	qt.Check(t, len(connections), qt.Equals, 2)
}

// TestForeignProbe checks that the probe header fields are converted to a ServerReport, and that a probe skips a late response
// to a call. Such a response does not contain the cold start time, so a cold server would be treated as warm.
func TestForeignProbe(t *testing.T) {
	for _, c := range []struct {
		name, response string
		want           core.ServerReport
	}{
		{"healthy and cold", "HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Cold: 1500\r\nX-Load: limit=9\r\nContent-Length: 0\r\n\r\n",
			core.ServerReport{Limit: 9, HasState: true, Cold: true, ColdRemaining: 1500 * time.Millisecond, Instance: "i-1"}},
		{"unhealthy", "HTTP/1.1 503 No\r\nX-Instance: i-1\r\nX-Cold: 0\r\nX-Load: limit=9\r\nContent-Length: 0\r\n\r\n",
			core.ServerReport{Limit: 9, HasState: true, Draining: true, Instance: "i-1"}},
		{"late response to a call first", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Seal: s\r\nX-Load: limit=8\r\nContent-Length: 3\r\n\r\nold" +
			"HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Cold: 1500\r\nX-Load: limit=9\r\nContent-Length: 0\r\n\r\n",
			core.ServerReport{Limit: 9, HasState: true, Cold: true, ColdRemaining: 1500 * time.Millisecond, Instance: "i-1"}},
		{"without a name", "HTTP/1.1 200 OK\r\nX-Load: limit=9\r\nContent-Length: 0\r\n\r\n", core.ServerReport{Limit: 9}},
		{"rejected", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Load: limit=9\r\nContent-Length: 0\r\n\r\n",
			core.ServerReport{Limit: 9, Draining: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			paths := make(chan string, 1)
			address := newTCPServer(t, func(conn *net.TCPConn) {
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					paths <- request.URL.Path
				}
				_, _ = conn.Write([]byte(c.response))
			})
			b := newBackend(t, address, io.WithWire(customWire()))
			report, err := b.Probe(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, <-paths, qt.Equals, "/probe")
			qt.Check(t, *report, qt.Equals, c.want)
		})
	}
}
