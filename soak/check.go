package soak

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"verbenareel/fakes"
	"verbenareel/load"
	"verbenareel/node"
)

// coldRate is the cold_rate of the document: the number of calls per second that a cold backend server can handle.
const coldRate = 25

// maxListedCalls limits the example calls listed for each violation.
const maxListedCalls = 5

// callerFaults are the reasons with which a node ends a call for good, because of a fault of its caller. The calls of a run have none.
var callerFaults = []string{"no-rule", "malformed", "too-large", "depth", "unknown-key"}

// executions returns how often each call was executed, by call ID, summed over all backend servers.
func (r *run) executions() (map[string]int, error) {
	total := make(map[string]int)
	for _, i := range r.fleet.instances {
		var counts map[string]int
		if err := r.fleet.fetch(i.backend, "/fake/runs", &counts); err != nil {
			return nil, err
		}
		for id, n := range counts {
			total[id] += n
		}
	}
	return total, nil
}

// violation describes the guarantee that a call violated, given how often it was executed, or "" if it violated none. A
// non-repeatable call is executed at most once, not at all if its caller was told "not run", and at least once if it was
// answered. An answer always belongs to its own call, and no call is refused as a fault of its caller.
func violation(c load.Call, runs int) string {
	once := c.Class == "order" || c.Class == "deposit"
	switch {
	case c.Outcome == load.OutcomeNotRun && slices.Contains(callerFaults, c.Reason):
		return "a call within the rules and limits of the document was refused as a fault of its caller"
	case c.Outcome == load.OutcomeWrongAnswer:
		return "an answer belonged to another call"
	case once && runs > 1:
		return "a non-repeatable call was executed more than once"
	case once && c.Outcome == load.OutcomeNotRun && runs > 0:
		return "a call reported as not run was executed"
	case once && c.Outcome == load.OutcomeAnswered && c.Reason == "" && runs == 0:
		return "a call was answered but never executed"
	}
	return ""
}

// checkCalls returns a description of each guarantee that calls violated, with up to maxListedCalls example calls for each.
func checkCalls(calls []load.Call, executions map[string]int) []string {
	callsByViolation := make(map[string][]string)
	for _, c := range calls {
		if description := violation(c, executions[c.ID]); description != "" {
			callsByViolation[description] = append(callsByViolation[description], c.ID)
		}
	}
	var violations []string
	for description, ids := range callsByViolation {
		violations = append(violations, fmt.Sprintf("%s: %d calls, for example %v", description, len(ids), ids[:min(len(ids), maxListedCalls)]))
	}
	slices.Sort(violations)
	return violations
}

// checkFaultFreeCalls returns a violation for each call that was not answered, up to maxListedCalls. It is given the calls
// made after all faults have ended, when every call has to succeed.
func checkFaultFreeCalls(calls []load.Call) []string {
	var violations []string
	for _, c := range calls {
		if c.Outcome != load.OutcomeAnswered || c.Reason != "" {
			violations = append(violations, fmt.Sprintf("call %s (%s) after the end of all faults was not answered: %s %s", c.ID, c.Class, c.Outcome, c.Reason))
		}
	}
	return violations[:min(len(violations), maxListedCalls)]
}

// checkOutOfService takes a failure domain out of service under load and returns it to service. Each node has to apply the
// document within applyTimeout, and after outOfServiceTimeout the domain's backend servers must not start any call.
func (r *run) checkOutOfService() error {
	domain := r.fleet.instances[0].entry.Domain
	published := time.Now()
	revision := r.fleet.platform.Publish(r.fleet.document(domain))
	applied := func() bool {
		for _, i := range r.fleet.instances {
			var report node.Report
			if r.fleet.fetch(i.status, "/status", &report) != nil || report.Revision < revision {
				return false
			}
		}
		return true
	}
	err := r.fleet.waitFor(applyTimeout, "all nodes apply the new document", applied)
	time.Sleep(time.Until(published.Add(outOfServiceTimeout)))
	before, countErr := r.runsInDomain(domain)
	err = errors.Join(err, countErr)
	time.Sleep(time.Second)
	after, countErr := r.runsInDomain(domain)
	err = errors.Join(err, countErr)
	if after > before {
		err = errors.Join(err, fmt.Errorf("backend servers of failure domain %s started %d calls more than %v after it was taken out of service", domain, after-before, outOfServiceTimeout))
	}
	r.fleet.platform.Publish(r.fleet.document())
	return errors.Join(err, r.fleet.waitFor(recoveryTimeout, "the failure domain is back in service", r.fleet.ready))
}

// delayingFaults are the kinds of faults that make a backend server start calls later than its node sent them.
var delayingFaults = []string{"pause server", "silence server", "delay server"}

// checkCold returns an error for each backend server that started more than coldRate calls within one second while it was
// cold. Servers with delayingFaults are skipped: calls that were sent in two different seconds may arrive at them at once.
func (r *run) checkCold(faults []fault) error {
	delayed := make(map[*instance]bool)
	for _, f := range faults {
		if slices.Contains(delayingFaults, f.kind) {
			delayed[f.target] = true
		}
	}
	var failures []error
	for _, i := range r.fleet.instances {
		var stats fakes.Stats
		if delayed[i] {
			continue
		}
		if err := r.fleet.fetch(i.backend, "/fake/stats", &stats); err != nil {
			failures = append(failures, err)
		}
		if stats.ColdBegun > coldRate {
			failures = append(failures, fmt.Errorf("backend server of %s started %d calls within a second while it was cold, more than the limit of %d", i.entry.Instance, stats.ColdBegun, coldRate))
		}
	}
	return errors.Join(failures...)
}

// runsInDomain returns the number of calls that the backend servers of a failure domain have started.
func (r *run) runsInDomain(domain string) (int, error) {
	total := 0
	for _, i := range r.fleet.instances {
		if i.entry.Domain != domain {
			continue
		}
		var stats fakes.Stats
		if err := r.fleet.fetch(i.backend, "/fake/stats", &stats); err != nil {
			return 0, err
		}
		total += stats.Runs
	}
	return total, nil
}

// formatOutcomes returns the number of calls by outcome as a line of the report.
func formatOutcomes(calls []load.Call) string {
	counts := make(map[string]int)
	for _, c := range calls {
		counts[c.Outcome]++
	}
	return fmt.Sprintf("%d calls: %v", len(calls), counts)
}
