// Package quota limits the calls of each customer, summed over all nodes.
//
// Each of N nodes owns one N-th of every quota and leases it to a coordinator, which hands out tokens for the sum of the
// shares that it holds. A Node decides for the calls of one process and a Coordinator hands out tokens; both are stepped with
// the time and exchange messages of package schema. A Service runs them in a process and implements core.Quota.
package quota

import "time"

const (
	// slotCount is the number of groups of customers that are leased together. A set of slots fits into a 64-bit word.
	slotCount = 64
	// tokenLife is how long a granted token may be used. A window can contain calls that were granted up to this long
	// before it, which uses up a twentieth of the tolerated excess for each 50 ms at a window of 5 s.
	tokenLife = 250 * time.Millisecond
	// horizon is the time for which a node holds tokens of a frequent customer, and for which a bucket holds tokens beyond
	// the burst. It covers some round trips of 7 ms.
	horizon = 100 * time.Millisecond
	// baseLease is the length of a lease with up to leaseFleet nodes. In larger fleets it grows in proportion, up to
	// maxLease: the renewals that a coordinator gets grow with the fleet otherwise.
	baseLease  = time.Second
	leaseFleet = 100
	maxLease   = 4 * time.Second
	// renewals is the number of renewals in one lease: one may be lost.
	renewals = 2.5
	// leaseMargin is added to a lease by the node that grants it. Coordinators notice the end of a lease at their next step,
	// and clocks differ by some parts in a thousand at most.
	leaseMargin = 50 * time.Millisecond
	// failTime is the time without a reply from which a coordinator with failed requests counts as failed, and avoidTime how
	// long it is then asked only for a sign of life.
	failTime  = 250 * time.Millisecond
	avoidTime = 2 * time.Second
	// retryTime is the time after a failed request until the next periodic one.
	retryTime = 50 * time.Millisecond
	// pauseThreshold is the time between two steps from which the process counts as paused. Steps are 25 ms apart.
	pauseThreshold = 300 * time.Millisecond
	// memberHold is how long the largest known number of nodes counts after some are no longer known. Nodes that are cut off
	// from the platform may vanish from its list and still use their shares.
	memberHold = 60 * time.Second
	// heardHold is how long a number of nodes reported by a coordinator counts.
	heardHold = 2 * time.Second
)

// leaseTime returns the length of a lease in a fleet.
func leaseTime(members int) time.Duration {
	return min(maxLease, max(baseLease, baseLease*time.Duration(members)/leaseFleet))
}

// pauseDetector finds out that a process did not run for a while.
type pauseDetector struct{ last time.Time }

// step reports whether the process was paused before now. The monotonic clock does not count a suspension of the machine, so
// the time of day is compared too.
func (p *pauseDetector) step(now time.Time) bool {
	last := p.last
	p.last = now
	if last.IsZero() {
		return false
	}
	return now.Sub(last) > pauseThreshold || now.Round(0).Sub(last.Round(0)) > pauseThreshold
}
