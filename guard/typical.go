package guard

import (
	"time"

	"verbenareel/admit"
)

const (
	// maxTypical bounds the rules whose times are remembered.
	maxTypical = 1024
	// typicalWeight is the weight of one call in the usual time of its rule.
	typicalWeight = 0.05
	// usualPercent is the usual pace in hundredths.
	usualPercent = 100
)

// typical holds the usual times of the calls of each rule, at the usual pace.
type typical struct {
	times map[string]time.Duration
}

// expect returns how long a call of the rule usually takes at a pace in hundredths, or 0 if it is not known.
func (t *typical) expect(rule string, percent int) time.Duration {
	if percent <= 0 {
		return t.times[rule]
	}
	return t.times[rule] * time.Duration(percent) / usualPercent
}

// observe takes the time of a call at a pace in hundredths, and returns it as a multiple of the usual time; 0 if that is
// not known.
func (t *typical) observe(rule string, took time.Duration, percent int) float64 {
	if rule == "" || took <= 0 {
		return 0
	}
	if percent > 0 {
		took = took * usualPercent / time.Duration(percent)
	}
	usual := t.times[rule]
	if usual == 0 {
		if t.times == nil || len(t.times) >= maxTypical {
			t.times = make(map[string]time.Duration)
		}
		t.times[rule] = took
		return 0
	}
	t.times[rule] = usual + time.Duration(typicalWeight*float64(took-usual))
	return float64(took) / float64(usual)
}

// observeTime takes the time of a call that was answered, and lowers the limit if the server slows down when it is nearly
// full.
func (g *Guard) observeTime(now time.Time, c *call, took time.Duration) {
	factor := g.typical.observe(c.request.GetRule(), took, c.percent)
	if factor > 0 && g.slots > 0 {
		g.knee.observe(now, c.admit.InFlight(), g.slots, factor)
	}
}

// noteStart notes the pace at which a call starts.
func (g *Guard) noteStart(e admit.Event) {
	c := e.Call.Owner.(*call)
	c.percent = g.pace.percent
}
