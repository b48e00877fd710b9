package io

import (
	"bufio"
	"errors"
	"fmt"
	stdio "io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// headerRoom is the room before the body of a frame for its header: a method name, a sequence number and sizes.
	headerRoom = 64
	// maxPooledFrame bounds the buffers that are kept for reuse, so that a few large bodies do not pin memory.
	maxPooledFrame = 64 << 10
	readBufferSize = 4 << 10
)

// FrameError reports a message that is malformed or larger than its limit.
type FrameError struct {
	kind string
	err  error
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("message %s: %v", e.kind, e.err) }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.err }

// Kind returns "oversize" or "malformed".
func (e *FrameError) Kind() string { return e.kind }

// frameReader reads size-delimited messages.
type frameReader struct {
	buffer  *bufio.Reader
	options protodelim.UnmarshalOptions
	limit   uint64
}

func newFrameReader(r stdio.Reader, limit int) *frameReader {
	return &frameReader{
		buffer:  bufio.NewReaderSize(r, readBufferSize),
		options: protodelim.UnmarshalOptions{MaxSize: int64(limit)},
		limit:   uint64(limit),
	}
}

// read reads the next message into message. After an oversize error the stream is out of step and must be closed.
func (r *frameReader) read(message proto.Message) error {
	err := r.options.UnmarshalFrom(r.buffer, message)
	var size *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &size):
		return &FrameError{kind: "oversize", err: err}
	case errors.Is(err, stdio.EOF), errors.Is(err, stdio.ErrUnexpectedEOF):
		return err
	}
	var network net.Error
	if errors.As(err, &network) {
		return err
	}
	return &FrameError{kind: "malformed", err: err}
}

// skip discards the next message.
func (r *frameReader) skip() error {
	size, err := readSize(r.buffer)
	if err != nil {
		return err
	}
	if size > r.limit {
		return &FrameError{kind: "oversize", err: fmt.Errorf("size %d exceeds %d", size, r.limit)}
	}
	_, err = r.buffer.Discard(int(size))
	return err
}

func readSize(r stdio.ByteReader) (uint64, error) {
	var size uint64
	for shift := 0; shift < 64; shift += 7 {
		b, err := r.ReadByte()
		if err != nil {
			return 0, err
		}
		size |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return size, nil
		}
	}
	return 0, &FrameError{kind: "malformed", err: errors.New("size has more than 64 bits")}
}

// frame is one message with its header, on its way to a connection.
type frame struct {
	buffer []byte
	start  int
	// state is guarded by the mutex of the writer.
	state frameState
}

type frameState int

const (
	// frameNew is not on its way; no byte of it can have left.
	frameNew frameState = iota
	// frameQueued waits for the writer; no byte of it can have left.
	frameQueued
	// frameTaken is written or being written.
	frameTaken
	// frameDropped will not be written.
	frameDropped
)

var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// newFrame encodes the body. The header is put in front of it by seal, once the sequence number is known.
func newFrame(body proto.Message, limit int) (*frame, error) {
	size := proto.Size(body)
	if size > limit {
		return nil, &FrameError{kind: "oversize", err: fmt.Errorf("size %d exceeds %d", size, limit)}
	}
	buffer := *frameBuffers.Get().(*[]byte)
	if cap(buffer) < headerRoom {
		buffer = make([]byte, 0, headerRoom+size+protowire.SizeVarint(uint64(size)))
	}
	buffer = protowire.AppendVarint(buffer[:headerRoom], uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, body)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return &frame{buffer: buffer, start: headerRoom, state: frameNew}, nil
}

// seal puts the header in front of the body.
func (f *frame) seal(header proto.Message) error {
	size := proto.Size(header)
	total := size + protowire.SizeVarint(uint64(size))
	if total > headerRoom {
		return &FrameError{kind: "oversize", err: fmt.Errorf("header of %d bytes", size)}
	}
	f.start = headerRoom - total
	room := protowire.AppendVarint(f.buffer[f.start:f.start], uint64(size))
	_, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(room, header)
	return err
}

func (f *frame) bytes() []byte { return f.buffer[f.start:] }

func (f *frame) release() {
	if cap(f.buffer) <= maxPooledFrame {
		buffer := f.buffer[:0]
		frameBuffers.Put(&buffer)
	}
	f.buffer = nil
}

// frameWriter writes frames in order. Each write has a time limit; frames that wait meanwhile go out in one write.
type frameWriter struct {
	conn    net.Conn
	timeout time.Duration
	fail    func(error)

	mutex   sync.Mutex
	wake    *sync.Cond
	idled   *sync.Cond
	queue   []*frame
	writing bool
	err     error
}

// newFrameWriter starts a writer in group; fail is called once when a write fails.
func newFrameWriter(conn net.Conn, timeout time.Duration, group *conc.WaitGroup, fail func(error)) *frameWriter {
	w := &frameWriter{conn: conn, timeout: timeout, fail: fail}
	w.wake = sync.NewCond(&w.mutex)
	w.idled = sync.NewCond(&w.mutex)
	group.Go(w.loop)
	return w
}

// enqueue hands a frame to the writer and does not block.
func (w *frameWriter) enqueue(f *frame) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.err != nil {
		return w.err
	}
	f.state = frameQueued
	w.queue = append(w.queue, f)
	w.wake.Signal()
	return nil
}

// drop withdraws a frame and reports whether no byte of it has left and none will.
func (w *frameWriter) drop(f *frame) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if f.state == frameTaken {
		return false
	}
	f.state = frameDropped
	return true
}

// flush waits until all frames are written or the writer has failed.
func (w *frameWriter) flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.err == nil && (len(w.queue) > 0 || w.writing) {
		w.idled.Wait()
	}
}

// idle reports whether all frames are written.
func (w *frameWriter) idle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.queue) == 0 && !w.writing
}

func (w *frameWriter) loop() {
	var batch []*frame
	for {
		batch = w.take(batch[:0])
		if len(batch) == 0 {
			return
		}
		if err := w.write(batch); err != nil {
			w.stop(err)
			w.fail(err)
			return
		}
	}
}

// take waits for frames; it returns none at the end.
func (w *frameWriter) take(batch []*frame) []*frame {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for {
		for _, f := range w.queue {
			if f.state == frameQueued {
				f.state = frameTaken
				batch = append(batch, f)
			}
		}
		clear(w.queue)
		w.queue = w.queue[:0]
		w.writing = len(batch) > 0
		if w.writing || w.err != nil {
			return batch
		}
		w.idled.Broadcast()
		w.wake.Wait()
	}
}

func (w *frameWriter) write(batch []*frame) error {
	buffers := make(net.Buffers, 0, len(batch))
	for _, f := range batch {
		buffers = append(buffers, f.bytes())
	}
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		w.untake(batch, 0)
		return err
	}
	written, err := buffers.WriteTo(w.conn)
	if err != nil {
		w.untake(batch, written)
		return err
	}
	for _, f := range batch {
		f.release()
	}
	return nil
}

// untake marks the frames of a failed write of which no byte was written.
func (w *frameWriter) untake(batch []*frame, written int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, f := range batch {
		if written <= 0 {
			f.state = frameDropped
		}
		written -= int64(len(f.bytes()))
	}
}

// stop ends the writer; frames that wait are not written.
func (w *frameWriter) stop(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.err == nil {
		w.err = err
	}
	w.queue = nil
	w.wake.Signal()
	w.idled.Broadcast()
}
