package core

import (
	"strconv"
	"strings"
	"time"
)

// HTTP header fields between callers, nodes and backend servers in the wire format of this project.
const (
	// HeaderTicket carries the ticket of a call that may not repeat.
	HeaderTicket = "Verbenareel-Ticket"
	// HeaderNextTicket carries a ticket for the caller's next call.
	HeaderNextTicket = "Verbenareel-Next-Ticket"
	// HeaderOutcome gives the outcome of a call without an answer: "not-run; reason=busy".
	HeaderOutcome = "Verbenareel-Outcome"
	// HeaderTimeout is the time that remains for a call in milliseconds.
	HeaderTimeout = "Verbenareel-Timeout"
	// HeaderDepth is the layer of a call.
	HeaderDepth = "Verbenareel-Depth"
	// HeaderRetried marks a refusal from deeper in the chain; routers do not retry it.
	HeaderRetried = "Verbenareel-Retried"
	// HeaderNotRun marks a response of a backend server that shed the call.
	HeaderNotRun = "Verbenareel-Not-Run"
	// HeaderLoad is the load report of a backend server.
	HeaderLoad = "Verbenareel-Load"
)

// ProbePath is the path at which a backend server answers a probe.
const ProbePath = "/verbenareel/load"

// Wire is the format in which callers, nodes and backend servers exchange what HTTP itself has no field for. Each field
// of type string is the name of a header field; an empty name means that the format has none.
type Wire struct {
	// RequestID identifies a call. A backend server repeats it in its response.
	RequestID string
	// Timeout is the time that remains for a call in milliseconds.
	Timeout string
	// Depth is the layer of a call.
	Depth string
	// Ticket and NextTicket carry the tickets of calls that may not repeat.
	Ticket     string
	NextTicket string
	// Outcome tells a caller what became of a call without an answer; Retried marks it as retried already.
	Outcome string
	Retried string
	// Target is the instance that is to run a request. Another one answers 421 (misdirected request) and does not run it.
	Target string
	// Caller is the service of the node at which a call began.
	Caller string
	// NotRun marks the response of a backend server that did not run the request.
	NotRun string
	// Seal is on each response that a backend server made; one without it is not its response.
	Seal string
	// Load is the load report of a backend server.
	Load string
	// Instance and ColdTime are on the response to a probe: the name of the instance, and the milliseconds for which it
	// stays in cold start.
	Instance string
	ColdTime string
	// DropsCancelled tells that most backend servers drop a request when its connection closes.
	DropsCancelled bool
	// UnframedBodies tells that a response may have no length and end with its connection.
	UnframedBodies bool
	// ProbePath is the path of a probe if the document gives none.
	ProbePath string
	// ParseLoad parses the value of Load; ok is false if the value is malformed.
	ParseLoad func(value string) (report *ServerReport, ok bool)
}

// OwnWire returns the wire format of this project.
func OwnWire() *Wire {
	return &Wire{
		Timeout:    HeaderTimeout,
		Depth:      HeaderDepth,
		Ticket:     HeaderTicket,
		NextTicket: HeaderNextTicket,
		Outcome:    HeaderOutcome,
		Retried:    HeaderRetried,
		NotRun:     HeaderNotRun,
		Load:       HeaderLoad,
		ProbePath:  ProbePath,
		ParseLoad:  ParseLoad,
	}
}

// IsCallField reports whether a header field is one of those that the node reads from a call and sets anew.
func (w *Wire) IsCallField(name string) bool {
	return named(name, w.Timeout) || named(name, w.Depth) || named(name, w.Ticket) || named(name, w.Target) ||
		named(name, w.Caller)
}

// IsOutcomeField reports whether a header field is one by which a node tells the outcome of a call.
func (w *Wire) IsOutcomeField(name string) bool {
	return named(name, w.Outcome) || named(name, w.NextTicket)
}

// named reports whether a header field has the given name; an empty name stands for no field.
func named(name, field string) bool {
	return len(name) == len(field) && field != "" && strings.EqualFold(name, field)
}

// ServerReport is what a backend server says of itself. It may lag or mislead.
type ServerReport struct {
	// InFlight and Queued are the requests that it runs and that wait.
	InFlight int
	Queued   int
	// Limit is the number of requests that it runs at once.
	Limit int
	// Pace is the time that work takes now in hundredths of the usual time; 0 if it is not known.
	Pace int
	// HasState tells whether Cold, ColdFor and Draining are part of the report.
	HasState bool
	Cold     bool
	// ColdFor is how long it stays cold; 0 if it is not known.
	ColdFor  time.Duration
	Draining bool
	// Incarnation is the number of its process, Instance its name; zero values stand for unknown.
	Incarnation uint64
	Instance    string
}

// ParseLoad parses the value of HeaderLoad. Unknown keys are ignored; ok is false if the value is malformed.
func ParseLoad(value string) (report *ServerReport, ok bool) {
	report = &ServerReport{HasState: true}
	for value != "" {
		field, rest, _ := strings.Cut(value, ";")
		value = rest
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !setLoad(report, strings.TrimSpace(name), strings.TrimSpace(text)) {
			return nil, false
		}
	}
	return report, true
}

func setLoad(report *ServerReport, name, text string) bool {
	switch name {
	case "in-flight":
		return ParseCount(text, &report.InFlight)
	case "limit":
		return ParseCount(text, &report.Limit)
	case "state":
		report.Cold = text == "cold"
		report.Draining = text == "draining"
		return text == "warm" || report.Cold || report.Draining
	case "incarnation":
		number, err := strconv.ParseUint(text, 10, 64)
		report.Incarnation = number
		return err == nil
	}
	return true
}

// ParseCount parses a number of at most 31 bits.
func ParseCount(text string, count *int) bool {
	number, err := strconv.ParseUint(text, 10, 31)
	*count = int(number)
	return err == nil
}
