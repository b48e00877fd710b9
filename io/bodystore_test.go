package io

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"verbenareel/schema"
)

func newChunk(id uint64, size, offset, length int) *schema.BodyChunk {
	return schema.BodyChunk_builder{Transfer: id, Size: uint64(size), Offset: uint64(offset), Data: make([]byte, length)}.Build()
}

// TestBodyStore guards against bodies that are incomplete or kept for ever, and against chunks that exceed their body or the
// memory of the store.
func TestBodyStore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newBodyStore(clock, 1<<20, NewMemory(8<<20))
	qt.Check(t, s.add(newChunk(1, 300, 0, 100)), qt.IsTrue)
	qt.Check(t, s.add(newChunk(1, 300, 200, 100)), qt.IsTrue)
	_, _, ok := s.take(1)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, s.add(newChunk(1, 300, 100, 100)), qt.IsTrue)
	body, _, ok := s.take(1)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, body, qt.HasLen, 300)
	_, _, again := s.take(1)
	qt.Check(t, again, qt.IsFalse)

	qt.Check(t, s.add(newChunk(2, 300, 250, 100)), qt.IsFalse, qt.Commentf("a transfer without its first chunk"))
	qt.Check(t, s.add(newChunk(3, 300, 0, 301)), qt.IsFalse, qt.Commentf("a chunk beyond the end"))
	qt.Check(t, s.add(newChunk(4, 1<<20+1, 0, 10)), qt.IsFalse, qt.Commentf("a body above the limit"))
	for id := uint64(10); id < 10+maxTransferBytes>>20; id++ {
		s.add(newChunk(id, 1<<20, 0, 10))
	}
	qt.Check(t, s.add(newChunk(99, 1<<20, 0, 10)), qt.IsFalse, qt.Commentf("more than the memory of the store"))
	clock.Advance(maxChunkGap + time.Millisecond)
	qt.Check(t, s.wait(), qt.Equals, time.Duration(0), qt.Commentf("abandoned transfers count as on their way"))
	qt.Check(t, s.bytes+s.missing, qt.Equals, 0)
}

// TestReceiveWait guards against a reported wait that does not follow from the rate at which bodies arrive.
func TestReceiveWait(t *testing.T) {
	const rate, size, chunk = 100_000, 90_000, 9_000
	clock := clockwork.NewFakeClock()
	s := newBodyStore(clock, 1<<20, NewMemory(8<<20))
	qt.Check(t, s.wait(), qt.Equals, time.Duration(0))
	for sent := 0; sent < size/2; sent += chunk {
		qt.Assert(t, s.add(newChunk(1, size, sent, chunk)), qt.IsTrue)
		clock.Advance(time.Second * chunk / rate)
	}
	want := time.Second * size / 2 / rate
	qt.Check(t, s.wait() > want*8/10 && s.wait() < want*13/10, qt.IsTrue, qt.Commentf("%v", s.wait()))
}

// TestSlowTransfer guards against a body that is dropped although it still arrives, because all of it takes long.
func TestSlowTransfer(t *testing.T) {
	const chunk, chunks = 100, 20
	clock := clockwork.NewFakeClock()
	s := newBodyStore(clock, 1<<20, NewMemory(8<<20))
	for i := range chunks {
		qt.Assert(t, s.add(newChunk(1, chunks*chunk, i*chunk, chunk)), qt.IsTrue, qt.Commentf("chunk %d", i))
		clock.Advance(maxChunkGap - time.Millisecond)
		s.sweep()
	}
	clock.Advance(transferLifetime - 2*time.Second)
	s.sweep()
	_, _, ok := s.take(1)
	qt.Check(t, ok, qt.IsTrue)
}

// TestLargeTransfer guards against memory of a large body that stays reserved when its transfer is abandoned or its call does not
// come, and against one that keeps all other calls away from the node while it arrives.
func TestLargeTransfer(t *testing.T) {
	const limit, size = 100, 4 << 20
	clock := clockwork.NewFakeClock()
	memory := NewMemory(5 << 20)
	s := newBodyStore(clock, limit, memory)
	begin := func(id uint64) schema.Reason { return s.begin(newChunk(id, size, 0, limit)) }
	qt.Assert(t, begin(1), qt.Equals, schema.Reason_REASON_NONE)
	qt.Assert(t, begin(1), qt.Equals, schema.Reason_REASON_NONE)
	qt.Assert(t, s.add(newChunk(1, size, 0, limit)), qt.IsTrue)
	qt.Check(t, memory.Used(), qt.Equals, size)
	qt.Check(t, begin(2), qt.Equals, schema.Reason_REASON_MEMORY)
	qt.Check(t, s.add(newChunk(2, size, 0, limit)), qt.IsFalse)
	clock.Advance(maxChunkGap / 2)
	qt.Assert(t, s.add(newChunk(1, size, limit, limit)), qt.IsTrue)
	qt.Check(t, s.wait() <= maxChunkGap, qt.IsTrue, qt.Commentf("a further call waits %v", s.wait()))
	clock.Advance(maxChunkGap + time.Millisecond)
	s.sweep()
	qt.Check(t, memory.Used(), qt.Equals, 0, qt.Commentf("abandoned"))

	qt.Assert(t, begin(3), qt.Equals, schema.Reason_REASON_NONE)
	qt.Assert(t, s.add(newChunk(3, size, 0, size)), qt.IsTrue)
	clock.Advance(transferLifetime + time.Millisecond)
	s.sweep()
	qt.Check(t, memory.Used(), qt.Equals, 0, qt.Commentf("without a call"))
	qt.Check(t, s.bytes+s.missing, qt.Equals, 0)

	qt.Check(t, s.begin(newChunk(4, maxTransferSize+1, 0, limit)), qt.Equals, schema.Reason_REASON_NONE)
	qt.Check(t, s.add(newChunk(4, maxTransferSize+1, 0, limit)), qt.IsFalse, qt.Commentf("above every document"))
}
