// Package status checks HTTP status codes before they are used. The HTTP library accepts a status line with the code 000, and
// its accessor then returns 200.
package status

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"verbenareel/core"
	"verbenareel/schema"
)

// A status code has three digits, of which the first is not 0 (RFC 9110, section 15).
const (
	digits  = 3
	minCode = 100
	maxCode = 999
)

// ErrMeaningless is the error of a status line whose code is not from 100 to 999.
var ErrMeaningless = errors.New("meaningless status")

var protocol = []byte("HTTP/")

// IsValid reports whether a number is a status code.
func IsValid(code uint32) bool { return code >= minCode && code <= maxCode }

// CheckLine checks the status line of the response that a reader returns next, without consuming it. Text that is not a status
// line, and errors of the reader, are left to the parser of the response.
func CheckLine(r *bufio.Reader) error {
	line := peekLine(r)
	name, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(name, protocol) {
		return nil
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !isCode(code) {
		return fmt.Errorf("%w %.10q", ErrMeaningless, code)
	}
	return nil
}

func isCode(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) == digits && text[0] != '0'
}

// peekLine returns the first line that is not empty, without its end, or nil if the reader has none. Like the parser of the
// response, it skips empty lines.
func peekLine(r *bufio.Reader) []byte {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil
		}
		buffered, _ := r.Peek(r.Buffered())
		buffered = bytes.TrimLeft(buffered, "\r\n")
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			return bytes.TrimSuffix(buffered[:end], []byte("\r"))
		}
	}
}

// CheckReply returns the reply of a guard to a call. An answer whose code is no status code is an unknown outcome: the server
// got the call, but its answer can't be passed on.
func CheckReply(reply *schema.ExecuteReply) *schema.ExecuteReply {
	if reply.GetStatus() != schema.Status_STATUS_ANSWERED || IsValid(reply.GetCode()) {
		return reply
	}
	unknown := core.Unknown(schema.Reason_REASON_GARBLED)
	unknown.SetRetried(reply.GetRetried())
	unknown.SetLoad(reply.GetLoad())
	unknown.SetNextTicket(reply.GetNextTicket())
	return unknown
}
