// Package proof contains end-to-end tests. They run the built program and fake backend servers as separate processes, inject
// faults, and check the guarantees of the load balancer.
package proof

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	stdio "io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/fakes"
	"verbenareel/node"
	"verbenareel/trial"
)

// listAge is how old the instance list is when the platform returns it.
const listAge = 500 * time.Millisecond

// binary is the program under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verbenareel")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "verbenareel")
	build := exec.Command("go", "build", "-o", binary, "verbenareel/cmd/verbenareel")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a child process of the test.
type process struct {
	command *exec.Cmd
	stdout  stdio.ReadCloser
	stderr  bytes.Buffer
	mu      sync.Mutex
	exited  chan struct{}
	err     error
}

// startProcess starts the program and kills it when the test ends. The reader returns its standard output.
func startProcess(t testing.TB, arguments ...string) (*process, *bufio.Reader) {
	t.Helper()
	p := &process{command: exec.Command(binary, arguments...), exited: make(chan struct{})}
	stdout, err := p.command.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	p.stdout = stdout
	stderr, err := p.command.StderrPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.command.Start(), qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			p.mu.Lock()
			p.stderr.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
		}
		p.err = p.command.Wait()
		close(p.exited)
	})
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		group.Wait()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			tail := p.stderr.Bytes()
			t.Logf("%s: %s", strings.Join(arguments, " "), tail[max(0, len(tail)-2000):])
		}
	})
	return p, bufio.NewReader(stdout)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// instance is a node and its fake backend server, with their addresses and settings.
type instance struct {
	name, service, domain      string
	http, rpc, status, backend string
	settings                   string
	node, server               *process
	platformURL                string
	// advertised, if set, is the address at which other nodes connect to this node, instead of rpc. nodeBackend, if set, is
	// the address at which the node connects to its backend server, instead of backend.
	advertised, nodeBackend string
	// peerLink forwards the connections of other nodes to this node. It is set by withForwarders.
	peerLink        *fakes.Forwarder
	serverArguments []string
}

// fleet is a set of node and backend server processes. The fake platform runs in the test process.
type fleet struct {
	t         testing.TB
	platform  *fakes.Platform
	shape     trial.Shape
	instances []*instance
}

// fleetOption changes the configuration of a fleet before its processes start.
type fleetOption func(*fleet)

// startFleet starts a platform, and a backend server and a node process for each instance of the shape, and waits until all
// nodes are ready.
func startFleet(t testing.TB, shape trial.Shape, opts ...fleetOption) *fleet {
	t.Helper()
	platform, err := fakes.NewPlatform("127.0.0.1:0", listAge)
	qt.Assert(t, err, qt.IsNil)
	f := &fleet{t: t, platform: platform, shape: shape}
	f.servePlatform(platform)
	platform.Publish(shape.Document())
	for _, g := range shape.Groups {
		for i := range g.Count {
			f.instances = append(f.instances, f.newInstance(g.Service, i))
		}
	}
	for _, o := range opts {
		o(f)
	}
	f.publishInstances()
	for _, i := range f.instances {
		f.startServer(i)
		f.startNode(i)
	}
	f.waitReady(f.instances)
	return f
}

// withForwarders makes other nodes connect to each node through a forwarder.
func withForwarders(f *fleet) {
	for _, i := range f.instances {
		i.peerLink = startForwarder(f.t, i.rpc)
		i.advertised = i.peerLink.Addr()
	}
}

// servePlatform runs the platform until the test ends.
func (f *fleet) servePlatform(platform *fakes.Platform) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = platform.Serve(ctx) })
	f.t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

func (f *fleet) newInstance(service string, index int) *instance {
	i := &instance{
		name:        fmt.Sprintf("%s-%d", service, index+1),
		service:     service,
		domain:      f.shape.Domains[index%len(f.shape.Domains)],
		http:        freeAddress(f.t),
		rpc:         freeAddress(f.t),
		status:      freeAddress(f.t),
		backend:     freeAddress(f.t),
		platformURL: f.platform.URL(),
	}
	i.settings = filepath.Join(f.t.TempDir(), i.name+".toml")
	i.serverArguments = []string{"--service-time", fmt.Sprint(f.shape.ServiceTime)}
	return i
}

func freeAddress(t testing.TB) string {
	address, err := fakes.NewAddress()
	qt.Assert(t, err, qt.IsNil)
	return address
}

// publishInstances sets the platform's instance list. The given instances are listed as leaving, all others as live.
func (f *fleet) publishInstances(leaving ...*instance) {
	var entries []fakes.Entry
	for _, i := range f.instances {
		state := "live"
		if slices.Contains(leaving, i) {
			state = "leaving"
		}
		entries = append(entries, fakes.Entry{Instance: i.name, Service: i.service, Domain: i.domain, Address: cmp.Or(i.advertised, i.rpc), State: state})
	}
	f.platform.List(entries)
}

