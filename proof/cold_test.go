package proof

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/load"
	"verbenareel/trial"
)

// TestColdStart guards against a backend server that gets more concurrent calls than it can handle during its cold start,
// while all other nodes send calls to it. The server crashes and comes back, and in some cases its load reports also hide
// that it is cold, or its node is replaced or frozen.
func TestColdStart(t *testing.T) {
	faults := map[string]func(*fleet, *instance){
		"server crash": func(f *fleet, i *instance) {
			i.control(f.t, `{"down_ms": 1200}`)
			i.crash()
		},
		"server crash, cold state hidden": func(f *fleet, i *instance) {
			i.control(f.t, `{"down_ms": 1200, "silent": true}`)
			i.crash()
		},
		"server and node replaced": func(f *fleet, i *instance) {
			i.crash()
			i.node.signal(syscall.SIGKILL)
			<-i.node.exited
			f.startNode(i)
		},
		"server crash while the node is frozen": func(_ *fleet, i *instance) {
			i.node.signal(syscall.SIGSTOP)
			i.crash()
			time.Sleep(1200 * time.Millisecond)
			i.node.signal(syscall.SIGCONT)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			shape := smallShape(1)
			shape.Groups = []trial.Group{{Service: "sheets", Count: 4}}
			shape.ServiceTime = 20
			shape.WarmTime = 2 * time.Second
			f := startFleet(t, shape)
			plan := load.Plan{Targets: f.targets(), Classes: sheetLookups(), Rate: 1500, Duration: 3 * time.Second, Timeout: time.Second}
			_, err := load.Run(context.Background(), plan)
			qt.Assert(t, err, qt.IsNil)
			plan.Duration = 6 * time.Second
			var summary *load.Summary
			var group conc.WaitGroup
			group.Go(func() { summary, _ = load.Run(context.Background(), plan) })
			time.Sleep(time.Second)
			target := f.instances[0]
			fault(f, target)
			group.Wait()
			t.Logf("%s", summaryTable(t, summary))
			stats := target.stats(t)
			qt.Check(t, stats.ColdExcess, qt.Equals, 0, qt.Commentf("%+v", stats))
			qt.Check(t, stats.Crashes, qt.Equals, 0)
			sinceLastRun := time.Since(time.UnixMilli(stats.LastRun))
			qt.Check(t, sinceLastRun < 2*time.Second, qt.IsTrue, qt.Commentf("no call started for %v", sinceLastRun))
		})
	}
}

// TestColdRateKilled guards against a cold backend server that gets more calls within a second than its cold rate allows. This
// could happen when its node is killed after using up the rate, and a new node process takes over at once without knowing the
// calls of the old one.
func TestColdRateKilled(t *testing.T) {
	shape := smallShape(1)
	shape.Groups = []trial.Group{{Service: "sheets", Count: 4}}
	shape.ServiceTime = 20
	shape.WarmTime = 8 * time.Second
	shape.ColdLimit = shape.Slots - 1
	shape.ColdRate = 20
	f := startFleet(t, shape)
	plan := load.Plan{Targets: f.targets(), Classes: sheetLookups(), Rate: 1000, Duration: 9 * time.Second, Timeout: time.Second}
	var group conc.WaitGroup
	group.Go(func() { _, _ = load.Run(context.Background(), plan) })
	time.Sleep(time.Second)
	target := f.instances[0]
	target.crash()
	for range 4 {
		// A node that starts while its server is cold sends no calls in its first second.
		time.Sleep(1400 * time.Millisecond)
		target.node.signal(syscall.SIGKILL)
		<-target.node.exited
		f.startNode(target)
	}
	group.Wait()
	stats := target.stats(t)
	qt.Check(t, float64(stats.ColdBegun) <= shape.ColdRate, qt.IsTrue, qt.Commentf("%+v", stats))
	qt.Check(t, float64(stats.ColdBegun) >= shape.ColdRate/2, qt.IsTrue, qt.Commentf("less than half of the cold rate was used: %+v", stats))
}

// crash makes the fake backend server of the instance crash and come back cold.
func (i *instance) crash() {
	response, err := http.Post("http://"+i.backend+"/fake/crash", "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// TestServerLeaving guards against new calls to a backend server more than 3 s after it has reported that it is draining,
// and against a server that gets no calls again after it has stopped draining.
func TestServerLeaving(t *testing.T) {
	f := startFleet(t, smallShape(3))
	plan := load.Plan{Targets: f.targets(), Classes: trial.KitamiClasses(), Rate: 300, Duration: 8 * time.Second, Timeout: 2 * time.Second, Resends: 3}
	var summary *load.Summary
	var group conc.WaitGroup
	group.Go(func() { summary, _ = load.Run(context.Background(), plan) })
	time.Sleep(2 * time.Second)
	leaving := f.instances[0]
	leaving.control(t, `{"draining": true}`)
	deadline := time.Now().Add(3 * time.Second)
	group.Wait()
	last := time.UnixMilli(leaving.stats(t).LastRun)
	qt.Check(t, last.Before(deadline), qt.IsTrue, qt.Commentf("a call started %v after the deadline", last.Sub(deadline)))
	qt.Check(t, summary.Count(load.OutcomeUnknown)+summary.Count(load.OutcomeError), qt.Equals, 0, qt.Commentf("%s", summaryTable(t, summary)))

	leaving.control(t, `{"draining": false}`)
	plan.Duration = 4 * time.Second
	before := leaving.stats(t).Runs
	_, err := load.Run(context.Background(), plan)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, leaving.stats(t).Runs > before, qt.IsTrue)
}

// TestListedLeaving guards against new calls to an instance more than 3 s after the platform's instance list shows it as
// leaving. The list is the only source of this information: neither the server nor its node reports it.
func TestListedLeaving(t *testing.T) {
	f := startFleet(t, smallShape(3))
	plan := load.Plan{Targets: f.targets(), Classes: trial.KitamiClasses(), Rate: 300, Duration: 7 * time.Second, Timeout: 2 * time.Second, Resends: 3}
	var summary *load.Summary
	var group conc.WaitGroup
	group.Go(func() { summary, _ = load.Run(context.Background(), plan) })
	time.Sleep(2 * time.Second)
	leaving := f.instances[0]
	f.publishInstances(leaving)
	deadline := time.Now().Add(listAge + 3*time.Second)
	group.Wait()
	last := time.UnixMilli(leaving.stats(t).LastRun)
	qt.Check(t, last.Before(deadline), qt.IsTrue, qt.Commentf("a call started %v after the deadline", last.Sub(deadline)))
	qt.Check(t, summary.Count(load.OutcomeUnknown)+summary.Count(load.OutcomeError), qt.Equals, 0, qt.Commentf("%s", summaryTable(t, summary)))
}
