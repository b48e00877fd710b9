package guard

import (
	"time"

	"go.uber.org/zap"

	"verbenareel/core"
)

const (
	// queueTolerance is the number of waiting requests that a server may report without being full: the server frees a slot a
	// moment after it has sent a response.
	queueTolerance = 2
	// fullReportLife is how long the report of a full server is taken into account.
	fullReportLife = time.Second
)

// surplus returns the number of requests that wait at the backend server beyond the tolerance. The guard sends no more than the
// server has slots, so the slots hold calls that the guard has given up and the server has not. A queue beside free slots is not
// believed.
func surplus(report *core.ServerReport) int {
	if report.InFlight < report.Limit {
		return 0
	}
	return max(0, report.Queued-queueTolerance)
}

// freeSlots returns the limit for a server that reports a number of slots, 0 if it reports none.
func freeSlots(slots int, report *core.ServerReport) int {
	if slots <= 0 {
		return slots
	}
	return max(1, slots-surplus(report))
}

// recentlyFull reports whether the backend server was full by a recent report. A full server may reset connections, also those of
// probes, so a reset is then no sign of a crash.
func (g *Guard) recentlyFull(now time.Time) bool {
	return !g.server.fullAt.IsZero() && now.Sub(g.server.fullAt) < fullReportLife
}

// recordFull records whether the backend server is full by a report.
func (g *Guard) recordFull(now time.Time, report *core.ServerReport) {
	if surplus(report) == 0 {
		g.server.fullAt = time.Time{}
		return
	}
	if !g.recentlyFull(now) {
		g.logger.Info("backend server is full", zap.Int("running", report.InFlight), zap.Int("waiting", report.Queued),
			zap.Int("slots", report.Limit), zap.Int("own_calls", g.controller.InFlight()))
	}
	g.server.fullAt = now
}

// restartAssumed reports whether several resets indicate a restart of the backend server. They do not if an idle connection is
// still open, or if the server has reported since: its report shows a restart by itself.
func (g *Guard) restartAssumed(now time.Time, lives bool) bool {
	reported := g.server.reportReceived.After(g.server.lastReset)
	return g.server.resets >= resetThreshold && !lives && !reported && !g.recentlyFull(now)
}
