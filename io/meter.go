package io

import (
	stdio "io"
	"strings"

	"verbenareel/meter"
)

// WithMeter sets the meter of a Transport, which counts the bytes of its requests and of the replies. The default counts
// nothing.
func WithMeter(m *meter.Meter) Option {
	return func(o *options) { o.meter = m }
}

// countingReader counts the bytes that were read.
type countingReader struct {
	reader stdio.Reader
	count  int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.count += n
	return n, err
}

// requestCause returns the cause of the bytes of a request of an RPC method.
func requestCause(method string) meter.Cause {
	switch {
	case method == "Guard.Execute":
		return meter.Request
	case method == "Guard.Body":
		return meter.Body
	case strings.HasPrefix(method, guardService):
		return meter.Ticket
	case strings.HasPrefix(method, peerService):
		return meter.Gossip
	case strings.HasPrefix(method, "Quota"):
		return meter.Quota
	case strings.HasPrefix(method, nodeService):
		return meter.Ping
	}
	return meter.Other
}

// replyCause returns the cause of the bytes of the reply to a request with the cause.
func replyCause(request meter.Cause) meter.Cause {
	if request == meter.Request {
		return meter.Answer
	}
	return request
}

// countReply counts the bytes read since the last reply.
func (c *clientCodec) countReply(cause meter.Cause) {
	total := c.reader.consumed()
	c.peer.Received(c.transport.clock.Now(), cause, total-c.counted)
	c.counted = total
}

// discardedCause returns the cause for a reply whose request is not known any more.
func discardedCause(class trafficClass) meter.Cause {
	switch class {
	case classPeers:
		return meter.Gossip
	case classBodies:
		return meter.Body
	}
	return meter.Answer
}
