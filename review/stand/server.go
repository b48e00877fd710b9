package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, server, caller string
	bytes              int
	start, end         time.Time
	ended              string
}

// appServer is a stand-in for an application server beside a node.
type appServer struct {
	id, service, address string
	slots                int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// leaving makes the health check answer 503, unless sayWell makes it answer 200 falsely.
	leaving, sayWell atomic.Bool
	// coldUntil is when the server is warm again.
	coldUntil time.Time
	// coldBound is the number of requests within a second beyond which the cold server crashes; 0 means none.
	coldBound int
	// pace returns how long work takes now, in hundredths of the usual time.
	pace func() int
	// streams reports whether the answer to a request is sent as it is made: the header and half of the body at once. Such an
	// answer has no length and ends with its connection, unless framed is set.
	streams func(r *http.Request) bool
	framed  bool
	crashed bool
	server  *http.Server
	log     *record

	mutex   sync.Mutex
	running int
	runs    []*run
	// arrivals holds the time at which each request reached the server.
	arrivals map[string]time.Time
}

func newAppServer(log *record, id, service, address string, work func(*http.Request) time.Duration) (*appServer, error) {
	a := &appServer{id: id, service: service, address: address, slots: 18, work: work, log: log, arrivals: map[string]time.Time{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

func (a *appServer) setLoad(w http.ResponseWriter) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,%d", a.running, a.slots, a.paceNow()))
}

func (a *appServer) paceNow() int {
	if a.pace == nil {
		return 100
	}
	return a.pace()
}

func (a *appServer) serve(w http.ResponseWriter, r *http.Request) {
	a.mutex.Lock()
	a.setLoad(w)
	if r.URL.Path == "/health" && r.Header.Get("Request-Id") == "" {
		a.mutex.Unlock()
		w.Header().Set("Instance-Id", a.id)
		if left := time.Until(a.coldUntil); left > 0 {
			w.Header().Set("Warmup-Ms", fmt.Sprint(left.Milliseconds()))
		}
		if a.leaving.Load() && !a.sayWell.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	a.mutex.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "sig-"+a.id+"-"+id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != a.id {
		w.Header().Set("Instance-Id", a.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mutex.Lock()
	a.arrivals[id] = time.Now()
	if a.tooMany() {
		a.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if a.running >= a.slots {
		a.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.running++
	current := &run{id: id, server: a.id, caller: r.Header.Get("Caller-Service"), bytes: len(body), start: time.Now()}
	a.runs = append(a.runs, current)
	a.mutex.Unlock()
	a.log.event("server %s runs %s", a.id, id)
	if a.streams != nil && a.streams(r) {
		a.stream(w, r, current)
		return
	}
	// A request is dropped when its connection closes.
	select {
	case <-time.After(a.work(r)):
		current.ended = "ok"
	case <-r.Context().Done():
		current.ended = "dropped"
	}
	a.mutex.Lock()
	current.end = time.Now()
	a.running--
	a.setLoad(w)
	a.mutex.Unlock()
	a.log.event("server %s ends %s: %s", a.id, id, current.ended)
	if current.ended != "ok" {
		// No answer: the connection is closed.
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "answer to %s from %s\n", id, a.id)
}

// wholeBody is the body of each answer that is sent as it is made.
func wholeBody(id string) string { return "first half of " + id + "\nsecond half of " + id + "\n" }

// stream sends the header and the first half of the body at once, and the rest when the work is done. The request is dropped,
// and the connection closed, when the other side closes it.
func (a *appServer) stream(w http.ResponseWriter, r *http.Request, current *run) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body, length := wholeBody(current.id), ""
	if a.framed {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s-%s\r\nServer-Load: 1,0,%d,%d\r\n%sConnection: close\r\n\r\n%s",
		current.id, a.id, current.id, a.slots, a.paceNow(), length, body[:len(body)/2])
	_ = buffered.Flush()
	closed := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}()
	ended := "dropped"
	select {
	case <-time.After(a.work(r)):
		ended = "ok"
		_, _ = conn.Write([]byte(body[len(body)/2:]))
	case <-closed:
	}
	a.mutex.Lock()
	current.ended, current.end = ended, time.Now()
	a.running--
	a.mutex.Unlock()
	a.log.event("server %s ends %s: %s", a.id, current.id, ended)
}

// tooMany reports whether the server has crashed, and lets it crash if it is cold and more requests than it bears came within
// the last second. It is called with the mutex held.
func (a *appServer) tooMany() bool {
	if a.crashed || a.coldBound == 0 || time.Now().After(a.coldUntil) {
		return a.crashed
	}
	count := 0
	for _, at := range a.arrivals {
		if time.Since(at) < time.Second {
			count++
		}
	}
	if count <= a.coldBound {
		return false
	}
	a.crashed = true
	a.log.say("server %s crashes: it is cold, and request %d within a second came", a.id, count)
	go func() { _ = a.server.Close() }()
	return true
}

func (a *appServer) runsOf(id string) []*run {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var found []*run
	for _, r := range a.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// entry returns the server's entry in the store.
func (a *appServer) entry(zone, state string, sequence int) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmup_left":"0ms"}}`,
		a.address, 1790000000000, a.service, zone, a.slots, state, sequence)
}
