package guard_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/schema"
)

const (
	slots = 18
	cold  = 2
	queue = 8
)

// snapshots is a core.Snapshots whose snapshot a test replaces.
type snapshots struct{ atomic.Pointer[core.Snapshot] }

func (s *snapshots) Snapshot() *core.Snapshot { return s.Load() }

// set publishes a snapshot in which the failure domain is in or out of service.
func (s *snapshots) set(revision uint64, out bool) {
	document := schema.Document_builder{
		Places: schema.Places_builder{
			Domains: map[string]*schema.Domain{"sapporo": schema.Domain_builder{OutOfService: out}.Build()},
		}.Build(),
		Services: map[string]*schema.Service{"sheets": schema.Service_builder{
			Slots: slots, ColdLimit: cold, WarmTime: durationpb.New(4 * time.Second), Queue: queue,
			Timeout: durationpb.New(time.Minute), MaxBody: 1 << 20, ProbesPerSecond: 1,
		}.Build()},
	}.Build()
	s.Store(core.NewSnapshot(revision, document, nil))
}

// store is a tiny core.OutcomeStore: tickets are told apart by serial.
type store struct {
	serial  uint64
	entries map[uint64]*entry
}

type entry struct {
	done  chan struct{}
	reply *schema.ExecuteReply
}

func (s *store) Issue(time.Time, string) (*schema.Ticket, schema.Reason) {
	s.serial++
	return schema.Ticket_builder{Serial: s.serial}.Build(), schema.Reason_REASON_NONE
}

func (s *store) Begin(_ time.Time, ticket *schema.Ticket, _ uint64) core.Claim {
	e := s.entries[ticket.GetSerial()]
	switch {
	case e == nil:
		s.entries[ticket.GetSerial()] = &entry{done: make(chan struct{})}
		return core.Claim{State: core.ClaimRun}
	case e.reply != nil:
		return core.Claim{State: core.ClaimReply, Reply: e.reply}
	default:
		return core.Claim{State: core.ClaimWait, Wait: e.done}
	}
}

func (s *store) Finish(_ time.Time, ticket *schema.Ticket, reply *schema.ExecuteReply) {
	e := s.entries[ticket.GetSerial()]
	e.reply = reply
	close(e.done)
}

func (s *store) Supersede(time.Time, *schema.Ticket, *schema.Ticket) *schema.SupersedeReply {
	return &schema.SupersedeReply{}
}

func (s *store) Expire(time.Time) {}

// backend is a core.Backend whose calls last until the test answers them.
type backend struct {
	mu       sync.Mutex
	inFlight int
	highest  int
	sent     int
	send     func(ctx context.Context, request *core.Request) *core.Result
	connect  func() error
}

func (b *backend) Send(ctx context.Context, request *core.Request) *core.Result {
	b.mu.Lock()
	b.sent++
	b.inFlight++
	b.highest = max(b.highest, b.inFlight)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.inFlight--
		b.mu.Unlock()
	}()
	return b.send(ctx, request)
}

func (b *backend) Probe(context.Context) (*core.ServerReport, error) {
	return &core.ServerReport{}, b.connect()
}
func (b *backend) Connect(context.Context) error { return b.connect() }

func answer(context.Context, *core.Request) *core.Result {
	return &core.Result{Written: true, Code: 200}
}

func lookup() *schema.ExecuteRequest {
	return schema.ExecuteRequest_builder{
		Instance: "sheets-1", Service: "sheets", Method: "GET", Uri: "/sheets/7",
		TimeoutUs: time.Second.Microseconds(), Repeatable: true, Depth: 1,
	}.Build()
}

func member() *schema.Member {
	return schema.Member_builder{Instance: "sheets-1", Service: "sheets", Domain: "sapporo", Incarnation: 7}.Build()
}

func TestAnswered(t *testing.T) {
	c := qt.New(t)
	s := &snapshots{}
	s.set(1, false)
	b := &backend{send: answer, connect: func() error { return nil }}
	g := guard.New(member(), s, b, &store{entries: map[uint64]*entry{}}, clockwork.NewFakeClock())
	reply := g.Execute(context.Background(), lookup())
	c.Assert(reply.GetStatus(), qt.Equals, schema.Status_STATUS_ANSWERED)
	c.Assert(reply.GetLoad().GetIncarnation(), qt.Equals, uint64(7))
	c.Assert(reply.GetLoad().GetLimit(), qt.Equals, uint32(cold))
}
