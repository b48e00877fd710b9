//go:build cgo

package main

/*
#include <signal.h>

// Runs before the Go runtime starts. A signal that is ignored at that point stays ignored until signal.Notify is called
// for it.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
