package peers

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/schema"
)

const (
	// bucketCount is the number of parts of the member records that are compared by hash.
	bucketCount = 32
	// deadAfter is the time without direct contact after which the record of an instance that the platform's list does
	// not name is removed. With 840 nodes, two of them meet every 105 s on average.
	deadAfter = 10 * time.Minute
	// goneAfter is the same time for an instance that announced its end.
	goneAfter = time.Minute
	// removedFor is the time for which the record of a removed instance is not taken back from other nodes, which may
	// remove it later.
	removedFor = 2 * deadAfter
	// maxMembers bounds the table. It is far above the target of 840 instances.
	maxMembers = 8192
	// maxText bounds each string of a record.
	maxText = 128
	// firstSkip and maxSkip bound the time for which a peer that did not answer is not chosen. After a partition ends,
	// peers are tried again within maxSkip.
	firstSkip = 500 * time.Millisecond
	maxSkip   = 4 * time.Second
)

// member is what a node knows of one instance.
type member struct {
	name string
	// record is what the instance announced of itself, or nil.
	record *schema.Member
	hash   uint64
	// listed is its entry in the platform's list, or nil.
	listed *schema.Member
	// unlisted tells that the list, which decides on this platform, does not name the node's own instance.
	unlisted bool
	// contact is the time of the last direct exchange, or of the first record.
	contact time.Time
	// failures counts attempts without an answer since the last contact; skip is the end of the pause after them.
	failures int
	skip     time.Time
}

// effective returns the record in force: the announcement if there is one, in the worse state of both sources.
func (m *member) effective() *schema.Member {
	if m.record == nil {
		return m.listed
	}
	if state := m.state(); state > m.record.GetState() {
		return withState(m.record, state)
	}
	return m.record
}

func (m *member) address() string {
	if m.record != nil {
		return m.record.GetAddress()
	}
	return m.listed.GetAddress()
}

func (m *member) state() schema.InstanceState {
	state := max(m.record.GetState(), m.listed.GetState())
	if m.unlisted {
		return max(state, schema.InstanceState_INSTANCE_STATE_LEAVING)
	}
	return state
}

func withState(record *schema.Member, state schema.InstanceState) *schema.Member {
	return schema.Member_builder{
		Instance: record.GetInstance(), Service: record.GetService(), Domain: record.GetDomain(), Address: record.GetAddress(),
		Incarnation: record.GetIncarnation(), Version: record.GetVersion(), State: state,
	}.Build()
}

// sameRecord reports whether two records agree in all that a snapshot shows.
func sameRecord(a, b *schema.Member) bool {
	return (a == nil) == (b == nil) && a.GetInstance() == b.GetInstance() && a.GetService() == b.GetService() &&
		a.GetDomain() == b.GetDomain() && a.GetAddress() == b.GetAddress() && a.GetIncarnation() == b.GetIncarnation() &&
		a.GetState() == b.GetState()
}

// hashRecord returns the hash by which records are compared between nodes.
func hashRecord(r *schema.Member) uint64 {
	var data [7 + 4*maxText]byte
	b := data[:0]
	for _, text := range []string{r.GetInstance(), r.GetService(), r.GetDomain(), r.GetAddress()} {
		b = append(b, byte(len(text)))
		b = append(b, text...)
	}
	b = binary.LittleEndian.AppendUint64(b, r.GetIncarnation())
	b = binary.LittleEndian.AppendUint64(b, r.GetVersion())
	b = append(b, byte(r.GetState()))
	return xxhash.Sum64(b)
}

func bucketOf(instance string) int { return int(xxhash.Sum64String(instance) % bucketCount) }

// validRecord reports whether an announcement may enter the table.
func validRecord(r *schema.Member) bool {
	for _, text := range []string{r.GetInstance(), r.GetService(), r.GetDomain(), r.GetAddress()} {
		if text == "" || len(text) > maxText {
			return false
		}
	}
	state := r.GetState()
	if r.GetIncarnation() == 0 || state < schema.InstanceState_INSTANCE_STATE_SERVING || state > schema.InstanceState_INSTANCE_STATE_GONE {
		return false
	}
	_, err := netip.ParseAddrPort(r.GetAddress())
	return err == nil
}

// join returns the record that stands after both were known. The result does not depend on the order: the higher
// version wins; of one process, a record that is leaving or gone is never followed by a better state.
func join(a, b *schema.Member) *schema.Member {
	if a == nil {
		return b
	}
	newer, older := a, b
	if newerRecord(b, a) {
		newer, older = b, a
	}
	ending := schema.InstanceState_INSTANCE_STATE_LEAVING
	if a.GetIncarnation() == b.GetIncarnation() && older.GetState() >= ending && older.GetState() > newer.GetState() {
		return withState(newer, older.GetState())
	}
	return newer
}

func newerRecord(a, b *schema.Member) bool {
	if a.GetVersion() != b.GetVersion() {
		return a.GetVersion() > b.GetVersion()
	}
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetState() != b.GetState() {
		return a.GetState() > b.GetState()
	}
	return hashRecord(a) > hashRecord(b)
}

// removal remembers a record that was removed.
type removal struct {
	version uint64
	at      time.Time
}

