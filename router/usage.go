package router

import (
	"sync"
	"time"

	"verbenareel/schema"
)

// usage holds the budgets and recent latencies of one service.
type usage struct {
	mu      sync.Mutex
	retries *bucket
	hedges  *bucket
}

// configure applies the settings of the service.
func (u *usage) configure(now time.Time, settings *schema.Service) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retries = newBucket(now, settings.GetRetryRatio(), settings.GetRetryFloor())
	u.hedges = newBucket(now, settings.GetHedgeRatio(), 0)
}

// called records a new call.
func (u *usage) called(repeatable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retries.deposit()
	if repeatable {
		u.hedges.deposit()
	}
}

// retry takes one retry from the budget.
func (u *usage) retry(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retries.take(now)
}

// refresh recomputes the hedging delay.
func (u *usage) refresh(time.Time) {}

// maxTokens bounds the retries that can be saved up.
const maxTokens = 10

// bucket is a token bucket that is filled by a share of the calls and a constant rate.
type bucket struct {
	ratio  float64
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(now time.Time, ratio, rate float64) *bucket {
	return &bucket{ratio: ratio, rate: rate, last: now}
}

func (b *bucket) deposit() { b.tokens = min(b.tokens+b.ratio, maxTokens) }

func (b *bucket) take(now time.Time) bool {
	elapsed := max(now.Sub(b.last), 0)
	b.last = now
	b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), maxTokens)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
