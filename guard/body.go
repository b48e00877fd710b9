package guard

import (
	"verbenareel/core"
	"verbenareel/schema"
)

var _ core.BodyGate = (*Guard)(nil)

// RefuseBody implements core.BodyGate. A large body is not worth transferring if its call would be refused. An eager call is
// refused here, before the transfer, and waits in the queue after it.
func (g *Guard) RefuseBody(instance string, eager bool) schema.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.refresh(now)
	switch {
	case instance != g.member().GetInstance():
		return schema.Reason_REASON_WRONG_INSTANCE
	case g.controller.Closed() != schema.Reason_REASON_NONE:
		return g.controller.Closed()
	case !eager:
		return schema.Reason_REASON_NONE
	case g.pace.slow():
		return schema.Reason_REASON_SLOW
	case g.controller.InFlight()+g.controller.Queued() >= g.limiter.Limit(now):
		return schema.Reason_REASON_BUSY
	}
	return schema.Reason_REASON_NONE
}
