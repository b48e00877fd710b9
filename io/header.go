package io

import (
	"bytes"
	"strings"
	"sync"

	"verbenareel/schema"
)

// isHopByHop reports whether a header field applies to a single connection (RFC 9110, section 7.6.1), or contains the
// length of the body, which is set again when the message is written.
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

// listContains reports whether name is in list, a comma-separated list of tokens such as the value of a Connection field.
func listContains(list, name string) bool {
	for list != "" {
		token, rest, _ := strings.Cut(list, ",")
		if strings.EqualFold(strings.TrimSpace(token), name) {
			return true
		}
		list = rest
	}
	return false
}

// removeHopByHop removes hop-by-hop header fields in place. If keepLength is set it keeps Content-Length, for responses
// without a body from which the length could be derived.
func removeHopByHop(headers []*schema.Header, keepLength bool) []*schema.Header {
	connectionTokens := ""
	for _, h := range headers {
		if strings.EqualFold(h.GetName(), "Connection") {
			connectionTokens += "," + string(h.GetValue())
		}
	}
	kept := headers[:0]
	for _, h := range headers {
		name := h.GetName()
		isLength := keepLength && strings.EqualFold(name, "Content-Length")
		if isLength || !isHopByHop(name) && !listContains(connectionTokens, name) {
			kept = append(kept, h)
		}
	}
	return kept
}

// headerCopier copies header fields out of the buffers of fasthttp with few allocations: all names share one string, and
// all values share one slice.
type headerCopier struct {
	text []byte
	ends []int
}

var headerCopierPool = sync.Pool{New: func() any { return new(headerCopier) }}

func newHeaderCopier() *headerCopier {
	c := headerCopierPool.Get().(*headerCopier)
	c.text, c.ends = c.text[:0], c.ends[:0]
	return c
}

func (c *headerCopier) add(name, value []byte) {
	c.text = append(c.text, name...)
	c.ends = append(c.ends, len(c.text))
	c.text = append(c.text, value...)
	c.ends = append(c.ends, len(c.text))
}

// finish returns the header fields and puts c back into the pool. c must not be used afterwards.
func (c *headerCopier) finish() []*schema.Header {
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
	headerCopierPool.Put(c)
	return headers
}

// equalFold reports whether name equals the header field name field, ignoring case.
func equalFold(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}
