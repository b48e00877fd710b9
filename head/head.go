// Package head reads the heads and trailers of HTTP responses. The HTTP library accepts lines that other readers take differently or
// refuse, so each line is checked before the library parses it.
package head

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"verbenareel/field"
	"verbenareel/status"
)

// What the library returns as the length of a body that a Content-Length field does not give.
const (
	// LengthChunked is the length of a body with chunked encoding.
	LengthChunked = -1
	// LengthUntilClose is the length of a body delimited by the end of the connection.
	LengthUntilClose = -2
)

// Error is the error of a response with a line that HTTP does not allow. The response is no answer, whatever else it holds.
type Error struct{ err error }

// Error implements error.
func (e *Error) Error() string { return "malformed response: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

var (
	errVersion    = errors.New("neither HTTP/1.1 nor HTTP/1.0")
	errStatusLine = errors.New("status line has a control character")
	errEncoding   = errors.New("transfer encoding in HTTP/1.0")
)

var protocol = []byte("HTTP/")

// Read reads the status line and the header fields of the next response, which may be an interim one. It returns an *Error if one of
// the lines is not valid.
func Read(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if err := checkLines(r, &headChecker{}); err != nil {
		return err
	}
	return header.Read(r)
}

// ReadTrailer reads the trailer of a response with chunked encoding. It returns an *Error if one of the lines is not valid.
func ReadTrailer(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if err := checkLines(r, &fieldChecker{}); err != nil {
		return err
	}
	return header.ReadTrailer(r)
}

// checker checks the lines of a head or trailer.
type checker interface {
	// check checks the next line, without its end. It reports whether another line follows.
	check(line []byte) (more bool, err error)
}

// checkLines checks the lines that a reader returns next as they arrive, without consuming them. A line that never ends and errors of
// the reader are left to the parser.
func checkLines(r *bufio.Reader, c checker) error {
	checked := 0
	for {
		buffered, _ := r.Peek(r.Buffered())
		for {
			line, _, ended := bytes.Cut(buffered[checked:], []byte("\n"))
			if !ended {
				break
			}
			checked += len(line) + len("\n")
			more, err := c.check(bytes.TrimSuffix(line, []byte("\r")))
			if err != nil {
				return &Error{err: err}
			}
			if !more {
				return nil
			}
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil
		}
	}
}

// headChecker checks a head. Like the parser, it skips empty lines before the status line. Text that is not HTTP is left to the parser,
// which refuses it.
type headChecker struct {
	begun  bool
	fields fieldChecker
}

func (c *headChecker) check(line []byte) (more bool, err error) {
	switch {
	case c.begun:
		return c.fields.check(line)
	case len(line) == 0:
		return true, nil
	case !bytes.HasPrefix(line, protocol):
		return false, nil
	}
	c.begun = true
	return true, c.checkStatusLine(line)
}

func (c *headChecker) checkStatusLine(line []byte) error {
	version, _, _ := bytes.Cut(line, []byte(" "))
	switch {
	case string(version) == "HTTP/1.0":
		c.fields.noEncoding = true
	case string(version) != "HTTP/1.1":
		return fmt.Errorf("%w: %.10q", errVersion, version)
	}
	if field.HasControl(line) {
		return errStatusLine
	}
	return status.CheckLine(line)
}

// fieldChecker checks field lines up to the empty line behind them.
type fieldChecker struct {
	begun bool
	// noEncoding is set for HTTP/1.0, which has no transfer encoding. The parser ignores the field there and would return the text of
	// the chunks as the body; RFC 9112, section 6.1, has such a response treated as faulty.
	noEncoding bool
}

func (c *fieldChecker) check(line []byte) (more bool, err error) {
	if len(line) == 0 {
		return false, nil
	}
	if c.begun && isContinuation(line) {
		if field.HasControl(line) {
			err = field.ErrValue
		}
		return true, err
	}
	c.begun = true
	name, _, err := field.Split(line)
	switch {
	case err != nil:
		return false, fmt.Errorf("%w: %.40q", err, line)
	case c.noEncoding && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		return false, errEncoding
	}
	return true, nil
}

// isContinuation reports whether a line continues the value of the line before it. The parser replaces such a line break with a space
// (RFC 9112, section 5.2).
func isContinuation(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }
