package main

import (
	"fmt"
	stdio "io"
	"os"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logLines bounds the lines that wait to be written. Further ones are dropped and counted.
	logLines = 1024
	// logFlush bounds the wait for the lines that are left at the end of the process.
	logFlush = 200 * time.Millisecond
	// Of each message, the first logFirst lines in a second are written, then one in logThereafter.
	logFirst      = 100
	logThereafter = 100
)

// newLogger returns a logger that writes JSON lines to standard output, of each message only the first few in a second, and
// its level.
func newLogger(level string) (*zap.Logger, zap.AtomicLevel, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, fmt.Errorf("log level: %w", err)
	}
	atomicLevel := zap.NewAtomicLevelAt(parsed)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), newLogWriter(os.Stdout), atomicLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter)
	return zap.New(core, zap.AddCaller()), atomicLevel, nil
}

// logWriter writes lines in the background, so that a reader that does not read never holds up the process.
type logWriter struct {
	out     stdio.Writer
	lines   chan []byte
	waiting atomic.Int64
	dropped atomic.Int64
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
