package ticket

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

// Default values of the options.
const (
	// DefaultCapacity is the maximum number of entries. An entry takes 116 bytes without an answer or a successor.
	DefaultCapacity = 65536
	// DefaultAnswerBytes is the maximum total size of the retained answers.
	DefaultAnswerBytes = 16 << 20
	// DefaultTicketLife is the time within which a ticket must be used.
	DefaultTicketLife = 60 * time.Second
	// DefaultOutcomeLife is how long the outcome of a ticket is retained.
	DefaultOutcomeLife = 5 * time.Minute
)

const keyBytes = 32

// state is the state of an entry, as described in the package documentation.
type state uint8

const (
	issued state = iota
	running
	done
	refused
	superseded
	closed
)

// entry is the record of one ticket.
type entry struct {
	serial      uint64
	fingerprint uint64
	// expires is the time of removal, relative to the start of the process; it is unused while the entry is running.
	expires time.Duration
	// wait is set while the entry is running and another caller waits for it.
	wait      chan struct{}
	answer    *answer
	successor *schema.Ticket
	previous  *entry
	next      *entry
	reason    schema.Reason
	state     state
	retried   bool
}

// answer is the retained outcome of a run.
type answer struct {
	reply *schema.ExecuteReply
	size  int
}

// Store is the ticket store of one process. It implements core.OutcomeStore.
type Store struct {
	instance    string
	incarnation uint64
	start       time.Time
	capacity    int
	answerLimit int
	ticketLife  time.Duration
	outcomeLife time.Duration
	key         []byte

	signer  *signer
	now     time.Duration
	serial  uint64
	entries map[uint64]*entry
	// The lists hold the entries in the order of their expiry; refusedEntries also holds the superseded ones. Running
	// entries are in no list.
	issuedEntries  list
	doneEntries    list
	refusedEntries list
	closedEntries  list
	// oldestAnswer is the first entry in doneEntries that may retain an answer.
	oldestAnswer *entry
	answerBytes  int
}

var _ core.OutcomeStore = (*Store)(nil)

// Option overrides a default of New.
type Option func(*Store)

// WithCapacity sets the maximum number of entries.
func WithCapacity(entries int) Option { return func(s *Store) { s.capacity = entries } }

// WithAnswerBytes sets the maximum total size of the retained answers.
func WithAnswerBytes(size int) Option { return func(s *Store) { s.answerLimit = size } }

// WithOutcomeLife sets how long the outcome of a ticket is retained.
func WithOutcomeLife(life time.Duration) Option { return func(s *Store) { s.outcomeLife = life } }

// WithKey sets the MAC key, for tests. Two processes must never use the same key.
func WithKey(key []byte) Option { return func(s *Store) { s.key = bytes.Clone(key) } }

// New returns an empty store for the process that instance and incarnation identify and that started at start.
func New(instance string, incarnation uint64, start time.Time, opts ...Option) *Store {
	s := &Store{
		instance:    instance,
		incarnation: incarnation,
		start:       start,
		capacity:    DefaultCapacity,
		answerLimit: DefaultAnswerBytes,
		ticketLife:  DefaultTicketLife,
		outcomeLife: DefaultOutcomeLife,
		entries:     make(map[uint64]*entry),
	}
	for _, o := range opts {
		o(s)
	}
	if s.key == nil {
		s.key = make([]byte, keyBytes)
		// Read never returns an error; it aborts the process if the system has no randomness.
		_, _ = rand.Read(s.key)
	}
	s.signer = newSigner(s.key)
	return s
}

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Configure implements core.OutcomeStore. A value that is not positive leaves the current one unchanged.
func (s *Store) Configure(ticketLife, outcomeLife time.Duration) {
	if ticketLife > 0 {
		s.ticketLife = ticketLife
	}
	if outcomeLife > 0 {
		s.outcomeLife = outcomeLife
	}
}

// AnswerBytes returns the total size of the retained answers.
func (s *Store) AnswerBytes() int { return s.answerBytes }

// Issue returns a new ticket and reserves its entry, or returns REASON_TICKETS_FULL. If the store is full, it evicts
// the oldest closed entry. Without this, 220 refusals a second, each retained for 5 min, would fill the store of an
// overloaded guard.
func (s *Store) Issue(now time.Time, service string) (*schema.Ticket, schema.Reason) {
	s.Expire(now)
	if len(s.entries) >= s.capacity && s.closedEntries.first != nil {
		s.evict(&s.closedEntries)
	}
	if len(s.entries) >= s.capacity {
		return nil, schema.Reason_REASON_TICKETS_FULL
	}
	s.serial++
	e := &entry{serial: s.serial, expires: s.now + s.ticketLife}
	s.entries[e.serial] = e
	s.issuedEntries.push(e)
	ticket := schema.Ticket_builder{
		Instance:    s.instance,
		Incarnation: s.incarnation,
		Serial:      e.serial,
		Service:     service,
		ExpiresMs:   e.expires.Milliseconds(),
	}.Build()
	ticket.SetMac(bytes.Clone(s.signer.sign(ticket)))
	return ticket, schema.Reason_REASON_NONE
}

