package trial

import (
	"context"
	"fmt"
	stdio "io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/load"
)

const (
	demoRate     = 600
	demoDuration = 14 * time.Second
	// inForceLimit is the guaranteed time from a configuration change until new calls follow it.
	inForceLimit = 3 * time.Second
)

// KitamiClasses returns the mix of calls of the Kitami deployment.
func KitamiClasses() []load.Class {
	return []load.Class{
		{Name: "sheets", Method: "GET", Path: "/sheets/1", Weight: 6, Repeatable: true},
		{Name: "slots", Method: "GET", Path: "/slots/1", Weight: 2, Repeatable: true},
		{Name: "deposits", Method: "POST", Path: "/deposits/1", Weight: 1, BodySize: 256},
		{Name: "orders", Method: "POST", Path: "/orders/1", Weight: 1, BodySize: 256},
	}
}

// ViolationError lists the guarantees that were violated during a run.
type ViolationError struct {
	violations []string
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d guarantees violated: %v", len(e.violations), e.violations)
}

// recorder collects the calls of a run, which are checked after the run.
type recorder struct {
	mu    sync.Mutex
	calls []load.Call
}

func (r *recorder) add(call load.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

// Demo runs a fleet with the Kitami shape under load, takes a failure domain out of service and returns it, and makes one
// backend server cold. It writes a table of the outcomes to w and returns a *ViolationError if a guarantee was violated.
func Demo(ctx context.Context, w stdio.Writer, logger *zap.Logger) error {
	shape := Kitami()
	printf := func(format string, arguments ...any) { _, _ = fmt.Fprintf(w, format+"\n", arguments...) }
	printf("starting 14 nodes with fake backend servers on loopback: %s", shape.Deployment)
	start := time.Now()
	fleet, err := Start(ctx, shape, logger)
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	recorded := &recorder{}
	var summary *load.Summary
	var runErr error
	var group conc.WaitGroup
	group.Go(func() {
		summary, runErr = load.Run(ctx, load.Plan{
			Targets:  fleet.Targets(),
			Classes:  KitamiClasses(),
			Rate:     demoRate,
			Duration: demoDuration,
			Timeout:  2 * time.Second,
			Resends:  3,
			OnCall:   recorded.add,
		})
	})
	violations := runDemoEvents(fleet, printf)
	group.Wait()
	if runErr != nil {
		return fmt.Errorf("generate load: %w", runErr)
	}
	if err := fleet.Stop(); err != nil {
		return fmt.Errorf("stop the fleet: %w", err)
	}
	printf("")
	if err := summary.WriteTable(w); err != nil {
		return fmt.Errorf("write the table of outcomes: %w", err)
	}
	violations = append(violations, CheckGuarantees(fleet, recorded.calls)...)
	violations = append(violations, checkAnswered(summary)...)
	violations = append(violations, checkBackends(fleet, time.Since(start))...)
	if len(violations) > 0 {
		return &ViolationError{violations: violations}
	}
	printf("\nall checked guarantees held: each answer complete and from its own call, not-run calls never run, orders")
	printf("run at most once, no new calls in the failure domain out of service, cold starts within capacity,")
	printf("probes within budget, configuration in force within 4 s")
	return nil
}

// runDemoEvents takes a failure domain out of service, returns it to service, and then makes a backend server cold. It
// returns the guarantees that were violated.
func runDemoEvents(fleet *Fleet, printf func(string, ...any)) []string {
	var violations []string
	const domain = "asahikawa"
	time.Sleep(3 * time.Second)
	revision := fleet.SetOutOfService(domain)
	changed := time.Now()
	elapsed, err := fleet.WaitRevision(revision, 4*time.Second)
	if err != nil {
		violations = append(violations, fmt.Sprintf("configuration in force within 4 s: %v", err))
	}
	printf("failure domain %s out of service: in force on every node after %d ms", domain, elapsed.Milliseconds())
	time.Sleep(time.Until(changed.Add(inForceLimit + 500*time.Millisecond)))
	for _, m := range fleet.Members() {
		last := time.UnixMilli(m.Backend().Stats().LastRun)
		if m.Domain() == domain && last.After(changed.Add(inForceLimit)) {
			violations = append(violations, fmt.Sprintf("no new calls in a failure domain out of service: %s started a call %v after the change",
				m.Name(), last.Sub(changed)))
		}
	}
	elapsed, err = fleet.WaitRevision(fleet.SetOutOfService(), 4*time.Second)
	if err != nil {
		violations = append(violations, fmt.Sprintf("configuration in force within 4 s: %v", err))
	}
	printf("failure domain %s back in service: in force on every node after %d ms", domain, elapsed.Milliseconds())
	time.Sleep(time.Second)
	cold := faultTarget(fleet)
	cold.Backend().Cold()
	printf("backend server of %s became cold without notice", cold.Name())
	return violations
}

// CheckGuarantees compares the outcomes of the calls with how often the backend servers ran each of them, and returns the
// guarantees that were violated.
func CheckGuarantees(fleet *Fleet, calls []load.Call) []string {
	var violations []string
	nonRepeatable := map[string]bool{"deposits": true, "orders": true}
	for _, c := range calls {
		runs := fleet.Runs(c.ID)
		switch {
		case c.Outcome == load.OutcomeWrongAnswer:
			violations = append(violations, fmt.Sprintf("own complete answer: call %s got an answer that is incomplete or belongs to another call", c.ID))
		case nonRepeatable[c.Class] && runs > 1:
			violations = append(violations, fmt.Sprintf("at most once: call %s ran %d times", c.ID, runs))
		case c.Outcome == load.OutcomeNotRun && runs > 0 && (nonRepeatable[c.Class] || c.Resends == 0):
			violations = append(violations, fmt.Sprintf("not-run calls never run: call %s ran %d times (%s)", c.ID, runs, c.Reason))
		case c.Outcome == load.OutcomeAnswered && runs == 0:
			violations = append(violations, fmt.Sprintf("own complete answer: call %s was answered but never ran", c.ID))
		}
	}
	return violations
}

// checkBackends returns violations for backend servers that got more concurrent calls during a cold start than they could
// handle, and for those that were probed more often than the probe budget allows. The cold start of the server that becomes
// cold without notice is not checked, since it has calls in flight at that moment.
func checkBackends(fleet *Fleet, elapsed time.Duration) []string {
	var violations []string
	for _, m := range fleet.Members() {
		stats := m.Backend().Stats()
		if stats.ColdExcess > 0 && m != faultTarget(fleet) {
			violations = append(violations, fmt.Sprintf("cold start: %s had %d more calls in flight than it could handle", m.Name(), stats.ColdExcess))
		}
		if budget := probesPerSecond*elapsed.Seconds() + 1; float64(stats.Probes) > budget {
			violations = append(violations, fmt.Sprintf("probe budget: %s was probed %d times in %v", m.Name(), stats.Probes, elapsed))
		}
	}
	return violations
}

// checkAnswered returns violations for transport errors, and if fewer than 99% of the calls were answered although the
// fleet had capacity for all of them.
func checkAnswered(summary *load.Summary) []string {
	var violations []string
	if n := summary.Count(load.OutcomeError); n > 0 {
		violations = append(violations, fmt.Sprintf("every caller gets an outcome: %d calls ended in a transport error", n))
	}
	if answered, total := summary.Count(load.OutcomeAnswered), summary.Total(); answered*100 < total*99 {
		violations = append(violations, fmt.Sprintf("availability: only %d of %d calls were answered", answered, total))
	}
	return violations
}
