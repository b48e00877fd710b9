// Package budget implements token buckets for probes, retries and hedges. It does no I/O and reads no clock.
package budget

import (
	"math"
	"sync"
	"time"
)

// Bucket is a token bucket that starts empty, so that restarting a process grants no extra tokens. It stores its
// tokens as a whole number of nanoseconds of accrual, so rounding errors never add up to a token. In each window of
// length w at most burst + rate*w calls of Take succeed, for any schedule of calls and pauses.
//
// A Bucket is safe for concurrent use. A clock reading below an earlier one accrues nothing.
type Bucket struct {
	mu       sync.Mutex
	interval time.Duration
	capacity time.Duration
	credit   time.Duration
	clock    clock
}

// New returns a bucket that accrues rate tokens per second and holds at most burst tokens. It grants nothing if rate
// is not positive or burst is below 1. The accrual time of a token is rounded up to a whole nanosecond.
func New(rate, burst float64) *Bucket {
	interval := math.Ceil(float64(time.Second) / rate)
	capacity := math.Floor(burst * interval)
	if !(rate > 0) || !(interval < maxCredit) || !(burst >= 1) {
		return &Bucket{}
	}
	return &Bucket{
		interval: time.Duration(interval),
		capacity: time.Duration(math.Min(capacity, maxCredit)),
	}
}

// maxCredit caps the accrual time of a bucket at about 146 years, so that sums of durations don't overflow.
const maxCredit = float64(math.MaxInt64 / 2)

// Take removes one token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue(b.clock.advance(now))
	return b.spend()
}

func (b *Bucket) accrue(elapsed time.Duration) {
	if elapsed >= b.capacity-b.credit {
		b.credit = b.capacity
		return
	}
	b.credit += elapsed
}

func (b *Bucket) spend() bool {
	if b.interval == 0 || b.credit < b.interval {
		return false
	}
	b.credit -= b.interval
	return true
}

// clock converts clock readings into elapsed time that is never negative.
type clock struct {
	last    time.Time
	started bool
}

// advance returns the time since the highest earlier reading, or 0 for the first reading.
func (c *clock) advance(now time.Time) time.Duration {
	if !c.started {
		c.last = now
		c.started = true
		return 0
	}
	elapsed := now.Sub(c.last)
	if elapsed <= 0 {
		return 0
	}
	c.last = now
	return elapsed
}
