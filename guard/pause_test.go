package guard_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/guard"
	"verbenareel/limit"
	"verbenareel/poison"
	"verbenareel/schema"
)

// blockingSuspects is a suspect table that blocks one check before a send.
type blockingSuspects struct {
	*poison.Table
	checks  atomic.Int64
	blocked chan struct{}
}

// Crashes implements core.SuspectTable. The first check belongs to the offer of a call, the second one to its send.
func (s *blockingSuspects) Crashes(now time.Time, fingerprint uint64) int {
	if s.checks.Add(1) == 2 {
		<-s.blocked
	}
	return s.Table.Crashes(now, fingerprint)
}

// TestPauseBeforeSend guards against the send of a call that was started before a pause of the process: a tick may already
// have noticed the pause when the goroutine of the call continues.
func TestPauseBeforeSend(t *testing.T) {
	table := &blockingSuspects{Table: poison.New(16, time.Minute)}
	opts := []guard.Option{guard.WithLimiter(limit.NewFixed(1)), guard.WithSuspects(table)}
	run(t, opts, func(b *harness) {
		table.blocked = make(chan struct{})
		reply := b.start(b.Context(), lookup())
		b.clock.pause(600 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		close(table.blocked)
		b.checkNotRun(<-reply, schema.Reason_REASON_PAUSED)
		b.Check(b.backend.calls(), qt.Equals, 0)
	})
}

// TestPauseHidesRestart guards against a full load on a server that restarted during a pause of the process. A new
// connection succeeds after the restart, so only a report of the server shows that it is cold.
func TestPauseHidesRestart(t *testing.T) {
	run(t, nil, func(b *harness) {
		b.warmUp(answered())
		release := b.blockCalls()
		b.backend.report = nil
		b.clock.pause(time.Second)
		var callers conc.WaitGroup
		for range slots {
			callers.Go(func() { b.Execute(context.Background(), lookup()) })
		}
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		b.Check(b.Load().InFlight, qt.Equals, cold)
		release()
		callers.Wait()
	})
}