// Begin claims the ticket for a run of the request with the fingerprint. Only the first Begin of a ticket returns
// ClaimRun.
func (s *Store) Begin(now time.Time, ticket *schema.Ticket, fingerprint uint64) core.Claim {
	s.Expire(now)
	e, reply := s.lookup(ticket)
	if e == nil {
		return claimReply(reply)
	}
	if e.state == issued {
		s.issuedEntries.remove(e)
		e.state = running
		e.fingerprint = fingerprint
		return core.Claim{State: core.ClaimRun}
	}
	// A ticket that was closed before its first use has no fingerprint, so every request gets the same refusal.
	if e.state != closed && e.fingerprint != fingerprint {
		return claimReply(core.NotRun(schema.Reason_REASON_TICKET_MISMATCH))
	}
	if e.state == running {
		if e.wait == nil {
			e.wait = make(chan struct{})
		}
		return core.Claim{State: core.ClaimWait, Wait: e.wait}
	}
	return claimReply(e.executeReply())
}

// Finish records the outcome of a claimed ticket and wakes up all callers that wait for it. It retains the headers and
// the body of an answer, which must not be modified afterwards, but not the load report or the next ticket.
func (s *Store) Finish(now time.Time, ticket *schema.Ticket, reply *schema.ExecuteReply) {
	s.Expire(now)
	e, _ := s.lookup(ticket)
	if e == nil || e.state != running {
		return
	}
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN {
		e.reason = reply.GetReason()
		e.retried = reply.GetRetried()
		s.setState(e, refused, &s.refusedEntries)
	} else {
		s.retainOutcome(e, reply)
	}
	if e.wait != nil {
		close(e.wait)
		e.wait = nil
	}
}

// Supersede records the successor of a refused ticket, or, if successor is nil, closes a refused or unused one. The
// first request takes effect, and the reply gives the resulting state. An invalid successor is not recorded.
func (s *Store) Supersede(now time.Time, ticket, successor *schema.Ticket) *schema.SupersedeReply {
	s.Expire(now)
	e, _ := s.lookup(ticket)
	if e == nil {
		return schema.SupersedeReply_builder{State: schema.SupersedeState_SUPERSEDE_STATE_UNKNOWN}.Build()
	}
	switch {
	case successor == nil && e.state == issued:
		s.issuedEntries.remove(e)
		s.setState(e, closed, &s.closedEntries)
	case successor == nil && e.state == refused:
		s.refusedEntries.remove(e)
		s.setState(e, closed, &s.closedEntries)
	case successor != nil && e.state == refused && isValidSuccessor(ticket, successor):
		e.successor = successor
		e.state = superseded
	}
	return e.supersedeReply()
}

// Expire removes expired entries. Its running time depends only on the number of removed entries.
func (s *Store) Expire(now time.Time) {
	s.now = max(s.now, now.Sub(s.start))
	for _, l := range []*list{&s.issuedEntries, &s.doneEntries, &s.refusedEntries, &s.closedEntries} {
		for l.first != nil && l.first.expires <= s.now {
			s.evict(l)
		}
	}
}

// evict removes the first entry of a list.
func (s *Store) evict(l *list) {
	e := l.first
	if e == s.oldestAnswer {
		s.dropOldestAnswer()
	}
	l.remove(e)
	delete(s.entries, e.serial)
}

// lookup returns the entry of a ticket, or the reply for a ticket that has none.
func (s *Store) lookup(ticket *schema.Ticket) (*entry, *schema.ExecuteReply) {
	if ticket == nil {
		return nil, core.NotRun(schema.Reason_REASON_TICKET_REQUIRED)
	}
	if ticket.GetIncarnation() != s.incarnation || ticket.GetInstance() != s.instance {
		return nil, core.Unknown(schema.Reason_REASON_INCARNATION)
	}
	if !s.signer.verify(ticket) {
		return nil, core.NotRun(schema.Reason_REASON_TICKET_INVALID)
	}
	e := s.entries[ticket.GetSerial()]
	if e == nil {
		return nil, core.Unknown(schema.Reason_REASON_TICKET_EXPIRED)
	}
	return e, nil
}

