package worth_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
	"verbenareel/worth"
)

var (
	now    = time.Unix(1000, 0)
	urgent = worth.Call{Priority: schema.Priority_PRIORITY_HIGH, Time: 250 * time.Millisecond}.Value()
	long   = worth.Call{Priority: schema.Priority_PRIORITY_LOW, Time: 1500 * time.Millisecond}.Value()
)

// TestValue guards against an order in which the failure of a nested call costs no more than that of another call.
func TestValue(t *testing.T) {
	nested := worth.Call{Priority: schema.Priority_PRIORITY_LOW, Time: 1500 * time.Millisecond, Nested: true}.Value()
	qt.Check(t, urgent > nested, qt.IsTrue)
	qt.Check(t, nested > long, qt.IsTrue)
	qt.Check(t, worth.Call{}.Value() > 0, qt.IsTrue)
}

// grants returns the share of the requests of each of two values that are granted from a budget that earns perSecond
// retries and holds four. Each value asks 20 times a second.
func grants(perSecond float64) (ofUrgent, ofLong float64) {
	const seconds, asked = 30, 20
	o := &worth.Order{}
	available, capacity := 0.0, 4.0
	count := map[float64]int{}
	for i := range seconds * asked {
		at := now.Add(time.Duration(i) * time.Second / asked)
		available = min(available+perSecond/asked, capacity)
		for _, value := range []float64{long, urgent} {
			granted := o.Retry(at, value, capacity, func(keep float64) bool {
				if available < 1+keep {
					return false
				}
				available--
				return true
			})
			if granted {
				count[value]++
			}
		}
	}
	return float64(count[urgent]) / (seconds * asked), float64(count[long]) / (seconds * asked)
}

// TestOrder guards against long calls that use up a short budget before urgent ones, and against shutting them out.
func TestOrder(t *testing.T) {
	for _, test := range []struct{ perSecond, urgent, longAtLeast, longAtMost float64 }{
		{8, 0.3, 0.01, 0.06}, {24, 0.9, 0.04, 0.3}, {60, 0.99, 0.99, 1},
	} {
		u, l := grants(test.perSecond)
		t.Logf("%v retries a second: urgent %.3f, long %.3f", test.perSecond, u, l)
		qt.Check(t, u >= test.urgent, qt.IsTrue)
		qt.Check(t, l >= test.longAtLeast && l <= test.longAtMost, qt.IsTrue)
	}
}

// enter offers calls of both values and returns the share of each that is admitted.
func enter(e *worth.Entry, left time.Duration, s worth.Servers) (ofUrgent, ofLong float64) {
	const calls = 200
	for range calls {
		if e.Admit(now, urgent, left, func() worth.Servers { return s }) {
			ofUrgent += 1.0 / calls
		}
		if e.Admit(now, long, left, func() worth.Servers { return s }) {
			ofLong += 1.0 / calls
		}
	}
	return ofUrgent, ofLong
}

// TestAdmit guards against refusing a first attempt that has a chance, against sending calls of low worth that have
// none, and against refusing all of them, so that nobody notices when capacity is back.
func TestAdmit(t *testing.T) {
	full := worth.Servers{Known: true, Wait: 2 * time.Second}
	for _, test := range []struct {
		name              string
		served, shed, out int
		servers           worth.Servers
		refused           bool
	}{
		{"no attempts yet", 0, 0, 0, full, false},
		{"servers shed 55% at random", 9, 11, 0, worth.Servers{}, false},
		{"servers shed nearly all", 1, 19, 0, worth.Servers{}, true},
		{"full, too late", 10, 0, 10, full, true},
		{"full, in time", 10, 0, 10, worth.Servers{Known: true, Wait: 500 * time.Millisecond}, false},
		{"full, wait unknown", 10, 0, 10, worth.Servers{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := recorded(test.served, test.shed, test.out)
			u, l := enter(e, time.Second, test.servers)
			qt.Check(t, u > 0.999, qt.IsTrue)
			if test.refused {
				qt.Check(t, l > 0.02 && l < 0.1, qt.IsTrue, qt.Commentf("%.3f", l))
				return
			}
			qt.Check(t, l > 0.999, qt.IsTrue, qt.Commentf("%.3f", l))
		})
	}
}

func recorded(served, shed, full int) *worth.Entry {
	e := &worth.Entry{}
	for outcome, count := range []int{served, shed, full} {
		for range count {
			e.Record(now, worth.Outcome(outcome))
		}
	}
	return e
}

// TestRetryAfter guards against callers that return together, before there is capacity, later than they would by
// themselves, or late although servers that shed at random would serve them now.
func TestRetryAfter(t *testing.T) {
	wait, free := worth.Servers{Known: true, Wait: 200 * time.Millisecond}, worth.Servers{Known: true}
	for _, test := range []struct {
		name           string
		entry          *worth.Entry
		servers        worth.Servers
		left, inTime   time.Duration
		earliest, last time.Duration
	}{
		{"shed at random", recorded(9, 11, 0), free, 3 * time.Second, 240 * time.Millisecond, 5 * time.Millisecond, 65 * time.Millisecond},
		{"shed at random, late target", recorded(9, 11, 0), free, 3 * time.Second, 2 * time.Second, 5 * time.Millisecond, 105 * time.Millisecond},
		{"shed at random, late", recorded(9, 11, 0), free, 3 * time.Second, 0, 20 * time.Millisecond, 120 * time.Millisecond},
		{"shed by full servers", recorded(10, 5, 0), wait, 3 * time.Second, time.Second, 200 * time.Millisecond, 800 * time.Millisecond},
		{"full", recorded(10, 0, 5), wait, 3 * time.Second, time.Second, 200 * time.Millisecond, 800 * time.Millisecond},
		{"full, little time left", recorded(10, 0, 5), wait, 600 * time.Millisecond, 0, 100 * time.Millisecond, 200 * time.Millisecond},
		{"no time left", recorded(10, 0, 5), wait, 0, 0, 20 * time.Millisecond, 20 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.entry.RetryAfter(now, test.left, test.inTime, test.servers, 0), qt.Equals, test.earliest)
			qt.Check(t, test.entry.RetryAfter(now, test.left, test.inTime, test.servers, 1), qt.Equals, test.last)
		})
	}
}
