package meter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/core"
	"verbenareel/schema"
)

// counts returns the counters that are not zero by their labels.
func counts(c *qt.C, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	counts := make(map[string]float64)
	for _, m := range families[0].GetMetric() {
		labels := m.GetLabel()
		if v := m.GetCounter().GetValue(); v > 0 {
			counts[labels[0].GetValue()+" "+labels[1].GetValue()+" "+labels[2].GetValue()] = v
		}
	}
	return counts
}

// TestCrossing guards against bytes that are counted for the wrong domain, and against an address that stays unknown
// because it was used before the members were known.
func TestCrossing(t *testing.T) {
	c := qt.New(t)
	var snapshot *core.Snapshot
	registry := prometheus.NewRegistry()
	m := New("a", func() *core.Snapshot { return snapshot }, registry)
	near, far := m.Peer("127.0.0.1:1"), m.Peer("127.0.0.1:2")
	now := time.Unix(100, 0)
	near.Sent(now, Gossip, 7)
	document := schema.Document_builder{Services: map[string]*schema.Service{"sheets": {}}}.Build()
	snapshot = core.NewSnapshot(1, document, []*schema.Member{
		schema.Member_builder{Instance: "x", Service: "sheets", Domain: "a", Address: "127.0.0.1:1"}.Build(),
		schema.Member_builder{Instance: "y", Service: "sheets", Domain: "b", Address: "127.0.0.1:2"}.Build(),
	})
	now = now.Add(resolveInterval)
	near.Sent(now, Gossip, 5)
	far.Received(now, Answer, 11)
	m.Peer("127.0.0.1:3").Sent(now, Gossip, 2)
	c.Assert(counts(c, registry), qt.DeepEquals, map[string]float64{
		"gossip sent unknown": 9, "gossip sent own": 5, "answer received other": 11,
	})
	var none *Meter
	none.Peer("").Sent(now, Gossip, 1)
}
