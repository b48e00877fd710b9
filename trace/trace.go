// Package trace follows one request through the log lines of several nodes: it joins the lines in order of time and says how
// the request ended and why.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
	// before and after are the times around a request from which lines about the instances that it met are shown.
	before = 2 * time.Second
	after  = 500 * time.Millisecond
	// maxContext bounds the lines that are shown beside those of the request.
	maxContext = 40
	// timeLayout is the layout of times in the log.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
)

// line is one log line.
type line struct {
	at     time.Time
	number int
	fields map[string]any
	// own tells that the line names the request or a call that it made.
	own bool
}

func (l *line) text(key string) string {
	text, _ := l.fields[key].(string)
	return text
}

func (l *line) number64(key string) float64 {
	n, _ := l.fields[key].(float64)
	return n
}

// message is the text of the line.
func (l *line) message() string { return l.text("msg") }

// Trace collects the lines about one request.
type Trace struct {
	id    string
	lines []*line
	// beliefs are lines that name no request: what nodes believed of instances, the configuration and themselves.
	beliefs []*line
	// nodes holds the node of each instance.
	nodes  map[string]string
	number int
}

// New returns a trace of the request with the id.
func New(id string) *Trace { return &Trace{id: id, nodes: make(map[string]string)} }

// Read takes the lines of a log. Text before the JSON object of a line, such as that of a log collector, is skipped; so are
// lines without one.
func (t *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		t.number++
		if l := parse(scanner.Text(), t.number); l != nil {
			t.take(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("line %d: %w", t.number+1, err)
	}
	return nil
}

// parse returns the line of a text, or nil if it is none.
func parse(text string, number int) *line {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil
	}
	l := &line{number: number}
	if err := json.Unmarshal([]byte(text[start:]), &l.fields); err != nil {
		return nil
	}
	at, err := time.Parse(timeLayout, l.text("ts"))
	if err != nil {
		return nil
	}
	l.at = at
	return l
}

func (t *Trace) take(l *line) {
	if l.message() == "another backend server" {
		t.nodes[l.text("instance")] = l.text("node")
	}
	switch request := l.text("request"); {
	case request == t.id || strings.HasPrefix(request, t.id+"."):
		l.own = true
		t.lines = append(t.lines, l)
	case request == "":
		t.beliefs = append(t.beliefs, l)
	}
}

// UnknownRequestError tells that no line names the request.
type UnknownRequestError struct {
	ID string
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names request %q: it was answered in time by the first instance (which is counted, not logged), "+
		"reached none of these nodes, or its line was left out (see \"log lines left out\")", e.ID)
}

// Write prints the lines about the request in order of time, and its conclusion. It fails with an *UnknownRequestError if
// there are none.
func (t *Trace) Write(w io.Writer) error {
	if len(t.lines) == 0 {
		return &UnknownRequestError{ID: t.id}
	}
	lines := append(slices.Clone(t.lines), t.context()...)
	slices.SortStableFunc(lines, func(a, b *line) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.number - b.number
	})
	for _, l := range lines {
		mark := " "
		if l.own {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-20s %s%s\n", l.at.Format("15:04:05.000"), mark, l.text("node"), l.message(), l.details()); err != nil {
			return fmt.Errorf("write the trace: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "\n%s\n", t.conclusion()); err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	return nil
}

// details returns the fields of the line beside those that each line has.
func (l *line) details() string {
	var b strings.Builder
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		switch key {
		case "msg", "ts", "level", "caller", "node":
		default:
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		switch value := l.fields[key].(type) {
		case string:
			fmt.Fprintf(&b, " %s=%q", key, value)
		case float64:
			if key == "took" || key == "target" || key == "after" || key == "away" || key == "gap" {
				fmt.Fprintf(&b, " %s=%v", key, seconds(value))
				continue
			}
			fmt.Fprintf(&b, " %s=%v", key, value)
		default:
			fmt.Fprintf(&b, " %s=%v", key, value)
		}
	}
	return b.String()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Microsecond)
}

// context returns lines about the nodes and instances that the request met, from shortly before it to shortly after.
func (t *Trace) context() []*line {
	first, last := t.lines[0].at, t.lines[0].at
	involved := make(map[string]bool)
	for _, l := range t.lines {
		began := l.at.Add(-seconds(l.number64("took")))
		if began.Before(first) {
			first = began
		}
		if l.at.After(last) {
			last = l.at
		}
		involved[l.text("node")] = true
		for _, h := range l.hops() {
			involved[h.instance] = true
			if node := t.nodes[h.instance]; node != "" {
				involved[node] = true
			}
		}
	}
	var found []*line
	for _, l := range t.beliefs {
		if l.at.Before(first.Add(-before)) || l.at.After(last.Add(after)) {
			continue
		}
		about := l.text("name")
		if involved[l.text("node")] && (about == "" || involved[about]) {
			found = append(found, l)
		}
	}
	if len(found) > maxContext {
		found = found[len(found)-maxContext:]
	}
	return found
}
