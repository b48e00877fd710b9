package proof

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/trial"
)

// TestProbeBudget guards against more probes per backend server than the 2 per second that the document allows. The servers
// are idle, and the nodes of two of them are repeatedly frozen and replaced.
func TestProbeBudget(t *testing.T) {
	shape := smallShape(1)
	shape.Groups = []trial.Group{{Service: "sheets", Count: 3}}
	f := startFleet(t, shape)
	start := time.Now()
	before := make(map[string]int)
	for _, i := range f.instances {
		before[i.name] = i.stats(t).Probes
	}
	for range 3 {
		f.instances[1].node.signal(syscall.SIGSTOP)
		f.instances[2].node.signal(syscall.SIGKILL)
		<-f.instances[2].node.exited
		f.startNode(f.instances[2])
		time.Sleep(time.Second)
		f.instances[1].node.signal(syscall.SIGCONT)
		time.Sleep(time.Second)
	}
	for _, i := range f.instances {
		probes := i.stats(t).Probes - before[i.name]
		limit := 2*time.Since(start).Seconds() + 1
		t.Logf("%s: %d probes in %v", i.name, probes, time.Since(start))
		qt.Check(t, float64(probes) <= limit, qt.IsTrue, qt.Commentf(i.name))
	}
	qt.Check(t, f.instances[0].stats(t).Probes > before[f.instances[0].name], qt.IsTrue)
}
