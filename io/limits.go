package io

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultMaxPipelined is the number of concurrent requests of one connection. Further requests are not read until earlier
	// ones have been answered.
	DefaultMaxPipelined = 64
	// callersShare is the part of the file descriptors of the process, in eighths, that the connections of callers may use. The
	// rest is for the backend server, other nodes and the platform.
	callersShare = 5
	// defaultDescriptors is assumed if the system does not tell the limit.
	defaultDescriptors = 1024
	minCallerConns     = 16
	// surplusAge is how long a connection must have been without progress before it may be closed for a new one.
	surplusAge = time.Second
)

// CallerLimits bound what one caller or all callers of a Front may use. The zero value of a field selects its default.
type CallerLimits struct {
	// MaxConnections is the number of connections, and MaxPerAddress that from one IP address, by default without a limit.
	MaxConnections int
	MaxPerAddress  int
	// MaxPipelined is the number of requests of one connection that are in progress at a time.
	MaxPipelined int
	// Reserved is the number of file descriptors that are kept for the backend server, other nodes and the platform.
	Reserved int
	// BodyTimeout is the time in which 16 KB or the rest of a body must arrive, and ResponseTimeout that in which 16 KB or the
	// rest of a response must be taken.
	BodyTimeout     time.Duration
	ResponseTimeout time.Duration
}

// WithCallerLimits sets the limits of a Front.
func WithCallerLimits(limits CallerLimits) Option {
	return func(o *options) { o.callerLimits = limits }
}

// callerLimits are the limits in force.
type callerLimits struct {
	maxConnections  int
	maxPerAddress   int
	maxPipelined    int
	bodyTimeout     time.Duration
	responseTimeout time.Duration
}

func newCallerLimits(o *options) callerLimits {
	set := o.callerLimits
	return callerLimits{
		maxConnections:  min(orDefault(set.MaxConnections, o.maxConnections), MaxCallerConnections(set.Reserved)),
		maxPerAddress:   set.MaxPerAddress,
		maxPipelined:    orDefault(set.MaxPipelined, DefaultMaxPipelined),
		bodyTimeout:     orDefault(set.BodyTimeout, o.readTimeout),
		responseTimeout: orDefault(set.ResponseTimeout, o.writeTimeout),
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Descriptors returns the number of file descriptors that this process may open.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}

// MaxCallerConnections returns the number of connections of callers for which there are file descriptors, if the given number
// is reserved; 0 reserves three eighths.
func MaxCallerConnections(reserved int) int {
	all := Descriptors()
	if reserved > 0 {
		return max(all-reserved, minCallerConns)
	}
	return max(all*callersShare/8, minCallerConns)
}

// addressOf returns the IP address of the caller.
func addressOf(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// admit reports whether there is room for a connection, and closes another one to make room if necessary. The mutex of the
// front must be held.
func (f *Front) admit(conn net.Conn) bool {
	if most := f.callers.maxPerAddress; most > 0 && f.fromAddress[addressOf(conn)] >= most {
		f.refuse(kindTooManyFromAddress, conn)
		return false
	}
	if len(f.sessions)-f.closing < f.callers.maxConnections {
		return true
	}
	s := f.surplus()
	if s == nil {
		f.refuse(kindTooManyConns, conn)
		return false
	}
	f.refuse(kindSurplus, s.conn)
	s.closed = true
	f.closing++
	s.abort()
	return true
}

// surplus returns the connection that is closed for a new one: the one that has been without progress for longest, and has no
// request at the handler. It returns nil if there is none.
func (f *Front) surplus() *session {
	now := time.Now()
	var oldest *session
	for s := range f.sessions {
		expendable := !s.closed && (s.inFlight.Load() == 0 || s.stalled(now)) && now.Sub(s.lastProgress()) > surplusAge
		if expendable && (oldest == nil || s.lastProgress().Before(oldest.lastProgress())) {
			oldest = s
		}
	}
	return oldest
}
