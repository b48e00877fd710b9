// Package status checks HTTP status codes before they are used. The HTTP library accepts a status line with the code 000, and
// its accessor then returns 200.
package status

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// A status code has three digits, of which the first is not 0 (RFC 9110, section 15).
const (
	digits  = 3
	minCode = 100
	maxCode = 999
)

// ErrMeaningless is the error of a status line whose code is not from 100 to 999.
var ErrMeaningless = errors.New("meaningless status")

// IsValid reports whether a number is a status code.
func IsValid(code uint32) bool { return code >= minCode && code <= maxCode }

// HasBody reports whether responses with a status code have a body, unless they are to a HEAD request (RFC 9112, section 6.3).
func HasBody(code int) bool {
	return code >= http.StatusOK && code != http.StatusNoContent && code != http.StatusNotModified
}

// CheckLine checks the code in a status line.
func CheckLine(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
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
