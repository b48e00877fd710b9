package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
)

// View is the router's view of one instance, for status pages.
type View struct {
	Instance string
	Service  string
	Domain   string
	// State is the state by the snapshot in force.
	State string
	// Report is the last load report, and Age the time since it arrived; Age is negative if there is none.
	Report core.LoadReport
	Age    time.Duration
	// InFlight counts the unanswered calls of this router, and Oldest is the wait of the oldest.
	InFlight int
	Oldest   time.Duration
	// Failures is the share of failed calls of this router.
	Failures float64
	// Delay is the network round trip, and Latency the expected latency of the next call.
	Delay   time.Duration
	Latency time.Duration
	Room    float64
	// Refusal says why the instance gets no work; it is empty if it gets some.
	Refusal string
}

// Views returns the view of each known instance in order of name.
func (r *Router) Views() []View {
	now := r.clock.Now()
	t := r.current(now)
	var views []View
	for _, g := range t.groups {
		for _, v := range g.views {
			views = append(views, t.view(now, v))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Instance, b.Instance) })
	return views
}

func (t *table) view(now time.Time, v *picker.View) View {
	instance := v.Instance()
	report, received := v.Load()
	estimate := picker.Estimate(now, v)
	s := View{
		Instance: instance.Name(),
		Service:  instance.Service(),
		Domain:   instance.Domain(),
		State:    core.StateName(instance.State()),
		Report:   report,
		Age:      -1,
		InFlight: v.InFlight(),
		Oldest:   v.Oldest(now),
		Failures: v.Failures(now),
		Delay:    v.Delay(),
		Latency:  estimate.Latency,
		Room:     estimate.Room,
		Refusal:  t.refusal(now, v),
	}
	if !received.IsZero() {
		s.Age = now.Sub(received)
	}
	return s
}

// refusal says why the instance gets no work, or nothing if it gets some.
func (t *table) refusal(now time.Time, v *picker.View) string {
	instance := v.Instance()
	if core.OutOfService(t.snapshot.Document(), instance.Name(), instance.Domain()) {
		return fmt.Sprintf("the instance or its failure domain %q is out of service by revision %d of the document",
			instance.Domain(), t.snapshot.Revision())
	}
	if !instance.Eligible() {
		return fmt.Sprintf("the platform's list or the node itself gives its state as %s", core.StateName(instance.State()))
	}
	if !v.Eligible(now, t.snapshot.Revision()) {
		report, received := v.Load()
		return fmt.Sprintf("its guard reported %s %v ago", core.StateName(report.State), now.Sub(received))
	}
	if v.Avoided(now) {
		return "its node could not be reached; it is tried again after a short backoff"
	}
	return ""
}

// Explain says why an instance gets no work, or how it compares with the others if it gets some.
func (r *Router) Explain(instance string) string {
	now := r.clock.Now()
	t := r.current(now)
	if t.snapshot == nil {
		return "no configuration was accepted yet"
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
		return "the instance left while the question was answered"
	}
	v := g.views[i]
	if refusal := t.refusal(now, v); refusal != "" {
		return "no work: " + refusal
	}
	return g.compare(now, v)
}

// reported says what the last load report of an instance tells beside its room.
func reported(now time.Time, v *picker.View) string {
	load, received := v.Load()
	if received.IsZero() {
		return "; no load report yet"
	}
	text := fmt.Sprintf("; report %v old", now.Sub(received).Round(time.Millisecond))
	if load.Pace > 0 {
		text += fmt.Sprintf(", pace %.1f (lowest of the last second %.1f)", load.Pace, load.BasePace)
	}
	if load.Slow() {
		text += ", in a slow phase"
	}
	if load.StartRate > 0 {
		text += fmt.Sprintf(", cold: %d of %d calls a second left", load.StartsLeft, load.StartRate)
	}
	return text
}

// compare says how the forecast of one instance ranks among those of its service.
func (g *group) compare(now time.Time, v *picker.View) string {
	estimate := picker.Estimate(now, v)
	better := 0
	for _, other := range g.views {
		if other != v && picker.Estimate(now, other).Latency < estimate.Latency {
			better++
		}
	}
	return fmt.Sprintf("gets work: expected latency %v, room for %.0f calls, %d of %d instances look better%s",
		estimate.Latency, estimate.Room, better, len(g.views)-1, reported(now, v))
}
