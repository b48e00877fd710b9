package guard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestRepeatShare guards against counting requests that did not run, and against a share that never falls again.
func TestRepeatShare(t *testing.T) {
	now := time.Unix(1000, 0)
	first, repeat := &schema.ExecuteRequest{}, schema.ExecuteRequest_builder{EarlierArrivals: 1}.Build()
	ran := schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED}.Build()
	r := &repeats{}
	for range 3 {
		r.record(now, first, ran)
		r.record(now, repeat, core.NotRun(schema.Reason_REASON_SHED))
	}
	r.record(now, repeat, ran)
	qt.Check(t, r.share(now), qt.Equals, 0.25)
	qt.Check(t, r.share(now.Add(10*repeatDecayTime)) < 0.01, qt.IsTrue)
}
