package quota

import (
	"time"

	"verbenareel/schema"
)

const (
	// maxWait bounds how far tokens that have not come yet are promised to refused nodes, which ask again earlier.
	maxWait = 2 * time.Second
	// While nodes are refused, refunds are bounded to refundRate of the rate, and at once to refundBurst of the burst and
	// minRefunds. That is 0.1 s of the rate in a window of 5 s. refundCalm is the time without a refusal after which all
	// refunds count.
	refundRate  = 0.02
	refundBurst = 0.125
	minRefunds  = 4
	refundCalm  = 5 * time.Second
	// longestWait bounds the time until the first token of a small quota.
	longestWait = time.Minute
	// stepInterval is the longest time between two steps of a Coordinator with leases.
	stepInterval = 25 * time.Millisecond
)

// Coordinator hands out tokens for the shares that nodes lease to it. It is not safe for concurrent use.
type Coordinator struct {
	random func() uint64
	phase  func() float64
	pause  pauseDetector
	// epoch identifies the leases since begin. It changes when all are dropped.
	epoch   uint64
	begin   time.Time
	stepped time.Time
	// members is the number of members in the coordinator's own snapshot, and known the highest that it or a node with a
	// lease knows.
	members   int
	known     int
	leases    map[uint64]*lease
	fractions [slotCount]float64
	customers map[uint64]customer
	pools     map[uint64]*pool
	counts    Counts
}

// lease holds the shares of one node.
type lease struct {
	process  uint64
	sequence uint64
	slots    slotSet
	members  int
	end      time.Time
}

// pool holds the tokens of one customer.
type pool struct {
	bucket
	// refunds bounds the refunds while nodes are refused, which was last so at deniedAt.
	refunds  bucket
	deniedAt time.Time
	// next is the time until which the tokens to come are already promised to refused nodes.
	next time.Time
}

// NewCoordinator returns a Coordinator without leases. random provides its epochs, and phase numbers from 0 to 1.
func NewCoordinator(random func() uint64, phase func() float64) *Coordinator {
	c := &Coordinator{random: random, phase: phase}
	c.reset(time.Time{})
	return c
}

// Update applies the customers of a view. Tokens beyond a lowered quota are dropped.
func (c *Coordinator) Update(now time.Time, v *View) {
	c.Step(now)
	c.accrue(now)
	c.customers = make(map[uint64]customer, len(v.customers))
	c.members = v.members
	for _, x := range v.customers {
		c.customers[x.hash] = x
	}
	for hash := range c.pools {
		if _, ok := c.customers[hash]; !ok {
			delete(c.pools, hash)
		}
	}
	c.sumFractions(now)
	c.accrue(now)
}

// reset drops all leases and tokens.
func (c *Coordinator) reset(now time.Time) {
	c.epoch = c.random() | 1
	c.begin = now
	c.leases = make(map[uint64]*lease)
	c.pools = make(map[uint64]*pool)
	c.fractions = [slotCount]float64{}
}

// Step ends leases and adds tokens. It drops everything after a pause: the nodes may have given their shares elsewhere. It
// reports whether it did.
func (c *Coordinator) Step(now time.Time) bool {
	paused := c.pause.step(now)
	if paused || c.begin.IsZero() {
		c.reset(now)
		c.stepped = now
		return paused
	}
	if now.Sub(c.stepped) >= stepInterval {
		c.expire(now)
	}
	return false
}

// expire removes the leases that have ended.
func (c *Coordinator) expire(now time.Time) {
	c.stepped = now
	if len(c.leases) == 0 && len(c.pools) == 0 {
		return
	}
	c.accrue(now)
	for from, l := range c.leases {
		if !now.Before(l.end) {
			delete(c.leases, from)
		}
	}
	c.sumFractions(now)
}

// accrue adds the tokens that the shares held so far have yielded.
func (c *Coordinator) accrue(now time.Time) {
	for hash, p := range c.pools {
		x := c.customers[hash]
		share := c.fractions[x.slot]
		p.accrue(now, share*x.rate, capacityOf(x.rate, x.burst, share))
	}
}

// sumFractions adds up the leased shares of each slot, and reduces the tokens of slots whose sum fell. Nodes may know different
// numbers of members; each share is the part by the highest of these.
func (c *Coordinator) sumFractions(now time.Time) {
	before := c.fractions
	c.known = c.members
	for _, l := range c.leases {
		c.known = max(c.known, l.members)
	}
	part := 1 / float64(max(1, c.known))
	c.fractions = [slotCount]float64{}
	for _, l := range c.leases {
		for slot := range c.fractions {
			if l.slots.has(slot) {
				c.fractions[slot] = min(1, c.fractions[slot]+part)
			}
		}
	}
	for hash, p := range c.pools {
		slot := c.customers[hash].slot
		p.scale(before[slot], c.fractions[slot])
		if c.fractions[slot] == 0 {
			delete(c.pools, hash)
		}
	}
	c.addPools(now)
}

