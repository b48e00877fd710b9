package ticket_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

var epoch = time.Unix(1000, 0)

func newStore(opts ...ticket.Option) *ticket.Store {
	return ticket.New("payout-1", 7, epoch, append([]ticket.Option{ticket.WithKey([]byte("key"))}, opts...)...)
}

func mustIssue(c *qt.C, s *ticket.Store, now time.Time) *schema.Ticket {
	c.Helper()
	issued, reason := s.Issue(now, "payout")
	c.Assert(reason, qt.Equals, schema.Reason_REASON_NONE)
	return issued
}

// mustRun issues, runs and finishes a ticket.
func mustRun(c *qt.C, s *ticket.Store, now time.Time, reply *schema.ExecuteReply) *schema.Ticket {
	c.Helper()
	issued := mustIssue(c, s, now)
	c.Assert(s.Begin(now, issued, 1).State, qt.Equals, core.ClaimRun)
	s.Finish(now, issued, reply)
	return issued
}

func answered(body string) *schema.ExecuteReply {
	return schema.ExecuteReply_builder{
		Status:     schema.Status_STATUS_ANSWERED,
		Code:       200,
		Body:       []byte(body),
		Load:       &schema.Load{},
		NextTicket: &schema.Ticket{},
	}.Build()
}

// checkReply begins a ticket and compares the reply: the body of an answer, or status and reason.
func checkReply(c *qt.C, s *ticket.Store, now time.Time, sent *schema.Ticket, fingerprint uint64, want string) {
	c.Helper()
	claim := s.Begin(now, sent, fingerprint)
	c.Assert(claim.State, qt.Equals, core.ClaimReply)
	c.Assert(describe(claim), qt.Equals, want)
}

func describe(claim core.Claim) string {
	r := claim.Reply
	switch {
	case claim.State == core.ClaimRun:
		return "run"
	case claim.State == core.ClaimWait:
		return "wait"
	case r.HasSupersededBy():
		return fmt.Sprintf("superseded by %d", r.GetSupersededBy().GetSerial())
	case r.GetStatus() == schema.Status_STATUS_ANSWERED:
		return string(r.GetBody())
	}
	return core.StatusName(r.GetStatus()) + " " + core.ReasonName(r.GetReason())
}

// TestStoreRefuses guards against a ticket that is run, or answered NotRun, although the store can't know its past.
func TestStoreRefuses(t *testing.T) {
	forge := func(change func(*schema.Ticket)) func(*qt.C, *ticket.Store) *schema.Ticket {
		return func(c *qt.C, s *ticket.Store) *schema.Ticket {
			issued := mustIssue(c, s, epoch)
			change(issued)
			return issued
		}
	}
	tests := []struct {
		name string
		make func(*qt.C, *ticket.Store) *schema.Ticket
		want string
	}{
		{"no ticket", func(*qt.C, *ticket.Store) *schema.Ticket { return nil }, "not-run ticket-required"},
		{"other MAC", forge(func(f *schema.Ticket) { f.GetMac()[31] ^= 1 }), "not-run ticket-invalid"},
		{"no MAC", forge(func(f *schema.Ticket) { f.SetMac(nil) }), "not-run ticket-invalid"},
		{"other serial", forge(func(f *schema.Ticket) { f.SetSerial(9) }), "not-run ticket-invalid"},
		{"other service", forge(func(f *schema.Ticket) { f.SetService("booking") }), "not-run ticket-invalid"},
		{"longer life", forge(func(f *schema.Ticket) { f.SetExpiresMs(1 << 40) }), "not-run ticket-invalid"},
		{"other incarnation", forge(func(f *schema.Ticket) { f.SetIncarnation(8) }), "unknown incarnation"},
		{"other instance", forge(func(f *schema.Ticket) { f.SetInstance("payout-2") }), "unknown incarnation"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStore()
			sent := test.make(c, s)
			checkReply(c, s, epoch, sent, 1, test.want)
			c.Check(s.Supersede(epoch, sent, nil).GetState(), qt.Equals, schema.SupersedeState_SUPERSEDE_STATE_UNKNOWN)
		})
	}
}

// TestStoreExpires guards against a ticket that runs after its entry is gone, an entry that leaves too early or never,
// and a clock that steps back.
func TestStoreExpires(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	unused := mustIssue(c, s, epoch)
	running := mustIssue(c, s, epoch)
	c.Assert(describe(s.Begin(epoch, running, 1)), qt.Equals, "run")
	done := mustRun(c, s, epoch, answered("paid"))
	refused := mustRun(c, s, epoch, core.NotRun(schema.Reason_REASON_BUSY))

	late := epoch.Add(ticket.DefaultTicketLife)
	checkReply(c, s, late, unused, 1, "unknown ticket-expired")
	checkReply(c, s, epoch, unused, 1, "unknown ticket-expired")
	checkReply(c, s, late, done, 1, "paid")
	checkReply(c, s, late, refused, 1, "not-run busy")
	c.Assert(s.Len(), qt.Equals, 3)
	c.Assert(mustIssue(c, s, epoch).GetExpiresMs(), qt.Equals, 2*ticket.DefaultTicketLife.Milliseconds())

	late = epoch.Add(ticket.DefaultOutcomeLife)
	checkReply(c, s, late, done, 1, "unknown ticket-expired")
	checkReply(c, s, late, refused, 1, "unknown ticket-expired")
	c.Assert(describe(s.Begin(late, running, 1)), qt.Equals, "wait")
	s.Finish(late, running, answered("late"))
	checkReply(c, s, late, running, 1, "late")
	s.Expire(late.Add(ticket.DefaultOutcomeLife))
	c.Assert(s.Len(), qt.Equals, 0)
	c.Assert(s.AnswerBytes(), qt.Equals, 0)
}

