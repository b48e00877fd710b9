// Package ticket makes a call that must not be repeated run at most once. It does no I/O.
//
// A ticket names the only process that may run a call. Store is the ticket store of that process. Transfer is the
// router's side of the protocol that moves a refused call to another process.
//
// # States
//
//	issued -> running -> done
//	issued -> running -> refused -> superseded | closed
//	issued -> closed
//
// Begin moves a ticket from issued to running, Finish to done or refused, and Supersede to superseded or closed. A
// refused ticket stays refused with the same reason until a router supersedes or closes it.
//
// # Why a request runs at most once
//
// A ticket runs at most once in its process: only Begin starts a run, and only on an issued entry; only Issue creates
// such an entry, once for each serial; and no transition leads back to issued. This needs no clock: a ticket without an
// entry never runs, whether the entry expired, was evicted, or belonged to an earlier process. The MAC key exists in one
// process only, so no other process accepts the ticket. The incarnation must be random, since a second process with the
// same incarnation would answer NotRun(ticket-invalid) to tickets of the first.
//
// A chain of tickets runs at most once: a router runs a successor only after the executor of the refused ticket has
// recorded it, an executor records only one successor, and a refused ticket doesn't run. So at any time only the end of
// the chain may run or have run, and all routers agree on the chain.
//
// NotRun is final. A router returns it only after the end of the chain was recorded as closed, a state that no
// transition leaves, or for a ticket that can't run this request at all, because its MAC is wrong, another request has
// used it, or it is closed.
//
// # Expiry
//
// After an entry is removed, its ticket is answered Unknown(ticket-expired) and never runs. Therefore no order of late
// duplicates makes a request run twice:
//
//   - issued: the ticket never ran and never will.
//   - done: the outcome is lost; a late duplicate is answered Unknown.
//   - refused: a late Supersede is answered UNKNOWN, so the router returns Unknown and runs no successor.
//   - superseded: a late duplicate is answered Unknown instead of being redirected. The successor may still run, at most
//     once, through routers that learned of it in time.
//   - closed: a late duplicate is answered Unknown instead of NotRun. The chain has no other end, so nothing runs.
//
// A running entry never expires, so whoever claims a ticket must call Finish.
//
// # Requirements on a guard
//
// A guard must call Begin before it refuses a call with a ticket, and pass the refusal to Finish. If it refused without
// Begin, the ticket would not be bound to the request. If a caller then used one ticket for two requests, the first
// could be answered NotRun(ticket-mismatch), while a router takes the recorded refusal of the second request for that of
// the first, transfers the first and runs it.
package ticket
