package picker

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// firstBackoff and lastBackoff bound how long an instance is avoided after a failed connection. The first is a few
	// round trips, so that a restarted process is found quickly; the last bounds connection attempts to dead addresses.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
	// stateLife is how long the state in a load report overrides a better state in the snapshot. It covers the time
	// that the lists need to agree.
	stateLife = time.Second
	// failureLife is the age at which failures seen by this router count half.
	failureLife = time.Second
	// failureWeight is the weight of the newest call in the moving average of failures seen by this router.
	failureWeight = 1.0 / 8
)

// View is what a router knows of the load of one instance. It is safe for concurrent use; reading it takes no lock.
type View struct {
	base      time.Time
	instance  atomic.Pointer[core.Instance]
	delay     atomic.Int64
	report    atomic.Pointer[report]
	neutral   atomic.Pointer[Neutral]
	inFlight  atomic.Int64
	oldest    atomic.Int64
	failures  atomic.Pointer[failures]
	lostCount atomic.Int64
	avoid     atomic.Int64

	mu     sync.Mutex
	head   *Flight
	tail   *Flight
	lostAt time.Duration
}

// report is one load report with the circumstances of its arrival.
type report struct {
	load     core.LoadReport
	received time.Time
	own      int
}

// failures is a moving average of the failed calls of this router, as of a time.
type failures struct {
	share float64
	at    time.Time
}

// Flight is one unanswered call to an instance.
type Flight struct {
	start    time.Time
	previous *Flight
	next     *Flight
}

// Start returns when the call was sent.
func (f *Flight) Start() time.Time { return f.start }

// NewView returns the view of an instance without a report.
func NewView(now time.Time, instance *core.Instance, delay time.Duration) *View {
	v := &View{base: now}
	v.instance.Store(instance)
	v.delay.Store(int64(delay))
	v.neutral.Store(&Neutral{})
	return v
}

// Instance implements core.Candidate.
func (v *View) Instance() *core.Instance { return v.instance.Load() }

// Load implements core.Candidate.
func (v *View) Load() (core.LoadReport, time.Time) {
	r := v.report.Load()
	if r == nil {
		return core.LoadReport{}, time.Time{}
	}
	return r.load, r.received
}

// InFlight implements core.Candidate.
func (v *View) InFlight() int { return int(v.inFlight.Load()) }

// Delay implements core.Candidate.
func (v *View) Delay() time.Duration { return time.Duration(v.delay.Load()) }

// Failures returns the share of failed calls among the last calls of this router; it decays with time.
func (v *View) Failures(now time.Time) float64 {
	f := v.failures.Load()
	if f == nil {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(failureLife))
}

// Oldest returns how long the oldest unanswered call has waited, or 0.
func (v *View) Oldest(now time.Time) time.Duration {
	oldest := v.oldest.Load()
	if oldest == 0 {
		return 0
	}
	return now.Sub(v.base) - time.Duration(oldest-1)
}

// Update replaces the instance record. What was known is dropped if another process took the instance's place, or if
// the instance returns to service: it returns cold.
func (v *View) Update(instance *core.Instance, delay time.Duration) {
	old := v.instance.Swap(instance)
	v.delay.Store(int64(delay))
	replaced := old.Incarnation() != instance.Incarnation() && old.Incarnation() != 0
	returned := !old.Eligible() && instance.Eligible()
	if replaced || returned {
		v.Drop()
		v.Reached()
	}
}

// SetNeutral replaces what is assumed without a recent report.
func (v *View) SetNeutral(neutral *Neutral) { v.neutral.Store(neutral) }

// Drop discards the report and the failures seen. Unanswered calls stay.
func (v *View) Drop() {
	v.report.Store(nil)
	v.failures.Store(nil)
}

// Receive records a load report that arrived with a reply.
func (v *View) Receive(now time.Time, load core.LoadReport) {
	v.report.Store(&report{load: load, received: now, own: v.InFlight()})
}

// Begin records that a call is sent.
func (v *View) Begin(now time.Time) *Flight {
	f := &Flight{start: now}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight.Add(1)
	f.previous = v.tail
	if v.tail == nil {
		v.head = f
		v.publish()
	} else {
		v.tail.next = f
	}
	v.tail = f
	return f
}

