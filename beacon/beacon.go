// Package beacon sends the load reports of a guard to the other nodes as datagrams, and receives theirs. A report is only
// worth anything while it is fresh, so a lost one is not sent again.
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
	// farEvery is how many reports go to the nodes of the own failure domain for one that goes to those of others.
	farEvery = 4
	// follow is how many instances of a service in other failure domains a node hears of as often; of the others it hears in
	// one of restEvery reports.
	follow    = 6
	restEvery = 20
	// maxTargets bounds the nodes that one report goes to; in a larger fleet they take turns.
	maxTargets = 48
	// maxDatagram bounds a report, which has about 40 bytes.
	maxDatagram = 512
	// idlePeriod is the time between two looks at whether reports are to be sent.
	idlePeriod = 500 * time.Millisecond
)

// Source gives the report of the node's own guard.
type Source interface {
	Instance() string
	Load() core.LoadReport
}

// Sink takes the reports of other guards.
type Sink interface {
	Report(instance uint64, load core.LoadReport)
}

// Standing is what nodes tell each other of the document in force.
type Standing interface {
	Digest() (revision, manifest uint64, confirmed uint32)
	HandleDigest(from string, revision, manifest uint64, confirmed uint32)
}

// Beacon sends and receives reports.
type Beacon struct {
	conn      *net.UDPConn
	self      *schema.Member
	snapshots core.Snapshots
	source    Source
	sink      Sink
	standing  Standing
	clock     core.Clock
	interval  time.Duration
	logger    *zap.Logger
	done      chan struct{}
	sequence  uint64
	// near and far are the addresses of the other nodes in the own failure domain and in others, by the snapshot they were
	// made from; followers are those of far that hear of this instance as often.
	snapshot             *core.Snapshot
	near, far, followers []netip.AddrPort
	// targets is the buffer of turn, and next the last of the targets that had their turn.
	targets  []netip.AddrPort
	next     int
	sent     prometheus.Counter
	received prometheus.Counter
	failed   prometheus.Counter
	stopped  atomic.Bool
}

// Option changes a Beacon.
type Option func(*Beacon)

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option { return func(b *Beacon) { b.logger = logger } }

// WithRegisterer registers the counters.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(b *Beacon) { registerer.MustRegister(b.sent, b.received, b.failed) }
}

// New listens for datagrams on an address, as IP:port, which others may know as that of self. Reports go to the addresses of the other nodes in the snapshot: to those
// of the same failure domain every interval, to others less often.
func New(self *schema.Member, listen string, interval time.Duration, snapshots core.Snapshots, source Source, sink Sink, standing Standing, clock core.Clock, opts ...Option) (*Beacon, error) {
	local, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("address for load reports: %w", err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listen for load reports: %w", err)
	}
	b := &Beacon{
		conn:      conn,
		self:      self,
		snapshots: snapshots,
		source:    source,
		sink:      sink,
		standing:  standing,
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

// Done is closed when Run has returned.
func (b *Beacon) Done() <-chan struct{} { return b.done }

// Run sends and receives until ctx ends.
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
			wait = idlePeriod
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

// send sends the report of the own guard to each other node.
func (b *Beacon) send() {
	b.resolve()
	b.sequence++
	load := b.source.Load()
	revision, manifest, confirmed := b.standing.Digest()
	far := b.remote(confirmed)
	if len(b.near)+len(far) == 0 {
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
	b.sendTo(b.turn(append(append(b.targets[:0], b.near...), far...)), datagram)
}

// remote returns the nodes in other failure domains that get this report.
func (b *Beacon) remote(confirmed uint32) []netip.AddrPort {
	switch {
	case b.sequence%restEvery == 0 || b.fresh(confirmed):
		return b.far
	case b.sequence%farEvery == 0:
		return b.followers
	}
	return nil
}

// turn returns the targets of this report: all of them, or the next maxTargets if there are more.
func (b *Beacon) turn(targets []netip.AddrPort) []netip.AddrPort {
	b.targets = targets
	if len(targets) <= maxTargets {
		return targets
	}
	chosen := make([]netip.AddrPort, 0, maxTargets)
	for range maxTargets {
		b.next = (b.next + 1) % len(targets)
		chosen = append(chosen, targets[b.next])
	}
	return chosen
}

// fresh reports whether the document was confirmed since the last report. All nodes are told at once, so that they do not
// read it themselves.
func (b *Beacon) fresh(confirmed uint32) bool {
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

// resolve updates the addresses of the other nodes.
func (b *Beacon) resolve() {
	snapshot := b.snapshots.Snapshot()
	if snapshot == nil || snapshot == b.snapshot {
		return
	}
	b.snapshot = snapshot
	b.near, b.far, b.followers = b.near[:0], b.far[:0], b.followers[:0]
	peers := b.peers(snapshot)
	seen := map[string]bool{b.self.GetAddress(): true}
	for name := range snapshot.Document().GetServices() {
		for _, i := range snapshot.Instances(name) {
			address, err := netip.ParseAddrPort(i.Address())
			if err != nil || seen[i.Address()] || i.State() == schema.InstanceState_INSTANCE_STATE_GONE {
				continue
			}
			seen[i.Address()] = true
			if i.Domain() == b.self.GetDomain() {
				b.near = append(b.near, address)
				continue
			}
			b.far = append(b.far, address)
			if b.followed(i, peers) {
				b.followers = append(b.followers, address)
			}
		}
	}
}

// peers returns the other instances of the service of this node.
func (b *Beacon) peers(snapshot *core.Snapshot) []*core.Instance {
	own := snapshot.Instance(b.source.Instance())
	if own == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Instances(own.Service())), func(i *core.Instance) bool {
		return i.Address() == b.self.GetAddress() || i.State() >= schema.InstanceState_INSTANCE_STATE_LEAVING
	})
}

// followed reports whether a node of another failure domain hears of this instance as often as of few: its order of the
// instances that are far from it is a hash of both addresses, so that each node follows others.
func (b *Beacon) followed(by *core.Instance, peers []*core.Instance) bool {
	own := pairHash(by.Address(), b.self.GetAddress())
	before := 0
	for _, peer := range peers {
		if peer.Domain() != by.Domain() && pairHash(by.Address(), peer.Address()) < own {
			before++
		}
	}
	return before < follow
}

func pairHash(by, of string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(by)
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(of)
	return d.Sum64()
}

// receive takes reports until the connection is closed.
func (b *Beacon) receive() {
	var buffer [maxDatagram]byte
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer[:])
		switch {
		case err == nil:
			b.take(from, buffer[:n])
		case b.stopped.Load() || errors.Is(err, net.ErrClosed):
			return
		default:
			b.failed.Inc()
			b.logger.Debug("cannot receive a load report", zap.Error(err))
		}
	}
}

func (b *Beacon) take(from netip.AddrPort, datagram []byte) {
	report := &schema.LoadReport{}
	if err := proto.Unmarshal(datagram, report); err != nil || !report.HasLoad() {
		b.failed.Inc()
		return
	}
	b.received.Inc()
	load := core.NewLoadReport(report.GetLoad())
	b.sink.Report(report.GetInstance(), load)
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	b.standing.HandleDigest(address.String(), load.Revision, report.GetManifest(), report.GetConfirmedMs())
}
