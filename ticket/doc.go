// Package ticket lets a call that may not repeat run at most once. It does no I/O.
//
// A ticket names the process that alone may run a call. Store is the table of that process, Transfer is the router's side
// of the protocol that moves a refused call to another process.
//
// # States
//
//	issued -> running -> done
//	issued -> running -> refused -> superseded | closed
//	issued -> closed
//
// Begin moves a ticket from issued to running, Finish to done or refused, Supersede to superseded or closed. A ticket
// that is refused stays refused with the same reason until a router supersedes or closes it.
//
// # Why a request runs at most once
//
// One ticket runs at most once in one process: only Begin starts a run, only on an entry that is issued; only Issue
// makes such an entry, once for each serial; and no transition leads back to issued. This needs no clock: a ticket
// without an entry never runs, whether the entry expired, was evicted, or belonged to an earlier process. The MAC key
// exists in one process only, so no other process accepts the ticket. The incarnation must be random, since a second
// process with the same one would answer NotRun(ticket-invalid) to tickets of the first.
//
// A chain of tickets runs at most once: a router runs a successor only after the executor of the refused ticket
// recorded it, the executor records one successor only, and a refused ticket doesn't run. So at each time only the end
// of the chain may run or have run, and all routers agree on the chain.
//
// NotRun is final: a router returns it only after the end of the chain was recorded as closed, from where no transition
// leads out, or for a ticket that can't run this request at all: its MAC is wrong, another request has used it, or it is
// closed.
//
// # Expiry
//
// Once an entry is gone, its ticket is answered Unknown(ticket-expired) and never runs, so no order of late duplicates
// lets a request run twice:
//
//   - issued: the ticket never ran and never will.
//   - done: the outcome is lost; a late duplicate is Unknown.
//   - refused: a late Supersede is answered UNKNOWN, so the router returns Unknown and runs no successor.
//   - superseded: a late duplicate is Unknown instead of being redirected. The successor may still run, but for the
//     routers that learnt of it in time, and at most once.
//   - closed: a late duplicate is Unknown instead of NotRun. The chain has no other end, so nothing runs.
//
// An entry that is running never expires; whoever claims a ticket must call Finish.
//
// # What a guard has to do
//
// A guard calls Begin before it refuses a call with a ticket, and Finish with the refusal. If it refused without Begin,
// the ticket would not be bound to the request; a caller that used one ticket for two requests could then be answered
// NotRun(ticket-mismatch) for the first request while a router, which takes the recorded refusal of the second for that
// of the first, transfers and runs it.
package ticket
