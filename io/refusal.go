package io

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Kinds of refusals of callers, besides the reasons of package core.
const (
	// kindSurplus is a connection without progress that was closed for a new one.
	kindSurplus            = "surplus-connection"
	kindTooManyFromAddress = "too-many-from-address"
	// kindStalled is a connection whose caller did not take its response while the memory was full or within the timeout.
	kindStalled = "stalled-response"
	// refusalLogInterval is the time between two log lines of one kind.
	refusalLogInterval = 10 * time.Second
)

// refusalLog logs what is refused to callers, one line for each kind and interval.
type refusalLog struct {
	logger *zap.Logger
	state  *refusalState
}

type refusalState struct {
	mutex sync.Mutex
	kinds map[string]*refusalCount
}

type refusalCount struct {
	logged time.Time
	count  int
}

func newRefusalLog(logger *zap.Logger) refusalLog {
	return refusalLog{logger: logger, state: &refusalState{kinds: make(map[string]*refusalCount)}}
}

// record counts a refusal, and logs the number since the last line of its kind if that was long ago.
func (l refusalLog) record(now time.Time, kind string, caller net.Addr) {
	l.state.mutex.Lock()
	defer l.state.mutex.Unlock()
	c := l.state.kinds[kind]
	if c == nil {
		c = &refusalCount{}
		l.state.kinds[kind] = c
	}
	c.count++
	if now.Sub(c.logged) < refusalLogInterval {
		return
	}
	l.logger.Warn("refused callers", zap.String("kind", kind), zap.Int("count", c.count), zap.Stringer("last", caller))
	c.logged, c.count = now, 0
}

// refuse counts and logs a refusal of a caller.
func (f *Front) refuse(kind string, conn net.Conn) {
	f.errorCounter.inc(kind)
	f.refusals.record(f.clock.Now(), kind, conn.RemoteAddr())
}
