package main

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
)

// TestKey guards against a hash of a key with its line end, which would match no call, and against a key in an error.
func TestKey(t *testing.T) {
	for name, text := range map[string]string{"alone": "secret", "line": "secret\n", "Windows line": "secret\r\n"} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			qt.Assert(t, printKeyHash(strings.NewReader(text), &out), qt.IsNil)
			qt.Check(t, out.String(), qt.Equals, core.HashKey("secret")+"\n")
		})
	}
	for name, text := range map[string]string{
		"empty": "", "empty line": "\n", "two lines": "secret\nsecret\n", "space": " secret\n", "long": strings.Repeat("secret", maxKeyBytes),
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := printKeyHash(strings.NewReader(text), &out)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, out.String()+err.Error(), qt.Not(qt.Contains), "secret")
		})
	}
}
