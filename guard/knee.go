package guard

import (
	"math"
	"time"
)

const (
	// kneeShare is the share of its slots above which a backend server may slow down.
	kneeShare = 0.8
	// kneeRatio is the ratio of service times above and below kneeShare from which the limit is lowered to
	// kneeShare.
	kneeRatio = 1.25
	// kneeSamples is the number of calls required on each side for a comparison.
	kneeSamples = 12
	// kneeWeight is the weight of one call in the moving averages.
	kneeWeight = 0.05
	// kneeTTL is how long a detected slowdown lowers the limit. After that, service times above kneeShare are
	// measured again.
	kneeTTL = 20 * time.Second
)

// knee detects whether the backend server slows down when nearly all of its slots are in use, that is, whether its
// latency curve has a knee below the full load. It compares the service times of calls that started at or below
// kneeShare with those of calls that started above it, each relative to the usual service time of its rule.
type knee struct {
	low, high logAverage
	// detectedAt is when the slowdown was last detected.
	detectedAt time.Time
}

// logAverage is a moving average of logarithms; its mean is the logarithm of a geometric mean of ratios.
type logAverage struct {
	mean  float64
	count int
}

func (a *logAverage) add(factor float64) {
	a.count++
	weight := max(kneeWeight, 1/float64(a.count))
	a.mean += weight * (math.Log(factor) - a.mean)
}

// observe records the service time of a call as a multiple of the usual time. inFlight is the number of calls in
// flight when the call started, including itself.
func (k *knee) observe(now time.Time, inFlight, slots int, factor float64) {
	if slots <= 0 || factor <= 0 {
		return
	}
	if float64(inFlight) <= kneeShare*float64(slots) {
		k.low.add(factor)
		return
	}
	k.high.add(factor)
	if k.hasSamples() && k.high.mean-k.low.mean > math.Log(kneeRatio) {
		k.detectedAt = now
	}
}

// limit returns the recommended number of calls in flight, or 0 if the server reports no slots. A cold server is
// assumed to slow down until both sides have been measured, because its calls already take long.
func (k *knee) limit(now time.Time, slots int, cold bool) int {
	if !k.detectedAt.IsZero() && now.Sub(k.detectedAt) > kneeTTL {
		*k = knee{low: k.low}
	}
	if slots <= 0 || k.detectedAt.IsZero() && (!cold || k.hasSamples()) {
		return slots
	}
	return max(1, int(kneeShare*float64(slots)))
}

// hasSamples reports whether enough calls were measured on both sides for a comparison.
func (k *knee) hasSamples() bool { return k.low.count >= kneeSamples && k.high.count >= kneeSamples }
