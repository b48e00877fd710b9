package peers

import (
	"time"

	"verbenareel/schema"
)

// choose returns the addresses of up to n different peers at random, every other one from those that answered lately:
// they keep a small group together that is cut off from the rest. Seeds are added as long as peers are few or silent.
// Peers that did not answer lately are chosen only if there are no others.
func (s *State) choose(now time.Time, n int) []string {
	var near, ready, resting []string
	for _, m := range s.table.order {
		switch {
		case m.name == s.self.GetInstance() || m.state() == schema.InstanceState_INSTANCE_STATE_GONE:
		case now.Before(m.skip):
			resting = append(resting, m.address())
		case m.failures == 0 && now.Sub(m.contact) < nearFor:
			near = append(near, m.address())
		default:
			ready = append(ready, m.address())
		}
	}
	if len(near)+len(ready) < startPeers || now.Sub(s.contact) > staleAfter {
		for _, seed := range s.seeds {
			if s.table.addresses[seed] == nil {
				ready = append(ready, seed)
			}
		}
	}
	if len(near)+len(ready) == 0 {
		ready = resting
	}
	chosen := make([]string, 0, n)
	for len(chosen) < n && len(near)+len(ready) > 0 {
		s.turn = !s.turn
		from := &ready
		if len(ready) == 0 || len(near) > 0 && (s.turn || s.random.IntN(len(near)+len(ready)) < len(near)) {
			from = &near
		}
		i, last := s.random.IntN(len(*from)), len(*from)-1
		chosen = append(chosen, (*from)[i])
		(*from)[i] = (*from)[last]
		*from = (*from)[:last]
	}
	return chosen
}

// request returns a message with the node's revision; a full one has its record, bucket hashes and suspects too.
func (s *State) request(now time.Time, full bool) *schema.SyncRequest {
	r := schema.SyncRequest_builder{
		From: s.self.GetInstance(), Revision: s.Revision(), Manifest: s.manifest(), ConfirmedMs: s.age(now),
	}.Build()
	if full {
		r.SetBuckets(append([]uint64{}, s.table.buckets[:]...))
		r.SetMembers([]*schema.Member{s.self})
		r.SetSuspects(s.suspectRecords(now))
	}
	return r
}

func (s *State) suspectRecords(now time.Time) []*schema.Suspect {
	if s.suspects == nil {
		return nil
	}
	return s.suspects.Records(now, maxSuspects)
}

// age returns the time since the last confirmation as a message carries it.
func (s *State) age(now time.Time) uint32 {
	if s.confirmed.IsZero() || s.accepted == nil {
		return 0
	}
	const longest = 24 * time.Hour
	return uint32(min(now.Sub(s.confirmed), longest).Milliseconds()) + 1
}

func (s *State) send(now time.Time, to string, request *schema.SyncRequest, wake uint64) {
	s.counters.SyncsSent++
	s.emit(SendSync{To: to, Request: request, at: now, wake: wake})
}

// sync begins the periodic exchange.
func (s *State) sync(now time.Time) {
	silent := now.Sub(s.contact) > silentAfter
	if now.Before(s.nextSync) && !silent {
		return
	}
	s.nextSync = now.Add(scale(syncInterval, 0.75+0.5*s.random.Float64()))
	n := 1 + s.extra()
	if s.syncs == 0 {
		n = startPeers
	}
	full := s.syncs%fullEvery == 0 || !s.whole
	for _, to := range s.choose(now, n) {
		s.syncs++
		s.send(now, to, s.request(now, full), 0)
	}
}

// extra returns the number of peers to try beyond the usual one.
func (s *State) extra() int { return min(extraPeers, int(s.failing)) }

// flush announces records that changed to a few peers.
func (s *State) flush(now time.Time) {
	if len(s.hot) == 0 {
		return
	}
	peers := s.choose(now, fanout+s.extra())
	if len(peers) == 0 {
		return
	}
	n := min(len(s.hot), maxHot)
	for _, to := range peers {
		r := s.request(now, false)
		r.SetMembers(s.hot[:n:n])
		s.counters.Announcements++
		s.send(now, to, r, 0)
	}
	s.hot = s.hot[n:]
}

// announce tells a few peers of the accepted revision.
func (s *State) announce(now time.Time) {
	for _, to := range s.choose(now, fanout+s.extra()) {
		s.counters.Announcements++
		s.send(now, to, s.request(now, false), 0)
	}
}

// HandleSync answers a peer.
func (s *State) HandleSync(now time.Time, r *schema.SyncRequest) *schema.SyncReply {
	s.observe(now)
	s.counters.SyncsReceived++
	s.mergeAll(now, r.GetMembers(), r.GetFrom())
	s.mergeSuspects(now, r.GetSuspects())
	if m := s.table.members[r.GetFrom()]; m != nil && m.name != s.self.GetInstance() {
		s.meet(now, m)
		s.consider(m.address(), r.GetRevision(), r.GetManifest(), s.confirmedAt(now, r.GetConfirmedMs()))
	}
	_, removed := s.table.removed[r.GetFrom()]
	reply := schema.SyncReply_builder{
		Revision: s.Revision(), Manifest: s.manifest(), ConfirmedMs: s.age(now), Removed: removed,
	}.Build()
	if len(r.GetBuckets()) > 0 {
		reply.SetSuspects(s.suspectRecords(now))
		if len(s.differing(r.GetBuckets())) > 0 {
			reply.SetBuckets(append([]uint64{}, s.table.buckets[:]...))
		}
	}
	return reply
}