// addPools begins to collect tokens for each customer with a leased share.
func (c *Coordinator) addPools(now time.Time) {
	for hash, x := range c.customers {
		share := c.fractions[x.slot]
		if c.pools[hash] == nil && share > 0 {
			c.pools[hash] = &pool{bucket: *newBucket(now, capacityOf(x.rate, x.burst, share), c.phase())}
		}
	}
}

// Serve handles the request of a node.
func (c *Coordinator) Serve(now time.Time, r *schema.QuotaRequest) *schema.QuotaReply {
	c.Step(now)
	current := r.GetEpoch() == c.epoch
	if current && r.GetLease() {
		c.renew(now, r)
	}
	var grants []*schema.QuotaGrant
	for _, ask := range r.GetAsks() {
		if current {
			grants = append(grants, c.grant(now, ask))
		}
	}
	reply := schema.QuotaReply_builder{Grants: grants}
	if !current {
		reply.Epoch = c.epoch
	}
	if !current || r.GetFrom() != 0 {
		reply.Stamp = uint64(now.Sub(c.begin).Microseconds()) + 1
	}
	if known := uint32(c.known); known > r.GetMembers() && r.GetFrom() != 0 {
		reply.Members = known
	}
	return reply.Build()
}

// renew replaces the leases of a node. They begin at the stamp of an earlier reply, which the node has received since, so a
// request that arrives late extends nothing that the node has given up. Requests may overtake each other.
func (c *Coordinator) renew(now time.Time, r *schema.QuotaRequest) {
	old := c.leases[r.GetFrom()]
	if old != nil && old.process == r.GetProcess() && old.sequence >= r.GetSequence() {
		return
	}
	l := &lease{process: r.GetProcess(), sequence: r.GetSequence(), slots: slotSet(r.GetSlots()), members: int(max(1, r.GetMembers()))}
	l.end = c.begin.Add(time.Duration(r.GetStamp()-1) * time.Microsecond).Add(leaseTime(l.members))
	if !now.Before(l.end) {
		return
	}
	if old == nil || old.slots != l.slots || old.members != l.members {
		c.accrue(now)
		c.leases[r.GetFrom()] = l
		c.sumFractions(now)
		return
	}
	c.leases[r.GetFrom()] = l
}

// grant returns as many of the wanted tokens as there are.
func (c *Coordinator) grant(now time.Time, ask *schema.QuotaAsk) *schema.QuotaGrant {
	c.counts.Asked++
	x := c.customers[ask.GetCustomer()]
	share := c.fractions[x.slot]
	p := c.pools[x.hash]
	if p == nil || share <= 0 {
		return schema.QuotaGrant_builder{WaitUs: uint32(retryTime.Microseconds())}.Build()
	}
	p.level += float64(ask.GetReturned()) + p.refund(now, x, share, float64(ask.GetRefunded()))
	p.accrue(now, share*x.rate, capacityOf(x.rate, x.burst, share))
	tokens := p.take(int(ask.GetWant()))
	c.counts.Granted += uint64(tokens)
	if tokens > 0 || ask.GetWant() == 0 {
		return schema.QuotaGrant_builder{Tokens: uint32(tokens)}.Build()
	}
	c.counts.Refused++
	p.deniedAt = now
	wait := p.promise(now, share*x.rate, float64(ask.GetWant()))
	return schema.QuotaGrant_builder{WaitUs: uint32(wait.Microseconds())}.Build()
}

// refund returns how many of the calls that did not run are returned to the bucket: all of them, unless nodes were refused lately.
// Callers that are beyond their quota then use a refund at once for another call, so during an outage the tokens on their way
// would grow with its length, and all of them would be used in the first window after it.
func (p *pool) refund(now time.Time, x customer, share, count float64) float64 {
	p.refunds.accrue(now, share*x.rate*refundRate, max(1, share*(x.burst*refundBurst+minRefunds)))
	if now.Sub(p.deniedAt) > refundCalm {
		return count
	}
	return float64(p.refunds.take(int(count)))
}

// promise returns the time after which a node that was refused should ask again. Nodes are told successive times, at which
// the tokens that each of them wants will have come.
func (p *pool) promise(now time.Time, rate, want float64) time.Duration {
	first := now.Add(p.wait(rate))
	if p.next.Before(first) {
		p.next = first
	}
	seconds := min(want/rate, maxWait.Seconds())
	promised := p.next
	p.next = p.next.Add(time.Duration(seconds * float64(time.Second)))
	limit := first.Add(maxWait)
	if p.next.After(limit) {
		p.next = limit
	}
	return promised.Sub(now)
}

// Counts returns the decisions so far.
func (c *Coordinator) Counts() Counts { return c.counts }

// Leases returns the number of nodes that lease shares to the coordinator.
func (c *Coordinator) Leases() int { return len(c.leases) }
