package config

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQuotaTolerance guards against defaults that replace a value that is set, and against a wrong unit that is accepted.
func TestQuotaTolerance(t *testing.T) {
	c := qt.New(t)
	base := string(readExample(c, "node.toml"))
	settings, err := ParseSettings([]byte(base + "\n[quota_tolerance]\nexcess = 0.0\n"))
	c.Assert(err, qt.IsNil)
	c.Check(settings.GetQuotaTolerance().GetWindow().AsDuration(), qt.Equals, 5*time.Second)
	c.Check(settings.GetQuotaTolerance().GetExcess(), qt.Equals, 0.0)
	c.Check(settings.GetQuotaTolerance().GetSlack(), qt.Equals, 20.0)
	for _, fault := range []string{`window = "5ms"`, `window = "5h"`, "excess = -0.1", "excess = 25", "excess = nan", "slack = 2000000"} {
		_, err := ParseSettings([]byte(base + "\n[quota_tolerance]\n" + fault + "\n"))
		c.Check(err, qt.ErrorMatches, `(?s).*\[?quota_tolerance.*`, qt.Commentf("%s", fault))
	}
}
