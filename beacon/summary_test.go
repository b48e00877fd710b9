package beacon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/schema"
)

// fixedSummary implements Summaries. It returns itself and keeps what arrives.
type fixedSummary struct {
	sent, received core.Summary
	quiet          string
}

func (f *fixedSummary) Summary() core.Summary { return f.sent }

func (f *fixedSummary) HandleSummary(_, _ uint64, summary core.Summary) { f.received = summary }

func (f *fixedSummary) Quiet(domain string) bool { return domain == f.quiet }

// TestSummarySubscribers guards against as many reports across domains as without summaries, against nodes that hear of none
// of the instances in another domain, and against far domains before near ones.
func TestSummarySubscribers(t *testing.T) {
	c := qt.New(t)
	const nodes, domains = 60, 6
	places := schema.Places_builder{Regions: map[string]*schema.Region{
		"near": schema.Region_builder{RemoteDelay: durationpb.New(time.Second)}.Build(), "far": {},
	}, Domains: map[string]*schema.Domain{}}.Build()
	var records []*schema.Member
	for i := range nodes {
		domain := fmt.Sprintf("domain-%d", i%domains)
		places.GetDomains()[domain] = schema.Domain_builder{Region: []string{"near", "far"}[i%domains/4]}.Build()
		records = append(records, schema.Member_builder{
			Instance: fmt.Sprintf("sheets-%d", i), Service: "sheets", Domain: domain, Address: fmt.Sprintf("10.0.0.%d:7600", i),
			Incarnation: 1, State: schema.InstanceState_INSTANCE_STATE_SERVING,
		}.Build())
	}
	document := schema.Document_builder{Places: places, Services: map[string]*schema.Service{"sheets": {}}}.Build()
	snapshot := core.NewSnapshot(1, document, records)
	heard := make(map[netip.AddrPort]map[string]int)
	for index, r := range records {
		b := &Beacon{self: r, snapshots: fixedSnapshot{snapshot}, source: namedSource{r.GetInstance()}, clock: clockwork.NewFakeClock(),
			summaries: &fixedSummary{}}
		b.updateTargets()
		c.Check(len(b.local)+len(b.remote)+len(b.others)+len(b.distant), qt.Equals, nodes-1)
		for _, to := range b.remote {
			if heard[to] == nil {
				heard[to] = make(map[string]int)
			}
			heard[to][r.GetDomain()]++
		}
		for _, to := range b.others {
			c.Check(int(to.Addr().As4()[3])%domains, qt.Equals, index%domains, qt.Commentf("a report now and then to another domain"))
		}
	}
	c.Assert(heard, qt.HasLen, nodes)
	for to, from := range heard {
		c.Check(from, qt.HasLen, summaryDomains, qt.Commentf("%v", to))
		for domain, count := range from {
			c.Check(count, qt.Equals, 1, qt.Commentf("%v hears %v", to, domain))
			far := int(to.Addr().As4()[3])%domains >= 4
			c.Check(far || domain < "domain-4", qt.IsTrue, qt.Commentf("%v hears %v", to, domain))
		}
	}
}

// TestQuietDomain guards against summaries that a domain does not need, and against a quiet domain that hears nothing at all.
func TestQuietDomain(t *testing.T) {
	b := &Beacon{interval: time.Second, summaries: &fixedSummary{quiet: "b"}, remoteByDomain: map[string][]netip.AddrPort{
		"b": {netip.MustParseAddrPort("10.0.0.2:1")}, "c": {netip.MustParseAddrPort("10.0.0.3:1")},
	}}
	sent := make(map[string]int)
	for b.sequence = range uint64(remoteReportEvery * quietEvery) {
		for _, to := range b.chooseTargets(nil, 0) {
			sent[to.Addr().String()]++
		}
	}
	qt.Check(t, sent, qt.DeepEquals, map[string]int{"10.0.0.2": 1, "10.0.0.3": quietEvery})
}

// TestSummary guards against summaries that lose a field in transit, do not fit into a datagram, or come with each report.
func TestSummary(t *testing.T) {
	c := qt.New(t)
	f := &fixedSummary{sent: core.Summary{Neighbors: []core.Neighbor{
		{Instance: 1 << 31, InUse: 3, Limit: 18, Pace: 1.25}, {Instance: 7, Limit: 9, Pace: 5}, {Instance: 8, Limit: 9, Pace: 1},
	}}}
	for range 64 {
		f.sent.Demands = append(f.sent.Demands, 1<<20)
	}
	b := &Beacon{summaries: f}
	for sequence, want := range map[uint64]core.Summary{
		remoteReportEvery * demandEvery: f.sent,
		remoteReportEvery:               {Neighbors: f.sent.Neighbors},
		remoteReportEvery + 1:           {},
	} {
		f.received, b.sequence = core.Summary{}, sequence
		report := schema.LoadReport_builder{Instance: 1, Load: namedSource{}.Load().Message()}.Build()
		b.addSummary(report)
		datagram, err := proto.Marshal(report)
		c.Assert(err, qt.IsNil)
		c.Check(len(datagram) < maxDatagramSize, qt.IsTrue)
		sent := &schema.LoadReport{}
		c.Assert(proto.Unmarshal(datagram, sent), qt.IsNil)
		b.handleSummary(sent)
		c.Check(f.received, qt.DeepEquals, want)
	}
	torn := schema.LoadReport_builder{Neighbors: schema.Neighbors_builder{Instance: []uint32{1, 2}, Limit: []uint32{1}}.Build()}.Build()
	f.received = core.Summary{}
	b.handleSummary(torn)
	c.Check(f.received, qt.DeepEquals, core.Summary{})
}
