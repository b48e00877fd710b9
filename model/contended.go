package model

import (
	"time"

	"verbenareel/schema"
)

// contendedServices returns two services. Runs of the first make nested calls to the second.
func contendedServices() []Service {
	service := func(name string, servers int) Service {
		return Service{Name: name, Servers: servers, Slots: 9, Knee: 1.7, SlowShare: 0.1, SlowFactor: 3}
	}
	return []Service{service("front", 16), service("back", 6)}
}

func contendedKinds() []Kind {
	const ms = time.Millisecond
	low, normal, high := schema.Priority_PRIORITY_LOW, schema.Priority_PRIORITY_NORMAL, schema.Priority_PRIORITY_HIGH
	return []Kind{
		{Name: "lookup", Service: "front", ArrivalRate: 180, Work: 220 * ms, Target: 600 * ms, Timeout: 1200 * ms, Priority: normal,
			Repeatable: true, Worth: 1, LateWorth: 0.1, Calls: "check", CallShare: 0.7},
		{Name: "order", Service: "front", ArrivalRate: 60, Work: 290 * ms, Target: 1500 * ms, Timeout: 3000 * ms, Priority: low,
			Worth: 1, LateWorth: 0.1},
		{Name: "command", Service: "back", ArrivalRate: 40, Work: 150 * ms, Target: 400 * ms, Timeout: 1000 * ms, Priority: normal,
			Worth: 2, LateWorth: 0.2},
		{Name: "urgent", Service: "back", ArrivalRate: 70, Work: 88 * ms, Target: 250 * ms, Timeout: 700 * ms, Priority: high,
			Worth: 3, LateWorth: 0.3},
		{Name: "check", Service: "back", Work: 55 * ms, Target: 150 * ms, Timeout: 600 * ms, Priority: normal, Repeatable: true},
	}
}

// contendedPatterns returns the patterns in which retries or capacity are short for calls of unlike worth.
func contendedPatterns() []Pattern {
	base := func(name, about string) Pattern {
		return Pattern{
			Name: name, Description: about, Length: 20 * time.Second, Services: contendedServices(), Kinds: contendedKinds(),
			Retries: 2, SharedDeadline: true,
		}
	}
	long := base("long-burst", "a burst of the least urgent, longest calls, which must not run twice, from 5 s to 11 s")
	long.Kinds[1].RateFactor = rateFactorBetween(5*time.Second, 11*time.Second, 5)
	shed := base("random-shed", "servers of one service shed 55% at random from 5 s to 13 s, beside a burst of its most urgent calls")
	some, none := 0.55, 0.0
	shed.Kinds[3].RateFactor = rateFactorBetween(6*time.Second, 12*time.Second, 2.3)
	shed.Changes = []Change{
		{At: 5 * time.Second, Service: "back", Share: 1, Shed: &some},
		{At: 13 * time.Second, Service: "back", Share: 1, Shed: &none},
	}
	return []Pattern{long, shed}
}
