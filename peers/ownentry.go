package peers

import (
	"context"
	"errors"
	"time"

	"verbenareel/core"
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

// ownEntryDue reports whether to read the node's own entry. Its instance is first known from the backend server, with which
// a read is requested.
func (s *State) ownEntryDue(now time.Time) bool {
	if !s.reading.ReadOwnEntry || s.listRequestedAt.IsZero() || s.ownRead.pending(now, readTimeout) {
		return false
	}
	return !now.Before(s.entryDue(&s.ownRead))
}

// ownWatchDue reports whether to watch the node's own entry. It is watched once a read has shown it, until it is gone; in a
// large fleet it is read only.
func (s *State) ownWatchDue(now time.Time) bool {
	if s.reading.OwnEntryWait == 0 || len(s.table.sorted) > maxWatchingFleet || s.ownSeenAt.IsZero() || !s.ownMissingSince.IsZero() || s.outage.err != nil {
		return false
	}
	return !s.ownWatchPending(now) && !now.Before(s.ownWatch.backoff())
}

func (s *State) ownWatchPending(now time.Time) bool {
	return s.ownWatch.pending(now, s.reading.OwnEntryWait+readTimeout)
}

// OwnEntryDone processes the result of a ReadOwnEntry. A nil entry means that the list does not name the instance.
func (s *State) OwnEntryDone(now time.Time, sent ReadOwnEntry, entry *schema.Member, err error) {
	s.detectPause(now)
	s.ownRead.finish(now, sent.readID, err)
	s.recordReadResult(now, sent.sentAt, err)
	if err == nil && sent.Instance == s.self.GetInstance() {
		s.applyOwnEntry(now, sent.sentAt, entry)
	}
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
	if s.recentlyRestored(now) {
		// The entry may be that of the backup, so the list confirms nothing.
		s.listedAt = time.Time{}
	}
	s.table.applyOwn(s.self.GetInstance(), entry, now)
	if s.provesService(entry) {
		s.enterService(now)
	}
}

// readEntry reads the entry of an instance in the platform's list; nil means that the list does not name it.
func (e *Exchange) readEntry(ctx context.Context, instance string) (*schema.Member, error) {
	reader, ok := e.platform.(core.EntryReader)
	if !ok {
		return nil, errNoEntryReader
	}
	return reader.Member(ctx, instance)
}

// watchEntry is like readEntry, but waits for the entry to change.
func (e *Exchange) watchEntry(ctx context.Context, instance string, wait time.Duration) (*schema.Member, error) {
	reader, ok := e.platform.(core.EntryReader)
	if !ok {
		return nil, errNoEntryReader
	}
	return reader.WatchMember(ctx, instance, wait)
}

// errNoEntryReader reports a ReadPolicy that does not fit the platform.
var errNoEntryReader = errors.New("platform cannot read single entries")
