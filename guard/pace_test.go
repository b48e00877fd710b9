package guard_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/schema"
)

const (
	coldRate  = 5
	coldBurst = 2
	// coldTime is the duration of a cold start.
	coldTime = 3 * time.Second
)

// setReporting publishes a snapshot for a backend server that reports its own load and state. listed is when the
// platform's instance list was read and state is the state in it; INSTANCE_STATE_UNSPECIFIED means that the list does
// not contain the instance.
func (s *snapshots) setReporting(listed time.Time, state schema.InstanceState) {
	document := schema.Document_builder{
		Places: schema.Places_builder{Domains: map[string]*schema.Domain{"sapporo": {}}}.Build(),
		Services: map[string]*schema.Service{"sheets": schema.Service_builder{
			FixedLimit: true, Queue: queue, Timeout: durationpb.New(time.Minute), MaxBody: 1 << 20, Connections: 10,
			ProbesPerSecond: 50, ReportAge: durationpb.New(50 * time.Millisecond), ColdRate: coldRate, ColdBurst: coldBurst,
			WarmTime: durationpb.New(coldTime),
		}.Build()},
	}.Build()
	var members []*schema.Member
	if state != schema.InstanceState_INSTANCE_STATE_UNSPECIFIED {
		members = append(members, schema.Member_builder{
			Instance: "sheets-1", Service: "sheets", Domain: "sapporo", Address: "127.0.0.1:1", State: state,
		}.Build())
	}
	s.Store(core.NewSnapshot(2, document, members).SetListTime(listed))
}

// reportingServer is a simulated backend server that reports its own load and state.
type reportingServer struct {
	pace     atomic.Int64
	cold     atomic.Int64
	draining atomic.Bool
	hangs    atomic.Bool
	// asked counts the probes.
	asked atomic.Int64
	name  atomic.Pointer[string]
}

func newReportingServer() *reportingServer {
	s := &reportingServer{}
	s.pace.Store(100)
	s.rename("sheets-1")
	return s
}

func (s *reportingServer) rename(name string) { s.name.Store(&name) }

func (s *reportingServer) report() *core.ServerReport {
	left := time.Duration(s.cold.Load())
	return &core.ServerReport{
		Limit: slots, Pace: int(s.pace.Load()), HasState: true, Cold: left > 0, ColdRemaining: left,
		Draining: s.draining.Load(), Instance: *s.name.Load(),
	}
}

// probingBackend is a backend whose probes return the report of a reportingServer.
type probingBackend struct {
	*backend
	server *reportingServer
}

func (p *probingBackend) Probe(ctx context.Context) (*core.ServerReport, error) {
	if p.server.hangs.Load() {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	p.server.asked.Add(1)
	time.Sleep(time.Millisecond)
	return p.server.report(), nil
}

// runReporting runs a test with a guard whose server reports its own load and state.
func runReporting(t *testing.T, opts []guard.Option, test func(*harness, *reportingServer)) {
	t.Helper()
	server := newReportingServer()
	wrap := func(b *backend) core.Backend { return &probingBackend{backend: b, server: server} }
	runWith(t, wrap, opts, func(b *harness) {
		b.snapshots.setReporting(time.Time{}, schema.InstanceState_INSTANCE_STATE_UNSPECIFIED)
		time.Sleep(200 * time.Millisecond)
		test(b, server)
	})
}

func eager() *schema.ExecuteRequest {
	request := lookup()
	request.SetEager(true)
	return request
}

// TestPace guards against calls that start in a slow phase of the backend server and take several times as long.
func TestPace(t *testing.T) {
	t.Run("held back", func(t *testing.T) {
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			s.pace.Store(500)
			time.Sleep(100 * time.Millisecond)
			began := b.clock.Now()
			replies := b.start(b.Context(), lookup())
			time.Sleep(100 * time.Millisecond)
			b.Check(b.backend.calls(), qt.Equals, 0)
			s.pace.Store(100)
			b.checkAnswered(<-replies)
			b.Check(b.clock.Now().Sub(began) < 200*time.Millisecond, qt.IsTrue)
		})
	})
	t.Run("eager call sent away", func(t *testing.T) {
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			s.pace.Store(500)
			began := b.clock.Now()
			b.checkNotRun(b.Execute(b.Context(), eager()), schema.Reason_REASON_SLOW)
			b.Check(b.clock.Now().Sub(began) < 50*time.Millisecond, qt.IsTrue)
			b.Check(b.backend.calls(), qt.Equals, 0)
		})
	})
	t.Run("slow for long", func(t *testing.T) {
		// A permanently high pace is not a slow phase, so calls start.
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			s.pace.Store(200)
			time.Sleep(1200 * time.Millisecond)
			began := b.clock.Now()
			b.checkAnswered(b.Execute(b.Context(), lookup()))
			b.Check(b.clock.Now().Sub(began) < 50*time.Millisecond, qt.IsTrue)
		})
	})
	t.Run("cold from the start", func(t *testing.T) {
		// After a start the server is slow for seconds. Holding calls back until it is faster would waste these
		// seconds.
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			s.cold.Store(int64(3 * time.Second))
			s.pace.Store(200)
			s.rename("sheets-2")
			time.Sleep(100 * time.Millisecond)
			request := lookup()
			request.SetInstance("sheets-2")
			began := b.clock.Now()
			b.checkAnswered(b.Execute(b.Context(), request))
			b.Check(b.clock.Now().Sub(began) < 50*time.Millisecond, qt.IsTrue)
		})
	})
	t.Run("started just before", func(t *testing.T) {
		// A probe at the start of the call shows that the server was already slow, although the last report did not.
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			b.blockCalls()
			request := lookup()
			request.SetAbandonSlow(true)
			s.pace.Store(100)
			time.Sleep(70 * time.Millisecond)
			b.backend.send = func(ctx context.Context, _ *core.Request, _ int) *core.Result {
				s.pace.Store(500)
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
					return answered()
				}
				return &core.Result{Written: true, Reason: schema.Reason_REASON_CANCELLED}
			}
			began := b.clock.Now()
			b.checkUnknown(b.Execute(b.Context(), request), schema.Reason_REASON_SLOW)
			b.Check(b.clock.Now().Sub(began) < 50*time.Millisecond, qt.IsTrue)
		})
	})
	t.Run("probe hangs", func(t *testing.T) {
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			s.hangs.Store(true)
			time.Sleep(100 * time.Millisecond)
			began := b.clock.Now()
			b.checkAnswered(b.Execute(b.Context(), lookup()))
			b.Check(b.clock.Now().Sub(began) < 100*time.Millisecond, qt.IsTrue)
		})
	})
	t.Run("report", func(t *testing.T) {
		runReporting(t, nil, func(b *harness, s *reportingServer) {
			s.pace.Store(500)
			time.Sleep(100 * time.Millisecond)
			b.Check(b.Load().Pace, qt.Equals, 5.0)
		})
	})
}

