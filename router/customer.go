package router

import (
	"verbenareel/core"
	"verbenareel/schema"
)

// identity is what the API key of a call says about it.
type identity struct {
	// name is the customer that the key belongs to, and charged the one whose quota the call counts toward. Both are empty
	// without a customer; charged is also empty if the rule is exempt.
	name     string
	charged  string
	priority schema.Priority
}

// authenticate returns the customer of a call, or the reply that refuses the call.
func authenticate(s *core.Snapshot, rule *schema.Rule, input *core.Call) (identity, *schema.ExecuteReply) {
	id := identity{name: s.CustomerByKey(input.KeyHash), priority: rule.GetPriority()}
	needed := s.NeedsKey(rule)
	if needed && id.name == "" {
		return id, withoutFurtherRetry(core.NotRun(schema.Reason_REASON_UNKNOWN_KEY))
	}
	if needed {
		id.charged = id.name
	}
	if own := s.Customer(id.name).GetPriority(); own != schema.Priority_PRIORITY_UNSPECIFIED {
		id.priority = own
	}
	return id, nil
}
