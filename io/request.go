package io

import (
	"bufio"
	"bytes"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
)

const (
	// maxFieldBytes is the upper limit for the size of the header fields, whatever the document says.
	maxFieldBytes = 1 << 20
	// requestLineBytes is the space for a request line beside the fields (RFC 9112, section 3, recommends at least 8,000 bytes).
	requestLineBytes = 8 << 10
	// A read buffer has readBufferSize bytes until a header does not fit into it, and then headerBufferSize or as much as the
	// limit of the document needs.
	headerBufferSize = 32<<10 + requestLineBytes
	readBufferSize   = 4 << 10
	// callCost is what a call in progress costs besides its request and response: goroutines with their stacks and the state of
	// the router.
	callCost = 8 << 10
	// fieldCost is what a header field costs besides its text, in the call and in the messages made of it.
	fieldCost = 200
	// minProgress is the number of bytes of a body that must arrive, or of a response that must be taken, within its timeout.
	minProgress = 16 << 10
	// probedBody is the size up to which the body of a request is read although its path needs none, so that the connection
	// can be kept.
	probedBody = 4 << 10
	// firstSegment and maxSegment are the sizes of the buffers that a body of unknown length is read into.
	firstSegment = 4 << 10
	maxSegment   = 256 << 10
	// declaredStart is the part of a body of known length that must arrive before a buffer for all of it is allocated.
	declaredStart = 64 << 10
	// maxEmptyLines is the number of empty lines before a request that are ignored. Some clients send one after a body.
	maxEmptyLines = 4
	// interimResponse requests the body from a caller that sent "Expect: 100-continue".
	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// errBufferFull means that a header does not fit into a small read buffer.
var errBufferFull = bufio.ErrBufferFull

var (
	headerReaderPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	largeReaderPool  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headerBufferSize) }}
)

// evicted reports whether the request that is being read has been given up for memory.
func (s *session) evicted() bool { return s.holding.evicted.Load() || s.bufferHolding.evicted.Load() }

// recordProgress records that the caller sent or took something substantial.
func (s *session) recordProgress() { s.progressAt.Store(time.Now().UnixNano()) }

// lastProgress returns the time of the last progress.
func (s *session) lastProgress() time.Time { return time.Unix(0, s.progressAt.Load()) }

// expireRead ends the read in progress and all further ones.
func (s *session) expireRead() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }

// awaitTaken waits while too many responses wait, or hold too much. Under memory pressure a connection has one request at a
// time.
func (s *session) awaitTaken() {
	if s.reader != nil && s.reader.Buffered() > 0 {
		s.reading.Store(true)
	}
	for s.unwritten.Load() > 0 {
		pipelined := s.unwritten.Load() < int64(s.front.callers.maxPipelined) && s.held.Load() < int64(s.front.maxHeld())
		if pipelined && !s.front.memory.pressed() {
			return
		}
		<-s.taken
	}
}

// maxHeld returns the number of bytes that the requests and responses of a connection may hold before no more is read.
func (f *Front) maxHeld() int { return max(f.memory.limit/8, smallMessageBytes) }

// awaitRequest waits for the first byte of the next request, and detects if the caller closes the connection.
func (s *session) awaitRequest() error {
	if s.reader != nil && s.reader.Buffered() > 0 {
		return nil
	}
	s.releaseReader()
	idleSince := time.Now()
	for {
		_ = s.conn.SetReadDeadline(idleSince.Add(s.front.currentLimits().idleTimeout))
		if end := s.drainEnd.Load(); end != 0 {
			_ = s.conn.SetReadDeadline(time.Unix(0, end))
		}
		n, err := s.conn.Read(s.firstByte[:])
		switch {
		case n > 0 && isLineEnd(s.firstByte[0]) && s.skipped < maxLineEnds:
			s.skipped++
		case n > 0:
			s.pushedBack = s.firstByte[:]
			s.reader = headerReaderPool.Get().(*bufio.Reader)
			s.reader.Reset(s)
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errCallerClosed
		case s.draining() && !readable(s.conn):
			return errLastRequest
		case s.draining():
			// The request had arrived before the deadline passed; this goroutine was late.
			s.drainEnd.Store(time.Now().Add(lastRequestWait).UnixNano())
		case s.inFlight.Load() > 0:
			idleSince = time.Now()
		case time.Since(idleSince) >= s.front.currentLimits().idleTimeout:
			return errLastRequest
		}
	}
}

// maxLineEnds is the number of bytes in maxEmptyLines.
const maxLineEnds = maxEmptyLines * len("\r\n")

// skipLineEnds discards the empty lines before the next request that have been read already.
func (s *session) skipLineEnds() {
	for s.skipped = 0; s.reader != nil && s.reader.Buffered() > 0 && s.skipped < maxLineEnds; s.skipped++ {
		if next, _ := s.reader.Peek(1); !isLineEnd(next[0]) {
			return
		}
		_, _ = s.reader.Discard(1)
	}
}

func isLineEnd(b byte) bool { return b == '\r' || b == '\n' }

