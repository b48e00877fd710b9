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

// authenticate returns the customer of a call, or the reply that refuses the call. If the document may be old, a later one may list
// the key, so the refusal of an unknown key is not final. A call without a key is refused for good.
func authenticate(s *core.Snapshot, rule *schema.Rule, input *core.Call, mayBeOld bool) (identity, *schema.ExecuteReply) {
	id := identity{name: s.CustomerByKey(input.KeyHash), priority: rule.GetPriority()}
	needed := s.NeedsKey(rule)
	if needed && id.name == "" && mayBeOld && input.KeyHash != "" {
		return id, refuseForNow(schema.Reason_REASON_NO_CONFIGURATION)
	}
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
