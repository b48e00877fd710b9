package io

import (
	"sync"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// maxTransferBytes limits the memory for the transferred bodies of a server in bytes.
	maxTransferBytes = 16 << 20
	// transferLifetime is how long a transferred body is kept for its call.
	transferLifetime = 10 * time.Second
	// maxChunkGap is the time without a chunk after which an incomplete transfer counts as abandoned.
	maxChunkGap = time.Second
	// arrivalDecay is the weight of the earlier arrivals in the rate at which bodies arrive, for each chunk.
	arrivalDecay = 0.95
	// maxReceiveWait limits the reported wait, which is an estimate.
	maxReceiveWait = 10 * time.Second
)

// bodyStore holds the bodies that have been transferred to a server before their calls.
type bodyStore struct {
	clock core.Clock
	limit int

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
	started   time.Time
	lastChunk time.Time
}

// newBodyStore returns a store for bodies of at most limit bytes each.
func newBodyStore(clock core.Clock, limit int) *bodyStore {
	return &bodyStore{clock: clock, limit: limit, transfers: make(map[uint64]*transfer)}
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
		entry = &transfer{body: make([]byte, size), missing: int(size), started: now}
		s.transfers[chunk.GetTransfer()] = entry
		s.bytes += int(size)
		s.recordArrival(now, 0)
		s.missing += int(size)
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
	return min(maxReceiveWait, time.Duration(float64(s.receiveTime)/s.received*float64(s.missing)))
}

// take removes and returns a complete body.
func (s *bodyStore) take(id uint64) (body []byte, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.transfers[id]
	if entry == nil || entry.missing != 0 {
		return nil, false
	}
	s.remove(id, entry)
	return entry.body, true
}

// expire removes abandoned transfers, and bodies whose calls have not arrived in time.
func (s *bodyStore) expire(now time.Time) {
	for id, entry := range s.transfers {
		abandoned := entry.missing > 0 && now.Sub(entry.lastChunk) > maxChunkGap
		if abandoned || now.Sub(entry.started) > transferLifetime {
			s.remove(id, entry)
		}
	}
}

func (s *bodyStore) remove(id uint64, entry *transfer) {
	delete(s.transfers, id)
	s.bytes -= len(entry.body)
	s.missing -= entry.missing
}

// sweep removes expired bodies.
func (s *bodyStore) sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(s.clock.Now())
}
