package beacon

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestTargetRotation guards against traffic that grows with the square of the fleet size, and against nodes that never
// get a report.
func TestTargetRotation(t *testing.T) {
	var all []netip.AddrPort
	for i := range 3*maxTargets - 5 {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600))
	}
	b := &Beacon{}
	qt.Check(t, b.rotateTargets(all[:maxTargets]), qt.HasLen, maxTargets)
	seen := make(map[netip.AddrPort]bool)
	for range 3 {
		chosen := b.rotateTargets(all)
		qt.Check(t, chosen, qt.HasLen, maxTargets)
		for _, to := range chosen {
			seen[to] = true
		}
	}
	qt.Check(t, len(seen), qt.Equals, len(all))
}

// TestSubscribers guards against nodes that subscribe to too many or too few instances of other failure domains.
func TestSubscribers(t *testing.T) {
	const nodes, domains = 60, 4
	var records []*schema.Member
	for i := range nodes {
		records = append(records, schema.Member_builder{
			Instance: fmt.Sprintf("sheets-%d", i), Service: "sheets", Domain: fmt.Sprintf("domain-%d", i%domains),
			Address: fmt.Sprintf("10.0.0.%d:7600", i), Incarnation: 1, State: schema.InstanceState_INSTANCE_STATE_SERVING,
		}.Build())
	}
	document := schema.Document_builder{Services: map[string]*schema.Service{"sheets": {}}}.Build()
	snapshot := core.NewSnapshot(1, document, records)
	subscriptions, total := make(map[string]int), 0
	for _, r := range records {
		b := &Beacon{self: r, snapshots: fixedSnapshot{snapshot}, source: namedSource{r.GetInstance()}}
		b.updateTargets()
		qt.Check(t, len(b.sameDomain), qt.Equals, nodes/domains-1)
		qt.Check(t, len(b.otherDomains), qt.Equals, nodes-nodes/domains)
		total += len(b.subscribers)
		for _, to := range b.subscribers {
			subscriptions[to.String()]++
		}
	}
	qt.Check(t, total, qt.Equals, nodes*subscriptionsPerNode)
	for address, count := range subscriptions {
		qt.Check(t, count, qt.Equals, subscriptionsPerNode, qt.Commentf(address))
	}
}

type fixedSnapshot struct{ snapshot *core.Snapshot }

func (f fixedSnapshot) Snapshot() *core.Snapshot { return f.snapshot }

type namedSource struct{ name string }

func (n namedSource) Instance() string { return n.name }

func (n namedSource) Load() core.LoadReport { return core.LoadReport{} }
