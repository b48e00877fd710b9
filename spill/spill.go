// Package spill decides whether a call leaves the failure domain of its router. It has no goroutines, sockets or clock: the
// caller passes what is known of the domains and of the call. See docs/design/leaving-the-domain.md.
package spill

import (
	"time"

	"verbenareel/core"
)

const (
	// targetMargin is the share of the time left that must remain unused for a call to count as in time at home. Work varies
	// by half from call to call and a server may slow down after its last report, so the forecast must bear a factor of 1.7.
	targetMargin = 0.4
	// minGainShare is the share of the target latency that leaving must gain. A caller does not notice less, and the
	// forecasts are not more exact.
	minGainShare = 0.05
	// requestWindow is the number of bytes of a request body that are in transit at a time, so that each further window
	// costs a round trip. It is the window of the body transfers of package io.
	requestWindow = 16 << 10
	// answerWindow is the same for an answer, on a TCP connection in use.
	answerWindow = 64 << 10
	// minEase is the share of the calls without room at home that leaves although no domain seems to have room. They find the
	// room that the sums do not show.
	minEase = 0.1
)

// Side is the best instance for a call on one side of the boundary of the failure domain.
type Side struct {
	// Exists is false if no instance may get the call.
	Exists bool
	// Finish is the expected time until the call is finished, without the network.
	Finish time.Duration
}

// Call is what the decision needs to know of a call. Target must be positive.
type Call struct {
	Target       time.Duration
	Left         time.Duration
	RequestBytes int
	AnswerBytes  int
}

// Decide reports whether a call leaves the failure domain, and why. roundTrip is the time to the other instance and back. ease
// is the chance that a call that leaves finds room, from Balance, and draw a random number in [0, 1): if the room of the other
// domains is less than what does not fit at home, only that share of the calls leaves, since more would take the place of
// others.
func Decide(call Call, home, away Side, roundTrip time.Duration, ease, draw float64) core.LeaveReason {
	switch {
	case !away.Exists:
		return ""
	case !home.Exists:
		return core.LeaveNoInstance
	case InTime(call, home), draw >= max(ease, minEase):
		return ""
	}
	gain := home.Finish - away.Finish - crossing(call, roundTrip)
	if float64(gain) > minGainShare*float64(call.Target) {
		return core.LeaveLate
	}
	return ""
}

// InTime reports whether a call is expected to be in time at home, with a margin, so that it stays.
func InTime(call Call, home Side) bool {
	return home.Exists && float64(home.Finish) <= float64(call.Left)*(1-targetMargin)
}

// crossing returns the time that a call to another domain spends on the network.
func crossing(call Call, roundTrip time.Duration) time.Duration {
	rounds := 1 + call.RequestBytes/requestWindow + call.AnswerBytes/answerWindow
	return time.Duration(rounds) * roundTrip
}
