package budget

import (
	"math"
	"sync"
	"time"
)

// Time constants of the exponential decay of earned tokens. They limit the burst after a long quiet period to about
// the tokens earned within one time constant.
const (
	// RetryDecayTime is short, so that the retries in any 10 s stay close to their share of the calls in these 10 s.
	RetryDecayTime = 2 * time.Second
	HedgeDecayTime = 10 * time.Second
)

// Ratio is a budget for retries or hedges: a share of the calls plus a constant rate. Tokens earned by calls decay
// exponentially with the time constant decayTime. The constant rate is a Bucket that holds at most one second of
// tokens, but at least one token.
//
// A Ratio is safe for concurrent use. A clock reading below an earlier one neither accrues tokens nor decays them.
type Ratio struct {
	mu        sync.Mutex
	ratio     float64
	decayTime time.Duration
	earned    float64
	clock     clock
	floor     *Bucket
}

// NewRatio returns an empty budget. It earns ratio tokens with each call, which decay with the time constant
// decayTime, and floorPerSecond tokens per second.
func NewRatio(ratio, floorPerSecond float64, decayTime time.Duration) *Ratio {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		ratio = 0
	}
	return &Ratio{
		ratio:     ratio,
		decayTime: decayTime,
		floor:     New(floorPerSecond, math.Max(1, floorPerSecond)),
	}
}

// Deposit adds the tokens for one call.
func (r *Ratio) Deposit(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.earned += r.ratio
}

// Take removes one token and reports whether there was one. Earned tokens are used first, because they decay.
func (r *Ratio) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if r.earned >= 1 {
		r.earned--
		return true
	}
	return r.floor.spend()
}

// Available reports whether the next Take would use an earned token.
func (r *Ratio) Available(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	return r.earned >= 1
}

// TakeOnCredit removes one earned token even if there is none. The debt is paid by the tokens earned next.
func (r *Ratio) TakeOnCredit(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.earned--
}

func (r *Ratio) advance(now time.Time) {
	elapsed := r.clock.advance(now)
	r.floor.accrue(elapsed)
	if elapsed > 0 && r.earned > 0 {
		r.earned *= math.Exp(-elapsed.Seconds() / r.decayTime.Seconds())
	}
}
