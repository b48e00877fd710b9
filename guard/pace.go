package guard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// maxPaceAge is the highest age of a pace report that may decide whether a call starts.
	maxPaceAge = 12 * time.Millisecond
	// maxPaceWait is the longest time that a start waits for a fresh report.
	maxPaceWait = 30 * time.Millisecond
	// abandonFactor is the ratio of pace to base pace from which a call that has just started is better run
	// elsewhere. abandonWindow is the time after the start of a call within which a report still describes the pace
	// at the start.
	abandonFactor = 2.5
	abandonWindow = 25 * time.Millisecond
	// probeRetryDelay is the delay before another attempt to probe while a probe is running or the budget has no
	// token.
	probeRetryDelay = 4 * time.Millisecond
	// baseWindow is half the time over which the lowest pace counts as the base pace. A pace that lasts longer is not
	// treated as a temporary slowdown: a cold server is slow for seconds.
	baseWindow = 500 * time.Millisecond
)

// pace tracks the reported pace of the backend server.
type pace struct {
	// percent is the last reported pace in hundredths of the normal service time; 0 if the server does not report it.
	percent    int
	reportedAt time.Time
	// windowMin is the lowest pace since windowStart, and previousMin that of the window before; 0 if none was
	// reported.
	windowMin, previousMin int
	windowStart            time.Time
	// waitingSince is when a start first waited for a fresh report, or zero.
	waitingSince time.Time
}

// record records a reported pace.
func (p *pace) record(now time.Time, percent int) {
	p.percent, p.reportedAt = percent, now
	p.waitingSince = time.Time{}
	if now.Sub(p.windowStart) >= baseWindow {
		p.previousMin = p.windowMin
		if now.Sub(p.windowStart) >= 2*baseWindow {
			p.previousMin = 0
		}
		p.windowMin, p.windowStart = 0, now
	}
	if p.windowMin == 0 || percent < p.windowMin {
		p.windowMin = percent
	}
}

// base returns the lowest pace in about the last second, or 0 if none is known.
func (p *pace) base() int {
	if p.previousMin == 0 {
		return p.windowMin
	}
	return min(p.windowMin, p.previousMin)
}

// slow reports whether the server is in a temporary slow phase.
func (p *pace) slow() bool {
	load := core.LoadReport{Pace: float64(p.percent), BasePace: float64(p.base())}
	return load.Slow()
}

// allowsStart is the gate of the admission controller. It delays starts during a slow phase and while a fresh report
// is requested.
func (p *pace) allowsStart(now time.Time) bool {
	if p.percent == 0 {
		return true
	}
	if now.Sub(p.reportedAt) > maxPaceAge {
		if p.waitingSince.IsZero() {
			p.waitingSince = now
		}
		return now.Sub(p.waitingSince) >= maxPaceWait
	}
	return !p.slow()
}

// applyPace requests a fresh report if a queued call waits for one, and refuses queued eager calls if the server is
// slow, so that routers send them elsewhere. It is called with mu held, after the controller has decided.
func (g *Guard) applyPace(now time.Time) {
	if g.pace.percent == 0 {
		return
	}
	if g.pace.slow() && now.Sub(g.pace.reportedAt) <= maxPaceAge {
		g.handle(now, g.controller.Evict(now, schema.Reason_REASON_SLOW, isEager))
	}
	if g.controller.Queued() == 0 || g.pacePolling || now.Sub(g.pace.reportedAt) <= maxPaceAge && !g.pace.slow() {
		return
	}
	g.pacePolling = true
	g.goroutines.Go(g.pollPace)
}

func isEager(call *admit.Call) bool { return call.Eager }

// pollPace probes the backend server until no queued call waits for its pace. If the budget allows no probe, it
// retries after maxPaceAge.
func (g *Guard) pollPace() {
	for {
		if !g.tryProbe() && !g.sleep(maxPaceAge) {
			return
		}
		g.mu.Lock()
		now := g.clock.Now()
		g.refresh(now)
		g.handle(now, g.controller.Tick(now))
		if g.pace.slow() {
			g.handle(now, g.controller.Evict(now, schema.Reason_REASON_SLOW, isEager))
		}
		again := g.controller.Queued() > 0 && (g.pace.slow() || now.Sub(g.pace.reportedAt) > maxPaceAge) && !g.draining
		g.pacePolling = again
		g.mu.Unlock()
		if !again || !g.sleep(maxPaceAge) {
			return
		}
	}
}

// sleep waits for a duration and reports whether the guard is still running after it.
func (g *Guard) sleep(d time.Duration) bool {
	select {
	case <-g.clock.After(d):
		return true
	case <-g.done:
		return false
	}
}

// abandonIfSlow determines the pace of the backend server at the start of a call and cancels the call if the server
// was in a slow phase, because the call would take several times as long as on another instance.
func (g *Guard) abandonIfSlow(c *call) {
	for !g.paceReportedSinceStart(c) && g.clock.Now().Sub(c.admit.Started()) < abandonWindow {
		if !g.tryProbe() && !g.sleep(probeRetryDelay) {
			return
		}
	}
	g.mu.Lock()
	after := g.pace.reportedAt.Sub(c.admit.Started())
	slow := after > 0 && after <= abandonWindow && float64(g.pace.percent) >= abandonFactor*float64(g.pace.base()) && !c.withdrawn
	if slow {
		c.abandoned, c.withdrawn = true, true
		g.metrics.aborted.Inc()
		g.logger.Info("breaking off a call that started in a slow phase", zap.ByteString("request", c.request.GetRequestId()),
			zap.String("server", g.member().GetInstance()), zap.Int("pace_percent", g.pace.percent), zap.Duration("after", after))
	}
	g.mu.Unlock()
	if slow {
		c.cancel()
	}
}

func (g *Guard) pacePercent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.percent
}

// paceReportedSinceStart reports whether a pace was reported after the start of a call.
func (g *Guard) paceReportedSinceStart(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.reportedAt.After(c.admit.Started())
}

// tryProbe probes the backend server if the budget allows it and no other probe is running. It waits at most
// maxPaceWait for the reply and reports whether it sent a probe.
func (g *Guard) tryProbe() bool {
	g.mu.Lock()
	if !g.probes.take(g.clock.Now()) {
		g.mu.Unlock()
		return false
	}
	g.probes.running = true
	g.mu.Unlock()
	answered := make(chan struct{})
	g.goroutines.Go(func() {
		defer close(answered)
		_ = g.probe(context.Background())
	})
	select {
	case <-answered:
	case <-g.clock.After(maxPaceWait):
	case <-g.done:
	}
	return true
}
