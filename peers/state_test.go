package peers

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenareel/schema"
)

var errDown = errors.New("platform is down")

// path selects how the platform answers a node's reads.
type path int

const (
	pathFresh path = iota
	pathStale
	pathDown
)

// process is one node of a model.
type process struct {
	*State
	record *schema.Member
	group  int
	path   path
	// staleRevision is the revision that the platform returns on a stale path.
	staleRevision int
	paused        bool
	// offList removes the instance from the platform's list.
	offList bool
	// heldInputs are inputs that arrived during a pause.
	heldInputs []func()
	// lastRevision is the revision at the last check. worstStates holds the worst state seen for each incarnation.
	lastRevision uint64
	worstStates  map[uint64]schema.InstanceState
	calls        []time.Time
}

// scheduledInput is an input that is due at a given time.
type scheduledInput struct {
	at     time.Time
	number int
	run    func()
}

type inputQueue []scheduledInput

func (d inputQueue) Len() int { return len(d) }
func (d inputQueue) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].number < d[j].number
}
func (d inputQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *inputQueue) Push(x any)   { *d = append(*d, x.(scheduledInput)) }
func (d *inputQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// model runs several states in virtual time, with a simulated network and platform whose failures the test controls.
type model struct {
	now       time.Time
	random    *rand.Rand
	processes []*process
	queue     inputQueue
	number    int
	// history holds the platform's documents by revision; history[0] means no document.
	history []publishedDocument
	started uint64
	reading ReadPolicy
	fail    func(format string, args ...any)
}

type publishedDocument struct {
	text     []byte
	manifest uint64
	valid    bool
}

func newModel(n int, seed uint64, fail func(string, ...any)) *model {
	return newReadingModel(n, seed, DefaultReadPolicy(), fail)
}

func newReadingModel(n int, seed uint64, reading ReadPolicy, fail func(string, ...any)) *model {
	m := &model{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), history: []publishedDocument{{}}, reading: reading,
		fail: fail,
	}
	for i := range n {
		m.processes = append(m.processes, &process{})
		m.restart(i, 0)
	}
	return m
}

// restart replaces a process by a new one, which may know an old revision.
func (m *model) restart(i, known int) {
	m.started++
	record := nodeRecord(i)
	record.SetIncarnation(m.started)
	old := m.processes[i]
	seeds := []string{nodeRecord(0).GetAddress(), nodeRecord(1).GetAddress()}
	p := &process{
		record: record, group: old.group, path: old.path, staleRevision: old.staleRevision, worstStates: make(map[uint64]schema.InstanceState),
		State: NewState(m.now, record, true, seeds, nil, rand.New(rand.NewPCG(m.random.Uint64(), m.started))),
	}
	p.reading = m.reading
	if known > 0 {
		p.applyDocument(m.now, uint64(known), m.history[known].text, time.Time{})
	}
	m.processes[i] = p
}

// put publishes a document on the platform. An invalid one lacks its sections.
func (m *model) put(valid bool) {
	text := testDocument(len(m.history), m.random.IntN(40))
	if !valid {
		text = []byte("deployment = \"invalid\"\n")
	}
	m.history = append(m.history, publishedDocument{text: text, manifest: newDocumentVersion(0, text).manifest, valid: valid})
}

// highest returns the highest revision that a process has accepted, or that the platform holds if it is valid and a
// process can read it. A valid revision that was followed by an invalid one may be lost, because the platform holds
// only the latest.
func (m *model) highest() uint64 {
	last := len(m.history) - 1
	highest := uint64(0)
	for _, p := range m.processes {
		highest = max(highest, p.Revision())
		if m.history[last].valid && p.path == pathFresh {
			return uint64(last)
		}
	}
	return highest
}

// scheduleInput passes an input to a process after a delay.
func (m *model) scheduleInput(delay time.Duration, p *process, run func()) {
	m.schedule(delay, func() { m.deliver(p, run) })
}

func (m *model) schedule(delay time.Duration, run func()) {
	m.number++
	heap.Push(&m.queue, scheduledInput{at: m.now.Add(delay), number: m.number, run: run})
}

// deliver passes an input to a process. A paused process handles it when it resumes. A replaced process never does: a
// watch may end long after the process that started it.
func (m *model) deliver(p *process, run func()) {
	switch {
	case !m.isCurrent(p):
	case p.paused:
		p.heldInputs = append(p.heldInputs, run)
	default:
		run()
		m.performEffects(p)
	}
}

