// Package trial runs a small fleet of nodes with fake backend servers and a fake platform on loopback, and benchmarks it in
// a number of scenarios.
package trial

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/fakes"
	"verbenareel/node"
	"verbenareel/schema"
)

// listAge is how old the instance list is when the platform returns it.
const listAge = 500 * time.Millisecond

// probesPerSecond is the probe budget for one backend server.
const probesPerSecond = 2.0

// Group describes the instances of one service.
type Group struct {
	Service string
	Count   int
}

// Rule maps requests to a service.
type Rule struct {
	Method     string
	Path       string
	Service    string
	Repeatable bool
}

// Shape describes the instances, services and failure domains of a fleet.
type Shape struct {
	Deployment string
	// Domains are the failure domains. The instances of each group are spread over them in turn.
	Domains []string
	Groups  []Group
	// Slots is the number of calls that a warm backend server can run concurrently.
	Slots int
	// ColdLimit is the number of calls that a backend server can run concurrently just after a cold start. It rises to Slots
	// within WarmTime.
	ColdLimit int
	WarmTime  time.Duration
	// ColdRate is the number of calls per second that a cold backend server can handle; 0 means no limit.
	ColdRate float64
	// HedgeRatio is the share of lookups that may be hedged, as a TOML float.
	HedgeRatio string
	// Rules map requests to services. Document omits rules for services that have no instances.
	Rules []Rule
	// Warm makes the backend servers start warm.
	Warm bool
	// ServiceTime is the mean service time in milliseconds.
	ServiceTime float64
	// Fixed makes each service time equal to the mean.
	Fixed bool
}

// Kitami returns the shape of the Kitami deployment: 4 failure domains and 6+4+4 backend servers with 18 slots each.
func Kitami() Shape {
	return Shape{
		Deployment:  "Fitting Orders Mesh",
		Domains:     []string{"sapporo", "asahikawa", "hakodate", "kushiro"},
		Groups:      []Group{{"sheets", 6}, {"fitting-slot", 4}, {"cutting-room", 4}},
		Slots:       18,
		ColdLimit:   2,
		WarmTime:    2 * time.Second,
		ServiceTime: 5,
		HedgeRatio:  "0.05",
		Rules: []Rule{
			{"GET", "/sheets/", "sheets", true},
			{"GET", "/slots/", "fitting-slot", true},
			{"POST", "/deposits/", "fitting-slot", false},
			{"POST", "/orders/", "cutting-room", false},
		},
	}
}

// Document returns the configuration document of the fleet in TOML, with the given failure domains out of service.
func (s Shape) Document(out ...string) []byte {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "deployment = %q\n\n[places.regions.home]\ndelay = \"500us\"\nremote_delay = \"10ms\"\n", s.Deployment)
	for _, d := range s.Domains {
		_, _ = fmt.Fprintf(&b, "\n[places.domains.%s]\nregion = \"home\"\n", d)
		if slices.Contains(out, d) {
			b.WriteString("out_of_service = true\n")
		}
	}
	for _, g := range s.Groups {
		_, _ = fmt.Fprintf(&b, "\n[services.%s]\nslots = %d\ncold_limit = %d\nwarm_time = %q\nconnections = 260\nprobes_per_second = %.1f\n"+
			"retry_ratio = 0.1\nretry_floor = 5.0\nhedge_ratio = %s\ntimeout = \"2s\"\n",
			g.Service, s.Slots, s.ColdLimit, s.WarmTime, probesPerSecond, s.HedgeRatio)
		if s.ColdRate > 0 {
			_, _ = fmt.Fprintf(&b, "cold_rate = %.1f\n", s.ColdRate)
		}
	}
	for _, r := range s.Rules {
		if slices.ContainsFunc(s.Groups, func(g Group) bool { return g.Service == r.Service }) {
			_, _ = fmt.Fprintf(&b, "\n[[rules]]\nmethod = %q\npath = %q\nservice = %q\nrepeatable = %t\n",
				r.Method, r.Path, r.Service, r.Repeatable)
		}
	}
	return []byte(b.String())
}

// Member is one instance of a fleet: a fake backend server and its node.
type Member struct {
	name    string
	service string
	domain  string
	backend *fakes.Backend
	node    *node.Node
	stop    context.CancelFunc
}

// Name returns the name of the instance.
func (m *Member) Name() string { return m.name }

