package io

import (
	stdio "io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/schema"
)

// slowReader reads a connection in small parts with pauses, and returns the number of bytes.
func slowReader(conn net.Conn, part int, pause time.Duration) int {
	total := 0
	buffer := make([]byte, part)
	for {
		n, err := stdio.ReadFull(conn, buffer)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(pause)
	}
}

// TestLargeBatchOnSlowLink guards against a connection that is closed, with all calls on it, because a batch of large messages takes
// longer than one blocked write may.
func TestLargeBatchOnSlowLink(t *testing.T) {
	const frames, size, timeout = 8, 256 << 10, 400 * time.Millisecond
	near, far := net.Pipe()
	var group conc.WaitGroup
	failed := make(chan error, 1)
	writer := newFrameWriter(near, timeout, &group, func(err error) { failed <- err })
	message := schema.SectionsReply_builder{Sections: [][]byte{make([]byte, size)}}.Build()
	received := 0
	group.Go(func() { received = slowReader(far, 16<<10, 10*time.Millisecond) })
	for range frames {
		f := &frame{}
		qt.Assert(t, f.encode(message, 2*size), qt.IsNil)
		qt.Assert(t, writer.enqueue(f), qt.IsNil)
	}
	writer.flush()
	writer.waitIdle()
	select {
	case err := <-failed:
		t.Errorf("write failed: %v", err)
	default:
	}
	writer.stop(net.ErrClosed)
	_ = near.Close()
	group.Wait()
	qt.Check(t, received > frames*size, qt.IsTrue)
}
