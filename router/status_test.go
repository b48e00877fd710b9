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

// TestMalformedFields guards against a guard's reply that counts as answered although one of its header fields can't be written to a
// caller: a name that is no token, or a value that ends its line.
func TestMalformedFields(t *testing.T) {
	withField := func(name, value string) func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
		return func(context.Context, *schema.ExecuteRequest) *schema.ExecuteReply {
			reply := answer(200)
			reply.SetHeaders([]*schema.Header{
				schema.Header_builder{Name: "Vary", Value: []byte("a")}.Build(),
				schema.Header_builder{Name: name, Value: []byte(value)}.Build(),
			})
			return reply
		}
	}
	for _, field := range [][2]string{
		{"X Field", "v"}, {"X-Field ", "v"}, {"", "v"}, {"X:", "v"}, {"X\x00", "v"}, {"X\r\nY", "v"}, {"X\x7f", "v"},
		{"X", "a\r\nY: b"}, {"X", "a\nb"}, {"X", "\x00"},
	} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			r, _, _ := newTestRouter(1, withField(field[0], field[1]))
			assertOutcome(qt.New(t), lookup(r), schema.Status_STATUS_UNKNOWN, schema.Reason_REASON_GARBLED)
		})
	}
	for _, field := range [][2]string{{"X-Field", "a\tb"}, {"x!~", "\x80"}, {"X", ""}} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			r, _, _ := newTestRouter(1, withField(field[0], field[1]))
			qt.Check(t, lookup(r).GetCode(), qt.Equals, uint32(200))
		})
	}
}
