package ticket

import (
	"errors"

	"verbenareel/core"
	"verbenareel/schema"
)

// MaxChain is the maximum number of tickets in a chain of transfers.
const MaxChain = 4

// maxAttempts limits the sends of a message whose reply is lost, the executions of a ticket that is active after a
// refusal, and the requests for a successor. The first retry covers a silent connection, the second another lost reply.
const maxAttempts = 3

// Operation is the message that the router sends next.
type Operation int

// Operations of a Step.
const (
	// Execute sends the call with Ticket to the instance of Ticket.
	Execute Operation = iota
	// Issue requests a ticket from an instance that is not in Tried.
	Issue
	// Supersede asks the executor of Ticket to record Successor.
	Supersede
	// Close asks the executor of Ticket to close it, by a SupersedeRequest without a successor.
	Close
	// Done ends the transfer with Outcome.
	Done
)

// Step is the next message of a Transfer, or its end.
type Step struct {
	Operation Operation
	Ticket    *schema.Ticket
	Successor *schema.Ticket
	// Tried lists the instances of all tickets in the chain. It is set for Issue.
	Tried []string
	// Outcome is the reply for the caller. It is set for Done.
	Outcome *schema.ExecuteReply
}

// Transfer is the router's side of the protocol for one call with a ticket. The router sends the message that Next
// returns and passes the reply or the error to the method for that message, until Next returns Done. A Transfer does no
// I/O, uses no clock, and ends after a bounded number of steps. It is not safe for concurrent use.
//
// A Transfer moves a refused call to another instance and follows successors recorded by other routers. It answers
// NotRun only if the end of the chain is closed or was never a ticket of its executor.
type Transfer struct {
	maxChain int
	current  *schema.Ticket
	tried    []string
	step     Step
	// attempts counts the sends of the current message, and executions the replies to executions of the current ticket.
	attempts      int
	executions    int
	issueFailures int
	stopped       bool
	// refusal is the last reply of an executor that didn't run the call, or nil.
	refusal *schema.ExecuteReply
	// stopReason is the reason of the outcome if no executor gave one.
	stopReason schema.Reason
}

// NewTransfer returns a Transfer for a call with the caller's ticket and chains of at most maxChain tickets.
func NewTransfer(first *schema.Ticket, maxChain int) *Transfer {
	t := &Transfer{maxChain: maxChain, stopReason: schema.Reason_REASON_CANCELLED}
	t.follow(first)
	return t
}

// Next returns the next step. It returns the same step until a reply or an error is passed in.
func (t *Transfer) Next() Step { return t.step }

// Chain returns the number of tickets in the chain so far.
func (t *Transfer) Chain() int { return len(t.tried) }

// Stop ends the transfer early because the router has no time or budget left. The chain is closed, and the outcome is
// NotRun only if its end confirms that. The reason is used if no executor gave one. A pending Execute should be
// cancelled before the Close is sent, since an executor doesn't close a call that is queued.
func (t *Transfer) Stop(reason schema.Reason) {
	if t.step.Operation == Done || t.stopped {
		return
	}
	t.stopReason = reason
	t.stop()
}

// OnExecute handles the reply to Execute, or the error. An answer that arrives after Stop still ends the transfer.
func (t *Transfer) OnExecute(reply *schema.ExecuteReply, err error) {
	late := t.stopped && err == nil && reply.GetStatus() == schema.Status_STATUS_ANSWERED
	if t.step.Operation != Execute && (!late || t.step.Operation == Done) {
		return
	}
	if err != nil {
		t.onExecuteError(err)
		return
	}
	t.executions++
	if reply.GetStatus() != schema.Status_STATUS_NOT_RUN {
		t.finish(withKnownStatus(reply))
		return
	}
	if reply.HasSupersededBy() {
		t.follow(reply.GetSupersededBy())
		return
	}
	if isFinalRefusal(reply.GetReason()) {
		t.finish(reply)
		return
	}
	t.refusal = reply
	t.onRefusal(reply.GetReason())
}

// OnIssue handles the reply to Issue, or the error.
func (t *Transfer) OnIssue(reply *schema.IssueReply, err error) {
	if t.step.Operation != Issue {
		return
	}
	if err == nil && reply.HasTicket() {
		t.setStep(Step{Operation: Supersede, Ticket: t.current, Successor: reply.GetTicket()})
		return
	}
	t.issueFailures++
	if t.issueFailures >= maxAttempts {
		t.close()
	}
}

// OnSupersede handles the reply to Supersede or Close, or the error.
func (t *Transfer) OnSupersede(reply *schema.SupersedeReply, err error) {
	if t.step.Operation != Supersede && t.step.Operation != Close {
		return
	}
	if err != nil {
		t.onSupersedeError(err)
		return
	}
	switch reply.GetState() {
	case schema.SupersedeState_SUPERSEDE_STATE_SUPERSEDED:
		t.follow(reply.GetSuccessor())
	case schema.SupersedeState_SUPERSEDE_STATE_CLOSED:
		t.finish(t.notRun())
	case schema.SupersedeState_SUPERSEDE_STATE_ACTIVE:
		t.onActive()
	default:
		t.finish(core.Unknown(schema.Reason_REASON_TICKET_EXPIRED))
	}
}

