package io

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// FieldError reports an invalid header field of a call.
type FieldError struct {
	name   string
	reason schema.Reason
	err    error
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("header %s: %v", e.name, e.err) }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.err }

// newCall copies the header of a request into a call, because the buffers of the request are reused.
func newCall(w *core.WireFormat, request *fasthttp.Request) (*core.Call, error) {
	uri := originForm(string(request.Header.RequestURI()))
	call := &core.Call{
		Method: string(request.Header.Method()),
		URI:    uri,
		Path:   pathOf(uri),
		Host:   hostName(string(request.Header.Host())),
	}
	headers := newHeaderCopier()
	var fields callFields
	for key, value := range request.Header.All() {
		name := string(key)
		if !w.IsCallField(name) {
			headers.add(key, value)
			if w.RequestID != "" && strings.EqualFold(name, w.RequestID) {
				call.ID = string(value)
			}
		} else if err := fields.set(w, call, name, string(value)); err != nil {
			return nil, err
		}
	}
	call.Headers = removeHopByHop(headers.finish(), false)
	return call, nil
}

// originForm returns a request target without scheme and authority (RFC 9112, section 3.2).
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, found := strings.Cut(target, "://")
	if !found {
		return target
	}
	i := strings.IndexAny(rest, "/?#")
	switch {
	case i < 0:
		return "/"
	case rest[i] != '/':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// pathOf returns the path of a request target as it was sent. Rules match it unchanged, because it is forwarded unchanged:
// the decoded path may match another rule, such as one that allows the request to run twice.
func pathOf(uri string) string {
	if i := strings.IndexAny(uri, "?#"); i >= 0 {
		return uri[:i]
	}
	return uri
}

// hostName returns the host in lower case and without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

var errDuplicateField = errors.New("given more than once")

// callFields parses the header fields of the wire format, and records which of them are present to detect duplicates.
type callFields struct {
	timeout, depth, ticket, key bool
}

func (c *callFields) set(w *core.WireFormat, call *core.Call, name, value string) error {
	var err error
	seen := &c.ticket
	reason := schema.Reason_REASON_MALFORMED
	switch {
	case strings.EqualFold(name, w.Timeout):
		seen = &c.timeout
		call.Timeout, err = parseTimeout(value)
	case strings.EqualFold(name, w.Depth):
		seen = &c.depth
		call.Depth, err = parseDepth(value)
	case strings.EqualFold(name, w.Ticket):
		reason = schema.Reason_REASON_TICKET_INVALID
		call.Ticket, err = ticket.Decode(value)
	case strings.EqualFold(name, w.Key):
		c.setKey(call, value)
		return nil
	default:
		// The node sets the remaining fields itself and ignores values from the caller.
		return nil
	}
	if *seen {
		err = errDuplicateField
	}
	*seen = true
	if errors.Is(err, errNoTimeLeft) {
		reason = schema.Reason_REASON_DEADLINE
	}
	if err != nil {
		return &FieldError{name: name, reason: reason, err: err}
	}
	return nil
}

// setKey records the hash of an API key. The call never holds the key itself. A call with an empty key or with more than one
// counts as one without a key.
func (c *callFields) setKey(call *core.Call, value string) {
	call.KeyHash = ""
	if !c.key && value != "" {
		call.KeyHash = core.HashKey(value)
	}
	c.key = true
}

// errNoTimeLeft is the error of a caller whose time is up. Its request is refused, but it is not malformed.
var errNoTimeLeft = errors.New("no time left")

// parseTimeout parses a number of milliseconds, which may have a fraction. Times above the maximum are lowered to it.
func parseTimeout(value string) (time.Duration, error) {
	digits := strings.TrimPrefix(value, "-")
	whole, fraction, _ := strings.Cut(digits, ".")
	if !isDigits(whole) || strings.Contains(value, ".") && !isDigits(fraction) {
		return 0, errors.New("expected a number of milliseconds")
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("parse milliseconds: %w", err)
	}
	if number < 1 {
		return 0, errNoTimeLeft
	}
	return time.Duration(min(number, math.MaxInt32) * float64(time.Millisecond)), nil
}

func isDigits(text string) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return text != ""
}

func parseDepth(value string) (uint32, error) {
	number, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, errors.New("expected the number of layers")
	}
	return uint32(number), nil
}
