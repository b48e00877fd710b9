// Package soak is a randomized fault-injection test. It runs nodes and fake backend servers as separate processes, and a
// fake platform, injects random faults into them and into the connections between them, and checks the guarantees of the
// load balancer against what callers and backend servers observe. The same seed gives the same faults at the same times.
package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"verbenareel/fakes"
	"verbenareel/node"
	"verbenareel/trial"
)

const (
	// drainTimeout is the nodes' drain_timeout setting. A node has to exit within it after SIGTERM.
	drainTimeout = 5 * time.Second
	// requestTimeout limits a status or control request to a process.
	requestTimeout = time.Second
	// startTimeout limits the time until all nodes are ready.
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a child process of the soak test.
type process struct {
	command *exec.Cmd
	stderr  bytes.Buffer
	exited  chan struct{}
}

func (f *fleet) start(arguments ...string) (*process, error) {
	p := &process{command: exec.Command(f.options.Binary, arguments...), exited: make(chan struct{})}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("open stdout pipe of a process: %w", err)
	}
	p.command.Stderr = &p.stderr
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", arguments[0], err)
	}
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	lines := bufio.NewScanner(stdout)
	firstLine := make(chan struct{})
	f.group.Go(func() {
		var once sync.Once
		for lines.Scan() {
			once.Do(func() { close(firstLine) })
			f.log(lines.Bytes())
		}
		once.Do(func() { close(firstLine) })
		err := p.command.Wait()
		f.log(fmt.Appendf(nil, "%s %v exited: %v: %s", time.Now().Format(time.RFC3339Nano), arguments, err, p.stderr.Bytes()))
		close(p.exited)
	})
	<-firstLine
	return p, nil
}

// signal sends a signal to the process. It has no effect after the process has exited.
func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// stop kills the process and waits until it has exited.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// instance is a node and its backend server, with the forwarders through which faults affect their connections.
type instance struct {
	entry                 fakes.Entry
	http, status, backend string
	settings              string
	// peerLink forwards connections of other nodes to this node, serverLink those of this node to its backend server, and
	// platformLink those of this node to the platform.
	peerLink, serverLink, platformLink *fakes.Forwarder

	mu           sync.Mutex
	node, server *process
}

// fleet holds the processes of a run. The platform and the forwarders run inside this process.
type fleet struct {
	options   Options
	shape     trial.Shape
	dir       string
	ctx       context.Context
	cancel    context.CancelFunc
	group     conc.WaitGroup
	client    http.Client
	platform  *fakes.Platform
	instances []*instance

	mu        sync.Mutex
	started   []*process
	logWriter *bufio.Writer
	logFile   *os.File
}

