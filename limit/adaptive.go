package limit

import (
	"math"
	"time"

	"verbenareel/core"
)

const (
	// recentWeight is the weight of one sample in the moving average of latency. Three successive samples at
	// maxSampleFactor raise the average above highLatencyFactor; one or two do not, so a single slow call does not
	// lower the limit.
	recentWeight = 0.125
	// maxSampleFactor caps a sample at this multiple of the baseline, so that one straggler counts as one sample.
	maxSampleFactor = 5.0
	// highLatencyFactor is the ratio of average to baseline above which the limit drops.
	highLatencyFactor = 2.0
	// coldLatencyFactor is the ratio of average to baseline above which the backend server counts as cold.
	coldLatencyFactor = 3.0
	// dropFactor is the factor applied to the limit at high latency.
	dropFactor = 0.7
	// normalTimeConstant is the time constant of the baseline at normal latency. Increases and decreases have the
	// same weight: a baseline that follows the fastest calls would make the average look high for every service whose
	// calls vary in length.
	normalTimeConstant = 2 * time.Second
	// lowLoadTimeConstant is the time constant at high latency while the backend server has no more calls in flight
	// than its cold limit. So few calls do not cause the latency.
	lowLoadTimeConstant = time.Second
	// highLoadTimeConstant is the time constant at high latency and higher load, where the calls may cause the
	// latency. It is long, so that the latency of an overload does not become the baseline.
	highLoadTimeConstant = time.Minute
	// maxBaselineWeight caps the weight of one sample when samples are rare.
	maxBaselineWeight = 0.05
)

// Adaptive is a limiter with additive increase per completed call at normal latency and multiplicative decrease at
// high latency (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989).
// High latency is defined relative to a baseline of latency at low load, as in TCP Vegas (Brakmo and Peterson, 1995).
// After a cold start the limit never exceeds a linear ramp from Bounds.Cold to Bounds.Slots over Bounds.WarmTime.
type Adaptive struct {
	bounds    Bounds
	coldSince time.Time
	limit     float64
	bound     int

	// baseline and recent are moving averages of latency in seconds; 0 before the first sample.
	baseline   float64
	recent     float64
	lastSample time.Time
	lastDrop   time.Time
}

// NewAdaptive returns a limiter that starts at the cold limit.
func NewAdaptive(now time.Time, bounds Bounds) *Adaptive {
	a := &Adaptive{bounds: bounds.normalized()}
	a.ResetToCold(now)
	return a
}

// Configure changes the bounds. The ramp continues from the last cold start.
func (a *Adaptive) Configure(bounds Bounds) {
	a.bounds = bounds.normalized()
	a.clamp()
}

// Limit implements core.Limiter.
func (a *Adaptive) Limit(now time.Time) int {
	if a.bounds.Fixed {
		return max(1, fixedLimit(a.bounds.Slots, a.bound))
	}
	limit := math.Min(a.limit, a.ramp(now))
	return capped(int(limit), a.bound)
}

// fixedLimit returns the lower of slots and bound; 0 means that the value is not set.
func fixedLimit(slots, bound int) int {
	if slots == 0 {
		return bound
	}
	return capped(slots, bound)
}

// Warm reports whether the ramp of the last cold start has ended.
func (a *Adaptive) Warm(now time.Time) bool { return now.Sub(a.coldSince) >= a.bounds.WarmTime }

// ResetToCold implements core.Limiter.
func (a *Adaptive) ResetToCold(now time.Time) {
	a.coldSince = now
	a.lastDrop = now
	a.limit = float64(a.bounds.Cold)
	a.recent = a.baseline
}

// SetReportedLimit implements core.Limiter.
func (a *Adaptive) SetReportedLimit(_ time.Time, limit int) { a.bound = max(limit, 0) }

// Observe implements core.Limiter. A failed call that is not slower than the baseline is ignored, because failing may
// be fast.
func (a *Adaptive) Observe(now time.Time, sample core.Sample) {
	latency := sample.Latency.Seconds()
	if latency <= 0 || a.bounds.Fixed {
		return
	}
	if sample.Failed && latency <= a.baseline {
		return
	}
	if a.baseline == 0 {
		a.baseline = latency
		a.recent = latency
		a.lastSample = now
	}
	latency = math.Min(latency, maxSampleFactor*a.baseline)
	a.recent += recentWeight * (latency - a.recent)
	a.adjustLimit(now, sample)
	a.updateBaseline(now, latency, sample.InFlight)
}

// adjustLimit raises or lowers the limit according to the average latency.
func (a *Adaptive) adjustLimit(now time.Time, sample core.Sample) {
	switch {
	case a.recent > coldLatencyFactor*a.baseline && a.Limit(now) > a.bounds.Cold:
		a.ResetToCold(now)
	case a.recent > highLatencyFactor*a.baseline:
		a.drop(now, sample)
	case !sample.Failed:
		a.limit += 1 / a.limit
	}
	a.clamp()
}

// drop lowers the limit, but only for a call that started after the last drop: earlier calls ran under the previous
// limit.
func (a *Adaptive) drop(now time.Time, sample core.Sample) {
	if now.Add(-sample.Latency).Before(a.lastDrop) {
		return
	}
	a.lastDrop = now
	a.limit = math.Min(a.limit, a.ramp(now)) * dropFactor
}

// updateBaseline moves the baseline towards a latency.
func (a *Adaptive) updateBaseline(now time.Time, latency float64, inFlight int) {
	elapsed := now.Sub(a.lastSample)
	a.lastSample = now
	constant := normalTimeConstant
	switch {
	case a.recent <= highLatencyFactor*a.baseline:
	case inFlight <= a.bounds.Cold:
		constant = lowLoadTimeConstant
	default:
		constant = highLoadTimeConstant
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	a.baseline += math.Min(weight, maxBaselineWeight) * (latency - a.baseline)
}

// ramp returns the highest limit at now during or after the last cold start.
func (a *Adaptive) ramp(now time.Time) float64 {
	if a.Warm(now) {
		return float64(a.bounds.Slots)
	}
	share := now.Sub(a.coldSince).Seconds() / a.bounds.WarmTime.Seconds()
	return float64(a.bounds.Cold) + math.Max(share, 0)*float64(a.bounds.Slots-a.bounds.Cold)
}

func (a *Adaptive) clamp() {
	a.limit = math.Max(a.limit, float64(a.bounds.Cold))
	a.limit = math.Min(a.limit, float64(a.bounds.Slots))
}
