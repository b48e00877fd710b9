package router

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenareel/schema"
)

// TestSplits guards against a service of a traffic split that gets more or fewer calls than its weight allows. For any
// sequence of calls to several rules under one document, also after earlier documents, each count must be within two
// calls of its share. A service with weight 0 gets no calls.
func TestSplits(t *testing.T) {
	services := []string{"sheets", "fittings", "cutting"}
	rapid.Check(t, func(t *rapid.T) {
		var s splits
		for range rapid.IntRange(1, 4).Draw(t, "documents") {
			rules := drawSplits(t, services)
			s.retain(rules)
			counts := make(map[*schema.Rule]map[string]int)
			calls := make(map[*schema.Rule]int)
			for range rapid.IntRange(1, 120).Draw(t, "calls") {
				rule := rapid.SampledFrom(rules).Draw(t, "rule")
				if counts[rule] == nil {
					counts[rule] = make(map[string]int)
				}
				counts[rule][s.nextService(rule)]++
				calls[rule]++
				checkShares(t, rule, counts[rule], calls[rule])
			}
		}
	})
}

// TestSplitAfterZeroWeights guards against a traffic split that sends all calls to one service for good, since a document in
// between gave no service a weight above 0.
func TestSplitAfterZeroWeights(t *testing.T) {
	rule := func(weights ...float64) *schema.Rule {
		var shares []*schema.Share
		for i, weight := range weights {
			shares = append(shares, schema.Share_builder{Service: []string{"sheets", "fittings"}[i], Weight: weight}.Build())
		}
		return schema.Rule_builder{Path: "/a", Split: shares}.Build()
	}
	for name, without := range map[string]*schema.Rule{"zero": rule(0, 0), "sum of zero": rule(-1, 1)} {
		t.Run(name, func(t *testing.T) {
			var s splits
			_ = s.nextService(without)
			split, counts := rule(1, 1), make(map[string]int)
			s.retain([]*schema.Rule{split})
			const calls = 40
			for range calls {
				counts[s.nextService(split)]++
			}
			checkShares(t, split, counts, calls)
			for key, credit := range s.credits {
				qt.Check(t, math.IsNaN(credit), qt.IsFalse, qt.Commentf("%v", key))
			}
		})
	}
}

// drawSplits returns rules with different paths, each split among all services.
func drawSplits(t *rapid.T, services []string) []*schema.Rule {
	var rules []*schema.Rule
	for _, path := range []string{"/a", "/b"} {
		var shares []*schema.Share
		total := 0.0
		for _, service := range services {
			weight := float64(rapid.IntRange(0, 100).Draw(t, "weight"))
			total += weight
			shares = append(shares, schema.Share_builder{Service: service, Weight: weight}.Build())
		}
		if total == 0 {
			shares[0].SetWeight(1)
		}
		rules = append(rules, schema.Rule_builder{Path: path, Split: shares}.Build())
	}
	return rules
}

func checkShares(t rapid.TB, rule *schema.Rule, counts map[string]int, calls int) {
	const slack = 2
	total := 0.0
	for _, share := range rule.GetSplit() {
		total += share.GetWeight()
	}
	for _, share := range rule.GetSplit() {
		want, got := share.GetWeight()/total*float64(calls), counts[share.GetService()]
		if share.GetWeight() == 0 && got > 0 {
			t.Fatalf("%s: %d calls at weight 0", share.GetService(), got)
		}
		if math.Abs(want-float64(got)) > slack {
			t.Fatalf("%s: %d of %d calls, its share is %.1f", share.GetService(), got, calls, want)
		}
	}
}