// delay returns a random message delay.
func (m *model) delay() time.Duration { return time.Duration(m.random.IntN(20_000)) * time.Microsecond }

func (m *model) performEffects(p *process) {
	for _, e := range p.TakeEffects() {
		m.perform(p, e)
	}
}

// isCurrent reports whether p is still the process of its instance.
func (m *model) isCurrent(p *process) bool {
	for _, q := range m.processes {
		if p == q {
			return true
		}
	}
	return false
}

func (m *model) perform(p *process, effect Effect) {
	switch e := effect.(type) {
	case SendSync:
		m.exchange(p, e.To, func(q *process, err error) func() {
			if err != nil {
				return func() { p.SyncDone(m.now, e, nil, err) }
			}
			reply := q.HandleSync(m.now, e.Request)
			return func() { p.SyncDone(m.now, e, reply, nil) }
		})
	case SendBuckets:
		m.exchange(p, e.To, func(q *process, err error) func() {
			if err != nil {
				return func() { p.BucketsDone(m.now, e, nil, err) }
			}
			reply := q.HandleBuckets(m.now, e.Request)
			return func() { p.BucketsDone(m.now, e, reply, nil) }
		})
	case FetchManifest:
		m.exchange(p, e.To, func(q *process, err error) func() {
			if err != nil {
				return func() { p.ManifestDone(m.now, e, nil, err) }
			}
			reply := q.HandleManifest(m.now, e.Request)
			return func() { p.ManifestDone(m.now, e, reply, nil) }
		})
	case FetchSections:
		m.exchange(p, e.To, func(q *process, err error) func() {
			if err != nil {
				return func() { p.SectionsDone(m.now, e, nil, err) }
			}
			reply := q.HandleSections(m.now, e.Request)
			return func() { p.SectionsDone(m.now, e, reply, nil) }
		})
	case ReadDocument:
		p.calls = append(p.calls, m.now)
		m.document(p, e, m.now.Add(e.Wait))
	case CheckDocument:
		p.calls = append(p.calls, m.now)
		m.check(p, e)
	case ReadMembers:
		p.calls = append(p.calls, m.now)
		m.members(p, e)
	}
}

// exchange delivers a request and its reply. A paused receiver answers when it resumes, after the sender's timeout.
func (m *model) exchange(p *process, to string, answer func(*process, error) func()) {
	for _, q := range m.processes {
		if q.record.GetAddress() != to || q.group != p.group {
			continue
		}
		late := q.paused
		m.schedule(m.delay(), func() {
			if !m.isCurrent(q) && !late {
				m.scheduleInput(sendTimeout, p, answer(nil, errUnreachable))
				return
			}
			m.deliver(q, func() {
				reply := answer(q, nil)
				if !late {
					m.scheduleInput(m.delay(), p, reply)
				}
			})
		})
		if late {
			m.scheduleInput(sendTimeout, p, answer(nil, errUnreachable))
		}
		return
	}
	m.scheduleInput(sendTimeout, p, answer(nil, errUnreachable))
}

// document answers a read using the process's path at the time of the answer.
func (m *model) document(p *process, e ReadDocument, until time.Time) {
	revision := len(m.history) - 1
	switch p.path {
	case pathFresh:
	case pathDown:
		m.scheduleInput(m.delay()*10, p, func() { p.DocumentDone(m.now, e, 0, nil, errDown) })
		return
	case pathStale:
		revision = p.staleRevision
	}
	// A stale answer may be slow, and may ignore the revision that the reader has.
	stale := p.path == pathStale && m.random.IntN(2) == 0
	if uint64(revision) > e.After || stale && revision > 0 {
		delay := m.delay()
		if stale {
			delay *= 40
		}
		m.scheduleInput(delay, p, func() { p.DocumentDone(m.now, e, uint64(revision), m.history[revision].text, nil) })
		return
	}
	if m.now.Before(until) {
		m.number++
		heap.Push(&m.queue, scheduledInput{at: m.now.Add(20 * time.Millisecond), number: m.number, run: func() { m.document(p, e, until) }})
		return
	}
	m.scheduleInput(m.delay(), p, func() { p.DocumentDone(m.now, e, uint64(revision), nil, nil) })
}

