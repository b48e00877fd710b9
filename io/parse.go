package io

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// headError reports a malformed request line or header.
type headError struct {
	err error
}

// Error implements error.
func (e *headError) Error() string { return "malformed header: " + e.err.Error() }

// Unwrap returns the cause.
func (e *headError) Unwrap() error { return e.err }

var (
	errHeadTooLarge = errors.New("header is too large")
	errLineEnd      = errors.New("line does not end with CR LF")
	errRequestLine  = errors.New("request line is not a method, a target and HTTP/1.x")
	errMethod       = errors.New("unknown method")
	errFieldLine    = errors.New("field line has no valid name")
	errFieldValue   = errors.New("field value has a control character")
	errHost         = errors.New("request has not exactly one Host field")
	errFraming      = errors.New("length of the body is ambiguous")
)

// readHead returns the request line and header, which stay in the reader.
func readHead(r *bufio.Reader, limit int) ([]byte, error) {
	searched := 0
	for {
		buffered, _ := r.Peek(r.Buffered())
		if at := bytes.Index(buffered[searched:], []byte("\r\n\r\n")); at >= 0 {
			end := searched + at + len("\r\n\r\n")
			if end > limit {
				return nil, errHeadTooLarge
			}
			return buffered[:end], nil
		}
		if bytes.Contains(buffered[searched:], []byte("\n\n")) {
			return nil, &headError{err: errLineEnd}
		}
		if len(buffered) >= limit {
			return nil, errHeadTooLarge
		}
		searched = max(0, len(buffered)-len("\r\n\r"))
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// checkHead rejects what another reader of the same bytes might understand differently (RFC 9112, sections 5 and 6): a
// request could otherwise be hidden in the body of another.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	if err := checkRequestLine(line); err != nil {
		return &headError{err: err}
	}
	var f framing
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		if err := f.add(line); err != nil {
			return &headError{err: err}
		}
	}
	if err := f.check(); err != nil {
		return &headError{err: err}
	}
	return nil
}

func checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !slices.Contains(fiber.DefaultMethods, string(method)) {
		return errMethod
	}
	known := bytes.Equal(version, []byte("HTTP/1.1")) || bytes.Equal(version, []byte("HTTP/1.0"))
	if len(target) == 0 || !known || hasControl(line) {
		return errRequestLine
	}
	return nil
}

// framing collects the header fields that decide where a request ends.
type framing struct {
	hosts   int
	lengths int
	chunked int
}

func (f *framing) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case !found || !isToken(name):
		return errFieldLine
	case hasControl(value):
		return errFieldValue
	case isFold(name, "Host"):
		f.hosts++
	case isFold(name, fasthttp.HeaderContentLength):
		f.lengths++
		if _, err := strconv.ParseUint(string(value), 10, 63); err != nil {
			return errFraming
		}
	case isFold(name, fasthttp.HeaderTransferEncoding):
		f.chunked++
		if !isFold(value, "chunked") {
			return errFraming
		}
	}
	return nil
}

func (f *framing) check() error {
	if f.lengths+f.chunked > 1 {
		return errFraming
	}
	if f.hosts != 1 {
		return errHost
	}
	return nil
}

// isToken reports whether text is a token of RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	for _, b := range text {
		letter := b|0x20 >= 'a' && b|0x20 <= 'z' || b >= '0' && b <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return len(text) > 0
}

func hasControl(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return true
		}
	}
	return false
}

// FieldError reports a header field of a call that cannot be parsed.
type FieldError struct {
	name   string
	reason schema.Reason
	err    error
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("header %s: %v", e.name, e.err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.err }

// newCall copies a request, since its buffers are used again.
func newCall(w *core.Wire, request *fasthttp.Request) (*core.Call, error) {
	call := &core.Call{
		Method: string(request.Header.Method()),
		URI:    string(request.Header.RequestURI()),
		Path:   string(request.URI().Path()),
		Host:   hostName(string(request.Header.Host())),
		Body:   append([]byte(nil), request.Body()...),
	}
	if !strings.HasPrefix(call.URI, "/") {
		call.URI = string(request.URI().RequestURI())
	}
	headers := newHeaderCopy()
	var fields callFields
	for name, value := range request.Header.All() {
		field := string(name)
		if !w.IsCallField(field) {
			headers.add(name, value)
			if w.RequestID != "" && strings.EqualFold(field, w.RequestID) {
				call.ID = string(value)
			}
		} else if err := fields.set(w, call, field, string(value)); err != nil {
			return nil, err
		}
	}
	call.Headers = keepEndToEnd(headers.finish(), false)
	return call, nil
}

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

var errTwice = errors.New("given more than once")

// callFields parses the header fields of a node's own and remembers which were given.
type callFields struct {
	timeout, depth, ticket bool
}

func (c *callFields) set(w *core.Wire, call *core.Call, name, value string) error {
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
	default:
		// Fields that the node sets itself, whatever a caller gives.
		return nil
	}
	if *seen {
		err = errTwice
	}
	*seen = true
	if err != nil {
		return &FieldError{name: name, reason: reason, err: err}
	}
	return nil
}

func parseTimeout(value string) (time.Duration, error) {
	number, err := strconv.ParseUint(value, 10, 31)
	if err != nil || number == 0 {
		return 0, fmt.Errorf("expected milliseconds from 1 to %d", math.MaxInt32)
	}
	return time.Duration(number) * time.Millisecond, nil
}

func parseDepth(value string) (uint32, error) {
	number, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, errors.New("expected the number of layers")
	}
	return uint32(number), nil
}

// refusal returns the response to a request that did not become a call, or nil if its connection has failed.
func (f *Front) refusal(err error) *response {
	reason := schema.Reason_REASON_MALFORMED
	code := 0
	var field *FieldError
	var head *headError
	switch {
	case errors.As(err, &field):
		reason = field.reason
	case errors.As(err, &head):
	case errors.Is(err, errHeadTooLarge):
		reason, code = schema.Reason_REASON_TOO_LARGE, fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = schema.Reason_REASON_TOO_LARGE
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason, code = schema.Reason_REASON_DEADLINE, fasthttp.StatusRequestTimeout
	case isNetError(err):
		return nil
	}
	f.faults.count(core.ReasonName(reason))
	return newRefusal(f.wire, reason, code, err)
}

// isNetError reports whether a connection failed while a request was read.
func isNetError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) || isReset(err)
}
