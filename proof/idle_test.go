package proof

import (
	"testing"
	"time"
)

// BenchmarkIdleNode measures what a node uses without load, in a fleet of 12 nodes: CPU time, memory and calls to the platform.
func BenchmarkIdleNode(b *testing.B) {
	f := startFleet(b, smallShape(4))
	const length = 10 * time.Second
	for b.Loop() {
		used := f.cpuTime(b)
		calls := f.platform.Calls()
		time.Sleep(length)
		nodes := float64(len(f.instances))
		b.ReportMetric((f.cpuTime(b)-used).Seconds()/length.Seconds()/nodes*100, "%core/node")
		b.ReportMetric(float64(f.platform.Calls()-calls)/length.Seconds()/nodes, "platform-calls/s/node")
		memory := 0.0
		for _, i := range f.instances {
			memory += i.metric(b, "process_resident_memory_bytes")
		}
		b.ReportMetric(memory/nodes/(1<<20), "MB/node")
	}
}
