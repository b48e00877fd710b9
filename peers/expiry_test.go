package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenareel/schema"
)

// entryTTL is how long a platform entry outlives its last renewal. maxRenewalDelay is the longest time after an outage
// until every live instance has renewed its entry.
const (
	entryTTL        = 3 * time.Second
	maxRenewalDelay = 2 * time.Second
	// recoveryTime is the longest time until a node notices that the platform is reachable again. detectionTime is the
	// longest time until a node learns that an instance is gone, once the platform can tell.
	recoveryTime  = maxBackoff + maxBackoff/4
	detectionTime = time.Second
)

// lapseModel simulates one node and a platform whose entry for an instance expires unless the instance renews it.
type lapseModel struct {
	*rapid.T
	*State
	now  time.Time
	down bool
	// changed is when the platform last went down or came back. outageSeen is set once a read of the node failed during
	// the last outage.
	changed    time.Time
	outageSeen bool
	// onlyNode is set if the outage affects only this node: instances keep renewing their entries, and other nodes
	// confirm the document.
	onlyNode      bool
	instances     []*instanceEntry
	instanceCount int
}

// instanceEntry is an instance and its entry in the platform.
type instanceEntry struct {
	name, address string
	dead          bool
	// renewedAt is the time of the last renewal. After an outage the instance renews its entry from renewsFrom on.
	renewedAt, renewsFrom time.Time
	// wasListed is set once the node read a list that names the instance. missingSince is when the entry of a dead
	// instance expired.
	wasListed    bool
	missingSince time.Time
	// readDueSince is when the node first had reason to read the list after that.
	readDueSince time.Time
}

func (m *lapseModel) list() []*schema.Member {
	var members []*schema.Member
	for _, e := range m.instances {
		if m.now.Sub(e.renewedAt) < entryTTL {
			members = append(members, listed(e.name, e.address, serving))
			e.wasListed = true
		}
	}
	return members
}

// add starts an instance at the address.
func (m *lapseModel) add(address string) {
	m.instanceCount++
	name := fmt.Sprintf("sheets-%d", m.instanceCount+100)
	m.instances = append(m.instances, &instanceEntry{name: name, address: address, renewedAt: m.now.Add(-entryTTL)})
}

// step advances the time by one tick: instances renew their entries and the node's reads are answered.
func (m *lapseModel) step() {
	m.now = m.now.Add(TickInterval)
	for _, e := range m.instances {
		if !e.dead && (!m.down || m.onlyNode) && !m.now.Before(e.renewsFrom) {
			e.renewedAt = m.now
		}
		switch {
		case m.now.Sub(e.renewedAt) < entryTTL || !e.dead:
			e.missingSince = time.Time{}
		case e.missingSince.IsZero():
			e.missingSince = m.now
		}
	}
	if m.onlyNode {
		m.HandleDigest(m.now, "127.0.0.1:2", 1, m.manifest(), 1)
	}
	m.Tick(m.now)
	for _, effect := range m.TakeEffects() {
		switch effect := effect.(type) {
		case ReadMembers:
			m.outageSeen = m.outageSeen || m.down
			if m.down {
				m.MembersDone(m.now, effect, nil, errDown)
				continue
			}
			m.MembersDone(m.now, effect, m.list(), nil)
		case ReadDocument:
			m.outageSeen = m.outageSeen || m.down
			if m.down {
				m.DocumentDone(m.now, effect, 0, nil, errDown)
			} else if effect.Wait == 0 {
				m.DocumentDone(m.now, effect, 1, nil, nil)
			}
		}
	}
	m.check()
}

// check compares the node's snapshot with the actual state of the instances.
func (m *lapseModel) check() {
	snapshot := m.Snapshot()
	for _, e := range m.instances {
		known := snapshot.Instance(e.name) != nil
		if e.wasListed && !e.dead && !known {
			m.Fatalf("%s is alive but missing from the snapshot %v after the platform went down or came back", e.name, m.now.Sub(m.changed))
		}
		if m.down || e.missingSince.IsZero() || !known {
			continue
		}
		if since := latest(e.missingSince, m.changed); e.readDueSince.Before(since) {
			if !m.listRequestedAt.After(since) && (!m.outageSeen || !m.changed.Equal(since)) {
				continue
			}
			e.readDueSince = m.now
		}
		if late := m.now.Sub(e.readDueSince); late > m.reading.OutageGrace+recoveryTime+detectionTime {
			m.Fatalf("%s is gone but still in the snapshot %v after a read of the list was due", e.name, late)
		}
	}
}

// TestLapse guards against live instances that are taken as gone because their entries expired during an outage of the
// platform, and against instances that died during the outage and stay in the snapshot long after it, also if their
// addresses were reused.
func TestLapse(t *testing.T) {
	// The relevant outages take several steps, which the default number of checks of this package rarely generates.
	for range 20 {
		rapid.Check(t, checkLapse)
	}
}

func checkLapse(t *rapid.T) {
	now := time.Unix(1_700_000_000, 0)
	m := &lapseModel{T: t, State: readingState(now), now: now, changed: now}
	for i := range 4 {
		m.add(fmt.Sprintf("127.0.0.1:%d", 100+i))
	}
	t.Repeat(map[string]func(*rapid.T){
		"run":  func(t *rapid.T) { m.run(rapid.IntRange(1, 80).Draw(t, "ticks")) },
		"want": func(*rapid.T) { m.RequestListRead(m.now) },
		"down": func(t *rapid.T) {
			m.onlyNode = m.onlyNode && m.down || !m.down && rapid.Bool().Draw(t, "alone")
			m.setDown(true)
		},
		"up": func(*rapid.T) { m.setDown(false) },
		"die": func(t *rapid.T) {
			rapid.SampledFrom(m.instances).Draw(t, "instance").dead = true
		},
		"replace": func(t *rapid.T) {
			e := rapid.SampledFrom(m.instances).Draw(t, "instance")
			if e.dead && !slices.ContainsFunc(m.instances, func(o *instanceEntry) bool { return !o.dead && o.address == e.address }) {
				m.add(e.address)
			}
		},
	})
}

func (m *lapseModel) run(ticks int) {
	for range ticks {
		m.step()
	}
}

func (m *lapseModel) setDown(down bool) {
	if m.down == down {
		return
	}
	// An outage without duration affects nobody, so no instance renews its entry later because of it.
	short := !down && m.changed.Equal(m.now)
	m.down, m.changed = down, m.now
	if down {
		m.outageSeen = false
		return
	}
	if short {
		return
	}
	for _, e := range m.instances {
		e.renewsFrom = m.now.Add(time.Duration(rapid.IntRange(0, int(maxRenewalDelay/time.Millisecond)).Draw(m.T, "renewed after")) * time.Millisecond)
	}
}
