// Package poison keeps the fingerprints of requests that were in flight when a backend server crashed. It does no I/O.
//
// A crash has a random identifier, and a table holds for each fingerprint a set of crashes, some of them cleared.
// Merge takes the union of the sets, and cleared wins over not cleared; both are commutative, associative and
// idempotent, so tables converge whatever the order and duplication of messages, and a crash that many nodes report
// counts once. Clear marks the crashes known at that time, so an older record of one of them doesn't undo it, and a
// later crash has another identifier and still counts.
//
// Nodes share no clock, so records travel with their remaining life. A table that already holds a crash keeps its own
// time; each copy into a table that lacks it costs 1/64 of the life. A record therefore can't circulate for ever
// between tables that drop and learn it again.
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

// Condemned is the number of crashes from which a fingerprint is refused. Crashes counts more than one only if the request
// ran alone in one of them: a popular request may be in flight in several crashes that another one causes.
const Condemned = 2

const (
	// hopShare is the number of copies in a row after which a record has no life left.
	hopShare = 64
	// maxCrashes bounds the crashes kept for one fingerprint, cleared ones included.
	maxCrashes = 8
)

// Table is a bounded table of suspects. It is safe for concurrent use.
type Table struct {
	mutex    sync.Mutex
	capacity int
	life     time.Duration
	entries  map[uint64]*entry
	// turn counts the entries that Records gave besides the latest.
	turn int
}

// entry is the record of one fingerprint. It lives until its latest crash expires, so that a condemned fingerprint
// stays refused for the whole life after its last crash.
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

// New returns an empty table for at most capacity fingerprints, each kept for life after its last crash.
func New(capacity int, life time.Duration) *Table {
	return &Table{
		capacity: max(capacity, 1),
		life:     life,
		entries:  make(map[uint64]*entry),
	}
}

// Crashes returns the number of crashes of the fingerprint that are not cleared. From Condemned on it is refused.
func (t *Table) Crashes(now time.Time, fingerprint uint64) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[fingerprint]
	if e == nil || e.expired(now) {
		return 0
	}
	return e.count()
}

// Known reports whether the table holds a crash of the fingerprint, cleared or not.
func (t *Table) Known(now time.Time, fingerprint uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[fingerprint]
	return e != nil && !e.expired(now)
}

// Record adds one crash with the fingerprints that were in flight; alone tells that the only one ran alone. A fingerprint
// that occurs twice counts once.
func (t *Table) Record(now time.Time, fingerprints []uint64, alone bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	id := rand.Uint64()
	for _, f := range fingerprints {
		t.learn(f, crash{id: id, alone: alone}, now.Add(t.life))
	}
	t.shrink(t.capacity)
}

// Clear marks the known crashes of a fingerprint whose request was answered without a crash. A condemned fingerprint stays
// refused: it no longer runs, so the clean run began before its last crash was known.
//
// The mark is kept for a whole life, so that it outlives each copy of the crashes.
func (t *Table) Clear(now time.Time, fingerprint uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[fingerprint]
	if e == nil || e.expired(now) || e.count() == 0 || e.count() >= Condemned {
		return
	}
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
	e.expires = now.Add(t.life)
}

// Merge adds the records of another table and returns those that changed this one.
func (t *Table) Merge(now time.Time, suspects []*schema.Suspect) (changed []*schema.Suspect) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, s := range suspects {
		life := min(time.Duration(s.GetExpiresMs())*time.Millisecond, t.life) - t.life/hopShare
		if life <= 0 {
			continue
		}
		if t.learn(s.GetFingerprint(), crash{id: s.GetCrash(), cleared: s.GetCleared(), alone: s.GetAlone()}, now.Add(life)) {
			changed = append(changed, s)
		}
	}
	t.shrink(t.capacity)
	return slices.DeleteFunc(changed, func(s *schema.Suspect) bool { return t.entries[s.GetFingerprint()] == nil })
}

// Records returns at most limit records for the exchange. Up to three quarters of them are of the latest fingerprints,
// so that a crash that was just recorded is pushed whatever else the table holds; the others take turns, so that
// repeated exchanges carry the whole table if limit is at least 16. Records of one fingerprint stay together.
func (t *Table) Records(now time.Time, limit int) []*schema.Suspect {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	entries := slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int { return -a.compareAge(b) })
	latest := limit - max(limit/4, maxCrashes)
	var records []*schema.Suspect
	for len(entries) > 0 && (len(records) == 0 || len(records)+len(entries[0].crashes) <= latest) {
		records = append(records, entries[0].records(now)...)
		entries = entries[1:]
	}
	for range entries {
		e := entries[t.turn%len(entries)]
		if len(records)+len(e.crashes) > limit {
			break
		}
		records = append(records, e.records(now)...)
		t.turn++
	}
	return records[:max(min(limit, len(records)), 0)]
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.entries)
}

// learn adds a crash, or clears a known one, and reports whether the table changed.
func (t *Table) learn(fingerprint uint64, c crash, expires time.Time) bool {
	e := t.entries[fingerprint]
	if e == nil {
		t.shrink(2*t.capacity - 1)
		t.entries[fingerprint] = &entry{fingerprint: fingerprint, expires: expires, crashes: []crash{c}}
		return true
	}
	if !e.add(c) {
		return false
	}
	if expires.After(e.expires) {
		e.expires = expires
	}
	return true
}

// shrink evicts the least entries if there are more than limit, down to the capacity. While a message is merged, the
// table may hold twice its capacity, so that one sort serves many evictions.
func (t *Table) shrink(limit int) {
	if len(t.entries) <= limit {
		return
	}
	entries := slices.SortedFunc(maps.Values(t.entries), (*entry).compare)
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

// add adds a crash, or clears a known one, and reports whether the entry changed.
func (e *entry) add(c crash) bool {
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
	return e.replace(c)
}

// replace replaces the first crash of a full entry that says less than c: a cleared one, or, by a crash of a lone run, one
// that was shared.
func (e *entry) replace(c crash) bool {
	for i := range e.crashes {
		known := e.crashes[i]
		if !c.cleared && (known.cleared || c.alone && !known.alone) {
			e.crashes[i] = c
			return true
		}
	}
	return false
}

// count returns the crashes that are not cleared, but at most one if the request ran alone in none of them.
func (e *entry) count() int {
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

// compare orders entries for eviction: those that are not condemned first, then the oldest.
func (e *entry) compare(other *entry) int {
	return cmp.Or(
		cmp.Compare(min(e.count(), Condemned)/Condemned, min(other.count(), Condemned)/Condemned),
		e.compareAge(other),
	)
}

// compareAge orders entries from the oldest to the latest.
func (e *entry) compareAge(other *entry) int {
	return cmp.Or(e.expires.Compare(other.expires), cmp.Compare(e.fingerprint, other.fingerprint))
}

func (e *entry) records(now time.Time) []*schema.Suspect {
	remaining := e.expires.Sub(now).Milliseconds()
	records := make([]*schema.Suspect, 0, len(e.crashes))
	for _, c := range e.crashes {
		records = append(records, schema.Suspect_builder{
			Fingerprint: e.fingerprint,
			Crashes:     uint32(e.count()),
			ExpiresMs:   uint32(min(remaining, math.MaxUint32)),
			Cleared:     c.cleared,
			Crash:       c.id,
			Alone:       c.alone,
		}.Build())
	}
	return records
}
