package guard_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReportWork guards against a router that takes the time in the queue for work, or the work for the way, and against
// fields in replies to routers that did not ask for them.
func TestReportWork(t *testing.T) {
	run(t, nil, func(b *harness) {
		request := lookup()
		request.SetRule("look")
		reply := b.Execute(context.Background(), request)
		b.Check(reply.HasLoad(), qt.IsTrue)
		b.Check(reply.GetWorkUs()+reply.GetHeldUs(), qt.Equals, uint32(0))
		request.SetReportWork(true)
		reply = b.Execute(context.Background(), request)
		want := uint32(service / time.Microsecond)
		b.Check(reply.GetWorkUs(), qt.Equals, want)
		b.Check(reply.GetHeldUs(), qt.Equals, want)
	})
}
