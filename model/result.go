package model

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Tally counts the outcomes of requests.
type Tally struct {
	Requests, OnTime, Late, Refused, Failed int
	// Worth is the total worth of the answers. Possible is the total worth if all requests had been answered in time.
	Worth, Possible float64
}

// Service returns Worth as a share of Possible, from 0 to 1. It returns 1 if there were no requests.
func (t *Tally) Service() float64 {
	if t.Possible == 0 {
		return 1
	}
	return t.Worth / t.Possible
}

// Answered returns the share of requests that were answered. It returns 1 if there were no requests.
func (t *Tally) Answered() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.OnTime+t.Late) / float64(t.Requests)
}

func (t *Tally) add(o *Tally) {
	t.Requests += o.Requests
	t.OnTime += o.OnTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Worth += o.Worth
	t.Possible += o.Possible
}

// Result holds the tallies of one run, per second and per kind of request.
type Result struct {
	pattern, policy string
	seconds         []Tally
	kinds           map[string]*Tally
	kindNames       []string
}

func newResult(pattern Pattern, policy Policy) *Result {
	r := &Result{pattern: pattern.Name, policy: policy.Name, kinds: make(map[string]*Tally)}
	r.seconds = make([]Tally, int(pattern.Length/time.Second))
	for _, k := range pattern.Kinds {
		if k.ArrivalRate > 0 {
			r.kindNames = append(r.kindNames, k.Name)
			r.kinds[k.Name] = &Tally{}
		}
	}
	return r
}

// record counts a finished request of a caller that was first sent at asked.
func (r *Result) record(start time.Time, k *Kind, asked, now time.Time, answered, refused bool) {
	t := Tally{Requests: 1, Possible: k.Worth}
	switch {
	case answered && now.Sub(asked) <= k.Target:
		t.OnTime, t.Worth = 1, k.Worth
	case answered:
		t.Late, t.Worth = 1, k.LateWorth
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

// Kind returns the tally of one kind of request, or nil if the kind is unknown or occurs only as a nested call.
func (r *Result) Kind(name string) *Tally { return r.kinds[name] }

// Total returns the tally of all requests.
func (r *Result) Total() Tally {
	var total Tally
	for _, t := range r.kinds {
		total.add(t)
	}
	return total
}

// worstShare is the share of all seconds that Worst averages.
const worstShare = 0.2

// Worst returns the mean service of the seconds with the lowest service.
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

// barWidth is the width in characters of the bar for one second.
const barWidth = 40

// Write prints the totals and a table by kind and, if plot is set, a table with a bar for each second.
func (r *Result) Write(w io.Writer, plot bool) error {
	total := r.Total()
	if _, err := fmt.Fprintf(w, "%s, policy %s: service %.3f, worst seconds %.3f, answered %.3f\n",
		r.pattern, r.policy, total.Service(), r.Worst(), total.Answered()); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "kind\trequests\tin time\tlate\trejected\tfailed\tservice\t")
	for _, name := range r.kindNames {
		t := r.kinds[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", name, t.Requests, t.OnTime, t.Late, t.Refused, t.Failed, t.Service())
	}
	if plot {
		_, _ = fmt.Fprintln(table, "\t\t\t\t\t\t\t\nsecond\trequests\tin time\tlate\trejected\tfailed\tservice\t")
		for i := range r.seconds {
			t := &r.seconds[i]
			bar := strings.Repeat("#", int(t.Service()*barWidth+0.5))
			_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t |%-*s|\n", i, t.Requests, t.OnTime, t.Late, t.Refused, t.Failed,
				t.Service(), barWidth, bar)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}
