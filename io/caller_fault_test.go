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

// stallTimeout is the time after which a front gives up a request that does not arrive in the tests below.
const stallTimeout = 200 * time.Millisecond

const (
	chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	lengthHead  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
)

// brokenOff are requests whose body breaks off at each kind of place.
var brokenOff = map[string]string{
	"length":          lengthHead + "abc",
	"before a chunk":  chunkedHead,
	"in a chunk size": chunkedHead + "3",
	"extension":       chunkedHead + "3;a=b",
	"after a size":    chunkedHead + "3\r",
	"in a chunk":      chunkedHead + "3\r\nab",
	"after a chunk":   chunkedHead + "3\r\nabc",
	"last chunk":      chunkedHead + "3\r\nabc\r\n0\r\n",
	"in a trailer":    chunkedHead + "3\r\nabc\r\n0\r\nX: a",
}

// TestStalledBody guards against a 400, after which callers do not try again, to a request whose body stopped arriving in time:
// it did not run and may be sent again, so it gets a 408 wherever the body stopped.
func TestStalledBody(t *testing.T) {
	for name, request := range brokenOff {
		t.Run(name, func(t *testing.T) {
			front := newFront(t, echoCall, io.WithReadTimeout(stallTimeout))
			c := dial(t, front)
			c.send(t, request)
			checkIncomplete(t, c)
		})
	}
}

// TestEndedBody guards against a 400 to a request whose connection ended in one direction before its body was complete.
func TestEndedBody(t *testing.T) {
	for name, request := range brokenOff {
		t.Run(name, func(t *testing.T) {
			c := dial(t, newFront(t, echoCall))
			c.send(t, request)
			qt.Assert(t, c.CloseWrite(), qt.IsNil)
			checkIncomplete(t, c)
		})
	}
}

// checkIncomplete checks that the request on a connection is answered with a 408 and the connection closed.
func checkIncomplete(t *testing.T, c *callerConn) {
	t.Helper()
	response, _ := c.receive(t)
	qt.Check(t, response.code, qt.Equals, http.StatusRequestTimeout)
	qt.Check(t, response.close, qt.IsTrue)
}

// TestNoTimeLeft guards against a 400 to a caller that has used up its time, such as a server that makes a nested call in the last
// millisecond of its own: the request is refused, but it is not malformed.
func TestNoTimeLeft(t *testing.T) {
	for value, code := range map[string]int{
		"0": 503, "0.4": 503, "-3": 503, "12.5": 200, "3000000000": 200, "99999999999999999999": 200, "soon": 400, "": 400, "1e3": 400, "1,5": 400,
	} {
		t.Run(value, func(t *testing.T) {
			front := newFront(t, echoCall)
			response := roundTrip(t, front.Addr(), "GET / HTTP/1.1\r\nHost: h\r\nVerbenareel-Timeout: "+value+"\r\n\r\n")
			qt.Check(t, response.code, qt.Equals, code)
		})
	}
}

// TestEmptyLines guards against a 400 to a request behind an empty line, which some clients send after a body (RFC 9112, section
// 2.2), and against a connection that counts as busy because of one.
func TestEmptyLines(t *testing.T) {
	front := newFront(t, echoCall, io.WithReadTimeout(stallTimeout))
	c := dial(t, front)
	for _, request := range []string{
		"\r\n" + getRequest("/"),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi\r\n" + getRequest("/"),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi\r\n",
	} {
		c.send(t, request)
		for range strings.Count(request, "HTTP/1.1") {
			response, _ := c.receive(t)
			qt.Check(t, response.code, qt.Equals, http.StatusOK)
		}
	}
	time.Sleep(2 * stallTimeout)
	c.send(t, getRequest("/"))
	response, _ := c.receive(t)
	qt.Check(t, response.code, qt.Equals, http.StatusOK)
	many := dial(t, front)
	many.send(t, strings.Repeat("\r\n", 100))
	response, _ = many.receive(t)
	qt.Check(t, response.code, qt.Equals, http.StatusBadRequest)
}

