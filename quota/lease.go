package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenareel/schema"
)

// helloInterval is the time between two signs of life asked of a failed coordinator.
const helloInterval = 500 * time.Millisecond

// slot is the state of the node's shares of the customers in a slot.
type slot struct {
	// holder is the coordinator that may count the shares until end, or nil. Without a holder the shares are unused until
	// end, and then free.
	holder *link
	end    time.Time
	free   bool
	// sequence is that of the last request that leased the slot.
	sequence uint64
	// early is the time of the last use of the shares before the end of a lease.
	early time.Time
}

// link is the node's state about one coordinator.
type link struct {
	name string
	// epoch and stamp are those of the last reply, which was received at echoAt and is the reply to replied.
	epoch, stamp uint64
	echoAt       time.Time
	replied      uint64
	// lastReply is the time of the last reply, and failures counts the failed requests since.
	lastReply time.Time
	failures  int
	down      bool
	next      time.Time
	// sent is the set of slots in the last lease, and wanted the one to lease now.
	sent, wanted slotSet
	pending      bool
}

// Message is a request to a coordinator. It is passed to Receive or Fail exactly once.
type Message struct {
	// To is the name of the coordinator.
	To string
	// Request is the message to send.
	Request *schema.QuotaRequest

	sentAt     time.Time
	sequence   uint64
	generation int
	slots      slotSet
	accounts   []*account
}

// link returns the state about a coordinator.
func (n *Node) link(now time.Time, name string) *link {
	l := n.links[name]
	if l == nil {
		l = &link{name: name, lastReply: now}
		n.links[name] = l
		n.sortLinks()
	}
	return l
}

// preferred returns the first coordinator of a slot that has not failed, or nil.
func (n *Node) preferred(slot int) *link {
	for _, l := range n.ranked[slot] {
		if !l.down {
			return l
		}
	}
	return nil
}

// askable returns the coordinator to ask for tokens of the customers in a slot, or nil.
func (n *Node) askable(slot int) *link {
	if l := n.slots[slot].holder; l != nil && !l.down {
		return l
	}
	return n.preferred(slot)
}

// rankLinks applies the ranking of the view, and removes the state about members that coordinate nothing any more.
func (n *Node) rankLinks(now time.Time) {
	for i, names := range n.view.ranking {
		n.ranked[i] = nil
		for _, name := range names {
			n.ranked[i] = append(n.ranked[i], n.link(now, name))
		}
	}
	maps.DeleteFunc(n.links, func(_ string, l *link) bool {
		held := slices.ContainsFunc(n.slots[:], func(s slot) bool { return s.holder == l })
		return !held && !slices.Contains(n.ranked[0], l)
	})
	n.sortLinks()
}

func (n *Node) sortLinks() {
	n.order = slices.SortedFunc(maps.Values(n.links), func(a, b *link) int { return cmp.Compare(a.name, b.name) })
}

// endLeases frees the slots whose lease has ended.
func (n *Node) endLeases(now time.Time) {
	for i := range n.slots {
		s := &n.slots[i]
		if n.started && !s.free && !now.Before(s.end) {
			n.freeSlot(now, i)
		}
	}
}

func (n *Node) freeSlot(now time.Time, index int) {
	n.slots[index].holder = nil
	n.slots[index].free = true
	n.syncSlot(now, index)
}

func (n *Node) syncSlot(now time.Time, index int) {
	for _, a := range n.list {
		if a.slot == index {
			n.syncOwn(now, a)
		}
	}
}

// Outgoing returns the messages that are due: requests for tokens, leases and their renewals, and signs of life.
func (n *Node) Outgoing(now time.Time) []*Message {
	if len(n.view.customers) == 0 {
		return nil
	}
	n.planSlots()
	var messages []*Message
	for _, l := range n.order {
		if m := n.compose(now, l, l.wanted); m != nil {
			messages = append(messages, m)
		}
	}
	return messages
}

// planSlots determines the slots to lease to each coordinator. A slot that another coordinator still holds is first released. A
// slot that the process before this one may have leased has no holder and is leased at once: the coordinator replaces the lease
// of that process, and it has ended if the coordinator did.
func (n *Node) planSlots() {
	for _, l := range n.order {
		l.wanted = 0
	}
	for i := range n.slots {
		if !n.view.used.has(i) {
			continue
		}
		s := &n.slots[i]
		if l := n.preferred(i); l != nil && (s.holder == nil || s.holder == l) {
			l.wanted |= 1 << i
		}
	}
}

// compose returns the message that is due to a coordinator, or nil.
func (n *Node) compose(now time.Time, l *link, wanted slotSet) *Message {
	changed := wanted != l.sent && l.epoch != 0 && !l.pending
	due := !now.Before(l.next)
	needed := wanted != 0 || l.sent != 0 || l.down
	if len(n.queue) == 0 && !changed && (!due || !needed) {
		return nil
	}
	m := &Message{To: l.name, sentAt: now, generation: n.generation}
	asks := n.asks(l, m)
	if len(asks) == 0 && !changed && (!due || !needed) {
		return nil
	}
	n.sequence++
	m.sequence = n.sequence
	request := schema.QuotaRequest_builder{Epoch: l.epoch, Asks: asks}
	if due || changed || l.epoch == 0 {
		l.next = now.Add(n.renewalInterval(l))
		l.pending = true
		n.lease(now, l, m, &request, wanted)
	}
	m.Request = request.Build()
	return m
}

