package guard

import (
	"context"
	"time"

	"verbenareel/admit"
	"verbenareel/schema"
)

const (
	// slowPace is the pace in hundredths from which a call is better held back than started: how long it takes is decided by
	// the pace at its start.
	slowPace = 150
	// paceFresh is the age up to which a reported pace decides over a start.
	paceFresh = 12 * time.Millisecond
	// paceWait bounds the wait for a fresh report before a start.
	paceWait = 30 * time.Millisecond
	// slowLimit is how long starts are held back at a slow pace. A pace that lasts longer is not a passing one.
	slowLimit = 400 * time.Millisecond
)

// pace is what the guard knows of the pace of its backend server.
type pace struct {
	// percent is the last reported pace in hundredths of the usual time; 0 if the server does not report it.
	percent int
	at      time.Time
	// slowSince is the first of the slow reports in a row, or zero.
	slowSince time.Time
	// wanted tells that a start waits for a fresh report; asked is when it was first asked for.
	wanted bool
	asked  time.Time
}

// take takes over a reported pace.
func (p *pace) take(now time.Time, percent int) {
	p.percent, p.at = percent, now
	p.wanted, p.asked = false, time.Time{}
	switch {
	case percent < slowPace:
		p.slowSince = time.Time{}
	case p.slowSince.IsZero():
		p.slowSince = now
	}
}

// slow reports whether the server is in a passing slow phase.
func (p *pace) slow(now time.Time) bool {
	return !p.slowSince.IsZero() && now.Sub(p.slowSince) < slowLimit
}

// open is the gate of the controller: it holds starts back in a slow phase, and while a fresh report is asked for.
func (p *pace) open(now time.Time) bool {
	if p.percent == 0 {
		return true
	}
	if now.Sub(p.at) > paceFresh {
		if p.asked.IsZero() {
			p.wanted, p.asked = true, now
		}
		return now.Sub(p.asked) >= paceWait
	}
	return !p.slow(now)
}

// followPace asks for a fresh report if a start waits for one, and sends calls that may go elsewhere away from a slow
// server. It is called with mu held, after the controller has decided.
func (g *Guard) followPace(now time.Time) {
	if g.pace.percent == 0 {
		return
	}
	if g.pace.slow(now) && now.Sub(g.pace.at) <= paceFresh {
		g.handle(now, g.controller.Evict(now, schema.Reason_REASON_SLOW, isEager))
	}
	if g.controller.Queued() == 0 || g.paceAsking || now.Sub(g.pace.at) <= paceFresh && !g.pace.slow(now) {
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
		if g.pace.slow(now) {
			g.handle(now, g.controller.Evict(now, schema.Reason_REASON_SLOW, isEager))
		}
		again := g.controller.Queued() > 0 && (g.pace.slow(now) || now.Sub(g.pace.at) > paceFresh) && !g.draining
		g.paceAsking = again
		g.mu.Unlock()
		if !again {
			return
		}
		<-g.clock.After(paceFresh)
	}
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
