package proof

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/fakes"
	"verbenareel/load"
	"verbenareel/trial"
)

// crashMarker in the body of a request makes a fake backend server crash.
const crashMarker = "crash-the-server"

// maxCrashedServers is the number of backend servers that one request may crash if its caller resends it after each answer.
const maxCrashedServers = 2

// TestCrashingRequest guards against a request that crashes one backend server after the other as its caller resends it
// through different nodes, and against other calls that are refused afterwards because they were in flight at a crash.
func TestCrashingRequest(t *testing.T) {
	shape := smallShape(1)
	shape.Groups = []trial.Group{{Service: "sheets", Count: 6}}
	f := startFleet(t, shape, func(f *fleet) {
		for _, i := range f.instances {
			i.serverArguments = append(i.serverArguments, "--crash-on", crashMarker)
		}
	})
	plan := load.Plan{Targets: f.targets(), Classes: sheetLookups(), Rate: 200, Duration: 6 * time.Second, Timeout: 2 * time.Second}
	var group conc.WaitGroup
	group.Go(func() { _, _ = load.Run(context.Background(), plan) })
	client := &http.Client{Timeout: 3 * time.Second}
	outcomes := make(map[string]int)
	for k := range 30 {
		time.Sleep(100 * time.Millisecond)
		outcomes[sendCrash(t, client, f.instances[k%len(f.instances)].http)]++
	}
	group.Wait()
	crashes := 0
	for _, i := range f.instances {
		crashes += i.stats(t).Crashes
	}
	t.Logf("crashes: %d, outcomes of the crashing request: %v", crashes, outcomes)
	qt.Check(t, crashes <= maxCrashedServers, qt.IsTrue, qt.Commentf("%d servers crashed", crashes))
	qt.Check(t, crashes > 0, qt.IsTrue)

	plan.Duration = 2 * time.Second
	summary, err := load.Run(context.Background(), plan)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, summary.Count(load.OutcomeAnswered), qt.Equals, summary.Total(), qt.Commentf("%s", summaryTable(t, summary)))
}

func sheetLookups() []load.Class {
	return []load.Class{{Name: "sheets", Method: "GET", Path: "/sheets/1", Weight: 1, Repeatable: true, BodySize: 16}}
}

// sendCrash sends the crashing request and returns its outcome, or "error" for a transport error.
func sendCrash(t *testing.T, client *http.Client, target string) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+target+"/sheets/2", strings.NewReader(crashMarker))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set(core.HeaderTimeout, "1500")
	response, err := client.Do(request)
	if err != nil {
		return "error"
	}
	_ = response.Body.Close()
	return response.Header.Get(core.HeaderOutcome)
}

// startForwarder starts a forwarder to the target and runs it until the test ends.
func startForwarder(t testing.TB, target string) *fakes.Forwarder {
	t.Helper()
	forwarder, err := fakes.NewForwarder(target)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = forwarder.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return forwarder
}

// TestSilentConnections guards against calls that wait for their whole timeout, and against lost orders, when the open
// connections to a node or to a backend server go silent while new connections work.
func TestSilentConnections(t *testing.T) {
	for _, link := range []string{"node", "backend server"} {
		t.Run(link, func(t *testing.T) {
			shape := smallShape(1)
			shape.Groups = []trial.Group{{Service: "fitting-slot", Count: 3}}
			var forwarder *fakes.Forwarder
			f := startFleet(t, shape, func(f *fleet) {
				first := f.instances[0]
				if link == "node" {
					forwarder = startForwarder(t, first.rpc)
					first.advertised = forwarder.Addr()
					return
				}
				forwarder = startForwarder(t, first.backend)
				first.nodeBackend = forwarder.Addr()
			})
			plan := load.Plan{
				Targets: f.targets()[1:], Rate: 600, Duration: 12 * time.Second, Timeout: 2 * time.Second, Resends: 3,
				Classes: []load.Class{
					{Name: "slots", Method: "GET", Path: "/slots/1", Weight: 1, Repeatable: true},
					{Name: "deposits", Method: "POST", Path: "/deposits/1", Weight: 1},
				},
			}
			var summary *load.Summary
			var group conc.WaitGroup
			group.Go(func() { summary, _ = load.Run(context.Background(), plan) })
			for range 3 {
				time.Sleep(1500 * time.Millisecond)
				forwarder.StallOpen()
			}
			group.Wait()
			t.Logf("%s", summaryTable(t, summary))
			qt.Check(t, summary.Count(load.OutcomeWrongAnswer), qt.Equals, 0)
			lost := summary.Total() - summary.Count(load.OutcomeAnswered)
			// Requests that were on their way to a backend server when its connections went silent may have run there, so
			// their outcome stays unknown. There is at most one such request per slot each time.
			allowed := 0
			if link == "backend server" {
				allowed = 3 * shape.Slots
			}
			qt.Check(t, lost <= allowed, qt.IsTrue, qt.Commentf("%d calls lost", lost))
			qt.Check(t, f.duplicates(), qt.Equals, 0)
			last := f.instances[0].stats(t).LastRun
			qt.Check(t, time.Since(time.UnixMilli(last)) < 6*time.Second, qt.IsTrue, qt.Commentf("the instance no longer gets calls"))
		})
	}
}

// TestCommandLine guards against invalid input that is accepted, and against error messages that do not say where the error
// is.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	good := string(trial.Kitami().Document())
	cases := []struct {
		name      string
		arguments []string
		want      string
		fails     bool
	}{
		{"good document", []string{"check", write("good.toml", good)}, "ok", false},
		{"unknown key", []string{"check", write("key.toml", good+"\nspeed = 3\n")}, "speed", true},
		{"wrong type", []string{"check", write("type.toml", strings.Replace(good, "slots = 18", `slots = "many"`, 1))}, "slots", true},
		{"syntax", []string{"check", write("syntax.toml", good+"\n[places\n")}, "line", true},
		{"unknown service", []string{"check", write("rule.toml", good+"\n[[rules]]\npath = \"/x/\"\nservice = \"none\"\n")}, "none", true},
		{"too large", []string{"check", write("large.toml", good+strings.Repeat("# comment\n", 120_000))}, "1", true},
		{"bad settings", []string{"check", "--settings", write("node.toml", "instance = \"a\"\nhttp_address = \"nowhere\"\n")}, "http_address", true},
		{"missing file", []string{"node", "--settings", filepath.Join(dir, "none.toml")}, "none.toml", true},
		{"wrong flag", []string{"load", "--speed", "3"}, "speed", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(binary, c.arguments...).CombinedOutput()
			qt.Check(t, err != nil, qt.Equals, c.fails, qt.Commentf("%s", out))
			qt.Check(t, string(out), qt.Contains, c.want)
			qt.Check(t, strings.Contains(string(out), "goroutine "), qt.IsFalse)
		})
	}
}

// TestInvalidDocument guards against an invalid document that takes effect, or whose error is not shown in the node's status.
func TestInvalidDocument(t *testing.T) {
	f := startFleet(t, smallShape(1))
	good := f.platform.Publish(f.shape.Document())
	waitRevision(t, f.instances, good)
	bad := f.platform.Publish([]byte("deployment = 3\n"))
	waitFor(t, inForceLimit, "a node reports the rejected revision", func() bool {
		report, err := f.instances[0].report()
		return err == nil && strings.Contains(report.Rejected, fmt.Sprint("revision ", bad))
	})
	report, err := f.instances[0].report()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Revision, qt.Equals, good)
	qt.Check(t, report.Rejected, qt.Contains, "deployment")
	waitRevision(t, f.instances, f.platform.Publish(f.shape.Document()))
}
