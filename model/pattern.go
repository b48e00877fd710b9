// Package model simulates services, their backend servers and their callers under load patterns. It runs the real
// admission controller in virtual time, without a network or wall clock, so that runs with the same seed give the same
// figures. It serves to compare policies with each other, not to predict the behaviour of a deployment.
package model

import (
	"fmt"
	"strings"
	"time"

	"verbenareel/schema"
)

// Kind describes one kind of request.
type Kind struct {
	Name    string
	Service string
	// ArrivalRate is the mean number of arrivals per second at RateFactor 1. It is 0 for a kind that occurs only as a
	// nested call.
	ArrivalRate float64
	// Work is the mean run time at the usual speed of a server.
	Work time.Duration
	// Target is the time within which an answer has its full worth.
	Target   time.Duration
	Timeout  time.Duration
	Priority schema.Priority
	// Repeatable requests may be sent again after a failure.
	Repeatable bool
	// Worth is the worth of an answer within the target, and LateWorth the worth of a later one.
	Worth, LateWorth float64
	// RateFactor returns a further factor of the arrival rate of this kind at a time since the start; nil means 1.
	RateFactor func(at time.Duration) float64
	// Calls is the kind of the nested call, and CallShare the share of runs that make it. A run waits for the answer to
	// its nested call.
	Calls     string
	CallShare float64
}

// Service is a group of identical backend servers.
type Service struct {
	Name    string
	Servers int
	Slots   int
	// Knee multiplies the time of runs that start while more than kneeUtilization of the slots are in use; 0 means 1.
	Knee float64
	// SlowShare is the share of time during which run times are multiplied by SlowFactor, in phases of
	// slowPhaseDuration.
	SlowShare, SlowFactor float64
	// ColdDuration is how long a server is cold after a restart. While it is cold, run times are multiplied by ColdFactor
	// and at most ColdRate runs start per second.
	ColdDuration time.Duration
	ColdFactor   float64
	ColdRate     int
}

// Change changes the state of servers at a given time.
type Change struct {
	At time.Duration
	// Service is the service whose servers change, and Share the share of them that change.
	Service string
	Share   float64
	// Down stops the servers. Up restarts them in the cold state. RunTimeFactor, if not 0, multiplies their run times from
	// then on.
	Down, Up      bool
	RunTimeFactor float64
	// Shed, if not nil, sets the share of the calls that the servers refuse at random from then on, full or not.
	Shed *float64
}

// Pattern describes the load on the services and the faults that occur during it.
type Pattern struct {
	Name string
	// Description describes the load and the faults.
	Description string
	Length      time.Duration
	Services    []Service
	Kinds       []Kind
	// RateFactor returns the factor of the arrival rates at a time since the start; nil means a constant 1.
	RateFactor func(at time.Duration) float64
	Changes    []Change
	// Retries is how often a caller retries a rejected request. With RetryImmediately it retries after 1 ms instead of a
	// random delay.
	Retries          int
	RetryImmediately bool
	// SharedDeadline makes a retry of a caller end when its first request would have. The caller then waits for at most a
	// third of the remaining time.
	SharedDeadline bool
}

// services returns three services. Runs of each of the first two make nested calls to the next one.
func services() []Service {
	service := func(name string, servers int) Service {
		return Service{
			Name: name, Servers: servers, Slots: 16, Knee: 1.7, SlowShare: 0.25, SlowFactor: 5,
			ColdDuration: 3 * time.Second, ColdFactor: 2, ColdRate: 26,
		}
	}
	return []Service{service("view", 6), service("order", 4), service("stock", 3)}
}