// TestStoreBounds guards against a table that outgrows its bounds, and a dropped answer that loses its entry.
func TestStoreBounds(t *testing.T) {
	c := qt.New(t)
	s := newStore(ticket.WithCapacity(4), ticket.WithAnswerBytes(3000))
	body := strings.Repeat("x", 1000)
	first := mustRun(c, s, epoch, answered(body))
	second := mustRun(c, s, epoch, answered(body))
	large := mustRun(c, s, epoch, answered(strings.Repeat("x", 4000)))
	checkReply(c, s, epoch, large, 1, "unknown answer-dropped")
	checkReply(c, s, epoch, first, 1, body)
	last := mustRun(c, s, epoch, answered(body))
	checkReply(c, s, epoch, first, 1, "unknown answer-dropped")
	checkReply(c, s, epoch, first, 2, "not-run ticket-mismatch")
	checkReply(c, s, epoch, second, 1, body)
	checkReply(c, s, epoch, last, 1, body)
	c.Assert(s.AnswerBytes() <= 3000, qt.IsTrue)
	_, reason := s.Issue(epoch, "payout")
	c.Assert(reason, qt.Equals, schema.Reason_REASON_TICKETS_FULL)
	mustIssue(c, s, epoch.Add(ticket.DefaultOutcomeLife))
	c.Assert(s.AnswerBytes(), qt.Equals, 0)
}

// TestStoreEvictsClosed guards against refusals that fill the table of an overloaded guard, and against an eviction
// that lets a closed ticket run.
func TestStoreEvictsClosed(t *testing.T) {
	c := qt.New(t)
	s := newStore(ticket.WithCapacity(3))
	kept := mustRun(c, s, epoch, core.NotRun(schema.Reason_REASON_BUSY))
	first := mustRun(c, s, epoch, core.NotRun(schema.Reason_REASON_BUSY))
	second := mustIssue(c, s, epoch)
	for _, closed := range []*schema.Ticket{first, second} {
		state := s.Supersede(epoch, closed, nil).GetState()
		c.Assert(state, qt.Equals, schema.SupersedeState_SUPERSEDE_STATE_CLOSED)
	}
	mustIssue(c, s, epoch)
	checkReply(c, s, epoch, first, 1, "unknown ticket-expired")
	checkReply(c, s, epoch, second, 1, "not-run ticket-closed")
	checkReply(c, s, epoch, kept, 1, "not-run busy")
}

// TestStoreSuccessor guards against a chain that loops, leaves its service, or fills memory.
func TestStoreSuccessor(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	refused := mustRun(c, s, epoch, core.NotRun(schema.Reason_REASON_BUSY))
	for _, wrong := range []*schema.Ticket{
		refused,
		schema.Ticket_builder{Serial: 9, Service: "booking"}.Build(),
		schema.Ticket_builder{Serial: 9, Service: "payout", Mac: make([]byte, ticket.MaxEncoded)}.Build(),
	} {
		state := s.Supersede(epoch, refused, wrong).GetState()
		c.Check(state, qt.Equals, schema.SupersedeState_SUPERSEDE_STATE_ACTIVE)
	}
}

// TestStoreAnswer guards against a resend that gets the load or the next ticket of the first response, or a reply that
// another caller has changed.
func TestStoreAnswer(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	done := mustRun(c, s, epoch, answered("paid"))
	reply := s.Begin(epoch, done, 1).Reply
	c.Assert(reply.HasLoad() || reply.HasNextTicket(), qt.IsFalse)
	reply.SetCode(500)
	c.Assert(s.Begin(epoch, done, 1).Reply.GetCode(), qt.Equals, uint32(200))
}

// FuzzDecode guards against a text that makes Decode panic or that has two forms.
func FuzzDecode(f *testing.F) {
	issued, _ := newStore().Issue(epoch, "payout")
	f.Add(ticket.Encode(issued))
	f.Add("")
	issued.SetService(strings.Repeat("A", ticket.MaxEncoded))
	f.Add(ticket.Encode(issued))
	f.Fuzz(func(t *testing.T, text string) {
		decoded, err := ticket.Decode(text)
		if err != nil {
			var failure *ticket.DecodeError
			qt.New(t).Assert(err, qt.ErrorAs, &failure)
			return
		}
		qt.New(t).Assert(len(text) <= ticket.MaxEncoded, qt.IsTrue)
		if encoded := ticket.Encode(decoded); len(encoded) <= ticket.MaxEncoded {
			again, err := ticket.Decode(encoded)
			qt.New(t).Assert(err, qt.IsNil)
			qt.New(t).Assert(ticket.Encode(again), qt.Equals, encoded)
		}
		s := newStore()
		if claim := s.Begin(epoch, decoded, 1); claim.State != core.ClaimReply {
			t.Fatalf("a ticket of another store gave %v", describe(claim))
		}
	})
}

// BenchmarkEntry reports the memory of one unused entry in a full table.
func BenchmarkEntry(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newStore()
		for range ticket.DefaultCapacity {
			_, _ = s.Issue(epoch, "payout")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/ticket.DefaultCapacity, "bytes/entry")
}

// BenchmarkCall measures issue, begin and finish of one call in a full table.
func BenchmarkCall(b *testing.B) {
	s := newStore()
	now := epoch
	reply := answered("paid")
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		issued, _ := s.Issue(now, "payout")
		s.Begin(now, issued, 1)
		s.Finish(now, issued, reply)
	}
}
