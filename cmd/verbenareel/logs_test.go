package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// TestLogReader guards against a process that stands still since nobody reads its log, and against lines that are dropped
// without a word. Found by TestColdStart in package proof, whose nodes wrote to a pipe that nobody reads.
func TestLogReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = reader.Close() }()
	w := newLogWriter(writer)
	line := []byte(strings.Repeat("x", 199) + "\n")
	began := time.Now()
	for range 20_000 {
		_, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, w.Sync(), qt.IsNil)
	qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue)
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() && !strings.Contains(scanner.Text(), "log lines dropped") {
		continue
	}
	qt.Check(t, scanner.Text(), qt.Matches, `.*"count":\d+.*`)
}

// TestLogStorm guards against a storm of refusals that fills the log, or that leaves lines out without a word.
func TestLogStorm(t *testing.T) {
	var out buffer
	l, err := newLogger("info", &out)
	qt.Assert(t, err, qt.IsNil)
	registry := prometheus.NewRegistry()
	l.register(registry)
	began := time.Now()
	for range 20_000 {
		l.Info("call refused", zap.String("request", "1"))
	}
	seconds := int(time.Since(began)/time.Second) + 2
	l.Info("node started")
	qt.Check(t, l.Sync(), qt.IsNil)
	text := out.String()
	qt.Check(t, strings.Count(text, `"call refused","request"`) <= seconds*logPerSecond, qt.IsTrue)
	qt.Check(t, text, qt.Contains, `"msg":"log lines left out","message":"call refused","count":1}`)
	qt.Check(t, text, qt.Contains, "node started")
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fmt.Sprint(families), qt.Contains, "verbenareel_log_left_out_total")
}

// buffer is a writer that may be read while it is written.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
