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

// testStore is a store with assertions.
type testStore struct {
	*ticket.Store
	c *qt.C
}

func newTestStore(t *testing.T, opts ...ticket.Option) testStore {
	return testStore{newStore(opts...), qt.New(t)}
}

func newStore(opts ...ticket.Option) *ticket.Store {
	return ticket.New("payout-1", 7, epoch, append([]ticket.Option{ticket.WithKey([]byte("key"))}, opts...)...)
}

func (t testStore) issue(now time.Time) *schema.Ticket {
	t.c.Helper()
	issued, reason := t.Issue(now, "payout")
	t.c.Assert(reason, qt.Equals, schema.Reason_REASON_NONE)
	return issued
}

// run issues, runs and finishes a ticket for fingerprint 1.
func (t testStore) run(result string) *schema.Ticket {
	t.c.Helper()
	issued := t.issue(epoch)
	t.check(epoch, issued, 1, "run")
	t.Finish(epoch, issued, outcome(result))
	return issued
}

// check begins a ticket and compares the claim, formatted by describe.
func (t testStore) check(now time.Time, sent *schema.Ticket, fingerprint uint64, want string) {
	t.c.Helper()
	t.c.Assert(describe(t.Begin(now, sent, fingerprint)), qt.Equals, want)
}

func (t testStore) supersede(sent, successor *schema.Ticket, want string) {
	t.c.Helper()
	t.c.Assert(describeState(t.Supersede(epoch, sent, successor)), qt.Equals, want)
}

// outcome returns a refusal for "not-run busy", and otherwise an answer with the body.
func outcome(body string) *schema.ExecuteReply {
	if body == "not-run busy" {
		return core.NotRun(schema.Reason_REASON_BUSY)
	}
	return schema.ExecuteReply_builder{
		Status:     schema.Status_STATUS_ANSWERED,
		Code:       200,
		Body:       []byte(body),
		Load:       &schema.Load{},
		NextTicket: &schema.Ticket{},
	}.Build()
}

func describe(claim core.Claim) string {
	reply := claim.Reply
	switch {
	case claim.State != core.ClaimReply:
		return map[core.ClaimState]string{core.ClaimRun: "run", core.ClaimWait: "wait"}[claim.State]
	case reply.HasSupersededBy():
		return fmt.Sprintf("superseded by %d", reply.GetSupersededBy().GetSerial())
	case reply.GetStatus() == schema.Status_STATUS_ANSWERED:
		return string(reply.GetBody())
	}
	return core.StatusName(reply.GetStatus()) + " " + core.ReasonName(reply.GetReason())
}

func describeState(reply *schema.SupersedeReply) string {
	name := strings.ToLower(strings.TrimPrefix(reply.GetState().String(), "SUPERSEDE_STATE_"))
	if reply.HasSuccessor() {
		name += fmt.Sprintf(" by %d", reply.GetSuccessor().GetSerial())
	}
	return name
}

// TestStoreRefuses guards against running a ticket, or answering NotRun for it, when the store cannot know its history.
func TestStoreRefuses(t *testing.T) {
	for _, test := range []struct {
		change func(*schema.Ticket)
		want   string
	}{
		{func(f *schema.Ticket) { f.GetMac()[31] ^= 1 }, "not-run ticket-invalid"},
		{func(f *schema.Ticket) { f.SetMac(nil) }, "not-run ticket-invalid"},
		{func(f *schema.Ticket) { f.SetSerial(9) }, "not-run ticket-invalid"},
		{func(f *schema.Ticket) { f.SetService("booking") }, "not-run ticket-invalid"},
		{func(f *schema.Ticket) { f.SetExpiresMs(1 << 40) }, "not-run ticket-invalid"},
		{func(f *schema.Ticket) { f.SetIncarnation(8) }, "unknown incarnation"},
		{func(f *schema.Ticket) { f.SetInstance("payout-2") }, "unknown incarnation"},
	} {
		s := newTestStore(t)
		sent := s.issue(epoch)
		test.change(sent)
		s.check(epoch, sent, 1, test.want)
		s.supersede(sent, nil, "unknown")
		s.check(epoch, nil, 1, "not-run ticket-required")
	}
}

// TestStoreExpires guards against a ticket that runs after its entry expired, against entries that expire too early or
// never, and against a clock that steps back.
func TestStoreExpires(t *testing.T) {
	s := newTestStore(t)
	unused, running := s.issue(epoch), s.issue(epoch)
	s.check(epoch, running, 1, "run")
	done, refused := s.run("paid"), s.run("not-run busy")

	late := epoch.Add(ticket.DefaultTicketLife)
	s.check(late, unused, 1, "unknown ticket-expired")
	s.check(epoch, unused, 1, "unknown ticket-expired")
	s.check(late, done, 1, "paid")
	s.check(late, refused, 1, "not-run busy")
	s.c.Assert(s.Len(), qt.Equals, 3)
	s.c.Assert(s.issue(epoch).GetExpiresMs(), qt.Equals, 2*ticket.DefaultTicketLife.Milliseconds())

	late = epoch.Add(ticket.DefaultOutcomeLife)
	s.check(late, done, 1, "unknown ticket-expired")
	s.check(late, refused, 1, "unknown ticket-expired")
	s.check(late, running, 1, "wait")
	s.Finish(late, running, outcome("late"))
	s.check(late, running, 1, "late")
	s.Expire(late.Add(ticket.DefaultOutcomeLife))
	s.c.Assert(s.Len()+s.AnswerBytes(), qt.Equals, 0)
}

