package admit

import (
	"math"
	"time"
)

const (
	// shareWindow is the time constant with which the use of slots by a customer is forgotten. It is the usual window of quotas,
	// and long enough for customers with a few calls per second.
	shareWindow = 5 * time.Second
	// graceCalls is the number of average calls that do not count toward the use of a customer: a small customer exceeds its
	// share of the window with any call.
	graceCalls = 4
	// minServedShare is the part of the share of calls served for all customers below which the calls of a customer come first.
	// The guarantee is a quarter; the margin covers the calls that are refused until the order has taken effect.
	minServedShare = 0.3
	// starvedLevel is the level of a customer below that share; any use within the fair share has the level 0.
	starvedLevel = -1
	// shareRefresh is the interval at which customers without recent calls are forgotten.
	shareRefresh = 100 * time.Millisecond
	// forgottenCalls is the decayed number of calls below which a customer is forgotten.
	forgottenCalls = 0.02
)

// share is the recent use of the slots by one customer. All of its numbers decay with shareWindow.
type share struct {
	weight float64
	// used is the slot time in seconds, offered and served are numbers of calls.
	used, offered, served float64
	at                    time.Time
}

// decay brings the numbers to a time.
func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
		s.used, s.offered, s.served, s.at = s.used*factor, s.offered*factor, s.served*factor, now
	}
}

// shares is the recent use of the slots by each customer.
type shares struct {
	weights map[string]float64
	// meanWeight is the weight of a customer that weights does not list.
	meanWeight float64
	customers  map[string]*share
	// all sums the slot time and calls of all customers; its weight is that of the customers with recent calls.
	all         share
	refreshedAt time.Time
	// starts and refusals count the calls that started or were refused in place of another customer's.
	starts, refusals uint64
}

// FairDecisions returns how many queued calls started, and how many were refused, in place of a call of another customer because
// of what the customers had used.
func (c *Controller) FairDecisions() (starts, refusals uint64) {
	return c.shares.starts, c.shares.refusals
}

// SetWeights sets the weights of the customers. A customer that is not listed, or whose weight is not positive, has the mean
// weight of the others.
func (c *Controller) SetWeights(weights map[string]float64) {
	sum, count := 0.0, 0
	for _, w := range weights {
		if w > 0 {
			sum += w
			count++
		}
	}
	c.shares.weights, c.shares.meanWeight = weights, 1
	if count > 0 {
		c.shares.meanWeight = sum / float64(count)
	}
	for name, s := range c.shares.customers {
		s.weight = c.shares.weight(name)
	}
	c.shares.refreshedAt = time.Time{}
}

func (s *shares) weight(customer string) float64 {
	if w := s.weights[customer]; w > 0 {
		return w
	}
	return max(s.meanWeight, math.SmallestNonzeroFloat64)
}

// recordOffer counts a new call of a customer and assigns the call its share. Calls without a customer have none.
func (s *shares) recordOffer(now time.Time, call *Call) {
	if call.Customer == "" {
		return
	}
	own := s.customers[call.Customer]
	if own == nil {
		own = &share{weight: s.weight(call.Customer), at: now}
		if s.customers == nil {
			s.customers = make(map[string]*share)
		}
		s.customers[call.Customer] = own
		s.all.weight += own.weight
	}
	call.share = own
	own.decay(now)
	s.all.decay(now)
	own.offered++
	s.all.offered++
	s.refresh(now)
}

// refresh forgets the customers without recent calls and sums the weights of the others.
func (s *shares) refresh(now time.Time) {
	if now.Sub(s.refreshedAt) < shareRefresh {
		return
	}
	s.refreshedAt = now
	s.all.weight = 0
	for name, own := range s.customers {
		own.decay(now)
		if own.offered < forgottenCalls {
			delete(s.customers, name)
			continue
		}
		s.all.weight += own.weight
	}
}

// recordStart charges the expected time of a call that starts.
func (s *shares) recordStart(now time.Time, call *Call, expected time.Duration) {
	if call.share == nil {
		return
	}
	call.charged = expected
	call.share.decay(now)
	s.all.decay(now)
	call.share.used += expected.Seconds()
	s.all.used += expected.Seconds()
	call.share.served++
	s.all.served++
}

