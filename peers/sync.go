package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/schema"
)

// partners holds the nodes that a node of a large fleet mostly exchanges messages with, as of a number of changes of the
// member table. Random peers alone would make every node hold a connection to every other one.
type partners struct {
	changes   uint64
	addresses map[string]bool
}

// partnerAddresses returns the addresses of the partnerCount members with the lowest pair hashes. They differ from node to
// node, so that news spreads through the whole fleet.
func (s *State) partnerAddresses() map[string]bool {
	if s.partners.addresses != nil && s.partners.changes == s.table.changes {
		return s.partners.addresses
	}
	own := xxhash.Sum64String(s.self.GetAddress())
	var ranked []rankedAddress
	for _, m := range s.table.sorted {
		if m.name != s.self.GetInstance() && m.state() != schema.InstanceState_INSTANCE_STATE_GONE {
			ranked = append(ranked, rankedAddress{rendezvous(m.address(), own, 0), m.address()})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedAddress) int { return cmp.Compare(a.hash, b.hash) })
	addresses := make(map[string]bool, partnerCount)
	for _, r := range ranked[:min(partnerCount, len(ranked))] {
		addresses[r.address] = true
	}
	s.partners = partners{changes: s.table.changes, addresses: addresses}
	return addresses
}

type rankedAddress struct {
	hash    uint64
	address string
}

// preferPartners reduces the lists of peers to partners in a large fleet, except for one choice in randomPeerEvery and if no
// partner is among them.
func (s *State) preferPartners(recent, available []string) (preferredRecent, preferredAvailable []string) {
	if len(recent)+len(available) <= 2*partnerCount || s.random.IntN(randomPeerEvery) == 0 {
		return recent, available
	}
	chosen := s.partnerAddresses()
	for _, address := range recent {
		if chosen[address] {
			preferredRecent = append(preferredRecent, address)
		}
	}
	for _, address := range available {
		if chosen[address] {
			preferredAvailable = append(preferredAvailable, address)
		}
	}
	if len(preferredRecent)+len(preferredAvailable) == 0 {
		return recent, available
	}
	return preferredRecent, preferredAvailable
}

// choosePeers returns the addresses of up to n distinct random peers, in a large fleet mostly partners. At least every other one is a peer that answered
// recently if there are any, which keeps the nodes of a small group connected when it is cut off from the rest. Seeds
// are added while peers are few or silent. Peers in their retry delay are chosen only if there are no others.
func (s *State) choosePeers(now time.Time, n int) []string {
	var recent, available, backedOff []string
	for _, m := range s.table.sorted {
		switch {
		case m.name == s.self.GetInstance() || m.state() == schema.InstanceState_INSTANCE_STATE_GONE:
		case now.Before(m.retryAt):
			backedOff = append(backedOff, m.address())
		case m.failures == 0 && now.Sub(m.lastContact) < recentPeerWindow:
			recent = append(recent, m.address())
		default:
			available = append(available, m.address())
		}
	}
	if len(recent)+len(available) < initialPeers || now.Sub(s.lastContact) > staleAfter {
		for _, seed := range s.seeds {
			if s.table.byAddress[seed] == nil {
				available = append(available, seed)
			}
		}
	}
	if len(recent)+len(available) == 0 {
		available = backedOff
	}
	recent, available = s.preferPartners(recent, available)
	chosen := make([]string, 0, n)
	for len(chosen) < n && len(recent)+len(available) > 0 {
		s.preferRecent = !s.preferRecent
		pool := &available
		if len(available) == 0 || len(recent) > 0 && (s.preferRecent || s.random.IntN(len(recent)+len(available)) < len(recent)) {
			pool = &recent
		}
		i, last := s.random.IntN(len(*pool)), len(*pool)-1
		chosen = append(chosen, (*pool)[i])
		(*pool)[i] = (*pool)[last]
		*pool = (*pool)[:last]
	}
	return chosen
}

