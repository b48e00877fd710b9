// Package io implements the network I/O of a node: RPC between nodes, HTTP from callers, and HTTP to the backend server.
//
// Server and Transport use net/rpc with a protobuf codec. Front is the HTTP server for callers and uses the parsers of
// fasthttp. Backend is the HTTP client for the backend server. It uses the message types of fasthttp on its own
// connections, so that it knows whether any byte of a request has been written, and so that no library retries a request.
package io

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"verbenareel/core"
	"verbenareel/meter"
	"verbenareel/schema"
)

// Default limits and timeouts. See docs/design.md.
const (
	defaultMaxBody            = 1 << 20
	defaultMaxConnections     = 256
	defaultDialTimeout        = 250 * time.Millisecond
	defaultWriteTimeout       = 2 * time.Second
	defaultReadTimeout        = 5 * time.Second
	defaultCallerWriteTimeout = 10 * time.Second
	defaultResponseTimeout    = 30 * time.Second
	defaultPingAfter          = 250 * time.Millisecond
	defaultPingTimeout        = 500 * time.Millisecond
	defaultNodeIdleTimeout    = 30 * time.Second
	defaultBackendIdleTimeout = 10 * time.Second
	defaultCallerIdleTimeout  = 60 * time.Second
	defaultMaxServerConns     = 4096

	// maxHeaderBytes is the maximum size of the HTTP header of a request or response.
	maxHeaderBytes = 16 << 10
	// maxDocumentSize is the maximum size of the document sections that nodes exchange. The platform has the same limit.
	maxDocumentSize = 1 << 20
	// maxMessageOverhead is the maximum size of everything but the body in a message between nodes.
	maxMessageOverhead = 64 << 10
)

type options struct {
	logger          *zap.Logger
	registerer      prometheus.Registerer
	clock           core.Clock
	maxBody         int
	maxConnections  int
	dialTimeout     time.Duration
	writeTimeout    time.Duration
	readTimeout     time.Duration
	idleTimeout     time.Duration
	responseTimeout time.Duration
	pingAfter       time.Duration
	pingTimeout     time.Duration
	wire            *core.WireFormat
	memory          *Memory
	quotaPeer       core.QuotaPeer
	meter           *meter.Meter
	callerLimits    CallerLimits
	frameMemory     int
	documentLimits  func() (limits *schema.Limits, current bool)
	configuration   func() zapcore.ObjectMarshaler
}

// Option configures a Server, Transport, Backend or Front. Options that do not apply to a component are ignored.
type Option func(*options)

// WithLogger sets the logger. By default, logs are discarded.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithRegisterer registers the metrics of the component. Components may share a registerer.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(o *options) { o.registerer = registerer }
}

