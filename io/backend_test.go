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
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// newHTTPServer starts a server that counts the requests it reads, and calls answer to write each response. It closes the
// connection when answer returns false.
func newHTTPServer(t testing.TB, answer func(conn *net.TCPConn, r *http.Request) bool) (address string, runs *atomic.Int64) {
	runs = new(atomic.Int64)
	address = newTCPServer(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = stdio.Copy(stdio.Discard, r.Body)
			runs.Add(1)
			if !answer(conn, r) {
				return
			}
		}
	})
	return address, runs
}

func newPostRequest() *core.Request {
	return &core.Request{Method: "POST", URI: "/deposit?a=1", Body: []byte("x"), Depth: 3, Deadline: time.Now().Add(time.Second)}
}

// TestExactlyOneRun checks that a request is never sent a second time when its connection closes. Some HTTP client
// libraries resend requests in this case, and the request would run twice.
func TestExactlyOneRun(t *testing.T) {
	t.Run("closed after the request", func(t *testing.T) {
		address, runs := newHTTPServer(t, func(*net.TCPConn, *http.Request) bool { return false })
		backend := newBackend(t, address)
		for i := range 3 {
			result := backend.Send(t.Context(), newPostRequest())
			qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_CONNECTION_LOST)
			qt.Check(t, result.Written && result.ConnectionReset, qt.IsTrue)
			qt.Check(t, runs.Load(), qt.Equals, int64(i+1))
		}
	})
	t.Run("idle connections closed", func(t *testing.T) {
		address, runs := newHTTPServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = stdio.WriteString(conn, okResponse)
			return false
		})
		backend := newBackend(t, address)
		answered := int64(0)
		for range 200 {
			result := backend.Send(t.Context(), newPostRequest())
			if result.Code == http.StatusOK {
				answered++
			} else {
				// The server closed the connection after isOpen had checked it.
				qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_CONNECTION_LOST)
			}
			time.Sleep(100 * time.Microsecond)
		}
		qt.Check(t, runs.Load(), qt.Equals, answered)
		qt.Check(t, answered > 150, qt.IsTrue, qt.Commentf("%d answered", answered))
	})
}

// TestAnswers checks that complete responses are read correctly, and that an incomplete or oversize response is never
// returned as complete.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, method, answer string
		reason               schema.Reason
		code                 int
		body                 string
	}{
		{"length", "POST", okResponse, 0, 200, "hi"},
		{"chunked", "POST", "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n", 0, 201, "hi!"},
		{"interim", "POST", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, 0, 200, "hi"},
		{"no body", "POST", "HTTP/1.1 204 No Content\r\n\r\n", 0, 204, ""},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 0, 200, ""},
		{"shed", "POST", "HTTP/1.1 503 Busy\r\nverbenareel-not-run: shed\r\nContent-Length: 0\r\n\r\n", schema.Reason_REASON_SHED, 503, ""},
		{"short length", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"short chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"no last chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"no end after last chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"no framing", "POST", "HTTP/1.1 200 OK\r\n\r\nhi", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"short header", "POST", "HTTP/1.1 200 OK\r\nContent-Le", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"not HTTP", "POST", "hello\r\n\r\n", schema.Reason_REASON_TRUNCATED, 0, ""},
		{"long body", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", schema.Reason_REASON_TOO_LARGE, 0, ""},
		{"long chunk", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n", schema.Reason_REASON_TOO_LARGE, 0, ""},
		{"long header", "POST", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20<<10), schema.Reason_REASON_TOO_LARGE, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, runs := newHTTPServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = stdio.WriteString(conn, c.answer)
				return false
			})
			backend := newBackend(t, address, io.WithMaxBody(1024))
			request := newPostRequest()
			request.Method = c.method
			result := backend.Send(t.Context(), request)
			qt.Check(t, result.Reason, qt.Equals, c.reason)
			qt.Check(t, result.Code, qt.Equals, c.code)
			qt.Check(t, string(result.Body), qt.Equals, c.body)
			qt.Check(t, result.Written, qt.IsTrue)
			qt.Check(t, runs.Load(), qt.Equals, int64(1))
		})
	}
}

