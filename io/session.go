package io

import (
	"bufio"
	"context"
	"errors"
	stdio "io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// headerBufferSize is the size of a read buffer and the upper limit for the size of a header.
	headerBufferSize = 32 << 10
	// maxPipelined is the maximum number of concurrent requests of one connection. Further requests are not read until
	// earlier ones have been answered.
	maxPipelined = 64
	// lingerTimeout is how long to wait for the caller to close the connection after this side has closed its writing end.
	// Closing a socket with unread data resets the connection, and the caller may lose the last response.
	lingerTimeout = time.Second
	// lastRequestWait is how long a session still accepts a request after a graceful shutdown has begun: it may have been sent
	// before the caller could notice.
	lastRequestWait = 50 * time.Millisecond
	// interimResponse requests the body from a caller that sent "Expect: 100-continue".
	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

var (
	headerReaderPool   = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headerBufferSize) }}
	responseWriterPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
	errCallerClosed    = errors.New("caller closed the connection")
	errLastRequest     = errors.New("no further requests on the connection")
)

// session serves the connection of one caller.
type session struct {
	front *Front
	conn  net.Conn
	// ctx is cancelled when the caller closes the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// responses contains the pending responses in the order of their requests.
	responses chan *pendingResponse
	inFlight  atomic.Int64
	// drainEnd is the time in nanoseconds since the Unix epoch after which no further request is read; 0 means that there is
	// none. reading is set while a request is being read, which is completed even after that time.
	drainEnd atomic.Int64
	reading  atomic.Bool
	// lastWritten reports that the last response of the connection has been written.
	lastWritten bool

	// reader is nil until the first byte of a request has been read, so that idle connections need no buffer. pushedBack is
	// that first byte, which is read again through reader.
	reader     *bufio.Reader
	pushedBack []byte
	firstByte  [1]byte
	// holding is the memory that the request takes that is being read, or nil.
	holding *holding
}

// pendingResponse is the response to one request. It is complete when done is closed.
type pendingResponse struct {
	done     chan struct{}
	response *response
	// holding is the memory that the request and the response take; nil for a response that takes hardly any.
	holding *holding
}

func newSession(f *Front, conn net.Conn) *session {
	s := &session{front: f, conn: conn, responses: make(chan *pendingResponse, maxPipelined)}
	s.ctx, s.cancel = context.WithCancel(f.stopped)
	return s
}

// serve serves requests until the connection ends. The connection is closed when it returns.
func (s *session) serve() {
	written := make(chan struct{})
	s.front.group.Go(func() {
		defer close(written)
		s.writeResponses()
	})
	err := s.readRequests()
	if errors.Is(err, errCallerClosed) {
		s.cancel()
	}
	close(s.responses)
	watched := closedChannel
	if errors.Is(err, errLastRequest) && s.inFlight.Load() > 0 {
		watched = s.watchForClose(written)
	}
	<-written
	s.cancel()
	// The watch and linger both set the read deadline.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	<-watched
	if s.lastWritten {
		s.linger()
	}
	_ = s.conn.Close()
	s.releaseReader()
}

// closedChannel is a channel that is closed.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// drain lets the session end when its requests have been answered. A request that arrives within the wait is still accepted.
func (s *session) drain(wait time.Duration) {
	end := time.Now().Add(wait)
	s.drainEnd.Store(end.UnixNano())
	if !s.reading.Load() {
		_ = s.conn.SetReadDeadline(end)
	}
}

// draining reports whether drain was called.
func (s *session) draining() bool { return s.drainEnd.Load() != 0 }

// abort closes the connection and cancels its calls.
func (s *session) abort() {
	s.cancel()
	_ = s.conn.Close()
}