// startServer starts the backend server of an instance and waits for its first line of output.
func (f *fleet) startServer(i *instance) {
	arguments := append([]string{"fake", "backend", "--name", i.name, "--address", i.backend, "--node", i.http,
		"--slots", fmt.Sprint(f.shape.Slots), "--cold", fmt.Sprint(f.shape.ColdLimit), "--warm-time", f.shape.WarmTime.String()},
		i.serverArguments...)
	var stdout *bufio.Reader
	i.server, stdout = startProcess(f.t, arguments...)
	_, err := stdout.ReadString('\n')
	qt.Assert(f.t, err, qt.IsNil)
}

// startNode writes the settings file of an instance's node and starts the node.
func (f *fleet) startNode(i *instance) {
	text := fmt.Sprintf("instance = %q\nservice = %q\ndomain = %q\nhttp_address = %q\nrpc_address = %q\n"+
		"status_address = %q\nbackend_address = %q\nplatform_url = %q\nlog_level = \"info\"\ndrain_timeout = \"10s\"\nseeds = [%s]\n",
		i.name, i.service, i.domain, i.http, i.rpc, i.status, cmp.Or(i.nodeBackend, i.backend), i.platformURL, f.seeds(i))
	if i.advertised != "" {
		text += fmt.Sprintf("advertise_address = %q\n", i.advertised)
	}
	qt.Assert(f.t, os.WriteFile(i.settings, []byte(text), 0o600), qt.IsNil)
	i.node, _ = startProcess(f.t, "node", "--settings", i.settings)
}

// seeds returns the addresses at which up to 3 other nodes are reached, as elements of a TOML array.
func (f *fleet) seeds(self *instance) string {
	var seeds []string
	for _, i := range f.instances {
		if i != self && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", cmp.Or(i.advertised, i.rpc)))
		}
	}
	return strings.Join(seeds, ", ")
}

// report returns the node's status report.
func (i *instance) report() (node.Report, error) {
	var report node.Report
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.status + "/status")
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	return report, json.NewDecoder(response.Body).Decode(&report)
}

// waitReady waits until each of the nodes has a configuration and considers every instance of the fleet serving or cold.
func (f *fleet) waitReady(nodes []*instance) {
	f.t.Helper()
	waitFor(f.t, 15*time.Second, "nodes are ready", func() bool {
		for _, i := range nodes {
			report, err := i.report()
			if err != nil || report.Revision == 0 || countServing(report) < len(f.instances) {
				return false
			}
		}
		return true
	})
}

func countServing(report node.Report) int {
	count := 0
	for _, i := range report.Instances {
		if i.State == "serving" || i.State == "cold" {
			count++
		}
	}
	return count
}

// waitRevision waits until the revision or a later one is in force on each of the nodes, and returns the time that it waited.
func waitRevision(t testing.TB, nodes []*instance, revision uint64) time.Duration {
	t.Helper()
	start := time.Now()
	waitFor(t, inForceLimit, fmt.Sprintf("revision %d is in force on %d nodes", revision, len(nodes)), func() bool {
		for _, i := range nodes {
			report, err := i.report()
			if err != nil || report.Revision < revision {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// waitFor polls the condition until it holds and fails the test after the timeout.
func waitFor(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for: %s", timeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stats returns the statistics of the instance's backend server.
func (i *instance) stats(t testing.TB) fakes.Stats {
	var stats fakes.Stats
	i.fetch(t, "/fake/stats", &stats)
	return stats
}

func (i *instance) fetch(t testing.TB, path string, value any) {
	t.Helper()
	response, err := http.Get("http://" + i.backend + path)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Assert(t, json.NewDecoder(response.Body).Decode(value), qt.IsNil)
}

// executions returns how often each request ran, by request ID, summed over all backend servers.
func (f *fleet) executions() map[string]int {
	total := make(map[string]int)
	for _, i := range f.instances {
		var runs map[string]int
		i.fetch(f.t, "/fake/runs", &runs)
		for id, n := range runs {
			total[id] += n
		}
	}
	return total
}

// duplicates returns the number of requests with an ID, including lookups, that ran more than once on the same backend server.
func (f *fleet) duplicates() int {
	total := 0
	for _, i := range f.instances {
		total += i.stats(f.t).Duplicates
	}
	return total
}

// targets returns the HTTP addresses of all nodes.
func (f *fleet) targets() []string {
	var targets []string
	for _, i := range f.instances {
		targets = append(targets, i.http)
	}
	return targets
}

// control changes the behaviour of the instance's backend server. The change is a JSON object with fields of fakes.Control.
func (i *instance) control(t testing.TB, change string) {
	t.Helper()
	response, err := http.Post("http://"+i.backend+"/fake/control", "application/json", strings.NewReader(change))
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusNoContent)
}
