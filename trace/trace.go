// Package trace reconstructs the path of one request from the logs of several nodes. It merges the relevant log lines in
// order of time and summarizes the outcome of the request and its cause.
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
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
	// contextBefore and contextAfter determine the time range around a request from which log lines about the instances
	// involved are shown.
	contextBefore = 2 * time.Second
	contextAfter  = 500 * time.Millisecond
	// maxContext is the maximum number of context lines shown in addition to those of the request.
	maxContext = 40
	// timeLayout is the layout of timestamps in the log.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
)

// line is a parsed log line.
type line struct {
	at     time.Time
	number int
	fields map[string]any
	// matches is set if the line names the request or one of its nested calls.
	matches bool
}

func (l *line) stringField(key string) string {
	text, _ := l.fields[key].(string)
	return text
}

func (l *line) floatField(key string) float64 {
	n, _ := l.fields[key].(float64)
	return n
}

// message returns the log message of the line.
func (l *line) message() string { return l.stringField("msg") }

// Trace collects the log lines that are relevant to one request.
type Trace struct {
	id    string
	lines []*line
	// unattributed contains the lines that name no request. They record what nodes knew about instances, the configuration
	// and themselves.
	unattributed []*line
	// nodeOf maps the names of instances to those of their nodes.
	nodeOf    map[string]string
	lineCount int
}

// New returns a trace for the request with the ID.
func New(id string) *Trace { return &Trace{id: id, nodeOf: make(map[string]string)} }

// Read adds the lines of a log. In each line, text before the JSON object, such as a prefix of a log collector, is ignored.
// Lines without a JSON object are skipped.
func (t *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		t.lineCount++
		if l := parseLine(scanner.Text(), t.lineCount); l != nil {
			t.add(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read line %d: %w", t.lineCount+1, err)
	}
	return nil
}

// parseLine parses a log line. It returns nil if the text is not a log line of a node.
func parseLine(text string, number int) *line {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil
	}
	l := &line{number: number}
	if err := json.Unmarshal([]byte(text[start:]), &l.fields); err != nil {
		return nil
	}
	at, err := time.Parse(timeLayout, l.stringField("ts"))
	if err != nil {
		return nil
	}
	l.at = at
	return l
}

func (t *Trace) add(l *line) {
	if l.message() == "another backend server" {
		t.nodeOf[l.stringField("instance")] = l.stringField("node")
	}
	switch request := l.stringField("request"); {
	case request == t.id || strings.HasPrefix(request, t.id+"."):
		l.matches = true
		t.lines = append(t.lines, l)
	case request == "":
		t.unattributed = append(t.unattributed, l)
	}
}

// UnknownRequestError reports that no log line names the request.
type UnknownRequestError struct {
	ID string
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no log line names request %q: it was answered in time by the first instance (counted in metrics, not logged), "+
		"it did not reach any of these nodes, or its log line was omitted (see \"log lines left out\")", e.ID)
}

// Write prints the log lines about the request in order of time, with context lines, and a summary. It returns an
// *UnknownRequestError if no line names the request.
func (t *Trace) Write(w io.Writer) error {
	if len(t.lines) == 0 {
		return &UnknownRequestError{ID: t.id}
	}
	lines := append(slices.Clone(t.lines), t.contextLines()...)
	slices.SortStableFunc(lines, func(a, b *line) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.number - b.number
	})
	for _, l := range lines {
		mark := " "
		if l.matches {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-20s %s%s\n", l.at.Format("15:04:05.000"), mark, l.stringField("node"), l.message(), l.details()); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "\n%s\n", t.conclusion()); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// details formats the fields of the line, except those that every line has.
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
				fmt.Fprintf(&b, " %s=%v", key, toDuration(value))
				continue
			}
			fmt.Fprintf(&b, " %s=%v", key, value)
		default:
			fmt.Fprintf(&b, " %s=%v", key, value)
		}
	}
	return b.String()
}

// toDuration converts a duration in seconds, as it is logged, and rounds it to 0.1 ms.
func toDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Microsecond)
}

// contextLines returns lines about the nodes and instances involved in the request, from shortly before it to shortly after.
func (t *Trace) contextLines() []*line {
	first, last := t.lines[0].at, t.lines[0].at
	involved := make(map[string]bool)
	for _, l := range t.lines {
		began := l.at.Add(-toDuration(l.floatField("took")))
		if began.Before(first) {
			first = began
		}
		if l.at.After(last) {
			last = l.at
		}
		involved[l.stringField("node")] = true
		for _, h := range l.hops() {
			involved[h.instance] = true
			if node := t.nodeOf[h.instance]; node != "" {
				involved[node] = true
			}
		}
	}
	var found []*line
	for _, l := range t.unattributed {
		if l.at.Before(first.Add(-contextBefore)) || l.at.After(last.Add(contextAfter)) {
			continue
		}
		about := l.stringField("name")
		if involved[l.stringField("node")] && (about == "" || involved[about]) {
			found = append(found, l)
		}
	}
	if len(found) > maxContext {
		found = found[len(found)-maxContext:]
	}
	return found
}
