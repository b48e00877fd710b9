package node

import (
	"verbenareel/io"
	"verbenareel/schema"
)

const (
	// maxProbeBody is the size in bytes of the request bodies that the status and readiness listeners read; their paths need none.
	maxProbeBody = 1 << 10
	// maxProbeConnections is the number of connections that each of them serves at a time, and probeShare the divisor of the file
	// descriptors that limits it too: those that callers leave are needed for the backend server, other nodes and the platform.
	maxProbeConnections = 1024
	probeShare          = 16
)

// probeConnections returns the number of connections that the status and the readiness listener serve at a time.
func probeConnections() int { return min(maxProbeConnections, io.Descriptors()/probeShare) }

// callerMemory returns the budget for what callers make the node hold.
func callerMemory(s *schema.Callers) *io.Memory {
	if s.GetMemory() > 0 {
		return io.NewMemory(int(s.GetMemory()))
	}
	return io.DefaultMemory()
}

// callerLimits returns the limits of the listener for callers.
func callerLimits(s *schema.Callers) io.CallerLimits {
	return io.CallerLimits{
		MaxConnections:  int(s.GetMaxConnections()),
		MaxPerAddress:   int(s.GetMaxPerAddress()),
		MaxPipelined:    int(s.GetMaxPipelined()),
		Reserved:        int(s.GetReservedDescriptors()),
		BodyTimeout:     s.GetBodyTimeout().AsDuration(),
		ResponseTimeout: s.GetResponseTimeout().AsDuration(),
	}
}
