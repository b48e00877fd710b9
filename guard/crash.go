package guard

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// resetQuietTime is the time without the end of another connection after which all connections to a crashed server
	// are assumed to have ended. It is awaited at most maxQuietWaits times.
	resetQuietTime = 5 * time.Millisecond
	maxQuietWaits  = 10
	// crashConnectTimeout is the timeout of the connection attempt that distinguishes a crash from the end of a single
	// connection.
	crashConnectTimeout = 200 * time.Millisecond
	// pushTimeout is the longest time that replies to the calls in flight during a crash wait for the push of
	// suspects.
	pushTimeout = 200 * time.Millisecond
	// suspicionLife is how long a suspicion waits for a sign of a crash.
	suspicionLife = 5 * time.Second
	// crashSpread is the longest time between the ends of connections that one crash ends.
	crashSpread = 100 * time.Millisecond
	// maxSuspicions bounds the number of suspicions. The oldest are discarded first.
	maxSuspicions = 256
)

// crash holds the state of crash detection. The end of a connection in the middle of a call is no proof of a crash: a
// server that lives, or a middlebox, can end it too. It only raises a suspicion. A crash is confirmed by a refused
// connection, by a report of another process, or by a report of a cold start that began during the call. It is assumed if
// calls were reset and nothing shows that the server lives. A report of the same process discards suspicions and the
// assumption.
type crash struct {
	// held are the calls whose connection ended. Their callers wait until it is known whether the server crashed.
	held       []*call
	checking   bool
	suspicions []suspicion
	// assumed are the suspicions of the last crash if it was only assumed.
	assumed []suspicion
	// unpushed are the suspects that were not yet sent to the other instances.
	unpushed []uint64
	// lastCrash is the time of the last crash, and recorded holds the fingerprints that it made suspects. A call that
	// was in flight at that time and whose connection ends later belongs to the same crash.
	lastCrash time.Time
	recorded  map[uint64]struct{}
}

// suspicion is a call whose connection ended, with what was known of the backend server at that time.
type suspicion struct {
	fingerprints []uint64
	// started is when the call was started, ended when its connection ended. alone reports that no other call was running.
	started, ended time.Time
	alone          bool
	// instance and incarnation are those of the last report; warm reports that the server was warm by it.
	instance    string
	incarnation uint64
	warm        bool
}

// raiseSuspicion records that the connection of a call ended.
func (g *Guard) raiseSuspicion(now time.Time, c *call) {
	g.crash.suspicions = slices.DeleteFunc(g.crash.suspicions, func(s suspicion) bool { return s.expired(now) })
	if len(g.crash.suspicions) == maxSuspicions {
		g.crash.suspicions = slices.Delete(g.crash.suspicions, 0, 1)
	}
	g.crash.suspicions = append(g.crash.suspicions, suspicion{
		fingerprints: c.fingerprints,
		started:      c.admit.Started(),
		ended:        now,
		alone:        c.admit.Alone,
		instance:     g.member().GetInstance(),
		incarnation:  g.server.incarnation,
		warm:         g.server.coldState.known && !g.server.coldState.cold,
	})
}

func (s suspicion) expired(now time.Time) bool { return now.Sub(s.ended) > suspicionLife }

// holdCall withholds the reply to a call whose connection ended until it is known whether the backend server crashed.
// If the server had not begun its response, no call starts until then, as it could be another copy of the request that
// crashed the server.
func (g *Guard) holdCall(c *call, result *core.Result) {
	g.crash.held = append(g.crash.held, c)
	c.reset = result.ConnectionReset
	if c.reset {
		g.controller.Pause()
	}
	if g.crash.checking {
		return
	}
	g.crash.checking = true
	g.goroutines.Go(g.checkCrash)
}

