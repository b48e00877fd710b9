package trace

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// runTrace returns the output of a trace of the request in a log.
func runTrace(t *testing.T, id, log string) string {
	t.Helper()
	trace := New(id)
	qt.Assert(t, trace.Read(strings.NewReader(log)), qt.IsNil)
	var out strings.Builder
	qt.Assert(t, trace.Write(&out), qt.IsNil)
	return out.String()
}

const refusedLog = `
  1.9 node-1 {"level":"info","ts":"2026-08-11T09:43:40.100Z","msg":"call refused","node":"node-1","request":"aa","path":"/a","service":"sheets","outcome":"not-run","reason":"retry-budget","code":0,"took":0.0052,"hops":"sheets-2:not-run/busy(18+4/18 pace 1.0 age 12ms) sheets-3:not-run/slow(10+0/18 pace 5.0 age 48ms)","revision":7}
not a line of the log
  1.9 node-2 {"level":"info","ts":"2026-08-11T09:43:40.050Z","msg":"refusing new work","node":"node-2","reason":"leaving"}
  1.9 node-9 {"level":"info","ts":"2026-08-11T09:43:40.051Z","msg":"refusing new work","node":"node-9","reason":"leaving"}
  1.0 node-2 {"level":"info","ts":"2026-08-11T09:43:30.000Z","msg":"another backend server","node":"node-2","instance":"sheets-2","before":"node-2"}
  2.0 node-1 {"level":"info","ts":"2026-08-11T09:43:40.200Z","msg":"call refused","node":"node-1","request":"aab","outcome":"not-run","reason":"busy","took":0.1}
`

// TestReasonTexts guards against a reason that a trace does not explain.
func TestReasonTexts(t *testing.T) {
	for number, name := range schema.Reason_name {
		if reason := schema.Reason(number); reason != schema.Reason_REASON_NONE {
			qt.Check(t, reasonTexts[core.ReasonName(reason)] != "", qt.IsTrue, qt.Commentf("%s", name))
		}
	}
}

// TestRefused guards against a summary with a cause other than the logged one, and against lines of unrelated requests and
// nodes in the trace.
func TestRefused(t *testing.T) {
	text := runTrace(t, "aa", refusedLog)
	qt.Check(t, text, qt.Contains, "refused after 5.2ms, and did not run: every instance that was tried refused it, and the retry budget")
	qt.Check(t, text, qt.Contains, "It was sent to sheets-2 (busy; load known to the router: 18+4/18 pace 1.0 age 12ms), then to sheets-3 (slow;")
	qt.Check(t, text, qt.Contains, "09:43:40.050   node-2               refusing new work reason=\"leaving\"")
	qt.Check(t, text, qt.Contains, "09:43:40.100 * node-1")
	qt.Check(t, strings.Contains(text, "node-9"), qt.IsFalse)
	qt.Check(t, strings.Contains(text, "aab"), qt.IsFalse)
	qt.Check(t, strings.Index(text, "09:43:40.050") < strings.Index(text, "09:43:40.100"), qt.IsTrue)
}

// TestNested guards against a summary that reports the error of a backend server without the failed nested call behind it.
func TestNested(t *testing.T) {
	const log = `{"ts":"2026-08-11T09:43:40.100Z","msg":"call without an answer","node":"node-2","request":"aa.1","outcome":"unknown","reason":"crashed","code":0,"took":0.2,"hops":"cutting-1:unknown/crashed(3+0/18 pace 1.0 age 5ms)"}
{"ts":"2026-08-11T09:43:40.110Z","msg":"call answered with an error of the backend server","node":"node-1","request":"aa","outcome":"answered","reason":"none","code":502,"took":0.31,"hops":"sheets-1:502(3+0/18 pace 1.0 age 5ms)"}
`
	text := runTrace(t, "aa", log)
	qt.Check(t, text, qt.Contains, "Request aa: the backend server returned status 502 after 310ms. It was sent to sheets-1 (502;")
	qt.Check(t, text, qt.Contains, "While it ran, it made the nested call aa.1: no response after 200ms, and it may have run: the backend server crashed")
}

// TestLate guards against a summary that reports a late response as a failure.
func TestLate(t *testing.T) {
	const log = `{"ts":"2026-08-11T09:43:40.100Z","msg":"call answered late","node":"node-2","request":"aa","outcome":"answered","reason":"none","code":200,"took":0.9,"target":0.6,"hops":"cutting-1:200(nothing known)"}`
	qt.Check(t, runTrace(t, "aa", log), qt.Contains, "answered with 200 after 900ms, later than its target latency of 600ms. It was sent to cutting-1 (200; load known to the router: no report yet)")
}

// TestUnknownRequest guards against empty output, without an error, for a request that no line names.
func TestUnknownRequest(t *testing.T) {
	trace := New("zz")
	qt.Assert(t, trace.Read(strings.NewReader(refusedLog)), qt.IsNil)
	var unknown *UnknownRequestError
	err := trace.Write(&strings.Builder{})
	qt.Check(t, errors.As(err, &unknown), qt.IsTrue)
	qt.Check(t, err, qt.ErrorMatches, `no log line names request "zz": .*`)
}

// FuzzTrace guards against input that makes the command fail. Logs may be truncated, mixed, or contain the output of other
// programs.
func FuzzTrace(f *testing.F) {
	f.Add("aa", refusedLog)
	f.Add("aa", `{"ts":"2026-08-11T09:43:40.100Z","request":"aa","hops":"x:(","took":"1"}`)
	f.Fuzz(func(t *testing.T, id, log string) {
		trace := New(id)
		if trace.Read(strings.NewReader(log)) != nil {
			return
		}
		var unknown *UnknownRequestError
		if err := trace.Write(&strings.Builder{}); err != nil && !errors.As(err, &unknown) {
			t.Fatal(err)
		}
	})
}
