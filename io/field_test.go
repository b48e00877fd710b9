package io_test

import (
	"bufio"
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

// badFieldLines are field lines whose name is not a token of RFC 9110, section 5.6.2, or whose value has a control character.
var badFieldLines = []string{
	"X Field: v", "X-Field : v", "X-Field\t: v", "X\tField: v", ": v", "no colon",
	"X\x00Field: v", "X\x01Field: v", "X\x1fField: v", "X\x7fField: v", "X\rField: v", "\x00: v", "X-Field\x00: v",
	"X(Field: v", "X,Field: v", "X\"Field: v", "X/Field: v", "X\x80Field: v", "X\u00e9: v",
	"Transfer Encoding: chunked", "Transfer-Encoding : chunked", "Content Length: 1", "Content-Length : 1",
	"X-Id : a", "X-Id : b", "X-Seal : s", "Connection : close", "Verbenareel-Load : in-flight=0; limit=3",
	"X-Field: a\x00b", "X-Field: a\x01b", "X-Field: a\x7fb", "X-Field: a\rb", "X-Field: \x00",
}

// goodFieldLines are field lines that a response may have.
var goodFieldLines = []string{"X-Field: v", "x-field:v", "X-Field:  v \t", "X-Field:", "!#$%&'*+-.^_`|~09aZ: v", "X-Field: \x80\u00e9\tb", "X-Field: a\r\n b"}

// newRawServer starts a backend server that sends the same bytes to each request, in which ID stands for the ID of the request, and keeps
// the connection open.
func newRawServer(t *testing.T, response string) string {
	return newTCPServer(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = stdio.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("X-Id")))
		}
	})
}

// responsesWith returns responses with the field line at each place of the head, and in the head of an interim response.
func responsesWith(line string) map[string]string {
	const id, rest = "X-Id: ID\r\nX-Seal: s\r\n", "X-Load: in-flight=0; limit=3\r\nVerbenareel-Load: in-flight=0; limit=3\r\n"
	const status, end = "HTTP/1.1 200 OK\r\n", "\r\nok"
	line += "\r\n"
	return map[string]string{
		"first":   status + line + id + rest + "Content-Length: 2\r\n" + end,
		"middle":  status + id + line + rest + "Content-Length: 2\r\n" + end,
		"last":    status + id + rest + "Content-Length: 2\r\n" + line + end,
		"interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + status + id + rest + "Content-Length: 2\r\n" + end,
	}
}

func checkGarbled(t *testing.T, result *core.Result) {
	t.Helper()
	qt.Check(t, result.Code, qt.Equals, 0, qt.Commentf("%v", result.Headers))
	qt.Check(t, result.Written, qt.IsTrue)
	qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(schema.Reason_REASON_GARBLED))
}

// TestFieldLines guards against a response that reaches the caller although a line of its head is no field line: the line is passed
// on, or names the length of the body to one reader and not to the next.
func TestFieldLines(t *testing.T) {
	for name, wire := range map[string]*core.WireFormat{"native": core.NativeWire(), "custom": customWire()} {
		for _, line := range badFieldLines {
			for place, response := range responsesWith(line) {
				t.Run(fmt.Sprintf("%s %q %s", name, line, place), func(t *testing.T) {
					backend := newBackend(t, newRawServer(t, response), io.WithWire(wire))
					checkGarbled(t, sendOnce(t, backend, "a"))
					qt.Check(t, backend.HasOpenIdle(), qt.IsFalse)
				})
			}
		}
		for _, line := range goodFieldLines {
			for place, response := range responsesWith(line) {
				t.Run(fmt.Sprintf("%s %q %s", name, line, place), func(t *testing.T) {
					result := sendOnce(t, newBackend(t, newRawServer(t, response), io.WithWire(wire)), "a")
					qt.Check(t, result.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", core.ReasonName(result.Reason)))
					qt.Check(t, string(result.Body), qt.Equals, "ok")
				})
			}
		}
	}
}

// TestFieldLinesOfProbe guards against a server whose health check has a line that is no field line and that counts as healthy.
func TestFieldLinesOfProbe(t *testing.T) {
	for name, wire := range map[string]*core.WireFormat{"native": core.NativeWire(), "custom": customWire()} {
		probe := func(line, place string) error {
			response := strings.ReplaceAll(responsesWith(line)[place], "X-Id: ID\r\n", "")
			_, err := newBackend(t, newRawServer(t, response), io.WithWire(wire)).Probe(t.Context())
			return err
		}
		for _, line := range badFieldLines {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				qt.Check(t, probe(line, "first"), qt.ErrorMatches, ".*garbled")
				qt.Check(t, probe(line, "last"), qt.ErrorMatches, ".*garbled")
			})
		}
		qt.Check(t, probe("X-Field: v", "last"), qt.IsNil)
	}
}

// TestTrailerLines guards against a chunked response that counts as whole although a line of its trailer is no field line.
func TestTrailerLines(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for name, wire := range map[string]*core.WireFormat{"native": core.NativeWire(), "custom": customWire()} {
		for _, line := range badFieldLines {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				for _, trailer := range []string{line + "\r\n", "X: y\r\n" + line + "\r\n", line + "\r\nX: y\r\n"} {
					checkGarbled(t, sendOnce(t, newBackend(t, newRawServer(t, chunked+trailer+"\r\n"), io.WithWire(wire)), "a"))
				}
			})
		}
		for _, line := range goodFieldLines {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				result := sendOnce(t, newBackend(t, newRawServer(t, chunked+line+"\r\n\r\n"), io.WithWire(wire)), "a")
				qt.Check(t, string(result.Body), qt.Equals, "ok", qt.Commentf("%s", core.ReasonName(result.Reason)))
			})
		}
	}
}

// TestHeadInPieces guards against a check of the head that depends on how it was split into packets.
func TestHeadInPieces(t *testing.T) {
	for line, want := range map[string]int{"X Field: v": 0, "X-Field: v": http.StatusOK} {
		for place, response := range responsesWith(line) {
			t.Run(line+" "+place, func(t *testing.T) {
				whole := strings.ReplaceAll(response, "ID", "a")
				for split := range len(whole) {
					address := newTCPServer(t, func(conn *net.TCPConn) {
						reader := bufio.NewReader(conn)
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = stdio.WriteString(conn, whole[:split])
						time.Sleep(time.Millisecond)
						_, _ = stdio.WriteString(conn, whole[split:])
						_, _ = reader.ReadByte()
					})
					result := sendOnce(t, newBackend(t, address, io.WithWire(customWire())), "a")
					qt.Check(t, result.Code, qt.Equals, want, qt.Commentf("split at %d: %s", split, core.ReasonName(result.Reason)))
				}
			})
		}
	}
}

// TestSecondRequestID guards against a response that names two requests and reaches the caller of the first one.
func TestSecondRequestID(t *testing.T) {
	for _, ids := range [][2]string{{"a", "b"}, {"b", "a"}, {"a", ""}, {"", "a"}, {"a", "a, b"}} {
		t.Run(fmt.Sprintf("%q", ids), func(t *testing.T) {
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nx-id: %s\r\nContent-Length: 2\r\n\r\nok", ids[0], ids[1])
			backend := newBackend(t, newRawServer(t, response), io.WithWire(customWire()))
			checkGarbled(t, sendOnce(t, backend, "a"))
		})
	}
}
