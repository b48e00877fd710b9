package native

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
)

// TestResponsesWithoutProgress guards against a read that never ends since its response stops arriving, or arrives byte by byte.
func TestResponsesWithoutProgress(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		// pause lies between two bytes of the body; 0 stops after the first one.
		pause time.Duration
	}{{"stopped", 0}, {"byte by byte", timeout / 10}} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			client := New(serveSlowly(ctx, t, c.pause), clockwork.NewRealClock(), WithTimeout(timeout))
			defer client.Close()
			defer cancel()
			began := time.Now()
			_, _, err := client.Document(context.Background(), 0, 0)
			qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
			qt.Check(t, time.Since(began) < 5*time.Second, qt.IsTrue)
		})
	}
}

// serveSlowly returns the URL of a platform that sends the body of a response byte by byte until ctx is done.
func serveSlowly(ctx context.Context, t testing.TB, pause time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPlatform-Revision: 5\r\nContent-Length: 1000000\r\n\r\nx")
		if pause == 0 {
			<-ctx.Done()
		}
		for ctx.Err() == nil {
			time.Sleep(pause)
			_, _ = conn.Write([]byte("x"))
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return "http://" + listener.Addr().String()
}