// TestMethods guards against a 400 to a request whose method is valid and only unknown to this project: the server decides.
func TestMethods(t *testing.T) {
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply { return answeredReply(nil, []byte(call.Method)) })
	for _, method := range []string{"PROPFIND", "QUERY", "M-SEARCH", "x"} {
		response := roundTrip(t, front.Addr(), method+" / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
		qt.Check(t, response.code, qt.Equals, http.StatusOK)
		qt.Check(t, response.body, qt.Equals, method)
	}
	for _, method := range []string{"GE(T", "", "GET\t", "G\x00T"} {
		response := roundTrip(t, front.Addr(), method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Check(t, response.code, qt.Equals, http.StatusBadRequest)
	}
}

// TestHeaderLimit guards against a 431 to a request whose header fields are within the limit of the document, because the request
// line counted as well.
func TestHeaderLimit(t *testing.T) {
	const limit, readBuffer = 16 << 10, 4 << 10
	limits := schema.Limits_builder{MaxHeader: limit}.Build()
	front := newFront(t, echoCall, io.WithDocumentLimits(func() (*schema.Limits, bool) { return limits, true }))
	for _, size := range []int{readBuffer - 1, readBuffer, readBuffer + 1, limit, limit + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fields := "Host: h\r\nX: "
			fields += strings.Repeat("x", size-len(fields)-len("\r\n")) + "\r\n"
			code := http.StatusOK
			if size > limit {
				code = http.StatusRequestHeaderFieldsTooLarge
			}
			qt.Check(t, roundTrip(t, front.Addr(), "GET /"+strings.Repeat("p", 100)+" HTTP/1.1\r\n"+fields+"\r\n").code, qt.Equals, code)
		})
	}
}

// TestLongestHeader guards against a 431 to a request whose header fields are within the limit of the document, because the limit is
// above the usual size of a read buffer, or because the request line shares a buffer with the fields.
func TestLongestHeader(t *testing.T) {
	for _, limit := range []int{32 << 10, 32<<10 + 1, 64 << 10, 1 << 20} {
		limits := schema.Limits_builder{MaxHeader: uint32(limit)}.Build()
		front := newFront(t, echoCall, io.WithDocumentLimits(func() (*schema.Limits, bool) { return limits, true }))
		for size, code := range map[int]int{limit: http.StatusOK, limit + 1: http.StatusRequestHeaderFieldsTooLarge} {
			t.Run(fmt.Sprintf("%d of %d", size, limit), func(t *testing.T) {
				request := "GET /" + strings.Repeat("p", 8000) + " HTTP/1.1\r\nHost: h\r\nX: "
				fields := len("Host: h\r\nX: ")
				request += strings.Repeat("x", size-fields-len("\r\n")) + "\r\n\r\n"
				qt.Check(t, roundTrip(t, front.Addr(), request).code, qt.Equals, code)
			})
		}
	}
}

// TestHeaderInPieces guards against a 431 that depends on how a header is split into packets: with its last bytes still to come, or
// with a part of a request line that is longer than the limit of the fields.
func TestHeaderInPieces(t *testing.T) {
	const limit = 1000
	limits := schema.Limits_builder{MaxHeader: limit}.Build()
	front := newFront(t, echoCall, io.WithDocumentLimits(func() (*schema.Limits, bool) { return limits, true }))
	fields := "Host: h\r\nX: "
	fields += strings.Repeat("x", limit-len(fields)-len("\r\n")) + "\r\n"
	for _, pathSize := range []int{1, 2 * limit} {
		request := "GET /" + strings.Repeat("p", pathSize-1) + " HTTP/1.1\r\n" + fields + "\r\n"
		for _, rest := range []int{1, 2, 3, 4, limit, limit + len("\r\n"), limit + 3*len("\r\n")} {
			t.Run(fmt.Sprintf("path %d rest %d", pathSize, rest), func(t *testing.T) {
				t.Parallel()
				c := dial(t, front)
				c.send(t, request[:len(request)-rest])
				time.Sleep(stallTimeout / 10)
				c.send(t, request[len(request)-rest:])
				response, _ := c.receive(t)
				qt.Check(t, response.code, qt.Equals, http.StatusOK)
			})
		}
	}
}

