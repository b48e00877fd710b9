package model

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"verbenareel/admit"
	"verbenareel/budget"
	"verbenareel/schema"
)

const (
	// maxSends bounds the sends of one request, eagerSends those that are refused if they cannot start at once.
	maxSends   = 4
	eagerSends = 2
	// oneWay is the time of a message from a router to a server or back.
	oneWay = 500 * time.Microsecond
	// retryShare and retryFloor are the budget of retries of a service.
	retryShare = 0.1
	retryFloor = 0.3
	// minReturn and maxReturn bound the time after which a refused caller tries again.
	minReturn = 100 * time.Millisecond
	maxReturn = 500 * time.Millisecond
)

// Run is one run of a pattern under a policy.
type Run struct {
	pattern Pattern
	policy  Policy
	random  *rand.Rand
	start   time.Time
	now     time.Time
	queue   events
	number  int
	kinds   map[string]*Kind
	servers map[string][]*server
	retries map[string]*budget.Ratio
	result  *Result
}

// Play runs the pattern under the policy.
func Play(pattern Pattern, policy Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	r := &Run{
		pattern: pattern, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		kinds: make(map[string]*Kind), servers: make(map[string][]*server), retries: make(map[string]*budget.Ratio),
		result: newResult(pattern, policy),
	}
	for i := range pattern.Services {
		service := &r.pattern.Services[i]
		for range service.Servers {
			r.number++
			server := newServer(r, service, rand.New(rand.NewPCG(seed, uint64(r.number))))
			r.servers[service.Name] = append(r.servers[service.Name], server)
		}
		r.retries[service.Name] = budget.NewRatio(retryShare, retryFloor, budget.RetryMemory)
	}
	for i := range pattern.Kinds {
		k := &r.pattern.Kinds[i]
		r.kinds[k.Name] = k
		if k.PerSecond > 0 {
			r.number++
			arrivals := rand.New(rand.NewPCG(seed, uint64(r.number)))
			r.after(0, func() { r.arrive(k, arrivals) })
		}
	}
	for _, change := range pattern.Changes {
		r.after(change.At, func() { r.change(change) })
	}
	r.loop()
	return r.result
}

func (r *Run) since() time.Duration { return r.now.Sub(r.start) }

// loop carries out what is due until the pattern has ended and its last requests had time to end too.
func (r *Run) loop() {
	const rest = 5 * time.Second
	for len(r.queue) > 0 && r.since() < r.pattern.Length+rest {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
}

func (r *Run) after(d time.Duration, f func()) {
	r.number++
	heap.Push(&r.queue, event{at: r.now.Add(d), number: r.number, run: f})
}

// arrive lets one request arrive and schedules the next one. The random numbers are those of the kind alone, so that each
// policy meets the same requests.
func (r *Run) arrive(k *Kind, random *rand.Rand) {
	if r.since() >= r.pattern.Length {
		return
	}
	factor := 1.0
	if r.pattern.Factor != nil {
		factor = r.pattern.Factor(r.since())
	}
	r.ask(k, draw(random), r.pattern.Returns, r.now)
	mean := float64(time.Second) / (k.PerSecond * factor)
	r.after(time.Duration(random.ExpFloat64()*mean), func() { r.arrive(k, random) })
}

// size says how much work a request is: factors of the mean of its kind and of the one that it calls, and whether it makes
// the call, which it does if calling is below the kind's share.
type size struct{ work, nested, calling float64 }

func draw(random *rand.Rand) size {
	spread := func() float64 { return 0.7 + 0.6*random.Float64() }
	return size{work: spread(), nested: spread(), calling: random.Float64()}
}

// ask lets a caller send a request, which it first sent at a time; it tries again as often as returns says.
func (r *Run) ask(k *Kind, size size, returns int, first time.Time) {
	var q *request
	q = r.newRequest(k, size, func(answered bool) {
		if !answered && returns > 0 && q.refused {
			wait := minReturn + time.Duration(r.random.Int64N(int64(maxReturn-minReturn)))
			if r.pattern.Impatient {
				wait = time.Millisecond
			}
			r.after(wait, func() { r.ask(k, size, returns-1, first) })
			return
		}
		r.result.note(r.start, k, first, r.now, answered, q.refused)
	})
	q.send(r)
}

// change carries out a change of the pattern.
func (r *Run) change(c Change) {
	servers := r.servers[c.Service]
	for _, s := range servers[:int(c.Share*float64(len(servers))+0.5)] {
		switch {
		case c.Down:
			s.stop()
		case c.Up:
			s.restart()
		case c.Pace > 0:
			s.pace = c.Pace
		}
	}
}

// choose returns the server for a call: the least loaded of those at which it starts at once, or else of all others that
// the call was not sent to, or nil.
func (r *Run) choose(q *request) *server {
	var best *server
	better := func(s *server) bool {
		if best == nil || s.ready() != best.ready() {
			return best == nil || s.ready()
		}
		return s.load() < best.load()
	}
	servers := r.servers[q.kind.Service]
	first := r.random.IntN(len(servers))
	for i := range servers {
		s := servers[(first+i)%len(servers)]
		if !s.down && !slices.Contains(q.tried, s) && better(s) {
			best = s
		}
	}
	return best
}

// inOrder returns attempts in the order in which they were made, so that a run is repeatable.
func (r *Run) inOrder(set map[*attempt]struct{}) []*attempt {
	list := make([]*attempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return a.number - b.number })
	return list
}

// request is a request on its way through a router.
type request struct {
	kind     *Kind
	size     size
	asked    time.Time
	deadline time.Time
	tried    []*server
	sends    int
	ended    bool
	// refused tells that no server ran the request.
	refused bool
	done    func(answered bool)
}

func (r *Run) newRequest(k *Kind, size size, done func(answered bool)) *request {
	q := &request{kind: k, size: size, asked: r.now, deadline: r.now.Add(k.Timeout), refused: true, done: done}
	r.retries[k.Service].Earn(r.now)
	r.after(k.Timeout, func() { q.end(false) })
	return q
}

func (q *request) end(answered bool) {
	if q.ended {
		return
	}
	q.ended = true
	q.done(answered)
}

// send sends the request to a server.
func (q *request) send(r *Run) {
	s := r.choose(q)
	if s == nil || q.sends >= maxSends {
		q.end(false)
		return
	}
	q.sends++
	q.tried = append(q.tried, s)
	r.number++
	a := &attempt{request: q, number: r.number}
	r.policy.prepare(a)
	a.Eager = r.policy.eager && q.sends <= eagerSends && len(q.tried) < len(r.servers[q.kind.Service])
	r.after(oneWay, func() { s.offer(a) })
}

// attempt is one send of a request.
type attempt struct {
	admit.Call
	request *request
	number  int
}

// end takes the outcome of the attempt: REASON_NONE for an answer.
func (a *attempt) end(r *Run, reason schema.Reason) {
	q := a.request
	if q.ended {
		return
	}
	switch reason {
	case schema.Reason_REASON_NONE:
		q.refused = false
		q.end(true)
	case schema.Reason_REASON_CONNECTION_LOST:
		q.refused = false
		if q.kind.Repeatable && r.retries[q.kind.Service].Take(r.now) {
			r.after(oneWay, func() { q.send(r) })
			return
		}
		q.end(false)
	case schema.Reason_REASON_DEADLINE:
		q.end(false)
	default:
		if q.sends <= eagerSends || r.retries[q.kind.Service].Take(r.now) {
			r.after(oneWay, func() { q.send(r) })
			return
		}
		q.end(false)
	}
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
