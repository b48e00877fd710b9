package beacon_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"verbenareel/beacon"
	"verbenareel/core"
	"verbenareel/fakes"
	"verbenareel/schema"
)

type source struct{ name string }

func (s source) Instance() string { return s.name }

func (s source) Load() core.LoadReport {
	return core.LoadReport{InFlight: 3, Queued: 1, Limit: 18, Pace: 1.25, BasePace: 1, StartRate: 22, StartsLeft: 5, State: schema.InstanceState_INSTANCE_STATE_COLD}
}

type snapshots struct{ snapshot *core.Snapshot }

func (s snapshots) Snapshot() *core.Snapshot { return s.snapshot }

// receiver records the reports and digests that arrive.
type receiver struct {
	mu           sync.Mutex
	reports      map[uint64]core.LoadReport
	lastSender   string
	lastRevision uint64
}

func (r *receiver) HandleReport(instance uint64, load core.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[instance] = load
}

func (r *receiver) Digest() (revision, manifest uint64, confirmed uint32) { return 7, 77, 5 }

func (r *receiver) HandleDigest(from string, revision, _ uint64, _ uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSender, r.lastRevision = from, revision
}

func (r *receiver) load(name string) (core.LoadReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load, ok := r.reports[core.InstanceHash(name)]
	return load, ok
}

func member(t testing.TB, name, domain string) *schema.Member {
	address, err := fakes.NewAddress()
	qt.Assert(t, err, qt.IsNil)
	return schema.Member_builder{
		Instance: name, Service: "sheets", Domain: domain, Address: address, Incarnation: 1,
		State: schema.InstanceState_INSTANCE_STATE_SERVING,
	}.Build()
}

// startBeacon runs the beacon of a member until the end of the test.
func startBeacon(t testing.TB, self *schema.Member, all []*schema.Member) *receiver {
	document := schema.Document_builder{Services: map[string]*schema.Service{"sheets": {}}}.Build()
	r := &receiver{reports: make(map[uint64]core.LoadReport)}
	b, err := beacon.New(self, self.GetAddress(), 5*time.Millisecond, snapshots{core.NewSnapshot(1, document, all)}, source{self.GetInstance()}, r, r,
		clockwork.NewRealClock())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = b.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		<-b.Done()
	})
	return r
}

func eventually(t testing.TB, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
	}
}

// TestReports guards against reports that lose a field in transit, and against nodes of other failure domains that get
// no reports.
func TestReports(t *testing.T) {
	all := []*schema.Member{member(t, "sheets-1", "a"), member(t, "sheets-2", "a"), member(t, "sheets-3", "b")}
	var receivers []*receiver
	for _, m := range all {
		receivers = append(receivers, startBeacon(t, m, all))
	}
	for i, r := range receivers {
		for j, m := range all {
			if i == j {
				continue
			}
			eventually(t, func() bool { _, ok := r.load(m.GetInstance()); return ok })
			load, _ := r.load(m.GetInstance())
			want := source{}.Load()
			want.Revision = 7
			qt.Check(t, load, qt.Equals, want)
		}
		_, own := r.load(all[i].GetInstance())
		qt.Check(t, own, qt.IsFalse)
	}
	receivers[0].mu.Lock()
	defer receivers[0].mu.Unlock()
	qt.Check(t, receivers[0].lastRevision, qt.Equals, uint64(7))
	qt.Check(t, receivers[0].lastSender == all[1].GetAddress() || receivers[0].lastSender == all[2].GetAddress(), qt.IsTrue)
}

// TestStrayDatagrams guards against foreign datagrams that stop the beacon or are taken for reports.
func TestStrayDatagrams(t *testing.T) {
	self := member(t, "sheets-1", "a")
	r := startBeacon(t, self, []*schema.Member{self})
	conn, err := net.Dial("udp", self.GetAddress())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	valid, err := proto.Marshal(schema.LoadReport_builder{
		Instance: core.InstanceHash("sheets-2"), Load: schema.Load_builder{InFlight: 1}.Build(),
	}.Build())
	qt.Assert(t, err, qt.IsNil)
	withoutLoad, err := proto.Marshal(schema.LoadReport_builder{Instance: core.InstanceHash("sheets-3")}.Build())
	qt.Assert(t, err, qt.IsNil)
	for _, datagram := range [][]byte{{}, []byte("\xff\xff\xff"), make([]byte, 2000), valid[:len(valid)-1], withoutLoad, valid} {
		_, err := conn.Write(datagram)
		qt.Assert(t, err, qt.IsNil)
	}
	eventually(t, func() bool { _, ok := r.load("sheets-2"); return ok })
	_, ok := r.load("sheets-3")
	qt.Check(t, ok, qt.IsFalse)
}

// TestListen guards against a node that cannot start because the port of its advertised address is in use on its own
// machine: the address may belong to a proxy on another machine that forwards to the node. A soak run with nodes behind
// proxies found this.
func TestListen(t *testing.T) {
	occupied, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = occupied.Close() }()
	self := member(t, "sheets-1", "a")
	self.SetAddress(occupied.LocalAddr().String())
	listen := member(t, "sheets-2", "a").GetAddress()
	b, err := beacon.New(self, listen, time.Second, snapshots{}, source{}, &receiver{}, &receiver{}, clockwork.NewRealClock())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.Addr(), qt.Equals, listen)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Check(t, b.Run(ended), qt.IsNil)
}