// Service returns the service of the instance.
func (m *Member) Service() string { return m.service }

// Domain returns the failure domain of the instance.
func (m *Member) Domain() string { return m.domain }

// Backend returns the fake backend server of the instance.
func (m *Member) Backend() *fakes.Backend { return m.backend }

// Node returns the node of the instance.
func (m *Member) Node() *node.Node { return m.node }

// Fleet is a fleet whose nodes, backend servers and platform all run in this process.
type Fleet struct {
	shape    Shape
	platform *fakes.Platform
	members  []*Member
	group    conc.WaitGroup
	stop     context.CancelFunc

	mu     sync.Mutex
	errors []error
}

// Start starts a fleet and waits until each node has a configuration and considers each instance eligible for calls.
func Start(ctx context.Context, shape Shape, logger *zap.Logger, opts ...node.Option) (*Fleet, error) {
	platform, err := fakes.NewPlatform("127.0.0.1:0", listAge)
	if err != nil {
		return nil, fmt.Errorf("start the platform: %w", err)
	}
	running, stop := context.WithCancel(ctx)
	f := &Fleet{shape: shape, platform: platform, stop: stop}
	platform.Publish(shape.Document())
	f.run(func() error { return platform.Serve(running) })
	opts = append([]node.Option{node.WithLogger(logger)}, opts...)
	var entries []fakes.Entry
	for _, g := range shape.Groups {
		for i := range g.Count {
			m, err := f.startMember(running, g.Service, i, opts)
			if err != nil {
				return nil, errors.Join(err, f.Stop())
			}
			entries = append(entries, fakes.Entry{
				Instance: m.name, Service: m.service, Domain: m.domain, Address: m.node.RPCAddress(), State: "live",
			})
		}
	}
	platform.List(entries)
	if err := f.waitReady(ctx, 10*time.Second); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// startMember starts the backend server and the node of one instance and adds it to the fleet.
func (f *Fleet) startMember(ctx context.Context, service string, index int, opts []node.Option) (*Member, error) {
	shape := f.shape
	name := fmt.Sprintf("%s-%d", service, index+1)
	httpAddress, err := fakes.NewAddress()
	if err != nil {
		return nil, fmt.Errorf("allocate an HTTP address: %w", err)
	}
	rpcAddress, err := fakes.NewAddress()
	if err != nil {
		return nil, fmt.Errorf("allocate an RPC address: %w", err)
	}
	backendOptions := []fakes.BackendOption{
		fakes.WithSlots(shape.Slots, shape.ColdLimit, shape.WarmTime),
		fakes.WithControl(fakes.Control{ServiceTime: shape.ServiceTime, Factor: 1, Fixed: shape.Fixed}),
		fakes.WithNode(httpAddress),
	}
	if shape.Warm {
		backendOptions = append(backendOptions, fakes.WithWarm())
	}
	backend, err := fakes.NewBackend(name, "127.0.0.1:0", backendOptions...)
	if err != nil {
		return nil, fmt.Errorf("start the backend server of %s: %w", name, err)
	}
	m := &Member{name: name, service: service, domain: shape.Domains[index%len(shape.Domains)], backend: backend}
	m.node, err = node.New(schema.Settings_builder{
		Instance:       name,
		Service:        service,
		Domain:         m.domain,
		HttpAddress:    httpAddress,
		RpcAddress:     rpcAddress,
		StatusAddress:  "127.0.0.1:0",
		BackendAddress: backend.Address(),
		PlatformUrl:    f.platform.URL(),
		DrainTimeout:   durationpb.New(5 * time.Second),
	}.Build(), opts...)
	if err != nil {
		return nil, fmt.Errorf("start the node of %s: %w", name, err)
	}
	f.members = append(f.members, m)
	running, stop := context.WithCancel(ctx)
	m.stop = stop
	f.run(func() error { return backend.Serve(ctx) })
	f.run(func() error { return m.node.Run(running) })
	return m, nil
}

// run runs a component in the background and records its error for Stop.
func (f *Fleet) run(component func() error) {
	f.group.Go(func() {
		if err := component(); err != nil && !errors.Is(err, context.Canceled) {
			f.mu.Lock()
			f.errors = append(f.errors, err)
			f.mu.Unlock()
		}
	})
}

// ReadyError reports that an instance did not become ready, or did not apply a revision, in time.
type ReadyError struct {
	instance string
	missing  string
}

// Error implements error.
func (e *ReadyError) Error() string {
	return "instance " + e.instance + " is not ready: " + e.missing
}

// waitReady waits until checkReady succeeds and returns its last error after the limit.
func (f *Fleet) waitReady(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		err := f.checkReady()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the fleet: %w", ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// checkReady returns an error unless each node has a configuration and considers each instance eligible for calls.
func (f *Fleet) checkReady() error {
	for _, m := range f.members {
		snapshot := m.node.Exchange().Snapshot()
		if snapshot == nil {
			return &ReadyError{instance: m.name, missing: "no configuration"}
		}
		for _, other := range f.members {
			if known := snapshot.Instance(other.name); known == nil || !known.Eligible() {
				return &ReadyError{instance: m.name, missing: "does not know " + other.name}
			}
		}
	}
	return nil
}

// Platform returns the fake platform.
func (f *Fleet) Platform() *fakes.Platform { return f.platform }

// Members returns all instances.
func (f *Fleet) Members() []*Member { return f.members }

// Service returns the instances of a service.
func (f *Fleet) Service(name string) []*Member {
	var list []*Member
	for _, m := range f.members {
		if m.service == name {
			list = append(list, m)
		}
	}
	return list
}

// Targets returns the HTTP addresses of all nodes.
func (f *Fleet) Targets() []string {
	var targets []string
	for _, m := range f.members {
		targets = append(targets, m.node.HTTPAddress())
	}
	return targets
}

// BackendTargets returns the addresses of all backend servers.
func (f *Fleet) BackendTargets() []string {
	var targets []string
	for _, m := range f.members {
		targets = append(targets, m.backend.Address())
	}
	return targets
}

// SetOutOfService publishes a document in which exactly the given failure domains are out of service, and returns its
// revision. Without arguments it returns all domains to service.
func (f *Fleet) SetOutOfService(domains ...string) uint64 {
	return f.platform.Publish(f.shape.Document(domains...))
}

// WaitRevision waits until each node has applied the revision or a later one, and returns the time that it waited.
func (f *Fleet) WaitRevision(revision uint64, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		behind := f.lagging(revision)
		if behind == "" {
			return time.Since(start), nil
		}
		if time.Since(start) > limit {
			return 0, &ReadyError{instance: behind, missing: fmt.Sprintf("revision %d is not in force", revision)}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lagging returns the name of an instance whose node has not yet applied the revision, or "" if there is none.
func (f *Fleet) lagging(revision uint64) string {
	for _, m := range f.members {
		if s := m.node.Exchange().Snapshot(); s == nil || s.Revision() < revision {
			return m.name
		}
	}
	return ""
}

// Stop shuts down the nodes gracefully, then the backend servers and the platform, and returns the errors of all
// components.
func (f *Fleet) Stop() error {
	for _, m := range f.members {
		if m.stop != nil {
			m.stop()
		}
	}
	for _, m := range f.members {
		if m.stop != nil {
			<-m.node.Done()
		}
	}
	f.stop()
	f.group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errors...)
}

// Stats combines the statistics of the backend servers of a service, or of all servers if service is "". Counts are added;
// ColdExcess and MaxInFlight are the maximum over the servers. ColdBegun and LastRun are not set.
func (f *Fleet) Stats(service string) fakes.Stats {
	var total fakes.Stats
	for _, m := range f.members {
		if service != "" && m.service != service {
			continue
		}
		s := m.backend.Stats()
		total.Runs += s.Runs
		total.Duplicates += s.Duplicates
		total.Completed += s.Completed
		total.Cancelled += s.Cancelled
		total.Shed += s.Shed
		total.Crashes += s.Crashes
		total.Probes += s.Probes
		total.Overloads += s.Overloads
		total.ColdExcess = max(total.ColdExcess, s.ColdExcess)
		total.MaxInFlight = max(total.MaxInFlight, s.MaxInFlight)
	}
	return total
}

// Runs returns how often the backend servers ran the request with the given ID, in total.
func (f *Fleet) Runs(id string) int {
	runs := 0
	for _, m := range f.members {
		runs += m.backend.Runs(id)
	}
	return runs
}

// Load returns the load report of the instance's guard.
func (m *Member) Load() core.LoadReport { return m.node.Guard().Load() }
