package guard

import (
	"math"
	"time"
)

const (
	// kneeShare is the share of its slots above which a backend server may slow down.
	kneeShare = 0.8
	// kneeRatio is how many times as long calls must take above it for the limit to be lowered to it.
	kneeRatio = 1.25
	// kneeSamples is how many calls on either side the comparison needs.
	kneeSamples = 12
	// kneeWeight is the weight of one call in the averages.
	kneeWeight = 0.05
	// kneeLife is how long a finding holds. After it calls above the knee are measured again.
	kneeLife = 20 * time.Second
)

// knee finds out whether the backend server slows down when nearly all its slots are in use. It compares the times of
// calls that began below and above kneeShare, each in relation to the usual time of calls of the same rule.
type knee struct {
	low, high average
	// found is when the slowdown was last found.
	found time.Time
}

// average is a moving average of logarithms, so that it is one of factors.
type average struct {
	mean  float64
	count int
}

func (a *average) add(factor float64) {
	a.count++
	weight := max(kneeWeight, 1/float64(a.count))
	a.mean += weight * (math.Log(factor) - a.mean)
}

// observe takes the time of a call that began with the number of calls in flight, itself included, as a multiple of the
// usual time.
func (k *knee) observe(now time.Time, inFlight, slots int, factor float64) {
	if slots <= 0 || factor <= 0 {
		return
	}
	if float64(inFlight) <= kneeShare*float64(slots) {
		k.low.add(factor)
		return
	}
	k.high.add(factor)
	if k.measured() && k.high.mean-k.low.mean > math.Log(kneeRatio) {
		k.found = now
	}
}

// limit returns the number of calls that are better not exceeded, or 0 if the server reports no slots. A cold server is
// supposed to slow down until it is known: its calls take long enough without.
func (k *knee) limit(now time.Time, slots int, cold bool) int {
	if !k.found.IsZero() && now.Sub(k.found) > kneeLife {
		*k = knee{low: k.low}
	}
	if slots <= 0 || k.found.IsZero() && (!cold || k.measured()) {
		return slots
	}
	return max(1, int(kneeShare*float64(slots)))
}

// measured reports whether calls on both sides were compared.
func (k *knee) measured() bool { return k.low.count >= kneeSamples && k.high.count >= kneeSamples }
