package main

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
