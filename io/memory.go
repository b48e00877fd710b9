package io

import (
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

const (
	// freeMessageBytes is the size up to which a body is not counted, so that small messages pass while large ones fill the
	// budget.
	freeMessageBytes = 64 << 10
	// budgetShare is the divisor of the machine's memory that gives the budget. Buffers that grow leave several times the
	// bytes that they hold as garbage.
	budgetShare     = 16
	minMemoryBudget = 8 << 20
	maxMemoryBudget = 32 << 20
	// defaultMachineMemory is assumed if the machine does not tell its memory.
	defaultMachineMemory = 128 << 20
)

// errMemoryFull is returned by reads of a body for which the node has no memory left.
var errMemoryFull = errors.New("no memory left for large bodies")

// Memory is the budget of bytes for the large bodies that a node holds: request bodies of callers and answers of the backend
// server. When it is full, the largest body that is being read is given up.
type Memory struct {
	mutex    sync.Mutex
	limit    int
	used     int
	holdings map[*holding]struct{}
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

// holding is the part of the budget that one message takes. Its methods are called by one goroutine.
type holding struct {
	memory *Memory
	// bytes is the size of the message so far. Once the message counts, it is protected by the mutex of the budget.
	bytes  int
	counts bool
	// prepaid is the part of a declared length that has not been read yet.
	prepaid int
	// abort ends the read of the message; nil if it cannot be given up. It is protected by the mutex of the budget.
	abort func()
	// evicted is set once the message has been given up.
	evicted atomic.Bool
}

// hold returns the holding of a new message. abort is called from another goroutine to end its reading.
func (m *Memory) hold(abort func()) *holding { return &holding{memory: m, abort: abort} }

// reserve counts a declared length before it is read: a buffer of that length is allocated at once.
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

// pin keeps the message, which has been read whole, from being given up. It returns errMemoryFull if it has been already.
func (h *holding) pin() error {
	if !h.counts {
		return nil
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	if h.evicted.Load() {
		return errMemoryFull
	}
	h.abort = nil
	return nil
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
	delete(m.holdings, h)
	h.counts, h.bytes = false, 0
}

// take counts n more bytes of a message. If they exceed the budget, the largest message is given up, which may be this one.
func (m *Memory) take(h *holding, n int) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !h.counts {
		h.counts = true
		m.holdings[h] = struct{}{}
		m.used += h.bytes
	}
	h.bytes += n
	m.used += n
	if m.used <= m.limit {
		return nil
	}
	largest := h
	for other := range m.holdings {
		if other.abort != nil && !other.evicted.Load() && other.bytes > largest.bytes {
			largest = other
		}
	}
	largest.evicted.Store(true)
	if largest == h {
		return errMemoryFull
	}
	largest.abort()
	return nil
}
