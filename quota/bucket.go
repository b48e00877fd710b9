package quota

import "time"

// bucket is a token bucket whose rate and capacity may change with each step.
type bucket struct {
	level  float64
	at     time.Time
	fullAt time.Time
}

// newBucket returns a bucket without tokens. phase, from 0 to 1, delays the first token of a bucket that holds less than one.
// Many nodes that begin to use small shares at the same moment would get their tokens at the same moment otherwise.
func newBucket(now time.Time, capacity, phase float64) *bucket {
	b := &bucket{at: now}
	if capacity < 1 {
		b.level = -phase
	}
	return b
}

// capacityOf returns the capacity for a share of a quota.
func capacityOf(rate, burst, share float64) float64 {
	return share * (max(burst, 1) + rate*horizon.Seconds())
}

// accrue adds the tokens for the time since the last step. A bucket with a capacity below 1 keeps a whole token only
// for the time in which the capacity accrues. So many such buckets together hold about as much as one with their capacity.
func (b *bucket) accrue(now time.Time, rate, capacity float64) {
	if now.After(b.at) {
		b.level += rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	if capacity >= 1 {
		b.level = min(b.level, capacity)
		return
	}
	b.expireWhole(now, time.Duration(capacity/rate*float64(time.Second)))
}

func (b *bucket) expireWhole(now time.Time, life time.Duration) {
	switch {
	case b.level < 1:
		b.fullAt = time.Time{}
	case b.fullAt.IsZero():
		b.level, b.fullAt = 1, now
	case now.Sub(b.fullAt) > life:
		b.level, b.fullAt = 0, time.Time{}
	default:
		b.level = 1
	}
}

// take removes up to want whole tokens and returns their number.
func (b *bucket) take(want int) int {
	count := min(want, int(max(b.level, 0)))
	b.level -= float64(count)
	return count
}

// wait returns the time until the bucket holds a token.
func (b *bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return longestWait
	}
	seconds := min(max(1-b.level, 0)/rate, longestWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// scale reduces the tokens in proportion to a share that fell.
func (b *bucket) scale(before, after float64) {
	if after < before && b.level > 0 {
		b.level *= after / before
	}
}
