// Package crowd sends what misbehaving callers send, and measures what it costs a node that runs as a process of its own.
package crowd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Kind is a way in which a caller misbehaves.
type Kind string

// The kinds of callers. Each holds its connection open until the crowd is closed.
const (
	// KindBody sends a body of legal size except for its last byte.
	KindBody Kind = "body"
	// KindChunks does the same in chunks of 16 bytes.
	KindChunks Kind = "chunks"
	// KindPipeline sends requests without reading a response.
	KindPipeline Kind = "pipeline"
	// KindHalf sends some requests without reading a response, and stops half-way in the body of the last one.
	KindHalf Kind = "half"
	// KindOversize sends a body far over the limit.
	KindOversize Kind = "oversize"
	// KindFields sends requests with very many short header fields.
	KindFields Kind = "fields"
	// KindHead sends the head of a request byte by byte.
	KindHead Kind = "head"
	// KindAnswer requests a large response and does not read it.
	KindAnswer Kind = "answer"
	// KindIdle opens a connection and sends nothing.
	KindIdle Kind = "idle"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{KindBody, KindChunks, KindPipeline, KindHalf, KindOversize, KindFields, KindHead, KindAnswer, KindIdle}
}

const (
	// pipelinedBody is the size of the bodies of pipelined requests in bytes, and maxRequests their number on a connection.
	pipelinedBody = 48 << 10
	maxRequests   = 200
	halfRequests  = 8
	chunkSize     = 16
	fieldCount    = 1600
	// oversize is how many times the limit an oversized body is.
	oversize = 64
	// headInterval is the time between two bytes of a head.
	headInterval = 50 * time.Millisecond
	dialTimeout  = 2 * time.Second
	// writeBlock is the size of one write in bytes.
	writeBlock = 64 << 10
)

// Crowd is a number of callers.
type Crowd struct {
	group  conc.WaitGroup
	sent   conc.WaitGroup
	cancel context.CancelFunc

	mutex  sync.Mutex
	conns  []net.Conn
	failed int
}

// Start starts callers that send to an address. Caller i misbehaves as the kind with the number i modulo their count. Bodies
// have size bytes, which is the limit.
func Start(address, path string, callers, size int, kinds ...Kind) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for i := range callers {
		kind := kinds[i%len(kinds)]
		c.sent.Go(func() { c.run(ctx, address, path, size, kind) })
	}
	return c
}

// WaitSent waits until all callers have sent what they send, or for the given time.
func (c *Crowd) WaitSent(limit time.Duration) {
	done := make(chan struct{})
	c.group.Go(func() {
		c.sent.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// Refused returns the number of callers that could not connect.
func (c *Crowd) Refused() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failed
}

// Close closes the connections of all callers.
func (c *Crowd) Close() {
	c.cancel()
	c.mutex.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mutex.Unlock()
	c.sent.Wait()
	c.group.Wait()
}

// run connects one caller and sends. Write errors end it: the node may refuse it.
func (c *Crowd) run(ctx context.Context, address, path string, size int, kind Kind) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.failed++
		return
	}
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	c.conns = append(c.conns, conn)
	c.mutex.Unlock()
	defer c.mutex.Lock()
	s := &sender{ctx: ctx, conn: conn, path: path}
	s.send(kind, size)
}

// sender writes the requests of one caller.
type sender struct {
	ctx  context.Context
	conn net.Conn
	path string
	err  error
}

func (s *sender) send(kind Kind, size int) {
	switch kind {
	case KindBody:
		s.write(s.head("POST", fmt.Sprintf("Content-Length: %d\r\n", size)))
		s.write(strings.Repeat("b", size-1))
	case KindChunks:
		s.write(s.head("POST", "Transfer-Encoding: chunked\r\n"))
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("c", chunkSize))
		s.write(strings.Repeat(chunk, size/chunkSize-1))
	case KindPipeline:
		s.pipeline(maxRequests)
	case KindHalf:
		s.pipeline(halfRequests)
		s.write(s.head("POST", fmt.Sprintf("Content-Length: %d\r\n", size)) + strings.Repeat("h", size/2))
	case KindOversize:
		s.write(s.head("POST", fmt.Sprintf("Content-Length: %d\r\n", oversize*size)))
		for range oversize {
			s.write(strings.Repeat("o", size))
		}
	case KindFields:
		fields := strings.Repeat("A: 1234\r\n", fieldCount)
		for range maxRequests {
			s.write(s.head("GET", fields))
		}
	case KindHead:
		s.drip(s.head("GET", strings.Repeat("A: 1\r\n", fieldCount)))
	case KindAnswer:
		s.write(s.head("POST", fmt.Sprintf("Content-Length: %d\r\n", size)) + strings.Repeat("a", size))
	case KindIdle:
	}
}

// head returns the head of a request.
func (s *sender) head(method, fields string) string {
	return fmt.Sprintf("%s %s?%d HTTP/1.1\r\nHost: h\r\n%s\r\n", method, s.path, rand.Uint32(), fields)
}

// pipeline writes whole requests.
func (s *sender) pipeline(count int) {
	body := strings.Repeat("p", pipelinedBody)
	for range count {
		s.write(s.head("POST", fmt.Sprintf("Content-Length: %d\r\n", pipelinedBody)) + body)
	}
}

// drip writes a text byte by byte.
func (s *sender) drip(text string) {
	for i := range len(text) {
		s.write(text[i : i+1])
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(headInterval):
		}
	}
}

// write writes a text in blocks, so that closing the crowd ends it.
func (s *sender) write(text string) {
	for text != "" && s.err == nil && s.ctx.Err() == nil {
		n := min(len(text), writeBlock)
		_, s.err = s.conn.Write([]byte(text[:n]))
		text = text[n:]
	}
}
