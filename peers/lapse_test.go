package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenareel/schema"
)

// Times of the platform of lapseModel: how long an entry outlives the last renewal, and how long after the platform's
// return each instance that lives has renewed its entry.
const (
	entryLife   = 3 * time.Second
	entryReturn = 2 * time.Second
	// returnTime is the time in which a node notices that the platform is back, noticeTime that in which it learns that an
	// instance is gone once it can be known.
	returnTime = maxBackoff + maxBackoff/4
	noticeTime = time.Second
)

// lapseModel is one node beside a platform that holds an entry for each instance as long as the instance renews it.
type lapseModel struct {
	*rapid.T
	*State
	now  time.Time
	down bool
	// changed is when the platform went away or came back, noticed whether the node met the last outage.
	changed time.Time
	noticed bool
	// alone tells that only this node cannot read the platform: instances renew their entries, and other nodes confirm the
	// document.
	alone   bool
	servers []*entry
	serial  int
}

// entry is an instance with its entry in the platform.
type entry struct {
	name, address string
	dead          bool
	// renewed is the last renewal; back is the time after an outage at which the instance renews again.
	renewed, back time.Time
	// seen tells that a list that the node read named the instance, missing since when none can name it.
	seen    bool
	missing time.Time
	// asked is when the node first had cause to read the list since then.
	asked time.Time
}

func (m *lapseModel) list() []*schema.Member {
	var members []*schema.Member
	for _, e := range m.servers {
		if m.now.Sub(e.renewed) < entryLife {
			members = append(members, listed(e.name, e.address, serving))
			e.seen = true
		}
	}
	return members
}

// add starts an instance, at the address of one that is gone if there is one.
func (m *lapseModel) add(address string) {
	m.serial++
	name := fmt.Sprintf("sheets-%d", m.serial+100)
	m.servers = append(m.servers, &entry{name: name, address: address, renewed: m.now.Add(-entryLife)})
}

// step lets the time pass by a tick: instances renew, the node reads.
func (m *lapseModel) step() {
	m.now = m.now.Add(TickInterval)
	for _, e := range m.servers {
		if !e.dead && (!m.down || m.alone) && !m.now.Before(e.back) {
			e.renewed = m.now
		}
		switch {
		case m.now.Sub(e.renewed) < entryLife || !e.dead:
			e.missing = time.Time{}
		case e.missing.IsZero():
			e.missing = m.now
		}
	}
	if m.alone {
		m.Heard(m.now, "127.0.0.1:2", 1, m.manifest(), 1)
	}
	m.Tick(m.now)
	for _, effect := range m.Take() {
		switch effect := effect.(type) {
		case ReadMembers:
			m.noticed = m.noticed || m.down
			if m.down {
				m.MembersDone(m.now, effect, nil, errDown)
				continue
			}
			m.MembersDone(m.now, effect, m.list(), nil)
		case ReadDocument:
			m.noticed = m.noticed || m.down
			if m.down {
				m.DocumentDone(m.now, effect, 0, nil, errDown)
			} else if effect.Wait == 0 {
				m.DocumentDone(m.now, effect, 1, nil, nil)
			}
		}
	}
	m.check()
}

// check compares the node's picture with the truth.
func (m *lapseModel) check() {
	snapshot := m.Snapshot()
	for _, e := range m.servers {
		known := snapshot.Instance(e.name) != nil
		if e.seen && !e.dead && !known {
			m.Fatalf("%s lives and is taken as gone %v after the platform changed", e.name, m.now.Sub(m.changed))
		}
		if m.down || e.missing.IsZero() || !known {
			continue
		}
		if since := latest(e.missing, m.changed); e.asked.Before(since) {
			if !m.listDemand.After(since) && (!m.noticed || !m.changed.Equal(since)) {
				continue
			}
			e.asked = m.now
		}
		if late := m.now.Sub(e.asked); late > m.reading.Grace+returnTime+noticeTime {
			m.Fatalf("%s is gone and still counts after %v", e.name, late)
		}
	}
}

// TestLapse guards against instances that are taken as gone since their entries lapsed while the platform was away, and
// against those that died meanwhile and still count long after it came back, also where their addresses have new owners.
func TestLapse(t *testing.T) {
	// The outages that matter take several steps, which a run of the checks of this package rarely draws.
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
		"want": func(*rapid.T) { m.WantList(m.now) },
		"down": func(t *rapid.T) {
			m.alone = m.alone && m.down || !m.down && rapid.Bool().Draw(t, "alone")
			m.setDown(true)
		},
		"up": func(*rapid.T) { m.setDown(false) },
		"die": func(t *rapid.T) {
			rapid.SampledFrom(m.servers).Draw(t, "instance").dead = true
		},
		"replace": func(t *rapid.T) {
			e := rapid.SampledFrom(m.servers).Draw(t, "instance")
			if e.dead && !slices.ContainsFunc(m.servers, func(o *entry) bool { return !o.dead && o.address == e.address }) {
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
	m.down, m.changed = down, m.now
	if down {
		m.noticed = false
		return
	}
	for _, e := range m.servers {
		e.back = m.now.Add(time.Duration(rapid.IntRange(0, int(entryReturn/time.Millisecond)).Draw(m.T, "renewed after")) * time.Millisecond)
	}
}
