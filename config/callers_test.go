package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

// TestCallers guards against limits of callers that are accepted with a wrong unit, or that the machine cannot hold.
func TestCallers(t *testing.T) {
	_, err := ParseSettings([]byte("[callers]\nmemory = 32\nbody_timeout = \"1us\"\n"))
	qt.Assert(t, err, qt.IsNotNil)
	for _, part := range []string{"line 2, column 1: [callers] memory", "line 3, column 1: [callers] body_timeout"} {
		qt.Check(t, strings.Contains(err.Error(), part), qt.IsTrue, qt.Commentf("%v", err))
	}
	s := schema.Settings_builder{Callers: schema.Callers_builder{Memory: 64 << 20, MaxConnections: 5000}.Build()}.Build()
	qt.Check(t, CallerWarnings(s, 184<<20, 4100), qt.HasLen, 2)
	qt.Check(t, CallerWarnings(s, 1<<30, 20000), qt.HasLen, 0)
}
