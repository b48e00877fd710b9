package router

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

// minQuotaJitter is the smallest range of the random time that is added to a Retry-After. A range of half of the wait is too
// small for short waits, of which many callers are told the same.
const minQuotaJitter = 100 * time.Millisecond

// WithQuota sets the quota that is charged for the calls of customers. Without it, calls are not limited.
func WithQuota(quota core.Quota) Option {
	return func(o *options) { o.quota = quota }
}

// chargeQuota charges a call to a customer and returns nil, or the refusal if the quota is used up. A customer without a rate
// is not charged, and neither is a call without a customer.
func (r *Router) chargeQuota(ctx context.Context, snapshot *core.Snapshot, customer string) *schema.ExecuteReply {
	if !r.hasQuota(snapshot, customer) {
		return nil
	}
	allowed, wait := r.quota.Take(ctx, customer)
	if allowed {
		return nil
	}
	refusal := withoutFurtherRetry(core.NotRun(schema.Reason_REASON_QUOTA))
	refusal.SetRetryAfterUs(spreadWait(wait).Microseconds())
	return refusal
}

// refundQuota returns the charge of chargeQuota if the final reply says that the call did not run.
func (r *Router) refundQuota(snapshot *core.Snapshot, customer string, reply *schema.ExecuteReply) {
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN && r.hasQuota(snapshot, customer) {
		r.quota.Refund(customer)
	}
}

func (r *Router) hasQuota(snapshot *core.Snapshot, customer string) bool {
	return r.quota != nil && customer != "" && snapshot.Customer(customer).GetRate() > 0
}

// spreadWait returns a random time that is not before wait, so that callers refused together do not return together.
func spreadWait(wait time.Duration) time.Duration {
	jitter := max(wait/2, minQuotaJitter)
	return wait + time.Duration(rand.Int64N(int64(jitter)))
}
