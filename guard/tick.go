package guard

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/budget"
	"verbenareel/core"
)

const (
	// tickInterval is the longest time between two ticks; a shorter report age reduces it.
	tickInterval = 100 * time.Millisecond
	// maxGap is the time between two ticks above which the process counts as paused.
	maxGap = 500 * time.Millisecond
	// checkTimeout is the timeout of a probe or a connection attempt to the backend server.
	checkTimeout = time.Second
	// defaultReportAge is the age of the last report from which a probe is sent, if the document does not set
	// report_age.
	defaultReportAge = time.Second
	// A warm server without calls in the last idleAfter is probed only every idleReportAge: the next call probes it
	// before it starts.
	idleAfter     = time.Second
	idleReportAge = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay between attempts to connect to a server that is down.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// slowAgeFactor is the ratio of the age of a running call to the average latency from which the call is reported
	// to the limiter as slow before it ends. A server that turned cold under load may take seconds to answer.
	slowAgeFactor = 4
)

// pause holds the state of pause detection.
type pause struct {
	// count is the number of pauses so far.
	count atomic.Int64
	// pending is true until the checks after a pause have succeeded, and failed is true if the last attempt failed.
	pending  bool
	failed   bool
	checking bool
	// lastTick is the value of Guard.lastTick at the latest pause, so that each pause is counted once.
	lastTick int64
}

// probes limits the rate of probes.
type probes struct {
	rate  float64
	burst float64
	// age is the age of the last report from which a probe is due.
	age     time.Duration
	bucket  *budget.Bucket
	running bool
}

// configure sets the rate. The bucket holds at most burst tokens, but at least one, and a new bucket is empty.
func (p *probes) configure(rate, burst float64, age time.Duration) {
	p.age = cmp.Or(age, defaultReportAge)
	if p.bucket != nil && rate == p.rate && burst == p.burst {
		return
	}
	p.rate, p.burst = rate, burst
	p.bucket = budget.New(rate, max(1, burst))
}

func (p *probes) take(now time.Time) bool {
	return p.bucket != nil && !p.running && p.bucket.Take(now)
}

// Run probes the backend server, detects pauses of the process and expires outdated calls and outcomes until ctx
// ends.
func (g *Guard) Run(ctx context.Context) error {
	defer close(g.done)
	var checks conc.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(g.tickWait()):
		}
		g.tick(ctx, &checks)
	}
}

// tickWait returns the time until the next tick.
func (g *Guard) tickWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probes.age <= 0 {
		return tickInterval
	}
	return min(tickInterval, g.probes.age)
}

func (g *Guard) tick(ctx context.Context, checks *conc.WaitGroup) {
	g.storeMu.Lock()
	g.store.Expire(g.clock.Now())
	g.storeMu.Unlock()

	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.checkPause(now)
	g.lastTick.Store(int64(now.Sub(g.epoch)))
	g.refresh(now)
	g.observeAges(now)
	g.checkList(now)
	g.handle(now, g.controller.Tick(now))
	g.applyPace(now)
	switch {
	case g.pause.pending:
		g.startRecheck(ctx, now, checks)
	case g.server.connectDue || g.server.down:
		g.startConnect(ctx, now, checks)
	case now.Sub(g.server.reportReceived) >= g.dueReportAge(now) && g.probes.take(now):
		g.probes.running = true
		checks.Go(func() { _ = g.probe(ctx) })
	}
}

// dueReportAge returns the age of the last report from which a probe is due.
func (g *Guard) dueReportAge(now time.Time) time.Duration {
	if g.idle(now) {
		return max(g.probes.age, idleReportAge)
	}
	return g.probes.age
}

// idle reports whether the backend server has had no calls for some time and is certainly warm and not leaving.
func (g *Guard) idle(now time.Time) bool {
	return now.Sub(g.lastOffer) >= idleAfter && g.controller.InFlight()+g.controller.Queued() == 0 &&
		g.pace.percent > 0 && g.server.coldState.confirmed && g.server.drainingSince.IsZero()
}

// observeAges reports running calls that already take much longer than the average to the limiter. Calls that started
// before the latest answered call are excluded: if the server answered a later call, the server is not slow; the call
// itself is, or its connection is silent. Such calls may hang for the whole time limit of a slot, and if they lowered
// the limit, they alone would fill it.
func (g *Guard) observeAges(now time.Time) {
	if g.server.latency == 0 {
		return
	}
	for _, c := range g.running {
		if c.withdrawn || c.admit.Started().Before(g.server.lastAnswered) {
			continue
		}
		age := now.Sub(c.admit.Started())
		if c.sampled || age < slowAgeFactor*g.server.latency {
			continue
		}
		c.sampled = true
		g.limiter.Observe(now, core.Sample{Latency: age, InFlight: c.admit.InFlight()})
	}
}

