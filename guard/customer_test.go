package guard_test

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// lookupOf returns a lookup of a customer.
func lookupOf(customer string) *schema.ExecuteRequest {
	request := lookup()
	request.SetCustomer(customer)
	return request
}

// TestCustomers guards against a guard that does not name the customer to its backend server, and against a full queue that
// refuses a customer within its share in favour of one that used the server before.
func TestCustomers(t *testing.T) {
	run(t, nil, func(b *harness) {
		document := b.snapshots.Load().Document()
		document.SetCustomers(map[string]*schema.Customer{
			"large": schema.Customer_builder{Rate: 40}.Build(), "small": schema.Customer_builder{Rate: 20}.Build(),
		})
		b.snapshots.Store(core.NewSnapshot(2, document, nil))
		for range 300 {
			b.checkAnswered(b.Execute(b.Context(), lookupOf("large")))
		}
		var mu sync.Mutex
		runs := make(map[string]int)
		gate := make(chan struct{})
		b.backend.send = func(_ context.Context, request *core.Request, _ int) *core.Result {
			mu.Lock()
			runs[request.Customer]++
			mu.Unlock()
			<-gate
			return answered()
		}
		var large []<-chan *schema.ExecuteReply
		for range b.Load().Limit + queue {
			large = append(large, b.start(b.Context(), lookupOf("large")))
		}
		b.Check(b.Load().Queued, qt.Equals, queue)
		small := b.start(b.Context(), lookupOf("small"))
		b.checkNotRun(<-large[len(large)-1], schema.Reason_REASON_PREEMPTED)
		b.checkNotRun(<-b.start(b.Context(), lookupOf("large")), schema.Reason_REASON_BUSY)
		close(gate)
		b.checkAnswered(<-small)
		for _, reply := range large[:len(large)-1] {
			b.checkAnswered(<-reply)
		}
		b.Check(runs["small"], qt.Equals, 1)
		b.Check(runs["large"], qt.Equals, len(large)-1)
	})
}
