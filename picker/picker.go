// Package picker implements algorithms that choose an instance for a call, and the view of an instance's load that they
// use.
package picker

import (
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenareel/core"
)

// maxRandomDraws is the number of random draws for a candidate that is not excluded, before the list is searched from
// the last draw onwards. With the search alone, the neighbours of excluded candidates would be drawn more often.
const maxRandomDraws = 8

// Source returns uniformly distributed random numbers. It must be safe for concurrent use if the chooser is used
// concurrently.
type Source func() uint64

// intN returns a uniform number in [0, n) by the multiplication method of Lemire, "Fast Random Integer Generation in an
// Interval", without the rejection step: the bias is below n / 2^64.
func (s Source) intN(n int) int {
	high, _ := bits.Mul64(s(), uint64(n))
	return int(high)
}

// float returns a uniform number in [0, 1).
func (s Source) float() float64 { return float64(s()>>11) / (1 << 53) }

// draw returns a random index that is not excluded, or -1.
func (s Source) draw(n int, exclude func(index int) bool) int {
	if n == 0 {
		return -1
	}
	index := 0
	for range maxRandomDraws {
		index = s.intN(n)
		if !exclude(index) {
			return index
		}
	}
	for range n {
		index = (index + 1) % n
		if !exclude(index) {
			return index
		}
	}
	return -1
}

// Random chooses uniformly at random. It is a reference for comparisons.
type Random struct {
	source Source
}

// NewRandom returns a Random; a nil source means math/rand/v2.
func NewRandom(source Source) *Random {
	return &Random{source: sourceOrDefault(source)}
}

func sourceOrDefault(source Source) Source {
	if source == nil {
		return rand.Uint64
	}
	return source
}

// Choose implements core.Chooser.
func (r *Random) Choose(_ time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	return r.source.draw(len(candidates), exclude)
}

// RoundRobin chooses the candidates in turn. It is a reference for comparisons.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a RoundRobin that starts at a random candidate; a nil source means math/rand/v2.
func NewRoundRobin(source Source) *RoundRobin {
	r := &RoundRobin{}
	r.next.Store(sourceOrDefault(source)() >> 1)
	return r
}

// Choose implements core.Chooser.
func (r *RoundRobin) Choose(_ time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	for range n {
		index := int(r.next.Add(1) % uint64(n))
		if !exclude(index) {
			return index
		}
	}
	return -1
}

// LeastOutstanding chooses the candidate with the fewest unanswered calls of this router; ties go to the first one
// after a random index. It is a reference for comparisons.
type LeastOutstanding struct {
	source Source
}

// NewLeastOutstanding returns a LeastOutstanding; a nil source means math/rand/v2.
func NewLeastOutstanding(source Source) *LeastOutstanding {
	return &LeastOutstanding{source: sourceOrDefault(source)}
}

// Choose implements core.Chooser.
func (l *LeastOutstanding) Choose(_ time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	best, fewest := -1, 0
	start := l.source.intN(n)
	for i := range n {
		index := (start + i) % n
		if exclude(index) {
			continue
		}
		count := candidates[index].InFlight()
		if best < 0 || count < fewest {
			best, fewest = index, count
		}
	}
	return best
}
