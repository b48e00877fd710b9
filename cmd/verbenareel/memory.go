package main

import (
	"math"
	"runtime/debug"

	"verbenareel/io"
)

const (
	// heapShare is the divisor of the machine's memory that gives the soft limit of a node's heap. The machine also runs the
	// backend server.
	heapShare = 2
	// maxHeap is the highest soft limit in bytes. The budget for what callers make a node hold is at most 32 MB; twice that and
	// the stacks of some thousand connections fit.
	maxHeap = 112 << 20
)

// limitHeap makes the garbage collector run more often as a node approaches its share of the machine's memory, unless GOMEMLIMIT
// sets another limit.
func limitHeap() {
	const current = -1
	if debug.SetMemoryLimit(current) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(min(io.MachineMemory()/heapShare, maxHeap)))
	}
}
