package guard_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/limit"
	"verbenareel/schema"
	"verbenareel/ticket"
)

func BenchmarkExecute(b *testing.B) {
	clock := clockwork.NewRealClock()
	s := &snapshots{}
	s.set(1, false)
	server := &backend{send: func(context.Context, *core.Request, int) *core.Result { return answered() }}
	store := ticket.New("sheets-1", 7, clock.Now(), ticket.WithOutcomeLife(time.Millisecond))
	g := guard.New(member(), s, server, store, clock,
		guard.WithLimiter(limit.NewFixed(slots)))
	ctx, cancel := context.WithCancel(b.Context())
	var running conc.WaitGroup
	running.Go(func() { _ = g.Run(ctx) })
	defer running.Wait()
	defer cancel()
	b.Run("lookup", func(b *testing.B) {
		b.ReportAllocs()
		request := lookup()
		for b.Loop() {
			mustAnswer(b, g.Execute(ctx, request))
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(1)
		b.RunParallel(func(p *testing.PB) {
			request := lookup()
			for p.Next() {
				mustAnswer(b, g.Execute(ctx, request))
			}
		})
	})
	b.Run("ticket", func(b *testing.B) {
		b.ReportAllocs()
		request := lookup()
		request.SetRepeatable(false)
		request.SetIssueNext(true)
		request.SetTicket(g.Issue(ctx, schema.IssueRequest_builder{Instance: "sheets-1", Service: "sheets"}.Build()).GetTicket())
		for b.Loop() {
			reply := g.Execute(ctx, request)
			request.SetTicket(reply.GetNextTicket())
			mustAnswer(b, reply)
		}
	})
}

func mustAnswer(b *testing.B, reply *schema.ExecuteReply) {
	if reply.GetStatus() != schema.Status_STATUS_ANSWERED {
		b.Fatalf("not answered: %v", reply.GetReason())
	}
}
