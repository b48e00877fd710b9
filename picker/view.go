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
	// minBackoff and maxBackoff bound the exponential backoff after connection failures. The minimum is a few round
	// trips, so that a restarted process is found quickly; the maximum limits the connection attempts to dead
	// addresses.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// stateMaxAge is how long the state in a load report overrides a better state in the snapshot. It covers the time
	// until the instance lists converge.
	stateMaxAge = time.Second
	// failureHalfLife is the half-life of the failure rate observed by this router.
	failureHalfLife = time.Second
	// failureWeight is the weight of the newest call in the moving average of the failure rate.
	failureWeight = 1.0 / 8
)

// View is what a router knows about the load of one instance. It is safe for concurrent use. Reads take no lock.
type View struct {
	created         time.Time
	instance        atomic.Pointer[core.Instance]
	delay           atomic.Int64
	report          atomic.Pointer[report]
	baseline        atomic.Pointer[Baseline]
	inFlight        atomic.Int64
	oldest          atomic.Int64
	failures        atomic.Pointer[failureAverage]
	connectFailures atomic.Int64
	backoffUntil    atomic.Int64

	mu                 sync.Mutex
	head               *PendingCall
	tail               *PendingCall
	lastConnectFailure time.Duration
}

// report is a load report with its time of arrival and the number of this router's calls in flight at that time.
type report struct {
	load        core.LoadReport
	received    time.Time
	ownInFlight int
}

// failureAverage is the moving average of this router's failure rate at a point in time.
type failureAverage struct {
	rate float64
	at   time.Time
}

// PendingCall is an unanswered call to an instance.
type PendingCall struct {
	start    time.Time
	previous *PendingCall
	next     *PendingCall
}

// Start returns the time at which the call was sent.
func (p *PendingCall) Start() time.Time { return p.start }