// gap returns the time since the last tick.
func (g *Guard) gap(now time.Time) time.Duration {
	return now.Sub(g.epoch) - time.Duration(g.lastTick.Load())
}

// pausedSinceStart reports whether the process was paused after a call was started.
func (g *Guard) pausedSinceStart(now time.Time, c *call) bool {
	return g.gap(now) > maxGap || g.pause.count.Load() != c.pauseCount
}

// checkPause suspends all starts if the process was paused.
func (g *Guard) checkPause(now time.Time) {
	gap := g.gap(now)
	if gap <= maxGap || g.pause.pending && g.pause.lastTick == g.lastTick.Load() {
		return
	}
	g.logger.Warn("process was paused", zap.Duration("gap", gap))
	g.metrics.pauses.Inc()
	g.pause.count.Add(1)
	g.pause.pending = true
	g.pause.lastTick = g.lastTick.Load()
	g.controller.Pause()
}

// startRecheck verifies the snapshot and the backend server after a pause.
func (g *Guard) startRecheck(ctx context.Context, now time.Time, checks *conc.WaitGroup) {
	if g.pause.checking {
		return
	}
	g.pause.checking = true
	count := g.pause.count.Load()
	probe := g.probes.take(now)
	g.probes.running = g.probes.running || probe
	checks.Go(func() { g.resume(ctx, now, count, probe) })
}

// resume ends a pause once the checks succeed, unless the process was paused again in the meantime. The backend server may
// have restarted during the pause, and a new connection does not show that, so the limit starts at the cold limit again
// unless the server has reported since the check began at the time asked.
func (g *Guard) resume(ctx context.Context, asked time.Time, count int64, probe bool) {
	err := g.recheckAll(ctx, probe)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.pause.checking = false
	g.checkPause(now)
	if err == nil && count == g.pause.count.Load() {
		g.pause.pending = false
		if g.server.reportReceived.Before(asked) {
			g.limiter.ResetToCold(now)
		}
	}
	if err != nil {
		g.logger.Warn("recheck after a pause failed", zap.Error(err))
	}
	g.pause.failed = err != nil
	g.refresh(now)
	g.resumeStarts(now)
}

// recheckAll confirms the snapshot and then checks the backend server, by a probe if the budget allowed one,
// otherwise by opening a connection.
func (g *Guard) recheckAll(ctx context.Context, probe bool) error {
	if g.recheck != nil {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		if err := g.recheck(ctx); err != nil {
			g.releaseProbe(probe)
			return fmt.Errorf("confirm the snapshot: %w", err)
		}
	}
	if probe {
		return g.probe(ctx)
	}
	return g.connect(ctx)
}

// releaseProbe releases a probe that the budget granted but that was not sent.
func (g *Guard) releaseProbe(granted bool) {
	if !granted {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probes.running = false
}

// probe requests a load report from the backend server and applies it.
func (g *Guard) probe(ctx context.Context) error {
	g.metrics.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	asked := g.clock.Now()
	report, err := g.backend.Probe(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probes.running = false
	if err != nil {
		g.server.connectDue = true
		return fmt.Errorf("probe the backend server: %w", err)
	}
	now := g.clock.Now()
	if report != nil {
		g.applyReport(now, asked, report)
	}
	g.refresh(now)
	g.handle(now, g.controller.Tick(now))
	if g.coldRate > 0 && g.server.coldState.unconfirmed() {
		g.goroutines.Go(g.confirmWarm)
	}
	return nil
}

func (g *Guard) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := g.backend.Connect(ctx); err != nil {
		return fmt.Errorf("connect to the backend server: %w", err)
	}
	return nil
}

// startConnect tries to connect to a server that is down or may be, with exponential backoff.
func (g *Guard) startConnect(ctx context.Context, now time.Time, checks *conc.WaitGroup) {
	if g.server.connecting || now.Before(g.server.nextConnect) {
		return
	}
	g.server.connecting = true
	checks.Go(func() { g.reconnect(ctx) })
}

func (g *Guard) reconnect(ctx context.Context) {
	err := g.connect(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.server.connecting = false
	g.server.connectDue = false
	if err != nil {
		g.confirmRefused(now, err)
		g.markDown(now, err)
	} else {
		g.server.down = false
		g.server.backoff = 0
		g.server.nextConnect = time.Time{}
	}
	g.checkPause(now)
	g.refresh(now)
}

// markDown records that no connection can be opened. Calls are refused until one can be.
func (g *Guard) markDown(now time.Time, err error) {
	g.server.coldState.reset()
	if !g.server.down {
		g.logger.Warn("backend server is down", zap.Error(err))
	}
	g.server.down = true
	g.server.backoff = min(max(2*g.server.backoff, minBackoff), maxBackoff)
	g.server.nextConnect = now.Add(g.server.backoff)
}
