package core

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"verbenareel/schema"
)

// keyHashBytes is the number of bytes of the SHA-256 hash of an API key that identify the key.
const keyHashBytes = 16

// HashKey returns the hash by which documents and nodes identify an API key: the first 16 bytes of its SHA-256 hash, in
// lower-case hexadecimal. The key cannot be derived from it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

// Customer returns the settings of a customer, or nil if the document does not list it.
func (s *Snapshot) Customer(name string) *schema.Customer {
	return s.Document().GetCustomers()[name]
}

// CustomerRates returns the quotas of all customers in calls per second, by name; 0 stands for a customer without a limit.
func (s *Snapshot) CustomerRates() map[string]float64 {
	rates := make(map[string]float64, len(s.Document().GetCustomers()))
	for name, c := range s.Document().GetCustomers() {
		rates[name] = c.GetRate()
	}
	return rates
}

// NeedsKey reports whether the calls of a rule need the API key of a customer.
func (s *Snapshot) NeedsKey(rule *schema.Rule) bool {
	return len(s.Document().GetCustomers()) > 0 && !rule.GetKeyExempt()
}

// CustomerByKey returns the name of the customer that an API key with the HashKey belongs to, or an empty string.
func (s *Snapshot) CustomerByKey(keyHash string) string { return s.customers[keyHash] }

// ValidKeyHash reports whether a text has the form of a HashKey.
func ValidKeyHash(text string) bool {
	digit := func(r rune) bool { return r >= '0' && r <= '9' || r >= 'a' && r <= 'f' }
	return len(text) == 2*keyHashBytes && strings.IndexFunc(text, func(r rune) bool { return !digit(r) }) < 0
}

// shortHashDigits is the number of digits by which an operator tells keys apart.
const shortHashDigits = 8

// ShortKeyHash returns the form of a HashKey that logs and status pages show.
func ShortKeyHash(keyHash string) string { return keyHash[:min(len(keyHash), shortHashDigits)] }

// customersByKey returns the names of the customers by the hashes of their API keys.
func customersByKey(document *schema.Document) map[string]string {
	customers := make(map[string]string)
	for name, c := range document.GetCustomers() {
		for _, hash := range c.GetKeyHashes() {
			if hash != "" {
				customers[hash] = name
			}
		}
	}
	return customers
}
