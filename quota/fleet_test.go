package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	testWindow = DefaultWindow
	testExcess = DefaultExcess
	testSlack  = DefaultSlack
	// testTimeout and testWait are the times that Service uses.
	testTimeout = requestTimeout
	testWait    = takeWait
	// frameBytes is what the connection adds to each message: method name, sequence number and two sizes.
	frameBytes = 18
)

// machine is one node of a fleet.
type machine struct {
	name        string
	node        *Node
	coordinator *Coordinator
	waiting     []*waiter
	inbox       []func(now time.Time)
	dead        bool
	paused      bool
	side        int
	// behind is the time that the clock of the machine did not count.
	behind time.Duration
	bytes  int
}

// waiter is a call that waits for tokens.
type waiter struct {
	load  *load
	until time.Time
}

// load is the calls of one customer: rate per second, in expectation, and what became of them.
type load struct {
	name                string
	quota, burst, rate  float64
	offered, ran, bad   int
	runs                []int
	settled, settledBad int
}

// fleet steps the state machines of many nodes in virtual time.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	step     int
	delay    int
	machines []*machine
	loads    []*load
	events   map[int][]func()
	// spread is the number of nodes that the calls of one customer come from at a time, for 300 ms; 0 for all.
	spread int
	// decideOther replaces the leases by another way of dividing quotas.
	decideOther func(m *machine, l *load) bool
	// loss is the share of the messages that are lost.
	loss float64
	// outage is set while no call runs. Calls are refunded 300 ms later.
	outage bool
	// first is the step from which refusals count: leases begin after one lease time.
	first int
}

func newFleet(nodes, delay int, loads ...*load) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(7, 11)), now: time.Unix(1000, 0), delay: delay, loads: loads, events: make(map[int][]func())}
	f.first = int((leaseTime(nodes) + 3*time.Second) / time.Millisecond)
	for i := range nodes {
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("node-%d", i)})
	}
	for _, m := range f.machines {
		f.restart(m)
	}
	return f
}

// view returns what nodes know; members may differ from the number of nodes.
func (f *fleet) view(members []*machine) *View {
	document := &schema.Document{}
	customers := make(map[string]*schema.Customer)
	for _, l := range f.loads {
		customers[l.name] = schema.Customer_builder{Rate: l.quota, Burst: l.burst}.Build()
	}
	document.SetCustomers(customers)
	document.SetPlaces(schema.Places_builder{Domains: map[string]*schema.Domain{"d": {}}}.Build())
	var records []*schema.Member
	for i, m := range members {
		records = append(records, schema.Member_builder{Instance: m.name, Domain: "d", Address: fmt.Sprint(i),
			State: schema.InstanceState_INSTANCE_STATE_SERVING}.Build())
	}
	return NewView(core.NewSnapshot(1, document, records))
}

func (f *fleet) update(v *View, machines ...*machine) {
	for _, m := range machines {
		m.node.Update(f.clock(m), v)
		m.coordinator.Update(f.clock(m), v)
	}
}

// restart gives a machine a new process.
func (f *fleet) restart(m *machine) {
	m.node = NewNode(m.name, f.random.Uint64(), NewTolerance(nil), f.random.Float64)
	m.coordinator = NewCoordinator(f.random.Uint64, f.random.Float64)
	m.inbox, m.waiting, m.dead = nil, nil, false
	f.update(f.view(f.machines), m)
}

func (f *fleet) clock(m *machine) time.Time { return f.now.Add(-m.behind) }

func (f *fleet) at(d time.Duration, do func()) {
	step := int(d / time.Millisecond)
	f.events[step] = append(f.events[step], do)
}

// later runs do at a machine after a number of steps. A paused machine runs it when it continues, a dead one never.
func (f *fleet) later(m *machine, steps int, do func(now time.Time)) {
	process := m.node
	f.events[f.step+steps] = append(f.events[f.step+steps], func() {
		if !m.dead && m.node == process {
			m.inbox = append(m.inbox, do)
		}
	})
}

// multiply changes the calls of all customers.
func (f *fleet) multiply(factor float64) {
	for _, l := range f.loads {
		l.rate *= factor
	}
}

// run steps the fleet to the time d after its start.
func (f *fleet) run(d time.Duration) {
	for ; f.step < int(d/time.Millisecond); f.step++ {
		f.now = f.now.Add(time.Millisecond)
		for _, do := range f.events[f.step] {
			do()
		}
		delete(f.events, f.step)
		f.arrive()
		for i, m := range f.machines {
			if !m.dead && !m.paused && f.decideOther == nil {
				f.drive(i, m)
			}
		}
	}
}

// arrive offers the calls of one millisecond to random nodes that live.
func (f *fleet) arrive() {
	for _, l := range f.loads {
		l.runs = append(l.runs, 0)
		for n := l.rate / 1000; n > 0; n-- {
			m := f.choose(l)
			if m.dead || m.paused || f.random.Float64() >= n {
				continue
			}
			l.offered++
			f.decide(m, &waiter{load: l, until: f.now.Add(testWait)}, false)
		}
	}
}

// choose returns the node that a call comes to.
func (f *fleet) choose(l *load) *machine {
	if f.spread == 0 {
		return f.machines[f.random.IntN(len(f.machines))]
	}
	place := xxhash.Sum64String(fmt.Sprint(l.name, f.step/300, f.random.IntN(f.spread)))
	return f.machines[place%uint64(len(f.machines))]
}

