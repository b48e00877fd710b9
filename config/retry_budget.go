package config

import (
	"time"

	"verbenareel/schema"
)

const (
	// maxRetrySlack is far above the retries that any fleet may send in one window.
	maxRetrySlack = 1_000_000
	// minBudgetWindow keeps the slots into which the window is divided longer than a millisecond.
	minBudgetWindow = 100 * time.Millisecond
)

// checkRetryBudget checks the bound on retries over all nodes, whose keys are all required.
func checkRetryBudget(c *checker, b *schema.RetryBudget) {
	const section = "retry_budget"
	c.checkRate(section, "ratio", b.GetRatio(), 1)
	c.checkRate(section, "slack", b.GetSlack(), maxRetrySlack)
	c.checkDuration(section, "window", b.GetWindow(), minBudgetWindow, maxInterval)
}
