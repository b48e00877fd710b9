package beacon

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTurn guards against reports that grow with the square of the fleet, and against nodes that never get one.
func TestTurn(t *testing.T) {
	var all []netip.AddrPort
	for i := range 3*maxTargets - 5 {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600))
	}
	b := &Beacon{}
	qt.Check(t, b.turn(all[:maxTargets]), qt.HasLen, maxTargets)
	seen := make(map[netip.AddrPort]bool)
	for range 3 {
		chosen := b.turn(all)
		qt.Check(t, chosen, qt.HasLen, maxTargets)
		for _, to := range chosen {
			seen[to] = true
		}
	}
	qt.Check(t, len(seen), qt.Equals, len(all))
}
