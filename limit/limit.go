// Package limit implements concurrency limiters for a backend server. It does no I/O and reads no clock.
package limit

import (
	"time"

	"verbenareel/core"
)

// Bounds are the settings of a service for a limiter.
type Bounds struct {
	// Cold is the concurrency that an instance in cold start can handle; at least 1.
	Cold int
	// Slots is the concurrency that a warm instance can handle; at least Cold.
	Slots int
	// WarmTime is the duration of the ramp from Cold to Slots.
	WarmTime time.Duration
	// Fixed keeps the limit at Slots in every state, or at the limit that the backend server reports if Slots is 0.
	Fixed bool
}

func (b Bounds) normalized() Bounds {
	if b.Fixed {
		b.Cold, b.WarmTime = b.Slots, 0
		return b
	}
	b.Cold = max(b.Cold, 1)
	b.Slots = max(b.Slots, b.Cold)
	b.WarmTime = max(b.WarmTime, 0)
	return b
}

// Fixed is a limiter with a constant limit, for comparison with Adaptive.
type Fixed struct {
	limit int
	bound int
}

// NewFixed returns a limiter that allows limit calls, or fewer if the backend server reports a lower limit.
func NewFixed(limit int) *Fixed { return &Fixed{limit: max(limit, 1)} }

// Limit implements core.Limiter.
func (f *Fixed) Limit(time.Time) int { return capped(f.limit, f.bound) }

// SetReportedLimit implements core.Limiter.
func (f *Fixed) SetReportedLimit(_ time.Time, limit int) { f.bound = limit }

// capped returns limit, capped at bound if bound is positive.
func capped(limit, bound int) int {
	if bound <= 0 {
		return limit
	}
	return min(limit, bound)
}

// Observe implements core.Limiter; it changes nothing.
func (f *Fixed) Observe(time.Time, core.Sample) {}

// ResetToCold implements core.Limiter; it changes nothing.
func (f *Fixed) ResetToCold(time.Time) {}
