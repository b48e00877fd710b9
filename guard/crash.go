package guard

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// resetQuietTime is the time without another reset after which all connections to a crashed server are assumed to
	// have been reset. It is awaited at most maxQuietWaits times.
	resetQuietTime = 5 * time.Millisecond
	maxQuietWaits  = 10
	// crashConnectTimeout is the timeout of the connection attempt that distinguishes a crash from a single reset.
	crashConnectTimeout = 200 * time.Millisecond
	// pushTimeout is the longest time that replies to the calls in flight during a crash wait for the push of
	// suspects.
	pushTimeout = 200 * time.Millisecond
)

// crash holds the state of crash detection.
type crash struct {
	// held are the calls whose connection was reset. Their callers wait until it is known whether the server crashed.
	held     []*call
	checking bool
	// lastCrash is the time of the last crash, and recorded holds the fingerprints that it made suspects. A call that
	// was in flight at that time and is reset later belongs to the same crash.
	lastCrash time.Time
	recorded  map[uint64]struct{}
}

// holdResetCall withholds the reply to a call whose connection was reset until it is known whether the backend server
// crashed. No call starts until then, as it could be another copy of the request that crashed the server.
func (g *Guard) holdResetCall(c *call) {
	g.crash.held = append(g.crash.held, c)
	if g.crash.checking {
		return
	}
	g.crash.checking = true
	g.controller.Pause()
	g.goroutines.Go(g.checkCrash)
}

// checkCrash determines whether resets were caused by a crash of the backend server, and replies to the calls that
// were reset.
func (g *Guard) checkCrash() {
	g.awaitResets()
	ctx, cancel := context.WithTimeout(context.Background(), crashConnectTimeout)
	defer cancel()
	err := g.backend.Connect(ctx)
	held, suspects := g.classifyResets(err)
	if len(suspects) > 0 {
		g.pushSuspects(suspects)
	}
	g.replyHeld(held, len(suspects) > 0)
}

// awaitResets waits until no more connections are reset. On a busy machine the resets of one crash are detected over
// tens of milliseconds.
func (g *Guard) awaitResets() {
	count := 1
	for range maxQuietWaits {
		<-g.clock.After(resetQuietTime)
		g.mu.Lock()
		held := len(g.crash.held)
		g.mu.Unlock()
		if held == count {
			return
		}
		count = held
	}
}

// classifyResets returns the calls that were reset and, after a crash, their fingerprints. Resets count as a crash if
// the backend server refuses a new connection or if every connection with a call in flight was reset.
func (g *Guard) classifyResets(err error) ([]*call, []uint64) {
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
		g.markDown(now, err)
	}
	g.checkPause(now)
	g.refresh(now)
	g.resumeStarts(now)
	return held, suspects
}

// fromLastCrash reports whether all the calls were in flight at the last crash.
func (g *Guard) fromLastCrash(held []*call) bool {
	for _, c := range held {
		if !c.admit.Started().Before(g.crash.lastCrash) {
			return false
		}
	}
	return true
}

// recordCrash records the requests as suspects and returns their fingerprints. A fingerprint is counted once per
// crash.
func (g *Guard) recordCrash(now time.Time, held []*call) []uint64 {
	if !g.fromLastCrash(held) {
		g.crash.lastCrash = now
		g.crash.recorded = make(map[uint64]struct{}, len(held))
		g.metrics.crashes.Inc()
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
	g.treatAsCold(now, "crash of the backend server")
	return fingerprints
}

// resumeStarts resumes the controller unless another check requires it to stay paused.
func (g *Guard) resumeStarts(now time.Time) {
	if g.crash.checking || g.pause.pending {
		return
	}
	g.handle(now, g.controller.Resume(now))
}

// pushSuspects sends suspects to the other instances. It returns once they have acknowledged or after pushTimeout.
func (g *Guard) pushSuspects(fingerprints []uint64) {
	if g.push == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	pushed := make(chan struct{})
	g.goroutines.Go(func() {
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

// replyHeld settles the calls that were reset.
func (g *Guard) replyHeld(held []*call, crashed bool) {
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
