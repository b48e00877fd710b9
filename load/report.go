package load

import (
	"fmt"
	stdio "io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the highest latency that the histograms record. Higher latencies are recorded as maxLatency.
const maxLatency = time.Minute

// Summary holds the results of a run by class.
type Summary struct {
	classes []*ClassSummary
}

// ClassSummary holds the results of one class.
type ClassSummary struct {
	name     string
	latency  *hdrhistogram.Histogram
	outcomes map[string]int
	reasons  map[string]int
}

func newSummary(classes []Class) *Summary {
	s := &Summary{}
	for _, c := range classes {
		s.classes = append(s.classes, &ClassSummary{
			name:     c.Name,
			latency:  hdrhistogram.New(1, maxLatency.Microseconds(), 3),
			outcomes: make(map[string]int),
			reasons:  make(map[string]int),
		})
	}
	return s
}

func (s *Summary) add(call Call) {
	c := s.Class(call.Class)
	c.outcomes[call.Outcome]++
	if call.Reason != "" {
		c.reasons[call.Outcome+"/"+call.Reason]++
	}
	if call.Outcome == OutcomeAnswered {
		_ = c.latency.RecordValue(min(call.Latency, maxLatency).Microseconds())
	}
}

// Classes returns the summaries in the order of the plan.
func (s *Summary) Classes() []*ClassSummary { return s.classes }

// Class returns the summary of the class with the given name, or nil.
func (s *Summary) Class(name string) *ClassSummary {
	for _, c := range s.classes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// Count returns the number of calls of all classes that ended with the outcome.
func (s *Summary) Count(outcome string) int {
	count := 0
	for _, c := range s.classes {
		count += c.outcomes[outcome]
	}
	return count
}

// Total returns the number of calls of all classes.
func (s *Summary) Total() int {
	total := 0
	for _, c := range s.classes {
		total += c.Total()
	}
	return total
}

// Quantile returns the latency quantile q, between 0 and 1, of the answered calls of all classes.
func (s *Summary) Quantile(q float64) time.Duration {
	all := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, c := range s.classes {
		all.Merge(c.latency)
	}
	return time.Duration(all.ValueAtQuantile(q*100)) * time.Microsecond
}

// Name returns the name of the class.
func (c *ClassSummary) Name() string { return c.name }

// Total returns the number of calls of the class.
func (c *ClassSummary) Total() int {
	total := 0
	for _, n := range c.outcomes {
		total += n
	}
	return total
}

// Count returns the number of calls that ended with the outcome.
func (c *ClassSummary) Count(outcome string) int { return c.outcomes[outcome] }

// Reasons returns the number of calls by "outcome/reason".
func (c *ClassSummary) Reasons() map[string]int { return maps.Clone(c.reasons) }

// Quantile returns the latency quantile q, between 0 and 1, of the answered calls.
func (c *ClassSummary) Quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// Record is the JSON form of the summary of one class. Latencies are in milliseconds.
type Record struct {
	Class    string         `json:"class"`
	Calls    int            `json:"calls"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
	P999     float64        `json:"p999_ms"`
}

// Records returns the summary in its JSON form.
func (s *Summary) Records() []Record {
	records := make([]Record, 0, len(s.classes))
	for _, c := range s.classes {
		records = append(records, Record{
			Class:    c.name,
			Calls:    c.Total(),
			Outcomes: c.outcomes,
			Reasons:  c.reasons,
			P50:      milliseconds(c.Quantile(0.5)),
			P99:      milliseconds(c.Quantile(0.99)),
			P999:     milliseconds(c.Quantile(0.999)),
		})
	}
	return records
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTable writes the summary as a text table.
func (s *Summary) WriteTable(w stdio.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "class\tcalls\tanswered\tnot-run\tunknown\terror\twrong\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, r := range s.Records() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", r.Class, r.Calls,
			r.Outcomes[OutcomeAnswered], r.Outcomes[OutcomeNotRun], r.Outcomes[OutcomeUnknown],
			r.Outcomes[OutcomeError], r.Outcomes[OutcomeWrongAnswer], r.P50, r.P99, r.P999)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, c := range s.classes {
		for _, reason := range slices.Sorted(maps.Keys(c.reasons)) {
			if _, err := fmt.Fprintf(w, "  %s: %s: %d\n", c.name, reason, c.reasons[reason]); err != nil {
				return fmt.Errorf("write reasons: %w", err)
			}
		}
	}
	return nil
}
