package router

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestNoMemoryAtNode guards against a call that fails because the first node has no memory for its body, and against one that is
// sent again because its response is too large for a node.
func TestNoMemoryAtNode(t *testing.T) {
	for name, test := range map[string]struct {
		first  *schema.ExecuteReply
		status schema.Status
		sends  int
	}{
		"request":  {core.NotRun(schema.Reason_REASON_MEMORY), schema.Status_STATUS_ANSWERED, 2},
		"response": {core.Unknown(schema.Reason_REASON_MEMORY), schema.Status_STATUS_UNKNOWN, 1},
	} {
		t.Run(name, func(t *testing.T) {
			const earlierCalls = 20
			sends := 0
			withRetries := func(s *schema.Service) { s.SetRetryRatio(1); s.SetFreeResends(2) }
			r, _, _ := newConfiguredRouter(3, withRetries, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
				sends++
				if sends == earlierCalls+1 {
					return test.first
				}
				return answer(200)
			})
			for range earlierCalls {
				lookup(r)
			}
			qt.Check(t, lookup(r).GetStatus(), qt.Equals, test.status)
			qt.Check(t, sends-earlierCalls, qt.Equals, test.sends)
		})
	}
}
