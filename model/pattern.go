// Package model is a model of services, their backend servers and their callers under load patterns. It steps the real
// admission policy in virtual time, with no network and no wall clock, so that a run with one seed always gives the same
// figures. It compares policies with each other; it does not predict a deployment.
package model

import (
	"fmt"
	"strings"
	"time"

	"verbenareel/schema"
)

// Kind is one kind of request.
type Kind struct {
	Name    string
	Service string
	// PerSecond is the mean rate of arrivals at factor 1; 0 for a kind that only runs of others call.
	PerSecond float64
	// Work is the mean time that a run takes at the usual pace.
	Work     time.Duration
	Target   time.Duration
	Timeout  time.Duration
	Priority schema.Priority
	// Repeatable requests may be sent again after a failure.
	Repeatable bool
	// Worth is that of an answer within the target, Late that of a later one.
	Worth, Late float64
	// Calls names the kind that runs call, CallShare the share of runs that do; they wait for its answer.
	Calls     string
	CallShare float64
}

// Service is a group of equal backend servers.
type Service struct {
	Name    string
	Servers int
	Slots   int
	// Knee multiplies the time of runs that begin with over kneeShare of the slots in use; 0 means 1.
	Knee float64
	// SlowShare is the share of time in which a server is SlowFactor times as slow, in phases of slowPhase.
	SlowShare, SlowFactor float64
	// ColdFor is how long a server is cold after a start: ColdFactor times as slow, with ColdRate starts a second.
	ColdFor    time.Duration
	ColdFactor float64
	ColdRate   int
}

// Change is a change of the model at a time.
type Change struct {
	At time.Duration
	// Service names the servers that change, Share how many of them.
	Service string
	Share   float64
	// Down stops them; Up starts them again, cold; Pace, if not 0, is the factor of their run times from now on.
	Down, Up bool
	Pace     float64
}

// Pattern is a load on services, with the troubles that belong to it.
type Pattern struct {
	Name string
	// About says which load the pattern stands for.
	About    string
	Length   time.Duration
	Services []Service
	Kinds    []Kind
	// Factor multiplies the rates at a time since the start; nil means 1.
	Factor  func(at time.Duration) float64
	Changes []Change
	// Returns is how often a refused caller tries again; Impatient callers do so at once instead of at the given time.
	Returns   int
	Impatient bool
}

// services returns three services of which the first two call the next one.
func services() []Service {
	service := func(name string, servers int) Service {
		return Service{
			Name: name, Servers: servers, Slots: 16, Knee: 1.7, SlowShare: 0.25, SlowFactor: 5,
			ColdFor: 3 * time.Second, ColdFactor: 2, ColdRate: 26,
		}
	}
	return []Service{service("view", 6), service("order", 4), service("stock", 3)}
}

func kinds() []Kind {
	const ms = time.Millisecond
	low, normal, high := schema.Priority_PRIORITY_LOW, schema.Priority_PRIORITY_NORMAL, schema.Priority_PRIORITY_HIGH
	return []Kind{
		{Name: "view", Service: "view", PerSecond: 100, Work: 220 * ms, Target: 600 * ms, Timeout: 1200 * ms, Priority: low,
			Repeatable: true, Worth: 1, Late: 0.1, Calls: "order-check", CallShare: 0.7},
		{Name: "order", Service: "order", PerSecond: 36, Work: 290 * ms, Target: 800 * ms, Timeout: 1500 * ms, Priority: normal,
			Worth: 2, Late: 0.2, Calls: "stock-check", CallShare: 0.7},
		{Name: "delivery", Service: "stock", PerSecond: 28, Work: 150 * ms, Target: 400 * ms, Timeout: 1000 * ms, Priority: high,
			Worth: 3, Late: 0.3},
		{Name: "report", Service: "order", PerSecond: 10, Work: 290 * ms, Target: 800 * ms, Timeout: 1500 * ms, Priority: low,
			Repeatable: true, Worth: 0.5, Late: 0.05, Calls: "stock-check", CallShare: 0.7},
		{Name: "order-check", Service: "order", Work: 55 * ms, Target: 150 * ms, Timeout: 600 * ms, Priority: normal, Repeatable: true},
		{Name: "stock-check", Service: "stock", Work: 55 * ms, Target: 150 * ms, Timeout: 600 * ms, Priority: normal, Repeatable: true},
	}
}

// between returns a factor that is inside within [from, to), and 1 outside.
func between(from, to time.Duration, inside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return 1
	}
}

// Patterns returns all patterns.
func Patterns() []Pattern {
	const length = 20 * time.Second
	base := func(name, about string) Pattern {
		return Pattern{Name: name, About: about, Length: length, Services: services(), Kinds: kinds(), Returns: 1}
	}
	calm := base("calm", "the usual load; each server is slow a quarter of the time, in phases")
	overload := base("overload", "four times the usual load for the whole time")
	overload.Factor = func(time.Duration) float64 { return 4 }
	burst := base("burst", "five times the usual load from 5 s to 8 s")
	burst.Factor = between(5*time.Second, 8*time.Second, 5)
	storm := base("retry-storm", "a burst whose refused callers return at once, three times")
	storm.Factor = between(5*time.Second, 8*time.Second, 4)
	storm.Returns, storm.Impatient = 3, true
	half := base("half-gone", "twice the usual load; half of the servers are down from 5 s to 9 s and come back cold")
	half.Factor = func(time.Duration) float64 { return 2 }
	for _, service := range half.Services {
		half.Changes = append(half.Changes,
			Change{At: 5 * time.Second, Service: service.Name, Share: 0.5, Down: true},
			Change{At: 9 * time.Second, Service: service.Name, Share: 0.5, Up: true})
	}
	slow := base("slow-service", "twice the usual load; the service that others call takes three times as long from 5 s to 11 s")
	slow.Factor = func(time.Duration) float64 { return 2 }
	slow.Changes = []Change{
		{At: 5 * time.Second, Service: "stock", Share: 1, Pace: 3},
		{At: 11 * time.Second, Service: "stock", Share: 1, Pace: 1},
	}
	cold := base("cold-return", "twice the usual load; all servers lose power at 5 s and come back cold 1.3 s later")
	cold.Factor = func(time.Duration) float64 { return 2 }
	for _, service := range cold.Services {
		cold.Changes = append(cold.Changes,
			Change{At: 5 * time.Second, Service: service.Name, Share: 1, Down: true},
			Change{At: 6300 * time.Millisecond, Service: service.Name, Share: 1, Up: true})
	}
	return []Pattern{calm, overload, burst, storm, half, slow, cold}
}

// UnknownPatternError names a pattern that does not exist.
type UnknownPatternError struct {
	Name string
}

// Error implements error.
func (e *UnknownPatternError) Error() string {
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return fmt.Sprintf("no pattern %q; there are %s", e.Name, strings.Join(names, ", "))
}

// Find returns the pattern with the name, or an *UnknownPatternError.
func Find(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, &UnknownPatternError{Name: name}
}
