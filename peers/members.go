package peers

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"verbenareel/schema"
)

const (
	// bucketCount is the number of buckets that member records are hashed into to find differences between nodes.
	bucketCount = 32
	// memberTimeout is the time without direct contact after which the record of an instance is removed, unless the
	// platform's list names the instance. With 840 nodes, two given nodes exchange messages every 105 s on average.
	memberTimeout = 10 * time.Minute
	// goneMemberTimeout is the same timeout for an instance whose state is gone.
	goneMemberTimeout = time.Minute
	// tombstoneLifetime is how long the record of a removed instance is refused from other nodes, which may remove it
	// later than this node.
	tombstoneLifetime = 2 * memberTimeout
	// maxMembers limits the size of the table. It is far above the target of 840 instances.
	maxMembers = 8192
	// maxStringLength limits each string of a record.
	maxStringLength = 128
	// minRetryDelay and maxRetryDelay bound the time during which a peer that did not answer is not chosen again. When
	// a partition ends, peers are retried within maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// member is what a node knows about one instance.
type member struct {
	name string
	// record is the record that the instance announced for itself, or nil.
	record *schema.Member
	hash   uint64
	// listEntry is the instance's entry in the platform's list, or nil.
	listEntry *schema.Member
	// missingFromList is set only for the node's own instance, if the list is authoritative and does not name it.
	missingFromList bool
	// lastContact is the time of the last direct exchange, or when the first record arrived.
	lastContact time.Time
	// failures counts the unanswered requests since the last contact. The peer is not chosen before retryAt.
	failures int
	retryAt  time.Time
}

// effective returns the record in force: the announced one if there is one, else the list entry, with the worse of both
// states. An instance whose node announces another service than the list names gets no calls.
func (m *member) effective() *schema.Member {
	if m.record == nil {
		return m.listEntry
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
	return m.listEntry.GetAddress()
}

func (m *member) state() schema.InstanceState {
	state := max(m.record.GetState(), m.listEntry.GetState())
	if m.record != nil && m.listEntry != nil && m.record.GetService() != m.listEntry.GetService() {
		state = max(state, schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE)
	}
	if m.missingFromList {
		return max(state, schema.InstanceState_INSTANCE_STATE_LEAVING)
	}
	return state
}

func withState(record *schema.Member, state schema.InstanceState) *schema.Member {
	changed := proto.CloneOf(record)
	changed.SetState(state)
	return changed
}

// sameRecord reports whether two records agree in every field that a snapshot exposes.
func sameRecord(a, b *schema.Member) bool {
	return (a == nil) == (b == nil) && a.GetInstance() == b.GetInstance() && a.GetService() == b.GetService() &&
		a.GetDomain() == b.GetDomain() && a.GetAddress() == b.GetAddress() && a.GetIncarnation() == b.GetIncarnation() &&
		a.GetState() == b.GetState()
}

// hashRecord returns the hash by which nodes compare records.
func hashRecord(r *schema.Member) uint64 {
	var data [7 + 4*maxStringLength]byte
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

// validRecord reports whether an announced record may enter the table.
func validRecord(r *schema.Member) bool {
	for _, text := range []string{r.GetInstance(), r.GetService(), r.GetDomain(), r.GetAddress()} {
		if text == "" || len(text) > maxStringLength {
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

// joinRecords merges two records of one instance. It is commutative: the record with the higher version wins, and
// within one incarnation a leaving or gone state is never replaced by a better one.
func joinRecords(a, b *schema.Member) *schema.Member {
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

// tombstone marks a removed record.
type tombstone struct {
	version uint64
	at      time.Time
}

// memberTable holds the known members.
type memberTable struct {
	byName map[string]*member
	// sorted holds the members in the order of their names, so that iteration is deterministic.
	sorted       []*member
	byAddress    map[string]*member
	bucketHashes [bucketCount]uint64
	tombstones   map[string]tombstone
	// changes counts changes of effective records.
	changes uint64
	// authoritative is set once the platform's list has been read, if the list decides whether the node's own instance
	// may accept work.
	authoritative bool
}

func newMemberTable() *memberTable {
	return &memberTable{
		byName:     make(map[string]*member),
		byAddress:  make(map[string]*member),
		tombstones: make(map[string]tombstone),
	}
}

// getOrAdd returns the member with the name, adding it if necessary.
func (t *memberTable) getOrAdd(name string, now time.Time) *member {
	if m := t.byName[name]; m != nil {
		return m
	}
	m := &member{name: name, lastContact: now}
	t.byName[name] = m
	i := sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].name > name })
	t.sorted = append(t.sorted, nil)
	copy(t.sorted[i+1:], t.sorted[i:])
	t.sorted[i] = m
	return m
}

func (t *memberTable) remove(m *member) {
	t.update(m, func() { m.record, m.listEntry = nil, nil })
	delete(t.byName, m.name)
	i := sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].name >= m.name })
	t.sorted = append(t.sorted[:i], t.sorted[i+1:]...)
}

// update applies a change to one member and keeps bucket hashes, the address index and the change counter consistent.
func (t *memberTable) update(m *member, apply func()) {
	before := m.effective()
	bucket := bucketOf(m.name)
	t.bucketHashes[bucket] ^= m.hash
	if before != nil && t.byAddress[m.address()] == m {
		delete(t.byAddress, m.address())
	}
	apply()
	m.hash = 0
	if m.record != nil {
		m.hash = hashRecord(m.record)
	}
	t.bucketHashes[bucket] ^= m.hash
	after := m.effective()
	if after != nil {
		t.byAddress[m.address()] = m
	}
	if !sameRecord(before, after) {
		t.changes++
	}
}

// merge adds an announced record and returns the resulting record, or nil if nothing changed. direct is set if the
// instance itself sent the record.
func (t *memberTable) merge(r *schema.Member, now time.Time, direct bool) *schema.Member {
	name := r.GetInstance()
	if !validRecord(r) || t.byName[name] == nil && len(t.byName) >= maxMembers {
		return nil
	}
	if removed, ok := t.tombstones[name]; ok {
		if !direct && r.GetVersion() <= removed.version {
			return nil
		}
		delete(t.tombstones, name)
	}
	m := t.getOrAdd(name, now)
	joined := joinRecords(m.record, r)
	if m.record != nil && hashRecord(joined) == m.hash {
		return nil
	}
	if m.record.GetIncarnation() != joined.GetIncarnation() {
		m.lastContact, m.failures, m.retryAt = now, 0, time.Time{}
	}
	t.update(m, func() { m.record = joined })
	return joined
}

// applyOthers applies the platform's list of all instances but the node's own one, self. With keepMissing, instances that
// the list no longer names keep their entries.
func (t *memberTable) applyOthers(members []*schema.Member, now time.Time, self string, keepMissing bool) {
	entries := make(map[string]*schema.Member, len(members))
	for _, r := range members {
		entries[r.GetInstance()] = r
	}
	for _, m := range append([]*member{}, t.sorted...) {
		switch {
		case entries[m.name] != nil || keepMissing || m.name == self:
		case m.record == nil:
			t.remove(m)
		default:
			t.update(m, func() { m.listEntry, m.missingFromList = nil, false })
		}
	}
	for _, r := range members {
		if t.byName[r.GetInstance()] == nil && len(t.byName) >= maxMembers {
			continue
		}
		m := t.getOrAdd(r.GetInstance(), now)
		t.update(m, func() { m.listEntry, m.missingFromList = r, false })
	}
}

// applyOwn applies the entry of the node's own instance; nil means that the list does not name it.
func (t *memberTable) applyOwn(self string, entry *schema.Member, now time.Time) {
	m := t.getOrAdd(self, now)
	t.update(m, func() {
		m.listEntry = entry
		m.missingFromList = entry == nil && t.authoritative
	})
}

// recordContact records a direct exchange with a member.
func (t *memberTable) recordContact(m *member, now time.Time) {
	if m != nil {
		m.lastContact, m.failures, m.retryAt = now, 0, time.Time{}
	}
}

// recordFailure records an unanswered request and delays the next one.
func (t *memberTable) recordFailure(m *member, now time.Time) {
	if m != nil {
		m.retryAt = now.Add(min(maxRetryDelay, minRetryDelay<<min(m.failures, 10)))
		m.failures++
	}
}

// expire removes the records of instances that are not in the list and have had no direct contact within their timeout.
func (t *memberTable) expire(now time.Time, self string) {
	for _, m := range append([]*member{}, t.sorted...) {
		timeout := memberTimeout
		if m.state() == schema.InstanceState_INSTANCE_STATE_GONE {
			timeout = goneMemberTimeout
		}
		if m.name == self || m.listEntry != nil || now.Sub(m.lastContact) < timeout {
			continue
		}
		t.tombstones[m.name] = tombstone{version: m.record.GetVersion(), at: now}
		t.remove(m)
	}
	for name, r := range t.tombstones {
		if now.Sub(r.at) > tombstoneLifetime {
			delete(t.tombstones, name)
		}
	}
}

// records returns the announced records in the given buckets.
func (t *memberTable) records(buckets []uint32) []*schema.Member {
	var wanted [bucketCount]bool
	for _, b := range buckets {
		if b < bucketCount {
			wanted[b] = true
		}
	}
	var records []*schema.Member
	for _, m := range t.sorted {
		if m.record != nil && wanted[bucketOf(m.name)] {
			records = append(records, m.record)
		}
	}
	return records
}

// effective returns the records in force, sorted by name.
func (t *memberTable) effective() []*schema.Member {
	records := make([]*schema.Member, 0, len(t.sorted))
	for _, m := range t.sorted {
		records = append(records, m.effective())
	}
	return records
}
