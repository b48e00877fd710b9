package io_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// newStatusServer starts a backend server that responds to each request with a status line and keeps the connection open.
func newStatusServer(t *testing.T, status string) string {
	return newTCPServer(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Seal: s\r\nX-Instance: i-1\r\nX-Load: in-flight=0; limit=3\r\n"+
				"Verbenareel-Load: in-flight=0; limit=3\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Id"))
		}
	})
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