// TestStoreBounds guards against a store that exceeds its limits, and against losing an entry when its answer is
// dropped.
func TestStoreBounds(t *testing.T) {
	s := newTestStore(t, ticket.WithCapacity(4), ticket.WithAnswerBytes(3500))
	body := strings.Repeat("x", 1000)
	first, second, large := s.run(body), s.run(body), s.run(body+body+body+body)
	s.check(epoch, large, 1, "unknown answer-dropped")
	s.check(epoch, first, 1, body)
	last := s.run(body)
	s.check(epoch, first, 1, "unknown answer-dropped")
	s.check(epoch, first, 2, "not-run ticket-mismatch")
	s.check(epoch, second, 1, body)
	s.check(epoch, last, 1, body)
	s.c.Assert(s.AnswerBytes() <= 3500, qt.IsTrue)
	_, reason := s.Issue(epoch, "payout")
	s.c.Assert(reason, qt.Equals, schema.Reason_REASON_TICKETS_FULL)
	s.issue(epoch.Add(ticket.DefaultOutcomeLife))
	s.c.Assert(s.AnswerBytes(), qt.Equals, 0)
}

// TestStoreEvictsClosed guards against refusals that fill the store of an overloaded guard, and against an eviction
// that lets a closed ticket run.
func TestStoreEvictsClosed(t *testing.T) {
	s := newTestStore(t, ticket.WithCapacity(3))
	kept, first, second := s.run("not-run busy"), s.run("not-run busy"), s.issue(epoch)
	s.supersede(first, nil, "closed")
	s.supersede(second, nil, "closed")
	s.issue(epoch)
	s.check(epoch, first, 1, "unknown ticket-expired")
	s.check(epoch, second, 1, "not-run ticket-closed")
	s.check(epoch, kept, 1, "not-run busy")
}

// TestStoreSuccessor guards against a chain that contains a cycle, changes its service or exhausts memory.
func TestStoreSuccessor(t *testing.T) {
	s := newTestStore(t)
	refused := s.run("not-run busy")
	s.supersede(refused, refused, "active")
	s.supersede(refused, schema.Ticket_builder{Serial: 9, Service: "booking"}.Build(), "active")
	large := make([]byte, ticket.MaxEncoded)
	s.supersede(refused, schema.Ticket_builder{Serial: 9, Service: "payout", Mac: large}.Build(), "active")
	other := schema.Ticket_builder{Instance: "payout-2", Incarnation: 7, Serial: 1, Service: "payout"}.Build()
	s.supersede(refused, other, "superseded by 1")
}

// TestStoreAnswer guards against a repeated send that gets the load report or next ticket of the first response, and
// against a reply that another caller has modified.
func TestStoreAnswer(t *testing.T) {
	s := newTestStore(t)
	done := s.run("paid")
	reply := s.Begin(epoch, done, 1).Reply
	s.c.Assert(reply.HasLoad() || reply.HasNextTicket(), qt.IsFalse)
	reply.SetCode(500)
	s.c.Assert(s.Begin(epoch, done, 1).Reply.GetCode(), qt.Equals, uint32(200))
}

// FuzzDecode guards against input that makes Decode panic or that has two encodings.
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

// BenchmarkEntry reports the memory of one unused entry in a full store.
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

// TestConfigure guards against changed lifetimes in the document that do not take effect.
func TestConfigure(t *testing.T) {
	start := time.Unix(0, 0)
	s := ticket.New("a", 1, start)
	s.Configure(time.Second, 2*time.Second)
	late, _ := s.Issue(start, "x")
	used, _ := s.Issue(start, "x")
	s.Begin(start, used, 1)
	s.Finish(start, used, core.NotRun(schema.Reason_REASON_BUSY))
	s.Expire(start.Add(1500 * time.Millisecond))
	claim := s.Begin(start.Add(1500*time.Millisecond), late, 1)
	qt.Check(t, claim.Reply.GetReason(), qt.Equals, schema.Reason_REASON_TICKET_EXPIRED)
	claim = s.Begin(start.Add(1500*time.Millisecond), used, 1)
	qt.Check(t, claim.Reply.GetReason(), qt.Equals, schema.Reason_REASON_BUSY)
	s.Expire(start.Add(3 * time.Second))
	claim = s.Begin(start.Add(3*time.Second), used, 1)
	qt.Check(t, claim.Reply.GetReason(), qt.Equals, schema.Reason_REASON_TICKET_EXPIRED)
}
