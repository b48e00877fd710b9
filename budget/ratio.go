package budget

import (
	"math"
	"sync"
	"time"
)

// Time constants with which unused earned tokens decay: a long calm period leaves at most the tokens of the calls of
// about that time for a burst.
const (
	// RetryMemory is short, so that the retries of any 10 s stay near their share of the calls of these 10 s.
	RetryMemory = 2 * time.Second
	HedgeMemory = 10 * time.Second
)

// Ratio is a budget for retries or hedges: a share of the calls plus a constant rate. Tokens of the share decay with
// the time constant memory; the constant rate is a Bucket that holds at most one second of tokens, and at least one.
//
// A Ratio is safe for concurrent use. A clock reading below an earlier one neither earns by time nor decays.
type Ratio struct {
	mutex  sync.Mutex
	ratio  float64
	memory time.Duration
	earned float64
	clock  clock
	floor  *Bucket
}

// NewRatio returns an empty budget that earns ratio tokens with each call, which decay with the time constant memory, and
// floorPerSecond tokens a second.
func NewRatio(ratio, floorPerSecond float64, memory time.Duration) *Ratio {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		ratio = 0
	}
	return &Ratio{
		ratio:  ratio,
		memory: memory,
		floor:  New(floorPerSecond, math.Max(1, floorPerSecond)),
	}
}

// Earn records one call.
func (r *Ratio) Earn(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	r.earned += r.ratio
}

// Take removes one token and reports whether there was one. Earned tokens are used first, since they decay.
func (r *Ratio) Take(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	if r.earned >= 1 {
		r.earned--
		return true
	}
	return r.floor.spend()
}

// Available reports whether Take would remove a token that was earned by calls.
func (r *Ratio) Available(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	return r.earned >= 1
}

// Owe removes one token even if there is none; those that are earned next pay for it.
func (r *Ratio) Owe(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	r.earned--
}

func (r *Ratio) advance(now time.Time) {
	elapsed := r.clock.advance(now)
	r.floor.accrue(elapsed)
	if elapsed > 0 && r.earned > 0 {
		r.earned *= math.Exp(-elapsed.Seconds() / r.memory.Seconds())
	}
}
