package model

import (
	"math/rand/v2"
	"time"

	"verbenareel/admit"
	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// kneeUtilization is the utilization of the slots above which runs take longer.
	kneeUtilization = 0.8
	// slowPhaseDuration is the length of a phase during which a server is either slow or at its usual speed.
	slowPhaseDuration = 150 * time.Millisecond
	// tickInterval is the tick interval of a controller that has queued calls.
	tickInterval = 5 * time.Millisecond
)

// fixedLimiter is a limiter with a constant limit, for a server whose number of slots is known.
type fixedLimiter struct{ count int }

// Limit implements core.Limiter.
func (s *fixedLimiter) Limit(time.Time) int { return s.count }

// Observe implements core.Limiter.
func (s *fixedLimiter) Observe(time.Time, core.Sample) {}

// ResetToCold implements core.Limiter.
func (s *fixedLimiter) ResetToCold(time.Time) {}

// SetReportedLimit implements core.Limiter.
func (s *fixedLimiter) SetReportedLimit(time.Time, int) {}

// server simulates a backend server with its guard.
type server struct {
	run        *Simulation
	random     *rand.Rand
	service    *Service
	limiter    fixedLimiter
	controller *admit.Controller
	running    map[*attempt]struct{}
	down       bool
	// runTimeFactor multiplies all run times. phaseFactor multiplies those of runs that start in the current phase.
	runTimeFactor, phaseFactor float64
	// shed is the share of the calls that the server refuses at random.
	shed          float64
	coldUntil     time.Time
	tickScheduled bool
}

func newServer(r *Simulation, service *Service, random *rand.Rand) *server {
	s := &server{
		run: r, random: random, service: service, limiter: fixedLimiter{service.Slots}, runTimeFactor: 1, phaseFactor: 1,
		running: make(map[*attempt]struct{}),
	}
	s.controller = r.policy.newController(&s.limiter)
	s.controller.SetGate(func(time.Time) bool { return s.phaseFactor <= 1 })
	s.startPhase()
	return s
}

// startPhase randomly starts a slow phase or a phase of usual speed and schedules the next one.
func (s *server) startPhase() {
	s.phaseFactor = 1
	if s.random.Float64() < s.service.SlowShare {
		s.phaseFactor = s.service.SlowFactor
	}
	s.run.schedule(slowPhaseDuration, func() {
		s.startPhase()
		s.apply(s.controller.Tick(s.run.now))
	})
}

// baseFactor returns the current run time factor without the effects of phases and the knee.
func (s *server) baseFactor() float64 {
	if s.run.now.Before(s.coldUntil) {
		return s.runTimeFactor * s.service.ColdFactor
	}
	return s.runTimeFactor
}

// currentFactor returns the run time factor of a run that starts now.
func (s *server) currentFactor(inFlight int) float64 {
	factor := s.baseFactor() * s.phaseFactor
	if s.service.Knee > 0 && float64(inFlight) > kneeUtilization*float64(s.service.Slots) {
		factor *= s.service.Knee
	}
	return factor
}

// receive handles a call that arrives at the server.
func (s *server) receive(a *attempt) {
	if s.down {
		a.end(s.run, schema.Reason_REASON_CONNECT)
		return
	}
	if s.run.policy.useTargets {
		a.Expected = time.Duration(float64(a.request.kind.Work) * s.baseFactor())
	}
	s.apply(s.controller.Offer(s.run.now, &a.Call))
	s.scheduleTick()
}

// scheduleTick schedules the next tick of the controller while calls are queued.
func (s *server) scheduleTick() {
	if s.tickScheduled || s.controller.Queued() == 0 {
		return
	}
	s.tickScheduled = true
	s.run.schedule(tickInterval, func() {
		s.tickScheduled = false
		s.apply(s.controller.Tick(s.run.now))
		s.scheduleTick()
	})
}

// apply executes the decisions of the controller.
func (s *server) apply(events []admit.Event) {
	decided := append([]admit.Event(nil), events...)
	for _, e := range decided {
		a := e.Call.Owner.(*attempt)
		if e.Reason != schema.Reason_REASON_NONE {
			a.end(s.run, e.Reason)
			continue
		}
		s.begin(a)
	}
}

// begin starts a run. If the request has a nested call, the run ends after both its own work and the nested call are
// finished.
func (s *server) begin(a *attempt) {
	s.running[a] = struct{}{}
	s.controller.MarkSent(s.run.now, &a.Call)
	if s.shed > 0 && s.random.Float64() < s.shed {
		s.run.schedule(networkDelay, func() { s.finish(a, schema.Reason_REASON_SHED) })
		return
	}
	k := a.request.kind
	work := time.Duration(float64(k.Work) * a.request.size.workFactor * s.currentFactor(a.InFlight()))
	if k.Calls == "" || a.request.size.callDraw >= k.CallShare {
		s.run.schedule(work, func() { s.finish(a, schema.Reason_REASON_NONE) })
		return
	}
	startedAt := s.run.now
	nested := s.run.newRequest(s.run.kinds[k.Calls], requestSize{workFactor: a.request.size.nestedWorkFactor, callDraw: 1}, func(answered bool) {
		reason := schema.Reason_REASON_NONE
		if !answered {
			reason = schema.Reason_REASON_CONNECTION_LOST
		}
		s.run.schedule(max(0, work-s.run.now.Sub(startedAt)), func() { s.finish(a, reason) })
	})
	nested.send(s.run)
}

// finish ends a run. It does nothing if the server went down in the meantime.
func (s *server) finish(a *attempt, reason schema.Reason) {
	if _, ok := s.running[a]; !ok {
		return
	}
	delete(s.running, a)
	events := s.controller.Finish(s.run.now, &a.Call)
	s.apply(events)
	a.end(s.run, reason)
}

// stop takes the server down. Its running calls are lost and its queued calls are rejected.
func (s *server) stop() {
	s.down = true
	lost := s.running
	s.running = make(map[*attempt]struct{})
	for _, a := range s.run.sortedAttempts(lost) {
		s.controller.Finish(s.run.now, &a.Call)
		a.end(s.run, schema.Reason_REASON_CONNECTION_LOST)
	}
	s.apply(s.controller.Close(schema.Reason_REASON_CONNECT))
}

// restart starts the server in the cold state.
func (s *server) restart() {
	s.down = false
	s.controller.Open()
	s.coldUntil = s.run.now.Add(s.service.ColdDuration)
	s.controller.SetRate(float64(s.service.ColdRate))
	s.run.schedule(s.service.ColdDuration, func() {
		s.controller.SetRate(0)
		s.apply(s.controller.Tick(s.run.now))
	})
}

// load returns the number of running and queued calls relative to the number of slots.
func (s *server) load() float64 {
	return float64(s.controller.InFlight()+s.controller.Queued()) / float64(s.service.Slots)
}

// canStartNow reports whether a call would start immediately.
func (s *server) canStartNow() bool {
	rate, left := s.controller.StartsLeft(s.run.now)
	return !s.down && s.phaseFactor <= 1 && (rate == 0 || left > 0) &&
		s.controller.InFlight()+s.controller.Queued() < int(kneeUtilization*float64(s.service.Slots))
}