// TestBackendHeaders checks that end-to-end header fields are forwarded exactly once in both directions, and that
// hop-by-hop fields and the load report are not forwarded.
func TestBackendHeaders(t *testing.T) {
	address, _ := newHTTPServer(t, func(conn *net.TCPConn, r *http.Request) bool {
		qt.Check(t, r.Header.Get("Verbenareel-Depth"), qt.Equals, "3")
		qt.Check(t, r.Header.Values("Verbenareel-Timeout"), qt.HasLen, 1)
		qt.Check(t, r.Header.Get("Te"), qt.Equals, "")
		qt.Check(t, r.Header.Values("X-Twice"), qt.DeepEquals, []string{"a", "b"})
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nverbenareel-load: in-flight=3; limit=18; state=cold; incarnation=7\r\n",
			"x-lower: 1\r\nSet-Cookie: a=1\r\nSet-Cookie: a=2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	backend := newBackend(t, address)
	request := newPostRequest()
	for _, f := range [][2]string{{"X-Twice", "a"}, {"X-Twice", "b"}, {"TE", "gzip"}, {"verbenareel-timeout", "1"}} {
		request.Headers = append(request.Headers, schema.Header_builder{Name: f[0], Value: []byte(f[1])}.Build())
	}
	result := backend.Send(t.Context(), request)
	qt.Assert(t, result.Report, qt.DeepEquals, &core.ServerReport{InFlight: 3, Limit: 18, HasState: true, Cold: true, Incarnation: 7})
	names := ""
	for _, h := range result.Headers {
		names += h.GetName() + "=" + string(h.GetValue()) + " "
	}
	qt.Check(t, names, qt.Equals, "Set-Cookie=a=1 Set-Cookie=a=2 x-lower=1 ")
}

// TestDeadlineBeforeFirstByte checks that no byte of a request is written after its deadline, and that Written is false
// if the connection cannot be opened.
func TestDeadlineBeforeFirstByte(t *testing.T) {
	address, runs := newHTTPServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = stdio.WriteString(conn, okResponse)
		return true
	})
	backend := newBackend(t, address)
	late := newPostRequest()
	late.Deadline = time.Now()
	for _, request := range []*core.Request{late, newPostRequest(), late} {
		result := backend.Send(t.Context(), request)
		qt.Check(t, result.Written, qt.Equals, request != late)
		if request == late {
			qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_DEADLINE)
		}
	}
	qt.Check(t, runs.Load(), qt.Equals, int64(1))
	refused := newBackend(t, "127.0.0.1:1")
	result := refused.Send(t.Context(), newPostRequest())
	qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_CONNECT)
	qt.Check(t, result.Written, qt.IsFalse)
}

// TestCancellation checks that a cancelled call occupies its connection until the server responds or the time limit is
// reached, because the server may still be working on it.
func TestCancellation(t *testing.T) {
	cancelled := make(chan struct{}, 2)
	silent := make(chan struct{})
	address, runs := newHTTPServer(t, func(conn *net.TCPConn, r *http.Request) bool {
		// The half-close (FIN) signals the cancellation. The server may then stop or still respond.
		_, err := conn.Read(make([]byte, 1))
		qt.Check(t, err, qt.Equals, stdio.EOF)
		cancelled <- struct{}{}
		if r.Header.Get("X-Silent") != "" {
			<-silent
			return false
		}
		_, _ = stdio.WriteString(conn, okResponse)
		return true
	})
	backend := newBackend(t, address, io.WithResponseTimeout(200*time.Millisecond), io.WithMaxConnections(1))

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	result := backend.Send(ctx, newPostRequest())
	<-cancelled
	qt.Check(t, string(result.Body), qt.Equals, "hi")

	// A server that never responds occupies the connection until the time limit.
	ctx, cancel = context.WithCancel(t.Context())
	var group conc.WaitGroup
	start := time.Now()
	group.Go(func() {
		request := newPostRequest()
		request.Headers = []*schema.Header{schema.Header_builder{Name: "X-Silent", Value: []byte("1")}.Build()}
		result := backend.Send(ctx, request)
		qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_DEADLINE)
		qt.Check(t, result.Written, qt.IsTrue)
	})
	time.Sleep(20 * time.Millisecond)
	cancel()
	group.Wait()
	qt.Check(t, time.Since(start) >= 200*time.Millisecond, qt.IsTrue)
	close(silent)
	qt.Check(t, runs.Load(), qt.Equals, int64(2))
}

