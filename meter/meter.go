// Package meter counts the bytes that a node exchanges with other nodes, by cause and by whether they cross a failure
// domain. It does no I/O: the packages that send and receive call it.
package meter

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/core"
)

// Cause is why bytes are exchanged.
type Cause int

// The causes. Body covers the chunks of large request bodies and their confirmations; Ticket covers all other messages
// that belong to a call, such as cancellations.
const (
	Request Cause = iota
	Answer
	Body
	Ticket
	Report
	Gossip
	Quota
	Ping
	Other
	causeCount
)

var causeNames = [causeCount]string{"request", "answer", "body", "ticket", "report", "gossip", "quota", "ping", "other"}

// direction tells whether this node sent or received the bytes.
type direction int

const (
	sent direction = iota
	received
	directionCount
)

var directionNames = [directionCount]string{"sent", "received"}

// crossing tells whether the other node is in another failure domain.
type crossing int

const (
	unknownDomain crossing = iota
	ownDomain
	otherDomain
	crossingCount
)

var crossingNames = [crossingCount]string{"unknown", "own", "other"}

// resolveInterval is the time after which the domain of an unknown address is looked up again. A node knows no members
// when it starts.
const resolveInterval = time.Second

// Meter counts the bytes of one node. An RPC exchange is counted by its client in both directions and a datagram by its
// sender, so the sum over all nodes counts each byte once. It is safe for concurrent use.
type Meter struct {
	domain   string
	snapshot func() *core.Snapshot
	counters [crossingCount][directionCount][causeCount]prometheus.Counter
}

// New returns the Meter of a node in the failure domain; snapshot returns the current members. registerer may be nil.
func New(domain string, snapshot func() *core.Snapshot, registerer prometheus.Registerer) *Meter {
	m := &Meter{domain: domain, snapshot: snapshot}
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenareel_node_bytes_total",
		Help: "Bytes exchanged with other nodes, without transport headers, by cause, direction and failure domain of the other node.",
	}, []string{"cause", "direction", "domain"})
	if registerer != nil {
		registerer.MustRegister(vector)
	}
	for x := range m.counters {
		for d := range m.counters[x] {
			for c := range m.counters[x][d] {
				m.counters[x][d][c] = vector.WithLabelValues(causeNames[c], directionNames[d], crossingNames[x])
			}
		}
	}
	return m
}

// Peer returns the counters for the node at an RPC address. It returns nil, whose methods do nothing, for a nil Meter.
func (m *Meter) Peer(address string) *Peer {
	if m == nil {
		return nil
	}
	return &Peer{meter: m, address: address}
}

// Peer counts the bytes exchanged with one other node.
type Peer struct {
	meter    *Meter
	address  string
	crossing atomic.Int32
	resolved atomic.Int64
}

// Sent counts bytes that were sent to the node.
func (p *Peer) Sent(now time.Time, cause Cause, size int) { p.add(now, sent, cause, size) }

// Received counts bytes that were received from the node.
func (p *Peer) Received(now time.Time, cause Cause, size int) { p.add(now, received, cause, size) }

func (p *Peer) add(now time.Time, d direction, cause Cause, size int) {
	if p == nil || size <= 0 {
		return
	}
	p.meter.counters[p.resolve(now)][d][cause].Add(float64(size))
}

// resolve returns whether the node is in another domain. A known domain is kept, since an address does not move.
func (p *Peer) resolve(now time.Time) crossing {
	known := crossing(p.crossing.Load())
	last := p.resolved.Load()
	if known != unknownDomain || now.UnixNano()-last < int64(resolveInterval) || !p.resolved.CompareAndSwap(last, now.UnixNano()) {
		return known
	}
	known = p.meter.find(p.address)
	p.crossing.Store(int32(known))
	return known
}

// find looks up the domain of an address among the members.
func (m *Meter) find(address string) crossing {
	snapshot := m.snapshot()
	for _, service := range snapshot.ServiceNames() {
		for _, instance := range snapshot.Instances(service) {
			if instance.Address() == address {
				return m.crossingTo(instance.Domain())
			}
		}
	}
	return unknownDomain
}

func (m *Meter) crossingTo(domain string) crossing {
	if domain == m.domain {
		return ownDomain
	}
	return otherDomain
}