// check answers a check of the document using the process's path.
func (m *model) check(p *process, e CheckDocument) {
	revision := len(m.history) - 1
	switch p.path {
	case pathFresh:
	case pathDown:
		m.scheduleInput(m.delay()*10, p, func() { p.CheckDone(m.now, e, 0, errDown) })
		return
	case pathStale:
		revision = p.staleRevision
	}
	changed := 0
	if uint64(revision) > e.After {
		// Some changes are large.
		changed = 1 + m.random.IntN(2*largeChange)
	}
	m.scheduleInput(m.delay(), p, func() { p.CheckDone(m.now, e, changed, nil) })
}

// members answers with a list that names all instances as serving, so the list lags behind each instance that leaves.
func (m *model) members(p *process, e ReadMembers) {
	if p.path == pathDown {
		m.scheduleInput(m.delay()*10, p, func() { p.MembersDone(m.now, e, nil, errDown) })
		return
	}
	var list []*schema.Member
	for _, q := range m.processes {
		if q.offList {
			continue
		}
		r := q.record
		list = append(list, schema.Member_builder{
			Instance: r.GetInstance(), Service: r.GetService(), Domain: r.GetDomain(), Address: r.GetAddress(),
			State: schema.InstanceState_INSTANCE_STATE_SERVING,
		}.Build())
	}
	m.scheduleInput(m.delay(), p, func() { p.MembersDone(m.now, e, list, nil) })
}

// run advances the time by a number of ticks and checks the invariants after each of them.
func (m *model) run(ticks int) {
	for range ticks {
		end := m.now.Add(TickInterval)
		for len(m.queue) > 0 && !m.queue[0].at.After(end) {
			m.now = m.queue[0].at
			m.popInput()()
		}
		m.now = end
		for _, p := range m.processes {
			if !p.paused {
				p.Tick(m.now)
				m.performEffects(p)
				m.checkInvariants(p)
			}
		}
	}
}

// popInput removes the next input from the queue and returns it.
func (m *model) popInput() func() { return heap.Pop(&m.queue).(scheduledInput).run }

// resume ends a pause. The process handles the held inputs in random order before its next tick.
func (m *model) resume(p *process) {
	p.paused = false
	m.random.Shuffle(len(p.heldInputs), func(i, j int) { p.heldInputs[i], p.heldInputs[j] = p.heldInputs[j], p.heldInputs[i] })
	held := p.heldInputs
	p.heldInputs = nil
	for _, run := range held {
		run()
		m.performEffects(p)
	}
}

// checkInvariants fails the test if an invariant is violated.
func (m *model) checkInvariants(p *process) {
	name, revision := p.record.GetInstance(), p.Revision()
	if revision < p.lastRevision {
		m.fail("%s: revision decreased from %d to %d", name, p.lastRevision, revision)
	}
	p.lastRevision = revision
	if revision > 0 && !m.history[revision].valid {
		m.fail("%s: invalid revision %d is in force", name, revision)
	}
	if revision > 0 && p.manifest() != m.history[revision].manifest {
		m.fail("%s: revision %d differs from the platform's document", name, revision)
	}
	most := int(platformCallRate + max(1, m.reading.Burst))
	if n := len(p.calls); n > most && p.calls[n-1].Sub(p.calls[n-1-most]) < time.Second {
		m.fail("%s: %d platform calls within %v", name, most+1, p.calls[n-1].Sub(p.calls[n-1-most]))
	}
	for _, q := range p.table.sorted {
		e := q.effective()
		if seen := p.worstStates[e.GetIncarnation()]; e.GetState() < seen {
			m.fail("%s: %s returned to %v from %v", name, q.name, e.GetState(), seen)
		}
		if e.GetIncarnation() > 0 && e.GetState() >= schema.InstanceState_INSTANCE_STATE_LEAVING {
			p.worstStates[e.GetIncarnation()] = e.GetState()
		}
	}
}

// restorePaths ends all partitions and pauses, and sets all platform paths.
func (m *model) restorePaths(to path) {
	for _, p := range m.processes {
		p.path, p.group = to, 0
		if p.paused {
			m.resume(p)
		}
	}
}

// diverged returns the instances that lack the highest valid revision, or whose member records differ from those that
// the processes announced.
func (m *model) diverged() []string {
	var names []string
	for _, p := range m.processes {
		whole := p.Revision() == m.highest()
		for _, q := range m.processes {
			r := p.table.byName[q.record.GetInstance()]
			whole = whole && r != nil && hashRecord(r.record) == hashRecord(q.self)
		}
		if !whole {
			names = append(names, p.record.GetInstance())
		}
	}
	return names
}

