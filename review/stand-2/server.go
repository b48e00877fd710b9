package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serverSlots = 18
	// defaultWork is how long a request takes at a server.
	defaultWork = 40 * time.Millisecond
)

// run is one request that a server began to run.
type run struct {
	id, method, path, caller, server, service string
	at                                        time.Time
}

// action is what a server does with a request that it runs.
type action int

const (
	// actionAnswer answers with 200 after the work.
	actionAnswer action = iota
	// actionLose does the work and resets the connection in place of the answer.
	actionLose
	// actionFail503 does the work and answers with 503 and the server's signature, but without Not-Executed.
	actionFail503
	// actionCrashMidway crashes the server after it has written a part of the answer.
	actionCrashMidway
)

// server is a stand-in for an application server.
type server struct {
	record      *recorder
	id, service string
	address     string
	work        func() time.Duration
	listener    net.Listener
	group       sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	runs  []run
	// arrivals are the times of all requests but health checks and those answered 421.
	arrivals  []time.Time
	running   int
	draining  bool
	coldUntil time.Time
	// choose decides what happens to a request that the server runs; nil means that it is answered.
	choose func(r *http.Request) action
	ended  bool
	// onCrash is called after the server has crashed.
	onCrash func()
}

func newServer(record *recorder, id, service, address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", id, err)
	}
	s := &server{record: record, work: func() time.Duration { return defaultWork }, id: id, service: service, address: address, listener: listener, conns: make(map[net.Conn]struct{})}
	s.group.Go(s.accept)
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ended {
			_ = conn.Close()
		} else {
			s.conns[conn] = struct{}{}
			s.group.Go(func() { s.serve(conn) })
		}
		s.mu.Unlock()
	}
}

// end ends the server as a crash does: its port refuses connections and all connections are reset.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.listener.Close()
	for conn := range s.conns {
		reset(conn)
	}
}

// crash ends the server because of a request that it runs.
func (s *server) crash(id string) {
	s.record.printf("server %s crashes while it runs %s", s.id, id)
	s.end()
	if s.onCrash != nil {
		s.onCrash()
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *server) setChoose(choose func(r *http.Request) action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose = choose
}

// setWork sets how long a request takes; the default is defaultWork.
func (s *server) setWork(work func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// turnCold makes the server cold for coldTime from now on.
func (s *server) turnCold() {
	s.record.printf("server %s turns cold for %v", s.id, coldTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(coldTime)
}

// busiestSecond returns the largest number of arrivals within one second, from one time to another.
func (s *server) busiestSecond(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var window []time.Time
	busiest := 0
	for _, at := range s.arrivals {
		if at.Before(from) || at.After(to) {
			continue
		}
		window = append(window, at)
		for at.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		busiest = max(busiest, len(window))
	}
	return busiest
}

// runList returns the requests that the server has begun to run.
func (s *server) runList() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.handle(conn, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (s *server) handle(conn net.Conn, r *http.Request) bool {
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return s.health(conn)
	}
	id := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		return s.write(conn, id, http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\n", "")
	}
	if id == "" {
		return s.write(conn, id, http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.running >= serverSlots {
		s.mu.Unlock()
		return s.write(conn, id, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
	}
	s.running++
	s.runs = append(s.runs, run{id, r.Method, r.RequestURI, r.Header.Get("Caller-Service"), s.id, s.service, time.Now()})
	choose, work := s.choose, s.work
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	does := actionAnswer
	if choose != nil {
		does = choose(r)
	}
	s.record.printf("server %s (%s) runs %s %s %s, Caller-Service %s, Timeout-Ms %s", s.id, s.service, id, r.Method, r.RequestURI,
		r.Header.Get("Caller-Service"), r.Header.Get("Timeout-Ms"))
	time.Sleep(work())
	signature := "Response-Signature: " + s.id + "." + id + "\r\n"
	switch does {
	case actionLose:
		s.record.printf("server %s has run %s; its answer is lost", s.id, id)
		reset(conn)
		return false
	case actionFail503:
		s.record.printf("server %s has run %s; it answers 503", s.id, id)
		return s.write(conn, id, http.StatusServiceUnavailable, signature, "failed while running\n")
	case actionCrashMidway:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npart 1\n\r\n", signature, id)
		s.crash(id)
		return false
	}
	return s.write(conn, id, http.StatusOK, signature, "done by "+s.id+"\n")
}

func (s *server) health(conn net.Conn) bool {
	s.mu.Lock()
	left := max(0, time.Until(s.coldUntil).Milliseconds())
	draining := s.draining
	s.mu.Unlock()
	code := http.StatusOK
	if draining {
		code = http.StatusServiceUnavailable
	}
	return s.write(conn, "", code, "Instance-Id: "+s.id+"\r\nWarmup-Ms: "+strconv.FormatInt(left, 10)+"\r\n", "")
}

func (s *server) write(conn net.Conn, id string, code int, fields, body string) bool {
	if id != "" {
		fields += "Request-Id: " + id + "\r\n"
	}
	s.mu.Lock()
	fields += fmt.Sprintf("Server-Load: %d,0,%d,100\r\n", s.running, serverSlots)
	s.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), fields, len(body), body)
	return err == nil
}
