package proof

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/trial"
)

// TestQuotaLeases guards against nodes that lease no shares when the document gives a customer a quota, and against a status
// that does not show it. Each of the two coordinators may hold the shares of every node.
func TestQuotaLeases(t *testing.T) {
	f := startFleet(t, trial.Kitami())
	document := f.shape.Document()
	for _, name := range []string{"one", "two", "three", "four", "five", "six"} {
		document = append(document, "\n[customers."+name+"]\nrate = 5.0\nburst = 10.0\n"...)
	}
	f.platform.Publish(document)
	deadline := time.Now().Add(8 * time.Second)
	for {
		leases := 0.0
		for _, i := range f.instances {
			leases += i.metric(t, "verbenareel_quota_leases")
		}
		if int(leases) == 2*len(f.instances) {
			break
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v leases", leases))
		time.Sleep(50 * time.Millisecond)
	}
	for _, i := range f.instances {
		report, err := i.report()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, report.Quota, qt.Contains, "coordinators ")
	}
}