// lease adds the leases to a request, and asks for a stamp. If the last reply is so old that they would soon end, the request only asks for a newer
// one.
func (n *Node) lease(now time.Time, l *link, m *Message, request *schema.QuotaRequest_builder, wanted slotSet) {
	request.From = n.from
	request.Process = n.process
	request.Sequence = n.sequence
	request.Stamp = l.stamp
	request.Members = uint32(n.known.count)
	if l.epoch == 0 || l.down {
		return
	}
	length := n.leaseTime()
	if now.Sub(l.echoAt) > length/2 {
		l.sent = 0
		return
	}
	request.Lease = true
	request.Slots = uint64(wanted)
	m.slots = wanted
	n.recordLease(now, l, wanted)
}

func (n *Node) renewalInterval(l *link) time.Duration {
	if l.down {
		return helloInterval
	}
	return time.Duration(float64(n.leaseTime()) / renewals)
}

// leaseTime returns the length of the node's leases. The coordinator derives it from the number of members in the request.
func (n *Node) leaseTime() time.Duration { return leaseTime(n.known.count) }

// recordLease records that the coordinator may count the shares from now on, whether or not a reply comes. The lease begins at
// the stamp that the request repeats, which the coordinator made before echoAt.
func (n *Node) recordLease(now time.Time, l *link, wanted slotSet) {
	l.sent = wanted
	end := l.echoAt.Add(n.leaseTime() + leaseMargin)
	for i := range n.slots {
		if !wanted.has(i) {
			continue
		}
		s := &n.slots[i]
		s.holder = l
		s.sequence = n.sequence
		if end.After(s.end) || s.free {
			s.end = end
		}
		if s.free {
			s.free = false
			n.syncSlot(now, i)
		}
	}
}

// Receive applies the reply to a message.
func (n *Node) Receive(now time.Time, m *Message, r *schema.QuotaReply) {
	n.checkPause(now)
	l := n.link(now, m.To)
	l.failures, l.down, l.lastReply = 0, false, now
	if r.GetStamp() != 0 && m.sequence > l.replied {
		l.replied = m.sequence
		n.heard.note(now, int(r.GetMembers()), heardHold)
		n.recordReply(now, l, m, cmp.Or(r.GetEpoch(), m.Request.GetEpoch()), r.GetStamp())
	}
	for i, a := range m.accounts {
		a.asked = false
		if m.generation != n.generation || i >= len(r.GetGrants()) {
			continue
		}
		g := r.GetGrants()[i]
		a.add(grant{count: int(g.GetTokens()), until: m.sentAt.Add(tokenLife), epoch: m.Request.GetEpoch()})
		if g.GetWaitUs() > 0 {
			a.deny(now, time.Duration(g.GetWaitUs())*time.Microsecond)
		}
	}
}

// recordReply applies the part of a reply that concerns leases. A slot is free once the coordinator has handled a later request
// that does not lease it, or has dropped all leases.
func (n *Node) recordReply(now time.Time, l *link, m *Message, epoch, stamp uint64) {
	dropped := l.epoch != 0 && epoch != l.epoch
	if dropped || l.epoch == 0 {
		l.sent = 0
		l.next = now
	}
	l.pending = false
	l.epoch, l.stamp, l.echoAt = epoch, stamp, now
	for i := range n.slots {
		s := &n.slots[i]
		released := m.Request.GetLease() && !m.slots.has(i) && s.sequence < m.sequence
		if s.holder == l && (dropped || released) {
			n.freeSlot(now, i)
		}
	}
}

// Fail records that a message got no reply in time.
func (n *Node) Fail(now time.Time, m *Message) {
	l := n.link(now, m.To)
	for _, a := range m.accounts {
		a.asked = false
	}
	l.failures++
	l.pending = false
	if !l.down {
		l.next = minTime(l.next, now.Add(retryTime))
	}
	silent := l.epoch == 0 || now.Sub(l.lastReply) >= failTime
	if l.failures < 2 || !silent || l.down {
		return
	}
	l.down = true
	l.next = now.Add(helloInterval)
	n.releaseEarly(now, l)
}

// releaseEarly frees the slots of a failed coordinator before the leases have ended, at most once within a window: a
// coordinator that is only cut off hands out the shares until then.
func (n *Node) releaseEarly(now time.Time, l *link) {
	l.sent = 0
	if !n.tolerance.allowsEarlyUse(n.known.count) {
		return
	}
	for i := range n.slots {
		s := &n.slots[i]
		if s.holder == l && (s.early.IsZero() || now.Sub(s.early) >= n.tolerance.window) {
			s.early = now
			n.counts.Early++
			n.freeSlot(now, i)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Coordinators returns the coordinators that hold shares of the node.
func (n *Node) Coordinators() []string {
	var names []string
	for i := range n.slots {
		if l := n.slots[i].holder; l != nil {
			names = append(names, l.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
