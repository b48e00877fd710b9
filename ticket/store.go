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

// Defaults of the options.
const (
	// DefaultCapacity is the number of entries. One takes 116 bytes without an answer or a successor.
	DefaultCapacity = 65536
	// DefaultAnswerBytes bounds the retained answers.
	DefaultAnswerBytes = 16 << 20
	// DefaultTicketLife is the time in which a ticket must be used.
	DefaultTicketLife = 60 * time.Second
	// DefaultOutcomeLife is the time for which the outcome of a ticket is kept.
	DefaultOutcomeLife = 5 * time.Minute
)

const keyBytes = 32

// state is the state of an entry.
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
	// expires is the time of removal since the start of the process; unused while running.
	expires time.Duration
	// wait is set while running if another caller waits.
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

// Store is the ticket table of one process. It implements core.OutcomeStore.
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
	// The lists hold the entries in the order of their expiry. unused: issued; finished: done; settled: refused or
	// superseded; ended: closed. Running entries are in none.
	unused   list
	finished list
	settled  list
	ended    list
	// oldest is the first entry in finished whose answer is retained.
	oldest      *entry
	answerBytes int
}

var _ core.OutcomeStore = (*Store)(nil)

// Option changes a default of New.
type Option func(*Store)

// WithCapacity sets the number of entries.
func WithCapacity(entries int) Option { return func(s *Store) { s.capacity = entries } }

// WithAnswerBytes sets the bound on retained answers in bytes.
func WithAnswerBytes(size int) Option { return func(s *Store) { s.answerLimit = size } }

// WithOutcomeLife sets the time for which an outcome is kept.
func WithOutcomeLife(life time.Duration) Option { return func(s *Store) { s.outcomeLife = life } }

// WithKey sets the MAC key, for tests. Two processes must never have the same key.
func WithKey(key []byte) Option { return func(s *Store) { s.key = bytes.Clone(key) } }

// New returns an empty store of the process that instance and incarnation name and that started at start.
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
		// Read never fails; it ends the process if the system has no randomness.
		_, _ = rand.Read(s.key)
	}
	s.signer = newSigner(s.key)
	return s
}

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Configure implements core.OutcomeStore. Lives that are not positive leave the present ones.
func (s *Store) Configure(ticketLife, outcomeLife time.Duration) {
	if ticketLife > 0 {
		s.ticketLife = ticketLife
	}
	if outcomeLife > 0 {
		s.outcomeLife = outcomeLife
	}
}

// AnswerBytes returns the size of the retained answers.
func (s *Store) AnswerBytes() int { return s.answerBytes }

// Issue returns a new ticket and reserves its entry, or REASON_TICKETS_FULL. In a full table it evicts the closed entry
// that is oldest; otherwise 220 refusals a second, each kept for 5 min, would fill the table of an overloaded guard.
func (s *Store) Issue(now time.Time, service string) (*schema.Ticket, schema.Reason) {
	s.Expire(now)
	if len(s.entries) >= s.capacity && s.ended.first != nil {
		s.evict(&s.ended)
	}
	if len(s.entries) >= s.capacity {
		return nil, schema.Reason_REASON_TICKETS_FULL
	}
	s.serial++
	e := &entry{serial: s.serial, expires: s.now + s.ticketLife}
	s.entries[e.serial] = e
	s.unused.push(e)
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
	e, reply := s.find(ticket)
	if e == nil {
		return claimReply(reply)
	}
	if e.state == issued {
		s.unused.remove(e)
		e.state = running
		e.fingerprint = fingerprint
		return core.Claim{State: core.ClaimRun}
	}
	// A ticket that was closed before its first use has no fingerprint; each request gets the same refusal.
	if e.state != closed && e.fingerprint != fingerprint {
		return claimReply(core.NotRun(schema.Reason_REASON_TICKET_MISMATCH))
	}
	if e.state == running {
		if e.wait == nil {
			e.wait = make(chan struct{})
		}
		return core.Claim{State: core.ClaimWait, Wait: e.wait}
	}
	return claimReply(e.outcome())
}

// Finish records the outcome of a claimed ticket and wakes all that wait on it. It keeps the headers and the body of an
// answered reply, which must not be changed afterwards, and neither its load nor its next ticket.
func (s *Store) Finish(now time.Time, ticket *schema.Ticket, reply *schema.ExecuteReply) {
	s.Expire(now)
	e, _ := s.find(ticket)
	if e == nil || e.state != running {
		return
	}
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN {
		e.reason = reply.GetReason()
		e.retried = reply.GetRetried()
		s.settle(e, refused, &s.settled)
	} else {
		s.complete(e, reply)
	}
	if e.wait != nil {
		close(e.wait)
		e.wait = nil
	}
}

