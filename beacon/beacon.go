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
	"verbenareel/meter"
	"verbenareel/schema"
)

const (
	// Of each service, a node subscribes to the reports of localSubscriptions instances in its own failure domain and of
	// remoteSubscriptions instances in other ones. A fresh view of some instances is worth more than an old view of all.
	localSubscriptions  = 6
	remoteSubscriptions = 6
	// The same in a large fleet, in which there are more instances to choose from.
	largeLocalSubscriptions  = 4
	largeRemoteSubscriptions = 3
	// Subscribers in other failure domains get one report in remoteReportEvery.
	remoteReportEvery = 4
	// One report in allNodesEvery also goes to nodes that do not subscribe, and so does the first one after a confirmation
	// of the document. maxOthers limits these nodes for each report; successive reports go to different ones.
	allNodesEvery = 20
	maxOthers     = 12
	// maxTargets limits the subscribers that one report is sent to; successive reports go to different ones.
	maxTargets = 48
	// targetsInterval is the shortest time between two updates of the targets. Members change many times a second while a
	// fleet starts, and ranking them takes time in proportion to the nodes times the instances of a service.
	targetsInterval = time.Second
	// maxPeers limits the addresses whose counters of bytes are kept.
	maxPeers = 4096
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
	// local and remote are the addresses of the nodes in this node's failure domain and in other ones that subscribe to
	// this instance, as of snapshot; others are those of all other nodes.
	snapshot              *core.Snapshot
	updatedAt             time.Time
	local, remote, others []netip.AddrPort
	// distant are those of nodes in other domains that get only the reports after a confirmation.
	distant []netip.AddrPort
	// remoteByDomain holds those of remote by their domain.
	remoteByDomain map[string][]netip.AddrPort
	// peerDomains holds the domains of the other instances of this node's service.
	peerDomains map[string]bool
	// targets is a buffer reused by send.
	targets                     []netip.AddrPort
	subscriberCursor, allCursor cursor
	sent                        prometheus.Counter
	received                    prometheus.Counter
	failed                      prometheus.Counter
	stopped                     atomic.Bool
	bytes                       *meter.Meter
	// summaries is nil if load reports cross failure domains.
	summaries Summaries
	// peers holds the counters of bytes by address.
	peers map[netip.AddrPort]*meter.Peer
}

// Option configures a Beacon.
type Option func(*Beacon)

// WithLogger sets the logger. The default discards all entries.
func WithLogger(logger *zap.Logger) Option { return func(b *Beacon) { b.logger = logger } }

// WithRegisterer registers the counters.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(b *Beacon) { registerer.MustRegister(b.sent, b.received, b.failed) }
}

// WithMeter sets the meter that counts the bytes of the reports that are sent. The default counts nothing.
func WithMeter(m *meter.Meter) Option { return func(b *Beacon) { b.bytes = m } }

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
		peers:     make(map[netip.AddrPort]*meter.Peer),
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
		wait := b.snapshots.Snapshot().ReportInterval(b.interval)
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
	b.targets = b.chooseTargets(b.targets[:0], confirmed)
	if len(b.targets) == 0 {
		return
	}
	load.Revision, load.Incarnation, load.Latency = revision, 0, 0
	report := schema.LoadReport_builder{
		Instance:    core.InstanceHash(b.source.Instance()),
		Sequence:    b.sequence,
		Load:        load.Message(),
		Manifest:    manifest,
		ConfirmedMs: confirmed,
	}.Build()
	b.addSummary(report)
	datagram, err := proto.Marshal(report)
	if err != nil {
		b.failed.Inc()
		return
	}
	b.sendTo(b.targets, datagram)
}

// chooseTargets appends the nodes that get the current report to targets.
func (b *Beacon) chooseTargets(targets []netip.AddrPort, confirmed uint32) []netip.AddrPort {
	due := [][]netip.AddrPort{b.local}
	switch {
	case b.newlyConfirmed(confirmed):
		due = append(due, b.remote)
	case b.crossesNow():
		due = b.appendRemote(due)
	}
	targets = b.subscriberCursor.appendNext(targets, maxTargets, due...)
	switch {
	case b.newlyConfirmed(confirmed):
		return b.allCursor.appendNext(targets, maxOthers, b.others, b.distant)
	case b.sequence%allNodesEvery == 0:
		return b.allCursor.appendNext(targets, maxOthers, b.others)
	}
	return targets
}

