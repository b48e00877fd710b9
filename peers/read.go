package peers

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/schema"
)

// read is the schedule of one kind of platform read.
type read struct {
	// number is that of the pending read; 0 means none.
	number   uint64
	began    time.Time
	ended    time.Time
	failures int
	// jitter is drawn for each read, from 0 to 1.
	jitter float64
}

// pending reports whether a read has no result yet and is not given up after limit.
func (r *read) pending(now time.Time, limit time.Duration) bool {
	return r.number != 0 && now.Sub(r.began) < limit
}

// finish ends the read with the number, if it is still the pending one.
func (r *read) finish(now time.Time, number uint64, err error) {
	if number != r.number {
		return
	}
	r.number = 0
	r.ended = now
	r.failures++
	if err == nil {
		r.failures = 0
	}
}

// backoff returns the time at which a read may follow failures.
func (r *read) backoff() time.Time {
	if r.failures == 0 {
		return time.Time{}
	}
	delay := min(maxBackoff, firstBackoff<<min(r.failures-1, 10))
	return r.ended.Add(scale(delay, 0.75+0.5*r.jitter))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// reader reports whether the node is one of those of its failure domain that watch the platform: the lowest by
// rendezvous hash. The hash covers the revision and the epoch, so the cost of reading whole documents goes round.
func (s *State) reader(now time.Time) bool { return s.currentRole(now).reader }

// currentRole returns the role of the node among those that read the platform.
func (s *State) currentRole(now time.Time) role {
	r := role{
		revision: s.Revision(), epoch: uint64(now.Unix()) / uint64(epoch/time.Second), changes: s.table.changes, known: true,
	}
	if r.revision != s.role.revision || r.epoch != s.role.epoch || r.changes != s.role.changes || !s.role.known {
		inDomain, inFleet := s.rank(r)
		r.reader, r.place = inDomain < max(1, s.reading.Readers), inFleet
		s.role = r
	}
	return s.role
}

// rank returns the number of nodes of the failure domain and of the fleet that come before this one. The order in the fleet
// stays the same for an epoch, so that mostly the same node confirms the document for all.
func (s *State) rank(r role) (inDomain, inFleet int) {
	own := s.self.GetInstance()
	for _, m := range s.table.order {
		e := m.effective()
		if e.GetState() >= schema.InstanceState_INSTANCE_STATE_LEAVING {
			continue
		}
		if e.GetDomain() == s.self.GetDomain() && rendezvous(m.name, r.revision, r.epoch) < rendezvous(own, r.revision, r.epoch) {
			inDomain++
		}
		if rendezvous(m.name, 0, r.epoch) < rendezvous(own, 0, r.epoch) {
			inFleet++
		}
	}
	return inDomain, inFleet
}

func rendezvous(name string, revision, epoch uint64) uint64 {
	var data [16 + maxText]byte
	b := binary.LittleEndian.AppendUint64(data[:0], revision)
	b = binary.LittleEndian.AppendUint64(b, epoch)
	return xxhash.Sum64(append(b, name...))
}

// stale reports whether no path has confirmed the node's revision for a while.
func (s *State) stale(now time.Time) bool {
	limit := staleAfter + scale(staleJitter, s.document.jitter)
	return now.Sub(s.contact) > limit || now.Sub(s.confirmed) > limit
}

// take takes a call from the platform budget.
func (s *State) take(now time.Time) bool {
	s.tokens = min(max(1, s.reading.Burst), s.tokens+callRate*now.Sub(s.filled).Seconds())
	s.filled = now
	const rounding = 1e-9
	if s.tokens < 1-rounding {
		s.counters.PlatformHeld++
		return false
	}
	s.tokens--
	return true
}

// reads makes the platform reads that are due.
func (s *State) reads(now time.Time) {
	if !s.platform {
		return
	}
	watch := s.accepted == nil || s.reader(now)
	idle := s.reading.Stale == 0
	if (watch || idle) && !s.documentPending(now) && !now.Before(s.documentDue(now, watch)) && s.take(now) {
		wait := time.Duration(0)
		if watch {
			wait = s.reading.Watch
		}
		s.readDocument(now, wait, 0)
	}
	if s.unconfirmed(now) && s.take(now) {
		s.checkDocument(now)
	}
	held := !watch && idle && s.documentSoon(now)
	if !held && !s.members.pending(now, readLimit) && !now.Before(s.membersDue()) && s.take(now) {
		s.number++
		s.members.number, s.members.began, s.members.jitter = s.number, now, s.random.Float64()
		s.counters.PlatformCalls++
		s.emit(ReadMembers{at: now, number: s.number})
	}
}

func (s *State) documentPending(now time.Time) bool {
	return s.document.pending(now, s.reading.Watch+readLimit)
}

// unconfirmed reports whether the document is to be read whatever is watched. The nodes of the fleet take turns by their
// place: the first one that reads tells the others, which then need not.
func (s *State) unconfirmed(now time.Time) bool {
	if s.reading.Stale == 0 || s.accepted == nil || s.check.pending(now, readLimit) {
		return false
	}
	turn := 1 - math.Pow(turnShare, float64(s.currentRole(now).place))
	wait := scale(s.reading.Stale, 1+staleSpread*turn+turnJitter*s.check.jitter)
	return now.Sub(s.confirmed) > wait && !now.Before(s.check.backoff())
}

// checkDocument reads the document as it is now, beside a pending watch.
func (s *State) checkDocument(now time.Time) {
	s.read(now, &s.check, 0, 0)
}

func (s *State) readDocument(now time.Time, wait time.Duration, wake uint64) {
	s.read(now, &s.document, wait, wake)
}

func (s *State) read(now time.Time, r *read, wait time.Duration, wake uint64) {
	s.number++
	r.number, r.began, r.jitter = s.number, now, s.random.Float64()
	s.counters.PlatformCalls++
	after := max(s.Revision(), s.rejected.revision)
	s.emit(ReadDocument{After: after, Wait: wait, at: now, number: s.number, wake: wake, wakes: s.wakes})
}

// documentDue returns the time of the next read of the document.
func (s *State) documentDue(now time.Time, watch bool) time.Time {
	jitter := s.document.jitter
	due := s.document.began
	switch {
	case due.IsZero():
		due = s.began.Add(scale(s.reading.StartSpread, jitter))
	case watch:
	case s.stale(now):
		due = due.Add(staleRead + scale(staleReadJitter, jitter))
	default:
		interval := min(max(time.Duration(len(s.table.order))*idleShare, minIdleRead), maxIdleRead)
		due = due.Add(scale(interval, 0.9+0.2*jitter))
	}
	return latest(due, s.document.backoff())
}

// documentSoon reports whether the document may be due before the budget has a call again: the list then waits.
func (s *State) documentSoon(now time.Time) bool {
	later := now.Add(scale(time.Second, 1/callRate))
	return !s.documentPending(now) && (s.documentDue(now, false).Before(later) || s.stale(later))
}

// membersDue returns the time of the next read of the list.
func (s *State) membersDue() time.Time {
	if s.members.began.IsZero() {
		return s.began.Add(scale(s.reading.StartSpread, s.members.jitter))
	}
	if s.listDemand.After(s.members.began) {
		return s.members.backoff()
	}
	if s.lost != nil && s.reading.Grace > 0 {
		// The document may be confirmed by other nodes, so that only the list tells that the platform is back.
		return latest(s.members.began.Add(maxBackoff), s.members.backoff())
	}
	interval := time.Duration(len(s.table.order)) * listBytes * time.Second / listRate
	interval = min(max(interval, s.reading.List), maxListRead)
	due := s.members.began.Add(scale(interval, 0.8+0.4*s.members.jitter))
	if settled := s.regained.Add(s.reading.Grace); s.reading.Grace > 0 && settled.After(s.members.began) && settled.Before(due) {
		// The entries that are missing from then on did not merely lapse while the platform was away.
		due = settled
	}
	return latest(due, s.members.backoff())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// DocumentDone takes the result of a ReadDocument. A nil text means that the platform holds no higher revision.
func (s *State) DocumentDone(now time.Time, sent ReadDocument, revision uint64, text []byte, err error) {
	s.observe(now)
	s.document.finish(now, sent.number, err)
	s.check.finish(now, sent.number, err)
	s.reached(now, err)
	if err != nil {
		s.settled(sent.wake, 0)
		s.settle()
		return
	}
	// An answer without a document was given at the end of the wait. One with a document was given at any time since the
	// request; if the process was paused meanwhile, it may be as old as that.
	confirmed := sent.at.Add(min(sent.Wait, now.Sub(sent.at)))
	switch {
	case text != nil && (s.rechecking || sent.wakes != s.wakes):
		s.offer(now, revision, text, sent.at)
	case text != nil:
		s.offer(now, revision, text, now)
	case revision < s.Revision():
		s.counters.PlatformStale++
	case sent.After >= s.Revision():
		s.confirm(confirmed)
	}
	s.settled(sent.wake, 2)
	s.settle()
}

// MembersDone takes the result of a ReadMembers.
func (s *State) MembersDone(now time.Time, sent ReadMembers, list []*schema.Member, err error) {
	s.observe(now)
	s.members.finish(now, sent.number, err)
	s.reached(now, err)
	if err != nil {
		return
	}
	own := s.self.GetInstance()
	names := func(r *schema.Member) bool { return r.GetInstance() == own }
	if !s.inGrace(now) || slices.ContainsFunc(list, names) {
		// A list that lacks the own entry only since it may have lapsed says nothing about the own instance.
		s.listed = sent.at
	}
	s.table.decisive = s.reading.ListDecides
	s.table.list(list, now, own, s.inGrace(now))
}

// reached notes whether a read found the platform.
func (s *State) reached(now time.Time, err error) {
	switch {
	case err != nil:
		s.counters.PlatformFailures++
		if s.lost == nil {
			s.lostAt = now
		}
		s.lost = err
	case s.lost != nil:
		s.lost, s.regained = nil, now
	}
}

// inGrace reports whether the platform was away a short time ago, so that entries may be missing of instances that live.
// The time counts from the first read that succeeds: the platform may have come back any time since the last that failed.
func (s *State) inGrace(now time.Time) bool {
	return s.lost != nil || !s.regained.IsZero() && now.Sub(s.regained) < s.reading.Grace
}
