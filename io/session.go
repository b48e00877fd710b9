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
)

const (
	// headRoom is the size of a read buffer, and with it the longest header.
	headRoom = 32 << 10
	// maxPipelined bounds the requests of one connection that are in progress. Further ones are left unread.
	maxPipelined = 64
	// lingerTime bounds the wait for the caller's end of a connection that this side has closed. Closing it with unread
	// bytes would reset it, and the last response might be lost.
	lingerTime = time.Second
	// interimResponse asks a caller for the body that it holds back.
	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

var (
	headReaders    = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headRoom) }}
	answerWriters  = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
	errCallerGone  = errors.New("caller closed the connection")
	errLastRequest = errors.New("last request of the connection")
)

// session is the connection of one caller.
type session struct {
	front *Front
	conn  net.Conn
	// ctx ends when the caller has closed the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// answers holds the requests in progress in their order.
	answers  chan *answer
	inFlight atomic.Int64
	draining atomic.Bool
	// answered tells that the last response was written and closes the connection.
	answered bool

	// reader is nil while no byte of a request has been read; first is the byte that was read without it.
	reader *bufio.Reader
	first  []byte
	byte1  [1]byte
}

// answer is the response to one request, which is complete once done is closed.
type answer struct {
	done     chan struct{}
	response *response
}

func newSession(f *Front, conn net.Conn) *session {
	s := &session{front: f, conn: conn, answers: make(chan *answer, maxPipelined)}
	s.ctx, s.cancel = context.WithCancel(f.stopped)
	return s
}

// serve reads requests until the connection ends, and returns once it is closed.
func (s *session) serve() {
	written := make(chan struct{})
	s.front.group.Go(func() {
		defer close(written)
		s.write()
	})
	err := s.readAll()
	if errors.Is(err, errCallerGone) {
		s.cancel()
	}
	close(s.answers)
	if errors.Is(err, errLastRequest) && s.inFlight.Load() > 0 {
		s.watch(written)
	}
	<-written
	s.cancel()
	if s.answered {
		s.linger()
	}
	_ = s.conn.Close()
	s.release()
}

// drain lets the session end once its requests are answered.
func (s *session) drain() {
	s.draining.Store(true)
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// abort ends the session at once.
func (s *session) abort() {
	s.cancel()
	_ = s.conn.Close()
}

// readAll reads requests and starts them. Its error says why it stopped.
func (s *session) readAll() error {
	for {
		if err := s.await(); err != nil {
			return err
		}
		bounds := s.front.bounds.Load()
		_ = s.conn.SetReadDeadline(time.Now().Add(bounds.headerTime))
		request := fasthttp.AcquireRequest()
		err := s.read(request, bounds)
		if err == nil {
			err = s.start(request)
		} else {
			err = s.refuse(err)
		}
		fasthttp.ReleaseRequest(request)
		if err != nil {
			return err
		}
	}
}

// await waits for the first byte of the next request. It notices meanwhile that the caller has closed the connection.
func (s *session) await() error {
	if s.reader != nil && s.reader.Buffered() > 0 {
		return nil
	}
	s.release()
	idle := time.Now()
	for {
		_ = s.conn.SetReadDeadline(idle.Add(s.front.bounds.Load().idleTime))
		if s.draining.Load() {
			return errLastRequest
		}
		n, err := s.conn.Read(s.byte1[:])
		switch {
		case n > 0:
			s.first = s.byte1[:]
			s.reader = headReaders.Get().(*bufio.Reader)
			s.reader.Reset(s)
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errCallerGone
		case s.draining.Load():
			return errLastRequest
		case s.inFlight.Load() > 0:
			idle = time.Now()
		case time.Since(idle) >= s.front.bounds.Load().idleTime:
			return errLastRequest
		}
	}
}

// Read gives the byte that was read ahead, and then the connection's.
func (s *session) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	return s.conn.Read(p)
}

// read reads one request.
func (s *session) read(request *fasthttp.Request, bounds *frontBounds) error {
	head, err := readHead(s.reader, bounds.header)
	if err != nil {
		return err
	}
	if err := checkHead(head); err != nil {
		return err
	}
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	if err := request.Header.Read(s.reader); err != nil {
		return &headError{err: err}
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(s.front.readTimeout))
	if request.MayContinue() && s.inFlight.Load() == 0 {
		if _, err := s.conn.Write([]byte(interimResponse)); err != nil {
			return err
		}
	}
	return request.ContinueReadBody(s.reader, bounds.body, false)
}

// start hands a request to the handler.
func (s *session) start(request *fasthttp.Request) error {
	call, err := newCall(s.front.wire, request)
	if err != nil {
		return s.refuse(err)
	}
	last := request.ConnectionClose() || !request.Header.IsHTTP11()
	a := &answer{done: make(chan struct{})}
	s.inFlight.Add(1)
	s.answers <- a
	s.front.group.Go(func() {
		defer close(a.done)
		reply := s.front.handler.Handle(s.ctx, call)
		a.response = newResponse(s.front.wire, call, reply)
		a.response.close = last
	})
	if last {
		return errLastRequest
	}
	return nil
}

// refuse answers a request that did not become a call, after which nothing more is read. A connection that failed has no
// caller to answer.
func (s *session) refuse(err error) error {
	response := s.front.refusal(err)
	if response == nil {
		return errCallerGone
	}
	s.front.logger.Debug("refused a request", zap.Error(err))
	response.close = true
	a := &answer{done: make(chan struct{}), response: response}
	close(a.done)
	s.inFlight.Add(1)
	s.answers <- a
	return errLastRequest
}

// write writes the responses in the order of their requests.
func (s *session) write() {
	w := answerWriters.Get().(*bufio.Writer)
	w.Reset(s.conn)
	defer answerWriters.Put(w)
	broken := false
	for a := range s.answers {
		<-a.done
		s.inFlight.Add(-1)
		if broken {
			continue
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.front.writeTimeout))
		last := a.response.close || s.draining.Load() && len(s.answers) == 0
		a.response.close = last || s.front.retiring.Load()
		a.response.write(w)
		if err := w.Flush(); err != nil || last {
			broken = true
			s.answered = err == nil
			s.endRequests(err)
		}
	}
}

// endRequests stops the reading after the last response, or after one that could not be written.
func (s *session) endRequests(err error) {
	if err != nil {
		s.front.faults.count(kindWrite)
		s.cancel()
		_ = s.conn.Close()
	}
	s.drain()
}

// watch notices that the caller closes the connection while its last request is in progress.
func (s *session) watch(written <-chan struct{}) {
	s.front.group.Go(func() {
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
}

// linger waits until the caller has closed the connection too, but no longer than lingerTime.
func (s *session) linger() {
	if tcp, ok := s.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = stdio.Copy(stdio.Discard, s.conn)
	}
}

// release returns the read buffer.
func (s *session) release() {
	if s.reader != nil {
		s.reader.Reset(nil)
		headReaders.Put(s.reader)
		s.reader = nil
	}
}
