package config

import (
	"bytes"
	"regexp"

	"google.golang.org/protobuf/proto"

	"verbenareel/schema"
)

// placeholder matches a placeholder of a settings template.
var placeholder = regexp.MustCompile(`\{\{[^{}\n]*\}\}`)

// dropUnfilled empties the lines of settings with placeholders that were not filled in. A platform that is older than the template
// does not know their fields, so their defaults apply. The other lines keep their numbers.
func dropUnfilled(text []byte) []byte {
	if !placeholder.Match(text) {
		return text
	}
	lines := bytes.Split(text, []byte("\n"))
	for i, line := range lines {
		if placeholder.Match(line) {
			lines[i] = nil
		}
	}
	return bytes.Join(lines, []byte("\n"))
}

// dropEmptyBudget removes a retry budget of which no key was filled in, and the order of its use.
func dropEmptyBudget(settings *schema.Settings) {
	if !settings.HasRetryBudget() || proto.Size(settings.GetRetryBudget()) > 0 {
		return
	}
	settings.ClearRetryBudget()
	if defaults := settings.GetServiceDefaults(); defaults.GetRetryOrder() == schema.RetryOrder_RETRY_ORDER_WORTH {
		defaults.SetRetryOrder(schema.RetryOrder_RETRY_ORDER_UNSPECIFIED)
	}
}
