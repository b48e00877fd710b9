package config

import (
	"verbenareel/core"
	"verbenareel/schema"
)

// maxCustomerRate is the maximum rate and burst of a customer.
const maxCustomerRate = 10_000_000

// checkCustomers checks the customers. The errors do not quote the values of key_hashes, because an operator may have put a key
// there by mistake.
func checkCustomers(c *checker, customers map[string]*schema.Customer) {
	owners := make(map[string]string)
	for _, name := range sortedKeys(customers) {
		section := "customers." + name
		c.checkNumber(section, "rate", customers[name].GetRate(), 0, maxCustomerRate)
		c.checkNumber(section, "burst", customers[name].GetBurst(), 0, maxCustomerRate)
		for i, hash := range customers[name].GetKeyHashes() {
			if !core.ValidKeyHash(hash) {
				c.report(section, "key_hashes", "entry %d is not a key hash; expected 32 of 0-9 and a-f, as \"verbenareel key\" prints", i+1)
				continue
			}
			if owner, ok := owners[hash]; ok && owner != name {
				c.report(section, "key_hashes", "entry %d, %s..., is already listed by customers.%s", i+1, core.ShortKeyHash(hash), owner)
				continue
			}
			owners[hash] = name
		}
	}
}
