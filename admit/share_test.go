package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/admit"
	"verbenareel/schema"
)

const (
	largeCustomer = "large"
	smallCount    = 75
)

// shareLoad is the load of one large and smallCount small customers on one guard with 9 slots, and of calls without a customer.
type shareLoad struct {
	// largeWeight is the weight of the large customer, largeFactor its load in relation to that. The weights of the small ones
	// add up to 20.
	largeWeight, largeFactor float64
	// smallFactor is the load of the small customers in relation to their weights; 0 stands for 1.
	smallFactor float64
	targets     bool
	// nested is the number of short calls per second without a customer.
	nested float64
	// work is the time that a call holds its slot; largeWork replaces it for the large customer.
	work, largeWork time.Duration
	noWeights       bool
	// coldLimit is the limit of the server for 5 s in the middle, while it is cold; 0 for a server that stays warm.
	coldLimit int
	// blind leaves out the customers' names, as before fair sharing.
	blind bool
}

type shareTally struct{ offered, served float64 }

func (t shareTally) share() float64 { return t.served / max(1, t.offered) }

// shareResult holds the tallies of the last part of a simulation: of the large customer, the small ones together, each
// customer, and the calls without a customer.
type shareResult struct {
	large, small, nested, all shareTally
	each                      map[string]*shareTally
}

// simulateShares runs a controller through the load for 30 s, of which the first 5 do not count.
func simulateShares(l shareLoad) shareResult {
	random := rand.New(rand.NewPCG(3, 4))
	start := time.Unix(1000, 0)
	limiter := &constant{limit: 9}
	controller := admit.New(limiter, 18)
	names, weights := []string{largeCustomer}, map[string]float64{largeCustomer: l.largeWeight}
	for i := range smallCount {
		names = append(names, fmt.Sprint("small-", i))
		weights[names[i+1]] = 20.0 / smallCount
	}
	if !l.noWeights {
		controller.SetWeights(weights)
	}
	r := shareResult{each: make(map[string]*shareTally)}
	now, counted := start, start.Add(5*time.Second)
	var running []*shareArrival
	apply := func(events []admit.Event) {
		for _, e := range events {
			a := e.Call.Owner.(*shareArrival)
			if e.Reason == none {
				a.end = now.Add(a.work)
				running = append(running, a)
				if a.at.After(counted) {
					a.tally.served++
				}
			}
		}
	}
	offer := func(name string, work time.Duration) {
		a := &shareArrival{at: now, work: work}
		a.Priority, a.Repeatable, a.Deadline, a.Owner = schema.Priority_PRIORITY_NORMAL, true, now.Add(1200*time.Millisecond), a
		if l.targets {
			a.Target, a.Expected = now.Add(600*time.Millisecond), work
		}
		if !l.blind {
			a.Customer = name
		}
		if r.each[name] == nil {
			r.each[name] = &shareTally{}
		}
		a.tally = r.each[name]
		if now.After(counted) {
			a.tally.offered++
		}
		apply(controller.Offer(now, &a.Call))
	}
	const step = time.Millisecond
	for ; now.Sub(start) < 30*time.Second; now = now.Add(step) {
		for i := 0; i < len(running); {
			if a := running[i]; !a.end.After(now) {
				running = append(running[:i], running[i+1:]...)
				apply(controller.Finish(now, &a.Call))
				i = 0
				continue
			}
			i++
		}
		if since := now.Sub(start); l.coldLimit > 0 {
			limiter.limit = 9
			if since >= 15*time.Second && since < 20*time.Second {
				limiter.limit = l.coldLimit
			}
		}
		apply(controller.Tick(now))
		for _, name := range names {
			rate, work := weights[name]*max(1, l.smallFactor), l.work
			if name == largeCustomer {
				rate, work = weights[name]*l.largeFactor, max(l.work, l.largeWork)
			}
			if random.Float64() < rate*step.Seconds() {
				offer(name, work)
			}
		}
		if random.Float64() < l.nested*step.Seconds() {
			offer("", l.work/4)
		}
	}
	r.sum()
	return r
}

