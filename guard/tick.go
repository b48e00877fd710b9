package guard

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxGap is the time without a tick that means a pause of the process.
	maxGap = 500 * time.Millisecond
	// checkTimeout bounds a probe or a connect to the backend server.
	checkTimeout = time.Second
	// reportAge is the age of the last report at which a probe is worth its cost; responses carry reports too.
	reportAge = time.Second
)

// pause is the state of pause detection.
type pause struct {
	// count is the number of pauses so far.
	count    int
	checking bool
	// ticked is the last tick before the latest pause, so that each pause counts once.
	ticked int64
}

// bucket limits the rate of probes.
type bucket interface {
	Take(now time.Time) bool
}

// probes is the probe budget.
type probes struct {
	rate    float64
	bucket  bucket
	running bool
}

func (p *probes) configure(now time.Time, rate float64) {
	if p.bucket != nil && rate == p.rate {
		return
	}
	p.rate = rate
	p.bucket = &tokens{rate: rate, updated: now}
}

func (p *probes) take(now time.Time) bool {
	return p.bucket != nil && !p.running && p.bucket.Take(now)
}

// tokens is a token bucket that starts empty and holds at most one token.
type tokens struct {
	rate    float64
	held    float64
	updated time.Time
}

// Take reports whether a token was there, and removes it.
func (t *tokens) Take(now time.Time) bool {
	t.held = min(t.held+t.rate*now.Sub(t.updated).Seconds(), 1)
	t.updated = now
	if t.held < 1 {
		return false
	}
	t.held--
	return true
}

// Run measures the backend server, detects pauses and expires what has outlived its time, until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	defer close(g.done)
	var checks conc.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(tickInterval):
		}
		g.tick(ctx, &checks)
	}
}

func (g *Guard) tick(ctx context.Context, checks *conc.WaitGroup) {
	now := g.clock.Now()
	g.tickets.Lock()
	g.store.Expire(now)
	g.tickets.Unlock()

	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkPause(now)
	g.ticked.Store(int64(now.Sub(g.epoch)))
	g.refresh(now)
	g.handle(now, g.controller.Tick(now))
	if g.controller.Paused() {
		g.startRecheck(ctx, now, checks)
		return
	}
	if now.Sub(g.server.reported) >= reportAge && g.probes.take(now) {
		g.probes.running = true
		checks.Go(func() { _ = g.probe(ctx) })
	}
}

// gap returns the time since the last tick.
func (g *Guard) gap(now time.Time) time.Duration {
	return now.Sub(g.epoch) - time.Duration(g.ticked.Load())
}

// checkPause stops all starts if the process was paused.
func (g *Guard) checkPause(now time.Time) {
	gap := g.gap(now)
	if gap <= maxGap || g.controller.Paused() && g.pause.ticked == g.ticked.Load() {
		return
	}
	g.pause.ticked = g.ticked.Load()
	g.logger.Warn("process was paused", zap.Duration("gap", gap))
	g.metrics.pauses.Inc()
	g.pause.count++
	g.controller.Pause()
}

// startRecheck checks the own state and the backend server after a pause.
func (g *Guard) startRecheck(ctx context.Context, now time.Time, checks *conc.WaitGroup) {
	if g.pause.checking {
		return
	}
	g.pause.checking = true
	count := g.pause.count
	probe := g.probes.take(now)
	g.probes.running = g.probes.running || probe
	checks.Go(func() { g.resume(ctx, count, probe) })
}

// resume ends a pause once the checks succeed, unless the process was paused again meanwhile.
func (g *Guard) resume(ctx context.Context, count int, probe bool) {
	err := g.recheckAll(ctx, probe)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause.checking = false
	if err != nil {
		g.logger.Warn("state not confirmed after a pause", zap.Error(err))
		return
	}
	now := g.clock.Now()
	g.refresh(now)
	g.checkPause(now)
	if count == g.pause.count {
		g.handle(now, g.controller.Resume(now))
	}
}

// recheckAll confirms the snapshot, then the backend server: by a probe if the budget allows one, else by opening a
// connection.
func (g *Guard) recheckAll(ctx context.Context, probe bool) error {
	if probe {
		defer func() {
			g.mu.Lock()
			g.probes.running = false
			g.mu.Unlock()
		}()
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if g.recheck != nil {
		if err := g.recheck(ctx); err != nil {
			return err
		}
	}
	if probe {
		return g.probe(ctx)
	}
	return g.backend.Connect(ctx)
}

// probe asks the backend server for its report.
func (g *Guard) probe(ctx context.Context) error {
	g.metrics.probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	report, err := g.backend.Probe(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probes.running = false
	now := g.clock.Now()
	if err != nil {
		return err
	}
	g.report(now, report)
	g.refresh(now)
	return nil
}
