package io

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// freeMessageBytes is the size up to which a message being read is not counted, and smallMessageBytes the size up to which
	// it may use the reserve, so that small messages pass while large ones fill the budget.
	freeMessageBytes  = 4 << 10
	smallMessageBytes = 64 << 10
	// reserveShare is the divisor of the budget that gives the reserve for small messages.
	reserveShare = 4
	// pressureShare is the divisor of the budget that gives the use above which a connection has one request at a time.
	pressureShare = 2
	// budgetShare is the divisor of the machine's memory that gives the budget. Buffers that grow leave several times the
	// bytes that they hold as garbage.
	budgetShare     = 16
	minMemoryBudget = 8 << 20
	maxMemoryBudget = 32 << 20
	// defaultMachineMemory is assumed if the machine does not tell its memory.
	defaultMachineMemory = 128 << 20
	// scoreAge is added to the age of a message, so that among new messages the largest is given up.
	scoreAge = 100 * time.Millisecond
	// maxFreeWait limits the wait for the memory of messages that have been given up.
	maxFreeWait = time.Second
)

// errMemoryFull is returned by reads of a message for which the node has no memory left.
var errMemoryFull = errors.New("no memory left for large requests")

// Memory is the budget of bytes for what callers and the backend server make a node hold: requests being read, calls in
// progress, and responses that have not been taken. When it is full, the message that holds most for longest is given up.
type Memory struct {
	mutex sync.Mutex
	limit int
	used  int
	// releasing is the part of used that belongs to messages that have been given up and not yet released.
	releasing int
	holdings  map[*holding]struct{}
	// freed is closed when memory is released or a message is given up; nil if nobody waits.
	freed   chan struct{}
	evicted atomic.Int64
}

// NewMemory returns a budget of a number of bytes.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, holdings: make(map[*holding]struct{})}
}

// DefaultMemory returns the budget of a node on this machine: a share of its memory.
func DefaultMemory() *Memory {
	return NewMemory(min(max(MachineMemory()/budgetShare, minMemoryBudget), maxMemoryBudget))
}

// MachineMemory returns the memory of this machine in bytes.
func MachineMemory() int {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultMachineMemory
	}
	return int(info.Totalram * uint64(info.Unit))
}

// Used returns the number of bytes that count at present.
func (m *Memory) Used() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.used
}

// Limit returns the size of the budget in bytes.
func (m *Memory) Limit() int { return m.limit }

// Evicted returns the number of messages that have been given up.
func (m *Memory) Evicted() int64 { return m.evicted.Load() }

// pressed reports whether so much is in use that connections should not have several requests at a time.
func (m *Memory) pressed() bool { return m.Used() > m.limit/pressureShare }

// take counts n more bytes of a message. If they do not fit, the message that holds most for longest is given up, which may
// be this one, and take waits for its memory.
func (m *Memory) take(h *holding, n int) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	deadline := time.Now().Add(maxFreeWait)
	for {
		if h.evicted.Load() {
			return errMemoryFull
		}
		if m.fits(h, n) {
			m.add(h, n)
			return nil
		}
		if m.used-m.releasing+n > m.limit {
			victim := m.victim(h)
			if victim == nil || victim == h {
				m.evict(h)
				return errMemoryFull
			}
			m.evict(victim)
			victim.abort()
		}
		if !m.waitFreed(time.Until(deadline)) {
			m.evict(h)
			return errMemoryFull
		}
	}
}

// fits reports whether a message may have n more bytes. A small message may use the reserve, also beside one above the budget. A
// single request may exceed the whole budget while nearly nothing else is held, since the document allows it.
func (m *Memory) fits(h *holding, n int) bool {
	if m.used+n <= m.limit {
		return true
	}
	if h.bytes+n <= smallMessageBytes {
		return m.cappedUse()+m.releasing+n <= m.limit+m.limit/reserveShare
	}
	counted := 0
	if h.counts {
		counted = h.bytes
	}
	return h.mayExceed && h.bytes+n > m.limit/reserveShare && m.used-counted <= m.limit/budgetShare
}

// add counts n more bytes of a message, whatever the limit.
func (m *Memory) add(h *holding, n int) {
	if !h.counts {
		h.counts = true
		m.holdings[h] = struct{}{}
		m.used += h.bytes
	}
	h.bytes += n
	m.used += n
}

// victim returns the message that is to be given up for h, which may be nil: the one with the most bytes times age, which may
// be h. It returns nil if there is none.
func (m *Memory) victim(h *holding) *holding {
	now := time.Now()
	worst, worstScore := (*holding)(nil), 0.0
	if h != nil && h.abort != nil {
		worst, worstScore = h, h.score(now)
	}
	for other := range m.holdings {
		if other == h || other.evicted.Load() || !other.expendable(now) {
			continue
		}
		if score := other.score(now); score > worstScore {
			worst, worstScore = other, score
		}
	}
	return worst
}

func (m *Memory) evict(h *holding) {
	if h.evicted.Swap(true) {
		return
	}
	m.evicted.Add(1)
	if h.counts {
		m.releasing += h.bytes
	}
	m.signalFreed()
}

func (m *Memory) signalFreed() {
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// waitFreed waits until memory is released, and reports false after the limit. The mutex is released meanwhile.
func (m *Memory) waitFreed(limit time.Duration) bool {
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	freed := m.freed
	m.mutex.Unlock()
	defer m.mutex.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-freed:
		return true
	case <-timer.C:
		return false
	}
}
