package config

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/quota"
	"verbenareel/schema"
)

const (
	quotaSection = "quota_tolerance"
	// minQuotaWindow is several times the life of a token. A call may run as much later than it was charged.
	minQuotaWindow = time.Second
	maxExcess      = 10
	maxSlack       = 1_000_000
)

// applyQuotaDefaults sets the keys of the quota tolerance that are not in the text.
func applyQuotaDefaults(settings *schema.Settings, present func(section, key string) bool) {
	if !settings.HasQuotaTolerance() {
		settings.SetQuotaTolerance(&schema.QuotaTolerance{})
	}
	t := settings.GetQuotaTolerance()
	if !present(quotaSection, "window") {
		t.SetWindow(durationpb.New(quota.DefaultWindow))
	}
	if !present(quotaSection, "excess") {
		t.SetExcess(quota.DefaultExcess)
	}
	if !present(quotaSection, "slack") {
		t.SetSlack(quota.DefaultSlack)
	}
}

func checkQuotaTolerance(c *checker, t *schema.QuotaTolerance) {
	c.checkDuration(quotaSection, "window", t.GetWindow(), minQuotaWindow, maxInterval)
	c.checkNumber(quotaSection, "excess", t.GetExcess(), 0, maxExcess)
	c.checkNumber(quotaSection, "slack", t.GetSlack(), 0, maxSlack)
}
