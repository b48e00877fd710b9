package guard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestKneeLimit guards against filling all slots of a cold server, whose calls then miss their targets, and against
// unused slots at a server that is warm or known not to slow down.
func TestKneeLimit(t *testing.T) {
	const slots, below = 16, 12
	now := time.Unix(1000, 0)
	var k knee
	qt.Check(t, k.limit(now, 0, true), qt.Equals, 0)
	qt.Check(t, k.limit(now, slots, true), qt.Equals, below)
	qt.Check(t, k.limit(now, slots, false), qt.Equals, slots)
	for range kneeSamples {
		k.observe(now, below, slots, 1)
		k.observe(now, slots, slots, 1)
	}
	qt.Check(t, k.limit(now, slots, true), qt.Equals, slots)
	for range 4 * kneeSamples {
		k.observe(now, slots, slots, 1.7)
	}
	qt.Check(t, k.limit(now, slots, false), qt.Equals, below)
	now = now.Add(kneeTTL + time.Second)
	qt.Check(t, k.limit(now, slots, false), qt.Equals, slots)
	qt.Check(t, k.limit(now, slots, true), qt.Equals, below)
}
