package router

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// maxNamedCustomers bounds the label values of the metric of customers; the others are counted together.
	maxNamedCustomers = 16
	// OtherCustomers is the label value of the customers that are counted together.
	OtherCustomers = "(other)"
	// customerRateWindow is the time constant of the recent call rate of a customer.
	customerRateWindow = 10 * time.Second
	// rankInterval is the interval at which the named customers are chosen.
	rankInterval = 10 * time.Second
	// namedBonus keeps two customers with about as many calls from taking turns, because each change ends a time series.
	namedBonus = 1.25
	// forgottenRate is the number of recent calls below which a customer that is not named is forgotten.
	forgottenRate = 0.01
)

// customerOutcome is the outcome of a call as the metric shows it.
type customerOutcome struct {
	status schema.Status
	reason schema.Reason
}

// customerCounter counts the calls of one customer, or of several together.
type customerCounter struct {
	name     string
	outcomes map[customerOutcome]uint64
	// recent is the decayed number of calls at the time at, and named is set while the customer has a time series of its own.
	recent float64
	at     time.Time
	named  bool
}

func (c *customerCounter) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.recent, c.at = c.recent*math.Exp(-elapsed.Seconds()/customerRateWindow.Seconds()), now
	}
}

func (c *customerCounter) count(o customerOutcome) {
	if c.outcomes == nil {
		c.outcomes = make(map[customerOutcome]uint64)
	}
	c.outcomes[o]++
}

// customerMetrics counts calls by customer. The customers with the most calls are named, the others are counted together. A call
// is counted under the name that its customer has at that time, so that no counter decreases. It is safe for concurrent use.
type customerMetrics struct {
	mu        sync.Mutex
	customers map[string]*customerCounter
	other     customerCounter
	named     int
	rankedAt  time.Time
	desc      *prometheus.Desc
}

func newCustomerMetrics() *customerMetrics {
	return &customerMetrics{
		customers: make(map[string]*customerCounter),
		other:     customerCounter{name: OtherCustomers},
		desc: prometheus.NewDesc("verbenareel_router_customer_calls_total",
			"Calls by customer, outcome and reason. The customers with the most calls are named.",
			[]string{"customer", "outcome", "reason"}, nil),
	}
}

// record counts a call of a customer; without a customer it does nothing.
func (m *customerMetrics) record(now time.Time, customer string, reply *schema.ExecuteReply) {
	if customer == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.customers[customer]
	if c == nil {
		c = &customerCounter{name: customer, at: now}
		m.customers[customer] = c
	}
	c.decay(now)
	c.recent++
	if !c.named && m.named < maxNamedCustomers {
		c.named = true
		m.named++
	}
	m.rank(now)
	into := c
	if !c.named {
		into = &m.other
	}
	into.count(customerOutcome{reply.GetStatus(), reply.GetReason()})
}

// rank chooses the named customers and forgets the others without recent calls.
func (m *customerMetrics) rank(now time.Time) {
	if now.Sub(m.rankedAt) < rankInterval {
		return
	}
	m.rankedAt = now
	list := make([]*customerCounter, 0, len(m.customers))
	for _, c := range m.customers {
		c.decay(now)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *customerCounter) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.name, b.name))
	})
	for i, c := range list {
		c.named = i < maxNamedCustomers
		if !c.named && c.recent < forgottenRate {
			delete(m.customers, c.name)
		}
	}
	m.named = min(len(list), maxNamedCustomers)
}

// weight orders the customers for the choice of the named ones.
func (c *customerCounter) weight() float64 {
	if c.named {
		return namedBonus * c.recent
	}
	return c.recent
}

// Describe implements prometheus.Collector.
func (m *customerMetrics) Describe(out chan<- *prometheus.Desc) { out <- m.desc }

// Collect implements prometheus.Collector.
func (m *customerMetrics) Collect(out chan<- prometheus.Metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.shown() {
		for o, n := range c.outcomes {
			out <- prometheus.MustNewConstMetric(m.desc, prometheus.CounterValue, float64(n), c.name,
				core.StatusName(o.status), core.ReasonName(o.reason))
		}
	}
}

// shown returns the named customers and the counter of the others. It is called with mu held.
func (m *customerMetrics) shown() []*customerCounter {
	list := []*customerCounter{&m.other}
	for _, c := range m.customers {
		if c.named {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *customerCounter) int { return cmp.Compare(a.name, b.name) })
	return list
}

// CustomerStatus describes the calls of one customer at this router, for status pages.
type CustomerStatus struct {
	Customer string
	// KeyHashes holds the short forms of the hashes of the customer's keys.
	KeyHashes []string
	// Rate is the recent number of calls per second at this router, and Quota the customer's quota over all nodes; 0 stands for
	// no limit.
	Rate, Quota float64
	// Calls is the number of calls, and Refused the number of those that did not run, by reason.
	Calls   uint64
	Refused map[string]uint64
}

// CustomerStatuses returns the status of the customers with the most calls, and of the others together.
func (r *Router) CustomerStatuses() []CustomerStatus {
	now := r.clock.Now()
	snapshot := r.current(now).snapshot
	m := r.customers
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []CustomerStatus
	for _, c := range m.shown() {
		if len(c.outcomes) == 0 {
			continue
		}
		c.decay(now)
		s := CustomerStatus{Customer: c.name, Rate: c.recent / customerRateWindow.Seconds(), Refused: make(map[string]uint64)}
		for o, n := range c.outcomes {
			s.Calls += n
			if o.status == schema.Status_STATUS_NOT_RUN {
				s.Refused[core.ReasonName(o.reason)] += n
			}
		}
		if settings := snapshot.Customer(c.name); settings != nil {
			s.Quota = settings.GetRate()
			for _, hash := range settings.GetKeyHashes() {
				s.KeyHashes = append(s.KeyHashes, core.ShortKeyHash(hash))
			}
		}
		list = append(list, s)
	}
	return list
}
