package proof

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/load"
	"verbenareel/trial"
)

// smallShape returns the Kitami shape with perService instances of each service and a shorter warm-up.
func smallShape(perService int) trial.Shape {
	shape := trial.Kitami()
	shape.Groups = []trial.Group{
		{Service: "sheets", Count: perService},
		{Service: "fitting-slot", Count: perService},
		{Service: "cutting-room", Count: perService},
	}
	shape.WarmTime = 500 * time.Millisecond
	return shape
}

// TestOwnWholeAnswers guards against answers that are truncated or that belong to another caller's request. Many concurrent
// callers make answers pass through the node processes out of order.
func TestOwnWholeAnswers(t *testing.T) {
	f := startFleet(t, smallShape(3))
	for _, size := range []int{0, 64, 60_000} {
		t.Run("", func(t *testing.T) {
			classes := trial.KitamiClasses()
			for k := range classes {
				classes[k].BodySize = size
			}
			summary, err := load.Run(context.Background(), load.Plan{
				Targets:  f.targets(),
				Classes:  classes,
				Callers:  64,
				Duration: 2 * time.Second,
				Resends:  3,
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, summary.Count(load.OutcomeWrongAnswer), qt.Equals, 0)
			expected := summary.Count(load.OutcomeAnswered) + refusedForCapacity(summary)
			qt.Check(t, expected, qt.Equals, summary.Total(), qt.Commentf("%s", summaryTable(t, summary)))
		})
	}
	for _, i := range f.instances {
		stats := i.stats(t)
		qt.Check(t, stats.Duplicates, qt.Equals, 0, qt.Commentf(i.name))
		qt.Check(t, stats.ColdExcess, qt.Equals, 0, qt.Commentf(i.name))
	}
}

// refusedForCapacity returns the number of calls that were refused because the service had no capacity left. On a busy
// machine, 64 callers need more than the slots of the service.
func refusedForCapacity(summary *load.Summary) int {
	count := 0
	for _, c := range summary.Classes() {
		count += c.Reasons()["not-run/busy"] + c.Reasons()["not-run/retry-budget"]
	}
	return count
}

// summaryTable returns the summary formatted as a table.
func summaryTable(t testing.TB, summary *load.Summary) string {
	var b strings.Builder
	qt.Assert(t, summary.WriteTable(&b), qt.IsNil)
	return b.String()
}