// maxConfigDelay is the time within which a change of the configuration must be in force (docs/design.md, P9).
const maxConfigDelay = 4 * time.Second

// TestCancelledHalfAnswer guards against half of an answer that is returned as a whole one: a server may drop a cancelled
// request and close its connection, which is also how an answer without a length ends.
func TestCancelledHalfAnswer(t *testing.T) {
	for _, head := range []string{"", "Content-Length: 8\r\n", "Transfer-Encoding: chunked\r\n"} {
		t.Run(head, func(t *testing.T) {
			half := make(chan struct{})
			address := newTCPServer(t, func(conn *net.TCPConn) {
				reader := bufio.NewReader(conn)
				_, _ = http.ReadRequest(reader)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n" + head + "\r\n"))
				if strings.HasPrefix(head, "Transfer") {
					_, _ = conn.Write([]byte("4\r\n"))
				}
				_, _ = conn.Write([]byte("half"))
				close(half)
				_, _ = stdio.Copy(stdio.Discard, reader)
			})
			backend := newBackend(t, address, io.WithWire(customWire()))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				<-half
				time.Sleep(20 * time.Millisecond)
				cancel()
			})
			result := backend.Send(ctx, &core.Request{Method: "GET", URI: "/", ID: "1", Deadline: time.Now().Add(5 * time.Second)})
			qt.Check(t, result.Code, qt.Equals, 0, qt.Commentf("%s", result.Body))
			qt.Check(t, result.Written, qt.IsTrue)
			qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_CANCELLED)
		})
	}
}

// TestBeforeSendStrayResponse guards against a stray response that is returned as the answer to a request of which no byte was sent, or
// that makes such a request count as sent.
func TestBeforeSendStrayResponse(t *testing.T) {
	for name, wire := range map[string]*core.WireFormat{"without IDs": core.NativeWire(), "with IDs": customWire()} {
		t.Run(name, func(t *testing.T) {
			address := newTCPServer(t, func(conn *net.TCPConn) {
				_, _ = stdio.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nhi")
				_, _ = conn.Read(make([]byte, 1))
			})
			backend := newBackend(t, address, io.WithWire(wire))
			request := newPostRequest()
			request.ID, request.Body = "a", make([]byte, 64<<10)
			request.BeforeSend = func() schema.Reason {
				time.Sleep(20 * time.Millisecond)
				return schema.Reason_REASON_PAUSED
			}
			result := backend.Send(t.Context(), request)
			qt.Check(t, result.Code, qt.Equals, 0)
			qt.Check(t, result.Written, qt.IsFalse)
			qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(schema.Reason_REASON_PAUSED))
			qt.Check(t, backend.HasOpenIdle(), qt.IsFalse)
		})
	}
}

// TestBeforeSend guards against a request that is written although the reason not to send it appeared while its connection
// was opened. The connection stays usable.
func TestBeforeSend(t *testing.T) {
	address, runs := newHTTPServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = stdio.WriteString(conn, okResponse)
		return true
	})
	backend := newBackend(t, address)
	request := newPostRequest()
	request.BeforeSend = func() schema.Reason { return schema.Reason_REASON_PAUSED }
	result := backend.Send(t.Context(), request)
	qt.Check(t, result.Written, qt.IsFalse)
	qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_PAUSED)
	qt.Check(t, runs.Load(), qt.Equals, int64(0))
	qt.Check(t, backend.Send(t.Context(), newPostRequest()).Code, qt.Equals, http.StatusOK)
	qt.Check(t, runs.Load(), qt.Equals, int64(1))
}

