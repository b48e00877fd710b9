package peers

import (
	"math/rand/v2"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

// Timing of the exchange. A change must be in force everywhere within 4 s, and the removal of a failure domain within
// 3 s on every node that any path reaches.
const (
	// TickInterval is the time between two calls of State.Tick.
	TickInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the process counts as paused.
	pauseThreshold = 500 * time.Millisecond
	// syncInterval is the mean time between two syncs that a node starts. One in fullSyncEvery also compares member
	// records.
	syncInterval  = 250 * time.Millisecond
	fullSyncEvery = 4
	// staleAfter is the age of the last confirmation by the platform, or of the last contact with a peer, above which a
	// node reads the platform itself. Syncs carry the age of the confirmation, so it also grows in a group of nodes
	// that is cut off from every platform reader.
	staleAfter  = 2 * time.Second
	staleJitter = 300 * time.Millisecond
	// Nodes whose confirmations have the same age stagger their reads. staggerSpread is the longest delay as a share of
	// that age; by rank, each node waits for half (staggerShare) of the remaining delay. Up to staggerJitter of the age
	// is added at random.
	staggerSpread = 0.7
	staggerShare  = 0.5
	staggerJitter = 0.1
	// staleReadInterval is the shortest time between two reads of a stale node. Up to staleReadJitter is added at
	// random.
	staleReadInterval = 2 * time.Second
	staleReadJitter   = 600 * time.Millisecond
	// Nodes that do not watch the document also read it, in case the watching nodes are served stale data: together
	// about once in fleetIdleInterval, and each of them at least every maxIdleInterval. In a fleet of up to 32 nodes,
	// every node with a path to the current document therefore reads it within 3 s.
	fleetIdleInterval = 70 * time.Millisecond
	minIdleInterval   = 2300 * time.Millisecond
	maxIdleInterval   = 60 * time.Second
	// watchTimeout is how long a watch may stay pending.
	watchTimeout = time.Second
	// readTimeout is the time after which a read without a result is given up.
	readTimeout = watchTimeout + 3*time.Second
	// documentReadTimeout is the time after which a read of the document without a result is given up. A second one would
	// take half of the link from the first.
	documentReadTimeout = watchTimeout + 30*time.Second
	// The list is read at an interval that costs about listBytesPerSecond, given listBytesPerInstance.
	listBytesPerSecond   = 2000
	listBytesPerInstance = 130
	minListInterval      = 1500 * time.Millisecond
	maxListInterval      = 60 * time.Second
	// After a failed read, the delay doubles from firstBackoff to maxBackoff, plus or minus a quarter.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// A list that may be old is read again after discoveryInterval, at most maxDiscoveryReads times, until it names
	// initialPeers others: at the start of a fleet it may be older than the first entries.
	discoveryInterval = time.Second
	maxDiscoveryReads = 5
	// startSpread spreads the first reads of processes that start together.
	startSpread = 300 * time.Millisecond
	// platformCallRate limits the platform calls per second. The token bucket holds one call, so a node makes at most
	// two calls in any second, and 840 nodes that reconnect at once stay below the platform's limit of 2,000.
	platformCallRate = 1.5
	// epochLength is the time after which other nodes become readers, even without a new revision.
	epochLength = 30 * time.Second
	// readersPerDomain is the number of nodes per failure domain that watch the platform.
	readersPerDomain = 2
	// fanout is the number of peers that a new revision or record is announced to.
	fanout = 4
	// In a fleet of more than twice partnerCount nodes, a node exchanges messages with partnerCount others, and only one
	// choice in randomPeerEvery is among all. A random graph with this degree is connected and a few hops wide.
	partnerCount    = 8
	randomPeerEvery = 8
	// recentPeerWindow is how long a peer that answered is preferred.
	recentPeerWindow = time.Minute
	// A node that was cut off finds the rest of its group by trying more peers. It contacts up to maxExtraPeers more,
	// depending on the failures of about the last second. After isolationTimeout without contact, it syncs on each tick
	// instead of once per syncInterval.
	isolationTimeout    = time.Second
	maxExtraPeers       = 8
	failureDecayPerTick = 0.93
	// initialPeers is the number of peers that a new process contacts first.
	initialPeers = 3
	// expireInterval is the time between two removals of expired records.
	expireInterval = 10 * time.Second
	// reannounceInterval is the shortest time between two announcements of the node's record because peers had removed
	// it.
	reannounceInterval = time.Second
	// clockSkewGrace is how long after its start a process replaces a record of its instance that has a higher version.
	// A predecessor whose clock was ahead may have left such a record.
	clockSkewGrace = time.Minute
)

// Limits on message sizes.
const (
	maxAnnouncedRecords = 32
	maxRepairBuckets    = 8
	maxSuspects         = 64
)

// Counters counts the events of one node since its start.
type Counters struct {
	SyncsSent, SyncsFailed, SyncsReceived         uint64
	Announcements                                 uint64
	Pulls, PullsFailed, BlocksReceived            uint64
	Accepted, Rejected, Lower, Conflicts          uint64
	PlatformCalls, PlatformFailures, PlatformHeld uint64
	PlatformStale, PlatformRestores, Merged       uint64
	Pauses, Removed, Published, Dropped           uint64
}

// State is the exchange of one node without I/O: its inputs are messages, lists, documents and ticks, its outputs are
// effects. It is not safe for concurrent use. Methods that take the current time expect it never to decrease.
type State struct {
	self     *schema.Member
	table    *memberTable
	seeds    []string
	suspects core.Suspects
	random   *rand.Rand
	platform bool

	accepted *documentVersion
	rejected rejectedVersion
	pull     *pull
	// received holds the blocks of documents that were transferred in part.
	received         blockStore
	compressor       *compressor
	failedPulls      failedPulls
	conflictManifest uint64
	news             news
	// held is the first document read from the platform while it is held back, or nil.
	held *heldDocument
	// startReplies counts the answers of peers before the first document was in force.
	startReplies int
	// mergedManifest is the manifest of the text that was last merged with the accepted one.
	mergedManifest uint64

	startedAt   time.Time
	lastTick    time.Time
	nextSync    time.Time
	syncCount   uint64
	lastContact time.Time
	// confirmedAt is the last time at which the platform was known to hold no higher revision than the accepted one.
	confirmedAt time.Time
	lastExpiry  time.Time
	// recentFailures counts failed syncs and decays on each tick.
	recentFailures float64
	// preferRecent makes the choice of peers alternate between those that answered recently and others.
	preferRecent bool
	// lastReannounce is when the node last announced its record again because a peer had removed it.
	lastReannounce time.Time
	// fullSyncDone is set once member records were fully synchronized with a peer.
	fullSyncDone bool
	// earlierProcess is set once a record shows that an earlier process of the node announced the current instance.
	earlierProcess bool
	// namedAt is when the backend server reported its current name.
	namedAt time.Time
	// pendingRecords holds the records to announce on the next tick.
	pendingRecords []*schema.Member

	reading                   ReadPolicy
	documentRead, membersRead readSchedule
	// ownRead is the read of the entry of the node's own instance.
	ownRead readSchedule
	// ownWatch is the watch of that entry.
	ownWatch readSchedule
	// discoveryReads counts the reads of lists until one named enough other instances.
	discoveryReads int
	// confirmRead is the read of the document in addition to a pending watch.
	confirmRead readSchedule
	// listedAt is the time as of which the platform's list is known to include or omit the node's own instance.
	listedAt time.Time
	// ownSeenAt is when the latest read began that showed the entry of the node's own instance.
	ownSeenAt time.Time
	// ownMissingSince is when the first read began that showed that the entry is gone, or zero.
	ownMissingSince time.Time
	// ownExpired is set while that entry is missing but may have expired in an outage of the platform.
	ownExpired bool
	outage     outage
	// listRequestedAt is the time as of which a caller needs the list.
	listRequestedAt time.Time
	lastID          uint64
	tokens          float64
	lastRefill      time.Time

	// rechecking is set after a pause until peers or the platform have answered. recheckPending and recheckAnswers
	// count the outstanding and received answers.
	rechecking                     bool
	pauseCount                     uint64
	recheckPending, recheckAnswers int

	role     readerRole
	partners partners
	// startSources holds the addresses of the first nodes with a document that answered since the process started. published
	// is set once a snapshot was published.
	startSources []string
	published    bool

	counters Counters
	effects  []Effect
}

// readerRole caches whether the node watches the platform, with the inputs it was computed from.
type readerRole struct {
	revision, epoch, changes uint64
	valid, isReader          bool
	// fleetRank is the number of nodes of the fleet that precede this one.
	fleetRank int
}

// NewState returns the state of a node that has just started. platform tells whether the node can read the platform;
// random is the source for the choice of peers and for jitter.
func NewState(now time.Time, self *schema.Member, platform bool, seeds []string, suspects core.Suspects, random *rand.Rand) *State {
	s := &State{
		table: newMemberTable(), seeds: seeds, suspects: suspects, random: random, platform: platform, reading: DefaultReadPolicy(),
		compressor: newCompressor(), startedAt: now, lastTick: now, nextSync: now, lastContact: now, lastExpiry: now, lastRefill: now, tokens: 1,
	}
	version := max(self.GetVersion(), uint64(now.UnixMilli()))
	state := max(self.GetState(), schema.InstanceState_INSTANCE_STATE_SERVING)
	s.documentRead.jitter, s.membersRead.jitter, s.ownRead.jitter = random.Float64(), random.Float64(), random.Float64()
	own := withState(self, state)
	own.SetVersion(version)
	s.setSelf(now, own)
	return s
}

// Digest returns the node's summary of its document for other nodes: the accepted revision, the hash of its manifest,
// and the age of its confirmation as encoded in messages.
func (s *State) Digest(now time.Time) (revision, manifest uint64, confirmed uint32) {
	return s.Revision(), s.manifest(), s.confirmationAge(now)
}

// HandleDigest processes a digest from the node at an address.
func (s *State) HandleDigest(now time.Time, from string, revision, manifest uint64, confirmed uint32) {
	s.detectPause(now)
	s.handleRevision(now, from, revision, manifest, s.confirmationTime(now, confirmed))
}

// TakeEffects returns the effects requested since the last call.
func (s *State) TakeEffects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Revision returns the accepted revision, or 0 without one.
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
func (s *State) Fresh(now time.Time) bool {
	return !s.rechecking && now.Sub(s.lastTick) <= pauseThreshold
}

// Snapshot returns the configuration and members in force, or nil without an accepted document.
func (s *State) Snapshot() *core.Snapshot {
	if s.accepted == nil {
		return nil
	}
	return core.NewSnapshot(s.accepted.revision, s.accepted.document, s.table.effective()).SetListTime(s.listedAt)
}

// setSelf replaces the node's own record and queues its announcement.
func (s *State) setSelf(now time.Time, record *schema.Member) {
	s.self = record
	m := s.table.getOrAdd(record.GetInstance(), now)
	s.table.update(m, func() {
		m.record = record
		m.missingFromList = s.table.authoritative && m.listEntry == nil
	})
	s.pendingRecords = append(s.pendingRecords, record)
}

// Announce changes the state in the node's own record. A leaving or gone node cannot return to a better state.
func (s *State) Announce(now time.Time, state schema.InstanceState) {
	s.detectPause(now)
	current := s.self.GetState()
	if state == current || current >= schema.InstanceState_INSTANCE_STATE_LEAVING && state < current {
		return
	}
	s.reannounceSelf(now, s.self.GetVersion()+1, state)
	s.announceRecords(now)
}

// RequestListRead requests a read of the platform's list as of now, or of the node's own entry in it.
func (s *State) RequestListRead(now time.Time) { s.listRequestedAt = now }

func (s *State) reannounceSelf(now time.Time, version uint64, state schema.InstanceState) {
	record := withState(s.self, state)
	record.SetVersion(version)
	s.setSelf(now, record)
}

// Tick runs the periodic work that is due. It is called every TickInterval.
func (s *State) Tick(now time.Time) {
	s.detectPause(now)
	s.lastTick = now
	s.recentFailures *= failureDecayPerTick
	s.raiseVersion(now)
	s.announceRecords(now)
	s.startSync(now)
	s.releaseHeld(now)
	s.startDueReads(now)
	if now.Sub(s.lastExpiry) >= expireInterval {
		s.lastExpiry = now
		before := len(s.table.sorted)
		if s.membersRead.failures == 0 && !s.membersRead.endedAt.IsZero() {
			s.table.expire(now, s.self.GetInstance())
		}
		s.counters.Removed += uint64(before - len(s.table.sorted))
	}
	s.finishRecheck()
}

// detectPause detects that the process was paused by a gap between ticks. It then queries peers and the platform
// immediately.
func (s *State) detectPause(now time.Time) {
	if now.Sub(s.lastTick) <= pauseThreshold {
		return
	}
	s.lastTick = now
	s.rechecking = true
	s.pauseCount++
	s.counters.Pauses++
	s.recheckPending, s.recheckAnswers = 0, 0
	s.documentRead.pendingID = 0
	s.documentRead.failures = 0
	s.RequestListRead(now)
	for _, to := range s.choosePeers(now, fanout) {
		s.recheckPending++
		s.sendSync(now, to, s.newSyncRequest(now, true), s.pauseCount)
	}
	if s.platform && s.takeToken(now) {
		s.recheckPending++
		s.startRecheckRead(now)
	}
}

// startRecheckRead asks the platform for changes during a pause.
func (s *State) startRecheckRead(now time.Time) {
	if s.reading.CheckChanges && s.accepted != nil {
		s.startCheck(now, &s.documentRead, s.pauseCount)
		return
	}
	s.startDocumentRead(now, 0, s.pauseCount)
}

// finishRecheck ends the recheck after a pause: two peers or the platform have answered, or no answers are outstanding,
// and no newer revision is being transferred.
func (s *State) finishRecheck() {
	const enough = 2
	if s.rechecking && s.pull == nil && (s.recheckAnswers >= enough || s.recheckPending <= 0) {
		s.rechecking = false
	}
}

// countRecheckAnswer counts an answer towards the recheck with the ID.
func (s *State) countRecheckAnswer(recheckID uint64, weight int) {
	if !s.rechecking || recheckID != s.pauseCount {
		return
	}
	s.recheckPending--
	s.recheckAnswers += weight
}
