package io_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// progressTimeout is the time for 16 KB in the tests below. Their whole messages take longer.
const progressTimeout = 300 * time.Millisecond

// TestSlowBody guards against a body that is refused although it arrives steadily, and against one that is waited for for ever.
func TestSlowBody(t *testing.T) {
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
		return answeredReply(nil, fmt.Append(nil, len(call.Body)))
	}, io.WithReadTimeout(progressTimeout))
	c := dial(t, front)
	const parts, part = 6, 16 << 10
	c.send(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts*part))
	for range parts {
		time.Sleep(progressTimeout / 4)
		c.send(t, strings.Repeat("x", part))
	}
	response, body := c.receive(t)
	qt.Check(t, response.code, qt.Equals, http.StatusOK)
	qt.Check(t, body, qt.Equals, fmt.Sprint(parts*part))
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha")
	response, _ = c.receive(t)
	qt.Check(t, response.code, qt.Equals, http.StatusRequestTimeout)
}

// TestSlowReader guards against an answer that is cut off although its caller takes it steadily.
func TestSlowReader(t *testing.T) {
	whole := bytes.Repeat([]byte("x"), 16<<20)
	front := newFront(t, func(*core.Call) *schema.ExecuteReply { return answeredReply(nil, whole) },
		io.WithWriteTimeout(progressTimeout), io.WithMemory(io.NewMemory(memoryLimit)))
	c := dial(t, front)
	c.send(t, getRequest("/"))
	read := 0
	buffer := make([]byte, 1<<20)
	for read < len(whole) {
		time.Sleep(progressTimeout / 10)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := c.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		read += n
	}
}

// headHandler needs no body.
type headHandler struct{ handlerFunc }

func (headHandler) NeedsBody(*core.Call) bool { return false }

// TestBodyNotNeeded guards against bodies that are buffered although no rule leads to a service.
func TestBodyNotNeeded(t *testing.T) {
	front, err := io.NewFront("127.0.0.1:0", headHandler{func(call *core.Call) *schema.ExecuteReply {
		qt.Check(t, call.Body, qt.HasLen, 0)
		return core.NotRun(schema.Reason_REASON_NO_RULE)
	}})
	serveInBackground(t, front, err)
	for _, framing := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		c := dial(t, front)
		c.send(t, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
		response, _ := c.receive(t)
		qt.Check(t, response.code, qt.Equals, http.StatusNotFound)
		qt.Check(t, response.close, qt.IsTrue)
	}
}

// TestPipelinedLarge guards against pipelined requests that are refused or answered out of order because together they exceed
// what a connection may hold.
func TestPipelinedLarge(t *testing.T) {
	front, err := io.NewFront("127.0.0.1:0", contextHandlerFunc(func(_ context.Context, call *core.Call) *schema.ExecuteReply {
		return answeredReply(nil, fmt.Appendf(nil, "%s %d", call.Path, len(call.Body)))
	}), io.WithMemory(io.NewMemory(memoryLimit)))
	serveInBackground(t, front, err)
	c := dial(t, front)
	const count, size = 40, 100 << 10
	for i := range count {
		c.send(t, fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, size, strings.Repeat("x", size)))
	}
	for i := range count {
		_, body := c.receive(t)
		qt.Check(t, body, qt.Equals, fmt.Sprintf("/%d %d", i, size))
	}
}

// TestSingleLarge guards against a single request within the limits that is refused although nothing else is held.
func TestSingleLarge(t *testing.T) {
	const size = 16 * memoryLimit
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
		return answeredReply(nil, fmt.Append(nil, len(call.Body)))
	}, io.WithMaxBody(size), io.WithMemory(io.NewMemory(memoryLimit)))
	body := strings.Repeat("x", size)
	for _, request := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
	} {
		c := dial(t, front)
		c.send(t, "POST / HTTP/1.1\r\nHost: h\r\n"+request)
		response, text := c.receive(t)
		qt.Check(t, response.code, qt.Equals, http.StatusOK)
		qt.Check(t, text, qt.Equals, fmt.Sprint(size))
	}
}
