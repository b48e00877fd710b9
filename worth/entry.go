package worth

import (
	"math"
	"time"
)

const (
	// entryDecayTime is the time constant of the recent shares of attempts by outcome. It is about the time that reports
	// and the callers that return need to show a change.
	entryDecayTime = time.Second
	// minAttempts is the decayed number of attempts below which the shares say nothing.
	minAttempts = 5
	// fullShare is the share of attempts that found servers full from which on new calls are checked at all.
	fullShare = 0.1
	// hopelessShare is the share of attempts that servers shed from which on a first attempt of low worth is not worth
	// sending. Below it, servers that shed at random still serve a part of the first attempts.
	hopelessShare = 0.9
	// lowShare is the share of the recent calls of higher worth from which on a call counts as one of low worth.
	lowShare = 0.2
	// admittedShare is the share of the calls of low worth that are sent anyway, to notice that capacity is back.
	admittedShare = 0.05
	// minReturn and minSpread bound how soon, and how far apart, refused callers return to full servers.
	minReturn = 20 * time.Millisecond
	minSpread = 100 * time.Millisecond
	// soonReturn is the earliest return to servers that shed at random. It is above the round trip to callers.
	soonReturn = 5 * time.Millisecond
	// inTimeDivisor limits the return to servers that shed at random to this part of the time left to the target. The rest is for
	// the way, the work and another refusal.
	inTimeDivisor = 4
	// returnDivisor limits the return of a refused caller to this part of its remaining time. Callers return no later than
	// that, so longer delays would bring them back together.
	returnDivisor = 3
)

// Outcome is the result of one attempt of a call, as far as it tells about capacity.
type Outcome int

// Outcomes of an attempt.
const (
	// Served is an answer.
	Served Outcome = iota
	// Shed is a refusal by a backend server that was not full.
	Shed
	// Full is a refusal by a guard or server for lack of capacity.
	Full
)

// Servers is what is known of the instances of a service.
type Servers struct {
	// Known is set if recent reports tell the wait.
	Known bool
	// Wait is the least expected time until a call could start at an instance.
	Wait time.Duration
}

// Entry decides which new calls of a service are refused where they enter, and when refused callers return. An Entry is
// not safe for concurrent use.
type Entry struct {
	last     time.Time
	attempts [Full + 1]float64
	entering Order
	passed   float64
}

// Record counts the outcome of one attempt.
func (e *Entry) Record(now time.Time, outcome Outcome) {
	e.decay(now)
	e.attempts[outcome]++
}

func (e *Entry) decay(now time.Time) {
	elapsed := now.Sub(e.last)
	if elapsed <= 0 {
		return
	}
	e.last = now
	weight := math.Exp(-elapsed.Seconds() / entryDecayTime.Seconds())
	for i := range e.attempts {
		e.attempts[i] *= weight
	}
}

// Share returns the share of the recent attempts with the outcome, or 0 if there were too few.
func (e *Entry) Share(now time.Time, outcome Outcome) float64 {
	e.decay(now)
	total := 0.0
	for _, count := range e.attempts {
		total += count
	}
	if total < minAttempts {
		return 0
	}
	return e.attempts[outcome] / total
}

// Admit decides whether a new call is sent to a server at all. left is the time in which the call must start to be of
// worth. servers is called only for calls of low worth while servers are full. Only calls of low worth are refused, so that a call is not
// refused while one of less worth is sent.
func (e *Entry) Admit(now time.Time, value float64, left time.Duration, servers func() Servers) bool {
	e.entering.record(now, value)
	shed := e.Share(now, Shed) >= hopelessShare
	full := e.Share(now, Full) >= fullShare
	if !shed && !full || !e.isLow(value) || !shed && !startsLate(left, servers()) {
		return true
	}
	e.passed += admittedShare
	if e.passed < 1 {
		return false
	}
	e.passed--
	return true
}

func (e *Entry) isLow(value float64) bool { return e.entering.Keep(value) >= maxKeep*lowShare }

// startsLate reports whether no instance can start a call within left.
func startsLate(left time.Duration, s Servers) bool { return s.Known && s.Wait > left }

// RetryAfter returns when a refused caller should return, left being its remaining time and inTime the time left to its target.
// random is in [0, 1). Servers that shed at random serve a part of what returns at any time, so callers return soon enough to be
// served in time. Full servers serve what returns after
// the wait, at the rate at which they serve now: the callers that were refused within a second are spread over the time
// in which as many are served. Both shares are about the same at all nodes.
func (e *Entry) RetryAfter(now time.Time, left, inTime time.Duration, s Servers, random float64) time.Duration {
	latest := max(left/returnDivisor, minReturn)
	from, spread := minReturn, minSpread
	refused := e.refusedByFull(now, s)
	switch {
	case refused > 0:
		from = max(from, min(s.Wait, latest/2))
		spread += time.Duration(math.Min(refused/math.Max(e.attempts[Served], 1), 1) * float64(entryDecayTime))
	case inTime > 0:
		from, spread = soonReturn, min(spread, inTime/inTimeDivisor)
	}
	to := min(from+spread, max(latest, from))
	return from + time.Duration(random*float64(to-from))
}

// refusedByFull returns the recent attempts that were refused for lack of capacity, or 0 if servers are not full. Servers
// that shed while none could start a call at once don't shed at random.
func (e *Entry) refusedByFull(now time.Time, s Servers) float64 {
	switch {
	case s.Known && s.Wait > 0:
		e.decay(now)
		return e.attempts[Full] + e.attempts[Shed]
	case e.Share(now, Full) >= fullShare:
		return e.attempts[Full]
	}
	return 0
}
