package io

import (
	"bytes"
	"strings"
	"sync"

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

// headerCopy copies header fields out of the buffers of fasthttp with few allocations: the names share one string, the
// values one slice.
type headerCopy struct {
	text []byte
	ends []int
}

var headerCopies = sync.Pool{New: func() any { return new(headerCopy) }}

func newHeaderCopy() *headerCopy {
	c := headerCopies.Get().(*headerCopy)
	c.text, c.ends = c.text[:0], c.ends[:0]
	return c
}

func (c *headerCopy) add(name, value []byte) {
	c.text = append(c.text, name...)
	c.ends = append(c.ends, len(c.text))
	c.text = append(c.text, value...)
	c.ends = append(c.ends, len(c.text))
}

// finish returns the header fields; c must not be used afterwards.
func (c *headerCopy) finish() []*schema.Header {
	names, values := string(c.text), bytes.Clone(c.text)
	fields := make([]schema.Header, len(c.ends)/2)
	headers := make([]*schema.Header, len(fields))
	start := 0
	for i := range fields {
		middle, end := c.ends[2*i], c.ends[2*i+1]
		fields[i].SetName(names[start:middle])
		fields[i].SetValue(values[middle:end:end])
		headers[i] = &fields[i]
		start = end
	}
	headerCopies.Put(c)
	return headers
}

// isFold reports whether a name of a header field is the given one, without regard to case.
func isFold(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}