// table holds the known members.
type table struct {
	members map[string]*member
	// order holds the members by name, so that each pass over them is repeatable.
	order     []*member
	addresses map[string]*member
	buckets   [bucketCount]uint64
	removed   map[string]removal
	// changes counts changes of effective records.
	changes uint64
	// decisive tells that the platform's list was read and decides whether the node's own instance may work.
	decisive bool
}

func newTable() *table {
	return &table{
		members:   make(map[string]*member),
		addresses: make(map[string]*member),
		removed:   make(map[string]removal),
	}
}

// add returns the member with the name and creates it.
func (t *table) add(name string, now time.Time) *member {
	if m := t.members[name]; m != nil {
		return m
	}
	m := &member{name: name, contact: now}
	t.members[name] = m
	i := sort.Search(len(t.order), func(i int) bool { return t.order[i].name > name })
	t.order = append(t.order, nil)
	copy(t.order[i+1:], t.order[i:])
	t.order[i] = m
	return m
}

// remove drops a member from the table.
func (t *table) remove(m *member) {
	t.change(m, func() { m.record, m.listed = nil, nil })
	delete(t.members, m.name)
	i := sort.Search(len(t.order), func(i int) bool { return t.order[i].name >= m.name })
	t.order = append(t.order[:i], t.order[i+1:]...)
}

// change applies an update of one member and keeps hashes, addresses and the change counter in step.
func (t *table) change(m *member, update func()) {
	before := m.effective()
	bucket := bucketOf(m.name)
	t.buckets[bucket] ^= m.hash
	if before != nil && t.addresses[m.address()] == m {
		delete(t.addresses, m.address())
	}
	update()
	m.hash = 0
	if m.record != nil {
		m.hash = hashRecord(m.record)
	}
	t.buckets[bucket] ^= m.hash
	after := m.effective()
	if after != nil {
		t.addresses[m.address()] = m
	}
	if !sameRecord(before, after) {
		t.changes++
	}
}

// merge takes an announced record; it returns the record in force if that changed. direct tells that the instance
// itself sent it.
func (t *table) merge(r *schema.Member, now time.Time, direct bool) *schema.Member {
	name := r.GetInstance()
	if !validRecord(r) || t.members[name] == nil && len(t.members) >= maxMembers {
		return nil
	}
	if gone, ok := t.removed[name]; ok {
		if !direct && r.GetVersion() <= gone.version {
			return nil
		}
		delete(t.removed, name)
	}
	m := t.add(name, now)
	joined := join(m.record, r)
	if m.record != nil && hashRecord(joined) == m.hash {
		return nil
	}
	if m.record.GetIncarnation() != joined.GetIncarnation() {
		m.contact, m.failures, m.skip = now, 0, time.Time{}
	}
	t.change(m, func() { m.record = joined })
	return joined
}

// list takes the platform's list. With keep, instances that it no longer names stay as they were.
func (t *table) list(members []*schema.Member, now time.Time, self string, keep bool) {
	named := make(map[string]*schema.Member, len(members))
	for _, r := range members {
		named[r.GetInstance()] = r
	}
	for _, m := range append([]*member{}, t.order...) {
		if named[m.name] != nil || keep {
			continue
		}
		if m.record == nil {
			t.remove(m)
			continue
		}
		t.change(m, func() {
			m.listed = nil
			m.unlisted = t.decisive && m.name == self
		})
	}
	for _, r := range members {
		if t.members[r.GetInstance()] == nil && len(t.members) >= maxMembers {
			continue
		}
		m := t.add(r.GetInstance(), now)
		t.change(m, func() {
			m.listed = r
			m.unlisted = false
		})
	}
}

// met notes a direct exchange with a member.
func (t *table) met(m *member, now time.Time) {
	if m != nil {
		m.contact, m.failures, m.skip = now, 0, time.Time{}
	}
}

// missed notes an attempt without an answer.
func (t *table) missed(m *member, now time.Time) {
	if m != nil {
		m.skip = now.Add(min(maxSkip, firstSkip<<min(m.failures, 10)))
		m.failures++
	}
}

// expire removes the records of instances that the list does not name and that no one has met for a while.
func (t *table) expire(now time.Time, self string) {
	for _, m := range append([]*member{}, t.order...) {
		life := deadAfter
		if m.state() == schema.InstanceState_INSTANCE_STATE_GONE {
			life = goneAfter
		}
		if m.name == self || m.listed != nil || now.Sub(m.contact) < life {
			continue
		}
		t.removed[m.name] = removal{version: m.record.GetVersion(), at: now}
		t.remove(m)
	}
	for name, r := range t.removed {
		if now.Sub(r.at) > removedFor {
			delete(t.removed, name)
		}
	}
}

// records returns the announced records in some buckets.
func (t *table) records(buckets []uint32) []*schema.Member {
	var wanted [bucketCount]bool
	for _, b := range buckets {
		if b < bucketCount {
			wanted[b] = true
		}
	}
	var records []*schema.Member
	for _, m := range t.order {
		if m.record != nil && wanted[bucketOf(m.name)] {
			records = append(records, m.record)
		}
	}
	return records
}

// effective returns the records in force by name.
func (t *table) effective() []*schema.Member {
	records := make([]*schema.Member, 0, len(t.order))
	for _, m := range t.order {
		records = append(records, m.effective())
	}
	return records
}
