package model

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// checkContended compares the retry budget of all nodes, spent by worth, and the admission at entry with the present
// behaviour. No kind may get less than a quarter of the mean, and the service and its worst seconds must gain.
func checkContended(t *testing.T, pattern string, gain float64) (present, entry figures) {
	t.Helper()
	const noise = 0.01
	present, entry = measure(t, pattern, "worth"), measure(t, pattern, "entry")
	t.Logf("present %+v, entry %+v", present, entry)
	qt.Check(t, entry.service >= present.service+gain-noise, qt.IsTrue)
	qt.Check(t, entry.worst >= present.worst+gain-noise, qt.IsTrue)
	qt.Check(t, entry.answered >= present.answered-noise, qt.IsTrue)
	for name, service := range entry.kinds {
		qt.Check(t, service > entry.service/4, qt.IsTrue, qt.Commentf("%s starves: %.3f", name, service))
	}
	return present, entry
}

// TestLongBurst guards against a burst of the least urgent, longest calls that takes the service from the others.
func TestLongBurst(t *testing.T) {
	t.Parallel()
	present, entry := checkContended(t, "long-burst", 0)
	qt.Check(t, entry.kinds["lookup"] > present.kinds["lookup"]+0.02, qt.IsTrue)
	qt.Check(t, entry.kinds["lookup"] >= entry.kinds["order"], qt.IsTrue)
}

// TestRandomShed guards against servers that shed 55% at random, beside a burst of the most urgent calls, and a retry
// budget that calls of low worth use up. Refusing calls where they enter would take away their chance.
func TestRandomShed(t *testing.T) {
	t.Parallel()
	present, entry := checkContended(t, "random-shed", 0.08)
	for _, name := range []string{"lookup", "urgent", "command"} {
		qt.Check(t, entry.kinds[name] > present.kinds[name]+0.03, qt.IsTrue, qt.Commentf(name))
	}
	qt.Check(t, entry.kinds["urgent"] > entry.kinds["command"]-0.03, qt.IsTrue)
}
