package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, run and answered to a file, with the time since the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	text  *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{file: file, text: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *recorder) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.text, "%8.3f  ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.text, format+"\n", arguments...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
