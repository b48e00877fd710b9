package peers

import (
	"math/rand/v2"
	"time"

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
	// staleSpread is how far the reads of nodes whose confirmation is of the same age are apart at most, as a share of that
	// age; each node in their order waits for half of the rest, so turnShare, and turnJitter is added at random.
	staleSpread = 0.7
	turnShare   = 0.5
	turnJitter  = 0.1
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
	minListRead = 1500 * time.Millisecond
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

	reading           Reading
	document, members read
	// check is a read of the document beside a pending watch.
	check read
	// listed is the time as of which the platform's list is known to name the own instance or not.
	listed time.Time
	// lost is the error of the last read, or nil; lostAt is when the first of the failed ones in a row ended, and regained
	// when one succeeded again.
	lost             error
	lostAt, regained time.Time
	// listDemand is a time as of which the list is wanted.
	listDemand time.Time
	number     uint64
	tokens     float64
	filled     time.Time

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
	// place is the number of nodes of the fleet that come before this one.
	place int
}

// Reading says how a node reads its platform.
type Reading struct {
	// Parse returns the document of a text, or its faults.
	Parse func(text []byte) (*schema.Document, error)
	// Watch is the time for which a watch of the document may stay pending.
	Watch time.Duration
	// Readers is the number of nodes of each failure domain that watch the document, at least 1.
	Readers int
	// List is the shortest time between two reads of the list.
	List time.Duration
	// ListDecides makes the node's own instance count as leaving while the list does not name it. Other nodes learn of it
	// by its announcements and load reports.
	ListDecides bool
	// Stale is the age of the last confirmation of the document, by the platform or by another node, at which a node reads
	// it whatever it watches: a watch may hear nothing of a change. 0 leaves it to watches and idle reads.
	Stale time.Duration
	// Burst is the number of platform calls that may follow each other at once; 0 stands for 1.
	Burst float64
	// StartSpread spreads the first reads of processes that start together; 0 spreads nothing.
	StartSpread time.Duration
	// Grace is the time after the platform was away for which instances that the list no longer names stay as they were:
	// their entries may have lapsed meanwhile.
	Grace time.Duration
}

// DefaultReading returns how a node reads a platform of this project's own protocol.
func DefaultReading() Reading {
	return Reading{Parse: config.ParseDocument, Readers: readersPerDomain, Watch: watchWait, List: minListRead, StartSpread: startJitter}
}

// NewState returns the state of a node that has just started. The platform argument tells whether the node can read the
// platform; random decides on peers and jitter.
func NewState(now time.Time, self *schema.Member, platform bool, seeds []string, suspects core.Suspects, random *rand.Rand) *State {
	s := &State{
		table: newTable(), seeds: seeds, suspects: suspects, random: random, platform: platform, reading: DefaultReading(),
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

// Standing returns what the node tells others of its document: the accepted revision, its manifest and the age of the
// confirmation as messages carry it.
func (s *State) Standing(now time.Time) (revision, manifest uint64, confirmed uint32) {
	return s.Revision(), s.manifest(), s.age(now)
}

// Heard takes the standing of the node at an address.
func (s *State) Heard(now time.Time, from string, revision, manifest uint64, confirmed uint32) {
	s.observe(now)
	s.consider(from, revision, manifest, s.confirmedAt(now, confirmed))
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
	return core.NewSnapshot(s.accepted.revision, s.accepted.document, s.table.effective()).WithListed(s.listed)
}

// setSelf changes the node's own record and announces it at once.
func (s *State) setSelf(now time.Time, record *schema.Member) {
	s.self = record
	m := s.table.add(record.GetInstance(), now)
	s.table.change(m, func() {
		m.record = record
		m.unlisted = s.table.decisive && m.listed == nil
	})
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

// Identify gives the node's own record another name: another backend server has taken the place of the one before, whose
// record is announced as gone.
func (s *State) Identify(now time.Time, instance string) {
	s.observe(now)
	if instance == "" || instance == s.self.GetInstance() {
		return
	}
	state := min(s.self.GetState(), schema.InstanceState_INSTANCE_STATE_LEAVING)
	if state == schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE {
		state = schema.InstanceState_INSTANCE_STATE_SERVING
	}
	s.bump(now, s.self.GetVersion()+1, schema.InstanceState_INSTANCE_STATE_GONE)
	version := max(s.self.GetVersion()+1, uint64(now.UnixMilli()))
	s.setSelf(now, schema.Member_builder{
		Instance: instance, Service: s.self.GetService(), Domain: s.self.GetDomain(), Address: s.self.GetAddress(),
		Incarnation: s.self.GetIncarnation(), Version: version, State: state,
	}.Build())
	s.flush(now)
	s.WantList(now)
}

// WantList asks for a read of the platform's list as of now.
func (s *State) WantList(now time.Time) { s.listDemand = now }

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
	s.WantList(now)
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