// cursor selects different addresses each time.
type cursor int

// appendNext appends the next addresses of the lists, which count as one list, to targets: at most limit of them.
func (c *cursor) appendNext(targets []netip.AddrPort, limit int, lists ...[]netip.AddrPort) []netip.AddrPort {
	all := slices.Concat(lists...)
	for range min(limit, len(all)) {
		*c = (*c + 1) % cursor(len(all))
		targets = append(targets, all[*c])
	}
	return targets
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
		b.countBytes(to, len(datagram))
	}
}

// countBytes counts the bytes of a report that was sent to an address.
func (b *Beacon) countBytes(to netip.AddrPort, size int) {
	peer, ok := b.peers[to]
	if !ok {
		if len(b.peers) == maxPeers {
			clear(b.peers)
		}
		peer = b.bytes.Peer(to.String())
		b.peers[to] = peer
	}
	peer.Sent(b.clock.Now(), meter.Report, size)
}

// updateTargets updates the addresses of the other nodes if the snapshot changed, at most once per targetsInterval.
func (b *Beacon) updateTargets() {
	snapshot, now := b.snapshots.Snapshot(), b.clock.Now()
	if snapshot == nil || snapshot == b.snapshot || now.Sub(b.updatedAt) < targetsInterval {
		return
	}
	b.snapshot, b.updatedAt = snapshot, now
	b.local, b.remote, b.others, b.distant = b.local[:0], b.remote[:0], b.others[:0], b.distant[:0]
	servicePeers := b.servicePeers(snapshot)
	b.peerDomains, b.remoteByDomain = domainsOf(servicePeers), make(map[string][]netip.AddrPort)
	seen := map[string]bool{b.self.GetAddress(): true}
	for name := range snapshot.Document().GetServices() {
		for _, i := range snapshot.Instances(name) {
			address, err := netip.ParseAddrPort(i.Address())
			if err != nil || seen[i.Address()] || i.State() == schema.InstanceState_INSTANCE_STATE_GONE {
				continue
			}
			seen[i.Address()] = true
			subscribes := b.isSubscriber(snapshot, i, servicePeers)
			switch {
			case subscribes && i.Domain() == b.self.GetDomain():
				b.local = append(b.local, address)
			case subscribes:
				b.remote = append(b.remote, address)
				b.remoteByDomain[i.Domain()] = append(b.remoteByDomain[i.Domain()], address)
			case b.crossesRarely(i):
				b.distant = append(b.distant, address)
			default:
				b.others = append(b.others, address)
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

// isSubscriber reports whether a node subscribes to the reports of this instance. The node ranks the instances of a service
// in its own failure domain, and those in other ones, by a hash of its own and their addresses, so that different nodes
// subscribe to different instances.
func (b *Beacon) isSubscriber(snapshot *core.Snapshot, subscriber *core.Instance, peers []*core.Instance) bool {
	if b.crossesRarely(subscriber) {
		return b.subscribesToSummary(snapshot, subscriber, peers)
	}
	large := snapshot.Large()
	ownHash := pairHash(subscriber.Address(), b.self.GetAddress())
	local := subscriber.Domain() == b.self.GetDomain()
	limit := subscriptions(local, large)
	for _, peer := range peers {
		if peer.Address() == subscriber.Address() {
			continue
		}
		isLocal := peer.Domain() == subscriber.Domain()
		if isLocal == local && pairHash(subscriber.Address(), peer.Address()) < ownHash {
			limit--
		}
		if limit == 0 {
			return false
		}
	}
	return true
}

// subscriptions returns the number of instances of one service that a node subscribes to.
func subscriptions(local, large bool) int {
	switch {
	case local && large:
		return largeLocalSubscriptions
	case local:
		return localSubscriptions
	case large:
		return largeRemoteSubscriptions
	}
	return remoteSubscriptions
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
	b.handleSummary(report)
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	b.gossip.HandleDigest(address.String(), load.Revision, report.GetManifest(), report.GetConfirmedMs())
}
