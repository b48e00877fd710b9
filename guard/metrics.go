package guard

import (
	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/core"
	"verbenareel/schema"
)

// metrics holds the metrics of a guard. The counter for answered calls without a reason is looked up once and kept,
// because a lookup by label costs more than the rest of a reply.
type metrics struct {
	calls    *prometheus.CounterVec
	probes   prometheus.Counter
	pauses   prometheus.Counter
	crashes  prometheus.Counter
	aborted  prometheus.Counter
	answered prometheus.Counter
	// coldSends counts the calls sent to a cold server, and coldOver those above its capacity per second.
	coldSends prometheus.Counter
	coldOver  prometheus.Counter
	sendDelay prometheus.Histogram
}

func newMetrics(g *Guard) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_guard_calls_total",
			Help: "Calls by outcome and reason.",
		}, []string{"outcome", "reason"}),
		probes:    counter("verbenareel_guard_probes_total", "Probes of the backend server."),
		pauses:    counter("verbenareel_guard_pauses_total", "Pauses of the process that were detected."),
		crashes:   counter("verbenareel_guard_crashes_total", "Crashes of the backend server that were detected."),
		aborted:   counter("verbenareel_guard_broken_off_total", "Calls that were broken off since they started in a slow phase."),
		coldSends: counter("verbenareel_guard_cold_sends_total", "Calls that were sent to the cold backend server."),
		coldOver:  counter("verbenareel_guard_cold_over_total", "Calls that were sent to the cold backend server beyond what it bears in a second."),
		sendDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "verbenareel_guard_send_delay_seconds",
			Help:    "Time from the admission of a call to its first byte.",
			Buckets: []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1},
		}),
	}
	m.answered = m.calls.WithLabelValues(core.StatusName(schema.Status_STATUS_ANSWERED), core.ReasonName(schema.Reason_REASON_NONE))
	g.registry.MustRegister(
		m.calls, m.probes, m.pauses, m.crashes, m.aborted, m.coldSends, m.coldOver, m.sendDelay,
		gauge("verbenareel_guard_pace_percent", "Last reported pace of the backend server; 0 if it is not known.", g.pacePercent),
		gauge("verbenareel_guard_in_flight", "Calls that occupy the backend server.", func() int { return g.Load().InFlight }),
		gauge("verbenareel_guard_queued", "Calls that wait for admission.", func() int { return g.Load().Queued }),
		counterFunc("verbenareel_guard_fair_starts_total", "Queued calls that started in place of another customer's call.",
			func() uint64 { starts, _ := g.fairDecisions(); return starts }),
		counterFunc("verbenareel_guard_fair_refusals_total", "Queued calls that were refused in place of another customer's call.",
			func() uint64 { _, refusals := g.fairDecisions(); return refusals }),
		gauge("verbenareel_guard_limit", "Concurrency limit.", func() int { return g.Load().Limit }),
	)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string, value func() int) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
}

func counterFunc(name, help string, value func() uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
}

// fairDecisions returns the counts of the controller.
func (g *Guard) fairDecisions() (starts, refusals uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.FairDecisions()
}

// count increments the counter for the outcome and reason of a reply.
func (m *metrics) count(reply *schema.ExecuteReply) {
	if reply.GetStatus() == schema.Status_STATUS_ANSWERED && reply.GetReason() == schema.Reason_REASON_NONE {
		m.answered.Inc()
		return
	}
	m.calls.WithLabelValues(core.StatusName(reply.GetStatus()), core.ReasonName(reply.GetReason())).Inc()
}