func (f *fleet) decide(m *machine, w *waiter, again bool) {
	verdict := Refused
	switch {
	case f.decideOther == nil:
		verdict, _ = m.node.Take(f.clock(m), w.load.name, again)
	case f.decideOther(m, w.load):
		verdict = Allowed
	}
	switch {
	case verdict == Allowed && f.outage:
		f.later(m, 300, func(now time.Time) { m.node.Refund(now, w.load.name) })
	case verdict == Allowed:
		w.load.ran++
		w.load.runs[f.step]++
	case verdict == Pending && f.now.Before(w.until):
		m.waiting = append(m.waiting, w)
	default:
		w.load.bad++
	}
	if f.step < f.first {
		w.load.settled, w.load.settledBad = w.load.offered, w.load.bad
	}
}

func (f *fleet) drive(i int, m *machine) {
	received := len(m.inbox) > 0
	for _, do := range m.inbox {
		do(f.clock(m))
	}
	m.inbox = nil
	due := (f.step+i)%25 == 0
	if due {
		m.node.Step(f.clock(m))
		m.coordinator.Step(f.clock(m))
	}
	waiting := m.waiting
	m.waiting = nil
	for _, w := range waiting {
		if received || due && !m.node.Asked(w.load.name) || !f.now.Before(w.until) {
			f.decide(m, w, true)
		} else {
			m.waiting = append(m.waiting, w)
		}
	}
	if !due && !received && len(m.waiting) == 0 {
		return
	}
	for _, message := range m.node.Outgoing(f.clock(m)) {
		f.send(m, message)
	}
}

// send carries a request and its reply. Between two sides of a partition both are lost.
func (f *fleet) send(from *machine, message *Message) {
	var to *machine
	for _, m := range f.machines {
		if m.name == message.To {
			to = m
		}
	}
	failed, replied := false, false
	f.later(from, int(testTimeout/time.Millisecond), func(now time.Time) {
		if failed = !replied; failed {
			from.node.Fail(now, message)
		}
	})
	delay := f.delay
	if to == from {
		delay = 0
	} else {
		from.bytes += proto.Size(message.Request) + frameBytes
	}
	if from.side != to.side || f.random.Float64() < f.loss {
		return
	}
	f.later(to, delay+1, func(now time.Time) {
		reply := to.coordinator.Serve(now, message.Request)
		if to != from {
			to.bytes += proto.Size(reply) + frameBytes
		}
		if from.side != to.side || f.random.Float64() < f.loss {
			return
		}
		f.later(from, delay+1, func(now time.Time) {
			if replied = !failed; replied {
				from.node.Receive(now, message, reply)
			}
		})
	})
}

// worst returns the largest number of runs in a window in relation to the bound, and the refused share of the calls after the
// leases began.
func (l *load) worst() (ratio, refused float64) {
	bound := (l.quota*testWindow.Seconds()+l.burst)*(1+testExcess) + testSlack
	sum, most := 0, 0
	for i, n := range l.runs {
		sum += n
		if i >= int(testWindow/time.Millisecond) {
			sum -= l.runs[i-int(testWindow/time.Millisecond)]
		}
		most = max(most, sum)
	}
	return float64(most) / bound, float64(l.bad-l.settledBad) / float64(max(1, l.offered-l.settled))
}

// checkBound checks the bound of each customer in every window.
func (f *fleet) checkBound(c *qt.C) {
	for _, l := range f.loads {
		ratio, _ := l.worst()
		c.Check(ratio <= 1, qt.IsTrue, qt.Commentf("%s ran %.2f of the bound in a window", l.name, ratio))
	}
}

// refused returns the refused share of the calls of all customers that stay within their quota, and of the first customer.
func (f *fleet) refused() (within, first float64) {
	bad, offered := 0, 0
	for _, l := range f.loads[1:] {
		bad += l.bad - l.settledBad
		offered += l.offered - l.settled
	}
	_, first = f.loads[0].worst()
	return float64(bad) / float64(max(1, offered)), first
}

// site returns the loads of the target deployment: one customer with factor times its quota, and 75 small ones that use half
// of theirs.
func site(factor float64) []*load {
	loads := []*load{{name: "hot", quota: 100, burst: 20, rate: 100 * factor}}
	for i := range 75 {
		quota := 5 + float64(i%10)
		loads = append(loads, &load{name: fmt.Sprintf("small-%d", i), quota: quota, burst: 10, rate: quota / 2})
	}
	return loads
}

func (f *fleet) report(t *testing.T) {
	within, first := f.refused()
	total, most := 0, 0
	for _, m := range f.machines {
		total += m.bytes
		most = max(most, m.bytes)
	}
	worst := 0.0
	for _, l := range f.loads {
		ratio, _ := l.worst()
		worst = max(worst, ratio)
	}
	hot, _ := f.loads[0].worst()
	seconds := float64(f.step) / 1000
	t.Logf("refused within the quota %.4f, first customer %.3f; worst window %.2f of the bound (hot %.2f); sent by a node %.0f B/s, busiest %.0f B/s",
		within, first, worst, hot, float64(total)/seconds/float64(len(f.machines)), float64(most)/seconds)
}
