package io_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

const (
	memoryLimit = 1 << 20
	// memoryOvershoot is what the budget may be exceeded by while messages that were given up still end: one read of each.
	memoryOvershoot = 256 << 10
)

// peakOf samples the bytes that a budget counts until stop is closed, and returns the most.
func peakOf(memory *io.Memory, stop <-chan struct{}) int {
	peak := 0
	for {
		peak = max(peak, memory.Used())
		select {
		case <-stop:
			return peak
		case <-time.After(100 * time.Microsecond):
		}
	}
}

// TestEndlessAnswersTogether guards against a node that runs out of memory because a faulty server answers many requests
// without end, each within the bound of an answer, and against other requests that suffer from it.
func TestEndlessAnswersTogether(t *testing.T) {
	whole := bytes.Repeat([]byte("x"), memoryLimit/2)
	address := newTCPServer(t, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nConnection: close\r\n"
		switch r.URL.Path {
		case "/small":
			_, _ = fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
		case "/large":
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(whole), whole)
		default:
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			for block := []byte("1000\r\n" + string(whole[:0x1000]) + "\r\n"); err == nil; {
				_, err = conn.Write(block)
			}
		}
	})
	memory := io.NewMemory(memoryLimit)
	backend := newBackend(t, address, io.WithWire(customWire()), io.WithMaxBody(64<<20), io.WithMemory(memory))
	send := func(path string) *core.Result {
		return backend.Send(t.Context(), &core.Request{Method: "GET", URI: path, ID: "1", Deadline: time.Now().Add(5 * time.Second)})
	}
	stop := make(chan struct{})
	var endless, sampler conc.WaitGroup
	peak := 0
	sampler.Go(func() { peak = peakOf(memory, stop) })
	var ended atomic.Int64
	for range 12 {
		endless.Go(func() {
			result := send("/endless")
			ended.Add(1)
			qt.Check(t, result.Code, qt.Equals, 0)
			qt.Check(t, result.Written, qt.IsTrue)
			qt.Check(t, result.Reason, qt.Equals, schema.Reason_REASON_MEMORY)
		})
	}
	for ended.Load() < 12 {
		qt.Check(t, string(send("/small").Body), qt.Equals, "ok")
	}
	endless.Wait()
	qt.Check(t, len(send("/large").Body), qt.Equals, len(whole))
	close(stop)
	sampler.Wait()
	qt.Check(t, peak > memoryLimit/2, qt.IsTrue, qt.Commentf("%d bytes at the peak", peak))
	qt.Check(t, peak <= memoryLimit+memoryOvershoot, qt.IsTrue, qt.Commentf("%d bytes at the peak", peak))
	qt.Check(t, memory.Used(), qt.Equals, 0)
}

// TestLargeRequestsTogether guards against a node that runs out of memory because many callers send large requests at the same
// time, and against a refusal of theirs that is not a promise.
func TestLargeRequestsTogether(t *testing.T) {
	memory := io.NewMemory(memoryLimit)
	release := make(chan struct{})
	front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
		if call.Path != "/small" {
			<-release
		}
		return answeredReply(nil, []byte(fmt.Sprint(len(call.Body))))
	}, io.WithMaxBody(memoryLimit), io.WithMemory(memory))
	const size = memoryLimit / 3
	var group conc.WaitGroup
	var answered, refused atomic.Int64
	for range 12 {
		c := dial(t, front)
		group.Go(func() {
			c.send(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, bytes.Repeat([]byte("x"), size)))
			response, body := c.receive(t)
			switch response.code {
			case http.StatusOK:
				qt.Check(t, body, qt.Equals, fmt.Sprint(size))
				answered.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				t.Errorf("status %d: %s", response.code, body)
			}
		})
	}
	deadline := time.Now().Add(5 * time.Second)
	for refused.Load() < 9 && time.Now().Before(deadline) {
		qt.Check(t, roundTrip(t, front.Addr(), getRequest("/small")).body, qt.Equals, "0")
		qt.Check(t, memory.Used() <= memoryLimit+size, qt.IsTrue)
	}
	close(release)
	group.Wait()
	qt.Check(t, answered.Load() > 0, qt.IsTrue)
	qt.Check(t, answered.Load()+refused.Load(), qt.Equals, int64(12))
	qt.Check(t, memory.Used(), qt.Equals, 0)
}
