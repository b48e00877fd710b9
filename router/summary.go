package router

import (
	"math/rand/v2"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
)

const (
	// maxNeighbors is the number of other instances in a summary. A call that leaves needs an instance that is ready: in the
	// site of TestLeaveByNeed with high waves, 0.890, 0.940 and 0.949 of the calls are in time with 0, 2 and 3 neighbors.
	maxNeighbors = 3
	// neighborMaxAge is the age of a load report above which it is not passed on, and below which one that a node sent itself is
	// kept in place of one that was passed on. It is about the interval of the load reports within a domain.
	neighborMaxAge = 60 * time.Millisecond
	// slotUnit is the number of units of a demand in a summary in one slot.
	slotUnit = 100
	// maxDemands bounds the services in a summary, so that it fits into a datagram.
	maxDemands = 64
)

// Summary returns the demand at this node, and the loads of some ready instances of its service in its domain.
func (r *Router) Summary() core.Summary {
	now := r.clock.Now()
	t := r.current(now)
	if t.snapshot == nil {
		return core.Summary{}
	}
	summary := core.Summary{Neighbors: r.neighbors(now, t)}
	slots := r.Demands()
	for _, name := range t.snapshot.ServiceNames() {
		if len(summary.Demands) == maxDemands {
			break
		}
		summary.Demands = append(summary.Demands, uint32(slotUnit*slots[core.ServiceHash(name)]))
	}
	return summary
}

// Quiet reports whether the calls of a domain to the service of this node hardly need to leave the domain.
func (r *Router) Quiet(domain string) bool {
	t := r.current(r.clock.Now())
	if t.snapshot == nil {
		return false
	}
	own := t.ownInstance(r.self.GetAddress())
	if own == nil || t.groups[own.Service()] == nil {
		return false
	}
	return t.groups[own.Service()].balance(r.leaving).Quiet(domain)
}

// HandleSummary records the summary of another node; hash is the core.InstanceHash of its instance. The demands are ignored if
// the node has another revision of the document, whose services may differ.
func (r *Router) HandleSummary(hash, revision uint64, summary core.Summary) {
	now := r.clock.Now()
	t := r.current(now)
	if t.snapshot == nil {
		return
	}
	if names := t.snapshot.ServiceNames(); len(summary.Demands) > 0 && revision == t.snapshot.Revision() && len(summary.Demands) <= len(names) {
		slots := make(map[uint32]float64, len(summary.Demands))
		for i, demand := range summary.Demands {
			if demand > 0 {
				slots[core.ServiceHash(names[i])] = float64(demand) / slotUnit
			}
		}
		r.HandleDemands(hash, slots)
	}
	for _, n := range summary.Neighbors {
		if v := t.viewsByNeighbor[n.Instance]; v != nil && r.takesFromNeighbor(now, v) {
			v.SetReport(now, core.LoadReport{
				State: schema.InstanceState_INSTANCE_STATE_SERVING, Revision: revision,
				InFlight: n.InUse, Limit: n.Limit, Pace: n.Pace, BasePace: n.Pace,
			})
		}
	}
}

// takesFromNeighbor reports whether a load that another node passed on is of use: the instance is in another domain and has not
// reported itself. Within a domain a load would be passed on in circles.
func (r *Router) takesFromNeighbor(now time.Time, v *picker.View) bool {
	return v.Instance().Domain() != r.self.GetDomain() && !hasRecentReport(now, v)
}

func hasRecentReport(now time.Time, v *picker.View) bool {
	_, received := v.Load()
	return !received.IsZero() && now.Sub(received) <= neighborMaxAge
}

// neighbors returns random ready instances of this node's service and domain. If all nodes passed on the best one, the calls of
// all other domains would go there.
func (r *Router) neighbors(now time.Time, t *table) []core.Neighbor {
	own := t.ownInstance(r.self.GetAddress())
	if own == nil || t.groups[own.Service()] == nil {
		return nil
	}
	var found []core.Neighbor
	views := t.groups[own.Service()].views
	first := rand.IntN(max(1, len(views)))
	for i := range views {
		v := views[(first+i)%len(views)]
		if len(found) == maxNeighbors {
			break
		}
		if v.Instance() == own || v.Instance().Domain() != own.Domain() || !isPassedOn(now, v, t.snapshot.Revision()) {
			continue
		}
		load, _ := v.Load()
		found = append(found, core.Neighbor{
			Instance: core.NeighborHash(v.Instance().Name()),
			InUse:    load.InFlight + load.Queued + v.SentSinceReport(),
			Limit:    load.Limit,
			Pace:     load.Pace,
		})
	}
	return found
}

// isPassedOn reports whether the load of an instance is worth telling other domains: it is recent, and the instance is warm and
// would start a call at once.
func isPassedOn(now time.Time, v *picker.View, revision uint64) bool {
	load, _ := v.Load()
	return load.Pace > 0 && load.StartRate == 0 && hasRecentReport(now, v) && v.Ready(now) && v.Eligible(now, revision) &&
		load.State == schema.InstanceState_INSTANCE_STATE_SERVING
}

// ownInstance returns the eligible instance at the address of this node, or nil.
func (t *table) ownInstance(address string) *core.Instance {
	for _, g := range t.groups {
		for _, v := range g.views {
			if v.Instance().Address() == address && v.Instance().Eligible() {
				return v.Instance()
			}
		}
	}
	return nil
}