// newSyncRequest returns a sync request with the node's digest. A full request also has its record, bucket hashes and
// suspects.
func (s *State) newSyncRequest(now time.Time, full bool) *schema.SyncRequest {
	r := schema.SyncRequest_builder{
		From: s.self.GetInstance(), Revision: s.Revision(), Manifest: s.manifest(), ConfirmedMs: s.confirmationAge(now),
	}.Build()
	if full {
		r.SetBuckets(append([]uint64{}, s.table.bucketHashes[:]...))
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

// confirmationAge returns the time since the last confirmation as encoded in messages: milliseconds plus 1, or 0
// without a confirmation.
func (s *State) confirmationAge(now time.Time) uint32 {
	if s.confirmedAt.IsZero() || s.accepted == nil {
		return 0
	}
	const maxAge = 24 * time.Hour
	return uint32(min(now.Sub(s.confirmedAt), maxAge).Milliseconds()) + 1
}

func (s *State) sendSync(now time.Time, to string, request *schema.SyncRequest, recheckID uint64) {
	s.counters.SyncsSent++
	s.emit(SendSync{To: to, Request: request, sentAt: now, recheckID: recheckID})
}

// startSync sends the periodic sync requests if they are due.
func (s *State) startSync(now time.Time) {
	isolated := now.Sub(s.lastContact) > isolationTimeout
	if now.Before(s.nextSync) && !isolated {
		return
	}
	s.nextSync = now.Add(scale(syncInterval, 0.75+0.5*s.random.Float64()))
	n := 1 + s.extraPeerCount()
	if s.syncCount == 0 {
		n = initialPeers
	}
	fullSyncDone := s.fullSyncDone
	for _, to := range s.choosePeers(now, n) {
		full := s.syncCount%fullSyncEvery == 0 || !fullSyncDone
		s.syncCount++
		s.sendSync(now, to, s.newSyncRequest(now, full), 0)
	}
}

// extraPeerCount returns the number of peers to contact beyond the usual number.
func (s *State) extraPeerCount() int { return min(maxExtraPeers, int(s.recentFailures)) }

// announceRecords sends pending records to a few peers.
func (s *State) announceRecords(now time.Time) {
	if len(s.pendingRecords) == 0 {
		return
	}
	peers := s.choosePeers(now, fanout+s.extraPeerCount())
	if len(peers) == 0 {
		return
	}
	n := min(len(s.pendingRecords), maxAnnouncedRecords)
	for _, to := range peers {
		r := s.newSyncRequest(now, false)
		r.SetMembers(s.pendingRecords[:n:n])
		s.counters.Announcements++
		s.sendSync(now, to, r, 0)
	}
	s.pendingRecords = s.pendingRecords[n:]
}

// announceRevision announces the accepted revision to a few peers.
func (s *State) announceRevision(now time.Time) {
	for _, to := range s.choosePeers(now, fanout+s.extraPeerCount()) {
		s.counters.Announcements++
		s.sendSync(now, to, s.newSyncRequest(now, false), 0)
	}
}

// HandleSync processes a sync request and returns the reply.
func (s *State) HandleSync(now time.Time, r *schema.SyncRequest) *schema.SyncReply {
	s.detectPause(now)
	s.counters.SyncsReceived++
	s.mergeRecords(now, r.GetMembers(), r.GetFrom())
	s.mergeSuspects(now, r.GetSuspects())
	if m := s.table.byName[r.GetFrom()]; m != nil && m.name != s.self.GetInstance() {
		s.recordContact(now, m)
		s.handleRevision(now, m.address(), r.GetRevision(), r.GetManifest(), s.confirmationTime(now, r.GetConfirmedMs()))
	}
	_, removed := s.table.tombstones[r.GetFrom()]
	reply := schema.SyncReply_builder{
		Revision: s.Revision(), Manifest: s.manifest(), ConfirmedMs: s.confirmationAge(now), Removed: removed,
	}.Build()
	if len(r.GetBuckets()) > 0 {
		reply.SetSuspects(s.suspectRecords(now))
		if len(s.differingBuckets(r.GetBuckets())) > 0 {
			reply.SetBuckets(append([]uint64{}, s.table.bucketHashes[:]...))
		}
	}
	return reply
}

// confirmationTime converts the confirmation age of a message to a time. Messages that arrive right after a pause may
// have waited through it, so their ages are ignored.
func (s *State) confirmationTime(sent time.Time, age uint32) time.Time {
	if age == 0 || s.rechecking {
		return time.Time{}
	}
	return sent.Add(-time.Duration(age) * time.Millisecond)
}

func (s *State) recordContact(now time.Time, m *member) {
	s.lastContact = now
	s.table.recordContact(m, now)
}

// mergeRecords merges announced records. The sender's own record counts as received directly.
func (s *State) mergeRecords(now time.Time, records []*schema.Member, from string) {
	pending := s.pendingRecords
	for _, r := range records {
		if r.GetInstance() == s.self.GetInstance() {
			s.mergeOwnRecord(now, r)
			continue
		}
		if joined := s.table.merge(r, now, r.GetInstance() == from); joined != nil {
			pending = append(pending, joined)
		}
	}
	s.pendingRecords = pending
}

// mergeOwnRecord raises the version of the node's own record above that of a record from an earlier process of the
// instance. Such a record also shows the service of the instance.
func (s *State) mergeOwnRecord(now time.Time, r *schema.Member) {
	if r.GetIncarnation() != s.self.GetIncarnation() {
		s.earlierProcess = true
	}
	if s.announcesService(r) {
		s.enterService(now)
	}
	if r.GetIncarnation() == s.self.GetIncarnation() || !newerRecord(r, s.self) || now.Sub(s.startedAt) > clockSkewGrace {
		return
	}
	s.reannounceSelf(now, r.GetVersion()+1, s.self.GetState())
}

func (s *State) mergeSuspects(now time.Time, records []*schema.Suspect) {
	if s.suspects != nil && len(records) > 0 {
		s.suspects.Merge(now, records)
	}
}

// differingBuckets returns the buckets whose hashes differ from the node's own.
func (s *State) differingBuckets(buckets []uint64) []uint32 {
	if len(buckets) != bucketCount {
		return nil
	}
	var list []uint32
	for i, h := range buckets {
		if h != s.table.bucketHashes[i] {
			list = append(list, uint32(i))
		}
	}
	return list
}

// SyncDone processes the reply to a SendSync, or its error.
func (s *State) SyncDone(now time.Time, sent SendSync, reply *schema.SyncReply, err error) {
	s.detectPause(now)
	m := s.table.byAddress[sent.To]
	if err != nil {
		s.counters.SyncsFailed++
		s.table.recordFailure(m, now)
		s.recentFailures++
		s.countRecheckAnswer(sent.recheckID, 0)
		s.finishRecheck()
		return
	}
	s.lastContact = now
	s.table.recordContact(m, now)
	s.mergeRecords(now, reply.GetMembers(), "")
	s.mergeSuspects(now, reply.GetSuspects())
	var confirmedAt time.Time
	if age := reply.GetConfirmedMs(); age > 0 {
		confirmedAt = sent.sentAt.Add(-time.Duration(age) * time.Millisecond)
	}
	if reply.GetRemoved() && now.Sub(s.lastReannounce) >= reannounceInterval {
		s.lastReannounce = now
		s.reannounceSelf(now, s.self.GetVersion()+1, s.self.GetState())
	}
	s.handleRevision(now, sent.To, reply.GetRevision(), reply.GetManifest(), confirmedAt)
	if reply.GetRevision() >= s.Revision() {
		s.recordStartAnswer(sent.To, reply.GetRevision())
	}
	s.countStartReply(now, reply.GetRevision())
	if len(sent.Request.GetBuckets()) > 0 {
		s.repairBuckets(sent.To, reply.GetBuckets())
	}
	s.countRecheckAnswer(sent.recheckID, 1)
	s.finishRecheck()
}

// repairBuckets exchanges the records of differing buckets. The first exchange of a new process covers all of them;
// later ones cover a few, to limit message sizes while many records change.
func (s *State) repairBuckets(to string, buckets []uint64) {
	list := s.differingBuckets(buckets)
	if len(list) == 0 {
		s.fullSyncDone = true
		return
	}
	if s.fullSyncDone && len(list) > maxRepairBuckets {
		s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxRepairBuckets]
	}
	s.emit(SendBuckets{To: to, Request: schema.BucketsRequest_builder{
		Buckets: list, Members: s.table.records(list),
	}.Build()})
}

// HandleBuckets merges a peer's records and returns those that the peer lacks.
func (s *State) HandleBuckets(now time.Time, r *schema.BucketsRequest) *schema.BucketsReply {
	s.detectPause(now)
	hashes := make(map[string]uint64, len(r.GetMembers()))
	for _, m := range r.GetMembers() {
		hashes[m.GetInstance()] = hashRecord(m)
	}
	s.mergeBucketRecords(now, r.GetMembers())
	var records []*schema.Member
	for _, m := range s.table.records(r.GetBuckets()) {
		if hashRecord(m) != hashes[m.GetInstance()] {
			records = append(records, m)
		}
	}
	return schema.BucketsReply_builder{Members: records}.Build()
}

// mergeBucketRecords merges the records of a bucket exchange. A large number of changed records is old news to other
// nodes, so they are announced further only if they are few.
func (s *State) mergeBucketRecords(now time.Time, records []*schema.Member) {
	pending := s.pendingRecords
	s.mergeRecords(now, records, "")
	if len(s.pendingRecords)-len(pending) > maxRepairBuckets {
		s.pendingRecords = pending
	}
}

// BucketsDone processes the reply to a SendBuckets, or its error.
func (s *State) BucketsDone(now time.Time, _ SendBuckets, reply *schema.BucketsReply, err error) {
	s.detectPause(now)
	if err != nil {
		return
	}
	s.fullSyncDone = true
	s.mergeBucketRecords(now, reply.GetMembers())
}