// readRequests reads requests and starts a call for each. The returned error is the reason why it stopped.
func (s *session) readRequests() error {
	for {
		if err := s.awaitRequest(); err != nil {
			return err
		}
		s.reading.Store(true)
		limits := s.front.limits.Load()
		_ = s.conn.SetReadDeadline(time.Now().Add(limits.headerTimeout))
		s.holding = s.front.memory.hold(func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
		request := fasthttp.AcquireRequest()
		err := s.readRequest(request, limits)
		if s.holding.evicted.Load() {
			err = errMemoryFull
		}
		s.reading.Store(false)
		if err == nil {
			err = s.startCall(request)
		} else {
			err = s.reject(err)
		}
		fasthttp.ReleaseRequest(request)
		if err != nil {
			s.holding.release()
			return err
		}
	}
}

// awaitRequest waits for the first byte of the next request, and detects if the caller closes the connection.
func (s *session) awaitRequest() error {
	if s.reader != nil && s.reader.Buffered() > 0 {
		return nil
	}
	s.releaseReader()
	idleSince := time.Now()
	for {
		_ = s.conn.SetReadDeadline(idleSince.Add(s.front.limits.Load().idleTimeout))
		if end := s.drainEnd.Load(); end != 0 {
			_ = s.conn.SetReadDeadline(time.Unix(0, end))
		}
		n, err := s.conn.Read(s.firstByte[:])
		switch {
		case n > 0:
			s.pushedBack = s.firstByte[:]
			s.reader = headerReaderPool.Get().(*bufio.Reader)
			s.reader.Reset(s)
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errCallerClosed
		case s.draining():
			return errLastRequest
		case s.inFlight.Load() > 0:
			idleSince = time.Now()
		case time.Since(idleSince) >= s.front.limits.Load().idleTimeout:
			return errLastRequest
		}
	}
}

// Read implements io.Reader. It returns the pushed-back byte first and then reads from the connection.
func (s *session) Read(p []byte) (int, error) {
	if len(s.pushedBack) > 0 {
		n := copy(p, s.pushedBack)
		s.pushedBack = s.pushedBack[n:]
		return n, nil
	}
	n, err := s.conn.Read(p)
	if full := s.holding.grow(n); full != nil {
		return 0, full
	}
	return n, err
}

// readRequest reads and validates one request.
func (s *session) readRequest(request *fasthttp.Request, limits *frontLimits) error {
	header, err := readHeader(s.reader, limits.maxHeader)
	if err != nil {
		return err
	}
	if err := validateHeader(header); err != nil {
		return err
	}
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	if err := request.Header.Read(s.reader); err != nil {
		// The error of the parser quotes the header, which may hold an API key.
		return &headerError{err: errHeaderSyntax}
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(s.front.readTimeout))
	if request.MayContinue() && s.inFlight.Load() == 0 {
		if _, err := s.conn.Write([]byte(interimResponse)); err != nil {
			return err
		}
	}
	if length := request.Header.ContentLength(); length <= limits.maxBody {
		if err := s.holding.reserve(length); err != nil {
			return err
		}
	}
	return concealContent(request.ContinueReadBody(s.reader, limits.maxBody, false))
}

// startCall passes a request to the handler in a new goroutine.
func (s *session) startCall(request *fasthttp.Request) error {
	call, err := newCall(s.front.wire, request)
	if err != nil {
		return s.reject(err)
	}
	last := request.ConnectionClose() || !request.Header.IsHTTP11()
	if err := s.holding.pin(); err != nil {
		return s.reject(err)
	}
	a := &pendingResponse{done: make(chan struct{}), holding: s.holding}
	s.holding = s.front.memory.hold(nil)
	s.inFlight.Add(1)
	s.responses <- a
	s.front.group.Go(func() {
		defer close(a.done)
		reply := s.front.handle(s, call)
		if a.holding.grow(len(reply.GetBody())) != nil {
			s.front.errorCounter.inc(core.ReasonName(schema.Reason_REASON_MEMORY))
			reply = core.Unknown(schema.Reason_REASON_MEMORY)
		}
		a.response = newResponse(s.front.wire, call, reply)
		a.response.close = last
	})
	if last {
		return errLastRequest
	}
	return nil
}

// reject responds to a request that could not be read or parsed, and ends the reading. It sends no response if the connection
// has failed.
func (s *session) reject(err error) error {
	response := s.front.rejectionFor(err)
	if response == nil {
		return errCallerClosed
	}
	s.front.logger.Debug("rejected request", zap.Error(err))
	response.close = true
	a := &pendingResponse{done: make(chan struct{}), response: response}
	close(a.done)
	s.inFlight.Add(1)
	s.responses <- a
	return errLastRequest
}

// writeResponses writes the responses in the order of their requests.
func (s *session) writeResponses() {
	w := responseWriterPool.Get().(*bufio.Writer)
	w.Reset(s.conn)
	defer responseWriterPool.Put(w)
	stopped := false
	for a := range s.responses {
		<-a.done
		s.inFlight.Add(-1)
		if stopped {
			a.holding.release()
			continue
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.front.writeTimeout))
		last := a.response.close
		a.response.close = last || s.front.keepAlivesDisabled.Load() && !s.hasMoreRequests()
		a.response.write(w)
		err := w.Flush()
		a.holding.release()
		s.lastWritten = err == nil && a.response.close
		if err != nil || last {
			stopped = true
			s.stopReading(err)
		}
	}
}

// hasMoreRequests reports whether requests behind the one that is answered have been passed on or are being read. A caller that
// respects "Connection: close" would discard their responses.
func (s *session) hasMoreRequests() bool { return s.inFlight.Load() > 0 || s.reading.Load() }

// stopReading stops reading requests after the last response, or after a response that could not be written.
func (s *session) stopReading(err error) {
	if err != nil {
		s.front.errorCounter.inc(kindWrite)
		s.cancel()
		_ = s.conn.Close()
	}
	s.drain(0)
}

// watchForClose cancels the context of the session if the caller closes the connection while its last request is in
// progress. The returned channel is closed when the watch has ended, which an expired read deadline does after written.
func (s *session) watchForClose(written <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	s.front.group.Go(func() {
		defer close(ended)
		var rest [512]byte
		for {
			_ = s.conn.SetReadDeadline(time.Time{})
			select {
			case <-written:
				return
			default:
			}
			_, err := s.conn.Read(rest[:])
			switch {
			case err == nil:
			case errors.Is(err, os.ErrDeadlineExceeded):
				return
			default:
				s.cancel()
				return
			}
		}
	})
	return ended
}

// linger closes the writing end of the connection and waits at most lingerTimeout for the caller to close its end.
func (s *session) linger() {
	if tcp, ok := s.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = stdio.Copy(stdio.Discard, s.conn)
	}
}

// releaseReader puts the reader back into the pool.
func (s *session) releaseReader() {
	if s.reader != nil {
		s.reader.Reset(nil)
		headerReaderPool.Put(s.reader)
		s.reader = nil
	}
}
