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

// TestLogReader guards against a process that blocks because nobody reads its log output, and against lines that are
// dropped without being counted. TestColdStart in package proof found this with nodes that wrote to an unread pipe.
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

// TestLogStorm guards against a burst of rejected calls that floods the log, and against lines that are sampled out
// without being counted.
func TestLogStorm(t *testing.T) {
	var out syncBuffer
	l, err := newLogger("info", &out)
	qt.Assert(t, err, qt.IsNil)
	registry := prometheus.NewRegistry()
	l.registerMetrics(registry)
	began := time.Now()
	for range 20_000 {
		l.Info("call refused", zap.String("request", "1"))
	}
	seconds := int(time.Since(began)/time.Second) + 2
	l.Info("node started")
	qt.Check(t, l.Sync(), qt.IsNil)
	text := out.String()
	qt.Check(t, strings.Count(text, `"call refused","request"`) <= seconds*logMessageRate, qt.IsTrue)
	qt.Check(t, text, qt.Contains, `"msg":"log lines left out","message":"call refused","count":1}`)
	qt.Check(t, text, qt.Contains, "node started")
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fmt.Sprint(families), qt.Contains, "verbenareel_log_left_out_total")
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
