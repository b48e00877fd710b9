package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

// TestCustomers guards against customers and exempt rules that the parser drops, and against a node without customers that
// requires keys.
func TestCustomers(t *testing.T) {
	c := qt.New(t)
	d, err := ParseDocument(readExample(c, "customers.toml"))
	c.Assert(err, qt.IsNil)
	s := core.NewSnapshot(1, d, nil)
	c.Check(s.CustomerByKey(core.HashKey("example-key-of-atelier")), qt.Equals, "atelier")
	c.Check(s.CustomerByKey(core.HashKey("next-example-key-of-atelier")), qt.Equals, "atelier")
	c.Check(s.CustomerByKey(core.HashKey("example-key-of-counter")), qt.Equals, "counter")
	c.Check(s.Customer("atelier").GetRate(), qt.Equals, 120.0)
	c.Check(s.Customer("atelier").GetBurst(), qt.Equals, 60.0)
	c.Check(s.Customer("atelier").GetPriority(), qt.Equals, schema.Priority_PRIORITY_UNSPECIFIED)
	c.Check(s.Customer("counter").GetPriority(), qt.Equals, schema.Priority_PRIORITY_HIGH)
	c.Check(s.NeedsKey(s.Route("GET", "", "/sheets/1")), qt.IsTrue)
	c.Check(s.NeedsKey(s.Route("GET", "", "/internal/sheets/1")), qt.IsFalse)
	d, err = ParseDocument([]byte(validDocument))
	c.Assert(err, qt.IsNil)
	c.Check(core.NewSnapshot(1, d, nil).NeedsKey(d.GetRules()[0]), qt.IsFalse)
}

// TestCustomerFaults guards against faults of customers that are accepted, or reported elsewhere or with a key in the error.
func TestCustomerFaults(t *testing.T) {
	hash := core.HashKey("k")
	for name, tc := range map[string]struct {
		lines string
		want  []wantFault
	}{
		"key in place of its hash": {`key_hashes = ["secret"]`, []wantFault{{"customers.a", "key_hashes", 20, "entry 1 is not a key hash"}}},
		"upper case":               {`key_hashes = ["` + strings.ToUpper(hash) + `"]`, []wantFault{{"customers.a", "key_hashes", 20, "entry 1"}}},
		"whole hash":               {`key_hashes = ["` + hash + hash + `"]`, []wantFault{{"customers.a", "key_hashes", 20, "entry 1"}}},
		"empty":                    {`key_hashes = ["` + hash + `", ""]`, []wantFault{{"customers.a", "key_hashes", 20, "entry 2"}}},
		"no list":                  {`key_hashes = "secret"`, []wantFault{{"customers.a", "key_hashes", 20, "expected a list"}}},
		"key in its own field":     {`keys = ["secret"]`, []wantFault{{"customers.a", "keys", 20, "did you mean"}}},
		"two customers": {"key_hashes = [\"" + hash + "\"]\n[customers.b]\nkey_hashes = [\"" + hash + "\"]", []wantFault{
			{"customers.b", "key_hashes", 22, "already listed by customers.a"},
		}},
		"numbers": {"rate = -1\nburst = -0.5", []wantFault{{"customers.a", "rate", 20, "0 to"}, {"customers.a", "burst", 21, "0 to"}}},
		"no finite numbers": {"rate = inf\nburst = nan", []wantFault{
			{"customers.a", "rate", 20, "finite"}, {"customers.a", "burst", 21, "finite"},
		}},
		"priority": {`priority = "urgent"`, []wantFault{{"customers.a", "priority", 20, "one of low, normal, high"}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseDocument([]byte(validDocument + "[customers.a]\n" + tc.lines + "\n"))
			assertFaults(qt.New(t), err, tc.want...)
			qt.Check(t, err.Error(), qt.Not(qt.Contains), "secret")
		})
	}
	_, err := ParseDocument([]byte(validDocument + "[customers.a]\nkey_hashes = [\"" + hash + "\", \"" + hash + "\"]\n"))
	qt.Check(t, err, qt.IsNil)
}