// recordEnd corrects the charge of a call by the time that it held its slot.
func (s *shares) recordEnd(now time.Time, call *Call) {
	if call.share == nil {
		return
	}
	call.share.decay(now)
	s.all.decay(now)
	correction := (now.Sub(call.started) - call.charged).Seconds()
	call.share.used = max(0, call.share.used+correction)
	s.all.used = max(0, s.all.used+correction)
}

// level returns by how much the customer of a call has exceeded its fair share of the recent slot time: 0 within the share, 1
// at twice the share, and starvedLevel if too few of its calls are served. Among calls of equal priority, one of a lower level
// starts first and one of a higher level is refused first.
func (c *Controller) level(now time.Time, call *Call) float64 {
	own, all := call.share, &c.shares.all
	own.decay(now)
	all.decay(now)
	if own.offered > graceCalls && own.served*all.offered < minServedShare*all.served*own.offered {
		return starvedLevel
	}
	fair := all.used * min(1, own.weight/max(all.weight, own.weight))
	used := own.used - graceCalls*max(c.expected(call), c.avgSlotTime).Seconds()
	if used <= fair {
		return 0
	}
	return used/max(fair, math.SmallestNonzeroFloat64) - 1
}

// competes reports whether the use of the slots decides between two calls: both have a customer, not the same one, and the
// same priority.
func competes(call, other *Call) bool {
	if call.share == nil || other.share == nil || call.share == other.share || call.Target.IsZero() != other.Target.IsZero() {
		return false
	}
	return call.Priority == other.Priority && (!call.Target.IsZero() || call.rank() == other.rank())
}

// startsBefore reports whether a call starts before another one; both must have a target.
func (c *Controller) startsBefore(now time.Time, call, other *Call) bool {
	if competes(call, other) {
		if a, b := c.level(now, call), c.level(now, other); a != b {
			return a < b
		}
	}
	return c.precedes(now, call, other)
}

// fairest returns the call that starts in place of the one that is next by value or arrival: the one of the lowest level among
// the queued calls that compete with it. Calls without a customer keep their turn.
func (c *Controller) fairest(now time.Time, next *Call) *Call {
	if next == nil || next.share == nil {
		return next
	}
	best, lowest := next, c.level(now, next)
	for i := ranks - 1; i >= 0; i-- {
		for call := c.queues[i].first; call != nil; call = call.next {
			if !competes(call, next) {
				continue
			}
			level := c.level(now, call)
			if level < lowest || level == lowest && !call.Target.IsZero() && c.precedes(now, call, best) {
				best, lowest = call, level
			}
		}
	}
	if best.share != next.share {
		c.shares.starts++
	}
	return best
}

// mostOver returns the queued call of the highest level among those that compete with a call, or nil if no level is above that of
// the call. Among calls of one customer it is the one that would start last.
func (c *Controller) mostOver(now time.Time, call *Call) *Call {
	if call.share == nil {
		return nil
	}
	var most *Call
	highest := c.level(now, call)
	for i := range c.queues {
		for waiting := c.queues[i].first; waiting != nil; waiting = waiting.next {
			if !competes(waiting, call) {
				continue
			}
			level := c.level(now, waiting)
			later := most != nil && level == highest && (waiting.Target.IsZero() || c.precedes(now, most, waiting))
			if level > highest || later {
				most, highest = waiting, level
			}
		}
	}
	return most
}

// waitingOver returns the number of queued calls that a new call starts before, because their customers have used more.
func (c *Controller) waitingOver(now time.Time, call *Call) int {
	if call.share == nil {
		return 0
	}
	count, own := 0, c.level(now, call)
	for waiting := c.queues[call.rank()].first; waiting != nil; waiting = waiting.next {
		if competes(waiting, call) && c.level(now, waiting) > own {
			count++
		}
	}
	return count
}

// unfairest returns the queued call that is refused in place of the one that is last by value or arrival. Calls without a customer
// are refused in their turn.
func (c *Controller) unfairest(now time.Time, last *Call) *Call {
	if most := c.mostOver(now, last); most != nil {
		c.shares.refusals++
		return most
	}
	return last
}

// preemptMostOver refuses the queued call of a customer that has used more than that of a new call, and reports whether there was
// one.
func (c *Controller) preemptMostOver(now time.Time, call *Call) bool {
	most := c.mostOver(now, call)
	if most == nil {
		return false
	}
	c.shares.refusals++
	c.preemptCall(most)
	return true
}
