package guard_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// resetTwo runs four calls: a full server resets the connections of the last two, and answers the second one with a report right
// afterwards.
func (b *harness) resetTwo(report *core.ServerReport) {
	b.backend.send = func(_ context.Context, _ *core.Request, inFlight int) *core.Result {
		time.Sleep(service)
		switch inFlight {
		case 1:
			time.Sleep(20 * service)
			return answered()
		case 2:
			time.Sleep(time.Millisecond)
			return &core.Result{Written: true, Code: 200, Report: report}
		}
		return &core.Result{Written: true, ConnectionReset: true, ConnectionEnded: true, Reason: schema.Reason_REASON_CONNECTION_LOST}
	}
	var replies []<-chan *schema.ExecuteReply
	for range 4 {
		replies = append(replies, b.start(b.Context(), lookup()))
	}
	for i, reply := range replies {
		if i < 2 {
			b.checkAnswered(<-reply)
			continue
		}
		b.checkUnknown(<-reply, schema.Reason_REASON_CONNECTION_LOST)
	}
}

// TestFullResets guards against a full server that is taken for one that was started anew, since it reset several connections:
// it would get the load of a cold server for the whole warm-up.
func TestFullResets(t *testing.T) {
	same := &core.ServerReport{HasState: true, Incarnation: 1}
	for _, c := range []struct {
		name     string
		openIdle bool
		report   *core.ServerReport
		cold     bool
	}{
		{"idle connection open", true, nil, false},
		{"report", false, same, false},
		{"no sign", false, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, nil, func(b *harness) {
				b.warmUp(&core.Result{Written: true, Code: 200, Report: same})
				b.backend.mu.Lock()
				b.backend.openIdle = c.openIdle
				b.backend.mu.Unlock()
				b.resetTwo(c.report)
				b.Check(b.Load().Limit < slots, qt.Equals, c.cold)
			})
		})
	}
}

// TestFullSuspects guards against requests that become suspects because a full server, which still runs calls that were given up,
// resets their connections and that of the probe.
func TestFullSuspects(t *testing.T) {
	runCrash(t, func(b *crashHarness) {
		full := warmReport()
		full.Limit, full.InFlight, full.Queued = 4, 4, 6
		b.report(full)
		time.Sleep(2 * time.Second)
		b.backend.mu.Lock()
		b.backend.probeError = context.DeadlineExceeded
		b.backend.mu.Unlock()
		result := endings()["before the response"]
		result.Written, result.ConnectionEnded = true, true
		b.backend.send = func(context.Context, *core.Request, int) *core.Result { return &result }
		b.checkUnknown(b.Execute(b.Context(), lookup()), schema.Reason_REASON_CONNECTION_LOST)
		b.Check(b.crashes(), qt.Equals, 0)
	})
}

// TestFullQueue guards against calls that are sent to a server whose queue is long though few of the guard's calls run there: it
// still runs calls that were given up.
func TestFullQueue(t *testing.T) {
	run(t, nil, func(b *harness) {
		report := core.ServerReport{HasState: true, Incarnation: 1, Limit: slots}
		b.warmUp(&core.Result{Written: true, Code: 200, Report: &report})
		limit := func(queued int) int {
			full := report
			full.InFlight, full.Queued = slots, queued
			b.backend.send = func(context.Context, *core.Request, int) *core.Result {
				return &core.Result{Written: true, Code: 200, Report: &full}
			}
			b.checkAnswered(b.Execute(b.Context(), lookup()))
			return b.Load().Limit
		}
		b.Check(limit(2), qt.Equals, slots)
		b.Check(limit(10), qt.Equals, slots-8)
		b.Check(limit(100), qt.Equals, 1)
		b.Check(limit(0), qt.Equals, slots)
		report.Limit = 2 * slots
		b.Check(limit(10), qt.Equals, slots, qt.Commentf("not believed beside free slots"))
	})
}
