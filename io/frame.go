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
	// maxFrameHeader is the space reserved before the body of a frame for the header: a method name, a sequence number and
	// sizes.
	maxFrameHeader = 64
	// maxPooledBuffer is the maximum size of a pooled buffer, so that a few large bodies do not retain memory.
	maxPooledBuffer = 64 << 10
	connBufferSize  = 4 << 10
	// maxPart is the number of bytes that a blocking write with a timeout carries: 0.05 s on a link of 10 Mbit/s.
	maxPart = 64 << 10
	// maxFlushes bounds the number of writes that one flush performs, including for the frames of other goroutines.
	maxFlushes = 4
)

// FrameError reports a message that is malformed or exceeds the size limit.
type FrameError struct {
	kind string
	err  error
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("message %s: %v", e.kind, e.err) }

// Unwrap returns the underlying error.
func (e *FrameError) Unwrap() error { return e.err }

// Kind returns "oversize" or "malformed".
func (e *FrameError) Kind() string { return e.kind }

// frameReader reads protobuf messages with a varint size prefix.
type frameReader struct {
	source  *countingReader
	buffer  *bufio.Reader
	options protodelim.UnmarshalOptions
	limit   uint64
}

func newFrameReader(r stdio.Reader, limit int) *frameReader {
	source := &countingReader{reader: r}
	reader := &frameReader{source: source, buffer: bufio.NewReaderSize(source, connBufferSize)}
	reader.setLimit(limit)
	return reader
}

// consumed returns the number of bytes of the messages read so far.
func (r *frameReader) consumed() int { return r.source.count - r.buffer.Buffered() }

// setLimit sets the maximum size in bytes of the messages that are read from now on.
func (r *frameReader) setLimit(limit int) {
	r.options.MaxSize, r.limit = int64(limit), uint64(limit)
}

// read reads the next message into message. After an oversize error the stream is not at a frame boundary and must be
// closed.
func (r *frameReader) read(message proto.Message) error {
	if err := r.options.UnmarshalFrom(r.buffer, message); err != nil {
		return wrapReadError(err)
	}
	return nil
}

