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
	// inForceLimit is the promised time from a change of configuration to its effect on new work.
	inForceLimit = 3 * time.Second
)

// KitamiClasses is the mix of calls of the Kitami deployment.
func KitamiClasses() []load.Class {
	return []load.Class{
		{Name: "sheets", Method: "GET", Path: "/sheets/1", Weight: 6, Repeatable: true},
		{Name: "slots", Method: "GET", Path: "/slots/1", Weight: 2, Repeatable: true},
		{Name: "deposits", Method: "POST", Path: "/deposits/1", Weight: 1, BodySize: 256},
		{Name: "orders", Method: "POST", Path: "/orders/1", Weight: 1, BodySize: 256},
	}
}

// PromiseError lists the promises that a run broke.
type PromiseError struct {
	broken []string
}

// Error implements error.
func (e *PromiseError) Error() string {
	return fmt.Sprintf("%d promises broken: %v", len(e.broken), e.broken)
}

// journal collects the calls of a run for the checks after it.
type journal struct {
	mu    sync.Mutex
	calls []load.Call
}

func (j *journal) add(call load.Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, call)
}

// Demo runs a fleet in the Kitami shape under load, takes a failure domain out of service and back, turns one server
// cold, writes a table and returns a *PromiseError if a promise was broken.
func Demo(ctx context.Context, w stdio.Writer, logger *zap.Logger) error {
	shape := Kitami()
	say := func(format string, arguments ...any) { _, _ = fmt.Fprintf(w, format+"\n", arguments...) }
	say("starting 14 nodes with stand-ins on loopback: %s", shape.Deployment)
	start := time.Now()
	fleet, err := Start(ctx, shape, logger)
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	records := &journal{}
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
			OnCall:   records.add,
		})
	})
	broken := demoEvents(fleet, say)
	group.Wait()
	if runErr != nil {
		return fmt.Errorf("generate load: %w", runErr)
	}
	if err := fleet.Stop(); err != nil {
		return fmt.Errorf("stop the fleet: %w", err)
	}
	say("")
	if err := summary.WriteTable(w); err != nil {
		return fmt.Errorf("write the outcomes: %w", err)
	}
	broken = append(broken, CheckPromises(fleet, records.calls)...)
	broken = append(broken, checkService(summary)...)
	broken = append(broken, checkServers(fleet, time.Since(start))...)
	if len(broken) > 0 {
		return &PromiseError{broken: broken}
	}
	say("\nall checked promises held: own whole answers, not-run never ran, at most once, no new work in the")
	say("failure domain out of service, cold starts within their capacity, probes within their budget,")
	say("configuration in force within 4 s")
	return nil
}

// demoEvents takes a failure domain out and back and turns a server cold.
func demoEvents(fleet *Fleet, say func(string, ...any)) []string {
	var broken []string
	const domain = "asahikawa"
	time.Sleep(3 * time.Second)
	revision := fleet.TakeOut(domain)
	changed := time.Now()
	took, err := fleet.WaitRevision(revision, 4*time.Second)
	if err != nil {
		broken = append(broken, fmt.Sprintf("configuration in force within 4 s: %v", err))
	}
	say("failure domain %s out of service: in force on every node after %d ms", domain, took.Milliseconds())
	time.Sleep(time.Until(changed.Add(inForceLimit + 500*time.Millisecond)))
	for _, m := range fleet.Members() {
		last := time.UnixMilli(m.Backend().Stats().LastRun)
		if m.Domain() == domain && last.After(changed.Add(inForceLimit)) {
			broken = append(broken, fmt.Sprintf("no new work in a failure domain out of service: %s ran a call %v after the change",
				m.Name(), last.Sub(changed)))
		}
	}
	took, err = fleet.WaitRevision(fleet.TakeOut(), 4*time.Second)
	if err != nil {
		broken = append(broken, fmt.Sprintf("configuration in force within 4 s: %v", err))
	}
	say("failure domain %s back in service: in force on every node after %d ms", domain, took.Milliseconds())
	time.Sleep(time.Second)
	cold := victim(fleet)
	cold.Backend().Cold()
	say("backend server of %s turned cold without notice", cold.Name())
	return broken
}

// CheckPromises compares the calls of a run with the runs that the backend servers counted.
func CheckPromises(fleet *Fleet, calls []load.Call) []string {
	var broken []string
	once := map[string]bool{"deposits": true, "orders": true}
	for _, c := range calls {
		runs := fleet.RunsOf(c.ID)
		switch {
		case c.Outcome == load.OutcomeWrongAnswer:
			broken = append(broken, fmt.Sprintf("own whole answer: call %s got another answer", c.ID))
		case once[c.Class] && runs > 1:
			broken = append(broken, fmt.Sprintf("at most once: call %s ran %d times", c.ID, runs))
		case c.Outcome == load.OutcomeNotRun && runs > 0 && (once[c.Class] || c.Resends == 0):
			broken = append(broken, fmt.Sprintf("not run means not run: call %s ran %d times (%s)", c.ID, runs, c.Reason))
		case c.Outcome == load.OutcomeAnswered && runs == 0:
			broken = append(broken, fmt.Sprintf("own whole answer: call %s was answered and never ran", c.ID))
		}
	}
	return broken
}

// checkServers reports servers that got more than they could handle in cold start, and probes beyond the budget. The server that
// turned cold without notice had calls in flight at that moment, so its cold start is not checked.
func checkServers(fleet *Fleet, elapsed time.Duration) []string {
	var broken []string
	for _, m := range fleet.Members() {
		stats := m.Backend().Stats()
		if stats.ColdExcess > 0 && m != victim(fleet) {
			broken = append(broken, fmt.Sprintf("cold start: %s had %d calls more than it could handle", m.Name(), stats.ColdExcess))
		}
		if budget := probesPerSecond*elapsed.Seconds() + 1; float64(stats.Probes) > budget {
			broken = append(broken, fmt.Sprintf("budget for measuring: %s was probed %d times in %v", m.Name(), stats.Probes, elapsed))
		}
	}
	return broken
}

// checkService reports calls that were lost although the fleet had room for them.
func checkService(summary *load.Summary) []string {
	var broken []string
	if n := summary.Count(load.OutcomeError); n > 0 {
		broken = append(broken, fmt.Sprintf("every caller gets an outcome: %d calls ended in a transport error", n))
	}
	if answered, total := summary.Count(load.OutcomeAnswered), summary.Total(); answered*100 < total*99 {
		broken = append(broken, fmt.Sprintf("service: only %d of %d calls were answered", answered, total))
	}
	return broken
}
