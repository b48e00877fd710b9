package guard

import (
	"time"

	"verbenareel/admit"
)

const (
	// maxRules is the highest number of rules whose service times are kept. A further rule discards those of all
	// others.
	maxRules = 1024
	// serviceTimeWeight is the weight of one call in the average service time of its rule.
	serviceTimeWeight = 0.05
	// nominalPace is the pace of a server at its normal speed, in hundredths.
	nominalPace = 100
)

// serviceTimes holds the average service time of each rule, normalized to the nominal pace.
type serviceTimes struct {
	byRule map[string]time.Duration
}

// expected returns the expected service time of a rule at a pace in hundredths, or 0 if it is not known.
func (t *serviceTimes) expected(rule string, percent int) time.Duration {
	if percent <= 0 {
		return t.byRule[rule]
	}
	return t.byRule[rule] * time.Duration(percent) / nominalPace
}

// observe records a service time measured at a pace in hundredths. It returns it as a multiple of the average of the
// rule, or 0 if there was none.
func (t *serviceTimes) observe(rule string, took time.Duration, percent int) float64 {
	if rule == "" || took <= 0 {
		return 0
	}
	if percent > 0 {
		took = took * nominalPace / time.Duration(percent)
	}
	usual := t.byRule[rule]
	if usual == 0 {
		if t.byRule == nil || len(t.byRule) >= maxRules {
			t.byRule = make(map[string]time.Duration)
		}
		t.byRule[rule] = took
		return 0
	}
	t.byRule[rule] = usual + time.Duration(serviceTimeWeight*float64(took-usual))
	return float64(took) / float64(usual)
}

// recordServiceTime records the service time of an answered call for its rule and for the detection of a slowdown
// near full load.
func (g *Guard) recordServiceTime(now time.Time, c *call, took time.Duration) {
	factor := g.serviceTimes.observe(c.request.GetRule(), took, c.startPace)
	if factor > 0 && g.slots > 0 {
		g.knee.observe(now, c.admit.InFlight(), g.slots, factor)
	}
}

// recordStartPace records the pace of the backend server at the start of a call.
func (g *Guard) recordStartPace(e admit.Event) {
	c := e.Call.Owner.(*call)
	c.startPace = g.pace.percent
}