// wrapReadError converts an error in the content of a message to a *FrameError and returns connection errors unchanged.
func wrapReadError(err error) error {
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

// frame is an encoded message with its header that is to be written to a connection.
type frame struct {
	buffer []byte
	start  int
	pooled *[]byte
	// state is protected by the mutex of the frameWriter.
	state frameState
}

type frameState int

const (
	// frameNew means that the frame is not queued. No byte of it has been written.
	frameNew frameState = iota
	// frameQueued means that the frame is waiting to be written. No byte of it has been written.
	frameQueued
	// frameWriting means that the frame is being written or has been written.
	frameWriting
	// frameWithdrawn means that the frame will not be written.
	frameWithdrawn
)

var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// encode encodes the body. prependHeader adds the header later, when the sequence number is known.
func (f *frame) encode(body proto.Message, limit int) error {
	size := proto.Size(body)
	if size > limit {
		return &FrameError{kind: "oversize", err: fmt.Errorf("size %d exceeds %d", size, limit)}
	}
	f.pooled = frameBuffers.Get().(*[]byte)
	buffer := slices.Grow((*f.pooled)[:0], maxFrameHeader+size+protowire.SizeVarint(uint64(size)))
	buffer = protowire.AppendVarint(buffer[:maxFrameHeader], uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, body)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	f.buffer, f.start, f.state = buffer, maxFrameHeader, frameNew
	return nil
}

// prependHeader encodes the header in front of the body.
func (f *frame) prependHeader(header proto.Message) error {
	size := proto.Size(header)
	total := size + protowire.SizeVarint(uint64(size))
	if total > maxFrameHeader {
		return &FrameError{kind: "oversize", err: fmt.Errorf("header of %d bytes", size)}
	}
	f.start = maxFrameHeader - total
	prefix := protowire.AppendVarint(f.buffer[f.start:f.start], uint64(size))
	_, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(prefix, header)
	return err
}

func (f *frame) bytes() []byte { return f.buffer[f.start:] }

func (f *frame) release() {
	if cap(f.buffer) <= maxPooledBuffer {
		*f.pooled = f.buffer
		frameBuffers.Put(f.pooled)
	}
	f.buffer, f.pooled = nil, nil
}

// frameWriter writes frames in order. A goroutine that calls flush writes its own frame and all frames queued by other
// goroutines, without blocking. Data that the socket does not accept immediately is handed off to a background goroutine,
// which performs blocking writes with a timeout.
type frameWriter struct {
	conn    net.Conn
	raw     syscall.RawConn
	timeout time.Duration
	onError func(error)

	mutex    sync.Mutex
	wakeCond *sync.Cond
	idleCond *sync.Cond
	queue    []*frame
	err      error
	// writing reports that a goroutine owns the batch. handedOff reports that the batch is handed off to writeLoop.
	writing   bool
	handedOff bool

	// The fields below are accessed only by the goroutine that owns the batch.
	batch        []*frame
	batchWritten int
	joinBuffer   []byte
	pending      []byte
	writeCount   int
	writeErr     error
	writeFunc    func(fd uintptr) bool
}

// newFrameWriter returns a frameWriter and starts its writeLoop in group. onError is called once, when a write fails.
func newFrameWriter(conn net.Conn, timeout time.Duration, group *conc.WaitGroup, onError func(error)) *frameWriter {
	w := &frameWriter{conn: conn, timeout: timeout, onError: onError}
	w.wakeCond = sync.NewCond(&w.mutex)
	w.idleCond = sync.NewCond(&w.mutex)
	w.writeFunc = w.writeSyscall
	if c, ok := conn.(syscall.Conn); ok {
		w.raw, _ = c.SyscallConn()
	}
	group.Go(w.writeLoop)
	return w
}

// enqueue adds a frame to the queue, which is written by flush. It does not block.
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

// flush writes the queued frames, unless another goroutine is already writing; that goroutine then writes them too. It
// does not block.
func (w *frameWriter) flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.writing {
		return
	}
	for range maxFlushes {
		if !w.nextBatch() {
			return
		}
		w.mutex.Unlock()
		done, err := w.writeNonblocking()
		w.mutex.Lock()
		if err != nil {
			w.failBatch(err)
			return
		}
		if !done {
			w.handOff()
			return
		}
	}
	if w.nextBatch() {
		w.handOff()
	}
}

// nextBatch moves the queued frames to the batch and reports whether there are any. The mutex must be held.
func (w *frameWriter) nextBatch() bool {
	w.batch, w.batchWritten = w.batch[:0], 0
	for _, f := range w.queue {
		if f.state == frameQueued {
			f.state = frameWriting
			w.batch = append(w.batch, f)
		}
	}
	clear(w.queue)
	w.queue = w.queue[:0]
	w.writing = len(w.batch) > 0 && w.err == nil
	if !w.writing {
		w.idleCond.Broadcast()
	}
	return w.writing
}

func (w *frameWriter) handOff() {
	w.handedOff = true
	w.wakeCond.Signal()
}

// writeNonblocking writes as much of the batch as the socket accepts without blocking. done reports whether all of it has
// been written.
func (w *frameWriter) writeNonblocking() (done bool, err error) {
	w.pending = w.batch[0].bytes()
	if len(w.batch) > 1 {
		w.pending = w.coalesce()
	}
	if w.raw == nil || w.pending == nil {
		return false, nil
	}
	w.writeCount, w.writeErr = 0, nil
	if err := w.raw.Write(w.writeFunc); err != nil {
		return false, err
	}
	w.batchWritten = max(0, w.writeCount)
	if w.writeErr != nil && !errors.Is(w.writeErr, syscall.EAGAIN) {
		return false, w.writeErr
	}
	if w.batchWritten < len(w.pending) {
		return false, nil
	}
	w.releaseBatch()
	return true, nil
}

