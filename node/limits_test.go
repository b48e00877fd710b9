package node_test

import (
	"context"
	"fmt"
	stdio "io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/config"
	"verbenareel/fakes"
	"verbenareel/node"
)

// headerSize is the size of a header above the default limit, and within that of the documents of these tests.
const headerSize = 20 << 10

// runNode runs a node with its platform until the end of the test.
func runNode(t *testing.T, platform *fakes.Platform) *node.Node {
	address, err := fakes.NewAddress()
	qt.Assert(t, err, qt.IsNil)
	settings, err := config.ParseSettings([]byte(fmt.Sprintf(`instance = "sheets-1"
service = "sheets"
domain = "sapporo"
http_address = "127.0.0.1:0"
status_address = "127.0.0.1:0"
backend_address = "127.0.0.1:9"
platform_url = "%s"
rpc_address = "%s"
`, platform.URL(), address)))
	qt.Assert(t, err, qt.IsNil)
	n, err := node.New(settings)
	qt.Assert(t, err, qt.IsNil)
	runInBackground(t, n.Run)
	return n
}

func newPlatform(t *testing.T) *fakes.Platform {
	platform, err := fakes.NewPlatform("127.0.0.1:0", 0)
	qt.Assert(t, err, qt.IsNil)
	runInBackground(t, platform.Serve)
	return platform
}

func runInBackground(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// document returns a document with a limit for headers.
func document(maxHeader int) []byte {
	return []byte(fmt.Sprintf(`deployment = "test"
[places.regions.hokkaido]
delay = "0s"
[places.domains.sapporo]
region = "hokkaido"
[services.sheets]
slots = 1
cold_limit = 1
warm_time = "0s"
connections = 1
probes_per_second = 0.0
[limits]
max_header = %d
[[rules]]
path = "/"
service = "sheets"
repeatable = true
`, maxHeader))
}

// checkLongHeader sends a request with a header of headerSize bytes and compares the reason for which it is refused.
func checkLongHeader(t *testing.T, n *node.Node, reason string) {
	t.Helper()
	text := sendLongHeader(t, n)
	qt.Check(t, strings.Contains(text, reason), qt.IsTrue, qt.Commentf("%s", text))
}

// sendLongHeader sends a request with a header of headerSize bytes and returns the status code and the body of the response.
func sendLongHeader(t *testing.T, n *node.Node) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.HTTPAddress()+"/", nil)
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Filler", strings.Repeat("x", headerSize))
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := stdio.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return fmt.Sprintf("%d: %s", response.StatusCode, text)
}

// awaitRevision waits until a revision of the document is in force.
func awaitRevision(t *testing.T, n *node.Node, revision uint64) {
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		if s := n.Exchange().Snapshot(); s != nil && s.Revision() >= revision {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Fatalf("revision %d is not in force", revision)
}

// TestLimitsOfDocument guards against requests that are refused by a limit which no document in force has: that of a node without a
// document, or of the document before.
func TestLimitsOfDocument(t *testing.T) {
	platform := newPlatform(t)
	n := runNode(t, platform)
	checkLongHeader(t, n, "no-configuration")
	// In the first second of a process, its document may be an old copy.
	platform.Publish(document(headerSize / 2))
	awaitRefusal(t, n, "431: not-run: too-large")
	awaitRevision(t, n, platform.Publish(document(headerSize+headerSize/3)))
	checkLongHeader(t, n, "connect")
	awaitRevision(t, n, platform.Publish(document(headerSize/2)))
	checkLongHeader(t, n, "too-large")
	awaitRevision(t, n, platform.Publish(document(headerSize+headerSize/2)))
	checkLongHeader(t, n, "connect")
}

// TestLimitsOfOldDocument guards against a final refusal by the limit of a document that may not be the current one, since the platform
// has not confirmed it for seconds.
func TestLimitsOfOldDocument(t *testing.T) {
	platform := newPlatform(t)
	n := runNode(t, platform)
	platform.Publish(document(headerSize / 2))
	awaitRefusal(t, n, "431: not-run: too-large")
	platform.SetMode(fakes.ModeDown)
	awaitRefusal(t, n, "503: not-run: no-configuration")
	platform.SetMode(fakes.ModeUp)
	awaitRefusal(t, n, "431: not-run: too-large")
}

// awaitRefusal sends requests until one is refused with the status and reason.
func awaitRefusal(t *testing.T, n *node.Node, refusal string) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		if strings.HasPrefix(sendLongHeader(t, n), refusal) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no request was refused with %q", refusal)
}
