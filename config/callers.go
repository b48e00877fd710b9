package config

import (
	"fmt"
	"time"

	"verbenareel/schema"
)

// Bounds of the settings in [callers].
const (
	minCallerMemory = 1 << 20
	maxCallerMemory = 16 << 30
	minFrameMemory  = 2 << 20
	maxDescriptors  = 1 << 20
	maxPipelined    = 1024
	minProgressTime = 100 * time.Millisecond
	// memoryShare is the divisor of the machine's memory above which a budget is too large: buffers that grow leave garbage of
	// the same size, and the backend server runs on the same machine.
	memoryShare = 4
)

const callersSection = "callers"

// checkCallers checks the section [callers] of the settings.
func checkCallers(c *checker, s *schema.Callers) {
	for _, n := range []struct {
		key       string
		value     float64
		low, high float64
	}{
		{"memory", float64(s.GetMemory()), minCallerMemory, maxCallerMemory},
		{"max_connections", float64(s.GetMaxConnections()), 1, maxDescriptors},
		{"max_per_address", float64(s.GetMaxPerAddress()), 1, maxDescriptors},
		{"max_pipelined", float64(s.GetMaxPipelined()), 1, maxPipelined},
		{"reserved_descriptors", float64(s.GetReservedDescriptors()), 1, maxDescriptors},
		{"frame_memory", float64(s.GetFrameMemory()), minFrameMemory, maxCallerMemory},
	} {
		if n.value != 0 {
			c.checkNumber(callersSection, n.key, n.value, n.low, n.high)
		}
	}
	if s.HasBodyTimeout() {
		c.checkDuration(callersSection, "body_timeout", s.GetBodyTimeout(), minProgressTime, maxTimeout)
	}
	if s.HasResponseTimeout() {
		c.checkDuration(callersSection, "response_timeout", s.GetResponseTimeout(), minProgressTime, maxTimeout)
	}
}

// CallerWarnings returns a line for each limit of the settings that cannot fit a machine with the given memory in bytes and
// file descriptors of a process.
func CallerWarnings(settings *schema.Settings, memory, descriptors int) []string {
	var warnings []string
	s := settings.GetCallers()
	held := s.GetMemory() + s.GetFrameMemory()
	if held > uint64(memory/memoryShare) {
		warnings = append(warnings, fmt.Sprintf("[callers] memory and frame_memory: %d bytes are more than a quarter of the machine's %d", held, memory))
	}
	if used := int(s.GetMaxConnections()) + int(s.GetReservedDescriptors()); used > descriptors {
		warnings = append(warnings, fmt.Sprintf("[callers] max_connections and reserved_descriptors: %d are more than the %d file descriptors of a process", used, descriptors))
	}
	return warnings
}
