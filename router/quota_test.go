package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// fixedQuota refuses all calls with a wait and counts what the router asks of it.
type fixedQuota struct {
	allowed        bool
	taken, refunds int
}

func (q *fixedQuota) Take(context.Context, string) (bool, time.Duration) {
	q.taken++
	return q.allowed, 300 * time.Millisecond
}

func (q *fixedQuota) Refund(string) { q.refunds++ }

// TestQuota guards against callers that are refused without a time to come back, or that are all told the same one, against
// charges for customers without a quota, and against refunds of calls that ran.
func TestQuota(t *testing.T) {
	c := qt.New(t)
	d := document(nil)
	d.SetCustomers(map[string]*schema.Customer{
		"limited": schema.Customer_builder{Rate: 5}.Build(), "free": {},
	})
	snapshot := core.NewSnapshot(1, d, nil)
	q := &fixedQuota{}
	r := &Router{quota: q}
	first := r.chargeQuota(context.Background(), snapshot, "limited")
	second := r.chargeQuota(context.Background(), snapshot, "limited")
	for _, refusal := range []*schema.ExecuteReply{first, second} {
		c.Check(refusal.GetReason(), qt.Equals, schema.Reason_REASON_QUOTA)
		c.Check(refusal.GetRetried(), qt.IsTrue)
		wait := time.Duration(refusal.GetRetryAfterUs()) * time.Microsecond
		c.Check(wait >= 300*time.Millisecond && wait < 450*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
	}
	c.Check(first.GetRetryAfterUs() != second.GetRetryAfterUs(), qt.IsTrue)
	q.allowed = true
	c.Check(r.chargeQuota(context.Background(), snapshot, "limited"), qt.IsNil)
	for _, customer := range []string{"free", "unlisted", ""} {
		c.Check(r.chargeQuota(context.Background(), snapshot, customer), qt.IsNil)
		r.refundQuota(snapshot, customer, core.NotRun(schema.Reason_REASON_BUSY))
	}
	r.refundQuota(snapshot, "limited", core.Unknown(schema.Reason_REASON_DEADLINE))
	c.Check([]int{q.taken, q.refunds}, qt.DeepEquals, []int{3, 0})
	r.refundQuota(snapshot, "limited", core.NotRun(schema.Reason_REASON_BUSY))
	c.Check(q.refunds, qt.Equals, 1)
}

// TestQuotaOfTicket guards against the promise that a resent ticket has not run, when its quota is used up: the first attempt,
// through another router, may have run.
func TestQuotaOfTicket(t *testing.T) {
	c := qt.New(t)
	r, _, snapshots := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
	d := document(nil)
	hash := core.HashKey("key")
	d.SetCustomers(map[string]*schema.Customer{"limited": schema.Customer_builder{Rate: 5, KeyHashes: []string{hash}}.Build()})
	snapshots.Store(core.NewSnapshot(2, d, members(1)))
	r.quota = &fixedQuota{}
	order := &core.Call{Method: "POST", URI: "/order", Path: "/order", KeyHash: hash}
	assertOutcome(c, r.Handle(context.Background(), order), schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_QUOTA)
	order.Ticket = schema.Ticket_builder{Instance: "sheets-1", Service: "sheets", Incarnation: 1}.Build()
	assertOutcome(c, r.Handle(context.Background(), order), schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_QUOTA)
}

// TestBodyUnread guards against a call that runs with an empty body, since its rule came into force after the front had decided
// not to read the body.
func TestBodyUnread(t *testing.T) {
	c := qt.New(t)
	r, _, _ := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(200) })
	reply := r.Handle(context.Background(), &core.Call{Method: "GET", URI: "/look", Path: "/look", BodyUnread: true})
	assertOutcome(c, reply, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_NO_CONFIGURATION)
}
