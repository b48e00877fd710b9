package peers

import (
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
)

// slopesEnv enables the long measurement: VERBENAREEL_SLOPES=1 go test -run TestExchangeSlopes -v ./peers
const slopesEnv = "VERBENAREEL_SLOPES"

// workload is one configuration of the measurement.
type workload struct {
	nodes, rules int
	// changeInterval is the time between two document changes; 0 means no changes.
	changeInterval, duration time.Duration
}

// TestExchangeSlopes measures the cost of the exchange for one node as a function of the number of nodes, the size of
// the document and the rate of changes. It guards against exceeding the budget of a node, of which the exchange is a
// part: 9 KB/s sent and received, 2.8% of a core, changes in force within 4 s.
func TestExchangeSlopes(t *testing.T) {
	settings := []workload{{nodes: 14, rules: 20, changeInterval: 400 * time.Millisecond, duration: time.Second}}
	if os.Getenv(slopesEnv) != "" {
		const length = 10 * time.Second
		settings = []workload{
			{14, 20, 0, length}, {56, 20, 0, length}, {140, 20, 0, length}, {280, 20, 0, length}, {840, 20, 0, length},
			{14, 20, 2500 * time.Millisecond, length}, {140, 20, 2500 * time.Millisecond, length},
			{280, 20, 2500 * time.Millisecond, length}, {840, 20, 5 * time.Second, length},
			{56, 1000, 2500 * time.Millisecond, length}, {56, 4000, 2500 * time.Millisecond, length},
			{56, 14000, 5 * time.Second, length}, {280, 1000, 5 * time.Second, length},
		}
	}
	for _, s := range settings {
		measure(qt.New(t), s)
	}
}

func measure(c *qt.C, s workload) {
	c.Helper()
	platform := newFakePlatform()
	note := 1
	platform.put(testDocument(note, s.rules))
	for i := range s.nodes {
		platform.list = append(platform.list, nodeRecord(i))
	}
	before := liveHeap()
	f := startFleet(s.nodes, func(int) core.Platform { return platform }, func(int) []Option { return nil })
	defer f.stop()
	f.eventually(c, 60*time.Second, "first revision", atRevision(1))
	settled := f.eventually(c, 120*time.Second, "records of all processes", func(e *Exchange) bool {
		known := 0
		for _, i := range e.Snapshot().Instances("sheets") {
			if i.Incarnation() != 0 {
				known++
			}
		}
		return known == s.nodes
	})
	time.Sleep(min(s.duration, 5*time.Second))
	bytes, sent, cpu, start := f.network.bytes.Load(), f.network.sent.Load(), cpuTime(), time.Now()
	calls, read := platform.count()
	var slowest time.Duration
	for time.Since(start) < s.duration {
		if s.changeInterval == 0 {
			time.Sleep(s.duration)
			break
		}
		note++
		text := testDocument(note, s.rules)
		begin := time.Now()
		platform.put(text)
		slowest = max(slowest, f.eventually(c, 20*time.Second, "change", atRevision(uint64(note))))
		time.Sleep(s.changeInterval - time.Since(begin))
	}
	seconds := time.Since(start).Seconds()
	perNode := 1 / seconds / float64(s.nodes)
	rate := 2 * float64(f.network.bytes.Load()-bytes) * perNode
	allCalls, allRead := platform.count()
	fromPlatform := float64(allRead-read) * perNode
	load := (cpuTime() - cpu).Seconds() * perNode
	c.Logf("nodes %d, document %d bytes, change every %v: %.0f B/s sent and received, %.0f B/s of the platform, "+
		"%.1f messages/s, %.0f us/s of CPU, %.2f MB of heap a node; %.1f platform calls/s in all; slowest change %v; all records known after %v",
		s.nodes, len(testDocument(1, s.rules)), s.changeInterval, rate, fromPlatform, float64(f.network.sent.Load()-sent)*perNode, load*1e6,
		float64(liveHeap()-before)/float64(s.nodes)/1e6, float64(allCalls-calls)/seconds, slowest.Round(time.Millisecond), settled.Round(time.Millisecond))
	c.Assert(slowest < 4*time.Second, qt.IsTrue)
	if s.changeInterval == 0 || s.changeInterval > 2*time.Second {
		c.Check(rate < 9000, qt.IsTrue, qt.Commentf("%.0f B/s", rate))
	}
}

func (p *fakePlatform) count() (calls, bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls, p.bytes
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// cpuTime returns the CPU time used by the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
