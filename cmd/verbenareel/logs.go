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
	// logQueueSize is the maximum number of lines queued for writing. Further lines are dropped and counted.
	logQueueSize = 1024
	// logSyncTimeout is how long Sync waits for queued lines when the process exits.
	logSyncTimeout = 200 * time.Millisecond
	// logMessageRate is the maximum number of lines per second with the same message. Further lines are sampled out and
	// counted.
	logMessageRate = 100
	// sampleReportInterval is the minimum time between two reports of the lines that were sampled out.
	sampleReportInterval = 5 * time.Second
)

// processLogger is the logger of a process together with counters of the lines that it does not write.
type processLogger struct {
	*zap.Logger
	level      zap.AtomicLevel
	writer     *logWriter
	sampledOut *sampledOut
}

// newLogger returns a logger that writes JSON lines to out, at most logMessageRate lines per second and message.
func newLogger(level string, out stdio.Writer) (*processLogger, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l := &processLogger{level: zap.NewAtomicLevelAt(parsed), writer: newLogWriter(out), sampledOut: newSampledOut()}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l.writer, l.level)
	// Reports of sampled-out lines bypass the sampler.
	l.sampledOut.logger = zap.New(core)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, logMessageRate, 0, zapcore.SamplerHook(l.sampledOut.onDecision))
	l.Logger = zap.New(sampled, zap.AddCaller())
	return l, nil
}

// registerMetrics registers the counters of lines that were dropped or sampled out.
func (l *processLogger) registerMetrics(registerer prometheus.Registerer) {
	registerer.MustRegister(l.sampledOut.total, prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "verbenareel_log_dropped_total",
		Help: "Log lines dropped since nobody read them or the reader has gone.",
	}, func() float64 { return float64(l.writer.totalDrops.Load()) }))
}

// sampledOut counts the lines per message that the sampler discards, and logs the counts periodically.
type sampledOut struct {
	logger     *zap.Logger
	total      *prometheus.CounterVec
	mu         sync.Mutex
	counts     map[string]int
	lastReport time.Time
}

func newSampledOut() *sampledOut {
	return &sampledOut{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_log_left_out_total",
			Help: "Log lines left out since there were too many of the message in a second.",
		}, []string{"message"}),
		counts: make(map[string]int),
	}
}

// onDecision is the hook of the sampler. It counts discarded lines and logs the counts if a report is due.
func (o *sampledOut) onDecision(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	o.mu.Lock()
	if decision&zapcore.LogDropped != 0 {
		o.counts[entry.Message]++
		o.total.WithLabelValues(entry.Message).Inc()
	}
	if len(o.counts) == 0 || entry.Time.Sub(o.lastReport) < sampleReportInterval {
		o.mu.Unlock()
		return
	}
	counts := o.counts
	o.counts, o.lastReport = make(map[string]int), entry.Time
	o.mu.Unlock()
	for message, count := range counts {
		o.logger.Warn("log lines left out", zap.String("message", message), zap.Int("count", count))
	}
}

// logWriter writes lines in the background, so that the process never blocks if nobody reads its output.
type logWriter struct {
	out             stdio.Writer
	lines           chan []byte
	pending         atomic.Int64
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	group           conc.WaitGroup
}

// newLogWriter returns a writer whose goroutine runs until the process exits.
func newLogWriter(out stdio.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logQueueSize)}
	w.group.Go(w.run)
	return w
}

// Write queues one line, or drops it if the queue is full.
func (w *logWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.unreportedDrops.Add(1)
		w.totalDrops.Add(1)
	}
	return len(line), nil
}

// Sync waits until all queued lines are written, for at most logSyncTimeout.
func (w *logWriter) Sync() error {
	for deadline := time.Now().Add(logSyncTimeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// run writes the queued lines, and a line with the number of dropped lines before the first line after a drop.
func (w *logWriter) run() {
	for line := range w.lines {
		if dropped := w.unreportedDrops.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
		}
		if _, err := w.out.Write(line); err != nil {
			// The reader has gone. There is no place to report it but the counter.
			w.totalDrops.Add(1)
		}
		w.pending.Add(-1)
	}
}
