package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdio "io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"verbenareel/core"
)

// Request headers that the backend server reads.
const (
	// HeaderRequestID identifies a request in the counts of runs.
	HeaderRequestID = "Request-Id"
	// HeaderNested is the remaining depth of nested calls.
	HeaderNested = "Nested"
)

// Backend is a test double for a backend server. It serves HTTP with a limited number of slots, starts cold and records
// every run. It uses net/http because fasthttp does not inform a running handler that its client has disconnected.
type Backend struct {
	name        string
	listener    net.Listener
	address     string
	nodeAddress string
	slots       int
	coldSlots   int
	warmTime    time.Duration
	random      *rand.Rand
	done        chan struct{}

	mu          sync.Mutex
	control     Control
	coldSince   time.Time
	incarnation uint64
	inFlight    int
	stats       Stats
	runs        map[string]int
	customers   customerCounts
	loadHistory []loadSnapshot
	// coldStarts holds the start times of the runs that started during the last second while the server was cold.
	coldStarts []time.Time
}

// Control configures the behaviour of a running Backend.
type Control struct {
	// ServiceTime is the mean service time in milliseconds.
	ServiceTime float64 `json:"service_time_ms"`
	// Factor multiplies the service time; for example, 10 simulates a straggler.
	Factor float64 `json:"factor"`
	// Fixed makes every service time equal to the mean.
	Fixed bool `json:"fixed"`
	// FailFast makes the server answer every call immediately with status 500.
	FailFast bool `json:"fail_fast"`
	// Draining makes the load reports contain the state draining.
	Draining bool `json:"draining"`
	// Silent hides the cold state from load reports.
	Silent bool `json:"silent"`
	// Lag is the age of the data in load reports in milliseconds.
	Lag int `json:"lag_ms"`
	// ShedAt is the number of calls in flight at which the server starts to shed load; 0 disables load shedding.
	ShedAt int `json:"shed_at"`
	// CrashOn is a text that makes the server crash if the request body contains it.
	CrashOn string `json:"crash_on"`
	// Down is how long the server stays down after a crash, in milliseconds.
	Down int `json:"down_ms"`
}

// Stats holds the counters of a Backend since its creation. Crashes do not reset them.
type Stats struct {
	Runs        int `json:"runs"`
	Duplicates  int `json:"doubled"`
	Completed   int `json:"completed"`
	Cancelled   int `json:"cancelled"`
	Shed        int `json:"shed"`
	Crashes     int `json:"crashes"`
	Probes      int `json:"probes"`
	MaxInFlight int `json:"max_in_flight"`
	// Overloads is the number of calls that started while the server had no capacity left.
	Overloads int `json:"overloads"`
	// ColdExcess is the maximum number of calls in flight above the current capacity while the server was cold.
	ColdExcess int `json:"cold_excess"`
	// ColdBegun is the maximum number of runs that started within one second while the server was cold.
	ColdBegun int `json:"cold_begun"`
	// LastRun is the start time of the last run in Unix milliseconds.
	LastRun int64 `json:"last_run_ms"`
}

type loadSnapshot struct {
	at       time.Time
	inFlight int
	cold     bool
	draining bool
}

// BackendOption configures a Backend.
type BackendOption func(*Backend)

// WithSlots sets the concurrency of the warm server and of the cold server, and how long it takes to warm up. The default
// is 18 slots, 2 cold slots and 4 s.
func WithSlots(slots, cold int, warmTime time.Duration) BackendOption {
	return func(b *Backend) {
		b.slots = slots
		b.coldSlots = cold
		b.warmTime = warmTime
	}
}

// WithControl sets the initial behaviour.
func WithControl(control Control) BackendOption {
	return func(b *Backend) { b.control = control }
}

// WithNode sets the HTTP address of the server's node, which handles nested calls. By default the server makes none.
func WithNode(address string) BackendOption {
	return func(b *Backend) { b.nodeAddress = address }
}

// WithWarm makes the server start warm.
func WithWarm() BackendOption {
	return func(b *Backend) { b.coldSince = time.Now().Add(-24 * time.Hour) }
}

