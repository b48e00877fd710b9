package peers

import "time"

// outage tracks whether the platform can be read.
type outage struct {
	// err is the error of the last read that counts, or nil.
	err error
	// start is when the first of the consecutive failed reads ended, end when a read succeeded again.
	start, end time.Time
	// reached is when the latest of the successful reads began, failed when the last failed read ended.
	reached, failed time.Time
	// restored is when the first response after the platform was last restored from a backup arrived.
	restored time.Time
}

// record records the result of a read that began at a time. The failure of a read says nothing about the platform if a later
// one has succeeded: the answer was lost, or the connection had gone silent.
func (o *outage) record(now, began time.Time, err error) {
	switch {
	case err != nil && began.Before(o.reached):
	case err != nil:
		if o.err == nil {
			o.start = now
		}
		o.err, o.failed = err, now
	default:
		if o.err != nil {
			o.err, o.end = nil, now
		}
		o.reached = latest(o.reached, began)
	}
}

// inGrace reports whether the platform was unreachable until recently, so that entries of live instances may be missing. The
// grace period starts with the first successful read, because the platform may have come back at any time after the last
// failed one.
func (o *outage) inGrace(now time.Time, grace time.Duration) bool {
	return o.err != nil || !o.end.IsZero() && now.Sub(o.end) < grace
}

// inGrace reports whether entries of live instances may be missing because they expired in an outage of the platform.
func (s *State) inGrace(now time.Time) bool { return s.outage.inGrace(now, s.reading.OutageGrace) }

// restore records that the platform was restored from a backup, and that the first response since then arrived at a time. This is
// like the end of an outage: entries that were written since the backup are missing until they are written again.
func (o *outage) restore(at time.Time) {
	o.restored = at
	o.failed, o.end = latest(o.failed, at), latest(o.end, at)
}

// recentlyRestored reports whether the platform may still show an earlier state of the node's own entry, since it was restored
// from a backup.
func (s *State) recentlyRestored(now time.Time) bool {
	return !s.outage.restored.IsZero() && now.Sub(s.outage.restored) < s.reading.OutageGrace
}

// checkRestored looks whether the platform was restored from a backup. The node's own entry is then read at once.
func (s *State) checkRestored(now time.Time) {
	if s.reading.RestoredAt == nil {
		return
	}
	at := s.reading.RestoredAt()
	if !at.After(s.outage.restored) {
		return
	}
	s.counters.PlatformRestores++
	s.outage.restore(at)
	if !s.listRequestedAt.IsZero() {
		s.RequestListRead(now)
	}
}

// recordReadResult records whether a read that began at a time reached the platform.
func (s *State) recordReadResult(now, began time.Time, err error) {
	if err != nil {
		s.counters.PlatformFailures++
	}
	s.outage.record(now, began, err)
	s.checkRestored(now)
}
