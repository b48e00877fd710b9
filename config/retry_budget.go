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

// checkRetryBudget checks the bound on retries over all nodes, whose keys are all required, and that there is one if the
// service defaults order its use.
func checkRetryBudget(c *checker, s *schema.Settings) {
	const section = "retry_budget"
	b := s.GetRetryBudget()
	if b == nil {
		if s.GetServiceDefaults().GetRetryOrder() == schema.RetryOrder_RETRY_ORDER_WORTH {
			c.report("service_defaults", "retry_order", "needs the section [%s]", section)
		}
		return
	}
	c.checkRate(section, "ratio", b.GetRatio(), 1)
	c.checkRate(section, "slack", b.GetSlack(), maxRetrySlack)
	c.checkDuration(section, "window", b.GetWindow(), minBudgetWindow, maxInterval)
}
