package router

import (
	"math/rand/v2"
	"sync"

	"verbenareel/schema"
)

// splits distributes the calls of each rule with a traffic split among its services in proportion to their weights, by
// smooth weighted round robin. The count of each service stays within two calls of its share at any time. It is safe
// for concurrent use.
type splits struct {
	mu sync.Mutex
	// credits holds the calls due to each service of each rule.
	credits map[splitKey]float64
}

type splitKey struct {
	method, host, path string
	service            string
}

// nextService returns the service for the next call of a rule, or an empty string if no service of the split has a weight above
// 0.
func (s *splits) nextService(rule *schema.Rule) string {
	if len(rule.GetSplit()) == 0 {
		return rule.GetService()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil {
		s.credits = make(map[splitKey]float64)
	}
	total := 0.0
	for _, share := range rule.GetSplit() {
		total += max(0, share.GetWeight())
	}
	best := splitKey{}
	for _, share := range rule.GetSplit() {
		if share.GetWeight() <= 0 {
			continue
		}
		key := splitKey{rule.GetMethod(), rule.GetHost(), rule.GetPath(), share.GetService()}
		credit, ok := s.credits[key]
		if !ok {
			// Start at a random credit so that the first calls of many routers do not all go to the same service.
			credit = rand.Float64()
		}
		credit += share.GetWeight() / total
		s.credits[key] = credit
		if best.service == "" || credit > s.credits[best] {
			best = key
		}
	}
	if best.service != "" {
		s.credits[best]--
	}
	return best.service
}

// retain removes the credits of rules that are no longer in the document.
func (s *splits) retain(rules []*schema.Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[splitKey]float64)
	for _, rule := range rules {
		for _, share := range rule.GetSplit() {
			key := splitKey{rule.GetMethod(), rule.GetHost(), rule.GetPath(), share.GetService()}
			if credit, ok := s.credits[key]; ok {
				kept[key] = credit
			}
		}
	}
	s.credits = kept
}
