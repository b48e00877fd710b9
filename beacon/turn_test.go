package beacon

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestTurn guards against reports that grow with the square of the fleet, and against nodes that never get one.
func TestTurn(t *testing.T) {
	var all []netip.AddrPort
	for i := range 3*maxTargets - 5 {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600))
	}
	b := &Beacon{}
	qt.Check(t, b.turn(all[:maxTargets]), qt.HasLen, maxTargets)
	seen := make(map[netip.AddrPort]bool)
	for range 3 {
		chosen := b.turn(all)
		qt.Check(t, chosen, qt.HasLen, maxTargets)
		for _, to := range chosen {
			seen[to] = true
		}
	}
	qt.Check(t, len(seen), qt.Equals, len(all))
}

// TestFollowed guards against nodes that hear often of too many or too few instances of other failure domains.
func TestFollowed(t *testing.T) {
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
	heard, told := make(map[string]int), 0
	for _, r := range records {
		b := &Beacon{self: r, snapshots: fixed{snapshot}, source: named{r.GetInstance()}}
		b.resolve()
		qt.Check(t, len(b.near), qt.Equals, nodes/domains-1)
		qt.Check(t, len(b.far), qt.Equals, nodes-nodes/domains)
		told += len(b.followers)
		for _, to := range b.followers {
			heard[to.String()]++
		}
	}
	qt.Check(t, told, qt.Equals, nodes*follow)
	for address, count := range heard {
		qt.Check(t, count, qt.Equals, follow, qt.Commentf(address))
	}
}

type fixed struct{ snapshot *core.Snapshot }

func (f fixed) Snapshot() *core.Snapshot { return f.snapshot }

type named struct{ name string }

func (n named) Instance() string { return n.name }

func (n named) Load() core.LoadReport { return core.LoadReport{} }
