package native

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	stdio "io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
)

// TestStatus guards against a response of the platform with a meaningless status that is taken for a document.
func TestStatus(t *testing.T) {
	for _, status := range []string{"000 Odd", "099 Odd"} {
		t.Run(status, func(t *testing.T) {
			response := fmt.Sprintf("HTTP/1.1 %s\r\n%s: 7\r\nContent-Length: 16\r\n\r\n{\"instances\":[]}", status, RevisionHeader)
			client := New(startFixedPlatform(t, response), clockwork.NewRealClock(), WithTimeout(5*time.Second))
			defer client.Close()
			_, text, err := client.Document(context.Background(), 0, 0)
			var failure *Error
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
			qt.Check(t, failure.Code(), qt.Equals, 0)
			qt.Check(t, text, qt.IsNil)
			_, err = client.Members(context.Background())
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// startFixedPlatform starts a platform that sends the same response to each request and keeps connections open, and returns its URL.
func startFixedPlatform(t *testing.T, response string) string {
	return startRawPlatform(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = stdio.WriteString(conn, response)
		}
	})
}

// startEndingPlatform starts a platform that sends the same response to each request and closes the connection, and returns its URL.
func startEndingPlatform(t *testing.T, response string) string {
	return startRawPlatform(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = stdio.WriteString(conn, response)
		}
	})
}

// startRawPlatform starts a platform that calls serve for each connection and then closes it, and returns its URL.
func startRawPlatform(t *testing.T, serve func(conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return "http://" + listener.Addr().String()
}
