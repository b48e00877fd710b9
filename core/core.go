// Package core defines the interfaces and types shared by the components of a node. It performs no I/O.
//
// The implementations are in sibling packages: limit implements Limiter, picker implements Chooser, ticket implements
// OutcomeStore, guard implements Executor, io implements Transport and Backend, and native implements Platform.
package core

import (
	"context"
	"time"

	"verbenareel/schema"
)

// MaxDepth is the maximum nesting depth of calls.
const MaxDepth = 8

// Clock provides the current time and timers. The clockwork clocks implement it.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the current time after d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// Limiter computes the concurrency limit of one backend server.
// Its methods are called with the owner's lock held, and now never decreases between calls.
type Limiter interface {
	// Limit returns the maximum number of calls that may be in flight at now.
	Limit(now time.Time) int
	// Observe records a completed call: its service time, the calls in flight when it started, and whether it failed.
	Observe(now time.Time, sample Sample)
	// ResetToCold resets the limit to the cold limit. It is called when the backend server restarts or reports a cold state.
	ResetToCold(now time.Time)
	// SetReportedLimit caps the limit at limit until the next load report; 0 removes the cap.
	SetReportedLimit(now time.Time, limit int)
}

// Sample is the measurement of one completed call.
type Sample struct {
	Latency  time.Duration
	InFlight int
	Failed   bool
}

// Candidate is an instance that a Chooser can select, with the router's view of its load.
type Candidate interface {
	Instance() *Instance
	// Load returns the last load report and the time it was received.
	Load() (LoadReport, time.Time)
	// InFlight returns the number of calls from this router to the instance that have not been answered yet.
	InFlight() int
	// Delay returns the network round-trip time to the instance.
	Delay() time.Duration
}

// Chooser selects an instance for a call.
type Chooser interface {
	// Choose returns the index of the selected candidate, or -1 if exclude rejects all of them. It is safe for
	// concurrent use and does not allocate.
	Choose(now time.Time, candidates []Candidate, exclude func(index int) bool) int
}