// checkCrash determines whether connections ended because of a crash of the backend server, and replies to the held
// calls. A server that accepts a new connection may have restarted, which its report shows.
func (g *Guard) checkCrash() {
	g.awaitEnds()
	ctx, cancel := context.WithTimeout(context.Background(), crashConnectTimeout)
	defer cancel()
	var err error
	lives := g.backend.HasOpenIdle()
	if !lives {
		err = g.backend.Connect(ctx)
	}
	if !lives && err == nil {
		g.tryProbe()
	}
	held, crashed, suspects := g.classifyEnds(err, lives)
	g.pushSuspects(suspects)
	g.replyHeld(held, crashed)
}

// awaitEnds waits until no more connections end. On a busy machine the ends that one crash causes are detected over tens
// of milliseconds.
func (g *Guard) awaitEnds() {
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

// classifyEnds decides whether the backend server crashed, given the result of a connection attempt and whether an older
// connection shows that it lives. It returns the held calls and the suspects to send to the other instances.
func (g *Guard) classifyEnds(err error, lives bool) (held []*call, crashed bool, suspects []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	held = g.crash.held
	g.crash.held = nil
	g.crash.checking = false
	switch {
	case isRefused(err), g.inLastCrash(held):
		g.confirmCrash(now, g.crash.suspicions)
	case !lives && !g.recentlyFull(now) && len(g.running) == 0 && slices.ContainsFunc(held, (*call).impliesCrash):
		g.crash.assumed = g.confirmCrash(now, g.crash.suspicions)
	}
	if g.restartAssumed(now, lives) {
		g.treatAsCold(now, "several connections reset")
	}
	crashed = g.inLastCrash(held)
	suspects, g.crash.unpushed = g.crash.unpushed, nil
	if err != nil {
		g.markDown(now, err)
	}
	g.checkPause(now)
	g.refresh(now)
	g.resumeStarts(now)
	return held, crashed, suspects
}

// impliesCrash reports whether a crash is assumed if the connection of the call ended and nothing shows that the server
// lives. An answer that was cut short is no reason to treat the server as cold, unless the request was a suspect already.
func (c *call) impliesCrash() bool { return c.reset || c.admit.Alone }

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// inLastCrash reports whether all the calls were in flight at the last crash.
func (g *Guard) inLastCrash(held []*call) bool {
	return !slices.ContainsFunc(held, func(c *call) bool { return c.admit.Started().After(g.crash.lastCrash) })
}

// confirmRefused confirms the suspicions if a connection attempt was refused.
func (g *Guard) confirmRefused(now time.Time, err error) {
	if isRefused(err) {
		g.confirmCrash(now, g.crash.suspicions)
		g.pushLater()
	}
}

// judgeSuspicions confirms or discards suspicions by a report of the backend server that was requested at the time asked.
func (g *Guard) judgeSuspicions(now, asked time.Time, report *core.ServerReport) {
	restarted := func(s suspicion) bool { return g.restartedSince(now, report, s) }
	refuted := func(s suspicion) bool { return s.ended.Before(asked) && !restarted(s) }
	if slices.ContainsFunc(g.crash.assumed, refuted) {
		g.withdrawCrash(now)
	}
	if slices.ContainsFunc(g.crash.assumed, restarted) {
		g.crash.assumed = nil
	}
	g.confirmCrash(now, slices.DeleteFunc(slices.Clone(g.crash.suspicions), func(s suspicion) bool { return !restarted(s) }))
	g.pushLater()
	g.crash.suspicions = slices.DeleteFunc(g.crash.suspicions, refuted)
}

// withdrawCrash clears the suspects of a crash that was only assumed: their requests ended without a crash.
func (g *Guard) withdrawCrash(now time.Time) {
	g.logger.Info("backend server did not crash", zap.Int("calls", len(g.crash.assumed)))
	for _, s := range g.crash.assumed {
		g.clearSuspect(now, s.fingerprints)
	}
	g.crash.assumed = nil
	g.crash.lastCrash = time.Time{}
}

// restartedSince reports whether a report shows that the backend server started anew after the call of the suspicion had
// started.
func (g *Guard) restartedSince(now time.Time, report *core.ServerReport, s suspicion) bool {
	switch {
	case report.Instance != "" && s.instance != "" && report.Instance != s.instance:
		return true
	case report.Incarnation != 0 && s.incarnation != 0 && report.Incarnation != s.incarnation:
		return true
	case !report.Cold:
		return false
	}
	if since, ok := g.coldSince(now, report); ok {
		return since.After(s.started)
	}
	return s.warm
}

// confirmCrash records a crash that ended the connections of the suspicions, and returns those that belong to it: only the
// latest ones, because the server was alive when the others ended.
func (g *Guard) confirmCrash(now time.Time, suspicions []suspicion) []suspicion {
	var latest []suspicion
	for _, s := range suspicions {
		if !s.expired(now) && suspicions[len(suspicions)-1].ended.Sub(s.ended) <= crashSpread {
			latest = append(latest, s)
		}
	}
	if len(latest) == 0 {
		return nil
	}
	g.crash.suspicions, g.crash.assumed = nil, nil
	g.recordCrash(now, latest)
	return latest
}

// recordCrash records the requests of the suspicions as suspects. A fingerprint is counted once per crash.
func (g *Guard) recordCrash(now time.Time, suspicions []suspicion) {
	later := func(s suspicion) bool { return s.started.After(g.crash.lastCrash) }
	if slices.ContainsFunc(suspicions, later) {
		g.crash.lastCrash = suspicions[len(suspicions)-1].ended
		g.crash.recorded = make(map[uint64]struct{}, len(suspicions))
		g.metrics.crashes.Inc()
	}
	fingerprints := make([]uint64, 0, len(suspicions))
	for _, s := range suspicions {
		for _, f := range s.fingerprints {
			if _, ok := g.crash.recorded[f]; !ok {
				g.crash.recorded[f] = struct{}{}
				fingerprints = append(fingerprints, f)
			}
		}
	}
	g.logger.Warn("backend server crashed", zap.Int("calls", len(suspicions)), zap.Uint64s("fingerprints", fingerprints))
	g.suspects.Record(now, fingerprints, len(suspicions) == 1 && suspicions[0].alone)
	g.crash.unpushed = append(g.crash.unpushed, fingerprints...)
	g.treatAsCold(now, "crash of the backend server")
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
	if g.push == nil || len(fingerprints) == 0 {
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

// pushLater sends new suspects to the other instances in the background, unless checkCrash is about to send them.
func (g *Guard) pushLater() {
	suspects := g.crash.unpushed
	if len(suspects) == 0 || g.crash.checking {
		return
	}
	g.crash.unpushed = nil
	g.goroutines.Go(func() { g.pushSuspects(suspects) })
}

// replyHeld settles the held calls.
func (g *Guard) replyHeld(held []*call, crashed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, c := range held {
		reply := c.reply
		if crashed {
			reply = core.Unknown(schema.Reason_REASON_CRASHED)
			reply.SetSuspect(true)
		}
		g.settle(now, c, reply)
	}
}

// crashes returns the number of crashes during which the request of the call was in flight.
func (g *Guard) crashes(now time.Time, c *call) int {
	crashes := 0
	for _, f := range c.fingerprints {
		crashes = max(crashes, g.suspects.Crashes(now, f))
	}
	return crashes
}

// wasSuspect reports whether the request of the call was in flight during a crash, even if a later run cleared it.
func (g *Guard) wasSuspect(now time.Time, c *call) bool {
	return slices.ContainsFunc(c.fingerprints, func(f uint64) bool { return g.suspects.Known(now, f) })
}

// clearSuspect records that a suspect ended without a crash. It need not have run alone: a request that crashes every
// server that runs it never gets an answer, so a frequent request that happened to be in flight during a crash is
// cleared by its next answer.
func (g *Guard) clearSuspect(now time.Time, fingerprints []uint64) {
	for _, f := range fingerprints {
		g.suspects.Clear(now, f)
	}
	g.handle(now, g.controller.ClearSuspects(now, func(waiting *admit.Call) bool {
		return g.crashes(now, waiting.Owner.(*call)) == 0
	}))
}
