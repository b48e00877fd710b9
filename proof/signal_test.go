package proof

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// hangupEvery signals SIGHUP to the process at the interval until it has exited or the timeout has passed.
func hangupEvery(p *process, interval, timeout time.Duration) {
	deadline := time.After(timeout)
	for {
		p.signal(syscall.SIGHUP)
		select {
		case <-p.exited:
			return
		case <-deadline:
			return
		case <-time.After(interval):
		}
	}
}

// TestHangupDuringShutdown guards against a node that SIGHUP ends while it shuts down gracefully, which cuts off the calls
// in progress: a settings file may change at any time.
func TestHangupDuringShutdown(t *testing.T) {
	shape := smallShape(1)
	shape.ServiceTime = 600
	f := startFleet(t, shape)
	stopped := f.instances[0]
	// By default service times vary up to several times the mean, beyond the timeout of the call.
	stopped.control(t, `{"fixed": true}`)
	var group conc.WaitGroup
	defer group.Wait()
	codes := make(chan int, 1)
	group.Go(func() {
		code := 0
		if response, err := http.Get("http://" + stopped.http + "/sheets/1"); err == nil {
			code = response.StatusCode
			_ = response.Body.Close()
		}
		codes <- code
	})
	waitFor(t, 5*time.Second, "the call is in progress", func() bool { return stopped.stats(t).Runs > 0 })
	stopped.node.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	hangupEvery(stopped.node, 5*time.Millisecond, 10*time.Second)
	qt.Check(t, <-codes, qt.Equals, http.StatusOK)
	<-stopped.node.exited
	qt.Check(t, stopped.node.err, qt.IsNil)
}

// TestHangupDuringStart guards against a node that SIGHUP ends before it has read its settings. The settings are a named pipe,
// which holds the node where it reads them.
func TestHangupDuringStart(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "node.toml")
	qt.Assert(t, syscall.Mkfifo(settings, 0o600), qt.IsNil)
	p, _ := startProcess(t, "node", "--settings", settings)
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = pipe.Close() }()
	hangupEvery(p, time.Millisecond, 100*time.Millisecond)
	select {
	case <-p.exited:
		t.Errorf("SIGHUP ended the process: %v", p.err)
	default:
	}
}

// TestLogReaderGone guards against a node that ends because the reader of its log has gone: the next line that it writes to
// the closed pipe raises SIGPIPE. The lines that are lost must be counted.
func TestLogReaderGone(t *testing.T) {
	f := startFleet(t, smallShape(1))
	i := f.instances[0]
	qt.Assert(t, i.node.stdout.Close(), qt.IsNil)
	i.node.signal(syscall.SIGHUP)
	waitFor(t, 2*time.Second, "a lost line is counted", func() bool {
		select {
		case <-i.node.exited:
			t.Fatalf("the node ended: %v", i.node.err)
		default:
		}
		return i.metric(t, "verbenareel_log_dropped_total") > 0
	})
	response, err := http.Get("http://" + i.http + "/sheets/1")
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
	i.node.signal(syscall.SIGTERM)
	<-i.node.exited
	qt.Check(t, i.node.err, qt.IsNil)
}
