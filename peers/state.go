package peers

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/config"
	"verbenareel/core"
	"verbenareel/schema"
)

// Times of the exchange. A change must be in force everywhere within 4 s, and the removal of a failure domain within 3 s
// on each node that any path reaches.
const (
	// TickInterval is the time between two ticks of State.
	TickInterval = 100 * time.Millisecond
	// pauseGap is the gap between ticks after which the process counts as paused.
	pauseGap = 500 * time.Millisecond
	// syncInterval is the mean time between two exchanges that a node begins; one in fullEvery compares member records.
	syncInterval = 250 * time.Millisecond
	fullEvery    = 4
	// staleAfter is the age of the last confirmation by the platform, or of the last contact with a peer, after which a
	// node reads the platform itself. The age comes with each exchange, so it also grows on a group of nodes that is cut
	// off from each node that reads the platform.
	staleAfter  = 2 * time.Second
	staleJitter = 300 * time.Millisecond
	// staleRead is the shortest time between two such reads; staleReadJitter is added at random.
	staleRead       = 2 * time.Second
	staleReadJitter = 600 * time.Millisecond
	// Other nodes read the document too, in case those that watch it are served stale data: all of them together about
	// once in idleShare, and each at least every maxIdleRead. Up to 32 nodes, each node with a path to the current
	// document reads it within 3 s.
	idleShare   = 70 * time.Millisecond
	minIdleRead = 2300 * time.Millisecond
	maxIdleRead = 60 * time.Second
	// watchWait is the time for which a watch may stay pending.
	watchWait = time.Second
	// readLimit is the time after which a read without a result is given up.
	readLimit = watchWait + 3*time.Second
	// The list is read at a rate that costs about listRate bytes a second at listBytes for each instance.
	listRate    = 2000
	listBytes   = 130
	minListRead = 4 * time.Second
	maxListRead = 60 * time.Second
	// Delay after a failed read: doubles from firstBackoff to maxBackoff, give or take a quarter.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// startJitter spreads the first reads of processes that start together.
	startJitter = 300 * time.Millisecond
	// callRate is the budget of platform calls a second; the bucket holds one call. So a node makes at most two calls in
	// any second, and 840 nodes that reconnect at once stay below the platform's 2,000.
	callRate = 1.5
	// epoch is the time after which other nodes become readers, also without a new revision.
	epoch = 30 * time.Second
	// readersPerDomain is the number of nodes of a failure domain that watch the platform.
	readersPerDomain = 2
	// fanout is the number of peers that a new revision or record is announced to.
	fanout = 4
	// nearFor is the time for which a peer that answered is preferred.
	nearFor = time.Minute
	// A node that was cut off finds the rest of its group by trying more peers, up to extraPeers more for the failures of
	// about the last second, and each tick instead of each syncInterval after silentAfter without contact.
	silentAfter  = time.Second
	extraPeers   = 8
	failureDecay = 0.93
	// startPeers is the number of peers that a new process asks.
	startPeers = 3
	// expireInterval is the time between two searches for dead records.
	expireInterval = 10 * time.Second
	// refreshInterval is the shortest time between two announcements of the same state.
	refreshInterval = time.Second
	// clockGrace is the time after the start in which a process outbids a record of its instance with a higher version,
	// which a predecessor with a clock ahead left behind.
	clockGrace = time.Minute
)

// Sizes of messages.
const (
	maxHot      = 32
	maxBuckets  = 8
	maxSuspects = 64
	maxFetch    = config.MaxDocument / minBlock
)

// Effect is a message that State wants to be sent, or a read of the platform that it wants to be made. Its result is
// given back with the method that each type names.
type Effect interface{ effect() }

// SendSync is answered with State.SyncDone.
type SendSync struct {
	To      string
	Request *schema.SyncRequest
	// at is the time of sending, wake the pause that the message belongs to.
	at   time.Time
	wake uint64
}

// SendBuckets is answered with State.BucketsDone.
type SendBuckets struct {
	To      string
	Request *schema.BucketsRequest
}

// FetchManifest is answered with State.ManifestDone.
type FetchManifest struct {
	To      string
	Request *schema.ManifestRequest
	number  uint64
}

