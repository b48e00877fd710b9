package peers

import (
	"time"

	"verbenareel/schema"
)

const (
	// missingEntryInterval is the time between two reads of the node's own entry after it has gone missing. It may come back:
	// it expired, or another writer has put something else there until the server writes again.
	missingEntryInterval = time.Second
	// missingEntryWindow is how long it is read so often.
	missingEntryWindow = 5 * time.Second
	// maxWatchingFleet is the number of members up to which nodes watch their own entries. Each call to the platform counts, and
	// a watch costs about two calls more than the reads in a node's first minute.
	maxWatchingFleet = 100
)

// outage tracks whether the platform can be read.
type outage struct {
	// err is the error of the last read that counts, or nil.
	err error
	// start is when the first of the consecutive failed reads ended, end when a read succeeded again.
	start, end time.Time
	// reached is when the latest of the successful reads began, failed when the last failed read ended.
	reached, failed time.Time
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

// recordReadResult records whether a read that began at a time reached the platform.
func (s *State) recordReadResult(now, began time.Time, err error) {
	if err != nil {
		s.counters.PlatformFailures++
	}
	s.outage.record(now, began, err)
}

// OwnEntryWatched processes the result of a WatchOwnEntry. A nil entry means that the list does not name the instance.
func (s *State) OwnEntryWatched(now time.Time, sent WatchOwnEntry, entry *schema.Member, err error) {
	s.detectPause(now)
	s.ownWatch.finish(now, sent.readID, err)
	s.recordReadResult(now, sent.sentAt, err)
	if err != nil || sent.Instance != s.self.GetInstance() {
		return
	}
	if before := s.table.byName[sent.Instance].listEntry; entry != nil && sameRecord(before, entry) {
		// A watch may hear nothing, so that nothing has changed is no proof that the list still names the instance.
		return
	}
	// The answer is as old as the request if the process was paused meanwhile.
	asOf := sent.sentAt
	if sent.pauseCount == s.pauseCount {
		asOf = asOf.Add(min(sent.Wait, now.Sub(sent.sentAt)))
	}
	if asOf.After(s.listedAt) {
		s.applyOwnEntry(now, asOf, entry)
	}
}

// applyOwnEntry applies the result of a read that began at a time: the entry of the node's own instance, or nil if it is
// missing. What a missing entry means depends on the outage of the platform before it:
//
//	no outage, or the grace after it has passed    the instance is leaving or gone
//	in the grace, entry read since the outage      the same: the entry has outlived the outage, so it was removed
//	in the grace, entry not read since the outage  unknown: the entry may have expired
//
// In the last case the previous entry stays in force, but the list no longer confirms it: the health check of the backend
// server alone decides whether it is leaving.
func (s *State) applyOwnEntry(now, began time.Time, entry *schema.Member) {
	s.table.authoritative = s.reading.ListAuthoritative
	if entry != nil {
		s.ownSeenAt = latest(s.ownSeenAt, began)
	}
	s.ownExpired = entry == nil && s.inGrace(now) && !s.ownSeenAt.After(s.outage.failed)
	if s.ownExpired {
		s.listedAt = time.Time{}
		return
	}
	switch {
	case entry != nil:
		s.ownMissingSince = time.Time{}
	case s.ownMissingSince.IsZero():
		s.ownMissingSince = began
	}
	s.listedAt = began
	s.table.applyOwn(s.self.GetInstance(), entry, now)
}
