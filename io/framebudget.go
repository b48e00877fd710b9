package io

import (
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// defaultFrameMemory bounds the sum of the messages from other nodes that a Server is reading, in bytes. It is twice the
	// bound of transferred bodies; a fleet of 840 nodes rarely reads more than one document at a time.
	defaultFrameMemory = 32 << 20
	// frameWait is how long a message waits for room. It is shorter than the time after which a connection counts as silent.
	frameWait = 300 * time.Millisecond
	// frameTimeout is the time in which a message that is counted must arrive.
	frameTimeout = 10 * time.Second
	// frameOverhead is what a message costs when it is decoded, in parts of its size.
	frameOverhead = 2
)

var errFrameMemory = errors.New("no room for the message")

// frameBudget bounds the sum of the messages that are being read. Messages that fit into a read buffer are not counted.
type frameBudget struct {
	limit int
	mutex sync.Mutex
	used  int
	freed chan struct{}
}

func newFrameBudget(limit int) *frameBudget {
	return &frameBudget{limit: orDefault(limit, defaultFrameMemory), freed: make(chan struct{})}
}

// take waits for room for n bytes. It fails if there is none in time.
func (b *frameBudget) take(n int) error {
	timer := time.NewTimer(frameWait)
	defer timer.Stop()
	for {
		freed, ok := b.tryTake(n)
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-timer.C:
			return &FrameError{kind: "oversize", err: errFrameMemory}
		}
	}
}

// tryTake takes n bytes, or returns a channel that is closed when others have been returned.
func (b *frameBudget) tryTake(n int) (freed <-chan struct{}, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.used > 0 && b.used+n > b.limit {
		return b.freed, false
	}
	b.used += n
	return nil, true
}

func (b *frameBudget) release(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

// readWithin reads the next message of a connection like read, within a budget.
func (r *frameReader) readWithin(b *frameBudget, conn net.Conn, message proto.Message) error {
	size := r.nextSize()
	if size <= connBufferSize || uint64(size) > r.limit {
		return r.read(message)
	}
	if err := b.take(frameOverhead * size); err != nil {
		return err
	}
	defer b.release(frameOverhead * size)
	_ = conn.SetReadDeadline(time.Now().Add(frameTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	return r.read(message)
}

// nextSize returns the size of the next message without consuming it, or 0 if it is not known.
func (r *frameReader) nextSize() int {
	size := 0
	const lastShift = 28
	for i := 0; 7*i <= lastShift; i++ {
		prefix, err := r.buffer.Peek(i + 1)
		if err != nil {
			return 0
		}
		size |= int(prefix[i]&0x7f) << (7 * i)
		if prefix[i] < 0x80 {
			return size
		}
	}
	return 0
}
