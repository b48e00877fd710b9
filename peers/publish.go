package peers

import "time"

const (
	// memberPublishDelay is the time, for each known member, for which a change in the records of other members may wait for
	// further ones, up to maxPublishDelay. A snapshot costs time in proportion to the members, and while a fleet starts their
	// records change hundreds of times a second.
	memberPublishDelay = 500 * time.Microsecond
	maxPublishDelay    = 100 * time.Millisecond
)

// publishedVersion identifies the state that a snapshot was built from.
type publishedVersion struct {
	revision, manifest, changes uint64
	listedAt                    time.Time
	// own is the hash of the node's own record in force.
	own uint64
}

// mayWait reports whether a change need not be published yet: only records of other members changed, and the last snapshot
// is recent. A later event publishes it; ticks come every TickInterval.
func (e *Exchange) mayWait(now time.Time, seen publishedVersion) bool {
	delay := min(time.Duration(len(e.state.table.sorted))*memberPublishDelay, maxPublishDelay)
	if now.Sub(e.publishedAt) >= delay || e.snapshot.Load() == nil {
		return false
	}
	return seen.revision == e.published.revision && seen.manifest == e.published.manifest && seen.listedAt.Equal(e.published.listedAt) && seen.own == e.published.own
}

// publish stores a new snapshot if the document or a member record changed.
func (e *Exchange) publish() {
	e.logRejection()
	e.logPlatform()
	e.logFailedPulls()
	e.logExpired()
	first := ""
	if e.state.FirstProcess() {
		first = e.state.self.GetInstance()
	}
	e.firstProcess.Store(&first)
	seen := publishedVersion{
		revision: e.state.Revision(),
		manifest: e.state.manifest(),
		changes:  e.state.table.changes,
		listedAt: e.state.listedAt,
		own:      hashRecord(e.state.table.byName[e.state.self.GetInstance()].effective()),
	}
	now := e.clock.Now()
	if seen == e.published || e.mayWait(now, seen) || e.state.heldBack(now) {
		return
	}
	e.published, e.publishedAt = seen, now
	snapshot := e.state.Snapshot()
	if snapshot == nil {
		return
	}
	e.state.published = true
	e.state.counters.Published++
	before := e.snapshot.Swap(snapshot)
	e.logChanges(before, snapshot)
}
