package beacon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

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
	var c cursor
	qt.Check(t, c.appendNext(nil, maxTargets, all[:maxTargets]), qt.HasLen, maxTargets)
	seen := make(map[netip.AddrPort]bool)
	for range 3 {
		chosen := c.appendNext(nil, maxTargets, all[:maxTargets], all[maxTargets:])
		qt.Check(t, chosen, qt.HasLen, maxTargets)
		for _, to := range chosen {
			seen[to] = true
		}
	}
	qt.Check(t, len(seen), qt.Equals, len(all))
}

// TestSubscribers guards against nodes that subscribe to too many or too few instances of their own or of other failure
// domains.
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
	local, remote := make(map[netip.AddrPort]int), make(map[netip.AddrPort]int)
	for _, r := range records {
		b := &Beacon{self: r, snapshots: fixedSnapshot{snapshot}, source: namedSource{r.GetInstance()}, clock: clockwork.NewFakeClock()}
		b.updateTargets()
		qt.Check(t, len(b.local)+len(b.remote)+len(b.others), qt.Equals, nodes-1)
		for _, to := range b.local {
			local[to]++
		}
		for _, to := range b.remote {
			remote[to]++
		}
	}
	qt.Check(t, len(local), qt.Equals, nodes)
	qt.Check(t, len(remote), qt.Equals, nodes)
	for address := range local {
		qt.Check(t, local[address], qt.Equals, localSubscriptions, qt.Commentf("%v", address))
		qt.Check(t, remote[address], qt.Equals, remoteSubscriptions, qt.Commentf("%v", address))
	}
}

// TestReportRate guards against a number of reports that grows with the fleet, and against nodes that never hear of an
// instance that they do not subscribe to.
func TestReportRate(t *testing.T) {
	const nodes = 600
	var others []netip.AddrPort
	for i := range nodes {
		others = append(others, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600))
	}
	b := &Beacon{interval: 50 * time.Millisecond, local: others[:localSubscriptions], remote: others[20 : 20+remoteSubscriptions], others: others[40:]}
	sent, seen := 0, make(map[netip.AddrPort]bool)
	for b.sequence = range uint64(allNodesEvery * nodes / maxOthers) {
		targets := b.chooseTargets(nil, 0)
		sent += len(targets)
		for _, to := range targets {
			seen[to] = true
		}
	}
	perReport := float64(sent) / float64(b.sequence+1)
	const most = localSubscriptions + float64(remoteSubscriptions)/remoteReportEvery + float64(maxOthers)/allNodesEvery
	qt.Check(t, perReport <= most+0.01, qt.IsTrue, qt.Commentf("%v", perReport))
	for _, to := range b.others {
		qt.Check(t, seen[to], qt.IsTrue)
	}
}

type fixedSnapshot struct{ snapshot *core.Snapshot }

func (f fixedSnapshot) Snapshot() *core.Snapshot { return f.snapshot }

type namedSource struct{ name string }

func (n namedSource) Instance() string { return n.name }

func (n namedSource) Load() core.LoadReport { return core.LoadReport{} }
