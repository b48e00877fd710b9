package io

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSmallBesideLarge guards against ordinary requests that are refused for as long as one caller sends a body above the budget,
// or holds the budget by many bodies, while none of these is given up.
func TestSmallBesideLarge(t *testing.T) {
	const limit, callBytes = 8 << 20, 8 << 10
	pinSmall := func(m *Memory) error {
		small := m.hold(nil)
		qt.Assert(t, small.grow(1000), qt.IsNil)
		return small.pin(callBytes)
	}
	t.Run("one body above the budget", func(t *testing.T) {
		m := NewMemory(limit)
		large := m.hold(func() {})
		large.mayExceed = true
		qt.Assert(t, large.reserve(8*limit), qt.IsNil)
		qt.Check(t, pinSmall(m), qt.IsNil)
		qt.Check(t, large.evicted.Load(), qt.IsFalse)
	})
	t.Run("read beside a body from another node", func(t *testing.T) {
		const read = 5000
		m := NewMemory(limit)
		large := m.reserve(8 * limit)
		qt.Assert(t, large, qt.IsNotNil)
		total := 0
		for ; total <= 2*limit; total += read {
			if m.hold(func() {}).reserve(read) != nil {
				break
			}
		}
		qt.Check(t, total > limit/reserveShare, qt.IsTrue, qt.Commentf("%d bytes", total))
		qt.Check(t, total <= limit, qt.IsTrue, qt.Commentf("%d bytes", total))
		qt.Check(t, large.evicted.Load(), qt.IsFalse)
	})
	t.Run("budget and reserve full", func(t *testing.T) {
		m := NewMemory(limit)
		given := 0
		for range 8 {
			h := m.hold(func() { given++ })
			m.add(h, 5<<18)
		}
		qt.Check(t, pinSmall(m), qt.IsNil)
		qt.Check(t, given, qt.Equals, 1)
	})
}
