package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// shortBodyTimeout ends the bodies that stop arriving soon.
const shortBodyTimeout = "[callers]\nbody_timeout = \"300ms\"\n"

// TestLegalCrowdNotDenied guards against callers within the limits that get a 4xx after which they do not try again: their bodies
// stop just short of their end, at each of the last bytes, and stay open or end in one direction.
func TestLegalCrowdNotDenied(t *testing.T) {
	const bodySize, chunk = 64, 16
	chunked := "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk)), bodySize/chunk) + "0\r\nX: y\r\n\r\n"
	whole := fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodySize, strings.Repeat("b", bodySize))
	s, err := NewStand(program, t.TempDir(), bodySize, shortBodyTimeout, heapLimit)
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	for name, request := range map[string]string{"chunked": chunked, "length": whole} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends %v", name, ends), func(t *testing.T) {
				counts := sendParts(s.HTTP, request, bodySize/2, ends)
				checkNotDenied(t, counts)
			})
		}
	}
	qt.Check(t, s.Serves(callTime), qt.IsTrue)
}

// TestLegalBodyToOtherNode guards against a 413 to a body within the limit of the document because its server is beside another node.
func TestLegalBodyToOtherNode(t *testing.T) {
	const limit = 8 << 20
	s, err := NewStand(program, t.TempDir(), limit, "")
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	n, err := s.NewNeighbor(program, t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	defer n.Close()
	for _, size := range []int{1 << 20, 2 << 20, limit} {
		for framing, request := range map[string]string{
			"length":  fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)),
			"chunked": fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size)),
		} {
			t.Run(fmt.Sprintf("%d %s", size, framing), func(t *testing.T) {
				checkNotDenied(t, map[int]int{sendPart(n.HTTP, request, false): 1})
			})
		}
	}
}

// sendParts sends a request without its last bytes, up to a number of them, each on a connection of its own, and returns how many
// connections got each status, or 0 for none. With ends, the caller closes its direction of the connection.
func sendParts(address, request string, most int, ends bool) map[int]int {
	counts := make(map[int]int)
	var mutex sync.Mutex
	var group conc.WaitGroup
	for missing := 1; missing <= most; missing++ {
		group.Go(func() {
			code := sendPart(address, request[:len(request)-missing], ends)
			mutex.Lock()
			defer mutex.Unlock()
			counts[code]++
		})
	}
	group.Wait()
	return counts
}

// sendPart sends a part of a request and returns the status of the response, or 0 without one.
func sendPart(address, part string, ends bool) int {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTime))
	_, _ = conn.Write([]byte(part))
	if ends {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// checkNotDenied checks that no response is a 3xx, or a 4xx that does not promise that the request may be sent again.
func checkNotDenied(t *testing.T, counts map[int]int) {
	t.Helper()
	t.Logf("responses by status: %v", counts)
	for code, count := range counts {
		final := code >= 300 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusMisdirectedRequest && code != http.StatusTooManyRequests
		qt.Check(t, final, qt.IsFalse, qt.Commentf("%d responses of status %d", count, code))
	}
}
