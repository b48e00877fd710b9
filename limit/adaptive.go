package limit

import (
	"math"
	"time"

	"verbenareel/core"
)

const (
	// recentWeight is the weight of one sample in the moving average of latency. Three successive samples at
	// clipFactor lift the average over highFactor, one or two do not, so a single slow call lowers nothing.
	recentWeight = 0.125
	// clipFactor bounds a sample to this multiple of the baseline, so that one straggler counts as one sample.
	clipFactor = 5.0
	// highFactor is the ratio of average to baseline at which the limit drops.
	highFactor = 2.0
	// jumpFactor is the ratio at which the backend server counts as cold.
	jumpFactor = 3.0
	// dropFactor multiplies the limit at high latency.
	dropFactor = 0.7
	// normalTime is the time constant of the baseline at normal latency. Rise and fall have the same weight: a baseline
	// that follows the fastest calls makes the average look high for each service whose calls differ.
	normalTime = 2 * time.Second
	// lowLoadTime is the time constant at high latency while the backend server has no more calls than its cold limit:
	// latency at so few calls is not caused by them.
	lowLoadTime = time.Second
	// highLoadTime is the time constant at high latency and higher load, where latency may be caused by the calls. It is
	// long, so that overload does not become the baseline.
	highLoadTime = time.Minute
	// maxBaselineWeight bounds the weight of one sample when samples are rare.
	maxBaselineWeight = 0.05
)

// Adaptive is a limit that rises additively with completed work at normal latency and drops multiplicatively at high
// latency (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989). High
// latency is judged against a baseline of latency at low load, as in TCP Vegas (Brakmo and Peterson, 1995). After a cold
// start the limit never exceeds a linear ramp from Bounds.Cold to Bounds.Slots over Bounds.WarmTime.
type Adaptive struct {
	bounds Bounds
	cooled time.Time
	limit  float64
	bound  int

	// baseline and recent are averages of latency in seconds; 0 before the first sample.
	baseline float64
	recent   float64
	sampled  time.Time
	dropped  time.Time
}

// NewAdaptive returns a limiter at the cold limit.
func NewAdaptive(now time.Time, bounds Bounds) *Adaptive {
	a := &Adaptive{bounds: bounds.normal()}
	a.Cool(now)
	return a
}

// Configure changes the bounds; the ramp goes on from the last cold start.
func (a *Adaptive) Configure(bounds Bounds) {
	a.bounds = bounds.normal()
	a.clamp()
}

// Limit implements core.Limiter.
func (a *Adaptive) Limit(now time.Time) int {
	if a.bounds.Fixed {
		return max(1, fixedLimit(a.bounds.Slots, a.bound))
	}
	limit := math.Min(a.limit, a.ramp(now))
	return bounded(int(limit), a.bound)
}

// fixedLimit returns the lower of slots and bound, of which 0 stands for none.
func fixedLimit(slots, bound int) int {
	if slots == 0 {
		return bound
	}
	return bounded(slots, bound)
}

// Warm reports whether the ramp of the last cold start has ended.
func (a *Adaptive) Warm(now time.Time) bool { return now.Sub(a.cooled) >= a.bounds.WarmTime }

// Cool implements core.Limiter.
func (a *Adaptive) Cool(now time.Time) {
	a.cooled = now
	a.dropped = now
	a.limit = float64(a.bounds.Cold)
	a.recent = a.baseline
}

// Bound implements core.Limiter.
func (a *Adaptive) Bound(_ time.Time, limit int) { a.bound = max(limit, 0) }

// Observe implements core.Limiter. A failed call says nothing about normal latency, since failing may be fast.
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
		a.sampled = now
	}
	latency = math.Min(latency, clipFactor*a.baseline)
	a.recent += recentWeight * (latency - a.recent)
	a.adjust(now, sample)
	a.learn(now, latency, sample.InFlight)
}

// adjust raises or lowers the limit by the average of latency.
func (a *Adaptive) adjust(now time.Time, sample core.Sample) {
	switch {
	case a.recent > jumpFactor*a.baseline && a.Limit(now) > a.bounds.Cold:
		a.Cool(now)
	case a.recent > highFactor*a.baseline:
		a.drop(now, sample)
	case !sample.Failed:
		a.limit += 1 / a.limit
	}
	a.clamp()
}

// drop lowers the limit, but only for a call that began after the last drop: earlier calls ran under the old limit.
func (a *Adaptive) drop(now time.Time, sample core.Sample) {
	if now.Add(-sample.Latency).Before(a.dropped) {
		return
	}
	a.dropped = now
	a.limit = math.Min(a.limit, a.ramp(now)) * dropFactor
}

// learn moves the baseline towards a latency.
func (a *Adaptive) learn(now time.Time, latency float64, inFlight int) {
	elapsed := now.Sub(a.sampled)
	a.sampled = now
	constant := normalTime
	switch {
	case a.recent <= highFactor*a.baseline:
	case inFlight <= a.bounds.Cold:
		constant = lowLoadTime
	default:
		constant = highLoadTime
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	a.baseline += math.Min(weight, maxBaselineWeight) * (latency - a.baseline)
}

// ramp returns the highest limit that the last cold start allows at now.
func (a *Adaptive) ramp(now time.Time) float64 {
	if a.Warm(now) {
		return float64(a.bounds.Slots)
	}
	share := now.Sub(a.cooled).Seconds() / a.bounds.WarmTime.Seconds()
	return float64(a.bounds.Cold) + math.Max(share, 0)*float64(a.bounds.Slots-a.bounds.Cold)
}

func (a *Adaptive) clamp() {
	a.limit = math.Max(a.limit, float64(a.bounds.Cold))
	a.limit = math.Min(a.limit, float64(a.bounds.Slots))
}
