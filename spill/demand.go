package spill

import (
	"sync"
	"time"
)

const (
	// demandWindow is the time over which the demand at a node is averaged. It covers the bursts within a wave, and is short
	// against the time in which callers fail over.
	demandWindow = 500 * time.Millisecond
	// demandMaxAge is the age at which the demand that a node reported is forgotten.
	demandMaxAge = 2 * time.Second
)

// Rate is the demand for one service at one node: the slots that its calls need at the usual pace.
type Rate struct {
	slots float64
	began bool
}

// Update adds the work of the calls that arrived in the time since the last update, and returns the new mean in slots.
func (r *Rate) Update(work, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return r.slots
	}
	now := float64(work) / float64(elapsed)
	weight := min(1, float64(elapsed)/float64(demandWindow))
	if !r.began {
		r.began, weight = true, 1
	}
	r.slots += weight * (now - r.slots)
	return r.slots
}

// Demands holds the demands that nodes report. It is safe for concurrent use.
type Demands struct {
	mu    sync.Mutex
	nodes map[uint64]nodeDemand
}

// nodeDemand is the last report of a node: slots by the hash of the service.
type nodeDemand struct {
	domain string
	at     time.Time
	slots  map[uint32]float64
}

// Record stores the demands at a node, which is identified by the hash of its instance.
func (d *Demands) Record(now time.Time, node uint64, domain string, slots map[uint32]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nodes == nil {
		d.nodes = make(map[uint64]nodeDemand)
	}
	d.nodes[node] = nodeDemand{domain: domain, at: now, slots: slots}
}

// Forget removes the reports that are too old.
func (d *Demands) Forget(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node, n := range d.nodes {
		if now.Sub(n.at) > demandMaxAge {
			delete(d.nodes, node)
		}
	}
}

// Means returns the mean demand for a service over the nodes of each domain that have reported.
func (d *Demands) Means(service uint32) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sums, counts := make(map[string]float64), make(map[string]float64)
	for _, n := range d.nodes {
		sums[n.domain] += n.slots[service]
		counts[n.domain]++
	}
	for domain := range sums {
		sums[domain] /= counts[domain]
	}
	return sums
}
