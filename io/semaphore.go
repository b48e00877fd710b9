package io

import (
	"context"
	"slices"
	"sync"
)

// semaphore limits the number of concurrent requests, and thereby the number of open connections. Its limit can change.
// Waiters are served in FIFO order.
type semaphore struct {
	mutex   sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

func newSemaphore(limit int) *semaphore { return &semaphore{limit: limit} }

// acquire waits for a slot, and reports whether it acquired one before ctx was done.
func (s *semaphore) acquire(ctx context.Context) bool {
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
		return !s.removeWaiter(granted)
	}
}

// removeWaiter removes a waiter, and reports whether it was still waiting.
func (s *semaphore) removeWaiter(granted chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	index := slices.Index(s.waiters, granted)
	if index < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, index, index+1)
	return true
}

func (s *semaphore) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used--
	s.grantWaiters()
}

func (s *semaphore) setLimit(limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	s.grantWaiters()
}

func (s *semaphore) capacity() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit
}

// free returns the number of slots that are not in use.
func (s *semaphore) free() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit - s.used
}

func (s *semaphore) grantWaiters() {
	for s.used < s.limit && len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.used++
	}
}
