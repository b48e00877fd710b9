package quota

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the measured demand. Demand moves between nodes in tenths of a second.
	demandTime = 300 * time.Millisecond
	// honourTime is the longest time for which a node does not ask again after a refusal.
	honourTime = 400 * time.Millisecond
	// askInterval is the shortest time between two requests for tokens in advance.
	askInterval = horizon / 2
	// askTimeout is the time without a reply after which a node asks again for tokens. A late reply is still used.
	askTimeout = 40 * time.Millisecond
)

// account holds the tokens of one customer at a node.
type account struct {
	customer
	grants []grant
	// own holds the tokens of the node's own share while it is leased to nobody, and is nil otherwise.
	own *bucket
	// calls counts the calls since the demand was last updated, in calls per second.
	calls  int
	demand float64
	// waiting counts the calls that wait for tokens, and asked is set while a request for tokens is on its way.
	waiting int
	asked   bool
	askedAt time.Time
	queued  bool
	// returned counts the expired tokens to be returned to the epoch that granted them.
	returned      int
	returnedEpoch uint64
	// refunded counts the calls that did not run and whose charge is to be returned.
	refunded    int
	nextAsk     time.Time
	deniedUntil time.Time
	retryAt     time.Time
}

// grant is a number of tokens that may be used for a time. epoch is 0 for refunds.
type grant struct {
	count int
	until time.Time
	epoch uint64
}

// add stores tokens.
func (a *account) add(g grant) {
	if g.count > 0 {
		a.grants = append(a.grants, g)
	}
}

// expire removes the tokens that may no longer be used. They are returned to the coordinator with the next request.
func (a *account) expire(now time.Time) {
	for len(a.grants) > 0 && (a.grants[0].count == 0 || !now.Before(a.grants[0].until)) {
		a.giveBack(a.grants[0])
		a.grants = a.grants[:copy(a.grants, a.grants[1:])]
	}
}

func (a *account) giveBack(g grant) {
	if g.count == 0 || g.epoch == 0 {
		return
	}
	if g.epoch != a.returnedEpoch {
		a.returned, a.returnedEpoch = 0, g.epoch
	}
	a.returned += g.count
}

// spend uses one token.
func (a *account) spend(now time.Time) bool {
	a.expire(now)
	if len(a.grants) == 0 {
		return false
	}
	a.grants[0].count--
	return true
}

// giveUpAsk lets the node ask again if a request for tokens was not answered in time.
func (a *account) giveUpAsk(now time.Time) {
	if now.Sub(a.askedAt) >= askTimeout {
		a.asked = false
	}
}

// held returns the number of tokens.
func (a *account) held() int {
	sum := 0
	for _, g := range a.grants {
		sum += g.count
	}
	return sum
}

// measure updates the demand after elapsed time.
func (a *account) measure(elapsed time.Duration) {
	if elapsed <= 0 || a.calls == 0 && a.demand == 0 {
		return
	}
	rate := float64(a.calls) / elapsed.Seconds()
	a.demand += (rate - a.demand) * (1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds()))
	a.calls = 0
	if a.demand < 1e-3 {
		a.demand = 0
	}
}

// target returns the number of tokens that the node tries to hold. It is 0 for a customer with few calls at the node, whose
// tokens would mostly expire.
func (a *account) target() int { return int(a.demand * horizon.Seconds()) }

// missing returns how many tokens to ask for in advance.
func (a *account) missing(now time.Time) int {
	if a.asked || now.Before(a.nextAsk) || now.Before(a.deniedUntil) {
		return 0
	}
	target := a.target()
	held := a.held()
	if 2*held >= target+1 {
		return 0
	}
	return target - held
}

// idle reports whether there are refunds, or expired tokens that no request for further ones will return soon.
func (a *account) idle() bool {
	return !a.asked && (a.refunded > 0 || a.returned > 0 && a.target() == 0)
}

// deny records that the coordinator has no tokens for wait.
func (a *account) deny(now time.Time, wait time.Duration) {
	a.retryAt = now.Add(wait)
	a.deniedUntil = now.Add(min(wait, honourTime))
}

// clear drops all tokens.
func (a *account) clear() {
	a.grants = a.grants[:0]
	a.returned, a.asked = 0, false
	if a.own != nil {
		a.own.level = min(a.own.level, 0)
	}
}
