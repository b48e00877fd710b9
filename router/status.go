package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
)

// InstanceStatus describes one instance as seen by this router, for status pages.
type InstanceStatus struct {
	Instance string
	Service  string
	Domain   string
	// State is the state in the current snapshot.
	State string
	// Report is the last load report, and Age the time since it arrived. Age is negative if there is none.
	Report core.LoadReport
	Age    time.Duration
	// InFlight counts the unanswered calls of this router, and OldestWait is how long the oldest has been waiting.
	InFlight   int
	OldestWait time.Duration
	// FailureRate is the share of recent calls of this router that failed.
	FailureRate float64
	// Delay is the network round trip, Latency the expected latency of the next call, and SpareConcurrency the
	// estimated number of free slots.
	Delay            time.Duration
	Latency          time.Duration
	SpareConcurrency float64
	// IneligibleReason explains why the instance gets no work; it is empty if it gets some.
	IneligibleReason string
}

// InstanceStatuses returns the status of all known instances, sorted by instance name.
func (r *Router) InstanceStatuses() []InstanceStatus {
	now := r.clock.Now()
	t := r.current(now)
	var views []InstanceStatus
	for _, g := range t.groups {
		for _, v := range g.views {
			views = append(views, t.view(now, v))
		}
	}
	slices.SortFunc(views, func(a, b InstanceStatus) int { return strings.Compare(a.Instance, b.Instance) })
	return views
}

func (t *table) view(now time.Time, v *picker.View) InstanceStatus {
	instance := v.Instance()
	report, received := v.Load()
	estimate := picker.Estimate(now, v)
	s := InstanceStatus{
		Instance:         instance.Name(),
		Service:          instance.Service(),
		Domain:           instance.Domain(),
		State:            core.StateName(instance.State()),
		Report:           report,
		Age:              -1,
		InFlight:         v.InFlight(),
		OldestWait:       v.Oldest(now),
		FailureRate:      v.FailureRate(now),
		Delay:            v.Delay(),
		Latency:          estimate.Latency,
		SpareConcurrency: estimate.SpareConcurrency,
		IneligibleReason: t.ineligibleReason(now, v),
	}
	if !received.IsZero() {
		s.Age = now.Sub(received)
	}
	return s
}

// ineligibleReason explains why the instance gets no work; it returns an empty string if it gets some.
func (t *table) ineligibleReason(now time.Time, v *picker.View) string {
	instance := v.Instance()
	if core.OutOfService(t.snapshot.Document(), instance.Name(), instance.Domain()) {
		return fmt.Sprintf("the instance or its failure domain %q is out of service by revision %d of the document",
			instance.Domain(), t.snapshot.Revision())
	}
	if !instance.Eligible() {
		return fmt.Sprintf("its state is %s according to the platform's list or the node itself", core.StateName(instance.State()))
	}
	if !v.Eligible(now, t.snapshot.Revision()) {
		report, received := v.Load()
		return fmt.Sprintf("its guard reported %s %v ago", core.StateName(report.State), now.Sub(received))
	}
	if v.InBackoff(now) {
		return "its node is unreachable; the next attempt follows after a short backoff"
	}
	return ""
}

// Explain explains why an instance gets no work, or how it ranks among the instances of its service if it gets some.
func (r *Router) Explain(instance string) string {
	now := r.clock.Now()
	t := r.current(now)
	if t.snapshot == nil {
		return "no configuration has been accepted yet"
	}
	known := t.snapshot.Instance(instance)
	if known == nil {
		return fmt.Sprintf("instance %q is neither in the platform's list nor known from other nodes", instance)
	}
	g := t.groups[known.Service()]
	if g == nil {
		return fmt.Sprintf("service %q of the instance is not in the document", known.Service())
	}
	i := slices.IndexFunc(g.views, func(v *picker.View) bool { return v.Instance().Name() == instance })
	if i < 0 {
		return "the instance was removed while this request was handled"
	}
	v := g.views[i]
	if refusal := t.ineligibleReason(now, v); refusal != "" {
		return "no work: " + refusal
	}
	return g.describeRank(now, v)
}

// describeReport formats the parts of the last load report that Explain shows after the ranking.
func describeReport(now time.Time, v *picker.View) string {
	load, received := v.Load()
	if received.IsZero() {
		return "; no load report received yet"
	}
	text := fmt.Sprintf("; report %v old", now.Sub(received).Round(time.Millisecond))
	if load.Pace > 0 {
		text += fmt.Sprintf(", pace %.1f (minimum of the last second %.1f)", load.Pace, load.BasePace)
	}
	if load.Slow() {
		text += ", in a slow phase"
	}
	if load.StartRate > 0 {
		text += fmt.Sprintf(", cold start: %d of %d starts per second left", load.StartsLeft, load.StartRate)
	}
	if load.ReceiveWait > 0 {
		text += fmt.Sprintf(", %v until the bodies on their way have arrived", load.ReceiveWait)
	}
	return text
}

// describeRank formats the expected latency of an instance and its rank among the instances of its service.
func (g *group) describeRank(now time.Time, v *picker.View) string {
	estimate := picker.Estimate(now, v)
	better := 0
	for _, other := range g.views {
		if other != v && picker.Estimate(now, other).Latency < estimate.Latency {
			better++
		}
	}
	return fmt.Sprintf("gets work: expected latency %v, spare concurrency %.0f, %d of %d other instances have a lower expected latency%s",
		estimate.Latency, estimate.SpareConcurrency, better, len(g.views)-1, describeReport(now, v))
}
