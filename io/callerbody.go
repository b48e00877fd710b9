package io

import (
	"errors"
	"fmt"
	stdio "io"

	"github.com/valyala/fasthttp"
)

// readBody reads the body of a request.
func (s *session) readBody(request *fasthttp.Request, limit int) ([]byte, error) {
	length := request.Header.ContentLength()
	switch {
	case length > limit:
		return nil, fasthttp.ErrBodyTooLarge
	case length >= 0:
		return s.readDeclared(length)
	case length == unknownLength:
		if err := request.ContinueReadBodyStream(s.reader, limit, false); err != nil {
			return nil, err
		}
		return s.readChunked(&chunkedBody{session: s, request: request}, limit)
	}
	return []byte{}, nil
}

// chunkedBody reads the chunks and the trailer of a request. A trailer that does not fit into the read buffer is read into a large
// one.
type chunkedBody struct {
	session *session
	request *fasthttp.Request
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.request.BodyStream().Read(p)
	if isBufferSmall(err) {
		err = b.readLongTrailer()
	}
	return n, err
}

// readLongTrailer reads a trailer of which the parser has consumed nothing. It returns io.EOF after that.
func (b *chunkedBody) readLongTrailer() error {
	s := b.session
	if err := s.enlargeReader(headerBufferSize); err != nil {
		return err
	}
	err := b.request.Header.ReadTrailer(s.reader)
	switch {
	case err == nil:
		return stdio.EOF
	case isBufferSmall(err):
		return errHeaderTooLarge
	}
	return fmt.Errorf("read trailer: %w", err)
}

// isBufferSmall reports whether the parser failed because a trailer does not fit into the read buffer.
func isBufferSmall(err error) bool {
	var smallBuffer *fasthttp.ErrSmallBuffer
	return errors.As(err, &smallBuffer)
}

// readDeclared reads a body of known length. All of its buffer is allocated once the start of a large body has arrived.
func (s *session) readDeclared(length int) ([]byte, error) {
	if err := s.holding.reserve(length); err != nil {
		return nil, err
	}
	body := make([]byte, min(length, declaredStart))
	if _, err := stdio.ReadFull(s.reader, body); err != nil {
		return nil, truncatedError(err)
	}
	if length == len(body) {
		return body, nil
	}
	whole := make([]byte, length)
	start := copy(whole, body)
	if _, err := stdio.ReadFull(s.reader, whole[start:]); err != nil {
		return nil, truncatedError(err)
	}
	return whole, nil
}

// truncatedError converts the error of a body that ends early.
func truncatedError(err error) error {
	if errors.Is(err, stdio.EOF) {
		return stdio.ErrUnexpectedEOF
	}
	return err
}

// readChunked reads a body of unknown length in segments, which are counted as they are allocated, and joins them.
func (s *session) readChunked(stream stdio.Reader, limit int) ([]byte, error) {
	var segments [][]byte
	size, counted := 0, 0
	for next := firstSegment; ; next = min(2*next, maxSegment) {
		if err := s.holding.grow(next); err != nil {
			return nil, err
		}
		counted += next
		segment := make([]byte, next)
		n, ended, err := fill(stream, segment)
		size += n
		segments = append(segments, segment[:n])
		switch {
		case size > limit:
			return nil, fasthttp.ErrBodyTooLarge
		case err != nil:
			return nil, err
		case ended:
			return s.join(segments, size, counted)
		}
	}
}

// fill reads until p is full or the stream has ended, which a bare io.EOF tells. Any other error is returned: one that wraps io.EOF
// is that of a truncated body.
func fill(r stdio.Reader, p []byte) (size int, ended bool, err error) {
	for size < len(p) {
		n, err := r.Read(p[size:])
		size += n
		if err == stdio.EOF {
			return size, true, nil
		}
		if err != nil {
			return size, false, err
		}
	}
	return size, false, nil
}

// join returns the segments as one body. What they counted beyond its size is returned to the budget.
func (s *session) join(segments [][]byte, size, counted int) ([]byte, error) {
	if len(segments) == 1 {
		return segments[0], nil
	}
	if err := s.holding.grow(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, segment := range segments {
		body = append(body, segment...)
	}
	s.holding.shrink(counted)
	return body, nil
}

// bodyError returns the cause of a body that could not be read. Only a body whose bytes arrived can be malformed.
func (s *session) bodyError(err error) error {
	switch {
	case err == nil, errors.Is(err, errMemoryFull), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errHeaderTooLarge):
		return concealContent(err)
	case errors.Is(s.readErr, stdio.EOF):
		return errBodyEnded
	case s.readErr != nil:
		return s.readErr
	}
	return concealContent(err)
}
