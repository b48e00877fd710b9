package io

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"verbenareel/field"
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
