// Package beacon sends the load reports of a node's guard to the other nodes as UDP datagrams, and receives theirs. A
// report is useful only while it is recent, so lost reports are not retransmitted.
package beacon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// One report in remoteReportEvery also goes to nodes in other failure domains.
	remoteReportEvery = 4
	// Of each service, a node gets these reports only from subscriptionsPerNode instances in other failure domains. The
	// remaining ones send it one report in allRemoteEvery.
	subscriptionsPerNode = 6
	allRemoteEvery       = 20
	// maxTargets limits the nodes that one report is sent to; in a larger fleet, successive reports go to different
	// nodes.
	maxTargets = 48
	// maxDatagramSize limits a received report in bytes. Reports have about 40 bytes.
	maxDatagramSize = 512
	// idleInterval is how often Run wakes up while sending is disabled.
	idleInterval = 500 * time.Millisecond
)

// Source provides the load report of the node's own guard.
type Source interface {
	Instance() string
	Load() core.LoadReport
}

// Sink receives the load reports of other guards.
type Sink interface {
	HandleReport(instance uint64, load core.LoadReport)
}

// Gossip exchanges digests of the accepted document with other nodes. Load reports carry the digests.
type Gossip interface {
	Digest() (revision, manifest uint64, confirmed uint32)
	HandleDigest(from string, revision, manifest uint64, confirmed uint32)
}

// Beacon sends and receives load reports.
type Beacon struct {
	conn      *net.UDPConn
	self      *schema.Member
	snapshots core.Snapshots
	source    Source
	sink      Sink
	gossip    Gossip
	clock     core.Clock
	interval  time.Duration
	logger    *zap.Logger
	done      chan struct{}
	sequence  uint64
	// sameDomain and otherDomains are the addresses of the other nodes in this node's failure domain and in other ones,
	// as of snapshot. subscribers are the nodes of otherDomains that subscribe to this instance.
	snapshot                              *core.Snapshot
	sameDomain, otherDomains, subscribers []netip.AddrPort
	// targets is a buffer reused by send. lastTarget is the index of the last target chosen by rotateTargets.
	targets    []netip.AddrPort
	lastTarget int
	sent       prometheus.Counter
	received   prometheus.Counter
	failed     prometheus.Counter
	stopped    atomic.Bool
}

// Option configures a Beacon.
type Option func(*Beacon)

// WithLogger sets the logger. The default discards all entries.
func WithLogger(logger *zap.Logger) Option { return func(b *Beacon) { b.logger = logger } }

// WithRegisterer registers the counters.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(b *Beacon) { registerer.MustRegister(b.sent, b.received, b.failed) }
}

// New listens for datagrams on the address listen (IP:port), which may differ from the address in self that other nodes
// use. Reports go to the addresses of the other nodes in the snapshot: to those of the same failure domain at every
// interval, to others less often. An interval of 0 disables sending.
func New(self *schema.Member, listen string, interval time.Duration, snapshots core.Snapshots, source Source, sink Sink, gossip Gossip, clock core.Clock, opts ...Option) (*Beacon, error) {
	listenAddress, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("resolve listen address: %w", err)
	}
	conn, err := net.ListenUDP("udp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("open UDP socket: %w", err)
	}
	b := &Beacon{
		conn:      conn,
		self:      self,
		snapshots: snapshots,
		source:    source,
		sink:      sink,
		gossip:    gossip,
		clock:     clock,
		interval:  interval,
		logger:    zap.NewNop(),
		done:      make(chan struct{}),
		sent:      newCounter("verbenareel_beacon_sent_total", "Load reports sent."),
		received:  newCounter("verbenareel_beacon_received_total", "Load reports received."),
		failed:    newCounter("verbenareel_beacon_failed_total", "Load reports that could not be sent or understood."),
	}
	for _, o := range opts {
		o(b)
	}
	return b, nil
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// Addr returns the address that the beacon listens on.
func (b *Beacon) Addr() string { return b.conn.LocalAddr().String() }

// Done returns a channel that is closed when Run has returned.
func (b *Beacon) Done() <-chan struct{} { return b.done }

// Run sends and receives reports until ctx ends.
func (b *Beacon) Run(ctx context.Context) error {
	defer close(b.done)
	var group conc.WaitGroup
	defer group.Wait()
	defer func() {
		b.stopped.Store(true)
		_ = b.conn.Close()
	}()
	group.Go(b.receive)
	for {
		wait := b.interval
		if wait <= 0 {
			wait = idleInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-b.clock.After(wait):
		}
		if b.interval > 0 {
			b.send()
		}
	}
}

// send sends one report of the node's own guard to the nodes that are due to get it.
func (b *Beacon) send() {
	b.updateTargets()
	b.sequence++
	load := b.source.Load()
	revision, manifest, confirmed := b.gossip.Digest()
	remote := b.remoteTargets(confirmed)
	if len(b.sameDomain)+len(remote) == 0 {
		return
	}
	load.Revision, load.Incarnation, load.Latency = revision, 0, 0
	datagram, err := proto.Marshal(schema.LoadReport_builder{
		Instance:    core.InstanceHash(b.source.Instance()),
		Sequence:    b.sequence,
		Load:        load.Message(),
		Manifest:    manifest,
		ConfirmedMs: confirmed,
	}.Build())
	if err != nil {
		b.failed.Inc()
		return
	}
	b.sendTo(b.rotateTargets(append(append(b.targets[:0], b.sameDomain...), remote...)), datagram)
}