// End records that the call was answered or given up. It is called once for each Flight.
func (v *View) End(now time.Time, f *Flight, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight.Add(-1)
	v.unlink(f)
	v.record(now, failed)
}

// Fail records a failure without an unanswered call, such as a call that a hedge overtook.
func (v *View) Fail(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.record(now, true)
}

func (v *View) record(now time.Time, failed bool) {
	share := v.Failures(now)
	if failed {
		v.failures.Store(&failures{share: share + failureWeight*(1-share), at: now})
	} else if share > 0 {
		v.failures.Store(&failures{share: share * (1 - failureWeight), at: now})
	}
}

func (v *View) unlink(f *Flight) {
	if f.next != nil {
		f.next.previous = f.previous
	} else {
		v.tail = f.previous
	}
	if f.previous != nil {
		f.previous.next = f.next
		return
	}
	v.head = f.next
	v.publish()
}

// publish makes the start of the oldest call readable without the lock. 0 stands for none.
func (v *View) publish() {
	if v.head == nil {
		v.oldest.Store(0)
		return
	}
	v.oldest.Store(int64(v.head.start.Sub(v.base)) + 1)
}

// Lost records that the node could not be reached; it is avoided for a time that doubles with each failure. Failures
// within the backoff count once: all calls in flight end with their connection.
func (v *View) Lost(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	since := now.Sub(v.base)
	if count := v.lostCount.Load(); count > 0 && since-v.lostAt < backoff(count) {
		return
	}
	v.lostAt = since
	v.avoid.Store(int64(since + backoff(v.lostCount.Add(1))))
}

func backoff(count int64) time.Duration {
	return min(firstBackoff<<min(count-1, 10), lastBackoff)
}

// Reached records that the node answered.
func (v *View) Reached() {
	if v.lostCount.Load() != 0 {
		v.lostCount.Store(0)
	}
}

// Avoided reports whether the node was unreachable recently. After the backoff it may be tried with one call at a
// time.
func (v *View) Avoided(now time.Time) bool {
	if v.lostCount.Load() == 0 {
		return false
	}
	return v.InFlight() > 0 || int64(now.Sub(v.base)) < v.avoid.Load()
}

// Claim reports whether the instance may be sent a call. After a backoff only the first that claims the instance gets
// it; the next one waits for the end of that call.
func (v *View) Claim(now time.Time) bool {
	count := v.lostCount.Load()
	if count == 0 {
		return true
	}
	until := v.avoid.Load()
	since := int64(now.Sub(v.base))
	if v.InFlight() > 0 || since < until {
		return false
	}
	return v.avoid.CompareAndSwap(until, since+int64(backoff(count)))
}

// SentSince returns how many more calls of this router are unanswered than when the last report arrived.
func (v *View) SentSince() int {
	r := v.report.Load()
	if r == nil {
		return v.InFlight()
	}
	return max(0, v.InFlight()-r.own)
}

// Ready reports whether a call sent now would probably start at once: the last report is recent, the instance works at the
// usual pace and has room beyond the calls of this router.
func (v *View) Ready(now time.Time) bool {
	r := v.report.Load()
	if r == nil || now.Sub(r.received) > silentAfter || v.Avoided(now) {
		return false
	}
	sent := v.SentSince()
	if r.load.StartRate > 0 && r.load.StartsLeft <= sent {
		return false
	}
	return !r.load.Slow() && r.load.InFlight+r.load.Queued+sent < r.load.Limit
}

// Eligible reports whether the instance may receive new work: by the snapshot of the revision, and by its own last
// report of the last second. A report of an older revision does not tell what is out of service by the newer one.
func (v *View) Eligible(now time.Time, revision uint64) bool {
	if !v.Instance().Eligible() {
		return false
	}
	r := v.report.Load()
	if r == nil || r.load.State < schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE {
		return true
	}
	if r.load.State == schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE && r.load.Revision < revision {
		return true
	}
	return now.Sub(r.received) > stateLife
}