// newFleet starts the platform, and a backend server and a node for each instance.
func newFleet(options Options) (*fleet, error) {
	shape := trial.Kitami()
	shape.ColdRate = coldRate
	perService := max(1, options.Instances/len(shape.Groups))
	for i := range shape.Groups {
		shape.Groups[i].Count = perService
	}
	f := &fleet{options: options, shape: shape, client: http.Client{Timeout: requestTimeout}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.startAll(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startAll() error {
	var err error
	if f.dir, err = os.MkdirTemp("", "verbenareel-soak"); err != nil {
		return fmt.Errorf("create directory of the run: %w", err)
	}
	if f.logFile, err = os.Create(filepath.Join(f.dir, "log")); err != nil {
		return fmt.Errorf("create process log of the run: %w", err)
	}
	f.logWriter = bufio.NewWriter(f.logFile)
	if f.platform, err = fakes.NewPlatform("127.0.0.1:0", 500*time.Millisecond); err != nil {
		return err
	}
	f.group.Go(func() { _ = f.platform.Serve(f.ctx) })
	f.platform.Publish(f.document())
	for _, group := range f.shape.Groups {
		for i := range group.Count {
			if err := f.addInstance(group.Service, i); err != nil {
				return err
			}
		}
	}
	f.publishInstances()
	for _, i := range f.instances {
		if err := errors.Join(f.startServer(i), f.startNode(i, nil)); err != nil {
			return err
		}
	}
	return f.waitFor(startTimeout, "all nodes are ready", f.ready)
}

// addInstance allocates the addresses of an instance, starts its forwarders and writes its settings file.
func (f *fleet) addInstance(service string, index int) error {
	i := &instance{entry: fakes.Entry{
		Instance: fmt.Sprintf("%s-%d", service, index+1), Service: service, Domain: f.shape.Domains[index%len(f.shape.Domains)], State: "live",
	}}
	var rpc string
	for _, address := range []*string{&i.http, &rpc, &i.status, &i.backend} {
		var err error
		if *address, err = fakes.NewAddress(); err != nil {
			return err
		}
	}
	for target, link := range map[string]**fakes.Forwarder{
		rpc: &i.peerLink, i.backend: &i.serverLink, f.platform.URL()[len("http://"):]: &i.platformLink,
	} {
		forwarder, err := fakes.NewForwarder(target)
		if err != nil {
			return err
		}
		f.group.Go(func() { _ = forwarder.Serve(f.ctx) })
		if f.options.LargeDocuments && target != i.backend {
			forwarder.SetRate(thinLink)
		}
		*link = forwarder
	}
	i.entry.Address = i.peerLink.Addr()
	i.settings = filepath.Join(f.dir, i.entry.Instance+".toml")
	text := fmt.Sprintf("instance = %q\nservice = %q\ndomain = %q\nhttp_address = %q\nrpc_address = %q\nadvertise_address = %q\n"+
		"status_address = %q\nbackend_address = %q\nplatform_url = %q\ndrain_timeout = %q\n",
		i.entry.Instance, service, i.entry.Domain, i.http, rpc, i.entry.Address, i.status, i.serverLink.Addr(),
		"http://"+i.platformLink.Addr(), drainTimeout)
	if len(f.instances) > 0 {
		text += fmt.Sprintf("seeds = [%q]\n", f.instances[0].entry.Address)
	}
	f.instances = append(f.instances, i)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings of a node: %w", err)
	}
	return nil
}

// publishInstances sets the platform's instance list to all instances.
func (f *fleet) publishInstances() {
	var entries []fakes.Entry
	for _, i := range f.instances {
		entries = append(entries, i.entry)
	}
	f.platform.List(entries)
}

func (f *fleet) startServer(i *instance) error {
	p, err := f.start("fake", "backend", "--name", i.entry.Instance, "--address", i.backend, "--node", i.http,
		"--slots", fmt.Sprint(f.shape.Slots), "--cold", fmt.Sprint(f.shape.ColdLimit), "--warm-time", f.shape.WarmTime.String(),
		"--service-time", fmt.Sprint(f.shape.ServiceTime))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.server = p
	return err
}

// startNode starts a node to replace the process previous, unless another fault has already replaced it.
func (f *fleet) startNode(i *instance, previous *process) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.node != previous {
		return nil
	}
	p, err := f.start("node", "--settings", i.settings)
	if err != nil {
		return err
	}
	i.node = p
	return nil
}

// processes returns the current node and backend server processes of the instance.
func (i *instance) processes() (node, server *process) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node, i.server
}

// log appends a line to the process log.
func (f *fleet) log(line []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.logWriter.Write(append(line, '\n'))
}

// close kills all processes of the run and closes the process log.
func (f *fleet) close() {
	f.mu.Lock()
	started := slices.Clone(f.started)
	f.mu.Unlock()
	for _, p := range started {
		p.stop()
	}
	f.cancel()
	f.group.Wait()
	if f.logFile != nil {
		_ = f.logWriter.Flush()
		_ = f.logFile.Close()
	}
}

// fetch gets a JSON document by HTTP and decodes it into value.
func (f *fleet) fetch(address, path string, value any) error {
	response, err := f.client.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("get http://%s%s: %w", address, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("decode response of http://%s%s: %w", address, path, err)
	}
	return nil
}

// ready reports whether each node has applied the latest document and considers every instance serving or cold.
func (f *fleet) ready() bool {
	for _, i := range f.instances {
		var report node.Report
		if f.fetch(i.status, "/status", &report) != nil || report.Revision != f.platform.Revision() {
			return false
		}
		working := 0
		for _, other := range report.Instances {
			if other.State == "serving" || other.State == "cold" {
				working++
			}
		}
		if working < len(f.instances) {
			return false
		}
	}
	return true
}

// waitFor polls the condition until it holds, and returns an error after the timeout.
func (f *fleet) waitFor(timeout time.Duration, description string, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v waiting for: %s", timeout, description)
		}
	}
	return nil
}
