package quota

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// reportInterval is the time between two looks at what is worth a log line.
const reportInterval = time.Second

// reporter logs changes of the coordinators and of the role of the process.
type reporter struct {
	next         time.Time
	coordinators []string
	early        uint64
	leads        bool
}

// log logs what has changed since the last time.
func (r *reporter) log(s *Service, now time.Time) {
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(reportInterval)
	if names := s.node.Coordinators(); !slices.Equal(names, r.coordinators) {
		s.logger.Info("quota coordinators", zap.Strings("coordinators", names), zap.Strings("before", r.coordinators),
			zap.Int("members", s.node.Members()))
		r.coordinators = names
	}
	if early := s.node.Counts().Early; early != r.early {
		s.logger.Warn("quota coordinator does not answer; using own shares early", zap.Uint64("slots", early-r.early))
		r.early = early
	}
	if leads := s.coordinator.Leases() > 0; leads != r.leads {
		s.logger.Info("role as quota coordinator", zap.Bool("coordinator", leads), zap.Int("leases", s.coordinator.Leases()))
		r.leads = leads
	}
}

// Status describes the quotas as this node sees them, in one line. It is empty if no customer has one.
func (s *Service) Status() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.node.Active() {
		return ""
	}
	counts := s.node.Counts()
	return fmt.Sprintf("one share of %d; coordinators %s; own coordinator has %d leases; %d calls by granted tokens, %d by own shares, %d refused",
		s.node.Members(), strings.Join(s.node.Coordinators(), ", "), s.coordinator.Leases(), counts.Granted, counts.Own, counts.Refused)
}

// Explain describes what this node knows of the quota of a customer.
func (s *Service) Explain(customer string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node.Explain(s.clock.Now(), customer)
}

// Explain describes what the node knows of the quota of a customer.
func (n *Node) Explain(now time.Time, customer string) string {
	a := n.accounts[customer]
	if a == nil {
		return "no quota"
	}
	a.expire(now)
	text := fmt.Sprintf("quota %g calls/s, burst %g; %.1f calls/s here; %d tokens here", a.rate, a.burst, a.demand, a.held())
	if l := n.slots[a.slot].holder; l != nil {
		text += "; share leased to " + l.name
	}
	if a.own != nil {
		text += fmt.Sprintf("; own share of one in %d has %.1f tokens", n.Members(), a.own.level)
	}
	if a.retryAt.After(now) {
		text += fmt.Sprintf("; the coordinator had no tokens and expects some in %v", a.retryAt.Sub(now).Round(time.Millisecond))
	}
	return text
}

// collector exports the counts of a Service.
type collector struct {
	service                                                 *Service
	calls, requests, failed, early, granted, leases, denied *prometheus.Desc
}

func newCollector(s *Service) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("verbenareel_quota_"+name, help, labels, nil)
	}
	return &collector{
		service:  s,
		calls:    describe("calls_total", "Calls of customers with a quota, by what allowed them, or refused.", "by"),
		requests: describe("requests_total", "Requests for tokens of one customer, sent as a node and handled as a coordinator.", "role"),
		failed:   describe("requests_failed_total", "Messages to coordinators without a reply in time."),
		early:    describe("early_shares_total", "Groups of own shares used before the end of their lease."),
		granted:  describe("tokens_granted_total", "Tokens that this coordinator handed out."),
		denied:   describe("requests_denied_total", "Requests for which this coordinator had no tokens."),
		leases:   describe("leases", "Nodes that lease their shares to this coordinator."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.calls, c.requests, c.failed, c.early, c.granted, c.denied, c.leases} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	s := c.service
	s.mutex.Lock()
	node, coordinator, failed, leases := s.node.Counts(), s.coordinator.Counts(), s.failed, s.coordinator.Leases()
	s.mutex.Unlock()
	count := func(desc *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	count(c.calls, node.Granted, "granted")
	count(c.calls, node.Own, "own-share")
	count(c.calls, node.Refused, "refused")
	count(c.requests, node.Asked, "node")
	count(c.requests, coordinator.Asked, "coordinator")
	count(c.failed, failed)
	count(c.early, node.Early)
	count(c.granted, coordinator.Granted)
	count(c.denied, coordinator.Refused)
	out <- prometheus.MustNewConstMetric(c.leases, prometheus.GaugeValue, float64(leases))
}
