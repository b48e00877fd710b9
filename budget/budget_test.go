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

// drawTimes returns a random schedule of clock readings with repeated values, intervals of a few nanoseconds or
// tokens, and backward steps.
func drawTimes(t *rapid.T, rate float64) []time.Time {
	interval := int64(float64(time.Second) / rate)
	pause := rapid.OneOf(
		rapid.Int64Range(0, 3),
		rapid.Int64Range(-5*interval, 2*interval),
		rapid.Int64Range(interval-2, interval+2),
		rapid.Int64Range(0, 1000*interval),
	)
	times := []time.Time{epoch}
	for _, p := range rapid.SliceOfN(pause, 300, 300).Draw(t, "pauses") {
		times = append(times, times[len(times)-1].Add(time.Duration(p)))
	}
	return times
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestBucketWindows guards against a window of any length in which more calls succeed than the budget allows, for any
// schedule of calls, pauses and clock steps.
func TestBucketWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.OneOf(rapid.Float64Range(0.01, 10), rapid.Float64Range(10, 1e6)).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := budget.New(rate, burst)
		var takes []time.Time
		high := epoch
		for _, now := range drawTimes(t, rate) {
			high = later(high, now)
			if !b.Take(now) {
				continue
			}
			takes = append(takes, high)
			for i, first := range takes {
				// The tolerance covers the rounding errors of this sum; the bucket itself counts whole nanoseconds.
				if bound := burst + rate*high.Sub(first).Seconds(); float64(len(takes)-i) > bound*(1+1e-12) {
					t.Fatalf("%d takes in %v exceed %v", len(takes)-i, high.Sub(first), bound)
				}
			}
		}
	})
}

// TestBucketRate guards against a bucket that grants fewer tokens than its rate, grants tokens without a rate or
// below a burst of one token, or grants one token to several concurrent callers.
func TestBucketRate(t *testing.T) {
	for _, test := range []struct {
		rate, burst          float64
		in10Seconds, inBurst int64
	}{{10, 1, 100, 1}, {0.3, 1, 3, 1}, {10, 5, 100, 5}, {0, 1, 0, 0}, {-1, 1, 0, 0}, {1e-300, 1, 0, 0}, {10, 0.5, 0, 0}} {
		c := qt.New(t)
		b := budget.New(test.rate, test.burst)
		var takes atomic.Int64
		take := func(now time.Time) {
			if b.Take(now) {
				takes.Add(1)
			}
		}
		for i := range 10_010 {
			take(epoch.Add(time.Duration(i) * time.Millisecond))
		}
		c.Check(takes.Swap(0), qt.Equals, test.in10Seconds, qt.Commentf("%+v", test))
		var group conc.WaitGroup
		for range 80 {
			group.Go(func() { take(epoch.Add(time.Hour)) })
		}
		group.Wait()
		c.Check(takes.Load(), qt.Equals, test.inBurst, qt.Commentf("%+v", test))
	}
}

// TestRatioBound guards against retries above the share of calls plus the constant rate.
func TestRatioBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio, floor := rapid.Float64Range(0, 1).Draw(t, "ratio"), rapid.Float64Range(0.1, 20).Draw(t, "floor")
		r := budget.NewRatio(ratio, floor, budget.RetryDecayTime)
		bound, high := 1e-6, epoch
		for _, now := range drawTimes(t, floor) {
			bound += floor * later(now, high).Sub(high).Seconds()
			high = later(now, high)
			if rapid.Bool().Draw(t, "earn") {
				r.Deposit(now)
				bound += ratio
			} else if r.Take(now) {
				bound--
			}
			if bound < 0 {
				t.Fatalf("takes exceed the budget by %v", -bound)
			}
		}
	})
}

// TestRatioDecays guards against a long quiet period that pays for a burst of retries, and against earned tokens that
// are lost too early.
func TestRatioDecays(t *testing.T) {
	c := qt.New(t)
	r := budget.NewRatio(0.5, 0, budget.HedgeDecayTime)
	now := epoch
	for _, test := range []struct {
		calls       int
		apart, then time.Duration
		want        int
	}{{36_000, 100 * time.Millisecond, 0, 50}, {20, 0, 10 * budget.HedgeDecayTime, 0}, {20, 0, 0, 10}} {
		for range test.calls {
			now = now.Add(test.apart)
			r.Deposit(now)
		}
		now = now.Add(test.then)
		takes := 0
		for r.Take(now) {
			takes++
		}
		c.Check(takes, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// TestRetryWindow guards against a quiet period after which the retries of the next 10 s exceed their share of the
// calls by half.
func TestRetryWindow(t *testing.T) {
	const perSecond, ratio = 50, 0.1
	r := budget.NewRatio(ratio, 0, budget.RetryDecayTime)
	now := epoch
	call := func() {
		now = now.Add(time.Second / perSecond)
		r.Deposit(now)
	}
	for range 60 * perSecond {
		call()
	}
	takes := 0
	for range 10 * perSecond {
		call()
		for r.Take(now) {
			takes++
		}
	}
	qt.Check(t, float64(takes) <= 1.25*ratio*10*perSecond, qt.IsTrue, qt.Commentf("%d retries", takes))
	qt.Check(t, float64(takes) >= 0.9*ratio*10*perSecond, qt.IsTrue, qt.Commentf("%d retries", takes))
}
