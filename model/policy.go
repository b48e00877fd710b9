package model

import (
	"fmt"
	"strings"

	"verbenareel/admit"
	"verbenareel/schema"
)

// Policy decides who waits and who is refused at a backend server.
type Policy struct {
	Name string
	// About says in which order the policy starts calls.
	About string
	// queue is the bound of the queue, in slots of the server.
	queue float64
	// targets tells that calls carry their target and expected time, ranks that they carry their priority.
	targets, ranks bool
	// eager tells that a call tries the servers that may start it at once before it waits.
	eager bool
}

// Policies returns the policy in use and those it is compared with.
func Policies() []Policy {
	return []Policy{
		{Name: "worth", About: "by worth for the time of a slot; the policy of the nodes", queue: 1, targets: true, ranks: true, eager: true},
		{Name: "rank", About: "by priority and arrival, refused at the deadline; the policy before", queue: 1, ranks: true},
		{Name: "arrival", About: "first come, first served", queue: 1},
	}
}

// UnknownPolicyError names a policy that does not exist.
type UnknownPolicyError struct {
	Name string
}

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
	}
	return fmt.Sprintf("no policy %q; there are %s", e.Name, strings.Join(names, ", "))
}

// FindPolicy returns the policy with the name, or an *UnknownPolicyError.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, &UnknownPolicyError{Name: name}
}

// prepare sets what the policy knows of a call.
func (p *Policy) prepare(a *attempt) {
	k := a.request.kind
	a.Owner = a
	a.Deadline = a.request.deadline
	a.Repeatable = true
	a.Priority = schema.Priority_PRIORITY_NORMAL
	if p.ranks {
		a.Priority, a.Repeatable = k.Priority, k.Repeatable
	}
	if p.targets {
		a.Target = a.request.asked.Add(k.Target)
	}
}

// controller returns the admission of one server.
func (p *Policy) controller(limiter *slots) *admit.Controller {
	return admit.New(limiter, int(p.queue*float64(limiter.count)))
}
