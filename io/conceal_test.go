package io

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestConcealContent guards against an API key in a trailer that reaches the log or a response with the error of a read that
// timed out or exceeded a limit: the parser wraps such errors together with what it has read.
func TestConcealContent(t *testing.T) {
	for _, cause := range []error{os.ErrDeadlineExceeded, fasthttp.ErrBodyTooLarge, errMemoryFull} {
		err := concealContent(fmt.Errorf("read trailer: %w, contents: secret-key", cause))
		qt.Check(t, err, qt.ErrorIs, cause)
		qt.Check(t, err.Error(), qt.Not(qt.Contains), "secret-key")
	}
	qt.Check(t, concealContent(nil), qt.IsNil)
}
