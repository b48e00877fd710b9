package model

import (
	"fmt"
	"strings"

	"verbenareel/admit"
	"verbenareel/schema"
)

// Policy configures which calls wait and which are rejected at a backend server.
type Policy struct {
	Name string
	// Description describes the order in which the policy starts calls.
	Description string
	// queuePerSlot is the maximum queue length per slot of the server.
	queuePerSlot float64
	// useTargets passes the target time and the expected run time of calls to the controller. usePriorities passes their
	// priority.
	useTargets, usePriorities bool
	// eagerFirst makes a call try other servers that may start it immediately before it is queued.
	eagerFirst bool
	// sharedBudget bounds retries as a budget of all nodes does, byWorth spends it by worth, and entryAdmission refuses calls
	// of low worth where they enter and spreads the returns of callers.
	sharedBudget, byWorth, entryAdmission bool
}

// Policies returns the policy that nodes use and the policies it is compared with.
func Policies() []Policy {
	return []Policy{
		{Name: "worth", Description: "highest worth per slot time first; the policy used by nodes", queuePerSlot: 1, useTargets: true, usePriorities: true, eagerFirst: true},
		{Name: "budget", Description: "worth, with the retry budget of all nodes", queuePerSlot: 1, useTargets: true, usePriorities: true,
			eagerFirst: true, sharedBudget: true},
		{Name: "order", Description: "budget, spent by worth", queuePerSlot: 1, useTargets: true, usePriorities: true,
			eagerFirst: true, sharedBudget: true, byWorth: true},
		{Name: "entry", Description: "order, with entry admission", queuePerSlot: 1, useTargets: true, usePriorities: true,
			eagerFirst: true, sharedBudget: true, byWorth: true, entryAdmission: true},
		{Name: "rank", Description: "by priority, then by arrival; rejected at the deadline; the previous policy", queuePerSlot: 1, usePriorities: true},
		{Name: "arrival", Description: "first come, first served (FIFO)", queuePerSlot: 1},
	}
}

// UnknownPolicyError reports a policy name that does not exist.
type UnknownPolicyError struct {
	Name string
}

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
	}
	return fmt.Sprintf("unknown policy %q; known policies: %s", e.Name, strings.Join(names, ", "))
}

// FindPolicy returns the policy with the given name, or an *UnknownPolicyError.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, &UnknownPolicyError{Name: name}
}

// prepare sets the fields of a call that the policy passes to the controller.
func (p *Policy) prepare(a *attempt) {
	k := a.request.kind
	a.Owner = a
	a.Deadline = a.request.deadline
	a.Repeatable = true
	a.Priority = schema.Priority_PRIORITY_NORMAL
	if p.usePriorities {
		a.Priority, a.Repeatable = k.Priority, k.Repeatable
	}
	if p.useTargets {
		a.Target = a.request.createdAt.Add(k.Target)
	}
}

// newController returns the admission controller of one server.
func (p *Policy) newController(limiter *fixedLimiter) *admit.Controller {
	return admit.New(limiter, int(p.queuePerSlot*float64(limiter.count)))
}
