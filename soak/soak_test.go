package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/fakes"
	"verbenareel/load"
)

// TestSoak performs one short run with a fixed seed.
func TestSoak(t *testing.T) {
	checkRun(t, Options{Binary: build(t), Seed: 1, FaultDuration: 4 * time.Second, Instances: 6})
}

// TestSoakLargeDocuments performs one short run with large documents on thin links.
func TestSoakLargeDocuments(t *testing.T) {
	checkRun(t, Options{Binary: build(t), Seed: 2, FaultDuration: 4 * time.Second, Instances: 6, LargeDocuments: true})
}

// TestKeptSeeds guards against regressions: runs with these seeds found the failures that the subtests are named after.
func TestKeptSeeds(t *testing.T) {
	binary := build(t)
	for seed, name := range map[uint64]string{
		109411453:  "a popular request that was in flight at two crashes by other causes was refused as their cause",
		2628647245: "a cold server got calls of two seconds in one",
		4191309799: "a cold server got calls of two seconds in one",
	} {
		t.Run(name, func(t *testing.T) {
			checkRun(t, Options{Binary: binary, Seed: seed, FaultDuration: 10 * time.Second, Instances: 9})
		})
	}
}

// build compiles the verbenareel program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "verbenareel")
	out, err := exec.Command("go", "build", "-o", binary, "verbenareel/cmd/verbenareel").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func checkRun(t *testing.T, options Options) {
	t.Helper()
	var report bytes.Buffer
	violations, err := Run(context.Background(), options, &report)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", report.String()))
}

// TestCheckCalls guards against checks that miss a violation of a guarantee, or that report one where there is none.
func TestCheckCalls(t *testing.T) {
	call := func(id, class, outcome, reason string) load.Call {
		return load.Call{ID: id, Class: class, Outcome: outcome, Reason: reason}
	}
	permitted := []load.Call{
		call("1", "order", load.OutcomeAnswered, ""), call("2", "order", load.OutcomeNotRun, "busy"),
		call("3", "order", load.OutcomeUnknown, "node-lost"), call("4", "lookup", load.OutcomeAnswered, ""),
		call("5", "deposit", load.OutcomeAnswered, "502"),
	}
	executions := map[string]int{"1": 1, "3": 1, "4": 3}
	qt.Check(t, checkCalls(permitted, executions), qt.HasLen, 0)
	for _, test := range []struct {
		call load.Call
		runs int
	}{
		{call("6", "order", load.OutcomeUnknown, ""), 2},
		{call("6", "deposit", load.OutcomeNotRun, "busy"), 1},
		{call("6", "order", load.OutcomeAnswered, ""), 0},
		{call("6", "lookup", load.OutcomeWrongAnswer, ""), 1},
		{call("6", "lookup", load.OutcomeNotRun, "no-rule"), 0},
		{call("6", "order", load.OutcomeNotRun, "malformed"), 0},
	} {
		executions["6"] = test.runs
		qt.Check(t, checkCalls(append(permitted, test.call), executions), qt.HasLen, 1, qt.Commentf("%+v", test))
	}
	qt.Check(t, checkFaultFreeCalls(permitted), qt.HasLen, 3)
}

// TestDraw guards against a seed that gives different faults each time, and against kinds of faults that are never picked.
func TestDraw(t *testing.T) {
	instances := []*instance{{entry: fakes.Entry{Instance: "sheets-1"}}, {entry: fakes.Entry{Instance: "sheets-2"}}}
	generate := func(seed uint64) []fault {
		return generateFaults(rand.New(rand.NewPCG(seed, 1)), instances, 10*time.Second)
	}
	qt.Check(t, len(generate(7)), qt.Equals, len(generate(7)))
	for i, f := range generate(7) {
		qt.Check(t, f.String(), qt.Equals, generate(7)[i].String())
	}
	generated := make(map[string]bool)
	for seed := range uint64(40) {
		for _, f := range generate(seed) {
			generated[f.kind] = true
		}
	}
	qt.Check(t, len(generated), qt.Equals, len(faultKinds))
}
