// Package poison keeps the fingerprints of requests that were in flight when a backend server crashed, so that requests
// that crash backend servers can be refused. It does no I/O.
//
// A crash has a random identifier. For each fingerprint, a table holds a set of crashes, each of which may be marked as
// cleared. Merge takes the union of the sets, and cleared wins over not cleared. Both operations are commutative,
// associative and idempotent, so tables converge whatever the order and duplication of messages, and a crash that many
// nodes report counts once. Clear marks the crashes known at that time: an older record of one of them doesn't undo the
// mark, and a later crash has another identifier and still counts.
//
// Nodes have no common clock, so records carry their remaining lifetime. A table that already holds a crash keeps its
// own expiry time; each copy into a table that lacks the crash costs 1/64 of the lifetime. A record therefore can't
// circulate forever between tables that drop and relearn it.
package poison

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenareel/schema"
)

// RefusalThreshold is the number of crashes from which on a fingerprint is refused. Crashes returns more than one only if the
// request ran alone in at least one crash: a popular request may be in flight in several crashes that another request
// causes.
const RefusalThreshold = 2

const (
	// maxCopies is the number of successive copies after which a record has no lifetime left.
	maxCopies = 64
	// maxCrashes limits the crashes kept for one fingerprint, including cleared ones.
	maxCrashes = 8
)

// Table is a table of suspects with limited capacity. It is safe for concurrent use.
type Table struct {
	mutex    sync.Mutex
	capacity int
	ttl      time.Duration
	entries  map[uint64]*entry
	// rotation counts the entries that Records has returned in addition to the latest ones.
	rotation int
}

// entry holds the crashes of one fingerprint. It expires with its latest crash, so that a fingerprint with RefusalThreshold
// crashes is refused for a whole lifetime after its last crash.
type entry struct {
	fingerprint uint64
	expires     time.Time
	crashes     []crash
}

type crash struct {
	id      uint64
	cleared bool
	alone   bool
}

// New returns an empty table for at most capacity fingerprints. Each is kept for ttl after its last crash.
func New(capacity int, ttl time.Duration) *Table {
	return &Table{
		capacity: max(capacity, 1),
		ttl:      ttl,
		entries:  make(map[uint64]*entry),
	}
}

// Crashes returns the number of crashes of the fingerprint that are not cleared, but at most one if the request ran
// alone in none of them. The fingerprint is refused from RefusalThreshold on.
func (t *Table) Crashes(now time.Time, fingerprint uint64) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[fingerprint]
	if e == nil || e.expired(now) {
		return 0
	}
	return e.activeCrashes()
}

// Known reports whether the table holds a crash of the fingerprint, cleared or not.
func (t *Table) Known(now time.Time, fingerprint uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[fingerprint]
	return e != nil && !e.expired(now)
}

// Record adds one crash with the fingerprints of the requests in flight. alone is set if a single request ran alone.
// Duplicate fingerprints count once.
func (t *Table) Record(now time.Time, fingerprints []uint64, alone bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	id := rand.Uint64()
	for _, f := range fingerprints {
		t.addCrash(f, crash{id: id, alone: alone}, now.Add(t.ttl))
	}
	t.evict(t.capacity)
}

// Clear marks the known crashes of a fingerprint as cleared, after its request was answered without a crash. A
// fingerprint with RefusalThreshold crashes stays refused: it is no longer run, so the successful run began before its last
// crash was known.
//
// The mark is kept for a whole lifetime, so that it outlives every copy of the crashes.
func (t *Table) Clear(now time.Time, fingerprint uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[fingerprint]
	if e == nil || e.expired(now) || e.activeCrashes() == 0 || e.activeCrashes() >= RefusalThreshold {
		return
	}
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
	e.expires = now.Add(t.ttl)
}

// Merge adds the records of another table and returns those that changed this one.
func (t *Table) Merge(now time.Time, suspects []*schema.Suspect) (changed []*schema.Suspect) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, s := range suspects {
		ttl := min(time.Duration(s.GetExpiresMs())*time.Millisecond, t.ttl) - t.ttl/maxCopies
		if ttl <= 0 {
			continue
		}
		if t.addCrash(s.GetFingerprint(), crash{id: s.GetCrash(), cleared: s.GetCleared(), alone: s.GetAlone()}, now.Add(ttl)) {
			changed = append(changed, s)
		}
	}
	t.evict(t.capacity)
	return slices.DeleteFunc(changed, func(s *schema.Suspect) bool { return t.entries[s.GetFingerprint()] == nil })
}

