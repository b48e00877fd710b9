package io

import (
	"sync"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// maxTransferBytes limits the memory for the transferred bodies of a server in bytes, without those that are reserved in
	// the budget of the node.
	maxTransferBytes = 16 << 20
	// maxTransferSize is the size of the largest body in bytes. A document cannot allow more.
	maxTransferSize = 64 << 20
	// transferLifetime is how long a transferred body is kept for its call.
	transferLifetime = 10 * time.Second
	// maxChunkGap is the time without a chunk after which an incomplete transfer counts as abandoned.
	maxChunkGap = time.Second
	// arrivalDecay is the weight of the earlier arrivals in the rate at which bodies arrive, for each chunk.
	arrivalDecay = 0.95
	// maxReceiveWait limits the reported wait, which is an estimate.
	maxReceiveWait = 10 * time.Second
)

// bodyStore holds the bodies that have been transferred to a server before their calls. A body of more than limit bytes is
// reserved in the memory budget of the node, from its first chunk until its call has ended.
type bodyStore struct {
	clock  core.Clock
	limit  int
	memory *Memory

	mutex     sync.Mutex
	transfers map[uint64]*transfer
	bytes     int
	// missing is the number of bytes that have not arrived. received and receiveTime are decaying sums of the bytes that
	// arrived while some were missing, and of that time.
	missing     int
	lastChunk   time.Time
	received    float64
	receiveTime time.Duration
}

// transfer is a body of which the given number of bytes is missing.
type transfer struct {
	body      []byte
	missing   int
	lastChunk time.Time
	// reserved is the part of the memory budget that a large body takes, or nil.
	reserved *holding
}

// newBodyStore returns a store for bodies. Those of more than limit bytes are reserved in memory.
func newBodyStore(clock core.Clock, limit int, memory *Memory) *bodyStore {
	return &bodyStore{clock: clock, limit: limit, memory: memory, transfers: make(map[uint64]*transfer)}
}

// begin reserves the memory for a large body, given its first chunk. It returns MEMORY if there is none, so that the call is
// sent to another instance.
func (s *bodyStore) begin(chunk *schema.BodyChunk) schema.Reason {
	size := chunk.GetSize()
	if size <= uint64(s.limit) || size > maxTransferSize {
		return schema.Reason_REASON_NONE
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.transfers[chunk.GetTransfer()] != nil {
		return schema.Reason_REASON_NONE
	}
	now := s.clock.Now()
	s.expire(now)
	reserved := s.memory.reserve(int(size))
	if reserved == nil {
		return schema.Reason_REASON_MEMORY
	}
	s.start(now, chunk.GetTransfer(), int(size), reserved)
	return schema.Reason_REASON_NONE
}

// start adds a transfer of which no byte has arrived. The mutex must be held.
func (s *bodyStore) start(now time.Time, id uint64, size int, reserved *holding) *transfer {
	entry := &transfer{body: make([]byte, size), missing: size, lastChunk: now, reserved: reserved}
	s.transfers[id] = entry
	if reserved == nil {
		s.bytes += size
	}
	s.recordArrival(now, 0)
	s.missing += size
	return entry
}

// add stores a chunk and reports whether there was room for it.
func (s *bodyStore) add(chunk *schema.BodyChunk) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	entry := s.transfers[chunk.GetTransfer()]
	if entry == nil && chunk.GetOffset() > 0 {
		return false
	}
	if entry == nil {
		s.expire(now)
		size := chunk.GetSize()
		if size > uint64(s.limit) || s.bytes+int(size) > maxTransferBytes {
			return false
		}
		entry = s.start(now, chunk.GetTransfer(), int(size), nil)
	}
	data, offset := chunk.GetData(), chunk.GetOffset()
	if offset > uint64(len(entry.body)) || len(data) > len(entry.body)-int(offset) {
		return false
	}
	entry.lastChunk = now
	arrived := min(copy(entry.body[offset:], data), entry.missing)
	entry.missing -= arrived
	s.recordArrival(now, arrived)
	s.missing -= arrived
	return true
}

// recordArrival updates the rate at which bodies arrive.
func (s *bodyStore) recordArrival(now time.Time, size int) {
	if s.missing > 0 {
		s.received = arrivalDecay*s.received + float64(size)
		s.receiveTime = time.Duration(arrivalDecay*float64(s.receiveTime)) + now.Sub(s.lastChunk)
	}
	s.lastChunk = now
}

// wait returns the time until the bodies on their way have arrived at the present rate.
func (s *bodyStore) wait() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(s.clock.Now())
	if s.missing == 0 || s.received == 0 {
		return 0
	}
	return min(maxReceiveWait, time.Duration(float64(s.receiveTime)/s.received*float64(s.awaited())))
}

// awaited returns the missing bytes that a further body waits for. It shares the link with a body above the limit, and does not
// wait until all of that has arrived. The mutex must be held.
func (s *bodyStore) awaited() int {
	total := 0
	for _, entry := range s.transfers {
		total += min(entry.missing, s.limit)
	}
	return total
}

// take removes and returns a complete body, with the function that releases its memory once its call has ended.
func (s *bodyStore) take(id uint64) (body []byte, release func(), ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.transfers[id]
	if entry == nil || entry.missing != 0 {
		return nil, nil, false
	}
	s.remove(id, entry)
	return entry.body, entry.reserved.release, true
}

// expire removes abandoned transfers, and bodies whose calls have not arrived in time. The mutex must be held.
func (s *bodyStore) expire(now time.Time) {
	for id, entry := range s.transfers {
		lifetime := transferLifetime
		if entry.missing > 0 {
			lifetime = maxChunkGap
		}
		if now.Sub(entry.lastChunk) > lifetime {
			s.remove(id, entry)
			entry.reserved.release()
		}
	}
}

// remove removes a transfer without the release of its reservation. The mutex must be held.
func (s *bodyStore) remove(id uint64, entry *transfer) {
	delete(s.transfers, id)
	if entry.reserved == nil {
		s.bytes -= len(entry.body)
	}
	s.missing -= entry.missing
}

// sweep removes expired bodies.
func (s *bodyStore) sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(s.clock.Now())
}
