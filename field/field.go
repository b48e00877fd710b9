// Package field checks the field lines of HTTP heads and trailers. The HTTP library is more tolerant in responses: it accepts blanks
// in a name, and drops those before the colon.
package field

import (
	"bytes"
	"errors"
)

var (
	// ErrName is the error of a field line without a colon, or whose name is not a token.
	ErrName = errors.New("field line has no valid name")
	// ErrValue is the error of a field value with a control character.
	ErrValue = errors.New("field value has a control character")
)

// tokenChars holds the characters of a token (RFC 9110, section 5.6.2).
var tokenChars = newTokenChars()

func newTokenChars() *[256]bool {
	chars := new([256]bool)
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		chars[c] = true
	}
	return chars
}

// Text is a string or its bytes.
type Text interface{ ~string | ~[]byte }

// Split splits a field line, without its end, into a name and a value (RFC 9110, section 5, and RFC 9112, section 5.1).
func Split(line []byte) (name, value []byte, err error) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case len(name) == len(line) || !IsToken(name):
		return nil, nil, ErrName
	case HasControl(value):
		return nil, nil, ErrValue
	}
	return name, value, nil
}

// IsToken reports whether text is a token, such as a field name.
func IsToken[T Text](text T) bool {
	for i := range len(text) {
		if !tokenChars[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// HasControl reports whether text has a control character other than a tab.
func HasControl[T Text](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
