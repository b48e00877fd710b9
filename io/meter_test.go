package io_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/meter"
	"verbenareel/schema"
)

// byteCounts returns the bytes counted by cause and direction.
func byteCounts(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	counts := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if v := m.GetCounter().GetValue(); v > 0 && m.GetLabel()[0].GetName() == "cause" {
				counts[m.GetLabel()[0].GetValue()+" "+m.GetLabel()[1].GetValue()] += v
			}
		}
	}
	return counts
}

// TestBytesByCause guards against bytes between nodes that are not counted, or counted for another cause.
func TestBytesByCause(t *testing.T) {
	c := qt.New(t)
	server := newServer(t, echo)
	registry := prometheus.NewRegistry()
	m := meter.New("a", func() *core.Snapshot { return nil }, registry)
	transport := newTransport(t, io.WithMeter(m))
	const small, large = 1000, 100_000
	for _, size := range []int{small, large} {
		_, err := transport.Execute(t.Context(), newInstance(server.Addr()), newExecuteRequest(strings.Repeat("x", size)))
		c.Assert(err, qt.IsNil)
	}
	_, _ = transport.Sync(t.Context(), server.Addr(), &schema.SyncRequest{})
	counts := byteCounts(t, registry)
	between := func(key string, low, high float64) {
		c.Check(counts[key] >= low && counts[key] <= high, qt.IsTrue, qt.Commentf("%s: %v", key, counts))
	}
	between("request sent", small, small+1000)
	between("answer received", small+large, small+large+1000)
	between("body sent", large, large+2000)
	between("body received", 1, 1000)
	between("gossip sent", 1, 100)
}
