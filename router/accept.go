package router

import (
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

// maxDocumentAge is the age of the document's last confirmation up to which calls are refused for good by the document. A document
// must be in force everywhere within 4 s of its acceptance, and a confirmation may take 1 s to reach the node.
const maxDocumentAge = 3 * time.Second

// NeedsBody implements core.HeadGate.
func (r *Router) NeedsBody(input *core.Call) bool {
	t := r.current(r.clock.Now())
	return t.snapshot != nil && t.snapshot.Route(input.Method, input.Host, input.Path) != nil
}

// accept validates the input and returns the state of the call, or the reply that refuses it.
func (r *Router) accept(now time.Time, input *core.Call) (*call, *schema.ExecuteReply) {
	// The age is that of this document or of an earlier one, since a later document may replace it at any moment.
	mayBeOld := r.DocumentMayBeOld(now)
	t := r.current(now)
	if t.snapshot == nil {
		return nil, withoutFurtherRetry(core.NotRun(schema.Reason_REASON_NO_CONFIGURATION))
	}
	if input.Depth >= core.MaxDepth {
		return nil, withoutFurtherRetry(core.NotRun(schema.Reason_REASON_DEPTH))
	}
	rule := t.snapshot.Route(input.Method, input.Host, input.Path)
	switch {
	case rule == nil && mayBeOld:
		return nil, refuseForNow(schema.Reason_REASON_NO_CONFIGURATION)
	case rule == nil:
		return nil, withoutFurtherRetry(core.NotRun(schema.Reason_REASON_NO_RULE))
	case input.BodyUnread:
		// The rule came into force after the head of the request had been read.
		return nil, withoutFurtherRetry(core.NotRun(schema.Reason_REASON_NO_CONFIGURATION))
	}
	identity, refusal := authenticate(t.snapshot, rule, input, mayBeOld)
	if refusal != nil {
		return nil, refusal
	}
	service := r.splits.nextService(rule)
	g := t.groups[service]
	if g == nil {
		// The document allows the call, so its caller is to send it again: a later document may name a service for it.
		return nil, refuseForNow(schema.Reason_REASON_NO_INSTANCE)
	}
	if bound := g.settings.GetMaxBody(); bound > 0 && len(input.Body) > int(bound) {
		if mayBeOld {
			return nil, refuseForNow(schema.Reason_REASON_NO_CONFIGURATION)
		}
		return nil, withoutFurtherRetry(core.NotRun(schema.Reason_REASON_TOO_LARGE))
	}
	timeout := g.settings.GetTimeout().AsDuration()
	if rule.HasTimeout() {
		timeout = rule.GetTimeout().AsDuration()
	}
	if input.Timeout > 0 {
		timeout = min(timeout, input.Timeout)
	}
	c := &call{input: input, rule: rule, service: service, group: g, deadline: now.Add(timeout)}
	c.customer, c.customerName, c.priority = identity.charged, identity.name, identity.priority
	c.profile = r.leaving.profileOf(rule)
	if !r.endsInTime(input, c.deadline) {
		return nil, r.finalReply(c, core.NotRun(schema.Reason_REASON_LEAVING))
	}
	if rule.HasTargetLatency() {
		c.target = now.Add(rule.GetTargetLatency().AsDuration())
	}
	c.fingerprint = core.Fingerprint(service, input.Method, input.URI, input.Body)
	if !rule.GetRepeatable() {
		c.ticket = input.Ticket
	}
	return c, nil
}

// DocumentMayBeOld reports whether a later document, with further rules or other limits, may have to be in force. It is safe for
// concurrent use.
func (r *Router) DocumentMayBeOld(now time.Time) bool {
	confirmer, ok := r.snapshots.(core.Confirmer)
	return ok && now.Sub(confirmer.ConfirmedAt()) > maxDocumentAge
}

// refuseForNow returns the refusal of a call for a reason that may not last. Its caller is told when to send it again.
func refuseForNow(reason schema.Reason) *schema.ExecuteReply {
	refusal := withoutFurtherRetry(core.NotRun(reason))
	refusal.SetRetryAfterUs(retryAfter(reason).Microseconds())
	return refusal
}