// Supersede records the successor of a refused ticket, or closes a refused or unused one if successor is nil. The
// first request wins, and the reply gives the state in force. A successor that is malformed is not recorded.
func (s *Store) Supersede(now time.Time, ticket, successor *schema.Ticket) *schema.SupersedeReply {
	s.Expire(now)
	e, _ := s.find(ticket)
	if e == nil {
		return schema.SupersedeReply_builder{State: schema.SupersedeState_SUPERSEDE_STATE_UNKNOWN}.Build()
	}
	switch {
	case successor == nil && e.state == issued:
		s.unused.remove(e)
		s.settle(e, closed, &s.ended)
	case successor == nil && e.state == refused:
		s.settled.remove(e)
		s.settle(e, closed, &s.ended)
	case successor != nil && e.state == refused && linkable(ticket, successor):
		e.successor = successor
		e.state = superseded
	}
	return e.position()
}

// Expire removes entries whose life has ended. Its time grows with the number of removed entries only.
func (s *Store) Expire(now time.Time) {
	s.now = max(s.now, now.Sub(s.start))
	for _, l := range []*list{&s.unused, &s.finished, &s.settled, &s.ended} {
		for l.first != nil && l.first.expires <= s.now {
			s.evict(l)
		}
	}
}

// evict removes the first entry of a list.
func (s *Store) evict(l *list) {
	e := l.first
	if e == s.oldest {
		s.dropOldest()
	}
	l.remove(e)
	delete(s.entries, e.serial)
}

// find returns the entry of a ticket, or the reply to a ticket without one.
func (s *Store) find(ticket *schema.Ticket) (*entry, *schema.ExecuteReply) {
	if ticket == nil {
		return nil, core.NotRun(schema.Reason_REASON_TICKET_REQUIRED)
	}
	if ticket.GetIncarnation() != s.incarnation || ticket.GetInstance() != s.instance {
		return nil, core.Unknown(schema.Reason_REASON_INCARNATION)
	}
	if !s.signer.valid(ticket) {
		return nil, core.NotRun(schema.Reason_REASON_TICKET_INVALID)
	}
	e := s.entries[ticket.GetSerial()]
	if e == nil {
		return nil, core.Unknown(schema.Reason_REASON_TICKET_EXPIRED)
	}
	return e, nil
}

// linkable reports whether successor may succeed ticket: it is another ticket for the same service, and it is no larger
// than an encoded ticket may be, which bounds the memory of a superseded entry.
func linkable(ticket, successor *schema.Ticket) bool {
	same := successor.GetInstance() == ticket.GetInstance() &&
		successor.GetIncarnation() == ticket.GetIncarnation() && successor.GetSerial() == ticket.GetSerial()
	return !same && successor.GetService() == ticket.GetService() &&
		base64.RawURLEncoding.EncodedLen(proto.Size(successor)) <= MaxEncoded
}

// settle records a state without an answer, for the life of an outcome.
func (s *Store) settle(e *entry, state state, to *list) {
	e.state = state
	e.expires = s.now + s.outcomeLife
	to.push(e)
}

// complete retains the outcome of a run, and drops the oldest answers that exceed the bound.
func (s *Store) complete(e *entry, reply *schema.ExecuteReply) {
	e.state = done
	e.expires = s.now + s.outcomeLife
	s.finished.push(e)
	a := newAnswer(reply)
	if a.size > s.answerLimit {
		// Dropping all other answers would not make room for this one.
		a = nil
	}
	e.answer = a
	if s.oldest == nil {
		s.oldest = e
	}
	if a == nil {
		return
	}
	s.answerBytes += a.size
	for s.answerBytes > s.answerLimit {
		s.dropOldest()
	}
}

// dropOldest drops the answer of the oldest entry that may have one.
func (s *Store) dropOldest() {
	e := s.oldest
	if e.answer != nil {
		s.answerBytes -= e.answer.size
		e.answer = nil
	}
	s.oldest = e.next
}

// outcome returns the reply of a ticket that was used or closed.
func (e *entry) outcome() *schema.ExecuteReply {
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

// position returns the state of a ticket in its chain.
func (e *entry) position() *schema.SupersedeReply {
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
	// replyBytes is the memory of an answer without headers and body: 240 bytes were measured.
	replyBytes = 256
	// headerBytes is the memory of one header besides its name and value: 106 bytes were measured, with rounding.
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

// copy returns a reply that the receiver may change, but for headers and body; a dropped answer gives Unknown.
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

// list is a queue of entries.
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
