package proof

import (
	"context"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/fakes"
	"verbenareel/load"
	"verbenareel/trial"
)

// inForceLimit is the guaranteed time from a change at the platform until it is in force on every node.
const inForceLimit = 4 * time.Second

// TestConfigurationInForce guards against a revision that takes longer than 4 s to be in force on a node: with all nodes
// connected to the platform, with half of them disconnected from it, and with half of them reading stale data.
func TestConfigurationInForce(t *testing.T) {
	conditions := map[string]func(*fleet){
		"connected": func(*fleet) {},
		"half cut off": func(f *fleet) {
			for k, i := range f.instances {
				if k%2 == 0 {
					i.platformURL = "http://" + freeAddress(f.t)
				}
			}
		},
		"stale for half": func(f *fleet) {
			stale, err := fakes.NewPlatform("127.0.0.1:0", 0)
			qt.Assert(f.t, err, qt.IsNil)
			f.servePlatform(stale)
			stale.Publish(f.shape.Document())
			for k, i := range f.instances {
				if k%2 == 0 {
					i.platformURL = stale.URL()
				}
			}
		},
	}
	for name, condition := range conditions {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, trial.Kitami(), condition)
			slowest := time.Duration(0)
			for range 20 {
				revision := f.platform.Publish(f.shape.Document())
				slowest = max(slowest, waitRevision(t, f.instances, revision))
			}
			t.Logf("slowest of 20 changes: %v", slowest)
			checkPlatformCallRate(t, f)
		})
	}
}

// checkPlatformCallRate checks that the nodes call the platform at no more than their share of the limit, which is 2,000
// calls per second for a fleet of 840 nodes.
func checkPlatformCallRate(t *testing.T, f *fleet) {
	t.Helper()
	before := f.platform.Calls()
	time.Sleep(3 * time.Second)
	rate := float64(f.platform.Calls()-before) / 3
	limit := 2000.0 / 840 * float64(len(f.instances))
	t.Logf("platform calls: %.1f per second, limit %.1f", rate, limit)
	qt.Check(t, rate <= limit, qt.IsTrue)
}

// TestRevisionNeverFalls guards against a node that stays at, or goes back to, an older document: when it was frozen during
// a change and the platform is down when it continues, and when its process is replaced while the platform is down.
func TestRevisionNeverFalls(t *testing.T) {
	f := startFleet(t, smallShape(2))
	newest := f.platform.Publish(f.shape.Document())
	waitRevision(t, f.instances, newest)

	frozen := f.instances[1]
	frozen.node.signal(syscall.SIGSTOP)
	newest = f.platform.Publish(f.shape.Document())
	others := append([]*instance{f.instances[0]}, f.instances[2:]...)
	waitRevision(t, others, newest)
	f.platform.SetMode(fakes.ModeDown)
	frozen.node.signal(syscall.SIGCONT)
	waitRevision(t, f.instances, newest)

	replaced := f.instances[2]
	replaced.node.signal(syscall.SIGKILL)
	<-replaced.node.exited
	f.startNode(replaced)
	waitRevision(t, f.instances, newest)
}

// TestFailureDomainOut guards against new calls to a failure domain more than 3 s after it was taken out of service, from
// any node, including one that was frozen during the change.
func TestFailureDomainOut(t *testing.T) {
	f := startFleet(t, trial.Kitami())
	var group conc.WaitGroup
	var summary *load.Summary
	group.Go(func() {
		summary, _ = load.Run(context.Background(), load.Plan{
			Targets: f.targets(), Classes: trial.KitamiClasses(), Rate: 400, Duration: 9 * time.Second, Resends: 3, Timeout: 2 * time.Second,
		})
	})
	time.Sleep(2 * time.Second)
	frozen := f.instances[0]
	frozen.node.signal(syscall.SIGSTOP)
	const out = "asahikawa"
	f.platform.Publish(f.shape.Document(out))
	deadline := time.Now().Add(3 * time.Second)
	time.Sleep(time.Until(deadline) + 500*time.Millisecond)
	frozen.node.signal(syscall.SIGCONT)
	group.Wait()
	for _, i := range f.instances {
		last := time.UnixMilli(i.stats(t).LastRun)
		if i.domain == out {
			qt.Check(t, last.After(deadline), qt.IsFalse, qt.Commentf("%s started a call %v after the deadline", i.name, last.Sub(deadline)))
		}
	}
	t.Logf("answered %d of %d", summary.Count(load.OutcomeAnswered), summary.Total())
}

// TestGracefulShutdown guards against calls that are aborted by a graceful shutdown, and against a shutdown that hangs or
// fails.
func TestGracefulShutdown(t *testing.T) {
	shape := smallShape(3)
	shape.ServiceTime = 60
	f := startFleet(t, shape)
	var group conc.WaitGroup
	var summary *load.Summary
	stopped := f.instances[0]
	group.Go(func() {
		summary, _ = load.Run(context.Background(), load.Plan{
			Targets: f.targets()[1:], Classes: trial.KitamiClasses(), Rate: 60, Duration: 5 * time.Second, Resends: 0, Timeout: 2 * time.Second,
		})
	})
	time.Sleep(2 * time.Second)
	stopped.node.signal(syscall.SIGTERM)
	select {
	case <-stopped.node.exited:
		qt.Check(t, stopped.node.err, qt.IsNil)
	case <-time.After(10 * time.Second):
		t.Error("the node did not exit within 10 s after SIGTERM")
	}
	deadline := time.Now().Add(3 * time.Second)
	group.Wait()
	stats := stopped.stats(t)
	qt.Check(t, stats.Completed, qt.Equals, stats.Runs)
	qt.Check(t, time.UnixMilli(stats.LastRun).Before(deadline), qt.IsTrue)
	var reasons []any
	for _, c := range summary.Classes() {
		for reason, n := range c.Reasons() {
			reasons = append(reasons, reason, n)
		}
	}
	qt.Check(t, summary.Count(load.OutcomeUnknown)+summary.Count(load.OutcomeError), qt.Equals, 0, qt.Commentf("%v", reasons))
}
