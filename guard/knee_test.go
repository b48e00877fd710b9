package guard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestKneeLimit guards against a new guard that fills a cold server, whose calls then miss their targets, and against one that
// leaves slots unused for good at a server that does not slow down.
func TestKneeLimit(t *testing.T) {
	const slots, below = 16, 12
	now := time.Unix(1000, 0)
	var k knee
	qt.Check(t, k.limit(now, 0), qt.Equals, 0)
	qt.Check(t, k.limit(now, slots), qt.Equals, below)
	now = now.Add(kneeDoubt)
	qt.Check(t, k.limit(now, slots), qt.Equals, slots)
	for range kneeSamples {
		k.observe(now, below, slots, 1)
		k.observe(now, slots, slots, 1)
	}
	qt.Check(t, k.limit(now, slots), qt.Equals, slots)
	for range 4 * kneeSamples {
		k.observe(now, slots, slots, 1.7)
	}
	qt.Check(t, k.limit(now, slots), qt.Equals, below)
	now = now.Add(kneeLife + time.Second)
	qt.Check(t, k.limit(now, slots), qt.Equals, slots)
}
