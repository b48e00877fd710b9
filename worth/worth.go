// Package worth decides which calls of a service use what is scarce: the retries of a budget, and the first attempts
// while the servers of the service can't serve all. It does no I/O and reads no clock.
package worth

import (
	"time"

	"verbenareel/schema"
)

const (
	// nestedFactor is the worth of a nested call relative to a call from outside, because its failure also loses the work
	// of the run that made it.
	nestedFactor = 2
	// minTime bounds the worth of calls with a very short target.
	minTime = time.Millisecond
)

// Call describes what the worth of a call depends on.
type Call struct {
	Priority schema.Priority
	// Time stands for the expected time of the call: its target latency, or else its timeout.
	Time time.Duration
	// Nested is set for a call that a backend server made.
	Nested bool
}

// Value returns the worth of the call per second.
func (c Call) Value() float64 {
	value := float64(max(c.Priority, schema.Priority_PRIORITY_LOW)) / max(c.Time, minTime).Seconds()
	if c.Nested {
		value *= nestedFactor
	}
	return value
}
