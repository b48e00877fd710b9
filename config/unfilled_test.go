package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnfilledPlaceholders guards against a node that does not start, because the platform does not know a field of the settings
// template, and against a required key that is missed for it.
func TestUnfilledPlaceholders(t *testing.T) {
	const minimalSettings = "instance = \"sheets-1\"\nservice = \"sheets\"\ndomain = \"sapporo\"\nhttp_address = \"127.0.0.1:7201\"\n" +
		"rpc_address = \"127.0.0.1:7301\"\nstatus_address = \"127.0.0.1:7401\"\nbackend_address = \"127.0.0.1:7101\"\nplatform_url = \"http://127.0.0.1:7000\"\n"
	const tail = "\n[service_defaults]\nretry_order = \"worth\"\nqueue = 18\n" +
		"{{#bounds.quota_window}}\n[quota_tolerance]\nwindow = \"{{bounds.quota_window}}\"\nslack = {{bounds.quota_slack}}\n{{/bounds.quota_window}}\n" +
		"[retry_budget]\nratio = {{bounds.ratio}}\nwindow = \"{{bounds.window}}\"\nslack = {{bounds.slack}}\n"
	settings, err := ParseSettings([]byte(minimalSettings + tail))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, settings.HasRetryBudget(), qt.IsFalse)
	qt.Check(t, settings.GetServiceDefaults().GetQueue(), qt.Equals, uint32(18))
	qt.Check(t, settings.GetQuotaTolerance().GetWindow().AsDuration() > 0, qt.IsTrue)
	missing := strings.Replace(minimalSettings, "instance = \"sheets-1\"", "instance = \"{{node_id}}\"", 1)
	qt.Assert(t, missing, qt.Not(qt.Equals), minimalSettings)
	_, err = ParseSettings([]byte(missing))
	qt.Check(t, err, qt.ErrorMatches, "(?s).*instance.*")
}