func kinds() []Kind {
	const ms = time.Millisecond
	low, normal, high := schema.Priority_PRIORITY_LOW, schema.Priority_PRIORITY_NORMAL, schema.Priority_PRIORITY_HIGH
	return []Kind{
		{Name: "view", Service: "view", ArrivalRate: 100, Work: 220 * ms, Target: 600 * ms, Timeout: 1200 * ms, Priority: low,
			Repeatable: true, Worth: 1, LateWorth: 0.1, Calls: "order-check", CallShare: 0.7},
		{Name: "order", Service: "order", ArrivalRate: 36, Work: 290 * ms, Target: 800 * ms, Timeout: 1500 * ms, Priority: normal,
			Worth: 2, LateWorth: 0.2, Calls: "stock-check", CallShare: 0.7},
		{Name: "delivery", Service: "stock", ArrivalRate: 28, Work: 150 * ms, Target: 400 * ms, Timeout: 1000 * ms, Priority: high,
			Worth: 3, LateWorth: 0.3},
		{Name: "report", Service: "order", ArrivalRate: 10, Work: 290 * ms, Target: 800 * ms, Timeout: 1500 * ms, Priority: low,
			Repeatable: true, Worth: 0.5, LateWorth: 0.05, Calls: "stock-check", CallShare: 0.7},
		{Name: "order-check", Service: "order", Work: 55 * ms, Target: 150 * ms, Timeout: 600 * ms, Priority: normal, Repeatable: true},
		{Name: "stock-check", Service: "stock", Work: 55 * ms, Target: 150 * ms, Timeout: 600 * ms, Priority: normal, Repeatable: true},
	}
}

// rateFactorBetween returns a RateFactor function that is inside during [from, to) and 1 otherwise.
func rateFactorBetween(from, to time.Duration, inside float64) func(time.Duration) float64 {
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
		return Pattern{Name: name, Description: about, Length: length, Services: services(), Kinds: kinds(), Retries: 1}
	}
	calm := base("calm", "usual load; each server is slow for a quarter of the time, in phases")
	overload := base("overload", "four times the usual load throughout")
	overload.RateFactor = func(time.Duration) float64 { return 4 }
	burst := base("burst", "five times the usual load from 5 s to 8 s")
	burst.RateFactor = rateFactorBetween(5*time.Second, 8*time.Second, 5)
	storm := base("retry-storm", "four times the usual load from 5 s to 8 s; callers retry rejected requests immediately, up to three times")
	storm.RateFactor = rateFactorBetween(5*time.Second, 8*time.Second, 4)
	storm.Retries, storm.RetryImmediately = 3, true
	half := base("half-gone", "twice the usual load; half of the servers are down from 5 s to 9 s and restart cold")
	half.RateFactor = func(time.Duration) float64 { return 2 }
	for _, service := range half.Services {
		half.Changes = append(half.Changes,
			Change{At: 5 * time.Second, Service: service.Name, Share: 0.5, Down: true},
			Change{At: 9 * time.Second, Service: service.Name, Share: 0.5, Up: true})
	}
	slow := base("slow-service", "twice the usual load; the service that the others call takes three times as long from 5 s to 11 s")
	slow.RateFactor = func(time.Duration) float64 { return 2 }
	slow.Changes = []Change{
		{At: 5 * time.Second, Service: "stock", Share: 1, RunTimeFactor: 3},
		{At: 11 * time.Second, Service: "stock", Share: 1, RunTimeFactor: 1},
	}
	cold := base("cold-return", "twice the usual load; all servers lose power at 5 s and restart cold 1.3 s later")
	cold.RateFactor = func(time.Duration) float64 { return 2 }
	for _, service := range cold.Services {
		cold.Changes = append(cold.Changes,
			Change{At: 5 * time.Second, Service: service.Name, Share: 1, Down: true},
			Change{At: 6300 * time.Millisecond, Service: service.Name, Share: 1, Up: true})
	}
	return append([]Pattern{calm, overload, burst, storm, half, slow, cold}, contendedPatterns()...)
}

// UnknownPatternError reports a pattern name that does not exist.
type UnknownPatternError struct {
	Name string
}

// Error implements error.
func (e *UnknownPatternError) Error() string {
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return fmt.Sprintf("unknown pattern %q; known patterns: %s", e.Name, strings.Join(names, ", "))
}

// FindPattern returns the pattern with the given name, or an *UnknownPatternError.
func FindPattern(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, &UnknownPatternError{Name: name}
}
