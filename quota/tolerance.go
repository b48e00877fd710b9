package quota

import (
	"time"

	"verbenareel/schema"
)

// Defaults of the tolerance.
const (
	DefaultWindow = 5 * time.Second
	DefaultExcess = 0.25
	DefaultSlack  = 20
)

// Tolerance is how far the calls of a customer may exceed its quota: in any window, (rate * window + burst) * (1 + excess) +
// slack calls may run.
type Tolerance struct {
	window time.Duration
	excess float64
}

// NewTolerance returns the tolerance of the settings, or the default for nil.
func NewTolerance(settings *schema.QuotaTolerance) Tolerance {
	if settings == nil {
		return Tolerance{window: DefaultWindow, excess: DefaultExcess}
	}
	return Tolerance{window: settings.GetWindow().AsDuration(), excess: settings.GetExcess()}
}

// allowsEarlyUse reports whether a node may use its shares before the end of a lease to a coordinator that seems to have
// failed, once in a window. If the coordinator is only cut off, the shares count twice from failTime to the end of the lease;
// tokens that were granted before the window, and those that a bucket holds beyond the burst, come on top.
func (t Tolerance) allowsEarlyUse(members int) bool {
	twice := leaseTime(members) + leaseMargin - failTime
	return (twice + tokenLife + horizon).Seconds() <= t.excess*t.window.Seconds()
}
