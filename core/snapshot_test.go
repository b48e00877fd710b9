package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenareel/core"
	"verbenareel/schema"
)

// firstMatch is the reference implementation of Route: a linear search for the first rule that matches host, method and
// path.
func firstMatch(rules []*schema.Rule, method, host, path string) *schema.Rule {
	for _, r := range rules {
		hosts := r.GetHost() == "" || r.GetHost() == host
		methods := r.GetMethod() == "" || r.GetMethod() == method
		if hosts && methods && strings.HasPrefix(path, r.GetPath()) {
			return r
		}
	}
	return nil
}

// TestRoute checks that a call always takes the first matching rule of the document. The snapshot stores rules in separate
// lists per host, so rules for one host and for all hosts must be merged in document order.
func TestRoute(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"", "a.example", "b.example", "c.example"})
	methods := rapid.SampledFrom([]string{"", "GET", "POST"})
	paths := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/ab", "/b/"})
	rapid.Check(t, func(t *rapid.T) {
		var rules []*schema.Rule
		for range rapid.IntRange(0, 8).Draw(t, "rules") {
			rules = append(rules, schema.Rule_builder{
				Host: hosts.Draw(t, "host"), Method: methods.Draw(t, "method"), Path: paths.Draw(t, "path"), Service: "sheets",
			}.Build())
		}
		snapshot := core.NewSnapshot(1, schema.Document_builder{Rules: rules}.Build(), nil)
		for range 20 {
			host, method := hosts.Draw(t, "request host"), methods.Draw(t, "request method")
			path := paths.Draw(t, "request path") + rapid.SampledFrom([]string{"", "x", "/x"}).Draw(t, "path suffix")
			if got, want := snapshot.Route(method, host, path), firstMatch(rules, method, host, path); got != want {
				t.Fatalf("%s %s%s: got rule %v, want %v", method, host, path, got, want)
			}
		}
	})
}

// TestReportInterval guards against reports that cost as much for each node, whatever the size of the fleet, and against
// intervals that grow without bound.
func TestReportInterval(t *testing.T) {
	const base = 50 * time.Millisecond
	var none *core.Snapshot
	qt.Check(t, none.ReportInterval(base), qt.Equals, base)
	for instances, want := range map[int]time.Duration{14: base, 100: base, 150: 75 * time.Millisecond, 296: 100 * time.Millisecond, 840: 100 * time.Millisecond} {
		var members []*schema.Member
		for i := range instances {
			members = append(members, schema.Member_builder{Instance: fmt.Sprint("sheets-", i), Service: "sheets", Address: fmt.Sprint("10.0.0.1:", i)}.Build())
		}
		qt.Check(t, core.NewSnapshot(1, &schema.Document{}, members).ReportInterval(base), qt.Equals, want)
	}
}