// TestLongTrailer guards against a 400 to a request whose trailer is longer than a small read buffer, and against a request behind it
// that is read from the wrong place.
func TestLongTrailer(t *testing.T) {
	const readBuffer, largeBuffer = 4 << 10, 40 << 10
	front := newFront(t, echoCall)
	for _, size := range []int{100, readBuffer, 2 * readBuffer, 3 * largeBuffer / 4, largeBuffer} {
		for _, pieces := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d in %d", size, pieces), func(t *testing.T) {
				c := dial(t, front)
				trailer := "X: " + strings.Repeat("x", size) + "\r\n\r\n"
				c.send(t, chunkedHead+"3\r\nabc\r\n0\r\n")
				for i := range pieces {
					c.send(t, trailer[i*len(trailer)/pieces:(i+1)*len(trailer)/pieces])
					time.Sleep(stallTimeout / 20)
				}
				if size >= largeBuffer {
					response, _ := c.receive(t)
					qt.Check(t, response.code, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
					return
				}
				c.send(t, getRequest("/next"))
				for range 2 {
					response, _ := c.receive(t)
					qt.Check(t, response.code, qt.Equals, http.StatusOK)
				}
			})
		}
	}
}

// TestUnsignedStatus guards against a status that reaches the caller as the answer of its server although the server did not
// sign it: a 3xx or 4xx ends the request for good.
func TestUnsignedStatus(t *testing.T) {
	for _, code := range []int{204, 301, 304, 400, 401, 404, 409, 413, 499} {
		for _, signed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d signed %v", code, signed), func(t *testing.T) {
				backend := newBackend(t, newSigningServer(t, code, signed), io.WithWire(customWire()))
				result := sendOnce(t, backend, "a")
				want, reason := 0, schema.Reason_REASON_GARBLED
				if signed {
					want, reason = code, schema.Reason_REASON_NONE
				}
				qt.Check(t, result.Code, qt.Equals, want)
				qt.Check(t, result.Written, qt.IsTrue)
				qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(reason))
			})
		}
	}
}

// TestVerdictOnPartOfBody guards against a 4xx of a server on a request that the node itself broke off within its body: the caller had
// sent the whole one. The verdict on a body that the server did not want to read counts.
func TestVerdictOnPartOfBody(t *testing.T) {
	const size = 32 << 20
	for name, wire := range map[string]*core.WireFormat{"without signatures": core.NativeWire(), "with signatures": customWire()} {
		for _, brokenOff := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, broken off %v", name, brokenOff), func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				address := newTCPServer(t, func(conn *net.TCPConn) {
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					if brokenOff {
						cancel()
						_, _ = stdio.Copy(stdio.Discard, r.Body)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 400 Odd\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
					if !brokenOff {
						_, _ = stdio.Copy(stdio.Discard, conn)
					}
				})
				result := newBackend(t, address, io.WithWire(wire)).Send(ctx, &core.Request{
					Method: "POST", URI: "/", ID: "a", Body: make([]byte, size), Deadline: time.Now().Add(5 * time.Second),
					Headers: []*schema.Header{header("X-Id", "a")},
				})
				code, reason := http.StatusBadRequest, schema.Reason_REASON_NONE
				if brokenOff {
					code, reason = 0, schema.Reason_REASON_CANCELLED
				}
				qt.Check(t, result.Code, qt.Equals, code)
				qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(reason))
				qt.Check(t, result.Written, qt.IsTrue)
			})
		}
	}
}

// newSigningServer starts a backend server that responds to each request with a code, and signs the response if signed is set.
func newSigningServer(t *testing.T, code int, signed bool) string {
	seal := ""
	if signed {
		seal = "X-Seal: s\r\n"
	}
	return newRawServer(t, fmt.Sprintf("HTTP/1.1 %d Odd\r\nX-Id: ID\r\n%sContent-Length: 0\r\n\r\n", code, seal))
}
