package simul

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/picker"
)

var choosers = []struct {
	name  string
	build func(picker.Source) core.Chooser
}{
	{"expected", func(s picker.Source) core.Chooser { return picker.NewExpectedLatency(s) }},
	{"random", func(s picker.Source) core.Chooser { return picker.NewRandom(s) }},
	{"round robin", func(s picker.Source) core.Chooser { return picker.NewRoundRobin(s) }},
	{"least outstanding", func(s picker.Source) core.Chooser { return picker.NewLeastOutstanding(s) }},
}

// BenchmarkChoosers prints a comparison of the choosers. Run it with go test -bench Choosers -benchtime 1x
// ./picker/simul
func BenchmarkChoosers(b *testing.B) {
	for b.Loop() {
		for _, load := range []float64{0.5, 0.8} {
			for _, s := range Scenarios(load, 8*time.Second) {
				for _, c := range choosers {
					fmt.Printf("%2.0f%% %-28s %-18s %v\n", 100*s.Load, s.Name, c.name, Simulate(s, 1, c.build))
				}
			}
		}
	}
}

// TestExpectedLatency guards against a chooser that exceeds its bounds under a fault, or that fails more calls than random
// choice does. The bounds lie above the measured values.
func TestExpectedLatency(t *testing.T) {
	bounds := map[string]struct{ p99, failed float64 }{
		"steady":           {80, 0},
		"straggler of 10x": {120, 1},
		"fail-fast":        {85, 1.5},
		"reports 1 s old":  {80, 0.01},
	}
	for _, s := range Scenarios(0.8, 2*time.Second) {
		bound, ok := bounds[s.Name]
		if !ok {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			expected := Simulate(s, 1, choosers[0].build)
			t.Log(expected)
			p99, failed := expected.figures()
			qt.Check(t, p99 <= bound.p99, qt.IsTrue)
			qt.Check(t, failed <= bound.failed, qt.IsTrue)
			if s.Fault != nil {
				_, random := Simulate(s, 1, choosers[1].build).figures()
				qt.Check(t, failed <= random, qt.IsTrue)
			}
		})
	}
}

// figures returns the 99th percentile of the latency in milliseconds and the failure rate in percent.
func (r *Result) figures() (p99, failed float64) {
	return float64(r.Latency.ValueAtQuantile(99)) / 1000, 100 * float64(r.Failed) / float64(r.Calls)
}

// TestShare guards against an instance that keeps its share of the calls while it is slow or failing, or that gets too
// few after it has recovered.
func TestShare(t *testing.T) {
	for _, test := range []struct {
		name    string
		degrade func(*Run)
	}{
		{"straggler", func(r *Run) { r.Slow(1, 10) }},
		{"fail-fast", func(r *Run) { r.FailFast(1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := Scenarios(0.5, 12*time.Second)[0]
			s.Fault = func(r *Run) {
				test.degrade(r)
				r.After(3*time.Second, func() { r.Recover(1) })
			}
			result := Simulate(s, 1, choosers[0].build)
			bad := result.Share(1, 1100*time.Millisecond, 4*time.Second)
			again := result.Share(1, 11*time.Second, 12*time.Second)
			qt.Check(t, bad <= 0.02, qt.IsTrue, qt.Commentf("share %v while bad", bad))
			qt.Check(t, again >= 0.08, qt.IsTrue, qt.Commentf("share %v after recovery", again))
		})
	}
}
