package io

import "github.com/prometheus/client_golang/prometheus"

// Register adds the metrics of the budget to a registerer.
func (m *Memory) Register(registerer prometheus.Registerer) {
	for _, kind := range []string{kindRequest, kindResponse} {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "verbenareel_io_held_bytes",
			Help:        "Bytes that callers make the node hold by kind: requests with calls in progress, and responses not yet taken.",
			ConstLabels: prometheus.Labels{"kind": kind},
		}, func() float64 { return float64(m.usedBy(kind == kindResponse)) }))
	}
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "verbenareel_io_given_up_total",
		Help: "Requests and responses given up because the memory for callers was full.",
	}, func() float64 { return float64(m.Evicted()) }))
}

// Kinds of messages that hold memory.
const (
	kindRequest  = "request"
	kindResponse = "response"
)

// usedBy returns the bytes that the responses hold which wait for their callers, or that everything else holds.
func (m *Memory) usedBy(responses bool) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	used := 0
	for h := range m.holdings {
		if (h.stalled != nil) == responses {
			used += h.bytes
		}
	}
	return used
}