type shareArrival struct {
	admit.Call
	tally *shareTally
	at    time.Time
	end   time.Time
	work  time.Duration
}

func (r *shareResult) sum() {
	for name, t := range r.each {
		into := &r.small
		switch name {
		case "":
			r.nested = *t
			continue
		case largeCustomer:
			into = &r.large
		}
		into.offered, into.served = into.offered+t.offered, into.served+t.served
		r.all.offered, r.all.served = r.all.offered+t.offered, r.all.served+t.served
	}
}

// TestFairSharing guards against a customer that pushes excess load and so takes the slots of customers within their quota, and
// against one that gets hardly any.
func TestFairSharing(t *testing.T) {
	const usual = 100 * time.Millisecond
	for name, l := range map[string]shareLoad{
		"ten times the rate":            {largeWeight: 40, largeFactor: 10, targets: true, work: usual},
		"ten times, without targets":    {largeWeight: 40, largeFactor: 10, work: usual},
		"ten times, without weights":    {largeWeight: 40, largeFactor: 10, targets: true, work: usual, noWeights: true},
		"ten times, short calls":        {largeWeight: 40, largeFactor: 10, targets: true, work: usual / 2},
		"three times, with long calls":  {largeWeight: 40, largeFactor: 3, targets: true, work: usual, largeWork: 3 * usual},
		"ten times beside nested calls": {largeWeight: 40, largeFactor: 10, targets: true, work: usual, nested: 40},
		"ten times, cold server":        {largeWeight: 40, largeFactor: 10, targets: true, work: usual, coldLimit: 7},
	} {
		t.Run(name, func(t *testing.T) {
			fair := simulateShares(l)
			l.blind = true
			before := simulateShares(l)
			t.Logf("small %.3f (without customers %.3f), large %.3f (%.3f), all %.3f (%.3f), nested %.3f (%.3f)", fair.small.share(),
				before.small.share(), fair.large.share(), before.large.share(), fair.all.share(), before.all.share(), fair.nested.share(), before.nested.share())
			qt.Check(t, fair.small.share() >= 0.98, qt.IsTrue)
			qt.Check(t, fair.large.share() >= fair.all.share()/4, qt.IsTrue)
			qt.Check(t, fair.all.served >= 0.97*before.all.served, qt.IsTrue)
			qt.Check(t, fair.nested.share() >= before.nested.share()-0.005, qt.IsTrue)
			for customer, tally := range fair.each {
				qt.Check(t, customer == "" || tally.share() >= fair.all.share()/4, qt.IsTrue, qt.Commentf("%s: %+v", customer, *tally))
			}
		})
	}
}

// TestMinimumShare guards against a customer that hardly any call is served of, because the others need the whole server and are
// within their share.
func TestMinimumShare(t *testing.T) {
	for _, targets := range []bool{true, false} {
		r := simulateShares(shareLoad{largeWeight: 2, largeFactor: 50, smallFactor: 1.5, targets: targets, work: 300 * time.Millisecond})
		t.Logf("small %.3f, large %.3f, all %.3f", r.small.share(), r.large.share(), r.all.share())
		qt.Check(t, r.large.share() >= r.all.share()/4, qt.IsTrue)
		qt.Check(t, r.large.share() <= r.all.share()/2, qt.IsTrue)
	}
}

// TestEqualLoad guards against an order that changes without need: customers that all send what corresponds to their weight are
// served as if they had no names.
func TestEqualLoad(t *testing.T) {
	l := shareLoad{largeWeight: 40, largeFactor: 1, targets: true, work: 130 * time.Millisecond}
	fair := simulateShares(l)
	l.blind = true
	before := simulateShares(l)
	t.Logf("all %.3f (without customers %.3f), small %.3f, large %.3f", fair.all.share(), before.all.share(), fair.small.share(), fair.large.share())
	qt.Check(t, fair.all.share() >= before.all.share()-0.01, qt.IsTrue)
}
