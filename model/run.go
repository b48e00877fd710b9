package model

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"verbenareel/admit"
	"verbenareel/schema"
)

const (
	// maxSends is the maximum number of sends of one request. The first maxEagerSends of them are rejected if they cannot
	// start immediately.
	maxSends      = 4
	maxEagerSends = 2
	// networkDelay is the one-way latency between a router and a server.
	networkDelay = 500 * time.Microsecond
	// retryRatio and retryFloor configure the retry budget of each service.
	retryRatio = 0.1
	retryFloor = 0.3
	// minRetryDelay and maxRetryDelay are the bounds of the delay after which a caller retries a rejected request.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Simulation is a discrete-event simulation of one pattern under one policy.
type Simulation struct {
	pattern   Pattern
	policy    Policy
	random    *rand.Rand
	start     time.Time
	now       time.Time
	queue     eventQueue
	sequence  int
	kinds     map[string]*Kind
	servers   map[string][]*server
	entrances map[string]*entrance
	result    *Result
}

// Simulate runs the pattern under the policy. The result depends only on the arguments.
func Simulate(pattern Pattern, policy Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	r := &Simulation{
		pattern: pattern, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		kinds: make(map[string]*Kind), servers: make(map[string][]*server), entrances: make(map[string]*entrance),
		result: newResult(pattern, policy),
	}
	for i := range pattern.Services {
		service := &r.pattern.Services[i]
		for range service.Servers {
			r.sequence++
			server := newServer(r, service, rand.New(rand.NewPCG(seed, uint64(r.sequence))))
			r.servers[service.Name] = append(r.servers[service.Name], server)
		}
		r.entrances[service.Name] = newEntrance(&r.policy)
	}
	for i := range pattern.Kinds {
		k := &r.pattern.Kinds[i]
		r.kinds[k.Name] = k
		if k.ArrivalRate > 0 {
			r.sequence++
			arrivals := rand.New(rand.NewPCG(seed, uint64(r.sequence)))
			r.schedule(0, func() { r.arrive(k, arrivals) })
		}
	}
	for _, change := range pattern.Changes {
		r.schedule(change.At, func() { r.applyChange(change) })
	}
	r.loop()
	return r.result
}

func (r *Simulation) elapsed() time.Duration { return r.now.Sub(r.start) }

// loop executes events in order of time until the pattern has ended and drainTime has passed for its last requests.
func (r *Simulation) loop() {
	const drainTime = 5 * time.Second
	for len(r.queue) > 0 && r.elapsed() < r.pattern.Length+drainTime {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
}

// schedule runs f after the virtual time d.
func (r *Simulation) schedule(d time.Duration, f func()) {
	r.sequence++
	heap.Push(&r.queue, event{at: r.now.Add(d), sequence: r.sequence, run: f})
}

// arrive submits one request and schedules the next arrival. Each kind has its own random number generator, so that all
// policies receive the same requests.
func (r *Simulation) arrive(k *Kind, random *rand.Rand) {
	if r.elapsed() >= r.pattern.Length {
		return
	}
	factor := 1.0
	if r.pattern.RateFactor != nil {
		factor = r.pattern.RateFactor(r.elapsed())
	}
	if k.RateFactor != nil {
		factor *= k.RateFactor(r.elapsed())
	}
	r.submit(k, drawSize(random), r.pattern.Retries, r.now)
	mean := float64(time.Second) / (k.ArrivalRate * factor)
	r.schedule(time.Duration(random.ExpFloat64()*mean), func() { r.arrive(k, random) })
}

// requestSize holds the random properties of a request: the factors of the mean work of the request and of its nested
// call, and callDraw. The request makes a nested call if callDraw is below the CallShare of its kind.
type requestSize struct{ workFactor, nestedWorkFactor, callDraw float64 }

func drawSize(random *rand.Rand) requestSize {
	spread := func() float64 { return 0.7 + 0.6*random.Float64() }
	return requestSize{workFactor: spread(), nestedWorkFactor: spread(), callDraw: random.Float64()}
}

// submit sends a request of a caller that was first sent at first. If it is rejected, it is retried up to retries times.
func (r *Simulation) submit(k *Kind, size requestSize, retries int, first time.Time) {
	var q *request
	q = r.newRequest(k, size, func(answered bool) {
		if !answered && retries > 0 && q.notRun {
			wait := r.entrances[k.Service].returnDelay(r, k, max(first.Add(k.Timeout).Sub(r.now), 0), r.random)
			if r.pattern.RetryImmediately {
				wait = time.Millisecond
			}
			r.schedule(wait, func() { r.submit(k, size, retries-1, first) })
			return
		}
		r.result.record(r.start, k, first, r.now, answered, q.notRun)
	})
	if r.pattern.SharedDeadline && first.Before(r.now) {
		q.deadline = first.Add(k.Timeout)
		r.schedule(q.deadline.Sub(r.now), func() { q.end(false) })
	}
	if !r.entrances[k.Service].admits(r, q) {
		r.schedule(networkDelay, func() { q.end(false) })
		return
	}
	q.send(r)
}

// applyChange applies a change of the pattern to the servers.
func (r *Simulation) applyChange(c Change) {
	servers := r.servers[c.Service]
	for _, s := range servers[:int(c.Share*float64(len(servers))+0.5)] {
		switch {
		case c.Down:
			s.stop()
		case c.Up:
			s.restart()
		case c.RunTimeFactor > 0:
			s.runTimeFactor = c.RunTimeFactor
		case c.Shed != nil:
			s.shed = *c.Shed
		}
	}
}

// chooseServer returns the least loaded of the servers that can start the request immediately, or if there are none, of
// all servers that are up. Servers that the request was already sent to are excluded. It returns nil if no server is left.
func (r *Simulation) chooseServer(q *request) *server {
	var best *server
	better := func(s *server) bool {
		if best == nil || s.canStartNow() != best.canStartNow() {
			return best == nil || s.canStartNow()
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

// sortedAttempts returns the attempts in the order in which they were created, so that runs are repeatable.
func (r *Simulation) sortedAttempts(set map[*attempt]struct{}) []*attempt {
	list := make([]*attempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return a.sequence - b.sequence })
	return list
}

// request is a request that a router handles.
type request struct {
	kind      *Kind
	size      requestSize
	createdAt time.Time
	deadline  time.Time
	tried     []*server
	sends     int
	// arrivals counts the attempts that reached a server, and reserved is set while a retry is reserved for the request.
	arrivals int
	reserved bool
	ended    bool
	// notRun reports whether no server ran the request.
	notRun bool
	done   func(answered bool)
}

func (r *Simulation) newRequest(k *Kind, size requestSize, done func(answered bool)) *request {
	q := &request{kind: k, size: size, createdAt: r.now, deadline: r.now.Add(k.Timeout), notRun: true, done: done}
	r.entrances[k.Service].deposit(r.now)
	r.schedule(k.Timeout, func() { q.end(false) })
	return q
}

func (q *request) end(answered bool) {
	if q.ended {
		return
	}
	q.ended = true
	q.done(answered)
}

// send sends the request to a server, or ends it if no server or no send is left.
func (q *request) send(r *Simulation) {
	s := r.chooseServer(q)
	if s == nil || q.sends >= maxSends {
		q.end(false)
		return
	}
	q.sends++
	q.tried = append(q.tried, s)
	r.sequence++
	a := &attempt{request: q, sequence: r.sequence}
	r.policy.prepare(a)
	a.Eager = r.policy.eagerFirst && q.sends <= maxEagerSends && len(q.tried) < len(r.servers[q.kind.Service])
	r.schedule(networkDelay, func() { s.receive(a) })
}

// attempt is one send of a request.
type attempt struct {
	admit.Call
	request  *request
	sequence int
}

// end handles the outcome of the attempt and retries the request if that is allowed. REASON_NONE means that it was
// answered.
func (a *attempt) end(r *Simulation, reason schema.Reason) {
	q, e := a.request, r.entrances[a.request.kind.Service]
	arrived := reachedServer(reason)
	if arrived {
		q.arrivals++
	}
	e.record(r.now, a, reason)
	e.settle(r.now, q, arrived)
	if q.ended {
		return
	}
	if reason == schema.Reason_REASON_NONE || reason == schema.Reason_REASON_CONNECTION_LOST {
		q.notRun = false
	}
	if q.sends < maxSends && q.mayRetry(r, e, reason) {
		r.schedule(networkDelay, func() { q.send(r) })
		return
	}
	q.end(reason == schema.Reason_REASON_NONE)
	e.settle(r.now, q, false)
}

// mayRetry reports whether the request is sent again after the outcome of an attempt. A refusal of one of the first
// attempts by a guard costs no retry.
func (q *request) mayRetry(r *Simulation, e *entrance, reason schema.Reason) bool {
	switch reason {
	case schema.Reason_REASON_NONE, schema.Reason_REASON_DEADLINE:
		return false
	case schema.Reason_REASON_CONNECTION_LOST:
		return q.kind.Repeatable && e.takeRetry(r.now, q)
	}
	return q.arrivals == 0 && q.sends <= maxEagerSends || e.takeRetry(r.now, q)
}

// reachedServer reports whether an attempt with the outcome was an arrival at a server.
func reachedServer(reason schema.Reason) bool {
	switch reason {
	case schema.Reason_REASON_NONE, schema.Reason_REASON_CONNECTION_LOST, schema.Reason_REASON_SHED:
		return true
	}
	return false
}

// event is a function that is scheduled for a time. Events of the same time run in order of sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