// WithClock sets the clock for request deadlines, silence detection and idle timeouts. The default is the system clock.
// Read and write deadlines of sockets always use the system clock.
func WithClock(clock core.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithMaxBody sets the maximum size of response bodies in bytes, and that of request bodies which count only toward the bound
// of a Server. The default is 1 MB. Call messages between nodes may be 64 KB larger. Gossip messages have a separate limit, which
// depends on the maximum size of a document.
func WithMaxBody(size int) Option {
	return func(o *options) { o.maxBody = size }
}

// WithMaxConnections sets the maximum number of open connections of a Backend (default 256), Server or Front (default 4096).
func WithMaxConnections(count int) Option {
	return func(o *options) { o.maxConnections = count }
}

// WithWriteTimeout sets the timeout of a blocked write to a node (default 2 s) or caller (default 10 s).
func WithWriteTimeout(timeout time.Duration) Option {
	return func(o *options) { o.writeTimeout = timeout }
}

// WithReadTimeout sets the time within which a caller must send the header of a request to a Front, and then its body. The
// default is 5 s each.
func WithReadTimeout(timeout time.Duration) Option {
	return func(o *options) { o.readTimeout = timeout }
}

// WithResponseTimeout sets the maximum time that a Backend waits for a response. The default is 30 s.
func WithResponseTimeout(timeout time.Duration) Option {
	return func(o *options) { o.responseTimeout = timeout }
}

// WithPingTimeouts configures the detection of silent connections. A Transport pings a connection with calls in flight when no
// data has been received for pingAfter (default 250 ms), and closes it when no data is received for another pingTimeout
// (default 500 ms).
func WithPingTimeouts(pingAfter, pingTimeout time.Duration) Option {
	return func(o *options) { o.pingAfter, o.pingTimeout = pingAfter, pingTimeout }
}

// WithWire sets the wire format between a Front and its callers, or a Backend and its backend server. The default is the
// native wire format.
func WithWire(wire *core.WireFormat) Option {
	return func(o *options) { o.wire = wire }
}

// WithMemory sets the budget for large bodies that a Backend, a Front and a Server share. By default each has its own, as large as
// that of a node.
func WithMemory(memory *Memory) Option {
	return func(o *options) { o.memory = memory }
}

// WithDocumentLimits sets the function that returns the limits of the document in force for callers of a Front, and whether that
// document is known to be the current one. It is called for each request, so that the request is read under the document by which
// it is routed. By default, all limits have their default values.
func WithDocumentLimits(limits func() (limits *schema.Limits, current bool)) Option {
	return func(o *options) { o.documentLimits = limits }
}

// WithConfiguration sets the function that returns the configuration in force for the log lines of a Front.
func WithConfiguration(configuration func() zapcore.ObjectMarshaler) Option {
	return func(o *options) { o.configuration = configuration }
}

// WithFrameMemory sets the maximum sum in bytes of the messages that a Server is reading. The default is 32 MB.
func WithFrameMemory(size int) Option {
	return func(o *options) { o.frameMemory = size }
}

func newOptions(opts []Option, idleTimeout time.Duration, maxConnections int) options {
	o := options{
		logger:          zap.NewNop(),
		clock:           clockwork.NewRealClock(),
		maxBody:         defaultMaxBody,
		maxConnections:  maxConnections,
		dialTimeout:     defaultDialTimeout,
		writeTimeout:    defaultWriteTimeout,
		readTimeout:     defaultReadTimeout,
		idleTimeout:     idleTimeout,
		responseTimeout: defaultResponseTimeout,
		pingAfter:       defaultPingAfter,
		pingTimeout:     defaultPingTimeout,
		wire:            core.NativeWire(),
		documentLimits:  func() (*schema.Limits, bool) { return nil, true },
		configuration: func() zapcore.ObjectMarshaler {
			return zapcore.ObjectMarshalerFunc(func(zapcore.ObjectEncoder) error { return nil })
		},
	}
	for _, set := range opts {
		set(&o)
	}
	if o.memory == nil {
		o.memory = DefaultMemory()
	}
	return o
}

// errorCounter counts the errors of one component by kind.
type errorCounter struct {
	vector *prometheus.CounterVec
	part   string
}

// newErrorCounter returns the errorCounter of a component. Components with the same registerer share the collector.
func newErrorCounter(registerer prometheus.Registerer, part string) errorCounter {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenareel_io_errors_total",
		Help: "Connection and message errors by part and kind.",
	}, []string{"part", "kind"})
	if registerer == nil {
		return errorCounter{vector: vector, part: part}
	}
	err := registerer.Register(vector)
	if existing, ok := alreadyRegistered(err); ok {
		vector = existing
	}
	return errorCounter{vector: vector, part: part}
}

func alreadyRegistered(err error) (*prometheus.CounterVec, bool) {
	var registered prometheus.AlreadyRegisteredError
	if !errors.As(err, &registered) {
		return nil, false
	}
	vector, ok := registered.ExistingCollector.(*prometheus.CounterVec)
	return vector, ok
}

func (c errorCounter) inc(kind string) { c.vector.WithLabelValues(c.part, kind).Inc() }
