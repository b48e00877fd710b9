package guard

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// coldUtilization is the fraction of a cold server's capacity per second that is used when cold_factor raises
	// that capacity above the rate.
	coldUtilization = 0.9
	// minRestartTime is a lower bound on the time from the start of a backend server to the start of a replacement
	// node process beside it: the old process has to end, and its end has to be noticed, before a new one is started.
	minRestartTime = 250 * time.Millisecond
	// coldResolution is larger than the unit of the remaining cold time that a backend server reports. A server that
	// reports 0 may still be cold for up to one unit.
	coldResolution = 2 * time.Millisecond
)

// coldBound returns the number of calls per second that a cold backend server can handle, or 0 if there is no bound.
func coldBound(service *schema.Service) float64 {
	return service.GetColdRate()*max(service.GetColdFactor(), 1) + service.GetColdBurst()
}

// coldRate returns the highest number of calls per second to send to a cold backend server, or 0 if there is no
// bound.
func coldRate(service *schema.Service) float64 {
	switch {
	case service.GetColdRate() == 0:
		return 0
	case service.GetColdFactor() > 1:
		return coldUtilization * coldBound(service)
	}
	return coldBound(service)
}

// coldState tracks whether the backend server is in cold start, according to its reports.
type coldState struct {
	// known is true once a report has arrived since the state was last reset; cold is the value in the last report.
	known, cold bool
	// confirmed is true if the last report proves that the server is warm. warmAt is when the latest such report was
	// requested.
	confirmed bool
	warmAt    time.Time
	// maybeColdUntil is the time until which a server that reports warm may still be cold.
	maybeColdUntil time.Time
}

// update records a report that was requested at the time asked. The first report of a warm server does not prove it,
// because the server rounds its remaining cold time down to whole milliseconds.
func (s *coldState) update(now, asked time.Time, cold bool) {
	switch {
	case cold:
		s.confirmed = false
	case s.cold || !s.known:
		s.maybeColdUntil = now.Add(coldResolution)
	case !asked.Before(s.maybeColdUntil):
		s.confirmed = true
		s.warmAt = later(asked, s.warmAt)
	}
	s.known, s.cold = true, cold
}

// reset discards the state because the server may have restarted.
func (s *coldState) reset() { s.known, s.cold, s.confirmed = false, false, false }

// unconfirmed reports whether another report is needed to confirm that the server is warm.
func (s *coldState) unconfirmed() bool { return s.known && !s.cold && !s.confirmed }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirmWarm probes again once the server can no longer be in the last millisecond of its cold start. If the probe
// budget allows no probe within tickInterval, the next tick sends one.
func (g *Guard) confirmWarm() {
	for waited := time.Duration(0); waited < tickInterval; waited += probeRetryDelay {
		if !g.sleep(probeRetryDelay) || g.tryProbe() {
			return
		}
	}
}

// coldRateApplies reports whether the rate of calls is bounded because the backend server is in cold start or is not
// confirmed warm.
func (g *Guard) coldRateApplies() bool { return g.coldRate > 0 && !g.server.coldState.confirmed }

// holdAfterRestart prevents calls to a cold backend server while an earlier process may have sent it calls within the
// last admit.RateWindow.
func (g *Guard) holdAfterRestart() {
	g.controller.HoldUntil(g.epoch.Add(admit.RateWindow))
}

// releaseHold ends the hold of holdAfterRestart if the backend server turned cold so late that an earlier process
// cannot have sent it calls since: after this one began, or shortly before and there was no earlier process.
func (g *Guard) releaseHold(now time.Time, report *core.ServerReport) {
	since, ok := g.coldSince(now, report)
	if ok && (since.After(g.epoch) || since.After(g.epoch.Add(-minRestartTime)) && g.firstProcess(g.member().GetInstance())) {
		g.controller.HoldUntil(time.Time{})
	}
}

// coldSince returns when the cold start of a backend server began according to its report, and whether that is known.
func (g *Guard) coldSince(now time.Time, report *core.ServerReport) (time.Time, bool) {
	if report.ColdRemaining <= 0 || report.ColdRemaining > g.warmTime {
		return time.Time{}, false
	}
	return now.Add(report.ColdRemaining - g.warmTime), true
}

// reportAge returns the age of the last state report of the backend server, or 0 if there was none.
func (g *Guard) reportAge(now time.Time) time.Duration {
	if g.server.reportApplied.IsZero() {
		return 0
	}
	return now.Sub(g.server.reportApplied)
}

// logColdChange logs a transition of the backend server between cold and warm: when it began, whether the state was
// known before, and how many calls were sent since.
func (g *Guard) logColdChange(now time.Time, report *core.ServerReport) {
	before := g.server.coldState
	if before.known && before.cold == report.Cold {
		return
	}
	server := cmp.Or(report.Instance, g.member().GetInstance())
	if !report.Cold {
		g.logger.Info("backend server is warm", zap.String("server", server))
		return
	}
	since, _ := g.coldSince(now, report)
	g.logger.Info("backend server is cold", zap.String("server", server),
		zap.Duration("cold_left", report.ColdRemaining), zap.Time("cold_since", since),
		zap.Int("sends", g.controller.SendsSince(now, since)), zap.Float64("bound", g.coldBound),
		zap.Bool("known", before.known), zap.Duration("report_age", g.reportAge(now)),
		zap.Duration("guard_age", now.Sub(g.epoch)))
}

// recordSend records that the first byte of a call was sent. While the cold rate applies, it logs the call with the
// number of sends in the last second, without those before the server was last known to be warm, and the number of
// started calls that are not sent yet.
func (g *Guard) recordSend(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	delay := now.Sub(c.admit.Started())
	g.controller.MarkSent(now, &c.admit)
	g.metrics.sendDelay.Observe(delay.Seconds())
	if !g.coldRateApplies() {
		return
	}
	sends := g.controller.SendsSince(now, g.server.coldState.warmAt)
	g.metrics.coldSends.Inc()
	if float64(sends) > g.coldBound {
		g.metrics.coldOver.Inc()
	}
	g.logger.Info("call sent to a cold server", zap.ByteString("request", c.request.GetRequestId()),
		zap.String("server", g.member().GetInstance()), zap.Int("sends", sends), zap.Int("unsent", g.controller.Unsent()),
		zap.Float64("bound", g.coldBound), zap.Duration("delay", delay), zap.Bool("known", g.server.coldState.known),
		zap.Duration("report_age", g.reportAge(now)), zap.Duration("guard_age", now.Sub(g.epoch)))
}
