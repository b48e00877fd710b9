package peers

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/schema"
)

// readSchedule tracks one kind of platform read.
type readSchedule struct {
	// pendingID identifies the read in flight; 0 means none.
	pendingID uint64
	startedAt time.Time
	endedAt   time.Time
	failures  int
	// jitter is a random number from 0 to 1, drawn for each read.
	jitter float64
}

// pending reports whether a read is in flight that started less than limit ago. Older ones are given up.
func (r *readSchedule) pending(now time.Time, limit time.Duration) bool {
	return r.pendingID != 0 && now.Sub(r.startedAt) < limit
}

// finish records the result of the read with the ID, unless another read has replaced it.
func (r *readSchedule) finish(now time.Time, id uint64, err error) {
	if id != r.pendingID {
		return
	}
	r.pendingID = 0
	r.endedAt = now
	r.failures++
	if err == nil {
		r.failures = 0
	}
}

// backoff returns the earliest time of the next read after failures.
func (r *readSchedule) backoff() time.Time {
	if r.failures == 0 {
		return time.Time{}
	}
	delay := min(maxBackoff, firstBackoff<<min(r.failures-1, 10))
	return r.endedAt.Add(scale(delay, 0.75+0.5*r.jitter))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// isReader reports whether the node is one of those that watch the platform for its failure domain: among the nodes with the
// widest links, those with the lowest rendezvous hashes. The hash includes the revision and the epoch, so the cost of reading whole documents
// rotates among the nodes.
func (s *State) isReader(now time.Time) bool { return s.currentReaderRole(now).isReader }

// currentReaderRole returns the node's cached role among the platform readers, and recomputes it after a change.
func (s *State) currentReaderRole(now time.Time) readerRole {
	r := readerRole{
		revision: s.Revision(), epoch: uint64(now.Unix()) / uint64(epochLength/time.Second), changes: s.table.changes, valid: true,
	}
	if r.revision != s.role.revision || r.epoch != s.role.epoch || r.changes != s.role.changes || !s.role.valid {
		inDomain, inFleet := s.ranks(r)
		r.isReader, r.fleetRank = inDomain < max(1, s.reading.ReadersPerDomain), inFleet
		s.role = r
	}
	return s.role
}

// ranks returns how many nodes of the failure domain and of the fleet precede this one in rendezvous order. The fleet
// order is constant within an epoch, so that mostly the same node confirms the document for all others.
func (s *State) ranks(r readerRole) (inDomain, inFleet int) {
	own, ownLink := s.self.GetInstance(), linkClass(s.self)
	for _, m := range s.table.sorted {
		e := m.effective()
		if e.GetState() >= schema.InstanceState_INSTANCE_STATE_LEAVING {
			continue
		}
		link := linkClass(e)
		precedes := func(revision uint64) bool {
			return link > ownLink || link == ownLink && rendezvous(m.name, revision, r.epoch) < rendezvous(own, revision, r.epoch)
		}
		if e.GetDomain() == s.self.GetDomain() && precedes(r.revision) {
			inDomain++
		}
		if precedes(0) {
			inFleet++
		}
	}
	return inDomain, inFleet
}

// linkClass returns the class of the bandwidth of a node's link: one for each power of two, so that nodes with about the same bandwidth
// take turns.
func linkClass(m *schema.Member) int { return bits.Len32(m.GetLinkMbps()) }

func rendezvous(name string, revision, epoch uint64) uint64 {
	var data [16 + maxStringLength]byte
	b := binary.LittleEndian.AppendUint64(data[:0], revision)
	b = binary.LittleEndian.AppendUint64(b, epoch)
	return xxhash.Sum64(append(b, name...))
}

// isStale reports whether the node has had no confirmation of its revision, or no contact with a peer, for staleAfter
// plus jitter.
func (s *State) isStale(now time.Time) bool {
	limit := staleAfter + scale(staleJitter, s.documentRead.jitter)
	return now.Sub(s.lastContact) > limit || now.Sub(s.confirmedAt) > limit
}

// takeToken takes one call from the rate limit for platform calls. It returns false if none is available.
func (s *State) takeToken(now time.Time) bool {
	s.tokens = min(max(1, s.reading.Burst), s.tokens+platformCallRate*now.Sub(s.lastRefill).Seconds())
	s.lastRefill = now
	const rounding = 1e-9
	if s.tokens < 1-rounding {
		s.counters.PlatformHeld++
		return false
	}
	s.tokens--
	return true
}

// startDueReads starts the platform reads that are due.
func (s *State) startDueReads(now time.Time) {
	if !s.platform {
		return
	}
	watch := s.accepted == nil || s.isReader(now)
	idleReads := s.reading.MaxConfirmationAge == 0
	if (watch || idleReads) && !s.documentPending(now) && !now.Before(s.documentDue(now, watch)) && s.takeToken(now) {
		wait := time.Duration(0)
		if watch {
			wait = s.reading.WatchTimeout
		}
		s.startDocumentRead(now, wait, 0)
	}
	if s.confirmReadDue(now) && s.takeToken(now) {
		s.startConfirmRead(now)
	}
	if s.ownEntryDue(now) && s.takeToken(now) {
		s.beginRead(now, &s.ownRead)
		s.emit(ReadOwnEntry{Instance: s.self.GetInstance(), sentAt: now, readID: s.lastID})
	}
	if s.ownWatchDue(now) && s.takeToken(now) {
		s.beginRead(now, &s.ownWatch)
		s.emit(WatchOwnEntry{
			Instance: s.self.GetInstance(), Wait: s.reading.OwnEntryWait, sentAt: now, readID: s.lastID, pauseCount: s.pauseCount,
		})
	}
	held := !watch && idleReads && s.documentDueSoon(now)
	if !held && !s.membersRead.pending(now, readTimeout) && !now.Before(s.membersDue()) && s.takeToken(now) {
		s.beginRead(now, &s.membersRead)
		s.emit(ReadMembers{sentAt: now, readID: s.lastID})
	}
}

// beginRead records the start of a read with a new ID, which is s.lastID.
func (s *State) beginRead(now time.Time, r *readSchedule) {
	s.lastID++
	r.pendingID, r.startedAt, r.jitter = s.lastID, now, s.random.Float64()
	s.counters.PlatformCalls++
}

func (s *State) documentPending(now time.Time) bool {
	return s.held != nil || s.documentRead.pending(now, s.reading.WatchTimeout+documentReadTimeout)
}

// confirmReadDue reports whether to read the document although a watch may be pending. The nodes of the fleet are
// staggered by rank: the first one that reads tells the others, which then skip their reads.
func (s *State) confirmReadDue(now time.Time) bool {
	if s.reading.MaxConfirmationAge == 0 || s.accepted == nil || s.confirmRead.pending(now, documentReadTimeout) {
		return false
	}
	if s.pendingNews() {
		return s.newsReadDue(now)
	}
	rank := s.currentReaderRole(now).fleetRank
	stagger := 1 - math.Pow(staggerShare, float64(rank))
	wait := scale(s.reading.MaxConfirmationAge, 1+staggerSpread*stagger+staggerJitter*s.confirmRead.jitter)
	wait += s.lateCheckDelay(now, rank)
	return now.Sub(s.confirmedAt) > wait && !now.Before(s.confirmRead.backoff())
}

func (s *State) startDocumentRead(now time.Time, wait time.Duration, recheckID uint64) {
	s.startRead(now, &s.documentRead, wait, recheckID)
}

func (s *State) startRead(now time.Time, r *readSchedule, wait time.Duration, recheckID uint64) {
	s.beginRead(now, r)
	s.emit(ReadDocument{After: s.knownRevision(), Wait: wait, sentAt: now, readID: s.lastID, recheckID: recheckID, pauseCount: s.pauseCount})
}

// knownRevision returns the highest revision that the node has accepted or rejected.
func (s *State) knownRevision() uint64 { return max(s.Revision(), s.rejected.revision) }

// documentDue returns the time of the next read of the document.
func (s *State) documentDue(now time.Time, watch bool) time.Time {
	jitter := s.documentRead.jitter
	due := s.documentRead.startedAt
	switch {
	case due.IsZero():
		due = s.startedAt.Add(scale(s.reading.StartSpread, jitter))
	case watch:
	case s.isStale(now):
		due = due.Add(staleReadInterval + scale(staleReadJitter, jitter))
	default:
		interval := min(max(time.Duration(len(s.table.sorted))*fleetIdleInterval, minIdleInterval), maxIdleInterval)
		due = due.Add(scale(interval, 0.9+0.2*jitter))
	}
	return latest(due, s.documentRead.backoff())
}

// documentDueSoon reports whether the document may become due before the rate limit allows another call. The read of
// the list is then postponed.
func (s *State) documentDueSoon(now time.Time) bool {
	later := now.Add(scale(time.Second, 1/platformCallRate))
	return !s.documentPending(now) && (s.documentDue(now, false).Before(later) || s.isStale(later))
}

// membersDue returns the time of the next read of the list.
func (s *State) membersDue() time.Time {
	r := &s.membersRead
	switch {
	case r.startedAt.IsZero():
		return s.startedAt.Add(scale(s.reading.StartSpread, r.jitter))
	case !s.reading.ReadOwnEntry:
		return s.entryDue(r)
	case s.discoveryReads > 0 && s.discoveryReads < maxDiscoveryReads:
		return latest(r.startedAt.Add(discoveryInterval), r.backoff())
	}
	return latest(r.startedAt.Add(scale(s.listInterval(), 0.8+0.4*r.jitter)), r.backoff())
}

// entryDue returns the time of the next read of the list, or part of it, that shows the state of the node's own instance.
func (s *State) entryDue(r *readSchedule) time.Time {
	if s.listRequestedAt.After(r.startedAt) {
		return r.backoff()
	}
	if s.outage.err != nil && s.reading.OutageGrace > 0 {
		// Other nodes may confirm the document, so only a read of the list shows that the platform is reachable again.
		return latest(r.startedAt.Add(maxBackoff), r.backoff())
	}
	due := r.startedAt.Add(scale(s.listInterval(), 0.8+0.4*r.jitter))
	if !s.ownWatch.startedAt.IsZero() {
		// A watch tells what a regular read would, and sooner.
		due = latest(due, s.ownWatch.startedAt.Add(s.reading.OwnEntryWait+readTimeout))
	}
	if graceEnd := s.outage.end.Add(s.reading.OutageGrace); s.reading.OutageGrace > 0 && graceEnd.After(r.startedAt) && graceEnd.Before(due) {
		// Entries that are missing after the grace period are gone: they did not merely expire during the outage.
		due = graceEnd
	}
	if again := r.startedAt.Add(missingEntryInterval); s.reading.ReadOwnEntry && r.startedAt.Before(s.ownMissingSince.Add(missingEntryWindow)) && again.Before(due) {
		due = again
	}
	return latest(due, r.backoff())
}

// listInterval returns the usual time between two reads of the list.
func (s *State) listInterval() time.Duration {
	interval := time.Duration(len(s.table.sorted)) * listBytesPerInstance * time.Second / listBytesPerSecond
	return min(max(interval, s.reading.MinListInterval), maxListInterval)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// DocumentDone processes the result of a ReadDocument. A nil text means that the platform holds no higher revision.
func (s *State) DocumentDone(now time.Time, sent ReadDocument, revision uint64, text []byte, err error) {
	s.detectPause(now)
	s.documentRead.finish(now, sent.readID, err)
	s.confirmRead.finish(now, sent.readID, err)
	s.recordReadResult(now, sent.sentAt, err)
	if err != nil {
		s.countRecheckAnswer(sent.recheckID, 0)
		s.finishRecheck()
		return
	}
	// Either the answer has the change that a check told of, or there is none: the same text was written again.
	s.news = news{}
	// The platform gives an answer without a document at the end of the wait. It may have given one with a document at
	// any time since the request: if the process was paused meanwhile, the document may be as old as the request.
	confirmedAt := sent.sentAt.Add(min(sent.Wait, now.Sub(sent.sentAt)))
	switch {
	case text != nil && (s.rechecking || sent.pauseCount != s.pauseCount):
		s.applyRead(now, revision, text, sent.sentAt)
	case text != nil:
		s.applyRead(now, revision, text, now)
	case revision < s.Revision():
		s.counters.PlatformStale++
	case sent.After >= s.Revision():
		s.recordConfirmation(confirmedAt)
	}
	s.countRecheckAnswer(sent.recheckID, 2)
	s.finishRecheck()
}

// MembersDone processes the result of a ReadMembers.
func (s *State) MembersDone(now time.Time, sent ReadMembers, list []*schema.Member, err error) {
	s.detectPause(now)
	s.membersRead.finish(now, sent.readID, err)
	s.recordReadResult(now, sent.sentAt, err)
	if err != nil {
		return
	}
	var ownEntry *schema.Member
	others := make([]*schema.Member, 0, len(list))
	for _, r := range list {
		if r.GetInstance() == s.self.GetInstance() {
			ownEntry = r
			continue
		}
		others = append(others, r)
	}
	s.table.applyOthers(others, now, s.self.GetInstance(), s.inGrace(now))
	s.askPeers(now)
	s.releaseHeld(now)
	if s.reading.ReadOwnEntry {
		s.countDiscovery(len(others))
		if s.provesService(ownEntry) {
			s.enterService(now)
		}
		return
	}
	s.applyOwnEntry(now, sent.sentAt, ownEntry)
}

// countDiscovery records how many other instances a list named. A few suffice: their nodes know the rest.
func (s *State) countDiscovery(others int) {
	s.discoveryReads++
	if others >= initialPeers {
		s.discoveryReads = maxDiscoveryReads
	}
}
