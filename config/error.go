package config

import (
	"fmt"
	"strings"
)

// maxFaults limits the number of errors kept for one text, so that a large invalid document uses bounded memory.
const maxFaults = 1000

// ValidationError is a validation error: one reason why a text is rejected.
type ValidationError struct {
	// Section is the table that contains the key, such as "services.sheets" or "rules[2]"; empty for top-level keys.
	Section string
	// Key is the key within the section; empty if the error concerns the whole section.
	Key string
	// Line and Column are 1-based. The error for a missing key has the position of its section.
	Line, Column int
	Message      string
}

// String formats the error on one line.
func (f ValidationError) String() string {
	where := "[" + f.Section + "]"
	if f.Section == "" {
		where = "top level"
	}
	if f.Key != "" {
		where += " " + f.Key
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", f.Line, f.Column, where, f.Message)
}

// ValidationErrors is the error for a text that is rejected. It contains all validation errors, at most 1,000, in order of position.
type ValidationErrors struct {
	list    []ValidationError
	omitted int
}

// Error implements error.
func (f *ValidationErrors) Error() string {
	lines := make([]string, 0, len(f.list)+1)
	for _, fault := range f.list {
		lines = append(lines, fault.String())
	}
	if f.omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more errors omitted", f.omitted))
	}
	return strings.Join(lines, "\n")
}

// List returns the validation errors in order of position.
func (f *ValidationErrors) List() []ValidationError { return f.list }

// Omitted returns the number of validation errors that List does not contain because there were too many.
func (f *ValidationErrors) Omitted() int { return f.omitted }

func (f *ValidationErrors) add(fault ValidationError) {
	if len(f.list) >= maxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, fault)
}
