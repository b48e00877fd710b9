package budget

import (
	"slices"
	"time"
)

// windowSlots is the number of slots in which a Window keeps the recent past. The window is longer by up to one slot
// than the configured one, so that rounding never raises the budget.
const windowSlots = 100

const (
	// rateParts is the number of parts of the window whose call rates are compared, to find the lowest.
	rateParts = 5
	// futureShare is the part of the lowest recent call rate on which a node relies for the rest of a window. The bound holds as
	// long as the calls of all nodes don't fall below it within one window. Half of the nodes may vanish with their callers.
	// Without it, at most the part of the slack could be on its way at a time, and 30% of the budget stayed unused while
	// arrivals took up to 0.3 s (TestFleetWindows).
	futureShare = 0.25
)

// Window is the share of one node in a retry budget that all nodes share without communication. The budget bounds the
// arrivals beyond the first of each call to one service: in each window, all nodes together cause at most
//
//	ratio * (calls taken in within the window) + slack
//
// of them. A node spends what its own calls earned, and its part of the slack. Since the bound holds for windows at
// any position, a call pays for an arrival only if no window holds the arrival without the call. So the available
// budget is the part of the slack plus the least, over all windows that end now or later, of the earned minus the spent
// budget within them. This is the part of the slack minus the fall of the balance from its highest value in the window.
//
// An arrival is reserved before it is sent, and committed or released when its result is known. A reserved arrival
// counts as spent until then, however late it reaches the server.
//
// A new Window has no part of the slack until one window has passed, because the process before it may have used it.
// A clock reading below an earlier one counts as that one. A Window is not safe for concurrent use.
type Window struct {
	ratio, slack float64
	futureShare  float64
	slot         time.Duration
	clock        clock
	elapsed      time.Duration
	// balance is the sum of the earned minus the spent budget since the start.
	balance  float64
	reserved int
	members  int
	saved    savings
	current  int64
	slots    [windowSlots + 1]slot
}

// slot describes a part of the recent past.
type slot struct {
	highest float64
	members int
	calls   float64
	repeats float64
}

// NewWindow returns an empty budget. ratio is the number of arrivals that one call earns, and slack the fixed number for
// all nodes in each window.
func NewWindow(ratio, slack float64, window time.Duration) *Window {
	return &Window{ratio: ratio, slack: slack, futureShare: futureShare, slot: max(window/windowSlots, 1), members: 1}
}

// SetMembers sets the number of nodes that share the budget. A fall counts after one window, because the nodes that
// vanished may have used their parts within it.
func (w *Window) SetMembers(now time.Time, members int) {
	w.advance(now)
	w.members = max(members, 1)
	w.slotNow().members = max(w.slotNow().members, w.members)
}

// Deposit adds a call that this node took in. repeated is the probability that the call itself was caused by an arrival
// beyond the first: by a run that was repeated and made the call. To that part, the call earns nothing and counts as spent.
func (w *Window) Deposit(now time.Time, repeated float64) {
	w.advance(now)
	earned := w.ratio*(1-repeated) - repeated
	w.balance += earned
	w.saved.add(w.elapsed, earned, w.Share(now), w.length())
	s := w.slotNow()
	s.highest = max(s.highest, w.balance)
	s.calls++
	s.repeats += repeated
}

// Reserve reserves one arrival if at least keep remains available after it, and reports whether it did.
func (w *Window) Reserve(now time.Time, keep float64) bool {
	if w.Available(now) < 1+keep-tolerance {
		w.saved.deny(w.elapsed)
		return false
	}
	w.reserved++
	w.saved.amount--
	return true
}

// tolerance covers the rounding errors of the sums, which are far smaller, so that five calls earn a whole arrival at a
// ratio of 0.2.
const tolerance = 1e-6

// Commit counts a reserved arrival as having reached a server.
func (w *Window) Commit(now time.Time) {
	w.Release()
	w.Charge(now)
}

// Release returns a reserved arrival that reached no server.
func (w *Window) Release() {
	if w.reserved > 0 {
		w.reserved--
		w.saved.amount++
	}
}

// Charge counts an arrival that was not reserved, even if none is available.
func (w *Window) Charge(now time.Time) {
	w.advance(now)
	w.balance--
	w.saved.amount--
	w.slotNow().repeats++
}

// Available returns how many arrivals may be reserved. It is negative after charges above the budget.
func (w *Window) Available(now time.Time) float64 {
	w.advance(now)
	share, ahead := w.Share(now), w.ratio*w.callsAhead()
	if share < 1 {
		return w.saved.amount
	}
	available := share + ahead
	for i := range w.slots {
		if w.inUse(i) {
			left := 1 - float64(w.age(i)+1)/float64(len(w.slots))
			available = min(available, share+w.balance-w.slots[i].highest+ahead*left)
		}
	}
	if w.elapsed < w.length() {
		available = min(available, w.balance)
	}
	return available - float64(w.reserved)
}

// Capacity returns the most that may be available at present.
func (w *Window) Capacity(now time.Time) float64 {
	share := w.Share(now)
	if share < 1 {
		return 1
	}
	return share + w.ratio*w.callsAhead()
}

// callsAhead returns the calls that are expected within the next window at least: futureShare of the lowest rate in any
// part of the last one.
func (w *Window) callsAhead() float64 {
	var calls [rateParts]float64
	for i := range w.slots {
		if w.inUse(i) && w.age(i) < windowSlots {
			calls[w.age(i)*rateParts/windowSlots] += w.slots[i].calls
		}
	}
	return w.futureShare * rateParts * slices.Min(calls[:])
}

// age returns how many slots ago the slot was the current one.
func (w *Window) age(i int) int {
	return int((w.current - int64(i)) % int64(len(w.slots)))
}

// Share returns this node's part of the slack.
func (w *Window) Share(now time.Time) float64 {
	w.advance(now)
	members := w.members
	for i := range w.slots {
		if w.inUse(i) {
			members = max(members, w.slots[i].members)
		}
	}
	return w.slack / float64(members)
}

// Calls returns the calls that this node took in within about the last window.
func (w *Window) Calls(now time.Time) float64 {
	return w.sum(now, func(s *slot) float64 { return s.calls })
}

// Repeats returns the arrivals beyond the first that this node caused within about the last window.
func (w *Window) Repeats(now time.Time) float64 {
	return w.sum(now, func(s *slot) float64 { return s.repeats })
}

func (w *Window) sum(now time.Time, value func(*slot) float64) float64 {
	w.advance(now)
	total := 0.0
	for i := range w.slots {
		if w.inUse(i) {
			total += value(&w.slots[i])
		}
	}
	return total
}

// length returns the length of the past that the slots cover.
func (w *Window) length() time.Duration { return w.slot * time.Duration(len(w.slots)) }

func (w *Window) slotNow() *slot { return &w.slots[w.current%int64(len(w.slots))] }

// inUse reports whether the slot was filled since the start.
func (w *Window) inUse(i int) bool { return int64(i) <= w.current }

// advance moves to the slot of the given time. Skipped slots had no calls.
func (w *Window) advance(now time.Time) {
	w.elapsed += w.clock.advance(now)
	target := int64(w.elapsed / w.slot)
	if target == w.current {
		return
	}
	w.current = max(w.current, target-int64(len(w.slots)))
	for w.current < target {
		w.current++
		*w.slotNow() = slot{highest: w.balance, members: w.members}
	}
}
