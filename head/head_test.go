package head_test

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"verbenareel/field"
	"verbenareel/head"
)

// bufferSize is the size of a read buffer that no line of the tests fills.
const bufferSize = 1 << 12

// TestRead guards against a malformed line that is noticed only once the whole head has arrived, since a server in trouble may stop within
// it, and against lines behind the head that are taken for a part of it.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		text      string
		malformed bool
	}{
		{"HTTP/1.1 000 Odd\r\n", true},
		{"HTTP/2.0 200 OK\r\n", true},
		{"HTTP/1.1 200 OK\r\nX Field: v\r\n", true},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", true},
		{"HTTP/1.1 200 OK\r\n", false},
		{"HTTP/1.1 200 OK\r\nX Field: v", false},
		{"SSH-2.0-x\r\nX Field: v\r\n\r\n", false},
		{"", false},
	} {
		t.Run(c.text, func(t *testing.T) {
			err := head.Read(bufio.NewReader(strings.NewReader(c.text)), &fasthttp.ResponseHeader{})
			var malformed *head.Error
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, errors.As(err, &malformed), qt.Equals, c.malformed, qt.Commentf("%v", err))
		})
	}
	t.Run("body", func(t *testing.T) {
		const body = "X Field: v\r\n"
		r := bufio.NewReader(strings.NewReader("\r\nHTTP/1.1 200 OK\r\nVary: a\r\n\r\n" + body))
		qt.Assert(t, head.Read(r, &fasthttp.ResponseHeader{}), qt.IsNil)
		rest, _ := r.Peek(r.Buffered())
		qt.Check(t, string(rest), qt.Equals, body)
	})
}

// FuzzRead guards against a head that the check and the parser read differently: its lines are then not those that were checked.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nVary: a\r\n b\r\nX: \r\n\r\nX Field: v\r\n\r\n",
		"\r\n\nHTTP/1.0 204 \r\nA:b\n\nC D: e\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\r\nC D: e\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\t\r\n\r\nC D: e\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nA B: c\r\n\r\n",
		"HTTP/1.1 200 OK\n\nA B: c\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > bufferSize {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(text), bufferSize)
		var header fasthttp.ResponseHeader
		header.DisableNormalizing()
		if head.Read(r, &header) != nil {
			return
		}
		// The rest after the parser begins behind the first empty line that follows the status line.
		rest := len(text) - r.Buffered()
		qt.Check(t, rest, qt.Equals, endOfHead(text), qt.Commentf("%q", text))
		for name, value := range header.All() {
			qt.Check(t, field.IsToken(name), qt.IsTrue, qt.Commentf("%q", name))
			qt.Check(t, field.HasControl(value), qt.IsFalse, qt.Commentf("%q", value))
		}
		qt.Check(t, header.StatusCode() >= 100, qt.IsTrue)
		var pieces fasthttp.ResponseHeader
		pieces.DisableNormalizing()
		slow := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(text)), bufferSize)
		qt.Check(t, head.Read(slow, &pieces), qt.IsNil)
		qt.Check(t, pieces.String(), qt.Equals, header.String())
	})
}

// endOfHead returns where the head of a response ends.
func endOfHead(text []byte) int {
	end, begun := 0, false
	for line := range bytes.Lines(text) {
		end += len(line)
		empty := len(bytes.TrimRight(line, "\r\n")) == 0
		if begun && empty {
			break
		}
		begun = begun || !empty
	}
	return end
}
