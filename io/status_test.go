package io_test

import (
	"bufio"
	"fmt"
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

// newStatusServer starts a backend server that responds to each request with a status line and keeps the connection open.
func newStatusServer(t *testing.T, status string) string {
	return newRawServer(t, "HTTP/1.1 "+status+"\r\nX-Id: ID\r\nX-Seal: s\r\nX-Instance: i-1\r\nX-Load: in-flight=0; limit=3\r\n"+
		"Verbenareel-Load: in-flight=0; limit=3\r\nContent-Length: 2\r\n\r\nok")
}

// TestStatus guards against a response with a meaningless status that reaches the caller as the server's response, or that
// passes for an interim one so that the call waits until its deadline.
func TestStatus(t *testing.T) {
	wires := map[string]*core.WireFormat{"native": core.NativeWire(), "custom": customWire()}
	for name, wire := range wires {
		for _, status := range []string{"000 Odd", "000", "099 Odd", "0 Odd", "00 Odd", "20 OK", "1000 Odd", "-20 OK", "+200 OK", " ", ""} {
			t.Run(name+" "+status, func(t *testing.T) {
				backend := newBackend(t, newStatusServer(t, status), io.WithWire(wire))
				result := sendOnce(t, backend, "a")
				qt.Check(t, result.Code, qt.Equals, 0)
				qt.Check(t, result.Written, qt.IsTrue)
				qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(schema.Reason_REASON_GARBLED))
			})
		}
		for _, status := range []string{"200 OK", "600 Odd", "999 Odd"} {
			t.Run(name+" "+status, func(t *testing.T) {
				backend := newBackend(t, newStatusServer(t, status), io.WithWire(wire))
				result := sendOnce(t, backend, "a")
				qt.Check(t, fmt.Sprint(result.Code), qt.Equals, status[:3])
				qt.Check(t, string(result.Body), qt.Equals, "ok")
			})
		}
	}
}

// TestProbeStatus guards against a server whose health check has a meaningless status and that counts as healthy.
func TestProbeStatus(t *testing.T) {
	for name, wire := range map[string]*core.WireFormat{"native": core.NativeWire(), "custom": customWire()} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := newBackend(t, newStatusServer(t, "200 OK"), io.WithWire(wire)).Probe(t.Context())
			qt.Check(t, err, qt.IsNil)
			_, err = newBackend(t, newStatusServer(t, "000 Odd"), io.WithWire(wire)).Probe(t.Context())
			qt.Check(t, err, qt.ErrorMatches, ".*garbled")
			qt.Check(t, time.Since(start) < 10*time.Second, qt.IsTrue)
		})
	}
}

// TestStatusLine guards against a response of another protocol version that reaches the caller: the library reads it by the rules of
// HTTP/1.0, which knows no chunked encoding, and takes the text of the chunks for the body. A control character in the line is not HTTP.
func TestStatusLine(t *testing.T) {
	const fields = "X-Id: ID\r\nX-Seal: s\r\nX-Load: in-flight=0; limit=3\r\nVerbenareel-Load: in-flight=0; limit=3\r\n"
	const length, chunked = "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	send := func(t *testing.T, response string) *core.Result {
		address := newTCPServer(t, func(conn *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprint(conn, strings.ReplaceAll(response, "ID", "a"))
			}
		})
		return sendOnce(t, newBackend(t, address, io.WithWire(customWire())), "a")
	}
	for _, line := range []string{
		"HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTP/2 200 OK", "HTTP/1.10 200 OK", "HTTP/ 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK",
	} {
		for _, body := range []string{length, chunked} {
			t.Run(fmt.Sprintf("%q %q", line, body), func(t *testing.T) { checkGarbled(t, send(t, line+"\r\n"+fields+body)) })
		}
	}
	t.Run("chunked encoding in HTTP/1.0", func(t *testing.T) {
		checkGarbled(t, send(t, "HTTP/1.0 200 OK\r\n"+fields+chunked))
		checkGarbled(t, send(t, "HTTP/1.0 200 OK\r\n"+fields+"Content-Length: 12\r\n"+chunked))
	})
	for _, response := range []string{
		"HTTP/1.0 200 OK\r\n" + fields + length, "HTTP/1.0 200 OK\r\n" + fields + "\r\nok",
		"HTTP/1.1 200\r\n" + fields + length, "HTTP/1.1 200 \r\n" + fields + chunked, "HTTP/1.1 200 \x80\tOK\r\n" + fields + length,
	} {
		t.Run(fmt.Sprintf("%.20q", response), func(t *testing.T) {
			result := send(t, response)
			qt.Check(t, result.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", core.ReasonName(result.Reason)))
			qt.Check(t, string(result.Body), qt.Equals, "ok")
		})
	}
}
