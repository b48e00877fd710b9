package core

import "time"

// Need is what a call needs, for a Chooser that decides whether the call leaves the failure domain of the router.
type Need struct {
	// Target is the target latency of the rule, and Left what remains of it; both are 0 if the rule has none.
	Target time.Duration
	Left   time.Duration
	// Work is the usual service time of the rule, or 0 if it is not known.
	Work time.Duration
	// RequestBytes is the size of the request body, and AnswerBytes the usual size of the answers of the rule.
	RequestBytes int
	AnswerBytes  int
	// Declined reports whether the candidate is excluded only because it could not start the call at once, so that the call
	// may still wait there. It may be nil.
	Declined func(index int) bool
}

// LeaveReason says why a call leaves the failure domain of the router. It is empty for a call that stays.
type LeaveReason string

// The reasons to leave the failure domain.
const (
	// LeaveCost means that another domain was cheaper by the constant cost of leaving.
	LeaveCost LeaveReason = "cost"
	// LeaveNoInstance means that no instance of the router's domain may get the call.
	LeaveNoInstance LeaveReason = "no-instance"
	// LeaveLate means that the call would be late in the router's domain, and is expected to finish earlier in another.
	LeaveLate LeaveReason = "late"
)

// Choice is an instance that was chosen for a call.
type Choice struct {
	// Index is the index of the candidate, or -1.
	Index int
	// Queue reports that the call is to wait at the candidate, which has declined to start it at once.
	Queue bool
	// Leave is the reason for which the call leaves the router's failure domain.
	Leave LeaveReason
}

// NeedChooser is a Chooser that takes into account what the call needs.
type NeedChooser interface {
	Chooser
	// ChooseFor is Choose for a call with the given needs.
	ChooseFor(now time.Time, need Need, candidates []Candidate, exclude func(index int) bool) Choice
}
