package guard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// crashGrace is the time without a further reset after which all connections of a crashed server have ended. It is
	// awaited at most crashRounds times.
	crashGrace  = 5 * time.Millisecond
	crashRounds = 10
	// crashConnect bounds the attempt to connect that tells a crash from a single reset.
	crashConnect = 200 * time.Millisecond
	// pushTimeout is the longest time for which the callers of a crash wait until the suspects were pushed.
	pushTimeout = 200 * time.Millisecond
)

// crash is the state of crash detection.
type crash struct {
	// held are calls whose connection was reset; their callers wait for the decision.
	held     []*call
	checking bool
	// at is the time of the last crash, and recorded are the fingerprints that it made suspects. A call that was in
	// flight then and ends later belongs to the same crash.
	at       time.Time
	recorded map[uint64]struct{}
}

// holdReset keeps the answer of a call whose connection was reset until it is known whether the backend server crashed.
// Nothing starts until then: it could be another copy of the request that crashed the server.
func (g *Guard) holdReset(c *call) {
	g.crash.held = append(g.crash.held, c)
	if g.crash.checking {
		return
	}
	g.crash.checking = true
	g.controller.Pause()
	g.calls.Go(g.checkCrash)
}

// checkCrash decides whether resets were a crash of the backend server, and answers the calls that were reset.
func (g *Guard) checkCrash() {
	g.awaitResets()
	ctx, cancel := context.WithTimeout(context.Background(), crashConnect)
	defer cancel()
	err := g.backend.Connect(ctx)
	held, suspects := g.decideCrash(err)
	if len(suspects) > 0 {
		g.pushSuspects(suspects)
	}
	g.answerHeld(held, len(suspects) > 0)
}

// awaitResets waits until no further connection is reset. On a busy machine the resets of one crash are noticed over
// tens of milliseconds.
func (g *Guard) awaitResets() {
	count := 1
	for range crashRounds {
		<-g.clock.After(crashGrace)
		g.mu.Lock()
		held := len(g.crash.held)
		g.mu.Unlock()
		if held == count {
			return
		}
		count = held
	}
}

// decideCrash returns the calls that were reset and, after a crash, their fingerprints. It was a crash if the backend
// server refuses a connection, or if it reset every connection with a call in flight.
func (g *Guard) decideCrash(err error) ([]*call, []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	held := g.crash.held
	g.crash.held = nil
	g.crash.checking = false
	var suspects []uint64
	if err != nil || len(g.running) == 0 || g.fromLastCrash(held) {
		suspects = g.recordCrash(now, held)
	}
	if err != nil {
		g.serverDown(now, err)
	}
	g.checkPause(now)
	g.refresh(now)
	g.resumeStarts(now)
	return held, suspects
}

// fromLastCrash reports whether each of the calls was in flight at the last crash.
func (g *Guard) fromLastCrash(held []*call) bool {
	for _, c := range held {
		if !c.admit.Started().Before(g.crash.at) {
			return false
		}
	}
	return true
}

// recordCrash makes the requests suspects and returns their fingerprints. A fingerprint counts once for one crash.
func (g *Guard) recordCrash(now time.Time, held []*call) []uint64 {
	if !g.fromLastCrash(held) {
		g.crash.at = now
		g.crash.recorded = make(map[uint64]struct{}, len(held))
		g.metrics.crash.Inc()
	}
	fingerprints := make([]uint64, 0, len(held))
	for _, c := range held {
		if _, ok := g.crash.recorded[c.fingerprint]; !ok {
			g.crash.recorded[c.fingerprint] = struct{}{}
			fingerprints = append(fingerprints, c.fingerprint)
		}
	}
	g.logger.Warn("backend server crashed", zap.Int("calls", len(held)), zap.Uint64s("fingerprints", fingerprints))
	g.suspects.Record(now, fingerprints, len(held) == 1 && held[0].admit.Alone)
	g.cool(now, "crash of the backend server")
	return fingerprints
}

// resumeStarts ends the pause of the controller unless another check still needs it.
func (g *Guard) resumeStarts(now time.Time) {
	if g.crash.checking || g.pause.pending {
		return
	}
	g.handle(now, g.controller.Resume(now))
}

// pushSuspects sends suspects to the other instances and returns when they acknowledged or pushTimeout has passed.
func (g *Guard) pushSuspects(fingerprints []uint64) {
	if g.push == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	pushed := make(chan struct{})
	g.calls.Go(func() {
		defer cancel()
		defer close(pushed)
		g.push(ctx, fingerprints)
	})
	select {
	case <-pushed:
	case <-g.clock.After(pushTimeout):
		cancel()
	}
}

// answerHeld answers the callers of calls that were reset.
func (g *Guard) answerHeld(held []*call, crashed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, c := range held {
		reply := core.Unknown(schema.Reason_REASON_CONNECTION_LOST)
		if crashed {
			reply = core.Unknown(schema.Reason_REASON_CRASHED)
			reply.SetSuspect(true)
		}
		g.settle(now, c, reply)
	}
}