// isValidSuccessor reports whether successor is a different ticket for the same service, and not larger than an encoded
// ticket may be, which bounds the memory of a superseded entry.
func isValidSuccessor(ticket, successor *schema.Ticket) bool {
	same := successor.GetInstance() == ticket.GetInstance() &&
		successor.GetIncarnation() == ticket.GetIncarnation() && successor.GetSerial() == ticket.GetSerial()
	return !same && successor.GetService() == ticket.GetService() &&
		base64.RawURLEncoding.EncodedLen(proto.Size(successor)) <= MaxEncoded
}

// setState records a state that has no answer and retains it for outcomeLife.
func (s *Store) setState(e *entry, state state, to *list) {
	e.state = state
	e.expires = s.now + s.outcomeLife
	to.push(e)
}

// retainOutcome records the outcome of a run and drops the oldest answers until the total size is within the limit.
func (s *Store) retainOutcome(e *entry, reply *schema.ExecuteReply) {
	e.state = done
	e.expires = s.now + s.outcomeLife
	s.doneEntries.push(e)
	a := newAnswer(reply)
	if a.size > s.answerLimit {
		// The answer would not fit even if all others were dropped.
		a = nil
	}
	e.answer = a
	if s.oldestAnswer == nil {
		s.oldestAnswer = e
	}
	if a == nil {
		return
	}
	s.answerBytes += a.size
	for s.answerBytes > s.answerLimit {
		s.dropOldestAnswer()
	}
}

// dropOldestAnswer drops the answer of the oldest entry that may have one.
func (s *Store) dropOldestAnswer() {
	e := s.oldestAnswer
	if e.answer != nil {
		s.answerBytes -= e.answer.size
		e.answer = nil
	}
	s.oldestAnswer = e.next
}

// executeReply returns the reply for a ticket that was already used or closed.
func (e *entry) executeReply() *schema.ExecuteReply {
	switch e.state {
	case done:
		return e.answer.copy()
	case closed:
		return core.NotRun(schema.Reason_REASON_TICKET_CLOSED)
	}
	reply := core.NotRun(e.reason)
	reply.SetRetried(e.retried)
	if e.successor != nil {
		reply.SetSupersededBy(e.successor)
	}
	return reply
}

// supersedeReply returns the state of the ticket in its chain.
func (e *entry) supersedeReply() *schema.SupersedeReply {
	reply := new(schema.SupersedeReply)
	switch e.state {
	case superseded:
		reply.SetState(schema.SupersedeState_SUPERSEDE_STATE_SUPERSEDED)
		reply.SetSuccessor(e.successor)
	case closed:
		reply.SetState(schema.SupersedeState_SUPERSEDE_STATE_CLOSED)
	default:
		reply.SetState(schema.SupersedeState_SUPERSEDE_STATE_ACTIVE)
	}
	return reply
}

func claimReply(reply *schema.ExecuteReply) core.Claim {
	return core.Claim{State: core.ClaimReply, Reply: reply}
}

const (
	// replyBytes is the memory used by an answer without headers and body. It was measured as 240 bytes.
	replyBytes = 256
	// headerBytes is the memory used by a header in addition to its name and value. It was measured as 106 bytes,
	// including allocator rounding.
	headerBytes = 112
)

func newAnswer(reply *schema.ExecuteReply) *answer {
	a := &answer{reply: copyReply(reply)}
	a.size = replyBytes + len(reply.GetBody())
	for _, h := range reply.GetHeaders() {
		a.size += headerBytes + len(h.GetName()) + len(h.GetValue())
	}
	return a
}

// copy returns a copy of the reply that shares only headers and body, or Unknown if the answer was dropped.
func (a *answer) copy() *schema.ExecuteReply {
	if a == nil {
		return core.Unknown(schema.Reason_REASON_ANSWER_DROPPED)
	}
	return copyReply(a.reply)
}

func copyReply(reply *schema.ExecuteReply) *schema.ExecuteReply {
	status := reply.GetStatus()
	if status != schema.Status_STATUS_ANSWERED {
		status = schema.Status_STATUS_UNKNOWN
	}
	return schema.ExecuteReply_builder{
		Status:  status,
		Reason:  reply.GetReason(),
		Code:    reply.GetCode(),
		Headers: reply.GetHeaders(),
		Body:    reply.GetBody(),
		Retried: reply.GetRetried(),
		Suspect: reply.GetSuspect(),
	}.Build()
}

// list is a doubly linked list of entries.
type list struct {
	first *entry
	last  *entry
}

func (l *list) push(e *entry) {
	e.previous = l.last
	e.next = nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
}

func (l *list) remove(e *entry) {
	if e.previous == nil {
		l.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		l.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous = nil
	e.next = nil
}
