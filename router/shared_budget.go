package router

import (
	"time"

	"verbenareel/budget"
	"verbenareel/schema"
	"verbenareel/worth"
)

// spentShare is the share of the budget that nodes spend. The rest is for arrivals that no node can attribute to a repeated run,
// such as nested calls without a depth: they took up to 14% of the budget of a service while its servers shed half of what they got.
const spentShare = 0.8

// WithRetryBudget bounds the retries of all nodes together. repeatShare returns the share of repeats among the recent
// runs at the node's own backend server, whose nested calls count as repeats too.
func WithRetryBudget(settings *schema.RetryBudget, repeatShare func(now time.Time) float64) Option {
	return func(o *options) { o.retryBudget, o.repeatShare = settings, repeatShare }
}

// WithoutDepth declares that the wire format does not carry the nesting depth of calls. Calls with a short target then
// count as the likely nested ones.
func WithoutDepth() Option { return func(o *options) { o.withoutDepth = true } }

// share applies the number of nodes to the part of this node in the budget of all nodes. settings is nil if there is no
// such budget.
func (b *budgets) share(now time.Time, settings *schema.RetryBudget, members int) {
	if settings == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window == nil {
		b.window = budget.NewWindow(spentShare*settings.GetRatio(), spentShare*settings.GetSlack(), settings.GetWindow().AsDuration())
	}
	b.window.SetMembers(now, members)
}

// isShared reports whether the retries come from the budget of all nodes.
func (b *budgets) isShared() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window != nil
}

// budgetState is the state of this node's part in the budget of all nodes, for metrics and logs.
type budgetState struct{ available, calls, repeats float64 }

// state returns the state of the budget of all nodes, and whether there is one.
func (b *budgets) state(now time.Time) (budgetState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window == nil {
		return budgetState{}, false
	}
	return budgetState{b.window.Available(now), b.window.Calls(now), b.window.Repeats(now)}, true
}

// reserve reserves a retry of a call of the given value. It is called with mu held.
func (b *budgets) reserve(now time.Time, value float64) bool {
	if !b.byWorth {
		return b.window.Reserve(now, 0)
	}
	return b.order.Retry(now, value, b.window.Capacity(now), func(keep float64) bool { return b.window.Reserve(now, keep) })
}

// keep returns what a call of the given value must leave of the budget of all nodes. It is called with mu held.
func (b *budgets) keep(now time.Time, value float64) float64 {
	if !b.byWorth {
		return 0
	}
	return b.order.Keep(value) * b.window.Capacity(now)
}

// settle ends the reservation of a retry, which counts as spent if it arrived at a server beyond the first arrival.
func (b *budgets) settle(now time.Time, spent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if spent {
		b.window.Commit(now)
		return
	}
	b.window.Release()
}

// spendReserved counts a retry as spent as soon as it is taken.
func (b *budgets) spendReserved(now time.Time) {
	if b.isShared() {
		b.settle(now, true)
	}
}

// chargeArrival counts a retry that was sent without a reservation.
func (b *budgets) chargeArrival(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != nil {
		b.window.Charge(now)
	}
}

// reserveRetry takes one retry from the budget and reports whether there was one.
func (c *call) reserveRetry(now time.Time) bool {
	b := c.group.budgets
	if !b.takeRetry(now, c.value()) {
		return false
	}
	c.holdRetry(b)
	return true
}

// holdRetry records that a retry of the budget of all nodes is reserved for the call.
func (c *call) holdRetry(b *budgets) {
	if b.isShared() {
		c.reservation = b
	}
}

// settleRetry ends the reservation once an attempt may have reached a server. Until then it stays with the call, because
// an attempt that a guard refused is no arrival.
func (c *call) settleRetry(now time.Time, reply *schema.ExecuteReply) {
	if c.reservation == nil || !mayHaveReachedServer(reply) {
		return
	}
	c.reservation.settle(now, c.reachedSends > 1)
	c.reservation = nil
}

// releaseRetry returns a reservation that the call did not use.
func (c *call) releaseRetry(now time.Time) {
	if c.reservation == nil {
		return
	}
	c.reservation.settle(now, false)
	c.reservation = nil
}

// nestedRepeat returns the probability that a repeated run at the node's own backend server made the call.
func (r *Router) nestedRepeat(now time.Time, c *call) float64 {
	if r.repeatShare == nil || !r.isLikelyNested(c) {
		return 0
	}
	return r.repeatShare(now)
}

// value returns the worth of the call per second.
func (c *call) value() float64 {
	w := worth.Call{Priority: c.priority, Time: c.rule.GetTargetLatency().AsDuration(), Nested: c.input.Depth > 0}
	if w.Time <= 0 {
		w.Time = c.group.settings.GetTimeout().AsDuration()
	}
	return w.Value()
}

// isLikelyNested reports whether a backend server probably made the call.
func (r *Router) isLikelyNested(c *call) bool {
	return c.input.Depth > 0 || r.withoutDepth && c.isShort()
}

// isShort reports whether the target of the call is shorter than the mean of the rules of its service. This includes some calls
// of callers: counting a nested call too little would exceed the budget, counting a call of a caller too much leaves a part unused.
func (c *call) isShort() bool {
	target := c.rule.GetTargetLatency().AsDuration()
	return target > 0 && target < c.group.meanTarget
}

// meanTarget returns the mean target latency of the rules that lead to a service, or 0 if none has a target.
func meanTarget(rules []*schema.Rule, service string) time.Duration {
	var sum time.Duration
	count := 0
	for _, rule := range rules {
		if target := rule.GetTargetLatency().AsDuration(); target > 0 && leadsTo(rule, service) {
			sum += target
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// leadsTo reports whether a rule sends calls to a service.
func leadsTo(rule *schema.Rule, service string) bool {
	for _, share := range rule.GetSplit() {
		if share.GetService() == service {
			return true
		}
	}
	return rule.GetService() == service
}