// TestConnectionBound checks that the connection limit is respected, that all waiting requests are served in the end, and
// that a changed limit takes effect.
func TestConnectionBound(t *testing.T) {
	release := make(chan struct{})
	address, runs := newHTTPServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
		<-release
		_, _ = stdio.WriteString(conn, okResponse)
		return true
	})
	backend := newBackend(t, address, io.WithMaxConnections(2))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var group conc.WaitGroup
	for range 6 {
		group.Go(func() { backend.Send(t.Context(), newPostRequest()) })
	}
	time.Sleep(20 * time.Millisecond)
	result := backend.Send(ctx, newPostRequest())
	qt.Check(t, result.Written, qt.IsFalse)
	qt.Check(t, runs.Load(), qt.Equals, int64(2))
	changed := time.Now()
	backend.Configure(4, 1024, "")
	for runs.Load() < 4 && time.Since(changed) < maxConfigDelay {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	qt.Check(t, runs.Load(), qt.Equals, int64(4))
	close(release)
	group.Wait()
	qt.Check(t, runs.Load(), qt.Equals, int64(6))
}

// TestEndlessAnswers checks that the size of a response is limited in each of its parts. Without a limit, a faulty server
// that sends data without end could exhaust the memory of the node, or occupy a connection until the deadline.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n"
	for _, c := range []struct {
		name, begin, repeated string
	}{
		{"no line end", "", "x"},
		{"header field", head + "X-Long: ", "x"},
		{"header fields", head, "X-Field: value\r\n"},
		{"empty lines", "", "\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nno"},
		{"body without a length", head + "\r\n", "x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	} {
		for _, probe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, probe %v", c.name, probe), func(t *testing.T) { checkUnboundedResponse(t, c.begin, c.repeated, probe) })
		}
	}
}

// checkUnboundedResponse checks that a call or probe fails early and closes its connection while the server sends begin and
// then repeated without end.
func checkUnboundedResponse(t *testing.T, begin, repeated string, probe bool) {
	const (
		maxBody = 64 << 10
		// maxAccepted is more than the size of a body, a header and the socket buffers.
		maxAccepted = 16 << 20
	)
	written := make(chan int, 1)
	address := newTCPServer(t, func(conn *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte(begin))
		block := []byte(strings.Repeat(repeated, 4096/len(repeated)+1))
		total := 0
		for total < 4*maxAccepted {
			n, err := conn.Write(block)
			total += n
			if err != nil {
				break
			}
		}
		written <- total
	})
	backend := newBackend(t, address, io.WithWire(customWire()), io.WithMaxBody(maxBody))
	began := time.Now()
	if probe {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		report, err := backend.Probe(ctx)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%+v", report))
	} else {
		result := backend.Send(t.Context(), &core.Request{Method: "GET", URI: "/", ID: "1", Deadline: began.Add(5 * time.Second)})
		qt.Check(t, result.Code, qt.Equals, 0)
		qt.Check(t, result.Written, qt.IsTrue)
	}
	qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	total := <-written
	qt.Check(t, total < maxAccepted, qt.IsTrue, qt.Commentf("%d bytes", total))
}

// TestConnectionEnded guards against a crash of the backend server within its response that looks like a response that could
// not be read, and against a response that could not be read that looks like a crash.
func TestConnectionEnded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
	for _, c := range []struct {
		name, answer          string
		stays, leaves         bool
		ended, reset, hasIdle bool
	}{
		{name: "before the response", ended: true, reset: true},
		{name: "within the head", answer: head, ended: true},
		{name: "within the body", answer: head + "\r\nhi", ended: true},
		{name: "after the caller had left", leaves: true, ended: true},
		{name: "not HTTP", answer: "hello\r\n\r\n", stays: true},
		{name: "silent", stays: true},
		{name: "whole", answer: okResponse, stays: true, hasIdle: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			address, _ := newHTTPServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = stdio.WriteString(conn, c.answer)
				if c.leaves {
					cancel()
					time.Sleep(20 * time.Millisecond)
				}
				return c.stays
			})
			backend := newBackend(t, address)
			request := newPostRequest()
			request.Deadline = time.Now().Add(100 * time.Millisecond)
			result := backend.Send(ctx, request)
			qt.Check(t, result.ConnectionEnded, qt.Equals, c.ended)
			qt.Check(t, result.ConnectionReset, qt.Equals, c.reset)
			qt.Check(t, backend.HasOpenIdle(), qt.Equals, c.hasIdle)
		})
	}
}
