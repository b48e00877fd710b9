package quota

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// nodesPerCoordinator is the number of nodes for each coordinator, of which there are at least minCoordinators.
	nodesPerCoordinator = 32
	minCoordinators     = 2
	// spares is the number of members that become coordinators, in their order, when all coordinators have failed.
	spares = 6
)

// customer is the quota of a customer.
type customer struct {
	name  string
	hash  uint64
	slot  int
	rate  float64
	burst float64
}

// newCustomer returns the quota that a document sets.
func newCustomer(name string, settings *schema.Customer) customer {
	hash := xxhash.Sum64String(name)
	return customer{
		name:  name,
		hash:  hash,
		slot:  int(hash % slotCount),
		rate:  settings.GetRate(),
		burst: settings.GetBurst(),
	}
}

// View is what a Node and a Coordinator know of a snapshot.
type View struct {
	customers []customer
	// used is the set of slots that contain a customer.
	used    slotSet
	members int
	// ranking holds, for each slot, the coordinators in the order of preference.
	ranking [slotCount][]string
}

// NewView returns the customers with a quota, the number of members, and the coordinators chosen among those that serve.
func NewView(snapshot *core.Snapshot) *View {
	v := &View{}
	for name, settings := range snapshot.Document().GetCustomers() {
		if settings.GetRate() > 0 {
			x := newCustomer(name, settings)
			v.customers = append(v.customers, x)
			v.used |= 1 << x.slot
		}
	}
	if len(v.customers) == 0 {
		return v
	}
	var serving []string
	for _, name := range snapshot.Names() {
		if snapshot.Instance(name).Eligible() {
			serving = append(serving, name)
		}
	}
	v.members = snapshot.CountNodes()
	v.rank(serving)
	return v
}

// rank chooses the coordinators and orders them for each slot by rendezvous hashing.
func (v *View) rank(serving []string) {
	count := max(minCoordinators, len(serving)/nodesPerCoordinator)
	chosen := rendezvous(serving, slotCount)
	chosen = chosen[:min(count+spares, len(chosen))]
	count = min(count, len(chosen))
	for slot := range v.ranking {
		v.ranking[slot] = append(rendezvous(chosen[:count], uint64(slot)), chosen[count:]...)
	}
}

// rendezvous returns the names in the order of a hash of each with a key.
func rendezvous(names []string, key uint64) []string {
	type entry struct {
		hash uint64
		name string
	}
	entries := make([]entry, len(names))
	for i, name := range names {
		var text [8]byte
		binary.LittleEndian.PutUint64(text[:], key)
		entries[i] = entry{hash: xxhash.Sum64(append(text[:], name...)), name: name}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	sorted := make([]string, len(entries))
	for i, e := range entries {
		sorted[i] = e.name
	}
	return sorted
}

// slotSet is a set of slots.
type slotSet uint64

func (s slotSet) has(slot int) bool { return s&(1<<slot) != 0 }

// memberCount is the largest number of members known within a time.
type memberCount struct {
	count int
	at    time.Time
}

// note records a number of members and forgets a larger one that is older than hold.
func (m *memberCount) note(now time.Time, count int, hold time.Duration) {
	if count >= m.count || now.Sub(m.at) > hold {
		m.count, m.at = count, now
	}
}
