package io

import (
	"bufio"
	"errors"
	"fmt"
	stdio "io"
	"net"
	"slices"
	"sync"
	"syscall"
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
	// maxFlushes bounds the writes that one call does for others.
	maxFlushes = 4
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
	reader := &frameReader{buffer: bufio.NewReaderSize(r, readBufferSize)}
	reader.setLimit(limit)
	return reader
}

// setLimit bounds the messages that are read from now on, in bytes.
func (r *frameReader) setLimit(limit int) {
	r.options.MaxSize, r.limit = int64(limit), uint64(limit)
}

// read reads the next message into message. After an oversize error the stream is out of step and must be closed.
func (r *frameReader) read(message proto.Message) error {
	if err := r.options.UnmarshalFrom(r.buffer, message); err != nil {
		return classify(err)
	}
	return nil
}

// classify tells errors of the content from those of the connection.
func classify(err error) error {
	var size *protodelim.SizeTooLargeError
	var network net.Error
	switch {
	case errors.As(err, &size):
		return &FrameError{kind: "oversize", err: err}
	case errors.Is(err, stdio.EOF), errors.Is(err, stdio.ErrUnexpectedEOF), errors.As(err, &network):
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
	pooled *[]byte
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

// encode sets the body. The header is put in front of it by seal, once the sequence number is known.
func (f *frame) encode(body proto.Message, limit int) error {
	size := proto.Size(body)
	if size > limit {
		return &FrameError{kind: "oversize", err: fmt.Errorf("size %d exceeds %d", size, limit)}
	}
	f.pooled = frameBuffers.Get().(*[]byte)
	buffer := slices.Grow((*f.pooled)[:0], headerRoom+size+protowire.SizeVarint(uint64(size)))
	buffer = protowire.AppendVarint(buffer[:headerRoom], uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, body)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	f.buffer, f.start, f.state = buffer, headerRoom, frameNew
	return nil
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
		*f.pooled = f.buffer
		frameBuffers.Put(f.pooled)
	}
	f.buffer, f.pooled = nil, nil
}

// frameWriter writes frames in order. A goroutine that calls flush writes without blocking, together with its own frame,
// all that others have queued meanwhile. What the socket does not take at once is left to a goroutine of the writer,
// whose writes have a time limit.
type frameWriter struct {
	conn    net.Conn
	raw     syscall.RawConn
	timeout time.Duration
	fail    func(error)

	mutex sync.Mutex
	wake  *sync.Cond
	idled *sync.Cond
	queue []*frame
	err   error
	// writing tells that some goroutine owns the batch; blocked, that it is the goroutine of the writer.
	writing bool
	blocked bool

	// The fields below belong to the owner of the batch.
	batch   []*frame
	written int
	scratch []byte
	out     []byte
	count   int
	errno   error
	attempt func(fd uintptr) bool
}

// newFrameWriter starts a writer in group; fail is called once when a write fails.
func newFrameWriter(conn net.Conn, timeout time.Duration, group *conc.WaitGroup, fail func(error)) *frameWriter {
	w := &frameWriter{conn: conn, timeout: timeout, fail: fail}
	w.wake = sync.NewCond(&w.mutex)
	w.idled = sync.NewCond(&w.mutex)
	w.attempt = w.writeOnce
	if c, ok := conn.(syscall.Conn); ok {
		w.raw, _ = c.SyscallConn()
	}
	group.Go(w.loop)
	return w
}

// enqueue puts a frame in the queue, which flush writes. It does not block.
func (w *frameWriter) enqueue(f *frame) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.err != nil {
		return w.err
	}
	f.state = frameQueued
	w.queue = append(w.queue, f)
	return nil
}

// flush writes what is queued, unless another goroutine is writing and will do so. It does not block.
func (w *frameWriter) flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.writing {
		return
	}
	for range maxFlushes {
		if !w.collect() {
			return
		}
		w.mutex.Unlock()
		done, err := w.try()
		w.mutex.Lock()
		if err != nil {
			w.abandon(err)
			return
		}
		if !done {
			w.handOver()
			return
		}
	}
	if w.collect() {
		w.handOver()
	}
}