// NewBackend returns a backend server that listens on address, given as IP:port.
func NewBackend(name, address string, opts ...BackendOption) (*Backend, error) {
	b := &Backend{
		name:        name,
		slots:       18,
		coldSlots:   2,
		warmTime:    4 * time.Second,
		control:     Control{ServiceTime: 5, Factor: 1},
		coldSince:   time.Now(),
		incarnation: rand.Uint64(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		done:        make(chan struct{}),
		runs:        make(map[string]int),
	}
	for _, o := range opts {
		o(b)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the backend server: %w", err)
	}
	b.listener = listener
	b.address = listener.Addr().String()
	return b, nil
}

// Address returns the listen address of the server.
func (b *Backend) Address() string { return b.address }

// Done returns a channel that is closed when Serve has returned.
func (b *Backend) Done() <-chan struct{} { return b.done }

// Serve answers calls until ctx is cancelled. After a crash it waits for Control.Down and listens again.
func (b *Backend) Serve(ctx context.Context) error {
	defer close(b.done)
	listener := b.listener
	for {
		crashed, err := b.serveOnce(ctx, listener)
		if !crashed || err != nil {
			return err
		}
		b.mu.Lock()
		down := time.Duration(b.control.Down) * time.Millisecond
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(down, time.Millisecond)):
		}
		if listener, err = net.Listen("tcp", b.address); err != nil {
			return fmt.Errorf("listen again after a crash: %w", err)
		}
		b.restart()
	}
}

// serveOnce serves until ctx is cancelled or the server crashes.
func (b *Backend) serveOnce(ctx context.Context, listener net.Listener) (crashed bool, err error) {
	crash := make(chan struct{})
	var once sync.Once
	mux := http.NewServeMux()
	mux.HandleFunc(core.ProbePath, b.handleProbe)
	mux.HandleFunc("/fake/control", b.handleControl)
	mux.HandleFunc("/fake/stats", b.handleStats)
	mux.HandleFunc("/fake/runs", b.handleRuns)
	mux.HandleFunc("/fake/customers", b.handleCustomers)
	mux.HandleFunc("/fake/cold", func(w http.ResponseWriter, _ *http.Request) {
		b.restart()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/fake/crash", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		once.Do(func() { close(crash) })
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		b.handleCall(w, r, func() { once.Do(func() { close(crash) }) })
	})
	open := &connTracker{open: make(map[*net.TCPConn]struct{})}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ConnState: open.track}
	var group conc.WaitGroup
	failed := make(chan error, 1)
	group.Go(func() { failed <- server.Serve(listener) })
	defer group.Wait()
	select {
	case <-ctx.Done():
		_ = server.Close()
		return false, nil
	case <-crash:
		open.abort()
		_ = server.Close()
		return true, nil
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return false, nil
		}
		return false, fmt.Errorf("serve calls: %w", err)
	}
}

// connTracker tracks the open connections of a server so that a crash can reset them.
type connTracker struct {
	mu   sync.Mutex
	open map[*net.TCPConn]struct{}
}

// track is the ConnState hook of the server.
func (s *connTracker) track(c net.Conn, state http.ConnState) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[tcp] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, tcp)
	}
}

// abort makes closing the connections send a reset, as the kernel does when a process crashes.
func (s *connTracker) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.SetLinger(0)
	}
}

// restart makes the server cold and gives it a new incarnation.
func (b *Backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldSince = time.Now()
	b.incarnation = rand.Uint64()
}

// Cold makes the server cold without changing its incarnation, so that nodes do not see a restart.
func (b *Backend) Cold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldSince = time.Now()
}

// Set applies a change to the behaviour.
func (b *Backend) Set(change func(*Control)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.control)
}

// Stats returns the current counters.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Runs returns how often the request with the given ID ran.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// capacity returns the number of concurrent calls that the server can handle at now. It grows linearly while the server
// warms up.
func (b *Backend) capacity(now time.Time) int {
	warm := now.Sub(b.coldSince)
	if warm >= b.warmTime {
		return b.slots
	}
	gain := float64(b.slots-b.coldSlots) * float64(warm) / float64(b.warmTime)
	return b.coldSlots + int(gain)
}

