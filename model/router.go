package model

import (
	"math/rand/v2"
	"time"

	"verbenareel/budget"
	"verbenareel/schema"
	"verbenareel/worth"
)

const (
	// sharedRatio, sharedSlack and sharedWindow configure the retry budget of all nodes.
	sharedRatio  = 0.2
	sharedSlack  = 54
	sharedWindow = 10 * time.Second
)

// entrance holds what the routers know of one service: its retry budgets and its admission of new calls.
type entrance struct {
	policy *Policy
	ratio  *budget.Ratio
	window *budget.Window
	order  worth.Order
	entry  worth.Entry
}

func newEntrance(policy *Policy) *entrance {
	return &entrance{
		policy: policy,
		ratio:  budget.NewRatio(retryRatio, retryFloor, budget.RetryDecayTime),
		window: budget.NewWindow(sharedRatio, sharedSlack, sharedWindow),
	}
}

// deposit adds a new request to the budgets.
func (e *entrance) deposit(now time.Time) {
	e.ratio.Deposit(now)
	e.window.Deposit(now, 0)
}

// takeRetry takes a retry for a request and reports whether there was one.
func (e *entrance) takeRetry(now time.Time, q *request) bool {
	switch {
	case !e.policy.sharedBudget:
		return e.ratio.Take(now)
	case q.reserved:
		return true
	case e.policy.byWorth:
		q.reserved = e.order.Retry(now, q.value(), e.window.Capacity(now), func(keep float64) bool { return e.window.Reserve(now, keep) })
	default:
		q.reserved = e.window.Reserve(now, 0)
	}
	return q.reserved
}

// settle ends the reservation of a retry once an attempt has reached a server or the request has ended.
func (e *entrance) settle(now time.Time, q *request, arrived bool) {
	if !q.reserved || !arrived && !q.ended {
		return
	}
	q.reserved = false
	if arrived && q.arrivals > 1 {
		e.window.Commit(now)
		return
	}
	e.window.Release()
}

// record counts the outcome of an attempt for the admission of new calls.
func (e *entrance) record(now time.Time, a *attempt, reason schema.Reason) {
	switch {
	case reason == schema.Reason_REASON_NONE:
		e.entry.Record(now, worth.Served)
	case reason == schema.Reason_REASON_SHED:
		e.entry.Record(now, worth.Shed)
	case !a.Eager && (reason == schema.Reason_REASON_BUSY || reason == schema.Reason_REASON_PREEMPTED):
		e.entry.Record(now, worth.Full)
	}
}

// admits reports whether a new request is sent to a server.
func (e *entrance) admits(r *Simulation, q *request) bool {
	if !e.policy.entryAdmission || q.kind.ArrivalRate == 0 {
		return true
	}
	return e.entry.Admit(r.now, q.value(), q.createdAt.Add(q.kind.Target).Sub(r.now), func() worth.Servers { return r.waits(q.kind.Service) })
}

// returnDelay returns when the caller of a refused request returns.
func (e *entrance) returnDelay(r *Simulation, k *Kind, left time.Duration, random *rand.Rand) time.Duration {
	delay := minRetryDelay + time.Duration(random.Int64N(int64(maxRetryDelay-minRetryDelay)))
	if e.policy.entryAdmission {
		delay = e.entry.RetryAfter(r.now, left, left-(k.Timeout-k.Target), r.waits(k.Service), random.Float64())
	}
	if r.pattern.SharedDeadline {
		delay = min(delay, left/3)
	}
	return delay
}

// waits returns the least expected wait at the servers of a service.
func (r *Simulation) waits(service string) worth.Servers {
	s := worth.Servers{}
	for _, server := range r.servers[service] {
		if server.down {
			continue
		}
		missing := server.controller.InFlight() + server.controller.Queued() + 1 - server.service.Slots
		wait := usualRunTime * time.Duration(max(missing, 0)) / time.Duration(server.service.Slots)
		if !s.Known || wait < s.Wait {
			s.Known, s.Wait = true, wait
		}
	}
	return s
}

// usualRunTime is the mean run time that routers assume.
const usualRunTime = 150 * time.Millisecond

func (q *request) value() float64 {
	return worth.Call{Priority: q.kind.Priority, Time: q.kind.Target, Nested: false}.Value()
}
