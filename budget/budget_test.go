package budget_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"verbenareel/budget"
)

var epoch = time.Unix(1000, 0)

// pause draws the time between two calls: none, a few nanoseconds, a step back, or long enough to fill a bucket.
func pause(t *rapid.T, rate float64) time.Duration {
	interval := int64(float64(time.Second) / rate)
	drawn := rapid.OneOf(
		rapid.Just(int64(0)),
		rapid.Int64Range(-5*interval, 0),
		rapid.Int64Range(0, 3),
		rapid.Int64Range(0, 2*interval),
		rapid.Int64Range(interval-2, interval+2),
		rapid.Int64Range(0, 1000*interval),
	)
	return time.Duration(drawn.Draw(t, "pause"))
}

// TestBucketWindows guards against a window of any length that holds more calls than its budget, under any schedule of
// calls, pauses and clock steps.
func TestBucketWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.OneOf(rapid.Float64Range(0.01, 10), rapid.Float64Range(10, 1e6)).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := budget.New(rate, burst)
		b.Take(epoch)
		now, high := epoch, epoch
		var takes []time.Time
		for range 300 {
			now = now.Add(pause(t, rate))
			if now.After(high) {
				high = now
			}
			if b.Take(now) {
				takes = append(takes, high)
			}
		}
		for i := range takes {
			for j := i; j < len(takes); j++ {
				window := takes[j].Sub(takes[i]).Seconds()
				// The tolerance covers the rounding of this sum; the bucket itself counts whole nanoseconds.
				if bound := burst + rate*window; float64(j-i+1) > bound*(1+1e-12) {
					t.Fatalf("%d takes in %v s exceed %v", j-i+1, window, bound)
				}
			}
		}
	})
}

// TestBucketRate guards against a bucket that grants less than its rate, or anything at a rate of zero.
func TestBucketRate(t *testing.T) {
	tests := []struct {
		name        string
		rate, burst float64
		want        int
	}{
		{"whole", 10, 1, 100},
		{"fraction", 0.3, 1, 3},
		{"burst", 10, 5, 100},
		{"zero rate", 0, 1, 0},
		{"negative rate", -1, 1, 0},
		{"tiny rate", 1e-300, 1, 0},
		{"burst below a token", 10, 0.5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := budget.New(test.rate, test.burst)
			takes := 0
			for i := range 10_010 {
				if b.Take(epoch.Add(time.Duration(i) * time.Millisecond)) {
					takes++
				}
			}
			qt.New(t).Assert(takes, qt.Equals, test.want)
		})
	}
}

// TestBucketConcurrent guards against concurrent callers that take one token twice.
func TestBucketConcurrent(t *testing.T) {
	b := budget.New(1, 3)
	b.Take(epoch)
	var takes atomic.Int64
	var group conc.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				if b.Take(epoch.Add(time.Hour)) {
					takes.Add(1)
				}
			}
		})
	}
	group.Wait()
	qt.New(t).Assert(takes.Load(), qt.Equals, int64(3))
}

// TestRatioBound guards against retries that exceed the share of calls plus the constant rate.
func TestRatioBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		floor := rapid.Float64Range(0.1, 20).Draw(t, "floor")
		r := budget.NewRatio(ratio, floor)
		r.Take(epoch)
		now, high := epoch, epoch
		earns, takes := 0, 0
		for range 300 {
			now = now.Add(pause(t, floor))
			if now.After(high) {
				high = now
			}
			if rapid.Bool().Draw(t, "earn") {
				r.Earn(now)
				earns++
			} else if r.Take(now) {
				takes++
			}
			bound := ratio*float64(earns) + floor*high.Sub(epoch).Seconds()
			if float64(takes) > bound+1e-6 {
				t.Fatalf("%d takes exceed %v", takes, bound)
			}
		}
	})
}

// TestRatioDecays guards against a calm hour that pays for a storm of retries, and against a share that is lost.
func TestRatioDecays(t *testing.T) {
	c := qt.New(t)
	r := budget.NewRatio(0.5, 0)
	spend := func(now time.Time) (takes int) {
		for r.Take(now) {
			takes++
		}
		return takes
	}
	now := epoch
	for range 36_000 {
		now = now.Add(100 * time.Millisecond)
		r.Earn(now)
	}
	c.Assert(spend(now), qt.Equals, 50)
	for range 20 {
		r.Earn(now)
	}
	c.Assert(spend(now.Add(10*budget.Memory)), qt.Equals, 0)
	for range 20 {
		r.Earn(now)
	}
	c.Assert(spend(now), qt.Equals, 10)
}
