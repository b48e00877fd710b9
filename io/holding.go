package io

import (
	"sync/atomic"
	"time"
)

// holding is the part of the budget that one message takes. Its methods are called by one goroutine at a time.
type holding struct {
	memory *Memory
	// bytes is the size of the message so far. Once the message counts, it is protected by the mutex of the budget.
	bytes  int
	counts bool
	// prepaid is the part of a declared length that has not been read yet.
	prepaid int
	// since is the time from which the message is held.
	since time.Time
	// mayExceed is set for requests: a single one may exceed the budget in calm conditions.
	mayExceed bool
	// abort ends the read of the message, or the connection that does not take it; nil if it cannot be given up. stalled
	// reports whether the caller does not take the message; nil for a message that is being read. Both are protected by the
	// mutex of the budget.
	abort   func()
	stalled func(now time.Time) bool
	// evicted is set once the message has been given up.
	evicted atomic.Bool
}

// hold returns the holding of a new message. abort is called from another goroutine to end its reading.
func (m *Memory) hold(abort func()) *holding {
	return &holding{memory: m, abort: abort, since: time.Now()}
}

// reserve returns the holding of a large body of n bytes from another node, which cannot be given up, or nil if there is no room
// for it now.
func (m *Memory) reserve(n int) *holding {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	h := &holding{memory: m, since: time.Now(), mayExceed: true}
	if !m.fits(h, n) {
		return nil
	}
	m.add(h, n)
	return h
}

// score returns the bytes of the message times its age in seconds. The mutex must be held.
func (h *holding) score(now time.Time) float64 {
	return float64(max(h.bytes, freeMessageBytes)) * (now.Sub(h.since) + scoreAge).Seconds()
}

// expendable reports whether the message may be given up. The mutex must be held.
func (h *holding) expendable(now time.Time) bool {
	return h.abort != nil && (h.stalled == nil || h.stalled(now))
}

// reserve counts a declared length before it is read.
func (h *holding) reserve(n int) error {
	if n <= 0 {
		return nil
	}
	err := h.grow(n)
	h.prepaid = n
	return err
}

// grow adds bytes to the message. It returns errMemoryFull if the message has to be given up.
func (h *holding) grow(n int) error {
	if h.evicted.Load() {
		return errMemoryFull
	}
	paid := min(n, h.prepaid)
	h.prepaid -= paid
	if n -= paid; n == 0 {
		return nil
	}
	if !h.counts && h.bytes+n <= freeMessageBytes {
		h.bytes += n
		return nil
	}
	return h.memory.take(h, n)
}

// shrink returns a part of the message to the budget.
func (h *holding) shrink(n int) {
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	if !h.counts {
		return
	}
	h.memory.used -= n
	if h.evicted.Load() {
		h.memory.releasing -= n
	}
	h.memory.signalFreed()
}

// pin keeps the message, which has been read whole, from being given up, and adds the cost of its call. It returns
// errMemoryFull if there is no memory.
func (h *holding) pin(cost int) error {
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	if h.evicted.Load() || !h.fitsCall(cost) && !h.memory.makeRoom() {
		return errMemoryFull
	}
	h.abort = nil
	h.memory.add(h, cost)
	return nil
}

// fitsCall reports whether there is memory for the call of the message. A message that counts has been admitted already.
func (h *holding) fitsCall(cost int) bool {
	m := h.memory
	return h.counts || m.cappedUse()+h.bytes+cost <= m.limit+m.limit/reserveShare
}

// cappedUse returns the bytes in use, of which a single message counts for at most half of the budget. A message above the budget is
// admitted while there is no other, and must not keep small requests out for as long as it takes.
func (m *Memory) cappedUse() int {
	total := m.used - m.releasing
	if total <= m.limit {
		return total
	}
	for h := range m.holdings {
		total -= max(0, h.bytes-m.limit/2)
	}
	return total
}

// makeRoom gives up the message that holds most for longest, so that a small request can run. It reports whether there was one.
func (m *Memory) makeRoom() bool {
	victim := m.victim(nil)
	if victim == nil {
		return false
	}
	m.evict(victim)
	victim.abort()
	return true
}

// replace makes the holding that of a response of n bytes. A response has been given by the server, so it always fits; it may
// be given up by abort while its caller does not take it.
func (h *holding) replace(n int, abort func(), stalled func(now time.Time) bool) {
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used += n - h.bytes
	h.bytes, h.since, h.abort, h.stalled = n, time.Now(), abort, stalled
	m.signalFreed()
	if m.used-m.releasing <= m.limit {
		return
	}
	if victim := m.victim(nil); victim != nil {
		m.evict(victim)
		victim.abort()
	}
}

// release returns the bytes of the message to the budget.
func (h *holding) release() {
	if h == nil || !h.counts {
		return
	}
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used -= h.bytes
	if h.evicted.Load() {
		m.releasing -= h.bytes
	}
	delete(m.holdings, h)
	h.counts, h.bytes = false, 0
	m.signalFreed()
}
