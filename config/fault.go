package config

import (
	"fmt"
	"strings"
)

// maxFaults bounds the faults kept for one text, so that a large invalid document costs bounded memory.
const maxFaults = 1000

// Fault is one reason why a text is not accepted.
type Fault struct {
	// Section is the table that holds the key, such as "services.sheets" or "rules[2]"; empty at the top of the text.
	Section string
	// Key is the key within the section; empty if the fault concerns the whole section.
	Key string
	// Line and Column count from 1; a missing key has the position of its section.
	Line, Column int
	Message      string
}

// String returns the fault as one line.
func (f Fault) String() string {
	where := "[" + f.Section + "]"
	if f.Section == "" {
		where = "top level"
	}
	if f.Key != "" {
		where += " " + f.Key
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", f.Line, f.Column, where, f.Message)
}

// Faults is the error of a text that is not accepted. It holds every fault that was found, in order of position, up to
// 1,000.
type Faults struct {
	list    []Fault
	omitted int
}

// Error implements error.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list)+1)
	for _, fault := range f.list {
		lines = append(lines, fault.String())
	}
	if f.omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d further faults omitted", f.omitted))
	}
	return strings.Join(lines, "\n")
}

// List returns the faults in order of position.
func (f *Faults) List() []Fault { return f.list }

// Omitted returns the number of faults beyond the kept ones.
func (f *Faults) Omitted() int { return f.omitted }

func (f *Faults) add(fault Fault) {
	if len(f.list) >= maxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, fault)
}
