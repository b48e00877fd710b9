package io

import (
	"strconv"
	"strings"

	"verbenareel/core"
	"verbenareel/schema"
)

// isHopByHop reports whether a header field concerns one connection only (RFC 9110, section 7.6.1), or gives the
// length of the body, which the writer of a message derives itself.
func isHopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "TE")
	case 6:
		return strings.EqualFold(name, "Expect")
	case 7:
		return strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Upgrade")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length")
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	}
	return false
}

// isCallField reports whether a header field is one of those that the node reads from a call and sets anew.
func isCallField(name string) bool {
	return strings.EqualFold(name, core.HeaderTimeout) || strings.EqualFold(name, core.HeaderDepth) ||
		strings.EqualFold(name, core.HeaderTicket)
}

// namedIn reports whether a list of tokens, the value of a Connection field, names the field.
func namedIn(list, name string) bool {
	for list != "" {
		token, rest, _ := strings.Cut(list, ",")
		if strings.EqualFold(strings.TrimSpace(token), name) {
			return true
		}
		list = rest
	}
	return false
}

// keepEndToEnd removes the header fields that concern one connection, in place. It keeps the length if keepLength is
// set, for responses without a body to derive it from.
func keepEndToEnd(headers []*schema.Header, keepLength bool) []*schema.Header {
	listed := ""
	for _, h := range headers {
		if strings.EqualFold(h.GetName(), "Connection") {
			listed += "," + string(h.GetValue())
		}
	}
	kept := headers[:0]
	for _, h := range headers {
		name := h.GetName()
		isLength := keepLength && strings.EqualFold(name, "Content-Length")
		if isLength || !isHopByHop(name) && !namedIn(listed, name) {
			kept = append(kept, h)
		}
	}
	return kept
}

// newHeader copies a header field out of the buffers of fasthttp.
func newHeader(name, value []byte) *schema.Header {
	return schema.Header_builder{Name: string(name), Value: append([]byte{}, value...)}.Build()
}

// isFold reports whether a name of a header field is the given one, without regard to case.
func isFold(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// parseLoad parses the value of core.HeaderLoad. Unknown keys are ignored; ok is false if the value is malformed.
func parseLoad(value string) (report *core.ServerReport, ok bool) {
	report = &core.ServerReport{}
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

func setLoad(report *core.ServerReport, name, text string) bool {
	switch name {
	case "in-flight":
		return parseCount(text, &report.InFlight)
	case "limit":
		return parseCount(text, &report.Limit)
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

func parseCount(text string, count *int) bool {
	number, err := strconv.ParseUint(text, 10, 31)
	*count = int(number)
	return err == nil
}