// writeSyscall is the callback of RawConn.Write. It always returns true, so that RawConn.Write does not wait for the
// socket to become writable.
func (w *frameWriter) writeSyscall(fd uintptr) bool {
	for {
		w.writeCount, w.writeErr = syscall.Write(int(fd), w.pending)
		if !errors.Is(w.writeErr, syscall.EINTR) {
			return true
		}
	}
}

// coalesce copies the frames of the batch into one buffer, or returns nil if they exceed maxPooledBuffer.
func (w *frameWriter) coalesce() []byte {
	size := 0
	for _, f := range w.batch {
		size += len(f.bytes())
	}
	if size > maxPooledBuffer {
		return nil
	}
	w.joinBuffer = w.joinBuffer[:0]
	for _, f := range w.batch {
		w.joinBuffer = append(w.joinBuffer, f.bytes()...)
	}
	return w.joinBuffer
}

func (w *frameWriter) releaseBatch() {
	for i, f := range w.batch {
		f.release()
		w.batch[i] = nil
	}
	w.batch = w.batch[:0]
}

// failBatch stops the writer after a failed write. The mutex must be held; it is released while stop and onError run.
func (w *frameWriter) failBatch(err error) {
	remaining := w.batchWritten
	for _, f := range w.batch {
		if remaining <= 0 {
			f.state = frameWithdrawn
		}
		remaining -= len(f.bytes())
	}
	w.writing = false
	w.mutex.Unlock()
	w.stop(err)
	w.onError(err)
	w.mutex.Lock()
}

// writeLoop writes the batches that flush hands off.
func (w *frameWriter) writeLoop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for {
		for !w.handedOff && w.err == nil {
			w.wakeCond.Wait()
		}
		if w.err != nil {
			return
		}
		w.handedOff = false
		for more := true; more; more = w.nextBatch() {
			w.mutex.Unlock()
			err := w.writeBlocking()
			w.mutex.Lock()
			if err != nil {
				w.failBatch(err)
				return
			}
		}
	}
}

// writeBlocking writes the rest of the batch. Each part has its own timeout, because the time for a whole batch depends on its size and
// the link.
func (w *frameWriter) writeBlocking() error {
	for {
		part := w.nextPart()
		if len(part) == 0 {
			break
		}
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			return err
		}
		written, err := part.WriteTo(w.conn)
		w.batchWritten += int(written)
		if err != nil {
			return err
		}
	}
	w.releaseBatch()
	// An expired deadline would make the next write of flush fail.
	return w.conn.SetWriteDeadline(time.Time{})
}

// nextPart returns the next maxPart bytes of the batch that have not been written.
func (w *frameWriter) nextPart() net.Buffers {
	var part net.Buffers
	skip, left := w.batchWritten, maxPart
	for _, f := range w.batch {
		data := f.bytes()
		n := min(skip, len(data))
		skip -= n
		data = data[n:]
		data = data[:min(left, len(data))]
		left -= len(data)
		if len(data) > 0 {
			part = append(part, data)
		}
		if left == 0 {
			break
		}
	}
	return part
}

// withdraw removes a frame from the queue. It reports whether no byte of the frame has been or will be written.
func (w *frameWriter) withdraw(f *frame) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if f.state == frameWriting {
		return false
	}
	if f.state == frameQueued {
		f.release()
	}
	f.state = frameWithdrawn
	return true
}

// waitIdle waits until all frames have been written or the writer has failed.
func (w *frameWriter) waitIdle() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.err == nil && (len(w.queue) > 0 || w.writing) {
		w.idleCond.Wait()
	}
}

// idle reports whether all frames have been written.
func (w *frameWriter) idle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.queue) == 0 && !w.writing
}

// stop stops the writer and discards the queued frames.
func (w *frameWriter) stop(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.err == nil {
		w.err = err
	}
	w.queue = nil
	w.wakeCond.Signal()
	w.idleCond.Broadcast()
}