// TestEager guards against an eager call that is queued although its router knows of an instance with a free slot.
func TestEager(t *testing.T) {
	runReporting(t, nil, func(b *harness, _ *reportingServer) {
		release := b.blockCalls()
		for range slots {
			b.start(b.Context(), lookup())
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		b.checkNotRun(b.Execute(b.Context(), eager()), schema.Reason_REASON_BUSY)
		waiting := b.start(b.Context(), lookup())
		release()
		b.checkAnswered(<-waiting)
	})
}

// TestIdleProbes guards against a server without calls that is probed as often as one with calls, and against a first call
// after such a time that starts by an old pace.
func TestIdleProbes(t *testing.T) {
	runReporting(t, nil, func(b *harness, s *reportingServer) {
		time.Sleep(5 * time.Second)
		before := s.asked.Load()
		time.Sleep(5 * time.Second)
		probes := s.asked.Load() - before
		b.Check(probes >= 8 && probes <= 12, qt.IsTrue, qt.Commentf("%d probes", probes))
		s.pace.Store(500)
		b.checkNotRun(b.Execute(b.Context(), eager()), schema.Reason_REASON_SLOW)
		before = s.asked.Load()
		time.Sleep(500 * time.Millisecond)
		b.Check(s.asked.Load()-before >= 5, qt.IsTrue, qt.Commentf("%d probes", s.asked.Load()-before))
	})
}

// TestRefuseBody guards against large bodies that are transferred although their calls would be refused.
func TestRefuseBody(t *testing.T) {
	runReporting(t, nil, func(b *harness, _ *reportingServer) {
		b.Check(b.RefuseBody("sheets-1", true), qt.Equals, schema.Reason_REASON_NONE)
		b.Check(b.RefuseBody("sheets-2", false), qt.Equals, schema.Reason_REASON_WRONG_INSTANCE)
		release := b.blockCalls()
		var running []<-chan *schema.ExecuteReply
		for range slots {
			running = append(running, b.start(b.Context(), lookup()))
			time.Sleep(20 * time.Millisecond)
		}
		b.Check(b.RefuseBody("sheets-1", true), qt.Equals, schema.Reason_REASON_BUSY)
		b.Check(b.RefuseBody("sheets-1", false), qt.Equals, schema.Reason_REASON_NONE)
		release()
		for _, reply := range running {
			b.checkAnswered(<-reply)
		}
		b.snapshots.set(2, true)
		b.Check(b.RefuseBody("sheets-1", false), qt.Equals, schema.Reason_REASON_OUT_OF_SERVICE)
	})
}

// TestColdRate guards against a cold backend server that gets more calls per second than it can start, and against
// one that gets far fewer.
func TestColdRate(t *testing.T) {
	runReporting(t, nil, func(b *harness, s *reportingServer) {
		var mu sync.Mutex
		var starts []time.Time
		s.cold.Store(int64(time.Minute))
		time.Sleep(100 * time.Millisecond)
		b.backend.send = func(context.Context, *core.Request, int) *core.Result {
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, b.clock.Now())
			return answered()
		}
		for range 300 {
			b.start(b.Context(), lookup())
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		for i := coldRate + coldBurst; i < len(starts); i++ {
			b.Assert(starts[i].Sub(starts[i-coldRate-coldBurst]) >= time.Second, qt.IsTrue)
		}
		b.Check(len(starts) >= 3*coldRate, qt.IsTrue, qt.Commentf("%d starts", len(starts)))
	})
}

// TestColdFactor guards against a bound above the capacity of a cold backend server, and against one far below it.
func TestColdFactor(t *testing.T) {
	bound := func(rate, factor, burst float64) float64 {
		return guard.ColdRate(schema.Service_builder{ColdRate: rate, ColdFactor: factor, ColdBurst: burst}.Build())
	}
	qt.Check(t, bound(0, 1.5, 5), qt.Equals, 0.0)
	qt.Check(t, bound(15, 0, 5), qt.Equals, 20.0)
	qt.Check(t, bound(15, 1, 5), qt.Equals, 20.0)
	qt.Check(t, bound(15, 1.5, 5), qt.Equals, 24.75)
}

// TestReplaced guards against a guard that continues to serve under the name of a backend server that was replaced.
func TestReplaced(t *testing.T) {
	names := make(chan string, 4)
	runReporting(t, []guard.Option{guard.WithInstanceChange(func(name string) { names <- name })}, func(b *harness, s *reportingServer) {
		b.checkAnswered(b.Execute(b.Context(), lookup()))
		s.rename("sheets-2")
		time.Sleep(200 * time.Millisecond)
		b.Check(<-names, qt.Equals, "sheets-2")
		b.Check(b.Instance(), qt.Equals, "sheets-2")
		b.checkNotRun(b.Execute(b.Context(), lookup()), schema.Reason_REASON_WRONG_INSTANCE)
		request := lookup()
		request.SetInstance("sheets-2")
		b.checkAnswered(b.Execute(b.Context(), request))
	})
}

// TestLeaving guards against sending calls to a backend server that is leaving, and against taking one out of use
// because of a wrong health check.
func TestLeaving(t *testing.T) {
	serving := schema.InstanceState_INSTANCE_STATE_SERVING
	for _, c := range []struct {
		name string
		// state is the state in the platform's list. later means that the list was read after the first draining
		// report, not at that time.
		state  schema.InstanceState
		later  bool
		reason schema.Reason
	}{
		{"the list agrees", schema.InstanceState_INSTANCE_STATE_LEAVING, true, schema.Reason_REASON_LEAVING},
		{"the list is older", serving, false, schema.Reason_REASON_LEAVING},
		{"the list contradicts", serving, true, schema.Reason_REASON_NONE},
		{"the list does not name it", schema.InstanceState_INSTANCE_STATE_UNSPECIFIED, true, schema.Reason_REASON_LEAVING},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			runReporting(t, []guard.Option{guard.WithListRefresh(func() { asked++ })}, func(b *harness, s *reportingServer) {
				s.draining.Store(true)
				time.Sleep(100 * time.Millisecond)
				listed := b.clock.Now()
				if c.later {
					listed = listed.Add(time.Second)
				}
				b.snapshots.setReporting(listed, c.state)
				time.Sleep(100 * time.Millisecond)
				reply := b.Execute(b.Context(), lookup())
				b.Check(core.ReasonName(reply.GetReason()), qt.Equals, core.ReasonName(c.reason))
			})
			qt.Check(t, asked > 0, qt.IsTrue)
		})
	}
}

// TestListAskedAgain guards against missing that a server leaves while its health check is wrong: it reported
// draining without leaving before, or it reports a healthy state while its calls fail. In both cases only the list
// shows that it leaves.
func TestListAskedAgain(t *testing.T) {
	for name, prepare := range map[string]func(b *harness, s *reportingServer){
		"false alarm before": func(b *harness, s *reportingServer) {
			s.draining.Store(true)
			time.Sleep(100 * time.Millisecond)
			b.snapshots.setReporting(b.clock.Now().Add(time.Minute), schema.InstanceState_INSTANCE_STATE_SERVING)
		},
		"well but failing": func(b *harness, _ *reportingServer) {
			b.backend.send = func(context.Context, *core.Request, int) *core.Result { return &core.Result{Written: true, Code: 500} }
			for range 20 {
				b.Execute(b.Context(), lookup())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			runReporting(t, []guard.Option{guard.WithListRefresh(func() { asked.Add(1) })}, func(b *harness, s *reportingServer) {
				prepare(b, s)
				before := asked.Load()
				time.Sleep(3 * time.Second)
				b.Check(asked.Load() >= before+2, qt.IsTrue, qt.Commentf("asked %d times", asked.Load()-before))
			})
		})
	}
}
