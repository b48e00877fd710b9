//go:build cgo

package main

import (
	"os/signal"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHangupIgnoredBeforeMain guards against a process that SIGHUP ends while its packages are initialized.
func TestHangupIgnoredBeforeMain(t *testing.T) {
	qt.Check(t, signal.Ignored(syscall.SIGHUP), qt.IsTrue)
}
