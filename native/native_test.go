package native

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"verbenareel/core"
	"verbenareel/schema"
)

var _ core.Platform = (*Client)(nil)

// TestMain checks for leaked goroutines. The fasthttp server of the tests leaves two running: its clock, and the sleeping
// cleaner of a stopped worker pool.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// testTimeout is longer than a response takes on a busy machine.
const testTimeout = 30 * time.Second

// startPlatform starts a platform with the handler and returns a client for it.
func startPlatform(c *qt.C, handler fasthttp.RequestHandler) *Client {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &fasthttp.Server{Handler: handler, Logger: discardLogger{}}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	client := New("http://"+listener.Addr().String()+"/", clockwork.NewRealClock(), WithTimeout(testTimeout))
	c.Cleanup(func() {
		client.Close()
		c.Assert(server.Shutdown(), qt.IsNil)
		group.Wait()
	})
	return client
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// TestDocument guards against a client that violates the platform's protocol: its query parameters, status 304 and the
// revision header.
func TestDocument(t *testing.T) {
	c := qt.New(t)
	client := startPlatform(c, func(ctx *fasthttp.RequestCtx) {
		c.Check(string(ctx.Path()), qt.Equals, "/v1/document")
		after, err := strconv.Atoi(string(ctx.QueryArgs().Peek("after")))
		c.Check(err, qt.IsNil)
		c.Check(string(ctx.QueryArgs().Peek("wait")), qt.Equals, "250")
		switch after {
		case 7:
			ctx.SetStatusCode(fasthttp.StatusNotModified)
		case 8:
			ctx.SetBodyString("no header")
		default:
			ctx.Response.Header.Set(RevisionHeader, "7")
			ctx.SetBodyString("text")
		}
	})
	revision, text, err := client.Document(context.Background(), 3, 250*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, uint64(7))
	c.Assert(string(text), qt.Equals, "text")
	revision, text, err = client.Document(context.Background(), 7, 250*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, uint64(7))
	c.Assert(text, qt.IsNil)
	_, _, err = client.Document(context.Background(), 8, 250*time.Millisecond)
	c.Assert(err, qt.ErrorMatches, ".*Platform-Revision.*")
	c.Assert(client.Calls(), qt.Equals, uint64(3))
	c.Assert(client.LastResponse().IsZero(), qt.IsFalse)
}

// TestMembers guards against a single malformed entry that makes the whole list unusable, and against instance states that
// are mixed up.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	client := startPlatform(c, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"instances":[
			{"instance":"sheets-1","service":"sheets","domain":"sapporo","address":"127.0.0.1:7101","state":"live"},
			{"instance":"sheets-2","service":"sheets","domain":"sapporo","address":"127.0.0.1:7201","state":"leaving"},
			{"instance":"sheets-3","service":"sheets","domain":"sapporo","address":"nowhere","state":"live"},
			{"instance":"sheets-4","service":"sheets","domain":"sapporo","address":"127.0.0.1:7401","state":"lost"}]}`)
	})
	members, err := client.Members(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(members, qt.HasLen, 2)
	c.Assert(members[0].GetState(), qt.Equals, schema.InstanceState_INSTANCE_STATE_SERVING)
	c.Assert(members[1].GetState(), qt.Equals, schema.InstanceState_INSTANCE_STATE_LEAVING)
	c.Assert(members[1].GetAddress(), qt.Equals, "127.0.0.1:7201")
	c.Assert(client.Skipped(), qt.Equals, uint64(2))
}

// TestFailures guards against unbounded memory for a large response, an error response that is taken for a document, and
// requests that never end.
func TestFailures(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	client := startPlatform(c, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.QueryArgs().Peek("after")) {
		case "1":
			ctx.SetBodyString(strings.Repeat("x", maxResponseBody+1))
		case "2":
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case "3":
			<-release
		}
	})
	impatient := New(client.target.Load().base, clockwork.NewRealClock(), WithTimeout(300*time.Millisecond))
	defer impatient.Close()
	read := func(ctx context.Context, client *Client, after uint64) *Error {
		_, _, err := client.Document(ctx, after, 0)
		var failure *Error
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		return failure
	}
	c.Assert(read(context.Background(), client, 1), qt.ErrorIs, fasthttp.ErrBodyTooLarge)
	c.Assert(read(context.Background(), client, 2).Code(), qt.Equals, 503)
	start := time.Now()
	timedOut := read(context.Background(), impatient, 3)
	c.Assert(timedOut.Code(), qt.Equals, 0)
	c.Assert(timedOut, qt.ErrorIs, context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	c.Assert(read(ctx, impatient, 3).Code(), qt.Equals, 0)
	c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
	invalid := New("ftp://127.0.0.1", clockwork.NewRealClock())
	c.Assert(read(context.Background(), invalid, 4).Code(), qt.Equals, 0)
	c.Assert(invalid.Calls(), qt.Equals, uint64(0))
}

// TestClosedConnection guards against a read that fails only because the platform closed an idle connection.
func TestClosedConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The response implies keep-alive, but the connection is closed after it.
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte("HTTP/1.1 304 Not Modified\r\nPlatform-Revision: 5\r\n\r\n"))
			_ = conn.Close()
		}
	})
	client := New("http://"+listener.Addr().String(), clockwork.NewRealClock())
	for range 3 {
		revision, _, err := client.Document(context.Background(), 5, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(revision, qt.Equals, uint64(5))
	}
	client.Close()
	c.Assert(listener.Close(), qt.IsNil)
	group.Wait()
}
