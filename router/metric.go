package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

// metrics holds the Prometheus metrics of a router.
type metrics struct {
	calls   *prometheus.CounterVec
	latency *prometheus.HistogramVec
	retries *prometheus.CounterVec
	denied  *prometheus.CounterVec
	hedges  *prometheus.CounterVec
	budget  *prometheus.GaugeVec
	shares  *prometheus.GaugeVec
}

func newMetrics() *metrics {
	return &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_router_calls_total",
			Help: "Calls by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "verbenareel_router_latency_seconds",
			Help:    "Time from the acceptance of a call to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_router_retries_total",
			Help: "Retries by service and reason of the attempt before.",
		}, []string{"service", "reason"}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_router_retries_denied_total",
			Help: "Retries that the budget did not allow.",
		}, []string{"service"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_router_hedges_total",
			Help: "Hedges by service and by the attempt whose reply was used.",
		}, []string{"service", "winner"}),
		budget: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "verbenareel_router_retry_budget",
			Help: "This node's part of the retry budget of all nodes: the arrivals that are available now, and the calls and " +
				"arrivals beyond the first within the last window.",
		}, []string{"service", "kind"}),
		shares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "verbenareel_router_refused_attempt_share",
			Help: "Share of this node's attempts of about the last second that servers shed, or that found them full.",
		}, []string{"service", "kind"}),
	}
}

// register registers the metrics; registerer may be nil. A metric that cannot be registered is logged and does not stop
// the router.
func (m *metrics) register(registerer prometheus.Registerer, logger *zap.Logger, customers *customerMetrics) {
	if registerer == nil {
		return
	}
	for _, c := range []prometheus.Collector{m.calls, m.latency, m.retries, m.denied, m.hedges, m.budget, m.shares, customers} {
		if err := registerer.Register(c); err != nil {
			logger.Error("cannot register router metric", zap.Error(err))
		}
	}
}

func (m *metrics) recordCall(service string, reply *schema.ExecuteReply, took time.Duration) {
	m.calls.WithLabelValues(service, core.StatusName(reply.GetStatus()), core.ReasonName(reply.GetReason())).Inc()
	if took > 0 {
		m.latency.WithLabelValues(service, core.StatusName(reply.GetStatus())).Observe(took.Seconds())
	}
}

func (m *metrics) recordRetry(service string, reason schema.Reason) {
	m.retries.WithLabelValues(service, core.ReasonName(reason)).Inc()
}

func (m *metrics) recordHedge(service, winner string) {
	m.hedges.WithLabelValues(service, winner).Inc()
}

func (m *metrics) recordDeniedRetry(service string) {
	m.denied.WithLabelValues(service).Inc()
}

func (m *metrics) recordBudget(service string, s budgetState) {
	m.budget.WithLabelValues(service, "available").Set(s.available)
	m.budget.WithLabelValues(service, "calls").Set(s.calls)
	m.budget.WithLabelValues(service, "repeats").Set(s.repeats)
}

func (m *metrics) recordShares(service string, shed, full float64) {
	m.shares.WithLabelValues(service, "shed").Set(shed)
	m.shares.WithLabelValues(service, "full").Set(full)
}