// collect moves the queued frames to the batch and reports whether there are any. It is called with the mutex held.
func (w *frameWriter) collect() bool {
	w.batch, w.written = w.batch[:0], 0
	for _, f := range w.queue {
		if f.state == frameQueued {
			f.state = frameTaken
			w.batch = append(w.batch, f)
		}
	}
	clear(w.queue)
	w.queue = w.queue[:0]
	w.writing = len(w.batch) > 0 && w.err == nil
	if !w.writing {
		w.idled.Broadcast()
	}
	return w.writing
}

func (w *frameWriter) handOver() {
	w.blocked = true
	w.wake.Signal()
}

// try writes the batch as far as the socket takes it at once.
func (w *frameWriter) try() (done bool, err error) {
	w.out = w.batch[0].bytes()
	if len(w.batch) > 1 {
		w.out = w.join()
	}
	if w.raw == nil || w.out == nil {
		return false, nil
	}
	w.count, w.errno = 0, nil
	if err := w.raw.Write(w.attempt); err != nil {
		return false, err
	}
	w.written = max(0, w.count)
	if w.errno != nil && !errors.Is(w.errno, syscall.EAGAIN) {
		return false, w.errno
	}
	if w.written < len(w.out) {
		return false, nil
	}
	w.releaseBatch()
	return true, nil
}

// writeOnce returns true always, so that the poller does not wait for the socket.
func (w *frameWriter) writeOnce(fd uintptr) bool {
	for {
		w.count, w.errno = syscall.Write(int(fd), w.out)
		if !errors.Is(w.errno, syscall.EINTR) {
			return true
		}
	}
}

// join copies the frames of the batch together, unless they are large.
func (w *frameWriter) join() []byte {
	size := 0
	for _, f := range w.batch {
		size += len(f.bytes())
	}
	if size > maxPooledFrame {
		return nil
	}
	w.scratch = w.scratch[:0]
	for _, f := range w.batch {
		w.scratch = append(w.scratch, f.bytes()...)
	}
	return w.scratch
}

func (w *frameWriter) releaseBatch() {
	for i, f := range w.batch {
		f.release()
		w.batch[i] = nil
	}
	w.batch = w.batch[:0]
}

// abandon ends the writer after a failed write. It is called with the mutex held and releases it meanwhile.
func (w *frameWriter) abandon(err error) {
	left := w.written
	for _, f := range w.batch {
		if left <= 0 {
			f.state = frameDropped
		}
		left -= len(f.bytes())
	}
	w.writing = false
	w.mutex.Unlock()
	w.stop(err)
	w.fail(err)
	w.mutex.Lock()
}

// loop writes what flush could not write at once.
func (w *frameWriter) loop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for {
		for !w.blocked && w.err == nil {
			w.wake.Wait()
		}
		if w.err != nil {
			return
		}
		w.blocked = false
		for more := true; more; more = w.collect() {
			w.mutex.Unlock()
			err := w.writeBlocking()
			w.mutex.Lock()
			if err != nil {
				w.abandon(err)
				return
			}
		}
	}
}

func (w *frameWriter) writeBlocking() error {
	buffers := make(net.Buffers, 0, len(w.batch))
	skip := w.written
	for _, f := range w.batch {
		data := f.bytes()
		n := min(skip, len(data))
		skip -= n
		buffers = append(buffers, data[n:])
	}
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return err
	}
	written, err := buffers.WriteTo(w.conn)
	w.written += int(written)
	if err != nil {
		return err
	}
	w.releaseBatch()
	// An old deadline would make the next write of flush fail.
	return w.conn.SetWriteDeadline(time.Time{})
}

// drop withdraws a frame and reports whether no byte of it has left and none will.
func (w *frameWriter) drop(f *frame) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if f.state == frameTaken {
		return false
	}
	if f.state == frameQueued {
		f.release()
	}
	f.state = frameDropped
	return true
}

// wait waits until all frames are written or the writer has failed.
func (w *frameWriter) wait() {
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
