package io

import (
	"bufio"
	stdio "io"
	"sync"
	"time"
)

const (
	// stallGrace is how long a caller may take nothing of its response before the response may be given up for memory.
	stallGrace = time.Second
	// responseCost is what a response costs besides its header fields and body.
	responseCost = 512
)

var responseWriterPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// size returns what the response costs in memory.
func (r *response) size() int {
	size := responseCost + len(r.body)
	for _, h := range r.headers {
		size += fieldCost + 2*(len(h.GetName())+len(h.GetValue()))
	}
	return size
}

// writeResponses writes the responses in the order of their requests.
func (s *session) writeResponses() {
	w := responseWriterPool.Get().(*bufio.Writer)
	w.Reset(pieceWriter{s})
	defer responseWriterPool.Put(w)
	stopped := false
	for a := range s.responses {
		<-a.done
		s.recordProgress()
		s.inFlight.Add(-1)
		if stopped {
			s.finish(a)
			continue
		}
		last := a.response.close
		a.response.close = last || s.front.keepAlivesDisabled.Load() && !s.hasMoreRequests()
		a.response.write(w)
		// What is left is at most one buffer, and the caller may see its end before this goroutine runs again.
		a.holding.release()
		err := w.Flush()
		s.finish(a)
		s.lastWritten = err == nil && a.response.close
		if err != nil || last {
			stopped = true
			s.stopReading(err)
		}
	}
}

// finish ends the part of a response in what the session holds.
func (s *session) finish(a *pendingResponse) {
	a.holding.release()
	s.held.Add(int64(-a.held))
	s.unwritten.Add(-1)
	s.recordProgress()
	select {
	case s.taken <- struct{}{}:
	default:
	}
}

// abortStalled closes the connection of a caller that does not take its response.
func (s *session) abortStalled() {
	s.front.refuse(kindStalled, s.conn)
	s.abort()
}

// stalled reports whether the caller has taken nothing for a while of the response that is being written.
func (s *session) stalled(now time.Time) bool {
	since := s.writingSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) > stallGrace
}

// pieceWriter writes to the connection of a session in pieces, each of which the caller must take within the response timeout.
type pieceWriter struct {
	session *session
}

var _ stdio.Writer = pieceWriter{}

// Write implements io.Writer.
func (w pieceWriter) Write(p []byte) (int, error) {
	s := w.session
	defer s.writingSince.Store(0)
	written := 0
	for written < len(p) {
		now := time.Now()
		s.writingSince.Store(now.UnixNano())
		_ = s.conn.SetWriteDeadline(now.Add(s.front.callers.responseTimeout))
		n, err := s.conn.Write(p[written:min(len(p), written+minProgress)])
		written += n
		if err != nil {
			return written, err
		}
		s.recordProgress()
	}
	return written, nil
}
