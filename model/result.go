package model

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Tally counts what became of requests.
type Tally struct {
	Asked, InTime, Late, Refused, Failed int
	// Worth is that of the answers, Possible that of answers that are all in time.
	Worth, Possible float64
}

// Service returns the worth as a share of what was possible, from 0 to 1; 1 without requests.
func (t *Tally) Service() float64 {
	if t.Possible == 0 {
		return 1
	}
	return t.Worth / t.Possible
}

// Answered returns the share of requests that were answered; 1 without requests.
func (t *Tally) Answered() float64 {
	if t.Asked == 0 {
		return 1
	}
	return float64(t.InTime+t.Late) / float64(t.Asked)
}

func (t *Tally) add(o *Tally) {
	t.Asked += o.Asked
	t.InTime += o.InTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Worth += o.Worth
	t.Possible += o.Possible
}

// Result holds the tallies of one run.
type Result struct {
	pattern, policy string
	seconds         []Tally
	kinds           map[string]*Tally
	order           []string
}

func newResult(pattern Pattern, policy Policy) *Result {
	r := &Result{pattern: pattern.Name, policy: policy.Name, kinds: make(map[string]*Tally)}
	r.seconds = make([]Tally, int(pattern.Length/time.Second))
	for _, k := range pattern.Kinds {
		if k.PerSecond > 0 {
			r.order = append(r.order, k.Name)
			r.kinds[k.Name] = &Tally{}
		}
	}
	return r
}

// note counts the end of a caller's request that was first sent at asked.
func (r *Result) note(start time.Time, k *Kind, asked, now time.Time, answered, refused bool) {
	t := Tally{Asked: 1, Possible: k.Worth}
	switch {
	case answered && now.Sub(asked) <= k.Target:
		t.InTime, t.Worth = 1, k.Worth
	case answered:
		t.Late, t.Worth = 1, k.Late
	case refused:
		t.Refused = 1
	default:
		t.Failed = 1
	}
	if second := int(asked.Sub(start) / time.Second); second < len(r.seconds) {
		r.seconds[second].add(&t)
	}
	r.kinds[k.Name].add(&t)
}

// Kind returns the tally of one kind of request, or nil.
func (r *Result) Kind(name string) *Tally { return r.kinds[name] }

// Total returns the tally of all requests.
func (r *Result) Total() Tally {
	var total Tally
	for _, t := range r.kinds {
		total.add(t)
	}
	return total
}

// worstShare is the share of the seconds that count as the worst.
const worstShare = 0.2

// Worst returns the mean service of the worst seconds.
func (r *Result) Worst() float64 {
	shares := make([]float64, 0, len(r.seconds))
	for i := range r.seconds {
		shares = append(shares, r.seconds[i].Service())
	}
	slices.Sort(shares)
	n := max(1, int(worstShare*float64(len(shares))))
	sum := 0.0
	for _, share := range shares[:n] {
		sum += share
	}
	return sum / float64(n)
}

// barWidth is the width of the plot of one second.
const barWidth = 40

// Write prints the run: totals, kinds, and with plot the service of each second.
func (r *Result) Write(w io.Writer, plot bool) error {
	total := r.Total()
	if _, err := fmt.Fprintf(w, "%s, policy %s: service %.3f, worst seconds %.3f, answered %.3f\n",
		r.pattern, r.policy, total.Service(), r.Worst(), total.Answered()); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "kind\tasked\tin time\tlate\trefused\tfailed\tservice\t")
	for _, name := range r.order {
		t := r.kinds[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", name, t.Asked, t.InTime, t.Late, t.Refused, t.Failed, t.Service())
	}
	if plot {
		_, _ = fmt.Fprintln(table, "\t\t\t\t\t\t\t\nsecond\tasked\tin time\tlate\trefused\tfailed\tservice\t")
		for i := range r.seconds {
			t := &r.seconds[i]
			bar := strings.Repeat("#", int(t.Service()*barWidth+0.5))
			_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t |%-*s|\n", i, t.Asked, t.InTime, t.Late, t.Refused, t.Failed,
				t.Service(), barWidth, bar)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}