// TestStateMachine guards against a revision that decreases, an invalid document in force, a leaving or gone instance
// that returns to a better state, more platform calls than the rate limit allows, and nodes that do not converge once
// all paths are restored.
func TestStateMachine(t *testing.T) {
	t.Run("idle reads", func(t *testing.T) { checkMachine(t, DefaultReadPolicy()) })
	t.Run("reads in turn", func(t *testing.T) { checkMachine(t, storeReading()) })
	t.Run("checks in turn", func(t *testing.T) {
		reading := storeReading()
		reading.CheckChanges = true
		checkMachine(t, reading)
	})
}

func checkMachine(t *testing.T, reading ReadPolicy) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReadingModel(rapid.IntRange(2, 7).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), reading, t.Fatalf)
		m.put(true)
		one := func(t *rapid.T) (int, *process) {
			i := rapid.IntRange(0, len(m.processes)-1).Draw(t, "node")
			return i, m.processes[i]
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":  func(t *rapid.T) { m.run(rapid.IntRange(1, 40).Draw(t, "ticks")) },
			"put":  func(*rapid.T) { m.put(true) },
			"put2": func(t *rapid.T) { m.put(rapid.Bool().Draw(t, "valid")) },
			"partition": func(t *rapid.T) {
				_, p := one(t)
				p.group = rapid.IntRange(0, 2).Draw(t, "group")
			},
			"path": func(t *rapid.T) {
				_, p := one(t)
				p.path = path(rapid.IntRange(int(pathFresh), int(pathDown)).Draw(t, "path"))
				p.staleRevision = rapid.IntRange(0, len(m.history)-1).Draw(t, "stale")
			},
			"restart": func(t *rapid.T) {
				i, _ := one(t)
				m.restart(i, rapid.IntRange(0, len(m.history)-1).Draw(t, "known"))
			},
			"pause": func(t *rapid.T) {
				_, p := one(t)
				p.paused = true
			},
			"wake": func(t *rapid.T) {
				if _, p := one(t); p.paused {
					m.resume(p)
				}
			},
			"announce": func(t *rapid.T) {
				_, p := one(t)
				states := []schema.InstanceState{
					schema.InstanceState_INSTANCE_STATE_COLD, schema.InstanceState_INSTANCE_STATE_SERVING,
					schema.InstanceState_INSTANCE_STATE_LEAVING,
				}
				if !p.paused {
					p.Announce(m.now, rapid.SampledFrom(states).Draw(t, "state"))
					m.performEffects(p)
				}
			},
			"heal": func(t *rapid.T) {
				m.restorePaths(rapid.SampledFrom([]path{pathFresh, pathDown}).Draw(t, "path"))
				m.run(convergenceTicks)
				if names := m.diverged(); len(names) > 0 {
					t.Fatalf("not converged after %d ticks: %v", convergenceTicks, names)
				}
			},
		})
	})
}

// convergenceTicks is the time in which nodes converge once all paths are restored. 5 s covers the longest time for
// which a peer is not chosen after failures.
const convergenceTicks = 50

// TestStateCutGroups guards against a change that does not reach, within 3 s, every group of nodes with a path to the
// platform. Groups are cut off at any time before the change; most of their paths are stale or down, and one is not.
func TestStateCutGroups(t *testing.T) {
	t.Run("idle reads", func(t *testing.T) {
		checkCutGroups(t, DefaultReadPolicy(), []path{pathFresh, pathStale, pathDown})
	})
	// Staggered reads are for platforms whose answers are never stale.
	t.Run("reads in turn", func(t *testing.T) { checkCutGroups(t, storeReading(), []path{pathFresh, pathDown}) })
}

func checkCutGroups(t *testing.T, reading ReadPolicy, paths []path) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 16).Draw(t, "nodes")
		m := newReadingModel(n, rapid.Uint64().Draw(t, "seed"), reading, t.Fatalf)
		m.put(true)
		m.run(convergenceTicks + rapid.IntRange(0, 50).Draw(t, "before"))
		reached := make(map[int]bool)
		for _, p := range m.processes {
			p.group = rapid.IntRange(0, 2).Draw(t, "group")
			p.path = rapid.SampledFrom(paths).Draw(t, "path")
			p.staleRevision = 1
			reached[p.group] = reached[p.group] || p.path == pathFresh
		}
		m.run(rapid.IntRange(0, 60).Draw(t, "between"))
		m.put(true)
		m.run(30)
		for _, p := range m.processes {
			if reached[p.group] && p.Revision() != 2 {
				t.Fatalf("%s in group %d still has revision %d after 3 s", p.record.GetInstance(), p.group, p.Revision())
			}
		}
	})
}

