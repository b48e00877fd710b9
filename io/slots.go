package io

import (
	"context"
	"slices"
	"sync"
)

// slots bounds the requests in progress, and with them the open connections. Waiters are served in order.
type slots struct {
	mutex   sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

func newSlots(limit int) *slots { return &slots{limit: limit} }

// acquire waits for a slot and reports whether it got one before ctx ended.
func (s *slots) acquire(ctx context.Context) bool {
	s.mutex.Lock()
	if s.used < s.limit {
		s.used++
		s.mutex.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.mutex.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return !s.withdraw(granted)
	}
}

// withdraw removes a waiter and reports whether it was still waiting.
func (s *slots) withdraw(granted chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := slices.Index(s.waiters, granted)
	if at < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, at, at+1)
	return true
}

func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used--
	s.grant()
}

func (s *slots) setLimit(limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	s.grant()
}

func (s *slots) bound() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit
}

func (s *slots) grant() {
	for s.used < s.limit && len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.used++
	}
}
