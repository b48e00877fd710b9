// Package picker holds choosers of an instance for a call, and the view of load that they choose by.
package picker

import (
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenareel/core"
)

// probes is how many random draws look for a candidate that is not excluded before the list is searched from the last
// draw on. Without it, the neighbours of excluded candidates would be drawn more often.
const probes = 8

// Source returns uniform random numbers. It is safe for concurrent use unless the chooser is used by one goroutine.
type Source func() uint64

// below returns a uniform number in [0, n), by multiplication as in Lemire, "Fast random integer generation in an
// interval", without the correction: the bias is below n / 2^64.
func (s Source) below(n int) int {
	high, _ := bits.Mul64(s(), uint64(n))
	return int(high)
}

// draw returns a random index that is not excluded, or -1.
func (s Source) draw(n int, exclude func(index int) bool) int {
	if n == 0 {
		return -1
	}
	index := 0
	for range probes {
		index = s.below(n)
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

// Random chooses uniformly. It is a baseline.
type Random struct {
	source Source
}

// NewRandom returns a Random; a nil source means math/rand/v2.
func NewRandom(source Source) *Random {
	return &Random{source: orDefault(source)}
}

func orDefault(source Source) Source {
	if source == nil {
		return rand.Uint64
	}
	return source
}

// Choose implements core.Chooser.
func (r *Random) Choose(_ time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	return r.source.draw(len(candidates), exclude)
}

// RoundRobin chooses the candidates in turn. It is a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a RoundRobin that starts at a random candidate; a nil source means math/rand/v2.
func NewRoundRobin(source Source) *RoundRobin {
	r := &RoundRobin{}
	r.next.Store(orDefault(source)() >> 1)
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

// LeastOutstanding chooses the candidate with the fewest unanswered calls of this router; ties go to the first from a
// random start. It is a baseline.
type LeastOutstanding struct {
	source Source
}

// NewLeastOutstanding returns a LeastOutstanding; a nil source means math/rand/v2.
func NewLeastOutstanding(source Source) *LeastOutstanding {
	return &LeastOutstanding{source: orDefault(source)}
}

// Choose implements core.Chooser.
func (l *LeastOutstanding) Choose(_ time.Time, candidates []core.Candidate, exclude func(index int) bool) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	best, fewest := -1, 0
	start := l.source.below(n)
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
