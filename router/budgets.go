package router

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareel/budget"
	"verbenareel/schema"
	"verbenareel/worth"
)

const (
	// shedWindow is how long a service counts as shedding load after a refusal for lack of capacity.
	shedWindow = time.Second
	// hedgePercentile is the percentile of the service's latency that is used as the hedging delay.
	hedgePercentile = 95
	// minHedgeSamples is the number of samples needed to compute the percentile.
	minHedgeSamples = 100
	// latencyWindow and latencyWindows define the sliding window of the latencies: 5 windows of 1 s.
	latencyWindow  = time.Second
	latencyWindows = 5
	// maxLatency is the largest latency recorded by the histogram, in microseconds. Larger values are recorded as this
	// one.
	maxLatency = int64(time.Minute / time.Microsecond)
)

// budgets holds the retry and hedge budgets of one service, and the recent latencies that its hedging delay is computed
// from.
type budgets struct {
	mu         sync.Mutex
	retryRatio float64
	retryFloor float64
	hedgeRatio float64
	retries    *budget.Ratio
	hedges     *budget.Ratio
	// window is this node's part of the retry budget of all nodes, or nil if the settings contain none. It then replaces
	// retries.
	window *budget.Window
	// order decides whose retries use the window while it is short; byWorth switches it on.
	order   worth.Order
	byWorth bool
	// entry decides which new calls are sent to an instance.
	entry    worth.Entry
	lastShed time.Time
	// latencies is nil if hedging is disabled.
	latencies    *hdrhistogram.WindowedHistogram
	lastRotation time.Time
	delay        time.Duration
}

// configure applies the settings of the service. A budget whose settings are unchanged keeps its tokens.
func (b *budgets) configure(settings *schema.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byWorth = settings.GetRetryOrder() == schema.RetryOrder_RETRY_ORDER_WORTH
	ratio, floor := settings.GetRetryRatio(), settings.GetRetryFloor()
	if b.retries == nil || b.retryRatio != ratio || b.retryFloor != floor {
		b.retryRatio, b.retryFloor = ratio, floor
		b.retries = budget.NewRatio(ratio, floor, budget.RetryDecayTime)
	}
	ratio = settings.GetHedgeRatio()
	if b.hedges != nil && b.hedgeRatio == ratio {
		return
	}
	b.hedgeRatio = ratio
	b.hedges = budget.NewRatio(ratio, 0, budget.HedgeDecayTime)
	b.latencies, b.delay = nil, 0
	if ratio > 0 {
		b.latencies = hdrhistogram.NewWindowed(latencyWindows, 1, maxLatency, 2)
	}
}

// recordCall adds the share of a new call to the budgets. repeated is the probability that a repeated run made the call.
func (b *budgets) recordCall(now time.Time, repeatable bool, repeated float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != nil {
		b.window.Deposit(now, repeated)
	}
	b.retries.Deposit(now)
	if repeatable {
		b.hedges.Deposit(now)
	}
}

// takeRetry takes one retry from the budget and reports whether there was one. A retry from the budget of all nodes is
// only reserved. value is the worth of the call.
func (b *budgets) takeRetry(now time.Time, value float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != nil {
		return b.reserve(now, value)
	}
	return b.retries.Take(now)
}

// hasRetry reports whether the budget holds a retry that was earned by calls, without taking it.
func (b *budgets) hasRetry(now time.Time, value float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != nil {
		return b.window.Available(now) >= 1+b.keep(now, value)
	}
	return b.retries.Available(now)
}

// chargeAbandoned charges the retry of an aborted call, even if the budget is exhausted by now.
func (b *budgets) chargeAbandoned(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != nil {
		b.window.Reserve(now, math.Inf(-1))
		return
	}
	b.retries.TakeOnCredit(now)
}

// takeHedge takes one hedge from the budget and reports whether there was one. It returns false while the service is
// shedding load.
func (b *budgets) takeHedge(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lastShed.IsZero() && now.Sub(b.lastShed) < shedWindow {
		return false
	}
	return (b.window == nil || b.window.Available(now) >= 1) && b.hedges.Take(now)
}

// recordRefusal records a refusal. If the instance lacked capacity, the service counts as shedding load.
func (b *budgets) recordRefusal(now time.Time, reason schema.Reason) {
	switch reason {
	case schema.Reason_REASON_BUSY, schema.Reason_REASON_PREEMPTED, schema.Reason_REASON_SHED:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.lastShed = now
	}
}

// recordLatency records the latency of a successful call.
func (b *budgets) recordLatency(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latencies != nil {
		_ = b.latencies.Current.RecordValue(min(took.Microseconds(), maxLatency))
	}
}

// hedgeDelay returns the delay after which a call is hedged, or 0 if it is not hedged.
func (b *budgets) hedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delay
}

// refresh recomputes the hedging delay and starts a new histogram window, once per latencyWindow.
func (b *budgets) refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latencies == nil || now.Sub(b.lastRotation) < latencyWindow {
		return
	}
	b.lastRotation = now
	all := b.latencies.Merge()
	b.delay = 0
	if all.TotalCount() >= minHedgeSamples {
		b.delay = time.Duration(all.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
	b.latencies.Rotate()
}