// Records returns at most limit records to send to another node. Up to three quarters of them belong to the latest
// fingerprints, so that a new crash is sent whatever else the table holds. The rest rotates through the other entries,
// so that repeated exchanges cover the whole table if limit is at least 16. Records of one fingerprint stay together.
func (t *Table) Records(now time.Time, limit int) []*schema.Suspect {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	entries := slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int { return -a.compareAge(b) })
	latestLimit := limit - max(limit/4, maxCrashes)
	var records []*schema.Suspect
	for len(entries) > 0 && (len(records) == 0 || len(records)+len(entries[0].crashes) <= latestLimit) {
		records = append(records, entries[0].records(now)...)
		entries = entries[1:]
	}
	for range entries {
		e := entries[t.rotation%len(entries)]
		if len(records)+len(e.crashes) > limit {
			break
		}
		records = append(records, e.records(now)...)
		t.rotation++
	}
	return records[:max(min(limit, len(records)), 0)]
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.entries)
}

// addCrash adds a crash or marks a known one as cleared, and reports whether the table changed.
func (t *Table) addCrash(fingerprint uint64, c crash, expires time.Time) bool {
	e := t.entries[fingerprint]
	if e == nil {
		t.evict(2*t.capacity - 1)
		t.entries[fingerprint] = &entry{fingerprint: fingerprint, expires: expires, crashes: []crash{c}}
		return true
	}
	if !e.addCrash(c) {
		return false
	}
	if expires.After(e.expires) {
		e.expires = expires
	}
	return true
}

// evict removes entries in eviction order, down to the capacity, if there are more than limit. During a merge the table
// may hold up to twice its capacity, so that one sort serves many evictions.
func (t *Table) evict(limit int) {
	if len(t.entries) <= limit {
		return
	}
	entries := slices.SortedFunc(maps.Values(t.entries), (*entry).compareEviction)
	for _, e := range entries[:len(entries)-t.capacity] {
		delete(t.entries, e.fingerprint)
	}
}

func (t *Table) expire(now time.Time) {
	for f, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, f)
		}
	}
}

// addCrash adds a crash or marks a known one as cleared, and reports whether the entry changed.
func (e *entry) addCrash(c crash) bool {
	for i := range e.crashes {
		known := &e.crashes[i]
		if known.id != c.id {
			continue
		}
		changed := c.cleared && !known.cleared
		known.cleared = known.cleared || c.cleared
		return changed
	}
	if len(e.crashes) < maxCrashes {
		e.crashes = append(e.crashes, c)
		return true
	}
	return e.replaceWeaker(c)
}

// replaceWeaker replaces the first crash of a full entry that is weaker evidence than c: a cleared one, or, if the
// request ran alone in c, one in which it did not.
func (e *entry) replaceWeaker(c crash) bool {
	for i := range e.crashes {
		known := e.crashes[i]
		if !c.cleared && (known.cleared || c.alone && !known.alone) {
			e.crashes[i] = c
			return true
		}
	}
	return false
}

// activeCrashes returns the number of crashes that are not cleared, but at most one if the request ran alone in none of
// them.
func (e *entry) activeCrashes() int {
	count := 0
	alone := false
	for _, c := range e.crashes {
		if !c.cleared {
			count++
			alone = alone || c.alone
		}
	}
	if !alone {
		return min(count, 1)
	}
	return count
}

func (e *entry) expired(now time.Time) bool { return !now.Before(e.expires) }

// compareEviction orders entries for eviction: first those below RefusalThreshold crashes, then by age, oldest first.
func (e *entry) compareEviction(other *entry) int {
	return cmp.Or(
		cmp.Compare(min(e.activeCrashes(), RefusalThreshold)/RefusalThreshold, min(other.activeCrashes(), RefusalThreshold)/RefusalThreshold),
		e.compareAge(other),
	)
}

// compareAge orders entries by age, oldest first.
func (e *entry) compareAge(other *entry) int {
	return cmp.Or(e.expires.Compare(other.expires), cmp.Compare(e.fingerprint, other.fingerprint))
}

func (e *entry) records(now time.Time) []*schema.Suspect {
	remaining := e.expires.Sub(now).Milliseconds()
	records := make([]*schema.Suspect, 0, len(e.crashes))
	for _, c := range e.crashes {
		records = append(records, schema.Suspect_builder{
			Fingerprint: e.fingerprint,
			Crashes:     uint32(e.activeCrashes()),
			ExpiresMs:   uint32(min(remaining, math.MaxUint32)),
			Cleared:     c.cleared,
			Crash:       c.id,
			Alone:       c.alone,
		}.Build())
	}
	return records
}
