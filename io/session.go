package io

import (
	"bufio"
	"context"
	"errors"
	stdio "io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
)

const (
	// lingerTimeout is how long to wait for the caller to close the connection after this side has closed its writing end.
	// Closing a socket with unread data resets the connection, and the caller may lose the last response.
	lingerTimeout = time.Second
	// lastRequestWait is how long a session still accepts a request after a graceful shutdown has begun: it may have been sent
	// before the caller could notice.
	lastRequestWait = 50 * time.Millisecond
)

var (
	errCallerClosed = errors.New("caller closed the connection")
	errLastRequest  = errors.New("no further requests on the connection")
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
	// unwritten is the number of requests whose responses have not been written.
	unwritten atomic.Int64
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
	// skipped is the size of the empty lines before the next request that have been ignored.
	skipped int
	// holding is the memory that the request takes that is being read, or nil. bufferHolding is that of a large read buffer.
	holding       *holding
	bufferHolding *holding
	// progress counts the bytes of a body that have been read since its deadline was set; bodyTimeout is 0 outside of bodies.
	progress    int
	bodyTimeout time.Duration
	// readErr is the error of the connection within the request that is being read, or nil. The parser may wrap it beyond
	// recognition.
	readErr error
	// requestBegan is when the first byte of the request that is being read arrived.
	requestBegan time.Time
	// taken is signalled when a response has been written.
	taken chan struct{}
	// held is the number of bytes that the requests and responses in flight hold.
	held atomic.Int64
	// progressAt is the time in nanoseconds since the Unix epoch of the last progress of the caller. closed reports that the
	// connection was closed for another one; it is protected by the mutex of the front.
	progressAt atomic.Int64
	closed     bool
	// writingSince is the time in nanoseconds since the Unix epoch of the last progress of a write in progress; 0 if there is none.
	writingSince atomic.Int64
}

// pendingResponse is the response to one request. It is complete when done is closed.
type pendingResponse struct {
	done     chan struct{}
	response *response
	// holding is the memory that the request, and then the response takes; nil for a response that takes hardly any. held is its
	// share of the bytes held by the session.
	holding *holding
	held    int
}

func newSession(f *Front, conn net.Conn) *session {
	s := &session{front: f, conn: conn, responses: make(chan *pendingResponse, f.callers.maxPipelined), taken: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(f.stopped)
	s.bufferHolding = f.memory.hold(s.expireRead)
	s.recordProgress()
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
	s.bufferHolding.release()
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
		s.skipLineEnds()
		s.awaitTaken()
		if err := s.awaitRequest(); err != nil {
			return err
		}
		s.reading.Store(true)
		s.requestBegan, s.readErr = time.Now(), nil
		s.holding = s.front.memory.hold(s.expireRead)
		s.holding.mayExceed = true
		request := fasthttp.AcquireRequest()
		call, err := s.readRequest(request)
		if s.evicted() {
			err = errMemoryFull
		}
		s.reading.Store(false)
		if err == nil {
			err = s.startCall(call, s.isLast(request, call))
		}
		if err != nil && !errors.Is(err, errLastRequest) {
			s.holding.release()
			err = s.reject(request, err)
		}
		fasthttp.ReleaseRequest(request)
		if err != nil {
			return err
		}
	}
}

// startCall passes a request to the handler in a new goroutine.
func (s *session) startCall(call *core.Call, last bool) error {
	if err := s.holding.pin(callCost); err != nil {
		return err
	}
	a := &pendingResponse{done: make(chan struct{}), holding: s.holding, held: s.holding.bytes}
	s.inFlight.Add(1)
	s.unwritten.Add(1)
	s.held.Add(int64(a.held))
	s.recordProgress()
	s.responses <- a
	s.front.group.Go(func() { s.runCall(a, call, last) })
	if last {
		return errLastRequest
	}
	return nil
}

// runCall calls the handler. From then on the response is held in place of the request.
func (s *session) runCall(a *pendingResponse, call *core.Call, last bool) {
	defer close(a.done)
	reply := s.front.handle(s, call)
	a.response = newResponse(s.front.wire, call, reply)
	a.response.close = last
	s.front.recordResponse(call, a.response.code, sourceOf(s.front.wire, reply))
	size := a.response.size()
	s.held.Add(int64(size - a.held))
	a.held = size
	a.holding.replace(size, s.abortStalled, s.stalled)
}

// reject responds to a request that could not be read or parsed, and ends the reading. It sends no response if the connection
// has failed.
func (s *session) reject(request *fasthttp.Request, err error) error {
	reason, response := s.front.rejectionFor(err, s.conn)
	if response == nil {
		return errCallerClosed
	}
	s.recordRejection(request, reason, response.code, err)
	response.close = true
	a := &pendingResponse{done: make(chan struct{}), response: response}
	close(a.done)
	s.inFlight.Add(1)
	s.unwritten.Add(1)
	s.responses <- a
	return errLastRequest
}

// hasMoreRequests reports whether requests behind the one that is answered have been passed on or are being read. A caller that
// respects "Connection: close" would discard their responses.
func (s *session) hasMoreRequests() bool { return s.inFlight.Load() > 0 || s.reading.Load() }

// stopReading stops reading requests after the last response, or after a response that could not be written.
func (s *session) stopReading(err error) {
	if err != nil {
		s.front.errorCounter.inc(kindWrite)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.front.refuse(kindStalled, s.conn)
		}
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
