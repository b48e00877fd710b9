package peers

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/poison"
	"verbenareel/schema"
)

// The models take seconds with the race detector, so the default number of checks is low. For a long run: go test
// ./peers -run TestState -rapid.checks=1000
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "25"); err != nil {
		panic(err)
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// network is an in-memory transport. It marshals and unmarshals each message like a real one, and counts bytes.
type network struct {
	mutex sync.RWMutex
	nodes map[string]core.Peer
	// bytes is the total sent by all nodes. Each byte is also received once.
	bytes atomic.Int64
	sent  atomic.Int64
}

// link is the core.PeerTransport of one node.
type link struct{ *network }

var errUnreachable = errors.New("peer is unreachable")

// transfer returns a copy of the message as the receiver decodes it.
func transfer[M proto.Message](n *network, message M) M {
	data, err := proto.Marshal(message)
	copied := message.ProtoReflect().New().Interface()
	if err == nil {
		err = proto.Unmarshal(data, copied)
	}
	if err != nil {
		panic(err)
	}
	n.sent.Add(1)
	n.bytes.Add(int64(len(data)))
	return copied.(M)
}

func call[Q, R proto.Message](l link, to string, request Q, f func(core.Peer, Q) R) (R, error) {
	l.mutex.RLock()
	peer := l.nodes[to]
	l.mutex.RUnlock()
	if peer == nil {
		var zero R
		return zero, core.NewTransportError(to, schema.Reason_REASON_UNREACHABLE, false, errUnreachable)
	}
	return transfer(l.network, f(peer, transfer(l.network, request))), nil
}

func (l link) Sync(_ context.Context, to string, r *schema.SyncRequest) (*schema.SyncReply, error) {
	return call(l, to, r, core.Peer.Sync)
}

func (l link) Buckets(_ context.Context, to string, r *schema.BucketsRequest) (*schema.BucketsReply, error) {
	return call(l, to, r, core.Peer.Buckets)
}

func (l link) Manifest(_ context.Context, to string, r *schema.ManifestRequest) (*schema.ManifestReply, error) {
	return call(l, to, r, core.Peer.Manifest)
}

func (l link) Sections(_ context.Context, to string, r *schema.SectionsRequest) (*schema.SectionsReply, error) {
	return call(l, to, r, core.Peer.Sections)
}

func (l link) Suspects(_ context.Context, to string, r *schema.SuspectsRequest) (*schema.SuspectsReply, error) {
	return call(l, to, r, core.Peer.Suspects)
}

// fakePlatform is an in-memory core.Platform.
type fakePlatform struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	text     []byte
	list     []*schema.Member
	calls    int
	// bytes is the approximate size of all responses.
	bytes int
}

// responseBytes is the approximate size of a request and the headers of its response.
const responseBytes = 250

func newFakePlatform() *fakePlatform { return &fakePlatform{changed: make(chan struct{})} }

func (p *fakePlatform) put(text []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.revision++
	p.text = text
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) Document(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, error) {
	p.mutex.Lock()
	p.calls++
	revision, text, changed := p.revision, p.text, p.changed
	p.mutex.Unlock()
	if revision <= after && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
		p.mutex.Lock()
		revision, text = p.revision, p.text
		p.mutex.Unlock()
	}
	if revision <= after {
		text = nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.bytes += responseBytes + len(text)
	return revision, text, nil
}

func (p *fakePlatform) Members(context.Context) ([]*schema.Member, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	p.bytes += responseBytes + listBytesPerInstance*len(p.list)
	return p.list, nil
}

func nodeRecord(i int) *schema.Member {
	return schema.Member_builder{
		Instance: fmt.Sprintf("sheets-%d", i), Service: "sheets", Domain: fmt.Sprintf("domain-%d", i%4),
		Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: uint64(i + 1),
	}.Build()
}

// testDocument returns a valid document with about the given number of rules. Documents with different notes differ.
func testDocument(note, rules int) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "deployment = \"test %d\"\n[places.regions.r]\ndelay = \"1ms\"\n", note)
	for i := range 4 {
		fmt.Fprintf(&text, "[places.domains.domain-%d]\nregion = \"r\"\n", i)
	}
	text.WriteString("[services.sheets]\nslots = 18\ncold_limit = 3\nwarm_time = \"10s\"\nconnections = 260\nprobes_per_second = 10\n")
	for i := range rules {
		fmt.Fprintf(&text, "[[rules]]\npath = \"/sheets/%d/\"\nservice = \"sheets\"\nrepeatable = true\n", i)
	}
	text.WriteString("[[rules]]\npath = \"/\"\nservice = \"sheets\"\n")
	return text.Bytes()
}

// fleet is a group of running exchanges.
type fleet struct {
	network *network
	nodes   []*Exchange
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

func startFleet(n int, platform func(i int) core.Platform, opts func(i int) []Option) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{network: &network{nodes: make(map[string]core.Peer)}, cancel: cancel}
	for i := range n {
		record := nodeRecord(i)
		e := New(record, platform(i), link{f.network}, clockwork.NewRealClock(), opts(i)...)
		f.network.nodes[record.GetAddress()] = e
		f.nodes = append(f.nodes, e)
	}
	for _, e := range f.nodes {
		f.group.Go(func() { _ = e.Run(ctx) })
	}
	return f
}

