package model

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// seeds is the number of seeds over which the figures are averaged.
const seeds = 2

// figures holds the means over several runs.
type figures struct {
	service, worst, answered float64
	kinds                    map[string]float64
}

func measure(t *testing.T, pattern, policy string) figures {
	t.Helper()
	p, err := FindPattern(pattern)
	qt.Assert(t, err, qt.IsNil)
	o, err := FindPolicy(policy)
	qt.Assert(t, err, qt.IsNil)
	f := figures{kinds: make(map[string]float64)}
	for seed := range uint64(seeds) {
		r := Simulate(p, o, seed+1)
		total := r.Total()
		f.service += total.Service() / seeds
		f.worst += r.Worst() / seeds
		f.answered += total.Answered() / seeds
		for _, k := range p.Kinds {
			if tally := r.Kind(k.Name); tally != nil {
				f.kinds[k.Name] += tally.Service() / seeds
			}
		}
	}
	return f
}

// checkPattern compares the policy that nodes use with the two older policies. The service of the worst seconds must be
// better by at least gain, the overall service and share of answers must not be worse, no kind may starve, and a kind must
// not be served worse than a kind of lower priority of the same service.
func checkPattern(t *testing.T, pattern string, gain float64) {
	t.Helper()
	t.Parallel()
	const noise = 0.01
	const starved = 0.15
	f := measure(t, pattern, "worth")
	for _, other := range []string{"rank", "arrival"} {
		o := measure(t, pattern, other)
		qt.Check(t, f.worst >= o.worst+gain-noise, qt.IsTrue, qt.Commentf("worst seconds %.3f, %s %.3f", f.worst, other, o.worst))
		qt.Check(t, f.service >= o.service-noise, qt.IsTrue, qt.Commentf("service %.3f, %s %.3f", f.service, other, o.service))
		qt.Check(t, f.answered >= o.answered-noise, qt.IsTrue, qt.Commentf("answered %.3f, %s %.3f", f.answered, other, o.answered))
	}
	for name, service := range f.kinds {
		qt.Check(t, service > starved, qt.IsTrue, qt.Commentf("%s starves: %.3f", name, service))
	}
	qt.Check(t, f.kinds["order"] >= f.kinds["report"]-noise, qt.IsTrue, qt.Commentf("%v", f.kinds))
}

// Each of the following tests covers one pattern. They guard against a policy that is worse than plain FIFO.

func TestCalm(t *testing.T) {
	checkPattern(t, "calm", 0)
	qt.Check(t, measure(t, "calm", "worth").service > 0.99, qt.IsTrue)
}
func TestOverload(t *testing.T)    { checkPattern(t, "overload", 0.1) }
func TestBurst(t *testing.T)       { checkPattern(t, "burst", 0.05) }
func TestRetryStorm(t *testing.T)  { checkPattern(t, "retry-storm", 0.05) }
func TestHalfGone(t *testing.T)    { checkPattern(t, "half-gone", 0.05) }
func TestSlowService(t *testing.T) { checkPattern(t, "slow-service", 0) }
func TestColdReturn(t *testing.T)  { checkPattern(t, "cold-return", 0.02) }

// TestRepeatable guards against runs with the same seed that give different figures, for example through the iteration
// order of maps.
func TestRepeatable(t *testing.T) {
	p, err := FindPattern("cold-return")
	qt.Assert(t, err, qt.IsNil)
	var first, second bytes.Buffer
	qt.Assert(t, Simulate(p, Policies()[0], 7).Write(&first, true), qt.IsNil)
	qt.Assert(t, Simulate(p, Policies()[0], 7).Write(&second, true), qt.IsNil)
	qt.Check(t, first.String(), qt.Equals, second.String())
	qt.Check(t, first.String(), qt.Contains, "policy worth: service ")
	qt.Check(t, first.String(), qt.Contains, "|###")
}

// TestUnknown guards against a misspelled name that silently selects another pattern or policy.
func TestUnknown(t *testing.T) {
	_, err := FindPattern("brust")
	var pattern *UnknownPatternError
	qt.Check(t, errors.As(err, &pattern), qt.IsTrue)
	qt.Check(t, err, qt.ErrorMatches, `unknown pattern "brust"; known patterns: calm, .*`)
	_, err = FindPolicy("fifo")
	var policy *UnknownPolicyError
	qt.Check(t, errors.As(err, &policy), qt.IsTrue)
	qt.Check(t, err, qt.ErrorMatches, `unknown policy "fifo"; known policies: worth, .*`)
}