// remoteTargets returns the nodes in other failure domains that get the current report.
func (b *Beacon) remoteTargets(confirmed uint32) []netip.AddrPort {
	switch {
	case b.sequence%allRemoteEvery == 0 || b.newlyConfirmed(confirmed):
		return b.otherDomains
	case b.sequence%remoteReportEvery == 0:
		return b.subscribers
	}
	return nil
}

// rotateTargets returns the targets of the current report: all of them, or the next maxTargets if there are more.
func (b *Beacon) rotateTargets(targets []netip.AddrPort) []netip.AddrPort {
	b.targets = targets
	if len(targets) <= maxTargets {
		return targets
	}
	chosen := make([]netip.AddrPort, 0, maxTargets)
	for range maxTargets {
		b.lastTarget = (b.lastTarget + 1) % len(targets)
		chosen = append(chosen, targets[b.lastTarget])
	}
	return chosen
}

// newlyConfirmed reports whether the document was confirmed since the last report. All nodes are told immediately, so
// that they need not read it themselves.
func (b *Beacon) newlyConfirmed(confirmed uint32) bool {
	return confirmed > 0 && time.Duration(confirmed)*time.Millisecond <= b.interval
}

func (b *Beacon) sendTo(targets []netip.AddrPort, datagram []byte) {
	for _, to := range targets {
		if _, err := b.conn.WriteToUDPAddrPort(datagram, to); err != nil {
			b.failed.Inc()
			continue
		}
		b.sent.Inc()
	}
}

// updateTargets updates the addresses of the other nodes if the snapshot changed.
func (b *Beacon) updateTargets() {
	snapshot := b.snapshots.Snapshot()
	if snapshot == nil || snapshot == b.snapshot {
		return
	}
	b.snapshot = snapshot
	b.sameDomain, b.otherDomains, b.subscribers = b.sameDomain[:0], b.otherDomains[:0], b.subscribers[:0]
	servicePeers := b.servicePeers(snapshot)
	seen := map[string]bool{b.self.GetAddress(): true}
	for name := range snapshot.Document().GetServices() {
		for _, i := range snapshot.Instances(name) {
			address, err := netip.ParseAddrPort(i.Address())
			if err != nil || seen[i.Address()] || i.State() == schema.InstanceState_INSTANCE_STATE_GONE {
				continue
			}
			seen[i.Address()] = true
			if i.Domain() == b.self.GetDomain() {
				b.sameDomain = append(b.sameDomain, address)
				continue
			}
			b.otherDomains = append(b.otherDomains, address)
			if b.isSubscriber(i, servicePeers) {
				b.subscribers = append(b.subscribers, address)
			}
		}
	}
}

// servicePeers returns the other instances of this node's service.
func (b *Beacon) servicePeers(snapshot *core.Snapshot) []*core.Instance {
	own := snapshot.Instance(b.source.Instance())
	if own == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Instances(own.Service())), func(i *core.Instance) bool {
		return i.Address() == b.self.GetAddress() || i.State() >= schema.InstanceState_INSTANCE_STATE_LEAVING
	})
}

// isSubscriber reports whether a node in another failure domain is to get one in remoteReportEvery reports of this
// instance. The node ranks the instances of other failure domains by a hash of its own and their addresses, so that
// different nodes subscribe to different instances.
func (b *Beacon) isSubscriber(subscriber *core.Instance, peers []*core.Instance) bool {
	ownHash := pairHash(subscriber.Address(), b.self.GetAddress())
	rank := 0
	for _, peer := range peers {
		if peer.Domain() != subscriber.Domain() && pairHash(subscriber.Address(), peer.Address()) < ownHash {
			rank++
		}
	}
	return rank < subscriptionsPerNode
}

func pairHash(subscriber, publisher string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subscriber)
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(publisher)
	return d.Sum64()
}

// receive handles reports until the connection is closed.
func (b *Beacon) receive() {
	var buffer [maxDatagramSize]byte
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer[:])
		switch {
		case err == nil:
			b.handleDatagram(from, buffer[:n])
		case b.stopped.Load() || errors.Is(err, net.ErrClosed):
			return
		default:
			b.failed.Inc()
			b.logger.Debug("failed to receive load report", zap.Error(err))
		}
	}
}

func (b *Beacon) handleDatagram(from netip.AddrPort, datagram []byte) {
	report := &schema.LoadReport{}
	if err := proto.Unmarshal(datagram, report); err != nil || !report.HasLoad() {
		b.failed.Inc()
		return
	}
	b.received.Inc()
	load := core.NewLoadReport(report.GetLoad())
	b.sink.HandleReport(report.GetInstance(), load)
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	b.gossip.HandleDigest(address.String(), load.Revision, report.GetManifest(), report.GetConfirmedMs())
}
