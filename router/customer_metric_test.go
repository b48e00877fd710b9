package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/core"
	"verbenareel/schema"
)

// collected returns the values of the metric of customers, summed by customer.
func collected(t testing.TB, m *customerMetrics) map[string]float64 {
	registry := prometheus.NewPedanticRegistry()
	qt.Assert(t, registry.Register(m), qt.IsNil)
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	sums := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "customer" {
					sums[label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return sums
}

// TestCustomerMetrics guards against a number of time series that grows with the customers, a counter that decreases, and a
// customer with many calls that is not named because others came first.
func TestCustomerMetrics(t *testing.T) {
	m := newCustomerMetrics()
	now := time.Unix(1000, 0)
	last := make(map[string]float64)
	for round := range 300 {
		now = now.Add(200 * time.Millisecond)
		for i := range 100 {
			m.record(now, fmt.Sprint("small-", (i+round)%100), core.NotRun(schema.Reason_REASON_QUOTA))
		}
		for range 10 {
			m.record(now, "large", answer(200))
		}
		sums := collected(t, m)
		qt.Assert(t, len(sums) <= maxNamedCustomers+1, qt.IsTrue)
		for name, value := range sums {
			qt.Assert(t, value >= last[name], qt.IsTrue, qt.Commentf("%s in round %d", name, round))
			last[name] = value
		}
	}
	sums := collected(t, m)
	qt.Check(t, sums["large"] > 1000, qt.IsTrue, qt.Commentf("%v", sums))
	qt.Check(t, sums[OtherCustomers] > 1000, qt.IsTrue)
	m.record(now, "", answer(200))
	qt.Check(t, collected(t, m)[""], qt.Equals, 0.0)
	m.record(now.Add(time.Hour), "late", answer(200))
	qt.Check(t, len(m.customers) <= maxNamedCustomers+1, qt.IsTrue)
}
