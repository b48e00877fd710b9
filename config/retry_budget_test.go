package config

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRetryBudgetSettings guards against a bound on retries that is incomplete or has values of a wrong unit.
func TestRetryBudgetSettings(t *testing.T) {
	c := qt.New(t)
	const section = "[retry_budget]\n"
	settings := func(keys string) error {
		_, err := ParseSettings([]byte(section + keys))
		return err
	}
	own := func(err error) []ValidationError {
		var faults *ValidationErrors
		c.Assert(errors.As(err, &faults), qt.IsTrue)
		var list []ValidationError
		for _, f := range faults.List() {
			if f.Section == "retry_budget" {
				list = append(list, f)
			}
		}
		return list
	}
	c.Check(own(settings("ratio = 0.2\nwindow = \"10s\"\nslack = 212\n")), qt.HasLen, 0)
	c.Check(own(settings("ratio = 0\nwindow = \"10s\"\nslack = 0\n")), qt.HasLen, 0)
	c.Check(own(settings("")), qt.HasLen, 3)
	wrong := own(settings("ratio = 20\nwindow = \"10ms\"\nslack = -1\n"))
	c.Assert(wrong, qt.HasLen, 3)
	for i, key := range []string{"ratio", "window", "slack"} {
		c.Check(wrong[i].Key, qt.Equals, key)
		c.Check(wrong[i].Line, qt.Equals, i+2)
	}

	_, err := ParseSettings([]byte("[service_defaults]\nretry_order = \"worth\"\n"))
	c.Check(err, qt.ErrorMatches, `(?s).*retry_order.*needs the section \[retry_budget\].*`)
	_, err = ParseSettings([]byte("[service_defaults]\nretry_order = \"first\"\n"))
	c.Check(err, qt.ErrorMatches, `(?s).*retry_order.*one of arrival, worth.*`)
}