// FetchSections is answered with State.SectionsDone.
type FetchSections struct {
	To      string
	Request *schema.SectionsRequest
	number  uint64
}

// ReadDocument is answered with State.DocumentDone.
type ReadDocument struct {
	After  uint64
	Wait   time.Duration
	at     time.Time
	number uint64
	// wake is the pause that the read belongs to, or 0; wakes is the number of pauses before it.
	wake, wakes uint64
}

// ReadMembers is answered with State.MembersDone.
type ReadMembers struct {
	at     time.Time
	number uint64
}

func (SendSync) effect()      {}
func (SendBuckets) effect()   {}
func (FetchManifest) effect() {}
func (FetchSections) effect() {}
func (ReadDocument) effect()  {}
func (ReadMembers) effect()   {}

// Counters counts the events of one node since its start.
type Counters struct {
	SyncsSent, SyncsFailed, SyncsReceived         uint64
	Announcements                                 uint64
	Pulls, PullsFailed                            uint64
	Accepted, Rejected, Lower, Conflicts          uint64
	PlatformCalls, PlatformFailures, PlatformHeld uint64
	PlatformStale                                 uint64
	Pauses, Removed, Published, Dropped           uint64
}

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

// pending reports whether a read has no result yet.
func (r *read) pending(now time.Time) bool {
	return r.number != 0 && now.Sub(r.began) < readLimit
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

// State is the exchange of one node without I/O: its inputs are messages, lists, documents and ticks, its outputs are
// effects. It is not safe for concurrent use. Each method takes the current time, which never decreases.
type State struct {
	self     *schema.Member
	table    *table
	seeds    []string
	suspects core.Suspects
	random   *rand.Rand
	platform bool

	accepted *accepted
	rejected rejected
	pull     *pull
	conflict uint64

	began    time.Time
	ticked   time.Time
	nextSync time.Time
	syncs    uint64
	contact  time.Time
	// confirmed is the last time at which the platform was known to hold no higher revision than the accepted one.
	confirmed time.Time
	expired   time.Time
	// failing counts failed exchanges; it decays with each tick.
	failing float64
	// turn alternates between peers that answered lately and others.
	turn bool
	// refreshed is the last time that the node's record was announced again because a peer had removed it.
	refreshed time.Time
	// whole reports that member records were exchanged in full once.
	whole bool
	// hot holds records that are to be announced with the next tick.
	hot []*schema.Member

	document, members read
	number            uint64
	tokens            float64
	filled            time.Time

	// rechecking is set from a pause until peers or the platform answered; awaited and answered count their answers.
	rechecking        bool
	wakes             uint64
	awaited, answered int

	role     role
	counters Counters
	effects  []Effect
}

// role caches whether the node watches the platform.
type role struct {
	revision, epoch, changes uint64
	known, reader            bool
}

// NewState returns the state of a node that has just started. The platform argument tells whether the node can read the
// platform; random decides on peers and jitter.
func NewState(now time.Time, self *schema.Member, platform bool, seeds []string, suspects core.Suspects, random *rand.Rand) *State {
	s := &State{
		table: newTable(), seeds: seeds, suspects: suspects, random: random, platform: platform,
		began: now, ticked: now, nextSync: now, contact: now, expired: now, filled: now, tokens: 1,
	}
	version := max(self.GetVersion(), uint64(now.UnixMilli()))
	state := max(self.GetState(), schema.InstanceState_INSTANCE_STATE_SERVING)
	s.document.jitter, s.members.jitter = random.Float64(), random.Float64()
	s.setSelf(now, schema.Member_builder{
		Instance: self.GetInstance(), Service: self.GetService(), Domain: self.GetDomain(), Address: self.GetAddress(),
		Incarnation: self.GetIncarnation(), Version: version, State: state,
	}.Build())
	return s
}

// Take returns the effects since the last call.
func (s *State) Take() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Revision returns the accepted revision, or 0.
func (s *State) Revision() uint64 {
	if s.accepted == nil {
		return 0
	}
	return s.accepted.revision
}

func (s *State) manifest() uint64 {
	if s.accepted == nil {
		return 0
	}
	return s.accepted.manifest
}

// Fresh reports whether the node has caught up since its last pause.
func (s *State) Fresh(now time.Time) bool { return !s.rechecking && now.Sub(s.ticked) <= pauseGap }

// Snapshot returns the configuration and members in force, or nil without an accepted document.
func (s *State) Snapshot() *core.Snapshot {
	if s.accepted == nil {
		return nil
	}
	return core.NewSnapshot(s.accepted.revision, s.accepted.document, s.table.effective())
}

// setSelf changes the node's own record and announces it at once.
func (s *State) setSelf(now time.Time, record *schema.Member) {
	s.self = record
	m := s.table.add(record.GetInstance(), now)
	s.table.change(m, func() { m.record = record })
	s.hot = append(s.hot, record)
}

// Announce changes the state of the node's own record. A node that is leaving or gone does not come back.
func (s *State) Announce(now time.Time, state schema.InstanceState) {
	s.observe(now)
	current := s.self.GetState()
	if state == current || current >= schema.InstanceState_INSTANCE_STATE_LEAVING && state < current {
		return
	}
	s.bump(now, s.self.GetVersion()+1, state)
	s.flush(now)
}

func (s *State) bump(now time.Time, version uint64, state schema.InstanceState) {
	s.setSelf(now, schema.Member_builder{
		Instance: s.self.GetInstance(), Service: s.self.GetService(), Domain: s.self.GetDomain(),
		Address: s.self.GetAddress(), Incarnation: s.self.GetIncarnation(), Version: version, State: state,
	}.Build())
}

// Tick does what is due. It is called every TickInterval.
func (s *State) Tick(now time.Time) {
	s.observe(now)
	s.ticked = now
	s.failing *= failureDecay
	s.flush(now)
	s.sync(now)
	s.reads(now)
	if now.Sub(s.expired) >= expireInterval {
		s.expired = now
		before := len(s.table.order)
		if s.members.failures == 0 && !s.members.ended.IsZero() {
			s.table.expire(now, s.self.GetInstance())
		}
		s.counters.Removed += uint64(before - len(s.table.order))
	}
	s.settle()
}

// observe notices that the process was paused: its ticks have a gap. It then asks peers and the platform at once.
func (s *State) observe(now time.Time) {
	if now.Sub(s.ticked) <= pauseGap {
		return
	}
	s.ticked = now
	s.rechecking = true
	s.wakes++
	s.counters.Pauses++
	s.awaited, s.answered = 0, 0
	s.document.number = 0
	s.document.failures = 0
	for _, to := range s.choose(now, fanout) {
		s.awaited++
		s.send(now, to, s.request(now, true), s.wakes)
	}
	if s.platform && s.take(now) {
		s.awaited++
		s.readDocument(now, 0, s.wakes)
	}
}

// settle ends the recheck after a pause: two peers or the platform answered, or nobody else can, and nothing newer is
// being transferred.
func (s *State) settle() {
	const enough = 2
	if s.rechecking && s.pull == nil && (s.answered >= enough || s.awaited <= 0) {
		s.rechecking = false
	}
}

// settled counts an answer to the recheck with the number.
func (s *State) settled(wake uint64, weight int) {
	if !s.rechecking || wake != s.wakes {
		return
	}
	s.awaited--
	s.answered += weight
}

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
// waited through it, so their ages count for nothing.
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

// consider compares a peer's revision with the accepted one and pulls a higher one.
func (s *State) consider(from string, revision, manifest uint64, confirmed time.Time) {
	switch {
	case revision < s.Revision() || revision == 0:
		return
	case revision == s.Revision():
		if manifest == s.manifest() {
			s.confirm(confirmed)
			return
		}
		s.disagree(manifest)
		return
	case revision == s.rejected.revision && manifest == s.rejected.manifest:
		return
	}
	if s.pull != nil && s.pull.revision == revision && s.pull.manifest == manifest {
		s.pull.offeredBy(from)
		return
	}
	if s.pull != nil && s.pull.revision >= revision {
		return
	}
	s.pull = &pull{revision: revision, manifest: manifest, confirmed: confirmed}
	s.fetch(from)
}

// disagree counts other bytes under the accepted revision; the first ones stay in force.
func (s *State) disagree(manifest uint64) {
	if s.conflict != manifest {
		s.conflict = manifest
		s.counters.Conflicts++
	}
}

// confirm notes that the platform held the accepted revision at a time.
func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// fetch begins an attempt of the current pull.
func (s *State) fetch(from string) {
	s.counters.Pulls++
	s.number++
	s.pull.from, s.pull.number = from, s.number
	s.pull.hashes, s.pull.bodies = nil, make(map[uint64][]byte)
	s.emit(FetchManifest{To: from, Request: schema.ManifestRequest_builder{Revision: s.pull.revision}.Build(), number: s.number})
}

// fail turns to the next peer that offered the revision, or gives up until the next offer.
func (s *State) fail() {
	s.counters.PullsFailed++
	if len(s.pull.others) == 0 {
		s.pull = nil
		s.settle()
		return
	}
	next := s.pull.others[0]
	s.pull.others = s.pull.others[1:]
	s.fetch(next)
}

// HandleManifest gives the block hashes of the accepted revision.
func (s *State) HandleManifest(now time.Time, r *schema.ManifestRequest) *schema.ManifestReply {
	s.observe(now)
	if s.accepted == nil || s.accepted.revision != r.GetRevision() {
		return &schema.ManifestReply{}
	}
	return schema.ManifestReply_builder{Revision: s.accepted.revision, Sections: s.accepted.hashes}.Build()
}

// ManifestDone takes the reply to a FetchManifest, or its error.
func (s *State) ManifestDone(now time.Time, sent FetchManifest, reply *schema.ManifestReply, err error) {
	s.observe(now)
	if s.pull == nil || s.pull.number != sent.number {
		return
	}
	hashes := reply.GetSections()
	if err != nil || len(hashes) > maxBlocks || manifestOf(hashes) != s.pull.manifest {
		s.fail()
		return
	}
	s.pull.hashes = hashes
	if s.accepted != nil {
		for _, h := range hashes {
			if body := s.accepted.bodies[h]; body != nil {
				s.pull.bodies[h] = body
			}
		}
	}
	s.proceed(now)
}

// proceed asks for blocks that are missing, or offers the whole text.
func (s *State) proceed(now time.Time) {
	p := s.pull
	if missing := p.missing(); len(missing) > 0 {
		missing = missing[:min(len(missing), maxFetch)]
		s.emit(FetchSections{To: p.from, Request: schema.SectionsRequest_builder{Sections: missing}.Build(), number: p.number})
		return
	}
	text, ok := p.text()
	if !ok {
		s.fail()
		return
	}
	s.pull = nil
	s.offer(now, p.revision, text, p.confirmed)
	s.settle()
}

// HandleSections gives the text of blocks; an unknown block is empty.
func (s *State) HandleSections(now time.Time, r *schema.SectionsRequest) *schema.SectionsReply {
	s.observe(now)
	reply := &schema.SectionsReply{}
	hashes := r.GetSections()
	if s.accepted == nil || len(hashes) > maxFetch {
		return reply
	}
	bodies := make([][]byte, 0, len(hashes))
	for _, h := range hashes {
		bodies = append(bodies, s.accepted.bodies[h])
	}
	reply.SetSections(bodies)
	return reply
}

// SectionsDone takes the reply to a FetchSections, or its error.
func (s *State) SectionsDone(now time.Time, sent FetchSections, reply *schema.SectionsReply, err error) {
	s.observe(now)
	if s.pull == nil || s.pull.number != sent.number {
		return
	}
	wanted := sent.Request.GetSections()
	bodies := reply.GetSections()
	if err != nil || len(bodies) != len(wanted) {
		s.fail()
		return
	}
	for i, h := range wanted {
		if len(bodies[i]) == 0 || config.Hash(bodies[i]) != h {
			s.fail()
			return
		}
		s.pull.bodies[h] = bodies[i]
	}
	s.proceed(now)
}

// offer accepts a text or rejects it. A lower revision than the accepted one is never applied.
func (s *State) offer(now time.Time, revision uint64, text []byte, confirmed time.Time) {
	candidate := divide(revision, text)
	switch {
	case revision < s.Revision():
		s.counters.Lower++
		return
	case revision == s.Revision() && s.accepted != nil:
		if candidate.manifest != s.accepted.manifest {
			s.disagree(candidate.manifest)
			return
		}
		s.confirm(confirmed)
		return
	case revision == s.rejected.revision && candidate.manifest == s.rejected.manifest:
		return
	}
	document, err := config.ParseDocument(text)
	if err != nil {
		s.counters.Rejected++
		if revision >= s.rejected.revision {
			s.rejected = rejected{revision: revision, manifest: candidate.manifest, faults: err, at: now}
		}
		return
	}
	candidate.document = document
	s.counters.Accepted++
	s.accepted = candidate
	s.confirmed = confirmed
	if s.pull != nil && s.pull.revision <= revision {
		s.pull = nil
	}
	s.announce(now)
}

// reader reports whether the node is one of those of its failure domain that watch the platform: the lowest by
// rendezvous hash. The hash covers the revision and the epoch, so the cost of reading whole documents goes round.
func (s *State) reader(now time.Time) bool {
	r := role{
		revision: s.Revision(), epoch: uint64(now.Unix()) / uint64(epoch/time.Second), changes: s.table.changes, known: true,
	}
	r.reader = s.role.reader
	if r != s.role {
		r.reader = s.rank(r) < readersPerDomain
		s.role = r
	}
	return r.reader
}

// rank returns the number of nodes of the failure domain that come before this one.
func (s *State) rank(r role) int {
	own := rendezvous(s.self.GetInstance(), r)
	before := 0
	for _, m := range s.table.order {
		e := m.effective()
		if e.GetDomain() != s.self.GetDomain() || e.GetState() >= schema.InstanceState_INSTANCE_STATE_LEAVING {
			continue
		}
		if rendezvous(m.name, r) < own {
			before++
		}
	}
	return before
}

func rendezvous(name string, r role) uint64 {
	var data [16 + maxText]byte
	b := binary.LittleEndian.AppendUint64(data[:0], r.revision)
	b = binary.LittleEndian.AppendUint64(b, r.epoch)
	return xxhash.Sum64(append(b, name...))
}

// stale reports whether no path has confirmed the node's revision for a while.
func (s *State) stale(now time.Time) bool {
	limit := staleAfter + scale(staleJitter, s.document.jitter)
	return now.Sub(s.contact) > limit || now.Sub(s.confirmed) > limit
}

// take takes a call from the platform budget.
func (s *State) take(now time.Time) bool {
	s.tokens = min(1, s.tokens+callRate*now.Sub(s.filled).Seconds())
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
	if !s.document.pending(now) && !now.Before(s.documentDue(now, watch)) && s.take(now) {
		wait := time.Duration(0)
		if watch {
			wait = watchWait
		}
		s.readDocument(now, wait, 0)
	}
	held := !watch && s.documentSoon(now)
	if !held && !s.members.pending(now) && !now.Before(s.membersDue()) && s.take(now) {
		s.number++
		s.members.number, s.members.began, s.members.jitter = s.number, now, s.random.Float64()
		s.counters.PlatformCalls++
		s.emit(ReadMembers{at: now, number: s.number})
	}
}

func (s *State) readDocument(now time.Time, wait time.Duration, wake uint64) {
	s.number++
	s.document.number, s.document.began, s.document.jitter = s.number, now, s.random.Float64()
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
		due = s.began.Add(scale(startJitter, jitter))
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
	return !s.document.pending(now) && (s.documentDue(now, false).Before(later) || s.stale(later))
}

// membersDue returns the time of the next read of the list.
func (s *State) membersDue() time.Time {
	if s.members.began.IsZero() {
		return s.began.Add(scale(startJitter, s.members.jitter))
	}
	interval := time.Duration(len(s.table.order)) * listBytes * time.Second / listRate
	interval = min(max(interval, minListRead), maxListRead)
	return latest(s.members.began.Add(scale(interval, 0.8+0.4*s.members.jitter)), s.members.backoff())
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
	if err != nil {
		s.counters.PlatformFailures++
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
	if err != nil {
		s.counters.PlatformFailures++
		return
	}
	s.table.list(list, now)
}
