package peers

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"verbenareel/schema"
)

// Status describes the exchange at one point in time.
type Status struct {
	// Revision is the accepted revision, or 0. Manifest is the hash of its block hashes.
	Revision, Manifest uint64
	// Rejected is the last rejected revision, or 0. RejectionErr is the reason, with a *config.ValidationErrors in its chain.
	Rejected     uint64
	RejectedAt   time.Time
	RejectionErr error
	// Members lists the records in force, sorted by name.
	Members []*schema.Member
	// Contacts holds the time of the last direct exchange with each other member, or when its first record arrived.
	Contacts map[string]time.Time
	// Contact is the time of the last exchange with any peer. ConfirmedAt is the last time at which the platform was
	// known to hold no higher revision.
	Contact, ConfirmedAt time.Time
	// ListedAt is the time as of which the platform's list is known. PlatformErr is the error of the last platform read, or nil.
	ListedAt    time.Time
	PlatformErr error
	// Reader reports whether the node watches the platform for its failure domain.
	Reader   bool
	Fresh    bool
	Counters Counters
}

// Status returns the current status.
func (s *State) Status(now time.Time) Status {
	status := Status{
		Revision: s.Revision(), Manifest: s.manifest(),
		Rejected: s.rejected.revision, RejectedAt: s.rejected.at, RejectionErr: s.rejected.faults,
		Members: s.table.effective(), Contacts: make(map[string]time.Time, len(s.table.sorted)),
		Contact: s.lastContact, ConfirmedAt: s.confirmedAt, Reader: s.platform && s.isReader(now), Fresh: s.Fresh(now),
		ListedAt: s.listedAt, PlatformErr: s.outage.err,
		Counters: s.counters,
	}
	for _, m := range s.table.sorted {
		if m.name != s.self.GetInstance() {
			status.Contacts[m.name] = m.lastContact
		}
	}
	return status
}

// byMetricName returns the counters keyed by their metric labels.
func (c *Counters) byMetricName() map[string]uint64 {
	return map[string]uint64{
		"syncs_sent": c.SyncsSent, "syncs_failed": c.SyncsFailed, "syncs_received": c.SyncsReceived,
		"announcements": c.Announcements, "pulls": c.Pulls, "pulls_failed": c.PullsFailed, "blocks_received": c.BlocksReceived,
		"documents_accepted": c.Accepted, "documents_rejected": c.Rejected, "documents_lower": c.Lower,
		"documents_conflicting": c.Conflicts, "platform_calls": c.PlatformCalls, "platform_failures": c.PlatformFailures,
		"platform_held": c.PlatformHeld, "platform_stale": c.PlatformStale, "platform_restores": c.PlatformRestores, "documents_merged": c.Merged, "pauses": c.Pauses,
		"members_removed": c.Removed, "snapshots_published": c.Published, "dropped": c.Dropped,
	}
}

// collector exports the counters and gauges of an exchange to Prometheus.
type collector struct {
	exchange *Exchange
	events   *prometheus.Desc
	revision *prometheus.Desc
	members  *prometheus.Desc
	age      *prometheus.Desc
}

func newCollector(e *Exchange) *collector {
	return &collector{
		exchange: e,
		events: prometheus.NewDesc("verbenareel_peers_events_total",
			"Events of the exchange between nodes.", []string{"event"}, nil),
		revision: prometheus.NewDesc("verbenareel_peers_revision", "Accepted revision of the document.", nil, nil),
		members:  prometheus.NewDesc("verbenareel_peers_members", "Known members.", nil, nil),
		age: prometheus.NewDesc("verbenareel_peers_age_seconds",
			"Age of what the node knows of the platform: the document's last confirmation, the list.", []string{"what"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	out <- c.events
	out <- c.revision
	out <- c.members
	out <- c.age
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	status := c.exchange.Status()
	for name, n := range status.Counters.byMetricName() {
		out <- prometheus.MustNewConstMetric(c.events, prometheus.CounterValue, float64(n), name)
	}
	out <- prometheus.MustNewConstMetric(c.revision, prometheus.GaugeValue, float64(status.Revision))
	out <- prometheus.MustNewConstMetric(c.members, prometheus.GaugeValue, float64(len(status.Members)))
	now := c.exchange.clock.Now()
	for what, at := range map[string]time.Time{"document": status.ConfirmedAt, "list": status.ListedAt} {
		if !at.IsZero() {
			out <- prometheus.MustNewConstMetric(c.age, prometheus.GaugeValue, now.Sub(at).Seconds(), what)
		}
	}
}
