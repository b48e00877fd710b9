package crowd

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// callers, bodySize and the bounds were fixed on the code before it bounded what callers make it hold.
	callers  = 200
	bodySize = 1 << 20
	// heapLimit makes the garbage collector run often, so that the peak shows what is held and not what is garbage.
	heapLimit = "GOMEMLIMIT=48MiB"
	maxPeak   = 90 << 20
	sendTime  = 2 * time.Second
	callTime  = 10 * time.Second
)

// measured is the number of callers of BenchmarkCrowd.
var measured = flag.Int("callers", 400, "measure crowds of this many callers")

// program is the program under test, built once by TestMain unless the environment names one.
var program = os.Getenv("VERBENAREEL_PROGRAM")

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "verbenareel")
	if err != nil {
		panic(err)
	}
	if program == "" {
		program = filepath.Join(directory, "verbenareel")
		if out, err := exec.Command("go", "build", "-o", program, "verbenareel/cmd/verbenareel").CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build: %v\n%s", err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

func newStand(t testing.TB, environment ...string) *Stand {
	t.Helper()
	s, err := NewStand(program, t.TempDir(), bodySize, "", environment...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	return s
}

// checkSurvives lets a crowd send and checks that the node lives, holds little memory and answers one ordinary call.
func checkSurvives(t *testing.T, s *Stand, address, path string, kinds ...Kind) {
	t.Helper()
	c := Start(address, path, callers, bodySize, kinds...)
	defer c.Close()
	c.WaitSent(sendTime)
	qt.Check(t, s.Running(), qt.IsTrue)
	qt.Check(t, s.Serves(callTime), qt.IsTrue)
	peak, err := s.PeakMemory()
	qt.Check(t, err, qt.IsNil)
	t.Logf("%v: peak %d MB", kinds, peak>>20)
	qt.Check(t, peak < maxPeak, qt.IsTrue, qt.Commentf("%v: peak %d MB", kinds, peak>>20))
}

// TestCrowds guards against a node that runs out of memory or refuses everyone because of a crowd of callers of one kind.
func TestCrowds(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			s := newStand(t, heapLimit)
			checkSurvives(t, s, s.HTTP, EchoPath, kind)
		})
	}
}

// TestCrowdOfAllKinds guards against the same with all kinds at once, and at a path without a rule.
func TestCrowdOfAllKinds(t *testing.T) {
	for _, path := range []string{EchoPath, "/nowhere"} {
		s := newStand(t, heapLimit)
		checkSurvives(t, s, s.HTTP, path, Kinds()...)
	}
}

// TestOtherListeners guards against a node that suffers from callers of its other listeners.
func TestOtherListeners(t *testing.T) {
	s := newStand(t, heapLimit)
	for _, address := range []string{s.Ready, s.Status, s.RPC} {
		checkSurvives(t, s, address, "/readyz", Kinds()...)
	}
}

// BenchmarkCrowd measures the rows of the table in docs/design/callers.md.
func BenchmarkCrowd(b *testing.B) {
	rows := [][]Kind{Kinds()}
	for _, kind := range Kinds() {
		rows = append(rows, []Kind{kind})
	}
	for _, kinds := range rows {
		b.Run(fmt.Sprint(kinds), func(b *testing.B) {
			for b.Loop() {
				measureCrowd(b, kinds)
			}
		})
	}
}

// measureCrowd reports what a node holds at its peak, and how it answers one ordinary call afterwards.
func measureCrowd(b *testing.B, kinds []Kind) {
	s := newStand(b)
	defer s.Close()
	c := Start(s.HTTP, EchoPath, *measured, bodySize, kinds...)
	defer c.Close()
	c.WaitSent(callTime)
	status := s.Call(callTime / 2)
	peak, _ := s.PeakMemory()
	descriptors, _ := s.Descriptors()
	b.ReportMetric(float64(peak>>20), "peak-MB")
	b.ReportMetric(float64(descriptors), "descriptors")
	b.ReportMetric(float64(status), "status")
}
