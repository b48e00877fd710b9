package io_test

import (
	"bufio"
	"fmt"
	stdio "io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// resetTries is how often each case is tried: whether the writer or the reader of a connection notices its reset is up to chance.
const resetTries = 15

// closingServer starts a backend server that reads only the head of a request, sends a response without a length and ends the
// connection with end.
func closingServer(t *testing.T, status string, end func(conn *net.TCPConn)) string {
	return newTCPServer(t, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Seal: s\r\n\r\npart", status, r.Header.Get("X-Id"))
		end(conn)
	})
}

func upload(t *testing.T, backend *io.Backend, size int) *core.Result {
	t.Helper()
	return backend.Send(t.Context(), &core.Request{
		Method: "POST", URI: "/", ID: "a", AtMostOnce: true, Deadline: time.Now().Add(10 * time.Second),
		Headers: []*schema.Header{header("X-Id", "a")}, Body: make([]byte, size),
	})
}

// TestResetDuringUpload guards against a part of a response without a length that is returned as a whole one: the server reset the
// connection, and the goroutine that wrote the upload got the error, so the reader saw a plain end.
func TestResetDuringUpload(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	ends := map[string]func(conn *net.TCPConn){
		"reset": reset,
		"reset after 10 ms": func(conn *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		},
		// The kernel resets a connection that is closed with data unread.
		"closed with data unread": func(conn *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			_ = conn.Close()
		},
	}
	for name, end := range ends {
		for wireName, wire := range map[string]*core.WireFormat{"native": core.NativeWire(), "custom": customWire()} {
			t.Run(name+", "+wireName, func(t *testing.T) {
				address := closingServer(t, "200 OK", end)
				for _, size := range []int{4 << 10, 64 << 10, 1 << 20, 12 << 20} {
					whole := 0
					for range resetTries {
						result := upload(t, newBackend(t, address, io.WithWire(wire)), size)
						qt.Check(t, result.Written, qt.IsTrue)
						qt.Check(t, result.ConnectionReset, qt.IsFalse)
						if result.Code != 0 {
							whole++
							continue
						}
						qt.Check(t, core.ReasonName(result.Reason), qt.Equals, core.ReasonName(schema.Reason_REASON_TRUNCATED))
					}
					qt.Check(t, whole, qt.Equals, 0, qt.Commentf("a body of %d bytes: part taken as whole in %d of %d tries", size, whole, resetTries))
				}
			})
		}
	}
}

// TestEarlyResponseWithoutLength guards against a response that is given up although the server sent all of it before it had read
// the upload, and then closed its side of the connection in order.
func TestEarlyResponseWithoutLength(t *testing.T) {
	for _, c := range []struct {
		status string
		reads  bool
	}{{"200 OK", true}, {"200 OK", false}, {"413 Too Large", true}, {"413 Too Large", false}} {
		t.Run(fmt.Sprintf("%s, reads on %v", c.status, c.reads), func(t *testing.T) {
			received := make(chan struct{})
			address := closingServer(t, c.status, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				if c.reads {
					_, _ = stdio.Copy(stdio.Discard, conn)
					return
				}
				<-received
			})
			for _, size := range []int{0, 4 << 10, 64 << 10, 1 << 20, 12 << 20} {
				for range resetTries {
					result := upload(t, newBackend(t, address, io.WithWire(customWire())), size)
					qt.Check(t, fmt.Sprint(result.Code), qt.Equals, c.status[:3], qt.Commentf("a body of %d bytes: %s", size, core.ReasonName(result.Reason)))
					qt.Check(t, string(result.Body), qt.Equals, "part")
					if !c.reads {
						received <- struct{}{}
					}
				}
			}
		})
	}
}

// TestPlainCloseWithoutLength guards against a response that is given up although its server had read the whole request and then closed
// the connection, which no reset follows.
func TestPlainCloseWithoutLength(t *testing.T) {
	for _, status := range []string{"200 OK", "413 Too Large"} {
		t.Run(status, func(t *testing.T) {
			address := newTCPServer(t, func(conn *net.TCPConn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = stdio.Copy(stdio.Discard, r.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Seal: s\r\n\r\nwhole", status, r.Header.Get("X-Id"))
			})
			for _, size := range []int{0, 1 << 10, 64 << 10, 12 << 20} {
				for range resetTries {
					result := upload(t, newBackend(t, address, io.WithWire(customWire())), size)
					qt.Check(t, fmt.Sprint(result.Code), qt.Equals, status[:3], qt.Commentf("a body of %d bytes: %s", size, core.ReasonName(result.Reason)))
					qt.Check(t, string(result.Body), qt.Equals, "whole")
				}
			}
		})
	}
}
