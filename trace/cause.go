package trace

import (
	"fmt"
	"strings"
)

// hop is one attempt to send a call to an instance, parsed from the field hops. load is the load report that the router had
// for the instance when it selected it.
type hop struct {
	instance, outcome, load string
}

// describeLoad returns the load report that the router had for the instance, if there was one.
func (h hop) describeLoad() string {
	if h.load == "nothing known" {
		return "no report yet"
	}
	return h.load
}

// hops parses the field hops of the line, a list of hops such as "sheets-1:not-run/busy(18+4/18 pace 1.2 age 12ms)".
func (l *line) hops() []hop {
	var hops []hop
	for text := l.stringField("hops"); text != ""; {
		instance, rest, ok := strings.Cut(text, ":")
		if !ok {
			return hops
		}
		outcome, rest, ok := strings.Cut(rest, "(")
		if !ok {
			return hops
		}
		load, rest, _ := strings.Cut(rest, ")")
		hops = append(hops, hop{instance: instance, outcome: outcome, load: load})
		text = strings.TrimPrefix(rest, " ")
	}
	return hops
}

// reasonTexts explains each reason to an operator.
var reasonTexts = map[string]string{
	"busy":                "all slots of the instance were in use, and the call would have waited past its target latency or deadline",
	"preempted":           "it was queued for a slot, and a call that ranks higher took its place in the queue",
	"deadline":            "its deadline passed before the instance answered",
	"leaving":             "the instance was leaving",
	"out-of-service":      "the instance or its failure domain is out of service according to the configuration document",
	"shed":                "the backend server rejected the call itself (load shedding)",
	"poisoned":            "the same request has crashed backend servers before",
	"suspect":             "the request is suspected of crashing a backend server and could not run in isolation in time",
	"no-configuration":    "the node had no configuration yet, or none that allows it while a later one may be in force",
	"other-configuration": "the node of the instance refused it by another configuration than that of the router",
	"no-rule":             "no rule of the configuration matches its host, method and path",
	"unknown-key":         "its rule needs the API key of a customer, and it carried none that the configuration lists",
	"no-instance":         "no instance of the service could accept work, or its rule leads to no service",
	"quota":               "the customer had used up its quota over all nodes",
	"retry-budget":        "every instance that was tried refused it, and the retry budget of the service was exhausted",
	"connect":             "no connection to the backend server could be opened",
	"connection-lost":     "the connection ended before the response: the backend server or its node stopped, or reset it",
	"truncated":           "the response was truncated",
	"crashed":             "the backend server crashed while the call was in flight",
	"connection-silent":   "the connection to the other node stopped delivering data",
	"node-lost":           "the connection to the other node closed before its reply",
	"unreachable":         "the other node could not be reached",
	"wrong-instance":      "a different backend server is now at the address",
	"paused":              "the process of the node had been paused and was revalidating its state",
	"cold":                "the backend server was in cold start and had reached its rate of new calls",
	"slow":                "the backend server was temporarily slow",
	"cancelled":           "the caller cancelled the request",
	"garbled":             "the response did not belong to this request, had no valid status, or lacked the signature of the backend server",
	"unmarked-refusal":    "the backend server answered 408, 421, 429 or 503 without its mark that the request did not run",
	"memory":              "the node had no memory left for large bodies",
	"too-large":           "the request or its response exceeds a size limit of the service",
	"depth":               "the chain of nested calls is too deep",
	"malformed":           "its header or body could not be parsed",
	"ticket-required":     "a call that is not repeatable needs a ticket",
	"ticket-invalid":      "its ticket is forged or damaged",
	"ticket-mismatch":     "its ticket was used for another request",
	"ticket-closed":       "its ticket was refused for good",
	"ticket-expired":      "the outcome of its ticket is no longer kept",
	"tickets-full":        "the instance had no room for more tickets",
	"incarnation":         "the process that kept the outcome of its ticket is gone",
	"answer-dropped":      "it ran, and its response is no longer kept",
	"chain":               "the chain of its tickets had reached the maximum length",
	"entry":               "no instance of the service could serve it in time, so it was not sent",
}

// lastOutcome returns the last line with an outcome or a reason: of the request itself, or of one of its nested calls if the
// request has no such line. It returns nil if there is none.
func (t *Trace) lastOutcome() *line {
	var last *line
	for _, l := range t.lines {
		if l.stringField("outcome") == "" && l.stringField("reason") == "" {
			continue
		}
		own, lastOwn := l.stringField("request") == t.id, last != nil && last.stringField("request") == t.id
		if last == nil || own && !lastOwn || own == lastOwn && !l.at.Before(last.at) {
			last = l
		}
	}
	return last
}

// conclusion summarizes the outcome of the request and its cause in a few sentences.
func (t *Trace) conclusion() string {
	l := t.lastOutcome()
	if l == nil {
		return fmt.Sprintf("Request %s: no outcome in these lines; it is logged by the node that received the request from its caller.", t.id)
	}
	text := fmt.Sprintf("Request %s: %s", l.stringField("request"), describeOutcome(l))
	if hops := l.hops(); len(hops) > 0 {
		text += describeHops(hops)
	}
	if nested := t.failedNested(l); nested != nil {
		text += fmt.Sprintf(" While it ran, it made the nested call %s: %s", nested.stringField("request"), describeOutcome(nested))
	}
	return text
}

// describeOutcome describes the outcome that a line records.
func describeOutcome(l *line) string {
	cause := reasonTexts[l.stringField("reason")]
	if cause == "" {
		cause = "reason " + l.stringField("reason")
	}
	took := toDuration(l.floatField("took"))
	switch {
	case l.message() == "call answered late":
		return fmt.Sprintf("answered with %v after %v, later than its target latency of %v.", l.floatField("code"), took, toDuration(l.floatField("target")))
	case l.stringField("outcome") == "answered" && l.floatField("code") >= 500:
		return fmt.Sprintf("the backend server returned status %v after %v.", l.floatField("code"), took)
	case l.stringField("outcome") == "answered":
		return fmt.Sprintf("answered with %v after %v.", l.floatField("code"), took)
	case l.stringField("outcome") == "unknown":
		return fmt.Sprintf("no response after %v, and it may have run: %s.", took, cause)
	case l.stringField("outcome") == "":
		return fmt.Sprintf("refused without being sent to an instance, and did not run: %s.", cause)
	}
	return fmt.Sprintf("refused after %v, and did not run: %s.", took, cause)
}

// describeHops lists the instances to which a call was sent.
func describeHops(hops []hop) string {
	parts := make([]string, 0, len(hops))
	for _, h := range hops {
		outcome := strings.TrimPrefix(strings.TrimPrefix(h.outcome, "not-run/"), "unknown/")
		parts = append(parts, fmt.Sprintf("%s (%s; load known to the router: %s)", h.instance, outcome, h.describeLoad()))
	}
	return fmt.Sprintf(" It was sent to %s.", strings.Join(parts, ", then to "))
}

// failedNested returns the last line of a nested call of the request that failed, or nil. end is the last line of the
// request; if the request itself did not fail, failedNested returns nil.
func (t *Trace) failedNested(end *line) *line {
	if end.stringField("request") != t.id || end.stringField("outcome") == "answered" && end.floatField("code") < 500 {
		return nil
	}
	var failed *line
	for _, l := range t.lines {
		if l.stringField("request") != t.id && l.stringField("outcome") != "" && (l.stringField("outcome") != "answered" || l.floatField("code") >= 500) {
			failed = l
		}
	}
	return failed
}