func (f *fleet) stop() {
	f.cancel()
	f.group.Wait()
}

// eventually waits until every node satisfies the condition and returns how long that took.
func (f *fleet) eventually(c *qt.C, limit time.Duration, what string, condition func(*Exchange) bool) time.Duration {
	c.Helper()
	start := time.Now()
	for {
		met := 0
		for _, e := range f.nodes {
			if condition(e) {
				met++
			}
		}
		if met == len(f.nodes) {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			c.Fatalf("%s: reached by %d of %d nodes after %v", what, met, len(f.nodes), limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func atRevision(revision uint64) func(*Exchange) bool {
	return func(e *Exchange) bool { return e.Snapshot() != nil && e.Snapshot().Revision() == revision }
}

// TestExchangeSpreads guards against document changes that reach only the nodes that read the platform, and against
// member records that do not reach every node.
func TestExchangeSpreads(t *testing.T) {
	c := qt.New(t)
	platform := newFakePlatform()
	platform.put(testDocument(1, 20))
	seeds := []string{nodeRecord(0).GetAddress()}
	f := startFleet(14, func(i int) core.Platform {
		if i >= 2 {
			return nil
		}
		return platform
	}, func(int) []Option { return []Option{WithSeeds(seeds)} })
	defer f.stop()
	f.eventually(c, 10*time.Second, "first revision", atRevision(1))
	f.eventually(c, 10*time.Second, "members", func(e *Exchange) bool { return len(e.Snapshot().Instances("sheets")) == 14 })
	platform.put(testDocument(2, 20))
	c.Log("change in force after", f.eventually(c, 4*time.Second, "second revision", atRevision(2)))
	f.nodes[3].Announce(schema.InstanceState_INSTANCE_STATE_LEAVING)
	c.Log("leaving known after", f.eventually(c, 3*time.Second, "leaving", func(e *Exchange) bool {
		return e.Snapshot().Instance("sheets-3").State() == schema.InstanceState_INSTANCE_STATE_LEAVING
	}))
}

// TestExchangeEnds guards against snapshots that are published without a change, suspects that do not reach every
// instance of the service, and a final announcement that is lost when the process ends.
func TestExchangeEnds(t *testing.T) {
	c := qt.New(t)
	const nodes = 4
	tables := make([]*poison.Table, nodes)
	seeds := []string{nodeRecord(0).GetAddress()}
	f := startFleet(nodes-1, func(int) core.Platform { return nil }, func(i int) []Option {
		tables[i] = poison.New(16, time.Minute)
		return []Option{WithSeeds(seeds), WithSuspects(tables[i]), WithDocument(1, testDocument(1, 1))}
	})
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	record := nodeRecord(nodes - 1)
	e := New(record, nil, link{f.network}, clockwork.NewRealClock(), WithSeeds(seeds))
	f.network.mutex.Lock()
	f.network.nodes[record.GetAddress()] = e
	f.network.mutex.Unlock()
	c.Assert(e.Sync(&schema.SyncRequest{}).GetRevision(), qt.Equals, uint64(0))
	f.group.Go(func() { _ = e.Run(ctx) })
	all := func(e *Exchange) bool { return e.Snapshot() != nil && len(e.Snapshot().Instances("sheets")) == nodes }
	f.eventually(c, 5*time.Second, "members", all)
	waitFor(c, 5*time.Second, "members of the last node", func() bool { return all(e) && e.Fresh() })
	c.Assert(e.Run(ctx), qt.ErrorMatches, "exchange is already running")

	published, syncs := e.Status().Counters.Published, e.Status().Counters.SyncsSent
	waitFor(c, 5*time.Second, "further exchanges", func() bool { return e.Status().Counters.SyncsSent > syncs+4 })
	c.Assert(e.Status().Counters.Published, qt.Equals, published)

	suspects := []*schema.Suspect{schema.Suspect_builder{Fingerprint: 7, Crash: 9, Crashes: 1, ExpiresMs: 60_000}.Build()}
	e.PushSuspects(ctx, "sheets", suspects)
	for _, table := range tables[:nodes-1] {
		c.Assert(table.Known(time.Now(), 7), qt.IsTrue)
	}

	e.Announce(schema.InstanceState_INSTANCE_STATE_GONE)
	cancel()
	<-e.Done()
	c.Assert(e.Status().Revision, qt.Equals, uint64(1))
	f.eventually(c, 3*time.Second, "end of the last node", func(e *Exchange) bool {
		return e.Snapshot().Instance(record.GetInstance()).State() == schema.InstanceState_INSTANCE_STATE_GONE
	})
}

func waitFor(c *qt.C, limit time.Duration, what string, condition func() bool) {
	c.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			c.Fatalf("timed out waiting for %s after %v", what, limit)
		}
	}
}
