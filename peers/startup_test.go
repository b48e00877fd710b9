package peers

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
)

// putKeys publishes a document with a customer that has the keys.
func (m *model) putKeys(keys ...string) {
	text := testDocument(len(m.history), 3)
	text = append(text, "[customers.acme]\nkey_hashes = ["...)
	for _, key := range keys {
		text = fmt.Appendf(text, "%q, ", core.HashKey(key))
	}
	text = append(text, "]\n"...)
	m.history = append(m.history, publishedDocument{text: text, manifest: newDocumentVersion(0, text).manifest, valid: true})
}

// TestRevokedKeyAtStart guards against a new process that accepts a revoked key, because the first copy of the document that it
// gets is an old one.
func TestRevokedKeyAtStart(t *testing.T) {
	for name, oldCopy := range map[string]func(m *model, p *process){
		"platform serves stale data": func(_ *model, p *process) { p.path, p.staleRevision = pathStale, 1 },
		"node that was cut off": func(m *model, p *process) {
			p.path = pathDown
			m.processes[0].group = 0
		},
	} {
		for _, reading := range []ReadPolicy{DefaultReadPolicy(), storeReading()} {
			t.Run(fmt.Sprint(name, ", own entry ", reading.ReadOwnEntry), func(t *testing.T) {
				for seed := range uint64(20) {
					checkRevokedAtStart(t, seed, reading, oldCopy)
				}
			})
		}
	}
}

// TestOldDocumentAtStart guards against a new process that refuses requests for good by its first document, while other nodes have a
// later one but are slow to answer.
func TestOldDocumentAtStart(t *testing.T) {
	const (
		restarted = 4
		// resumeTick is when the other nodes answer again.
		resumeTick = int(400 * time.Millisecond / TickInterval)
	)
	for seed := range uint64(20) {
		m := newModel(5, seed, t.Fatalf)
		m.put(true)
		m.run(int(2 * time.Second / TickInterval))
		m.put(true)
		m.run(int(4 * time.Second / TickInterval))
		p := m.processes[restarted]
		p.path, p.staleRevision = pathStale, 1
		m.restart(restarted, 0)
		p = m.processes[restarted]
		for _, q := range m.processes[:restarted] {
			q.paused = true
		}
		for tick := range int(2 * startHold / TickInterval) {
			m.run(1)
			if tick == resumeTick {
				for _, q := range m.processes[:restarted] {
					m.resume(q)
				}
			}
			if !p.currentAt(m.now).IsZero() {
				qt.Assert(t, p.Revision(), qt.Equals, uint64(2), qt.Commentf("seed %d, %v after the start", seed, m.now.Sub(p.startedAt)))
			}
		}
		qt.Assert(t, p.currentAt(m.now).IsZero(), qt.IsFalse)
	}
}

func checkRevokedAtStart(t *testing.T, seed uint64, reading ReadPolicy, oldCopy func(*model, *process)) {
	const (
		restarted = 4
		// resumeTick is when the nodes that have the latest document answer again.
		resumeTick = int(300 * time.Millisecond / TickInterval)
	)
	m := newReadingModel(5, seed, reading, t.Fatalf)
	m.putKeys("revoked", "valid")
	m.run(int(2 * time.Second / TickInterval))
	m.processes[0].group, m.processes[0].path = 1, pathDown
	m.putKeys("valid")
	m.run(int(4 * time.Second / TickInterval))
	qt.Assert(t, m.processes[0].Revision(), qt.Equals, uint64(1))
	qt.Assert(t, m.processes[1].Revision(), qt.Equals, uint64(2))
	oldCopy(m, m.processes[restarted])
	m.restart(restarted, 0)
	p := m.processes[restarted]
	upToDate := m.processes[1:restarted]
	for _, q := range upToDate {
		q.paused = true
	}
	for tick := range int(startHold / TickInterval) {
		m.run(1)
		if tick == resumeTick {
			for _, q := range upToDate {
				m.resume(q)
			}
		}
		if s := p.Snapshot(); s != nil && !p.heldBack(m.now) {
			qt.Assert(t, s.CustomerByKey(core.HashKey("revoked")), qt.Equals, "", qt.Commentf("seed %d", seed))
		}
	}
	qt.Assert(t, p.heldBack(m.now), qt.IsFalse)
	qt.Assert(t, p.Snapshot().CustomerByKey(core.HashKey("valid")), qt.Equals, "acme")
}

// TestStartHold guards against a new process that holds a document back although nobody can have a later one, or for longer than
// startHold.
func TestStartHold(t *testing.T) {
	reading := storeReading()
	reading.Burst = 3
	m := newReadingModel(1, 1, reading, t.Fatalf)
	m.processes[0].seeds, m.processes[0].tokens = nil, reading.Burst
	m.putKeys("valid")
	m.run(int(500 * time.Millisecond / TickInterval))
	qt.Check(t, m.processes[0].Revision(), qt.Equals, uint64(1))
	qt.Check(t, m.processes[0].heldBack(m.now), qt.IsFalse)
	other := newModel(1, 1, t.Fatalf)
	other.putKeys("valid")
	for other.processes[0].Revision() == 0 {
		other.run(1)
	}
	qt.Check(t, other.processes[0].heldBack(other.now), qt.IsTrue)
	qt.Check(t, other.processes[0].heldBack(other.processes[0].startedAt.Add(startHold)), qt.IsFalse)
}
