package core

import (
	"strconv"
	"strings"
	"time"
)

// HTTP header fields of the native wire format, used between callers, nodes and backend servers.
const (
	// HeaderTicket is the ticket of a non-idempotent call.
	HeaderTicket = "Verbenareel-Ticket"
	// HeaderNextTicket is a ticket for the caller's next call.
	HeaderNextTicket = "Verbenareel-Next-Ticket"
	// HeaderOutcome is the outcome of an unanswered call, for example "not-run; reason=busy".
	HeaderOutcome = "Verbenareel-Outcome"
	// HeaderTimeout is the remaining time of a call in milliseconds.
	HeaderTimeout = "Verbenareel-Timeout"
	// HeaderDepth is the nesting depth of a call.
	HeaderDepth = "Verbenareel-Depth"
	// HeaderRetried marks a refusal by a nested call. Routers do not retry it.
	HeaderRetried = "Verbenareel-Retried"
	// HeaderNotRun marks the response of a backend server that shed the call.
	HeaderNotRun = "Verbenareel-Not-Run"
	// HeaderLoad is the load report of a backend server.
	HeaderLoad = "Verbenareel-Load"
	// HeaderKey is the API key of a caller.
	HeaderKey = "Verbenareel-Key"
	// HeaderCustomer is the customer that the API key belongs to. Nodes set it for backend servers.
	HeaderCustomer = "Verbenareel-Customer"
)

// ProbePath is the path at which a backend server answers probes.
const ProbePath = "/verbenareel/load"

// WireFormat is a wire format: the header fields and conventions that callers, nodes and backend servers use on top of HTTP.
// Each string field except ProbePath is the name of a header field; an empty name means that the format has no such field.
type WireFormat struct {
	// RequestID is the ID of a call. Backend servers echo it in the response.
	RequestID string
	// Timeout is the remaining time of a call in milliseconds.
	Timeout string
	// Depth is the nesting depth of a call.
	Depth string
	// Ticket and NextTicket are the tickets of non-idempotent calls.
	Ticket     string
	NextTicket string
	// Outcome is the outcome of an unanswered call. Retried marks a call that has already been retried.
	Outcome string
	Retried string
	// Target is the instance that must run a request. Other instances respond with 421 (Misdirected Request) and do not
	// run it.
	Target string
	// Caller is the service of the node that received a call first.
	Caller string
	// Key is the API key of a call. It is not forwarded. Customer is the name of the customer that the key belongs to, for
	// the backend server; a value from the caller is not forwarded.
	Key      string
	Customer string
	// NotRun marks the response of a backend server that did not run the request.
	NotRun string
	// ResponseSignature is present on every response that a backend server creates. A response without it comes from another source.
	ResponseSignature string
	// Load is the load report of a backend server.
	Load string
	// Instance and ColdTime are present on probe responses: the name of the instance, and the remaining time of its cold
	// start in milliseconds.
	Instance string
	ColdTime string
	// ServersDropCancelled reports that most backend servers drop a request when its connection is closed.
	ServersDropCancelled bool
	// CloseDelimitedBodies reports that a response body may be delimited by the end of the connection.
	CloseDelimitedBodies bool
	// ProbePath is the default probe path, used if the document sets none.
	ProbePath string
	// ParseLoad parses the value of Load. ok is false if the value is malformed.
	ParseLoad func(value string) (report *ServerReport, ok bool)
}

// NativeWire returns the native wire format.
func NativeWire() *WireFormat {
	return &WireFormat{
		Timeout:    HeaderTimeout,
		Depth:      HeaderDepth,
		Ticket:     HeaderTicket,
		NextTicket: HeaderNextTicket,
		Outcome:    HeaderOutcome,
		Retried:    HeaderRetried,
		NotRun:     HeaderNotRun,
		Load:       HeaderLoad,
		Key:        HeaderKey,
		Customer:   HeaderCustomer,
		ProbePath:  ProbePath,
		ParseLoad:  ParseLoad,
	}
}

// IsCallField reports whether a header field is one that the node consumes from a call and sets itself when forwarding.
func (w *WireFormat) IsCallField(name string) bool {
	return isField(name, w.Timeout) || isField(name, w.Depth) || isField(name, w.Ticket) || isField(name, w.Target) ||
		isField(name, w.Caller) || isField(name, w.Key) || isField(name, w.Customer)
}

// IsOutcomeField reports whether a header field is one that a node uses to report the outcome of a call.
func (w *WireFormat) IsOutcomeField(name string) bool {
	return isField(name, w.Outcome) || isField(name, w.NextTicket)
}

// isField reports whether name is the header field of the wire format. An empty field matches no name.
func isField(name, field string) bool {
	return len(name) == len(field) && field != "" && strings.EqualFold(name, field)
}

// ServerReport is the load report of a backend server about itself. It can be outdated or wrong.
type ServerReport struct {
	// InFlight and Queued are the numbers of running and waiting requests.
	InFlight int
	Queued   int
	// Limit is the maximum number of requests that the server runs concurrently.
	Limit int
	// Pace is the current processing time in percent of the usual one; 0 if it is unknown.
	Pace int
	// HasState reports whether Cold, ColdRemaining and Draining are set.
	HasState bool
	Cold     bool
	// ColdRemaining is the remaining time of the cold start; 0 if it is unknown.
	ColdRemaining time.Duration
	Draining      bool
	// Incarnation identifies the process of the server, Instance is its name; zero values mean unknown.
	Incarnation uint64
	Instance    string
}

// ParseLoad parses the value of HeaderLoad. It ignores unknown keys. ok is false if the value is malformed.
func ParseLoad(value string) (report *ServerReport, ok bool) {
	report = &ServerReport{HasState: true}
	for value != "" {
		field, rest, _ := strings.Cut(value, ";")
		value = rest
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !setLoadField(report, strings.TrimSpace(name), strings.TrimSpace(text)) {
			return nil, false
		}
	}
	return report, true
}

func setLoadField(report *ServerReport, name, text string) bool {
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

// ParseCount parses an unsigned number of at most 31 bits into count and reports whether it is valid.
func ParseCount(text string, count *int) bool {
	number, err := strconv.ParseUint(text, 10, 31)
	*count = int(number)
	return err == nil
}
