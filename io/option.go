// Package io connects a node to the world: RPC between nodes, HTTP from callers and HTTP to the backend server.
//
// Server and Transport speak net/rpc with a protobuf codec. Front serves callers with the parsers of fasthttp. Backend writes and reads
// fasthttp's messages on its own connections, so that it knows whether any byte of a request was written and no library
// resends it.
package io

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"verbenareel/core"
)

// Default limits and times of the design page.
const (
	defaultMaxBody        = 1 << 20
	defaultConnections    = 256
	defaultDialTimeout    = 250 * time.Millisecond
	defaultWriteTimeout   = 2 * time.Second
	defaultReadTimeout    = 5 * time.Second
	defaultCallerWrite    = 10 * time.Second
	defaultSlotLimit      = 30 * time.Second
	defaultPingAfter      = 250 * time.Millisecond
	defaultSilentAfter    = 500 * time.Millisecond
	defaultNodeIdle       = 30 * time.Second
	defaultBackendIdle    = 10 * time.Second
	defaultCallerIdle     = 60 * time.Second
	defaultMaxServerConns = 4096

	// maxHeaderBytes bounds the HTTP header fields of a request or response.
	maxHeaderBytes = 16 << 10
	// maxDocument bounds the sections that nodes exchange; it is the bound of the platform.
	maxDocument = 1 << 20
	// frameRoom is what a message between nodes may hold besides the body.
	frameRoom = 64 << 10
)

type options struct {
	logger       *zap.Logger
	registerer   prometheus.Registerer
	clock        core.Clock
	maxBody      int
	connections  int
	dialTimeout  time.Duration
	writeTimeout time.Duration
	readTimeout  time.Duration
	idleTime     time.Duration
	slotLimit    time.Duration
	pingAfter    time.Duration
	silentAfter  time.Duration
	wire         *core.Wire
}

// Option sets a parameter of a Server, Transport, Backend or Front. An option that a part has no use for is ignored.
type Option func(*options)

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithRegisterer registers the counters of the part; parts may share one registerer.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(o *options) { o.registerer = registerer }
}

// WithClock sets the clock by which deadlines, silence and idle time are judged; the default is the system's.
// Read and write deadlines of sockets follow the system's clock always.
func WithClock(clock core.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithMaxBody bounds request and response bodies in bytes; the default is 1 MB. Messages of calls between nodes may be
// 64 KB larger; those of the peer exchange are bounded by the size of a document.
func WithMaxBody(size int) Option {
	return func(o *options) { o.maxBody = size }
}

// WithConnections bounds the open connections of a Backend (default 256), Server or Front (default 4096).
func WithConnections(count int) Option {
	return func(o *options) { o.connections = count }
}

// WithWriteTimeout bounds the time of one write to a node (default 2 s) or caller (default 10 s) that does not read.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(o *options) { o.writeTimeout = timeout }
}

// WithReadTimeout bounds the time in which a caller sends a whole request to a Front; the default is 5 s.
func WithReadTimeout(timeout time.Duration) Option {
	return func(o *options) { o.readTimeout = timeout }
}

// WithSlotLimit bounds the time that a Backend waits for the response to one request; the default is 30 s.
func WithSlotLimit(limit time.Duration) Option {
	return func(o *options) { o.slotLimit = limit }
}

// WithSilence sets after what time without a byte read a Transport pings a connection with calls in flight, and after
// what further time it closes it; the defaults are 250 ms and 500 ms.
func WithSilence(pingAfter, silentAfter time.Duration) Option {
	return func(o *options) { o.pingAfter, o.silentAfter = pingAfter, silentAfter }
}

// WithWire sets the format in which a Front or Backend speaks to callers or its backend server; the default is that of
// this project.
func WithWire(wire *core.Wire) Option {
	return func(o *options) { o.wire = wire }
}

func newOptions(opts []Option, idle time.Duration, connections int) options {
	o := options{
		logger:       zap.NewNop(),
		clock:        clockwork.NewRealClock(),
		maxBody:      defaultMaxBody,
		connections:  connections,
		dialTimeout:  defaultDialTimeout,
		writeTimeout: defaultWriteTimeout,
		readTimeout:  defaultReadTimeout,
		idleTime:     idle,
		slotLimit:    defaultSlotLimit,
		pingAfter:    defaultPingAfter,
		silentAfter:  defaultSilentAfter,
		wire:         core.OwnWire(),
	}
	for _, set := range opts {
		set(&o)
	}
	return o
}

// faults counts the errors of one part by kind.
type faults struct {
	vector *prometheus.CounterVec
	part   string
}

// newFaults returns the counters of a part. Parts that share a registerer share the collector.
func newFaults(registerer prometheus.Registerer, part string) faults {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenareel_io_errors_total",
		Help: "Connection and message errors by part and kind.",
	}, []string{"part", "kind"})
	if registerer == nil {
		return faults{vector: vector, part: part}
	}
	err := registerer.Register(vector)
	if known, ok := asRegistered(err); ok {
		vector = known
	}
	return faults{vector: vector, part: part}
}

func asRegistered(err error) (*prometheus.CounterVec, bool) {
	var known prometheus.AlreadyRegisteredError
	if !errors.As(err, &known) {
		return nil, false
	}
	vector, ok := known.ExistingCollector.(*prometheus.CounterVec)
	return vector, ok
}

func (f faults) count(kind string) { f.vector.WithLabelValues(f.part, kind).Inc() }
