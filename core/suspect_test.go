package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
)

// TestFingerprint checks that requests with the same bytes split differently between fields have different fingerprints.
func TestFingerprint(t *testing.T) {
	seen := make(map[uint64][4]string)
	for _, r := range [][4]string{
		{"sheets", "GET", "/a", "b"}, {"sheets", "GET", "/ab", ""}, {"sheets", "GET", "", "/ab"},
		{"sheetsGET", "", "/a", "b"}, {"sheet", "sGET", "/a", "b"}, {"sheets", "POST", "/a", "b"},
	} {
		f := core.Fingerprint(r[0], r[1], r[2], []byte(r[3]))
		qt.Check(t, seen[f], qt.Equals, [4]string{})
		seen[f] = r
	}
}
