package quota

import (
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

// Verdict is the decision about one call.
type Verdict int

const (
	// Allowed means that the call was charged.
	Allowed Verdict = iota
	// Refused means that the quota is used up.
	Refused
	// Pending means that the node asks the coordinator. The decision is made by calling Take again after the reply.
	Pending
)

// Node decides about the calls of one process. It holds tokens, measures the demand and leases the node's shares. It is not
// safe for concurrent use.
type Node struct {
	from      uint64
	process   uint64
	phase     func() float64
	tolerance Tolerance
	view      *View
	accounts  map[string]*account
	// list holds the accounts in a slice, for the periodic work.
	list  []*account
	queue []*account
	// links holds the coordinators by name, order the same sorted by name, and ranked those of each slot in the order of
	// preference.
	links   map[string]*link
	order   []*link
	ranked  [slotCount][]*link
	slots   [slotCount]slot
	pause   pauseDetector
	stepped time.Time
	// born is the time of the first step, and started is set once the members are known.
	born    time.Time
	started bool
	// known is the number of members in the node's own snapshots, and heard the one that coordinators report.
	known, heard memberCount
	// generation changes when tokens that are on their way must not be used.
	generation int
	// sequence is that of the last request to any coordinator.
	sequence uint64
	counts   Counts
}

// Counts counts what a Node decided: the calls that granted tokens and the own share allowed, the refused ones, the requests
// for tokens, and the slots used before the end of their lease. Of a Coordinator it counts the granted tokens, the requests,
// and those refused.
type Counts struct {
	Granted, Own, Refused, Asked, Early uint64
}

// NewNode returns the Node of a process. process is a random number, phase provides numbers from 0 to 1, and tolerance
// says whether shares may be used before the end of a lease.
func NewNode(instance string, process uint64, tolerance Tolerance, phase func() float64) *Node {
	return &Node{
		from:      core.InstanceHash(instance),
		process:   process,
		phase:     phase,
		tolerance: tolerance,
		view:      &View{},
		accounts:  make(map[string]*account),
		links:     make(map[string]*link),
	}
}

// Update applies the customers and members of a snapshot.
func (n *Node) Update(now time.Time, v *View) {
	n.accrueOwn(now)
	n.known.note(now, n.view.members, memberHold)
	n.view = v
	n.known.note(now, v.members, memberHold)
	n.start(now)
	n.rankLinks(now)
	before := n.accounts
	n.list = nil
	n.accounts = make(map[string]*account, len(v.customers))
	for _, x := range v.customers {
		a := before[x.name]
		if a == nil {
			a = &account{}
		}
		a.customer = x
		n.accounts[x.name] = a
		n.list = append(n.list, a)
	}
	for _, a := range n.list {
		n.syncOwn(now, a)
	}
}

// start lets all slots count as leased for one lease time. The process before this one may have leased them.
func (n *Node) start(now time.Time) {
	if n.born.IsZero() {
		n.born = now
	}
	if n.started || n.view.members == 0 {
		return
	}
	n.started = true
	for i := range n.slots {
		n.slots[i].end = n.born.Add(n.leaseTime() + leaseMargin)
	}
}

// Members returns the number of nodes among which a quota is divided.
func (n *Node) Members() int { return max(1, n.known.count, n.heard.count) }

// Counts returns the decisions so far.
func (n *Node) Counts() Counts { return n.counts }

// Active reports whether any customer has a quota.
func (n *Node) Active() bool { return len(n.accounts) > 0 }

// Asked reports whether a request for tokens of the customer is on its way.
func (n *Node) Asked(name string) bool { return n.accounts[name] != nil && n.accounts[name].asked }

// Limits reports whether the customer has a quota.
func (n *Node) Limits(name string) bool { return n.accounts[name] != nil }

// Take decides about a call of a customer. again is set when the call waited for a reply. If the call is refused, wait is the
// time until there may be a token.
func (n *Node) Take(now time.Time, name string, again bool) (verdict Verdict, wait time.Duration) {
	n.checkPause(now)
	a := n.accounts[name]
	if a == nil {
		return Allowed, 0
	}
	if !again {
		a.calls++
	}
	if a.spend(now) {
		n.counts.Granted++
		return Allowed, 0
	}
	if n.takeOwn(now, a) {
		n.counts.Own++
		return Allowed, 0
	}
	if now.Before(a.deniedUntil) || n.askable(a.slot) == nil {
		n.counts.Refused++
		return Refused, n.refusalWait(now, a)
	}
	a.waiting++
	n.enqueue(a)
	return Pending, 0
}

// takeOwn uses a token of the node's own share, if nobody else has the share.
func (n *Node) takeOwn(now time.Time, a *account) bool {
	if a.own == nil {
		return false
	}
	n.accrueAccount(now, a)
	return a.own.take(1) == 1
}

// GiveUp refuses a call for which Take returned Pending, and returns the time until there may be a token.
func (n *Node) GiveUp(now time.Time, name string) time.Duration {
	n.counts.Refused++
	a := n.accounts[name]
	if a == nil {
		return retryTime
	}
	a.waiting = max(0, a.waiting-1)
	return n.refusalWait(now, a)
}

func (n *Node) refusalWait(now time.Time, a *account) time.Duration {
	wait := n.slots[a.slot].end.Sub(now)
	if a.own != nil {
		wait = a.own.wait(a.rate / float64(n.Members()))
	}
	if a.retryAt.After(now) {
		wait = a.retryAt.Sub(now)
	}
	return min(max(wait, retryTime), longestWait)
}

// Refund returns the charge of a call that did not run to the coordinator.
func (n *Node) Refund(now time.Time, name string) {
	a := n.accounts[name]
	if a == nil || n.askable(a.slot) == nil {
		return
	}
	a.expire(now)
	a.refunded++
	a.deniedUntil = time.Time{}
	n.enqueue(a)
}

// checkPause drops all tokens if the process was paused. It may have used up their life without a clock that counted it.
func (n *Node) checkPause(now time.Time) bool {
	if !n.pause.step(now) {
		return false
	}
	n.generation++
	n.stepped = now
	for _, a := range n.list {
		n.accrueAccount(now, a)
		a.clear()
	}
	return true
}

// Step performs the periodic work: demand, requests in advance, leases. It reports whether the process was paused.
func (n *Node) Step(now time.Time) bool {
	paused := n.checkPause(now)
	elapsed := now.Sub(n.stepped)
	n.stepped = now
	n.start(now)
	n.endLeases(now)
	n.accrueOwn(now)
	for _, a := range n.list {
		a.expire(now)
		a.measure(elapsed)
		a.giveUpAsk(now)
		if n.askable(a.slot) == nil {
			continue
		}
		if a.missing(now) > 0 || a.idle() {
			a.nextAsk = now.Add(askInterval)
			n.enqueue(a)
		}
	}
	return paused
}

func (n *Node) enqueue(a *account) {
	if !a.queued && !a.asked {
		a.queued = true
		n.queue = append(n.queue, a)
	}
}

// accrueOwn adds tokens to the own shares in use.
func (n *Node) accrueOwn(now time.Time) {
	for _, a := range n.list {
		n.accrueAccount(now, a)
	}
}

func (n *Node) accrueAccount(now time.Time, a *account) {
	if a.own != nil {
		share := 1 / float64(n.Members())
		a.own.accrue(now, share*a.rate, capacityOf(a.rate, a.burst, share))
	}
}

// syncOwn begins or ends the use of the own share of a customer.
func (n *Node) syncOwn(now time.Time, a *account) {
	switch {
	case !n.slots[a.slot].free:
		a.own = nil
	case a.own == nil:
		a.own = newBucket(now, capacityOf(a.rate, a.burst, 1/float64(n.Members())), n.phase())
	}
}

// asks returns the requests for tokens of the queued customers whose coordinator is l.
func (n *Node) asks(l *link, m *Message) []*schema.QuotaAsk {
	var asks []*schema.QuotaAsk
	rest := n.queue[:0]
	for _, a := range n.queue {
		if n.askable(a.slot) != l {
			rest = append(rest, a)
			continue
		}
		a.queued, a.asked, a.askedAt = false, true, m.sentAt
		asks = append(asks, a.ask(l.epoch))
		m.accounts = append(m.accounts, a)
		n.counts.Asked++
	}
	n.queue = rest
	return asks
}

func (a *account) ask(epoch uint64) *schema.QuotaAsk {
	// A request that only returns tokens or refunds wants none.
	want := max(a.waiting, a.target()-a.held(), 0)
	a.waiting = 0
	ask := schema.QuotaAsk_builder{Customer: a.hash, Want: uint32(want), Refunded: uint32(a.refunded)}
	if a.returnedEpoch == epoch {
		ask.Returned = uint32(a.returned)
	}
	a.returned, a.refunded = 0, 0
	return ask.Build()
}
