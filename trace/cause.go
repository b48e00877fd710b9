package trace

import (
	"fmt"
	"strings"
)

// hop is one send of a call, as the field hops gives it.
type hop struct {
	instance, outcome, known string
}

// knowledge is what the router knew of the instance when it chose it.
func (h hop) knowledge() string {
	if h.known == "nothing known" {
		return "nothing of it"
	}
	return h.known
}

// hops returns the sends of the line, such as "sheets-1:not-run/busy(18+4/18 pace 1.2 age 12ms)".
func (l *line) hops() []hop {
	var hops []hop
	for text := l.text("hops"); text != ""; {
		instance, rest, ok := strings.Cut(text, ":")
		if !ok {
			return hops
		}
		outcome, rest, ok := strings.Cut(rest, "(")
		if !ok {
			return hops
		}
		known, rest, _ := strings.Cut(rest, ")")
		hops = append(hops, hop{instance: instance, outcome: outcome, known: known})
		text = strings.TrimPrefix(rest, " ")
	}
	return hops
}

// causes say what a reason means for the one who asks why.
var causes = map[string]string{
	"busy":              "all slots of the instance were in use and the call would have waited past its target or deadline",
	"preempted":         "it waited for a slot, and a call that was worth more took its place in the queue",
	"deadline":          "its time was over before the instance answered",
	"leaving":           "the instance was leaving",
	"out-of-service":    "the instance or its failure domain is out of service by the document",
	"shed":              "the backend server refused the call itself",
	"poisoned":          "the same request crashed backend servers before",
	"suspect":           "the request may have crashed a backend server and could not be run alone in time",
	"no-configuration":  "the node had no configuration yet",
	"no-rule":           "no rule of the configuration matches its host, method and path",
	"no-instance":       "no instance of the service could get work",
	"retry-budget":      "each instance that was tried refused it, and the retry budget of the service was spent",
	"connect":           "no connection to the backend server could be opened",
	"connection-lost":   "the connection ended before the answer: the backend server or its node stopped, or reset it",
	"truncated":         "the answer ended early",
	"crashed":           "the backend server crashed with the call in flight",
	"connection-silent": "the connection to the other node went silent",
	"node-lost":         "the connection to the other node ended before its reply",
	"unreachable":       "the other node could not be reached",
	"wrong-instance":    "another backend server is at the address now",
	"paused":            "the process of the node had stood still and was checking its state",
	"cold":              "the backend server was in cold start and had begun as many calls of the second as it can",
	"slow":              "the backend server was in a slow phase",
	"cancelled":         "the caller gave up",
	"garbled":           "the answer was not one to this request",
	"too-large":         "the request or its answer is over a bound of the service",
	"depth":             "the chain of calls is too deep",
	"ticket-required":   "a call that may not repeat needs a ticket",
}

// last returns the last line of the request itself, or of a call that it made if there is none.
func (t *Trace) last() *line {
	var last *line
	for _, l := range t.lines {
		if l.text("outcome") == "" && l.text("reason") == "" {
			continue
		}
		own, lastOwn := l.text("request") == t.id, last != nil && last.text("request") == t.id
		if last == nil || own && !lastOwn || own == lastOwn && !l.at.Before(last.at) {
			last = l
		}
	}
	return last
}

// conclusion says in a few sentences how the request ended and why.
func (t *Trace) conclusion() string {
	l := t.last()
	if l == nil {
		return fmt.Sprintf("Request %s: its end is not in these lines; it is logged at the node that its caller used.", t.id)
	}
	text := fmt.Sprintf("Request %s: %s", l.text("request"), ending(l))
	if hops := l.hops(); len(hops) > 0 {
		text += sends(hops)
	}
	if nested := t.failedNested(l); nested != nil {
		text += fmt.Sprintf(" The run had made call %s, which ended so: %s", nested.text("request"), ending(nested))
	}
	return text
}

// ending says how the call of a line ended.
func ending(l *line) string {
	cause := causes[l.text("reason")]
	if cause == "" {
		cause = "reason " + l.text("reason")
	}
	took := seconds(l.number64("took"))
	switch {
	case l.message() == "call answered late":
		return fmt.Sprintf("answered with %v after %v, past its target of %v.", l.number64("code"), took, seconds(l.number64("target")))
	case l.text("outcome") == "answered" && l.number64("code") >= 500:
		return fmt.Sprintf("the backend server answered %v after %v.", l.number64("code"), took)
	case l.text("outcome") == "answered":
		return fmt.Sprintf("answered with %v after %v.", l.number64("code"), took)
	case l.text("outcome") == "unknown":
		return fmt.Sprintf("it may have run, and there is no answer, after %v: %s.", took, cause)
	case l.text("outcome") == "":
		return fmt.Sprintf("refused before it was sent to an instance, and did not run: %s.", cause)
	}
	return fmt.Sprintf("refused after %v, and did not run: %s.", took, cause)
}

// sends tells of the instances that a call was sent to.
func sends(hops []hop) string {
	parts := make([]string, 0, len(hops))
	for _, h := range hops {
		outcome := strings.TrimPrefix(strings.TrimPrefix(h.outcome, "not-run/"), "unknown/")
		parts = append(parts, fmt.Sprintf("%s (%s; the router knew %s)", h.instance, outcome, h.knowledge()))
	}
	return fmt.Sprintf(" It was sent to %s.", strings.Join(parts, ", then to "))
}

// failedNested returns the last line of a call that the request made and that was not answered, if the request itself was
// answered with an error or not at all.
func (t *Trace) failedNested(end *line) *line {
	if end.text("request") != t.id || end.text("outcome") == "answered" && end.number64("code") < 500 {
		return nil
	}
	var failed *line
	for _, l := range t.lines {
		if l.text("request") != t.id && l.text("outcome") != "" && (l.text("outcome") != "answered" || l.number64("code") >= 500) {
			failed = l
		}
	}
	return failed
}