func (t *Transfer) onExecuteError(err error) {
	reason := errorReason(err)
	switch {
	case t.retryStep(reason):
	case reason == schema.Reason_REASON_UNREACHABLE:
		t.finish(core.Unknown(reason))
	default:
		// The call may have been lost before it reached the executor; closing its ticket then gives a definite outcome.
		t.stopReason = reason
		t.stop()
	}
}

func (t *Transfer) onSupersedeError(err error) {
	reason := errorReason(err)
	if t.retryStep(reason) {
		return
	}
	t.finish(core.Unknown(reason))
}

// onRefusal transfers the call to another instance if one may run it.
func (t *Transfer) onRefusal(reason schema.Reason) {
	if t.stopped || !transferable(reason) || len(t.tried) >= t.maxChain {
		t.close()
		return
	}
	t.issueFailures = 0
	t.setStep(Step{Operation: Issue, Tried: t.tried})
}

// onActive handles a ticket that is running, has run, or was refused without a record. Another Execute tells which.
func (t *Transfer) onActive() {
	switch {
	case t.stopped:
		t.finish(core.Unknown(t.stopReason))
	case t.executions >= maxAttempts:
		t.stopReason = schema.Reason_REASON_CANCELLED
		t.stop()
	default:
		t.setStep(Step{Operation: Execute, Ticket: t.current})
	}
}

// follow continues with the ticket at the end of the chain.
func (t *Transfer) follow(ticket *schema.Ticket) {
	if ticket == nil {
		t.finish(core.Unknown(schema.Reason_REASON_MALFORMED))
		return
	}
	if len(t.tried) > t.maxChain {
		t.finish(core.Unknown(schema.Reason_REASON_CHAIN))
		return
	}
	t.current = ticket
	t.tried = append(t.tried, ticket.GetInstance())
	t.executions = 0
	if t.stopped || len(t.tried) > t.maxChain {
		t.close()
		return
	}
	t.setStep(Step{Operation: Execute, Ticket: ticket})
}

func (t *Transfer) stop() {
	t.stopped = true
	t.close()
}

func (t *Transfer) close() { t.setStep(Step{Operation: Close, Ticket: t.current}) }

func (t *Transfer) finish(outcome *schema.ExecuteReply) {
	t.setStep(Step{Operation: Done, Outcome: outcome})
}

func (t *Transfer) setStep(step Step) {
	t.step = step
	t.attempts = 1
}

// retryStep keeps the current step and returns true if its message may be sent again.
func (t *Transfer) retryStep(reason schema.Reason) bool {
	lost := reason == schema.Reason_REASON_NODE_LOST || reason == schema.Reason_REASON_CONNECTION_SILENT
	if !lost || t.attempts >= maxAttempts {
		return false
	}
	t.attempts++
	return true
}

// notRun returns the outcome of a chain whose end is closed.
func (t *Transfer) notRun() *schema.ExecuteReply {
	if t.refusal != nil {
		return t.refusal
	}
	if t.stopped {
		return core.NotRun(t.stopReason)
	}
	return core.NotRun(schema.Reason_REASON_TICKET_CLOSED)
}

// withKnownStatus returns the reply, or Unknown if it has no status.
func withKnownStatus(reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetStatus() == schema.Status_STATUS_UNSPECIFIED {
		return core.Unknown(schema.Reason_REASON_MALFORMED)
	}
	return reply
}

// isFinalRefusal reports whether the refused ticket can never run this request, so that it needs no Close.
func isFinalRefusal(reason schema.Reason) bool {
	switch reason {
	case schema.Reason_REASON_TICKET_INVALID,
		schema.Reason_REASON_TICKET_MISMATCH,
		schema.Reason_REASON_TICKET_CLOSED,
		schema.Reason_REASON_TICKET_REQUIRED:
		return true
	}
	return false
}

// transferable reports whether another instance may run a call that one instance refused.
func transferable(reason schema.Reason) bool {
	switch reason {
	case schema.Reason_REASON_DEADLINE,
		schema.Reason_REASON_CANCELLED,
		schema.Reason_REASON_POISONED,
		schema.Reason_REASON_TOO_LARGE,
		schema.Reason_REASON_MALFORMED,
		schema.Reason_REASON_DEPTH,
		schema.Reason_REASON_NO_RULE:
		return false
	}
	return true
}

func errorReason(err error) schema.Reason {
	var failure *core.TransportError
	if errors.As(err, &failure) {
		return failure.Reason()
	}
	return schema.Reason_REASON_NODE_LOST
}