// Executor admits and runs calls on one backend server. It is the interface of a guard.
type Executor interface {
	// Execute runs a call or refuses it. It returns when the outcome is known or ctx is done.
	Execute(ctx context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply
	// Cancel removes an attempt that has not started, or signals cancellation of one that has.
	Cancel(ctx context.Context, request *schema.CancelRequest) *schema.CancelReply
	// Issue returns a ticket that only this process accepts.
	Issue(ctx context.Context, request *schema.IssueRequest) *schema.IssueReply
	// Supersede records the successor of a refused ticket, or closes the ticket.
	Supersede(ctx context.Context, request *schema.SupersedeRequest) *schema.SupersedeReply
}

// BodyGate is implemented by an Executor that may refuse a call before its body is transferred.
type BodyGate interface {
	// RefuseBody returns the reason for which the instance would refuse a call now, or REASON_NONE.
	RefuseBody(instance string, eager bool) schema.Reason
}

// Transport sends requests to the executors of other instances. All errors are of type *TransportError.
type Transport interface {
	Execute(ctx context.Context, to *Instance, request *schema.ExecuteRequest) (*schema.ExecuteReply, error)
	Cancel(ctx context.Context, to *Instance, request *schema.CancelRequest) (*schema.CancelReply, error)
	Issue(ctx context.Context, to *Instance, request *schema.IssueRequest) (*schema.IssueReply, error)
	Supersede(ctx context.Context, to *Instance, request *schema.SupersedeRequest) (*schema.SupersedeReply, error)
}

// Peer handles the gossip requests of other nodes.
type Peer interface {
	Sync(request *schema.SyncRequest) *schema.SyncReply
	Buckets(request *schema.BucketsRequest) *schema.BucketsReply
	Manifest(request *schema.ManifestRequest) *schema.ManifestReply
	Sections(request *schema.SectionsRequest) *schema.SectionsReply
	Suspects(request *schema.SuspectsRequest) *schema.SuspectsReply
}

// Suspects is the part of the suspect table that gossip replicates: the fingerprints of requests that were in flight when
// a backend server crashed. It is safe for concurrent use.
type Suspects interface {
	// Merge adds the records of another node and returns the ones that changed the table.
	Merge(now time.Time, records []*schema.Suspect) []*schema.Suspect
	// Records returns at most max records.
	Records(now time.Time, max int) []*schema.Suspect
}

// PeerTransport sends requests to the Peer of the node at an RPC address. All errors are of type *TransportError.
type PeerTransport interface {
	Sync(ctx context.Context, address string, request *schema.SyncRequest) (*schema.SyncReply, error)
	Buckets(ctx context.Context, address string, request *schema.BucketsRequest) (*schema.BucketsReply, error)
	Manifest(ctx context.Context, address string, request *schema.ManifestRequest) (*schema.ManifestReply, error)
	Sections(ctx context.Context, address string, request *schema.SectionsRequest) (*schema.SectionsReply, error)
	Suspects(ctx context.Context, address string, request *schema.SuspectsRequest) (*schema.SuspectsReply, error)
}

// Request is a call as the guard sends it to its backend server.
type Request struct {
	Method  string
	URI     string
	Headers []*schema.Header
	Body    []byte
	Depth   uint32
	// Deadline is the time at which the call expires. The backend server receives the remaining time.
	Deadline time.Time
	// Instance is the name of the instance that must run the call. Caller is the service of the node that received the
	// call first. Customer is the customer whose API key the call carried. ID is the ID of the caller's request. Each of
	// them may be empty.
	Instance string
	Caller   string
	Customer string
	ID       string
	// AtMostOnce reports that the call must not be sent a second time.
	AtMostOnce bool
	// BeforeSend is called right before the first byte is written. The request is not sent if it returns a reason, which
	// is then the reason of the result. It may be nil.
	BeforeSend func() schema.Reason
	// OnSent is called after the first bytes have been written to the connection. It may be nil.
	OnSent func()
}

// Result is the result of sending a Request to the backend server.
type Result struct {
	// Written reports whether any byte of the request may have reached the backend server.
	Written bool
	// Code, Headers and Body hold the complete response; Code is 0 if there is none.
	Code    int
	Headers []*schema.Header
	Body    []byte
	// Reason is the reason why there is no complete response: CONNECT, CONNECTION_LOST, TRUNCATED, GARBLED, DEADLINE,
	// TOO_LARGE, WRONG_INSTANCE or SHED.
	Reason schema.Reason
	// Report is the load report of the backend server, if the response contained one.
	Report *ServerReport
	// ConnectionReset reports that the backend server closed or reset the connection before it sent a response.
	ConnectionReset bool
	// ConnectionEnded reports that the backend server closed or reset the connection before its response was complete:
	// before the response, within it, or after the request was cancelled.
	ConnectionEnded bool
}

// Backend sends calls to the backend server of a guard.
type Backend interface {
	// Send writes the request, unless its deadline has passed before the first byte is written, and reads the complete
	// response. It returns when the response is complete, the connection is closed, or the time limit for a response has
	// passed. When ctx is done it signals cancellation to the server and continues to read, because the call still
	// occupies the server.
	Send(ctx context.Context, request *Request) *Result
	// Probe requests the load report of the backend server.
	Probe(ctx context.Context) (*ServerReport, error)
	// Connect checks that a new connection can be opened. The error wraps syscall.ECONNREFUSED if the server refuses it.
	Connect(ctx context.Context) error
	// HasOpenIdle reports whether an idle connection is still open, so that the server process that accepted it has not
	// ended.
	HasOpenIdle() bool
	// Configure sets the maximum number of open connections, the maximum body size in bytes, and the probe path. An empty
	// path selects the default of the wire format.
	Configure(connections, maxBody int, probePath string)
}

// Snapshots provides the current configuration and members.
type Snapshots interface {
	// Snapshot returns the latest snapshot, or nil if no configuration has been accepted yet.
	Snapshot() *Snapshot
}

// Confirmer is implemented by Snapshots that know when the document in force was last known to be the current one.
type Confirmer interface {
	// ConfirmedAt returns the last time at which the platform was known to hold no later document, or the zero time if that is not
	// known or the document may lack what was accepted before. It is safe for concurrent use.
	ConfirmedAt() time.Time
}

// Platform reads the configuration service and the instance list. It never writes to them.
type Platform interface {
	// Document blocks until the revision of the document is greater than after or until wait has elapsed, and returns the
	// current document.
	Document(ctx context.Context, after uint64, wait time.Duration) (revision uint64, text []byte, err error)
	// Members returns the live and leaving instances.
	Members(ctx context.Context) ([]*schema.Member, error)
}

// ChangeChecker is a Platform that tells whether its document has changed, without transferring it.
type ChangeChecker interface {
	// CheckDocument returns about how many bytes the changes since a revision of the document have, or 0 if there are none. It
	// returns 1 if that can be told only by a read of the document.
	CheckDocument(ctx context.Context, revision uint64) (changed int, err error)
}

// EntryReader is a Platform that can read a single entry of its list.
type EntryReader interface {
	// Member returns the current entry of an instance in the list, or nil if the list does not name it.
	Member(ctx context.Context, instance string) (*schema.Member, error)
	// WatchMember returns the current entry of an instance as soon as it differs from the one that was last returned for the
	// instance, or after wait.
	WatchMember(ctx context.Context, instance string, wait time.Duration) (*schema.Member, error)
}

// Adapter is a Platform with its own protocol, document format and wire format. Its Members may return a list that is seconds
// old, which costs the platform less.
type Adapter interface {
	Platform
	EntryReader
	// Wire returns the wire format used by callers and backend servers.
	Wire() *WireFormat
	// Parse parses a text returned by Document and fills in the defaults, or returns the errors in the text. The result
	// depends only on the text and the settings.
	Parse(text []byte) (*schema.Document, error)
	// Configure applies changed settings. Changed service defaults take effect with the next document.
	Configure(settings *schema.Settings)
	// Close closes the connections to the platform.
	Close()
}

// OutcomeStore is the ticket table of one guard. It ensures that each ticket runs at most once, and stores its outcome.
// Its methods are called with the owner's lock held.
type OutcomeStore interface {
	// Issue returns a new ticket, or REASON_TICKETS_FULL.
	Issue(now time.Time, service string) (*schema.Ticket, schema.Reason)
	// Begin claims the ticket for running the request with the given fingerprint.
	Begin(now time.Time, ticket *schema.Ticket, fingerprint uint64) Claim
	// Finish records the outcome of a claimed ticket and wakes all waiters. A reply with STATUS_NOT_RUN marks the ticket
	// as refused: it never runs, and it can be superseded or closed.
	Finish(now time.Time, ticket *schema.Ticket, reply *schema.ExecuteReply)
	// Supersede records the successor of a refused ticket, or closes the ticket if successor is nil. Only the first
	// request takes effect.
	Supersede(now time.Time, ticket, successor *schema.Ticket) *schema.SupersedeReply
	// Expire removes expired entries.
	Expire(now time.Time)
	// Configure sets how long a ticket stays valid and how long its outcome is stored. It applies to tickets issued and
	// outcomes recorded from now on.
	Configure(ticketLife, outcomeLife time.Duration)
}

// ClaimState is the action that the caller of OutcomeStore.Begin must take.
type ClaimState int

const (
	// ClaimRun means that the caller must run the call and then call Finish.
	ClaimRun ClaimState = iota
	// ClaimWait means that another goroutine is running the call. The caller waits until Wait is closed and then calls
	// Begin again.
	ClaimWait
	// ClaimReply means that the reply is already known.
	ClaimReply
)

// Claim is the result of OutcomeStore.Begin.
type Claim struct {
	State ClaimState
	Wait  <-chan struct{}
	// Reply is set if State is ClaimReply: the stored outcome, a refusal, or superseded_by.
	Reply *schema.ExecuteReply
}

// Handler handles the calls of callers. The router implements it.
type Handler interface {
	// Handle returns the outcome of the call and never returns nil. An answered reply and a reply with
	// REASON_TICKET_REQUIRED contain the ticket for the caller's next call in next_ticket.
	Handle(ctx context.Context, call *Call) *schema.ExecuteReply
}

// HeadGate is implemented by a Handler that knows from the header of a call whether it needs the body.
type HeadGate interface {
	// NeedsBody reports whether Handle may run the call. If it is false, Handle refuses the call whatever its body.
	NeedsBody(call *Call) bool
}

// Call is a request from a caller or a nested call from the node's own backend server.
type Call struct {
	Method string
	// URI is the path and query. Path is the path without the query, which the routing rules match.
	URI     string
	Path    string
	Headers []*schema.Header
	Body    []byte
	// Timeout is the timeout requested by the caller; 0 selects the timeout of the service.
	Timeout time.Duration
	// Depth is the nesting depth of the caller: 0 for a call from outside.
	Depth uint32
	// Ticket is the decoded ticket, or nil.
	Ticket *schema.Ticket
	// Host is the requested host without the port.
	Host string
	// ID is the request ID, or empty.
	ID string
	// KeyHash is the HashKey of the caller's API key, or empty if the call carries none.
	KeyHash string
	// BodyUnread reports that the body was not read, since no rule matched the call. It must not run.
	BodyUnread bool
}

// Quota limits the calls of each customer, summed over all nodes. It is safe for concurrent use.
type Quota interface {
	// Take charges one call to the customer and reports whether the quota allows it. It may wait a few milliseconds for
	// another node. If the call is refused, retryAfter is the time until the quota is expected to allow one.
	Take(ctx context.Context, customer string) (allowed bool, retryAfter time.Duration)
	// Refund returns the charge for a call that did not run.
	Refund(customer string)
}
