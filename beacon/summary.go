package beacon

import (
	"math"
	"net/netip"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// With summaries, a node subscribes to one instance of each service in each of summaryDomains other domains, the nearest
	// ones, and in a large fleet in largeSummaryDomains. An instance that fails leaves those of the other domains.
	summaryDomains      = 3
	largeSummaryDomains = 2
	// A domain whose calls hardly need to leave it gets one summary in quietEvery: less often than its nodes forget demands,
	// but too seldom to choose instances by.
	quietEvery = 4
	// One summary in demandEvery carries demands, which are means over some 0.5 s.
	demandEvery = 2
)

// Summaries provides the summary of the node's failure domain, and receives those of others. The revision is that of the
// document whose services the demands follow.
type Summaries interface {
	Summary() core.Summary
	HandleSummary(instance, revision uint64, summary core.Summary)
	// Quiet reports whether the calls of a domain to this node's service hardly need to leave the domain.
	Quiet(domain string) bool
}

// WithSummaries makes the node send summaries to nodes in other failure domains, and to fewer of them. By default load reports
// of all instances cross the domains.
func WithSummaries(summaries Summaries) Option {
	return func(b *Beacon) { b.summaries = summaries }
}

// crossesNow reports whether the current report goes to subscribers in other failure domains.
func (b *Beacon) crossesNow() bool { return b.sequence%remoteReportEvery == 0 }

// appendRemote appends the lists of the subscribers in other failure domains that get the current report.
func (b *Beacon) appendRemote(due [][]netip.AddrPort) [][]netip.AddrPort {
	if b.summaries == nil {
		return append(due, b.remote)
	}
	all := b.sequence%(remoteReportEvery*quietEvery) == 0
	for domain, addresses := range b.remoteByDomain {
		if all || !b.summaries.Quiet(domain) {
			due = append(due, addresses)
		}
	}
	return due
}

// addSummary adds the summary of the domain to a report that crosses domains.
func (b *Beacon) addSummary(report *schema.LoadReport) {
	if b.summaries == nil || !b.crossesNow() {
		return
	}
	summary := b.summaries.Summary()
	if b.sequence%(remoteReportEvery*demandEvery) == 0 {
		report.SetDemand(summary.Demands)
	}
	if len(summary.Neighbors) == 0 {
		return
	}
	var neighbors schema.Neighbors_builder
	for _, n := range summary.Neighbors {
		neighbors.Instance = append(neighbors.Instance, n.Instance)
		neighbors.InUse = append(neighbors.InUse, uint32(n.InUse))
		neighbors.Limit = append(neighbors.Limit, uint32(n.Limit))
		neighbors.PacePercent = append(neighbors.PacePercent, uint32(math.Round(n.Pace*100)))
	}
	report.SetNeighbors(neighbors.Build())
}

// handleSummary passes on the summary in a report.
func (b *Beacon) handleSummary(report *schema.LoadReport) {
	neighbors := report.GetNeighbors()
	if b.summaries == nil || len(report.GetDemand())+len(neighbors.GetInstance()) == 0 {
		return
	}
	summary := core.Summary{Demands: report.GetDemand()}
	count := min(len(neighbors.GetInstance()), len(neighbors.GetInUse()), len(neighbors.GetLimit()), len(neighbors.GetPacePercent()))
	for i := range count {
		summary.Neighbors = append(summary.Neighbors, core.Neighbor{
			Instance: neighbors.GetInstance()[i],
			InUse:    int(neighbors.GetInUse()[i]),
			Limit:    int(neighbors.GetLimit()[i]),
			Pace:     float64(neighbors.GetPacePercent()[i]) / 100,
		})
	}
	b.summaries.HandleSummary(report.GetInstance(), report.GetLoad().GetRevision(), summary)
}

// crossesRarely reports whether a node that does not subscribe gets only the reports that follow a confirmation.
func (b *Beacon) crossesRarely(i *core.Instance) bool {
	return b.summaries != nil && i.Domain() != b.self.GetDomain()
}

// subscribesToSummary reports whether a node in another domain subscribes to the summaries of this instance: its domain is one
// of the nearest to that node, and the instance ranks first there.
func (b *Beacon) subscribesToSummary(snapshot *core.Snapshot, subscriber *core.Instance, peers []*core.Instance) bool {
	limit := summaryDomains
	if snapshot.Large() {
		limit = largeSummaryDomains
	}
	own := b.self.GetDomain()
	for domain := range b.peerDomains {
		if domain != own && domain != subscriber.Domain() && nearer(snapshot, subscriber, domain, own) {
			limit--
		}
	}
	if limit <= 0 {
		return false
	}
	ownHash := pairHash(subscriber.Address(), b.self.GetAddress())
	for _, peer := range peers {
		if peer.Domain() == own && pairHash(subscriber.Address(), peer.Address()) < ownHash {
			return false
		}
	}
	return true
}

func domainsOf(instances []*core.Instance) map[string]bool {
	domains := make(map[string]bool)
	for _, i := range instances {
		domains[i.Domain()] = true
	}
	return domains
}

// nearer reports whether domain is nearer to the subscriber than other; equally near ones are ranked by a hash.
func nearer(snapshot *core.Snapshot, subscriber *core.Instance, domain, other string) bool {
	delay, otherDelay := snapshot.Delay(subscriber.Domain(), domain), snapshot.Delay(subscriber.Domain(), other)
	if delay != otherDelay {
		return delay < otherDelay
	}
	return pairHash(subscriber.Address(), domain) < pairHash(subscriber.Address(), other)
}
