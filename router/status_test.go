package router

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

// TestMeaninglessStatus guards against a guard's reply that counts as answered although its code is no status code: its caller
// would get it as an answer, or a call would not be sent again although the server failed.
func TestMeaninglessStatus(t *testing.T) {
	for _, code := range []uint32{0, 20, 99, 1000, 1 << 31} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			c := qt.New(t)
			r, _, _ := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(code) })
			assertOutcome(c, lookup(r), schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_GARBLED)
		})
	}
	for _, code := range []uint32{200, 600, 999} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			r, _, _ := newTestRouter(1, func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply { return answer(code) })
			qt.Check(t, lookup(r).GetCode(), qt.Equals, code)
		})
	}
}