// handleCall runs one call.
func (b *Backend) handleCall(w http.ResponseWriter, r *http.Request, crash func()) {
	body, err := stdio.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	control := b.control
	if control.ShedAt > 0 && b.inFlight >= control.ShedAt {
		b.stats.Shed++
		b.mu.Unlock()
		w.Header().Set(core.HeaderNotRun, "shed")
		b.writeLoad(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.customers.record(r.Header)
	duration := b.startRun(r.Header.Get(HeaderRequestID), control)
	crashes := control.CrashOn != "" && bytes.Contains(body, []byte(control.CrashOn))
	if crashes {
		b.stats.Crashes++
	}
	b.mu.Unlock()
	defer b.endRun()
	if crashes {
		crash()
		<-r.Context().Done()
		return
	}
	if control.FailFast {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		b.mu.Lock()
		b.stats.Cancelled++
		b.mu.Unlock()
		return
	}
	b.respond(w, r, body)
}

// recordColdStart records a run that starts while the server is cold. The caller must hold mu.
func (b *Backend) recordColdStart(now time.Time) {
	old := 0
	for old < len(b.coldStarts) && now.Sub(b.coldStarts[old]) >= time.Second {
		old++
	}
	b.coldStarts = append(b.coldStarts[old:], now)
	b.stats.ColdBegun = max(b.stats.ColdBegun, len(b.coldStarts))
}

// startRun records a run and returns its service time. The caller must hold mu.
func (b *Backend) startRun(id string, control Control) time.Duration {
	now := time.Now()
	capacity := b.capacity(now)
	b.inFlight++
	b.stats.Runs++
	b.stats.LastRun = now.UnixMilli()
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, b.inFlight)
	if id != "" {
		b.runs[id]++
		if b.runs[id] == 2 {
			b.stats.Duplicates++
		}
	}
	if capacity < b.slots {
		b.recordColdStart(now)
	}
	slowdown := 1.0
	if b.inFlight > capacity {
		b.stats.Overloads++
		slowdown = float64(b.inFlight) / float64(capacity)
		if capacity < b.slots {
			b.stats.ColdExcess = max(b.stats.ColdExcess, b.inFlight-capacity)
			slowdown *= slowdown
		}
	}
	mean := control.ServiceTime * control.Factor * slowdown
	if control.Fixed {
		return time.Duration(mean * float64(time.Millisecond))
	}
	// Half of the service time is constant and half is exponentially distributed, so that the distribution has a tail.
	return time.Duration((mean/2 + b.random.ExpFloat64()*mean/2) * float64(time.Millisecond))
}

func (b *Backend) endRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// respond completes a run and writes its response. If the request asks for a nested call, the call is made first.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	b.mu.Lock()
	b.stats.Completed++
	b.mu.Unlock()
	if nested, _ := strconv.Atoi(r.Header.Get(HeaderNested)); nested > 0 && b.nodeAddress != "" {
		b.callNested(w, r, body, nested)
		return
	}
	b.writeLoad(w)
	answer := Answer(b.name, r.Header.Get(HeaderRequestID), r.URL.RequestURI(), body)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// Answer returns the response body of a backend server. It consists of the name of the server and a text that depends
// only on the request.
func Answer(name, id, uri string, body []byte) []byte {
	return fmt.Appendf(nil, "%s|%s|%s|%s", name, id, uri, body)
}

// callNested makes the nested call through the server's node and forwards the response.
func (b *Backend) callNested(w http.ResponseWriter, r *http.Request, body []byte, nested int) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+b.nodeAddress+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, name := range []string{core.HeaderDepth, core.HeaderTimeout, HeaderRequestID} {
		request.Header.Set(name, r.Header.Get(name))
	}
	request.Header.Set(HeaderNested, strconv.Itoa(nested-1))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := stdio.ReadAll(response.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, name := range []string{core.HeaderRetried, core.HeaderOutcome} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	b.writeLoad(w)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer)
}

// writeLoad sets the load report header. The report is delayed by Control.Lag.
func (b *Backend) writeLoad(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	current := loadSnapshot{
		at:       now,
		inFlight: b.inFlight,
		cold:     b.capacity(now) < b.slots && !b.control.Silent,
		draining: b.control.Draining,
	}
	b.loadHistory = append(b.loadHistory, current)
	shown := b.loadHistory[0]
	limit := now.Add(-time.Duration(b.control.Lag) * time.Millisecond)
	for len(b.loadHistory) > 1 && !b.loadHistory[1].at.After(limit) {
		b.loadHistory = b.loadHistory[1:]
		shown = b.loadHistory[0]
	}
	w.Header().Set(core.HeaderLoad, fmt.Sprintf("in-flight=%d; limit=%d; state=%s; incarnation=%d",
		shown.inFlight, b.slots, shown.state(), b.incarnation))
}

func (r loadSnapshot) state() string {
	switch {
	case r.draining:
		return "draining"
	case r.cold:
		return "cold"
	default:
		return "warm"
	}
}

func (b *Backend) handleProbe(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	b.stats.Probes++
	b.mu.Unlock()
	b.writeLoad(w)
	w.WriteHeader(http.StatusNoContent)
}

// handleControl merges the JSON request body into the behaviour.
func (b *Backend) handleControl(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	control := b.control
	if err := json.NewDecoder(r.Body).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.control = control
	w.WriteHeader(http.StatusNoContent)
}

func (b *Backend) handleStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Stats()) }

// handleRuns responds with the number of runs of each request.
func (b *Backend) handleRuns(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	runs := maps.Clone(b.runs)
	b.mu.Unlock()
	writeJSON(w, runs)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
