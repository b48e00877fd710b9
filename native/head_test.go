package native

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestFieldLines guards against a response of the platform that is taken for a document although a line of its head or trailer is no
// field line, and against a meaningless status behind an interim response.
func TestFieldLines(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\n"
		fields  = RevisionHeader + ": 7\r\nContent-Length: 16\r\n"
		body    = "{\"instances\":[]}"
		interim = "HTTP/1.1 103 Early Hints\r\n"
		chunked = status + RevisionHeader + ": 7\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n"
	)
	read := func(t *testing.T, response string) error {
		client := New(startFixedPlatform(t, response), clockwork.NewRealClock(), WithTimeout(5*time.Second))
		defer client.Close()
		_, _, err := client.Document(context.Background(), 0, 0)
		_, listErr := client.Members(context.Background())
		qt.Check(t, listErr == nil, qt.Equals, err == nil)
		return err
	}
	for _, line := range []string{
		"X Field: v", "X-Field : v", "X\tField: v", "X\x00Field: v", "X\x7fField: v", ": v", "no colon", "Transfer Encoding: chunked",
		"Transfer-Encoding : chunked", "Content-Length : 16", RevisionHeader + " : 8", "X-Field: a\x01b",
	} {
		line += "\r\n"
		for place, response := range map[string]string{
			"first":   status + line + fields + "\r\n" + body,
			"last":    status + fields + line + "\r\n" + body,
			"interim": interim + line + "\r\n" + status + fields + "\r\n" + body,
			"trailer": chunked + line + "\r\n",
		} {
			t.Run(fmt.Sprintf("%q %s", line, place), func(t *testing.T) { qt.Check(t, read(t, response), qt.ErrorMatches, ".*malformed.*") })
		}
	}
	t.Run("status behind an interim response", func(t *testing.T) {
		qt.Check(t, read(t, interim+"\r\nHTTP/1.1 000 Odd\r\n"+fields+"\r\n"+body), qt.ErrorMatches, ".*meaningless status.*")
	})
	t.Run("valid", func(t *testing.T) {
		qt.Check(t, read(t, interim+"Link: x\r\n\r\n"+status+"X-Field: \x80\r\n b\r\n"+fields+"\r\n"+body), qt.IsNil)
		qt.Check(t, read(t, chunked+"X-Field: v\r\n\r\n"), qt.IsNil)
	})
}

// TestDocumentCutShort guards against a part of a document that is taken for the whole one because the platform ended its connection
// within it: a document without its last rules is valid too.
func TestDocumentCutShort(t *testing.T) {
	const document = "deployment = \"kitami\"\n[services.sheets]\nslots = 18\n[[rules]]\npath = \"/a\"\nservice = \"sheets\"\n"
	for _, head := range []string{
		"", "Connection: close\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(document)),
	} {
		for _, size := range []int{0, 22, 55, len(document) - 1} {
			t.Run(fmt.Sprintf("%q %d", head, size), func(t *testing.T) {
				client := New(startEndingPlatform(t, "HTTP/1.1 200 OK\r\n"+RevisionHeader+": 7\r\n"+head+"\r\n"+document[:size]),
					clockwork.NewRealClock(), WithTimeout(5*time.Second))
				defer client.Close()
				_, text, err := client.Document(context.Background(), 0, 0)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
			})
		}
	}
}
