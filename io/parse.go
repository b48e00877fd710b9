package io

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/field"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// headerError reports a malformed request line or header field.
type headerError struct {
	err error
}

// Error implements error.
func (e *headerError) Error() string { return "malformed header: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *headerError) Unwrap() error { return e.err }

var (
	errHeaderTooLarge = errors.New("header is too large")
	errLineEnd        = errors.New("line does not end with CR LF")
	errRequestLine    = errors.New("request line is not a method, a target and HTTP/1.x")
	errMethod         = errors.New("method is not a token")
	errHostCount      = errors.New("request has not exactly one Host field")
	errFraming        = errors.New("length of the body is ambiguous")
	errHeaderSyntax   = errors.New("header cannot be parsed")
	errBodySyntax     = errors.New("body or its trailer is malformed")
	errBodyEnded      = errors.New("connection ended before the body was complete")
)

// readHeader returns the request line and header fields without consuming them from the reader. limit is the maximum size of the
// fields. It returns bufio.ErrBufferFull if the header does not fit into the buffer of the reader, which limits the request line.
func readHeader(r *bufio.Reader, limit int) ([]byte, error) {
	searched := 0
	for {
		buffered, _ := r.Peek(r.Buffered())
		if at := bytes.Index(buffered[searched:], []byte("\r\n\r\n")); at >= 0 {
			end := searched + at + len("\r\n\r\n")
			if fieldBytes(buffered[:end-len("\r\n")]) > limit {
				return nil, errHeaderTooLarge
			}
			return buffered[:end], nil
		}
		if bytes.Contains(buffered[searched:], []byte("\n\n")) {
			return nil, &headerError{err: errLineEnd}
		}
		// The fields may be followed by a part of the empty line.
		if fieldBytes(buffered) > limit+len("\r") {
			return nil, errHeaderTooLarge
		}
		if len(buffered) == r.Size() {
			return nil, bufio.ErrBufferFull
		}
		searched = max(0, len(buffered)-len("\r\n\r"))
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// fieldBytes returns the size of the field lines that a part of a header has. The limit of the document is for the header fields.
func fieldBytes(header []byte) int {
	_, fields, _ := bytes.Cut(header, []byte("\r\n"))
	return len(fields)
}

// validateHeader rejects headers that other HTTP implementations may parse differently (RFC 9112, sections 5 and 6). This
// prevents request smuggling, where a request is hidden in the body of another one.
func validateHeader(header []byte) error {
	line, rest, _ := bytes.Cut(header, []byte("\r\n"))
	if err := validateRequestLine(line); err != nil {
		return &headerError{err: err}
	}
	var f framing
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		if err := f.addField(line); err != nil {
			return &headerError{err: err}
		}
	}
	if err := f.validate(); err != nil {
		return &headerError{err: err}
	}
	return nil
}

func validateRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !field.IsToken(method) {
		return errMethod
	}
	validVersion := bytes.Equal(version, []byte("HTTP/1.1")) || bytes.Equal(version, []byte("HTTP/1.0"))
	if len(target) == 0 || !validVersion || field.HasControl(line) {
		return errRequestLine
	}
	return nil
}

// framing counts the header fields that affect the framing of a request.
type framing struct {
	hosts   int
	lengths int
	chunked int
}

func (f *framing) addField(line []byte) error {
	name, value, err := field.Split(line)
	switch {
	case err != nil:
		return err
	case equalFold(name, "Host"):
		f.hosts++
	case equalFold(name, fasthttp.HeaderContentLength):
		f.lengths++
		if _, err := strconv.ParseUint(string(value), 10, 63); err != nil {
			return errFraming
		}
	case equalFold(name, fasthttp.HeaderTransferEncoding):
		f.chunked++
		if !equalFold(value, "chunked") {
			return errFraming
		}
	}
	return nil
}

func (f *framing) validate() error {
	if f.lengths+f.chunked > 1 {
		return errFraming
	}
	if f.hosts != 1 {
		return errHostCount
	}
	return nil
}

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

// rejectionFor returns the reason and the response to a request that could not be read or parsed. The response is nil if the
// connection has failed. Callers do not repeat a request after a 4xx other than 408, so each of them needs a fault of the caller; an
// error that is not known to be one means that the request did not run.
func (f *Front) rejectionFor(err error, conn net.Conn) (schema.Reason, *response) {
	reason := schema.Reason_REASON_NODE_LOST
	code := 0
	var invalid *FieldError
	var header *headerError
	switch {
	case errors.As(err, &invalid):
		reason = invalid.reason
	case errors.As(err, &header), errors.Is(err, errBodySyntax):
		reason = schema.Reason_REASON_MALFORMED
	case errors.Is(err, errHeaderTooLarge):
		reason, code = schema.Reason_REASON_TOO_LARGE, fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoConfiguration):
		reason = schema.Reason_REASON_NO_CONFIGURATION
	case errors.Is(err, errMemoryFull):
		reason = schema.Reason_REASON_MEMORY
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = schema.Reason_REASON_TOO_LARGE
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason, code = schema.Reason_REASON_DEADLINE, fasthttp.StatusRequestTimeout
	case errors.Is(err, errBodyEnded):
		reason, code = schema.Reason_REASON_CONNECTION_LOST, fasthttp.StatusRequestTimeout
	case isNetError(err):
		return reason, nil
	}
	f.refuse(core.ReasonName(reason), conn)
	return reason, newRejection(f.wire, reason, code, err)
}

// concealContent replaces an error of the body parser that may quote the request, since a trailer may hold an API key.
func concealContent(err error) error {
	for _, plain := range []error{fasthttp.ErrBodyTooLarge, errHeaderTooLarge, errMemoryFull, os.ErrDeadlineExceeded} {
		// The parser may wrap it together with a part of the trailer.
		if errors.Is(err, plain) {
			return plain
		}
	}
	if err == nil || isNetError(err) {
		return err
	}
	return errBodySyntax
}

// isNetError reports whether err means that the connection failed while a request was read.
func isNetError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) || isReset(err)
}
