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

// costDuration is the time under load of one measurement.
const costDuration = 5 * time.Second

// costFleet starts two instances of one service that are warm, with service times that don't vary.
func costFleet(b *testing.B, serviceTime float64) *fleet {
	shape := small(1)
	shape.Groups = []trial.Group{{Service: "sheets", Count: 2}}
	shape.ServiceTime = serviceTime
	shape.WarmTime = 100 * time.Millisecond
	f := startFleet(b, shape)
	for _, i := range f.instances {
		i.control(b, `{"fixed": true}`)
	}
	warm := load.Plan{Targets: f.targets(), Classes: sheetLookups(), Callers: 36, Duration: 2 * time.Second}
	_, err := load.Run(context.Background(), warm)
	qt.Assert(b, err, qt.IsNil)
	return f
}

// BenchmarkAddedLatency measures the time that nodes add to a call at half the slots: the difference between calls through
// nodes and calls straight to the backend servers. Both alternate in one run, and the median of the rounds counts, since
// the timers of the stand-ins vary by more than a node adds.
func BenchmarkAddedLatency(b *testing.B) {
	const rounds = 7
	quantiles := []float64{0.5, 0.99, 0.999}
	f := costFleet(b, 20)
	for b.Loop() {
		added := make([][]float64, len(quantiles))
		for range rounds {
			plan := load.Plan{Classes: sheetLookups(), Rate: 0.5 * 36 / 0.020, Duration: 3 * time.Second}
			plan.Targets = f.targets()
			nodes := runLoad(b, plan)
			plan.Targets = []string{f.instances[0].backend, f.instances[1].backend}
			plan.Direct = true
			direct := runLoad(b, plan)
			for k, q := range quantiles {
				added[k] = append(added[k], float64((nodes.Quantile(q) - direct.Quantile(q)).Microseconds()))
			}
		}
		for k, q := range quantiles {
			slices.Sort(added[k])
			b.ReportMetric(added[k][rounds/2], "added-us/p"+strconv.FormatFloat(100*q, 'g', -1, 64))
		}
	}
}

// BenchmarkThroughput measures the calls per second through one node, and the processor time of nodes per call.
func BenchmarkThroughput(b *testing.B) {
	f := costFleet(b, 1)
	for b.Loop() {
		before := f.processorTime(b)
		summary := runLoad(b, load.Plan{Targets: f.targets()[:1], Classes: sheetLookups(), Callers: 30, Duration: costDuration})
		used := f.processorTime(b) - before
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

// processorTime returns the processor time that all nodes have used.
func (f *fleet) processorTime(b *testing.B) time.Duration {
	b.Helper()
	seconds := 0.0
	for _, i := range f.instances {
		seconds += i.metric(b, "process_cpu_seconds_total")
	}
	return time.Duration(seconds * float64(time.Second))
}

// metric returns a value of a node's metrics page.
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
	t.Fatalf("no metric %s", name)
	return 0
}