// NewView returns the view of an instance for which no report has arrived.
func NewView(now time.Time, instance *core.Instance, delay time.Duration) *View {
	v := &View{created: now}
	v.instance.Store(instance)
	v.delay.Store(int64(delay))
	v.baseline.Store(&Baseline{})
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

// FailureRate returns the moving average of the share of this router's calls that failed, decayed to now.
func (v *View) FailureRate(now time.Time) float64 {
	f := v.failures.Load()
	if f == nil {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

// Oldest returns how long the oldest unanswered call has been waiting, or 0 if there is none.
func (v *View) Oldest(now time.Time) time.Duration {
	oldest := v.oldest.Load()
	if oldest == 0 {
		return 0
	}
	return now.Sub(v.created) - time.Duration(oldest-1)
}

// Update replaces the instance record. It resets the view if another process replaced the instance, or if the instance
// returns to service, since it then starts cold.
func (v *View) Update(instance *core.Instance, delay time.Duration) {
	old := v.instance.Swap(instance)
	v.delay.Store(int64(delay))
	replaced := old.Incarnation() != instance.Incarnation() && old.Incarnation() != 0
	returned := !old.Eligible() && instance.Eligible()
	if replaced || returned {
		v.Reset()
		v.ResetBackoff()
	}
}

// SetBaseline sets the load that is assumed without a recent report.
func (v *View) SetBaseline(baseline *Baseline) { v.baseline.Store(baseline) }

// Reset discards the load report and the failure rate. Unanswered calls are kept.
func (v *View) Reset() {
	v.report.Store(nil)
	v.failures.Store(nil)
}

// SetReport records a load report that has just arrived.
func (v *View) SetReport(now time.Time, load core.LoadReport) {
	v.report.Store(&report{load: load, received: now, ownInFlight: v.InFlight()})
}

// Begin records that a call was sent.
func (v *View) Begin(now time.Time) *PendingCall {
	p := &PendingCall{start: now}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight.Add(1)
	p.previous = v.tail
	if v.tail == nil {
		v.head = p
		v.publishOldest()
	} else {
		v.tail.next = p
	}
	v.tail = p
	return p
}

// End records that the call was answered or abandoned. It must be called once for each PendingCall.
func (v *View) End(now time.Time, p *PendingCall, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight.Add(-1)
	v.unlink(p)
	v.recordOutcome(now, failed)
}

// RecordFailure records a failure without ending a call, for example when a hedge succeeded before the first attempt.
func (v *View) RecordFailure(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordOutcome(now, true)
}

func (v *View) recordOutcome(now time.Time, failed bool) {
	share := v.FailureRate(now)
	if failed {
		v.failures.Store(&failureAverage{rate: share + failureWeight*(1-share), at: now})
	} else if share > 0 {
		v.failures.Store(&failureAverage{rate: share * (1 - failureWeight), at: now})
	}
}

func (v *View) unlink(p *PendingCall) {
	if p.next != nil {
		p.next.previous = p.previous
	} else {
		v.tail = p.previous
	}
	if p.previous != nil {
		p.previous.next = p.next
		return
	}
	v.head = p.next
	v.publishOldest()
}

// publishOldest makes the start time of the oldest call readable without the lock; 0 means that there is none.
func (v *View) publishOldest() {
	if v.head == nil {
		v.oldest.Store(0)
		return
	}
	v.oldest.Store(int64(v.head.start.Sub(v.created)) + 1)
}

// RecordConnectFailure records that the node was unreachable and starts a backoff, which doubles with each failure.
// Failures during the backoff are not counted, since all calls in flight fail with their connection.
func (v *View) RecordConnectFailure(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	since := now.Sub(v.created)
	if count := v.connectFailures.Load(); count > 0 && since-v.lastConnectFailure < backoff(count) {
		return
	}
	v.lastConnectFailure = since
	v.backoffUntil.Store(int64(since + backoff(v.connectFailures.Add(1))))
}

func backoff(count int64) time.Duration {
	return min(minBackoff<<min(count-1, 10), maxBackoff)
}

// ResetBackoff records that the node was reachable.
func (v *View) ResetBackoff() {
	if v.connectFailures.Load() != 0 {
		v.connectFailures.Store(0)
	}
}

// InBackoff reports whether the instance is to be avoided because its node was unreachable. After the backoff, it is
// tried with one call at a time.
func (v *View) InBackoff(now time.Time) bool {
	if v.connectFailures.Load() == 0 {
		return false
	}
	return v.InFlight() > 0 || int64(now.Sub(v.created)) < v.backoffUntil.Load()
}

// Claim reports whether a call may be sent to the instance. After a backoff only the first caller of Claim may send
// one; the next may do so after that call has ended.
func (v *View) Claim(now time.Time) bool {
	count := v.connectFailures.Load()
	if count == 0 {
		return true
	}
	until := v.backoffUntil.Load()
	since := int64(now.Sub(v.created))
	if v.InFlight() > 0 || since < until {
		return false
	}
	return v.backoffUntil.CompareAndSwap(until, since+int64(backoff(count)))
}

// SentSinceReport returns by how many this router's unanswered calls have grown since the last report arrived.
func (v *View) SentSinceReport() int {
	r := v.report.Load()
	if r == nil {
		return v.InFlight()
	}
	return max(0, v.InFlight()-r.ownInFlight)
}

// Ready reports whether a call sent now would probably start at once: the last report is recent, the instance is not in
// a slow phase, and it has free slots beyond this router's calls.
func (v *View) Ready(now time.Time) bool {
	r := v.report.Load()
	if r == nil || now.Sub(r.received) > maxReportAge || v.InBackoff(now) {
		return false
	}
	sent := v.SentSinceReport()
	if r.load.StartRate > 0 && r.load.StartsLeft <= sent {
		return false
	}
	return !r.load.Slow() && r.load.InFlight+r.load.Queued+sent < r.load.Limit
}

// Eligible reports whether the instance may receive new calls, according to the snapshot of the given revision and to
// the state in its last load report if it is at most stateMaxAge old. A report of an older revision does not override
// what a newer revision says about out of service.
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
	return now.Sub(r.received) > stateMaxAge
}
