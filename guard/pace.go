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
	// paceFresh is the age up to which a reported pace decides over a start.
	paceFresh = 12 * time.Millisecond
	// paceWait bounds the wait for a fresh report before a start.
	paceWait = 30 * time.Millisecond
	// abandonFactor is how many times as high as its base a pace is at which a call that has just started is better run
	// elsewhere, and abandonWindow the time after its start within which a report tells the pace at its start.
	abandonFactor = 2.5
	abandonWindow = 25 * time.Millisecond
	// probePause is the wait for another probe that runs, or for one that the budget allows.
	probePause = 4 * time.Millisecond
	// baseWindow is half the time over which the lowest pace counts as the base. A pace that lasts longer is not a passing
	// one: a cold server is slow for seconds.
	baseWindow = 500 * time.Millisecond
)

// pace is what the guard knows of the pace of its backend server.
type pace struct {
	// percent is the last reported pace in hundredths of the usual time; 0 if the server does not report it.
	percent int
	at      time.Time
	// lowest and before are the lowest paces of the window that began at a time, and of the one before it.
	lowest, before int
	began          time.Time
	// asked is when a start first waited for a fresh report, or zero.
	asked time.Time
}

// take takes over a reported pace.
func (p *pace) take(now time.Time, percent int) {
	p.percent, p.at = percent, now
	p.asked = time.Time{}
	if now.Sub(p.began) >= baseWindow {
		p.before = p.lowest
		if now.Sub(p.began) >= 2*baseWindow {
			p.before = 0
		}
		p.lowest, p.began = 0, now
	}
	if p.lowest == 0 || percent < p.lowest {
		p.lowest = percent
	}
}

// base returns the lowest pace of the last second, or 0 if none is known.
func (p *pace) base() int {
	if p.before == 0 {
		return p.lowest
	}
	return min(p.lowest, p.before)
}

// slow reports whether the server is in a passing slow phase.
func (p *pace) slow() bool {
	load := core.LoadReport{Pace: float64(p.percent), BasePace: float64(p.base())}
	return load.Slow()
}

// open is the gate of the controller: it holds starts back in a slow phase, and while a fresh report is asked for.
func (p *pace) open(now time.Time) bool {
	if p.percent == 0 {
		return true
	}
	if now.Sub(p.at) > paceFresh {
		if p.asked.IsZero() {
			p.asked = now
		}
		return now.Sub(p.asked) >= paceWait
	}
	return !p.slow()
}

// followPace asks for a fresh report if a start waits for one, and sends calls that may go elsewhere away from a slow
// server. It is called with mu held, after the controller has decided.
func (g *Guard) followPace(now time.Time) {
	if g.pace.percent == 0 {
		return
	}
	if g.pace.slow() && now.Sub(g.pace.at) <= paceFresh {
		g.handle(now, g.controller.Evict(now, schema.Reason_REASON_SLOW, isEager))
	}
	if g.controller.Queued() == 0 || g.paceAsking || now.Sub(g.pace.at) <= paceFresh && !g.pace.slow() {
		return
	}
	g.paceAsking = true
	g.calls.Go(g.askPace)
}

func isEager(call *admit.Call) bool { return call.Eager }

// askPace probes the backend server until no call waits for its pace. If the budget has no probe left, it waits for one.
func (g *Guard) askPace() {
	for {
		asked := g.probeNow()
		if !asked {
			<-g.clock.After(paceFresh)
		}
		g.mu.Lock()
		now := g.clock.Now()
		g.refresh(now)
		g.handle(now, g.controller.Tick(now))
		if g.pace.slow() {
			g.handle(now, g.controller.Evict(now, schema.Reason_REASON_SLOW, isEager))
		}
		again := g.controller.Queued() > 0 && (g.pace.slow() || now.Sub(g.pace.at) > paceFresh) && !g.draining
		g.paceAsking = again
		g.mu.Unlock()
		if !again {
			return
		}
		<-g.clock.After(paceFresh)
	}
}

// checkStart asks for the pace of the backend server at the start of a call, and breaks the call off if it was slow: the
// call would take several times as long as elsewhere.
func (g *Guard) checkStart(c *call) {
	for !g.paceKnown(c) && g.clock.Now().Sub(c.admit.Started()) < abandonWindow {
		if !g.probeNow() {
			<-g.clock.After(probePause)
		}
	}
	g.mu.Lock()
	after := g.pace.at.Sub(c.admit.Started())
	slow := after > 0 && after <= abandonWindow && float64(g.pace.percent) >= abandonFactor*float64(g.pace.base()) && !c.withdrawn
	if slow {
		c.abandoned, c.withdrawn = true, true
		g.metrics.broken.Inc()
		g.logger.Info("breaking off a call that started in a slow phase", zap.String("request", c.request.GetRequestId()),
			zap.String("server", g.own().GetInstance()), zap.Int("pace_percent", g.pace.percent), zap.Duration("after", after))
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

// paceKnown reports whether a pace was reported after the start of a call.
func (g *Guard) paceKnown(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.at.After(c.admit.Started())
}

// probeNow probes the backend server if the budget allows it, and waits for the answer no longer than paceWait.
func (g *Guard) probeNow() bool {
	g.mu.Lock()
	if !g.probes.take(g.clock.Now()) {
		g.mu.Unlock()
		return false
	}
	g.probes.running = true
	g.mu.Unlock()
	answered := make(chan struct{})
	g.calls.Go(func() {
		defer close(answered)
		_ = g.probe(context.Background())
	})
	select {
	case <-answered:
	case <-g.clock.After(paceWait):
	}
	return true
}