// confirmedAt returns the time that the age of a message stands for. Messages that arrive just after a pause may have
// waited through it, so their ages are ignored.
func (s *State) confirmedAt(sent time.Time, age uint32) time.Time {
	if age == 0 || s.rechecking {
		return time.Time{}
	}
	return sent.Add(-time.Duration(age) * time.Millisecond)
}

func (s *State) meet(now time.Time, m *member) {
	s.contact = now
	s.table.met(m, now)
}

// mergeAll takes announced records; the record of the sender is a direct one.
func (s *State) mergeAll(now time.Time, records []*schema.Member, from string) {
	fresh := s.hot
	for _, r := range records {
		if r.GetInstance() == s.self.GetInstance() {
			s.mergeSelf(now, r)
			continue
		}
		if joined := s.table.merge(r, now, r.GetInstance() == from); joined != nil {
			fresh = append(fresh, joined)
		}
	}
	s.hot = fresh
}

// mergeSelf outbids a record of an earlier process of the same instance.
func (s *State) mergeSelf(now time.Time, r *schema.Member) {
	if r.GetIncarnation() == s.self.GetIncarnation() || !newerRecord(r, s.self) || now.Sub(s.began) > clockGrace {
		return
	}
	s.bump(now, r.GetVersion()+1, s.self.GetState())
}

func (s *State) mergeSuspects(now time.Time, records []*schema.Suspect) {
	if s.suspects != nil && len(records) > 0 {
		s.suspects.Merge(now, records)
	}
}

// differing returns the buckets whose hashes are not the node's own.
func (s *State) differing(buckets []uint64) []uint32 {
	if len(buckets) != bucketCount {
		return nil
	}
	var list []uint32
	for i, h := range buckets {
		if h != s.table.buckets[i] {
			list = append(list, uint32(i))
		}
	}
	return list
}

// SyncDone takes the reply to a SendSync, or its error.
func (s *State) SyncDone(now time.Time, sent SendSync, reply *schema.SyncReply, err error) {
	s.observe(now)
	m := s.table.addresses[sent.To]
	if err != nil {
		s.counters.SyncsFailed++
		s.table.missed(m, now)
		s.failing++
		s.settled(sent.wake, 0)
		s.settle()
		return
	}
	s.contact = now
	s.table.met(m, now)
	s.mergeAll(now, reply.GetMembers(), "")
	s.mergeSuspects(now, reply.GetSuspects())
	var confirmed time.Time
	if age := reply.GetConfirmedMs(); age > 0 {
		confirmed = sent.at.Add(-time.Duration(age) * time.Millisecond)
	}
	if reply.GetRemoved() && now.Sub(s.refreshed) >= refreshInterval {
		s.refreshed = now
		s.bump(now, s.self.GetVersion()+1, s.self.GetState())
	}
	s.consider(sent.To, reply.GetRevision(), reply.GetManifest(), confirmed)
	if len(sent.Request.GetBuckets()) > 0 {
		s.repair(sent.To, reply.GetBuckets())
	}
	s.settled(sent.wake, 1)
	s.settle()
}

// repair exchanges the records of differing buckets. The first exchange of a new process covers all of them, later ones
// a few, to bound the messages while many records change.
func (s *State) repair(to string, buckets []uint64) {
	list := s.differing(buckets)
	if len(list) == 0 {
		s.whole = true
		return
	}
	if s.whole && len(list) > maxBuckets {
		s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxBuckets]
	}
	s.emit(SendBuckets{To: to, Request: schema.BucketsRequest_builder{
		Buckets: list, Members: s.table.records(list),
	}.Build()})
}

// HandleBuckets answers a peer with the records that it lacks.
func (s *State) HandleBuckets(now time.Time, r *schema.BucketsRequest) *schema.BucketsReply {
	s.observe(now)
	theirs := make(map[string]uint64, len(r.GetMembers()))
	for _, m := range r.GetMembers() {
		theirs[m.GetInstance()] = hashRecord(m)
	}
	s.learn(now, r.GetMembers())
	var records []*schema.Member
	for _, m := range s.table.records(r.GetBuckets()) {
		if hashRecord(m) != theirs[m.GetInstance()] {
			records = append(records, m)
		}
	}
	return schema.BucketsReply_builder{Members: records}.Build()
}

// learn takes records of an exchange of buckets. Many at once are old news of the other nodes, so only a few are
// announced further.
func (s *State) learn(now time.Time, records []*schema.Member) {
	hot := s.hot
	s.mergeAll(now, records, "")
	if len(s.hot)-len(hot) > maxBuckets {
		s.hot = hot
	}
}

// BucketsDone takes the reply to a SendBuckets, or its error.
func (s *State) BucketsDone(now time.Time, _ SendBuckets, reply *schema.BucketsReply, err error) {
	s.observe(now)
	if err != nil {
		return
	}
	s.whole = true
	s.learn(now, reply.GetMembers())
}
