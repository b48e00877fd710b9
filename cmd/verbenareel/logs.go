package main

import (
	"fmt"
	stdio "io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logLines bounds the lines that wait to be written. Further ones are dropped and counted.
	logLines = 1024
	// logFlush bounds the wait for the lines that are left at the end of the process.
	logFlush = 200 * time.Millisecond
	// logPerSecond bounds the lines of each message in a second. Further ones are left out and counted.
	logPerSecond = 100
	// leftOutPeriod is the time between two lines that tell how many lines of a message were left out.
	leftOutPeriod = 5 * time.Second
)

// logs is the logger of a process with what it does not write.
type logs struct {
	*zap.Logger
	level   zap.AtomicLevel
	writer  *logWriter
	leftOut *leftOut
}

// newLogger returns a logger that writes JSON lines to the output, of each message only the first few in a second.
func newLogger(level string, out stdio.Writer) (*logs, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l := &logs{level: zap.NewAtomicLevelAt(parsed), writer: newLogWriter(out), leftOut: newLeftOut()}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l.writer, l.level)
	// The lines that tell of others do not pass the sampler.
	l.leftOut.logger = zap.New(core)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, logPerSecond, 0, zapcore.SamplerHook(l.leftOut.note))
	l.Logger = zap.New(sampled, zap.AddCaller())
	return l, nil
}

// register registers the counters of lines that are not written.
func (l *logs) register(registerer prometheus.Registerer) {
	registerer.MustRegister(l.leftOut.total, prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "verbenareel_log_dropped_total",
		Help: "Log lines dropped since nobody read them.",
	}, func() float64 { return float64(l.writer.total.Load()) }))
}

// leftOut counts the lines of each message that the sampler leaves out, and tells of them now and then.
type leftOut struct {
	logger *zap.Logger
	total  *prometheus.CounterVec
	mu     sync.Mutex
	counts map[string]int
	told   time.Time
}

func newLeftOut() *leftOut {
	return &leftOut{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_log_left_out_total",
			Help: "Log lines left out since there were too many of the message in a second.",
		}, []string{"message"}),
		counts: make(map[string]int),
	}
}

// note takes a decision of the sampler.
func (o *leftOut) note(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	o.mu.Lock()
	if decision&zapcore.LogDropped != 0 {
		o.counts[entry.Message]++
		o.total.WithLabelValues(entry.Message).Inc()
	}
	if len(o.counts) == 0 || entry.Time.Sub(o.told) < leftOutPeriod {
		o.mu.Unlock()
		return
	}
	counts := o.counts
	o.counts, o.told = make(map[string]int), entry.Time
	o.mu.Unlock()
	for message, count := range counts {
		o.logger.Warn("log lines left out", zap.String("message", message), zap.Int("count", count))
	}
}

// logWriter writes lines in the background, so that a reader that does not read never holds up the process.
type logWriter struct {
	out     stdio.Writer
	lines   chan []byte
	waiting atomic.Int64
	dropped atomic.Int64
	total   atomic.Int64
	group   conc.WaitGroup
}

// newLogWriter returns a writer that lives as long as the process.
func newLogWriter(out stdio.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logLines)}
	w.group.Go(w.run)
	return w
}

// Write takes one line, or drops it if too many wait.
func (w *logWriter) Write(line []byte) (int, error) {
	w.waiting.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.waiting.Add(-1)
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines are written, but no longer than logFlush.
func (w *logWriter) Sync() error {
	for deadline := time.Now().Add(logFlush); w.waiting.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (w *logWriter) run() {
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
		}
		_, _ = w.out.Write(line)
		w.waiting.Add(-1)
	}
}
