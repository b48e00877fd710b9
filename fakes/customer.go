package fakes

import (
	"maps"
	"net/http"

	"verbenareel/core"
)

// customerCounts counts the runs of a Backend by the customer that its node named.
type customerCounts struct {
	runs map[string]int
	// keys counts the calls that carried an API key. A node never forwards one.
	keys int
	// repeated counts the calls with more than one customer.
	repeated int
}

// record counts a call that runs.
func (c *customerCounts) record(header http.Header) {
	if len(header.Values(core.HeaderKey)) > 0 {
		c.keys++
	}
	names := header.Values(core.HeaderCustomer)
	if len(names) > 1 {
		c.repeated++
	}
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[header.Get(core.HeaderCustomer)]++
}

// CustomerRuns holds the runs of a Backend by customer.
type CustomerRuns struct {
	// Runs counts the runs by customer; those without one have an empty name.
	Runs map[string]int `json:"runs"`
	// Keys counts the calls that carried an API key, and Repeated those with more than one customer. Both must be 0.
	Keys     int `json:"keys"`
	Repeated int `json:"repeated"`
}

// CustomerRuns returns the runs by customer.
func (b *Backend) CustomerRuns() CustomerRuns {
	b.mu.Lock()
	defer b.mu.Unlock()
	return CustomerRuns{Runs: maps.Clone(b.customers.runs), Keys: b.customers.keys, Repeated: b.customers.repeated}
}

// handleCustomers responds with the runs by customer.
func (b *Backend) handleCustomers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, b.CustomerRuns())
}
