package router

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareel/budget"
	"verbenareel/schema"
)

const (
	// shedMemory is how long after a refusal for lack of room a service counts as shedding load.
	shedMemory = time.Second
	// hedgeQuantile is the percentile of the service's latency after which a lookup is hedged.
	hedgeQuantile = 95
	// hedgeSamples is how many latencies the percentile needs.
	hedgeSamples = 100
	// latencyWindow and latencyWindows bound the age of the latencies: the percentile covers the last 5 s.
	latencyWindow  = time.Second
	latencyWindows = 5
	// maxLatency is the highest latency that the histogram distinguishes, in microseconds.
	maxLatency = int64(time.Minute / time.Microsecond)
)

// usage holds the budgets and recent latencies of one service.
type usage struct {
	mu         sync.Mutex
	retryRatio float64
	retryFloor float64
	hedgeRatio float64
	retries    *budget.Ratio
	hedges     *budget.Ratio
	shed       time.Time
	// latencies is nil unless hedging is on.
	latencies *hdrhistogram.WindowedHistogram
	rotated   time.Time
	delay     time.Duration
}

// configure applies the settings of the service. Budgets whose settings did not change keep their tokens.
func (u *usage) configure(settings *schema.Service) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ratio, floor := settings.GetRetryRatio(), settings.GetRetryFloor()
	if u.retries == nil || u.retryRatio != ratio || u.retryFloor != floor {
		u.retryRatio, u.retryFloor = ratio, floor
		u.retries = budget.NewRatio(ratio, floor, budget.RetryMemory)
	}
	ratio = settings.GetHedgeRatio()
	if u.hedges != nil && u.hedgeRatio == ratio {
		return
	}
	u.hedgeRatio = ratio
	u.hedges = budget.NewRatio(ratio, 0, budget.HedgeMemory)
	u.latencies, u.delay = nil, 0
	if ratio > 0 {
		u.latencies = hdrhistogram.NewWindowed(latencyWindows, 1, maxLatency, 2)
	}
}

// called records a new call.
func (u *usage) called(now time.Time, repeatable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retries.Earn(now)
	if repeatable {
		u.hedges.Earn(now)
	}
}

// retry takes one retry from the budget.
func (u *usage) retry(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retries.Take(now)
}

// mayAbandon reports whether the budget has a retry for a call that may be broken off.
func (u *usage) mayAbandon(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retries.Available(now)
}

// abandoned takes the retry of a call that was broken off.
func (u *usage) abandoned(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retries.Owe(now)
}

// hedge takes one hedge from the budget, unless the service is shedding load.
func (u *usage) hedge(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.shed.IsZero() && now.Sub(u.shed) < shedMemory {
		return false
	}
	return u.hedges.Take(now)
}

// refused records a refusal: one for lack of room shows that the service sheds load.
func (u *usage) refused(now time.Time, reason schema.Reason) {
	switch reason {
	case schema.Reason_REASON_BUSY, schema.Reason_REASON_PREEMPTED, schema.Reason_REASON_SHED:
		u.mu.Lock()
		defer u.mu.Unlock()
		u.shed = now
	}
}

// answered records the latency of a lookup.
func (u *usage) answered(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latencies != nil {
		_ = u.latencies.Current.RecordValue(min(took.Microseconds(), maxLatency))
	}
}

// hedgeDelay returns after which time a lookup is hedged, or 0 for never.
func (u *usage) hedgeDelay() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.delay
}

// refresh recomputes the hedging delay once in a window.
func (u *usage) refresh(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latencies == nil || now.Sub(u.rotated) < latencyWindow {
		return
	}
	u.rotated = now
	all := u.latencies.Merge()
	u.delay = 0
	if all.TotalCount() >= hedgeSamples {
		u.delay = time.Duration(all.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	}
	u.latencies.Rotate()
}
