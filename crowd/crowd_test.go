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

// measured is the number of callers of the measurement by hand; 0 skips it. See docs/design/callers.md.
var measured = flag.Int("callers", 0, "measure crowds of this many callers")

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

func newStand(t *testing.T, environment ...string) *Stand {
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

// TestMeasure prints the table of docs/design/callers.md. It runs only by hand.
func TestMeasure(t *testing.T) {
	if *measured == 0 {
		t.Skip("runs with -callers")
	}
	rows := [][]Kind{Kinds()}
	for _, kind := range Kinds() {
		rows = append(rows, []Kind{kind})
	}
	for _, kinds := range rows {
		s := newStand(t)
		c := Start(s.HTTP, EchoPath, *measured, bodySize, kinds...)
		c.WaitSent(callTime)
		status := s.Call(callTime / 2)
		peak, _ := s.PeakMemory()
		descriptors, _ := s.Descriptors()
		t.Logf("%v: peak %d MB, %d descriptors, then %d", kinds, peak>>20, descriptors, status)
		c.Close()
		s.Close()
	}
}