// Read implements io.Reader. It returns the pushed-back byte first and then reads from the connection. Each time that enough of a
// body has arrived, its deadline is set anew.
func (s *session) Read(p []byte) (int, error) {
	if len(s.pushedBack) > 0 {
		n := copy(p, s.pushedBack)
		s.pushedBack = s.pushedBack[n:]
		return n, nil
	}
	// A new deadline may have replaced that of a request which has been given up.
	if s.evicted() {
		return 0, errMemoryFull
	}
	n, err := s.conn.Read(p)
	s.readErr = err
	s.progress += n
	if s.bodyTimeout > 0 && s.progress >= minProgress {
		s.progress = 0
		s.recordProgress()
		_ = s.conn.SetReadDeadline(time.Now().Add(s.bodyTimeout))
	}
	return n, err
}

// readRequest reads and validates one request.
func (s *session) readRequest(request *fasthttp.Request) (*core.Call, error) {
	limits := s.front.currentLimits()
	_ = s.conn.SetReadDeadline(time.Now().Add(limits.headerTimeout))
	header, err := s.readHeader(limits.maxHeader)
	if err != nil {
		return nil, limits.refusal(err)
	}
	if err := s.parseHeader(request, header); err != nil {
		return nil, err
	}
	call, err := newCall(s.front.wire, request)
	if err != nil {
		return nil, err
	}
	if !s.needsBody(request, call) {
		call.BodyUnread = true
		return call, nil
	}
	s.bodyTimeout, s.progress = s.front.callers.bodyTimeout, 0
	defer func() { s.bodyTimeout = 0 }()
	_ = s.conn.SetReadDeadline(time.Now().Add(s.bodyTimeout))
	if request.MayContinue() && s.inFlight.Load() == 0 {
		if _, err := s.conn.Write([]byte(interimResponse)); err != nil {
			return nil, err
		}
	}
	call.Body, err = s.readBody(request, limits.maxBody)
	return call, limits.refusal(s.bodyError(err))
}

// readHeader returns the request line and header fields without consuming them from the reader. A header that does not fit into
// the read buffer is read into a large one.
func (s *session) readHeader(limit int) ([]byte, error) {
	header, err := readHeader(s.reader, limit)
	if !errors.Is(err, errBufferFull) {
		return header, err
	}
	if err := s.enlargeReader(max(headerBufferSize, limit+requestLineBytes)); err != nil {
		return nil, err
	}
	header, err = readHeader(s.reader, limit)
	if errors.Is(err, errBufferFull) {
		return nil, errHeaderTooLarge
	}
	return header, err
}

// enlargeReader replaces the reader by one with a larger buffer that holds the same bytes. It returns errHeaderTooLarge if the buffer
// has the size already.
func (s *session) enlargeReader(size int) error {
	if s.reader.Size() >= size {
		return errHeaderTooLarge
	}
	if err := s.bufferHolding.grow(size); err != nil {
		return err
	}
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	s.pushedBack = append([]byte(nil), buffered...)
	s.putReader()
	s.reader = newLargeReader(size)
	s.reader.Reset(s)
	return nil
}

// newLargeReader returns a reader from the pool, or a new one if those of the pool have another size.
func newLargeReader(size int) *bufio.Reader {
	if size == headerBufferSize {
		return largeReaderPool.Get().(*bufio.Reader)
	}
	return bufio.NewReaderSize(nil, size)
}

// parseHeader validates and consumes the header, and counts what its fields cost.
func (s *session) parseHeader(request *fasthttp.Request, header []byte) error {
	if err := validateHeader(header); err != nil {
		return err
	}
	if err := s.holding.grow(2*len(header) + fieldCost*bytes.Count(header, []byte("\r\n"))); err != nil {
		return err
	}
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	if err := request.Header.Read(s.reader); err != nil {
		// The error of the parser quotes the header, which may hold an API key.
		return &headerError{err: errHeaderSyntax}
	}
	return nil
}

// needsBody reports whether the body of a request is to be read. At a path that needs none, only a short body is read, so that
// the connection can be kept.
func (s *session) needsBody(request *fasthttp.Request, call *core.Call) bool {
	length := request.Header.ContentLength()
	short := length >= 0 && length <= probedBody || length == noBody
	gate, ok := s.front.handler.(core.HeadGate)
	return short || !ok || gate.NeedsBody(call)
}

// noBody is the length that fasthttp reports for a request without a body, and unknownLength that for a chunked one.
const (
	noBody        = -2
	unknownLength = -1
)

// isLast reports whether no further request is read from the connection: the caller asked for it, or the body was not read.
func (s *session) isLast(request *fasthttp.Request, call *core.Call) bool {
	length := request.Header.ContentLength()
	unread := length > len(call.Body) || length == unknownLength && call.Body == nil
	return unread || request.ConnectionClose() || !request.Header.IsHTTP11()
}

// putReader puts the reader back into the pool.
func (s *session) putReader() {
	s.reader.Reset(nil)
	switch s.reader.Size() {
	case readBufferSize:
		headerReaderPool.Put(s.reader)
	case headerBufferSize:
		largeReaderPool.Put(s.reader)
	}
	s.reader = nil
}

// releaseReader puts the reader back, and its memory if it is a large one.
func (s *session) releaseReader() {
	if s.reader == nil {
		return
	}
	if s.reader.Size() != readBufferSize {
		s.bufferHolding.release()
		s.bufferHolding = s.front.memory.hold(s.expireRead)
	}
	s.putReader()
}
