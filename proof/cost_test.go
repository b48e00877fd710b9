package proof

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/load"
	"verbenareel/trial"
)

// costDuration is the duration of the load of one throughput measurement.
const costDuration = 5 * time.Second

// costFleet starts two instances of one service with a fixed service time in milliseconds, and waits until they are warm.
func costFleet(b *testing.B, serviceTime float64) *fleet {
	shape := smallShape(1)
	shape.Groups = []trial.Group{{Service: "sheets", Count: 2}}
	shape.ServiceTime = serviceTime
	shape.WarmTime = 100 * time.Millisecond
	f := startFleet(b, shape)
	for _, i := range f.instances {
		i.control(b, `{"fixed": true}`)
	}
	warmUp := load.Plan{Targets: f.targets(), Classes: sheetLookups(), Callers: 36, Duration: 2 * time.Second}
	_, err := load.Run(context.Background(), warmUp)
	qt.Assert(b, err, qt.IsNil)
	return f
}

// BenchmarkAddedLatency measures the latency that nodes add to a call while half of the slots are in use: the difference
// between calls through nodes and calls directly to the backend servers. The two kinds of load alternate, and the median of
// the rounds is reported, since the timers of the fake backend servers vary by more than a node adds.
func BenchmarkAddedLatency(b *testing.B) {
	const rounds = 7
	quantiles := []float64{0.5, 0.99, 0.999}
	f := costFleet(b, 20)
	for b.Loop() {
		added := make([][]float64, len(quantiles))
		for range rounds {
			plan := load.Plan{Classes: sheetLookups(), Rate: 0.5 * 36 / 0.020, Duration: 3 * time.Second}
			plan.Targets = f.targets()
			throughNodes := runLoad(b, plan)
			plan.Targets = []string{f.instances[0].backend, f.instances[1].backend}
			plan.Direct = true
			direct := runLoad(b, plan)
			for k, q := range quantiles {
				added[k] = append(added[k], float64((throughNodes.Quantile(q) - direct.Quantile(q)).Microseconds()))
			}
		}
		for k, q := range quantiles {
			slices.Sort(added[k])
			b.ReportMetric(added[k][rounds/2], "added-us/p"+strconv.FormatFloat(100*q, 'g', -1, 64))
		}
	}
}

// BenchmarkThroughput measures the calls per second through one node, and the CPU time that all nodes use per call.
func BenchmarkThroughput(b *testing.B) {
	f := costFleet(b, 1)
	for b.Loop() {
		before := f.cpuTime(b)
		summary := runLoad(b, load.Plan{Targets: f.targets()[:1], Classes: sheetLookups(), Callers: 30, Duration: costDuration})
		used := f.cpuTime(b) - before
		calls := summary.Count(load.OutcomeAnswered)
		b.ReportMetric(float64(calls)/costDuration.Seconds(), "calls/s")
		b.ReportMetric(float64(used.Microseconds())/float64(calls), "cpu-us/call")
	}
}

func runLoad(b *testing.B, plan load.Plan) *load.Summary {
	b.Helper()
	summary, err := load.Run(context.Background(), plan)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, summary.Count(load.OutcomeAnswered) > summary.Total()*99/100, qt.IsTrue)
	return summary
}

// cpuTime returns the total CPU time that all nodes have used.
func (f *fleet) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	seconds := 0.0
	for _, i := range f.instances {
		seconds += i.metric(b, "process_cpu_seconds_total")
	}
	return time.Duration(seconds * float64(time.Second))
}

// metric returns the value of a metric without labels from the node's metrics endpoint.
func (i *instance) metric(t testing.TB, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + i.status + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, err := strconv.ParseFloat(value, 64)
			qt.Assert(t, err, qt.IsNil)
			return number
		}
	}
	t.Fatalf("metric %s not found", name)
	return 0
}
