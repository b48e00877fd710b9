package budget_test

import (
	"fmt"
	"time"

	"verbenareel/budget"
)

// A bucket starts empty, fills at its rate and never holds more than its burst.
func ExampleBucket() {
	now := time.Unix(0, 0)
	probes := budget.New(2, 1)
	fmt.Println(probes.Take(now))
	fmt.Println(probes.Take(now.Add(500 * time.Millisecond)))
	fmt.Println(probes.Take(now.Add(600 * time.Millisecond)))
	// Output:
	// false
	// true
	// false
}
