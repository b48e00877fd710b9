package main

import (
	"fmt"
	stdio "io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"verbenareel/node"
)

// writeCustomers writes the status of the customers as a table, or nothing without customers.
func writeCustomers(w stdio.Writer, customers []node.CustomerReport) error {
	if len(customers) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\ncustomer\tkeys\tcalls/s here\tquota/s\tcalls\trefused")
	for _, c := range customers {
		quota := "none"
		if c.Quota > 0 {
			quota = fmt.Sprint(c.Quota)
		}
		var refused []string
		for _, reason := range slices.Sorted(maps.Keys(c.Refused)) {
			refused = append(refused, fmt.Sprintf("%s %d", reason, c.Refused[reason]))
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%s\t%d\t%s\n", c.Customer, strings.Join(c.Keys, " "), c.Rate, quota, c.Calls,
			strings.Join(refused, ", "))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write customers: %w", err)
	}
	return nil
}
