package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"verbenareel/fakes"
	"verbenareel/load"
)

const (
	// callRate is the load in calls per second. callTimeout limits each attempt of a call.
	callRate    = 150
	callTimeout = 2 * time.Second
	callResends = 3
	// recoveryTimeout limits the time from the last fault until all nodes have applied the latest document and consider
	// every instance serving or cold.
	recoveryTimeout = 15 * time.Second
	// applyTimeout limits the time until all nodes have applied a changed document. outOfServiceTimeout is the time after
	// which a failure domain that was taken out of service must not get new calls.
	applyTimeout        = 4 * time.Second
	outOfServiceTimeout = 3 * time.Second
	// faultFreeDuration is the duration of the load after all faults have ended, of which each call has to be answered.
	faultFreeDuration = 2 * time.Second
)

// Options configures a run.
type Options struct {
	// Binary is the path of the verbenareel program.
	Binary string
	// Seed determines the faults and their times.
	Seed uint64
	// FaultDuration is the period at the beginning of the run in which faults start.
	FaultDuration time.Duration
	// LargeDocuments makes the links of nodes to each other and to the platform thin, and pads documents up to what the platform
	// stores.
	LargeDocuments bool
	// Instances is the number of nodes, each with a backend server. They are divided among three services, each of which
	// gets at least one.
	Instances int
}

// run is a run in progress.
type run struct {
	fleet  *fleet
	events conc.WaitGroup

	mu sync.Mutex
	// outOfService holds the failure domains that the published document takes out of service. A domain that several
	// overlapping faults take out is listed once for each.
	outOfService []string
	calls        []load.Call
}

// Run performs one run and returns the violated guarantees, or an error if the run could not be completed. It writes the
// faults and the outcomes of the calls to w, and keeps the process log if the run failed.
func Run(ctx context.Context, options Options, w io.Writer) ([]string, error) {
	f, err := newFleet(options)
	if err != nil {
		return nil, fmt.Errorf("start the fleet: %w", err)
	}
	r := &run{fleet: f}
	violations, err := r.run(ctx, w)
	f.close()
	if err != nil || len(violations) > 0 {
		_, _ = fmt.Fprintf(w, "process log: %s\n", filepath.Join(f.dir, "log"))
		return violations, err
	}
	if err := os.RemoveAll(f.dir); err != nil {
		return nil, fmt.Errorf("remove the directory of the run: %w", err)
	}
	return nil, nil
}

func (r *run) run(ctx context.Context, w io.Writer) ([]string, error) {
	faults := generateFaults(rand.New(rand.NewPCG(r.fleet.options.Seed, 1)), r.fleet.instances, r.fleet.options.FaultDuration)
	for _, f := range faults {
		_, _ = fmt.Fprintln(w, f)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan error, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { loadDone <- r.load(loadCtx, time.Hour) })
	var violations []string
	record := func(err error) {
		if err != nil {
			violations = append(violations, err.Error())
		}
	}
	record(r.injectFaults(faults))
	record(r.clearFaults())
	record(r.fleet.waitFor(recoveryTimeout, "all nodes have the latest document and consider every instance serving or cold", r.fleet.ready))
	record(r.checkOutOfService())
	stopLoad()
	if err := <-loadDone; err != nil {
		return violations, err
	}
	duringFaults := len(r.calls)
	if err := r.load(ctx, faultFreeDuration); err != nil {
		return violations, err
	}
	violations = append(violations, checkFaultFreeCalls(r.calls[duringFaults:])...)
	executions, err := r.executions()
	if err != nil {
		return violations, err
	}
	violations = append(violations, checkCalls(r.calls, executions)...)
	record(r.checkCold(faults))
	_, _ = fmt.Fprintln(w, formatOutcomes(r.calls))
	return violations, nil
}

// load sends calls to all nodes and records the outcome of each.
func (r *run) load(ctx context.Context, length time.Duration) error {
	plan := load.Plan{
		Rate: callRate, Duration: length, Timeout: callTimeout, Resends: callResends,
		Classes: []load.Class{
			{Name: "lookup", Method: "GET", Path: "/sheets/1", Weight: 2, Repeatable: true, Distinct: true},
			{Name: "nested lookup", Method: "GET", Path: "/slots/1", Weight: 1, Repeatable: true, Nested: 1, Distinct: true},
			{Name: "order", Method: "POST", Path: "/orders/1", Weight: 2, BodySize: 64, Distinct: true},
			{Name: "deposit", Method: "POST", Path: "/deposits/1", Weight: 1, BodySize: 64, Distinct: true},
		},
		OnCall: func(c load.Call) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.calls = append(r.calls, c)
		},
	}
	for _, i := range r.fleet.instances {
		plan.Targets = append(plan.Targets, i.http)
	}
	if _, err := load.Run(ctx, plan); err != nil {
		return fmt.Errorf("generate load: %w", err)
	}
	return nil
}

// clearFaults removes the effects that faults may have left behind, since a fault may end while another one of the same
// kind is still active.
func (r *run) clearFaults() error {
	r.fleet.platform.SetMode(fakes.ModeUp)
	r.mu.Lock()
	r.outOfService = nil
	r.mu.Unlock()
	var failures []error
	for _, i := range r.fleet.instances {
		for _, link := range []*fakes.Forwarder{i.peerLink, i.serverLink, i.platformLink} {
			link.Resume()
			link.SetDelay(0)
		}
		node, server := i.processes()
		server.signal(syscall.SIGCONT)
		node.signal(syscall.SIGCONT)
		select {
		case <-node.exited:
			failures = append(failures, r.fleet.startNode(i, node))
		default:
		}
	}
	failures = append(failures, r.publish(nil))
	return errors.Join(failures...)
}