// TestStatePause guards against a process that trusts its outdated state after a pause, or learns of changes late.
func TestStatePause(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(16) {
		m := newModel(6, seed, c.Fatalf)
		m.put(true)
		m.run(convergenceTicks)
		p := m.processes[3]
		c.Assert(p.Fresh(m.now), qt.IsTrue)
		p.paused = true
		// The answer to the pending watch is also held until the process resumes, and is older than the change.
		m.run(15)
		m.put(true)
		m.run(int(seed))
		c.Assert(p.Fresh(m.now), qt.IsFalse)
		m.resume(p)
		c.Assert(p.Fresh(m.now) && p.Revision() == 1, qt.IsFalse, qt.Commentf("seed %d", seed))
		m.run(1)
		c.Assert(p.Fresh(m.now) && p.Revision() == 1, qt.IsFalse, qt.Commentf("seed %d", seed))
		for ticks := 0; !p.Fresh(m.now); ticks++ {
			c.Assert(ticks < 5, qt.IsTrue, qt.Commentf("seed %d", seed))
			m.run(1)
		}
		c.Assert(p.Revision(), qt.Equals, uint64(2), qt.Commentf("seed %d", seed))
		c.Assert(p.counters.Pauses, qt.Equals, uint64(1))
	}
}

// TestStateCutFleet guards against a group without a platform reader that takes contact among its own nodes for contact
// with the rest of the fleet. The fleet is so large that most nodes rarely read the platform.
func TestStateCutFleet(t *testing.T) {
	c := qt.New(t)
	const nodes = 120
	for seed := range uint64(2) {
		m := newModel(nodes, seed, c.Fatalf)
		m.put(true)
		m.run(convergenceTicks)
		for cut := 0; cut < 3; {
			p := m.processes[m.random.IntN(nodes)]
			if !p.isReader(m.now) && p.group == 0 {
				p.group = 1
				cut++
			}
		}
		// With a late change, the nodes of the group have already contacted each other; with an early change, they have
		// not.
		m.run(int(seed)*60 + m.random.IntN(30))
		m.put(true)
		m.run(30)
		c.Assert(m.diverged(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestStateOutage guards against nodes that rarely read the platform after a long outage.
func TestStateOutage(t *testing.T) {
	c := qt.New(t)
	m := newModel(14, 1, c.Fatalf)
	m.put(true)
	m.run(convergenceTicks)
	m.restorePaths(pathDown)
	m.run(1200)
	calls := 0
	for _, p := range m.processes {
		calls += len(p.calls)
	}
	c.Assert(calls < 14*125, qt.IsTrue, qt.Commentf("%d calls", calls))
	m.put(true)
	m.restorePaths(pathFresh)
	m.run(30)
	c.Assert(m.diverged(), qt.HasLen, 0)
}

// TestStatePartition guards against two halves of a fleet that stay separate after a long partition while the platform
// is down.
func TestStatePartition(t *testing.T) {
	c := qt.New(t)
	m := newModel(14, 1, c.Fatalf)
	m.put(true)
	m.run(convergenceTicks)
	m.restorePaths(pathDown)
	for i, p := range m.processes {
		p.group = i % 2
	}
	m.put(true)
	m.processes[0].path = pathFresh
	m.run(600)
	c.Assert(m.diverged(), qt.HasLen, 7)
	m.restorePaths(pathDown)
	m.run(convergenceTicks)
	c.Assert(m.diverged(), qt.HasLen, 0)
}

// TestStateRejects guards against parsing an invalid document again with each read, and against an invalid document
// that hides an older valid one.
func TestStateRejects(t *testing.T) {
	c := qt.New(t)
	m := newModel(1, 1, c.Fatalf)
	p := m.processes[0]
	m.put(true)
	m.put(false)
	p.path, p.staleRevision = pathStale, 2
	m.run(100)
	c.Assert(p.Revision(), qt.Equals, uint64(0))
	c.Assert(p.counters.Rejected, qt.Equals, uint64(1))
	status := p.Status(m.now)
	c.Assert(status.Rejected, qt.Equals, uint64(2))
	c.Assert(status.RejectionErr, qt.ErrorMatches, "(?s).*\\[places\\] regions: is missing.*")
	m.put(false)
	p.applyDocument(m.now, 3, []byte("invalid"), time.Time{})
	p.applyDocument(m.now, 2, m.history[2].text, time.Time{})
	c.Assert(p.Status(m.now).Rejected, qt.Equals, uint64(3))
	p.applyDocument(m.now, 1, m.history[1].text, time.Time{})
	c.Assert(p.Revision(), qt.Equals, uint64(1))
}

// TestStateConflict guards against a different text under the accepted revision that replaces the first one or is not
// counted.
func TestStateConflict(t *testing.T) {
	c := qt.New(t)
	m := newModel(2, 1, c.Fatalf)
	a, b := m.processes[0], m.processes[1]
	m.put(true)
	a.applyDocument(m.now, 1, m.history[1].text, time.Time{})
	m.restorePaths(pathDown)
	m.run(20)
	c.Assert(b.Revision(), qt.Equals, uint64(1))
	kept := b.manifest()
	for range 3 {
		b.applyDocument(m.now, 1, testDocument(2, 1), time.Time{})
		b.handleRevision(m.now, a.record.GetAddress(), 1, kept+1, time.Time{})
	}
	c.Assert(b.manifest(), qt.Equals, kept)
	c.Assert(b.counters.Conflicts > 0, qt.IsTrue)
	c.Assert(b.counters.Accepted, qt.Equals, uint64(1))
}

// TestStatePullTurnsToNextPeer guards against a failed transfer that waits for the next sync although another peer
// announced the same revision.
func TestStatePullTurnsToNextPeer(t *testing.T) {
	c := qt.New(t)
	m := newModel(1, 1, c.Fatalf)
	p := m.processes[0]
	p.handleRevision(m.now, "10.0.0.8:1", 1, 5, time.Time{})
	p.handleRevision(m.now, "10.0.0.9:1", 1, 5, time.Time{})
	first, ok := p.TakeEffects()[0].(FetchManifest)
	c.Assert(ok, qt.IsTrue)
	p.ManifestDone(m.now, first, nil, errUnreachable)
	second, ok := p.TakeEffects()[0].(FetchManifest)
	c.Assert(ok, qt.IsTrue)
	c.Assert(first.To+" "+second.To, qt.Equals, "10.0.0.8:1 10.0.0.9:1")
	p.ManifestDone(m.now, second, &schema.ManifestReply{}, nil)
	c.Assert(p.pull, qt.IsNil)
}

// TestStateRemovesDead guards against records of dead instances that stay or return, and against the removal of an
// instance that is only cut off.
func TestStateRemovesDead(t *testing.T) {
	c := qt.New(t)
	m := newModel(5, 1, c.Fatalf)
	m.put(true)
	m.run(convergenceTicks)
	// This process runs its removal of expired records at other times than the rest.
	m.restart(1, 0)
	m.run(convergenceTicks)
	dead, cut := m.processes[3], m.processes[4]
	dead.group, dead.offList, cut.group = 1, true, 2
	perMinute := int(time.Minute / TickInterval)
	known := func(name string) int {
		n := 0
		for _, p := range m.processes[:3] {
			if q := p.table.byName[name]; q != nil && q.record != nil {
				n++
			}
		}
		return n
	}
	m.run(9 * perMinute)
	c.Assert(known("sheets-3"), qt.Equals, 3)
	m.run(2 * perMinute)
	c.Assert(known("sheets-3"), qt.Equals, 0)
	m.run(2 * perMinute)
	c.Assert(known("sheets-3"), qt.Equals, 0)
	c.Assert(known("sheets-4"), qt.Equals, 3)
	dead.group, cut.group = 0, 0
	m.run(convergenceTicks)
	c.Assert(m.diverged(), qt.HasLen, 0)
}

// TestStateRestartsBehindPartition guards against a node that comes back from a partition too late: the others have restarted
// meanwhile and do not know it, and the platform is down, so it has to try them again by itself. The length of the partition
// decides how long it waits.
func TestStateRestartsBehindPartition(t *testing.T) {
	c := qt.New(t)
	for ticks := range 60 {
		m := newModel(3, uint64(ticks), c.Fatalf)
		m.put(true)
		m.run(7)
		m.processes[2].group = 1
		m.run(ticks)
		m.restart(0, 0)
		m.restart(1, 0)
		m.restorePaths(pathDown)
		m.run(convergenceTicks)
		c.Check(m.diverged(), qt.HasLen, 0, qt.Commentf("partition of %d ticks", ticks))
	}
}
