package io

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/head"
	"verbenareel/schema"
	"verbenareel/status"
)

// receive reads a complete response. It works like ReadLimitBody of fasthttp, but skips responses to other requests, and
// rejects a body delimited by the end of the connection unless the wire format allows it.
func (c *backendConn) receive(request *core.Request, response *fasthttp.Response) error {
	c.inSync = true
	for range maxSkippedResponses {
		response.Reset()
		if err := c.receiveNext(request, response); err != nil {
			return err
		}
		if response.StatusCode() < fasthttp.StatusOK {
			continue
		}
		own, err := c.backend.isResponseTo(request, response)
		if own || err != nil {
			return err
		}
		c.backend.errorCounter.inc("other-response")
		c.inSync = false
	}
	return errNoResponse
}

// receiveNext reads the next response, which may be an interim (1xx) response. A body delimited by the end of the connection is
// complete only if the server ended the connection by itself, and by a close that no reset has followed.
func (c *backendConn) receiveNext(request *core.Request, response *fasthttp.Response) error {
	h := &response.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	if err := head.Read(c.reader, h); err != nil {
		return err
	}
	code := h.StatusCode()
	if code == fasthttp.StatusSwitchingProtocols {
		return errNoFraming
	}
	response.SkipBody = request.Method == fasthttp.MethodHead
	if response.SkipBody || !status.HasBody(code) {
		return nil
	}
	length := h.ContentLength()
	if length == head.LengthUntilClose && !c.backend.wire.CloseDelimitedBodies {
		return errNoFraming
	}
	limit := int(c.backend.maxResponseBody.Load())
	if length <= limit {
		if err := c.holding.reserve(length); err != nil {
			return err
		}
	}
	if err := response.ReadBody(c.reader, limit); err != nil {
		return err
	}
	switch {
	case length == head.LengthChunked:
		return head.ReadTrailer(c.reader, h)
	case length == head.LengthUntilClose && (c.halfClosed.Load() || !closedInOrder(c.raw)):
		return errCutShort
	}
	return nil
}

// isResponseTo reports whether the response belongs to the request. A response with a request ID never belongs to a request
// without one, such as a probe. The error is errTwoIDs if the response names two requests.
func (b *Backend) isResponseTo(request *core.Request, response *fasthttp.Response) (bool, error) {
	if b.wire.RequestID == "" {
		return true, nil
	}
	var id []byte
	found := false
	for name, value := range response.Header.All() {
		if !equalFold(name, b.wire.RequestID) {
			continue
		}
		if found && !bytes.Equal(id, value) {
			return false, errTwoIDs
		}
		id, found = value, true
	}
	return string(id) == request.ID, nil
}

var (
	errNoFraming  = errors.New("response has neither a content length nor chunked encoding")
	errCutShort   = errors.New("response without a length was ended by a reset or by the cancellation of its request")
	errTwoIDs     = errors.New("response has two request IDs")
	errNoResponse = errors.New("none of the received responses belongs to the request")
)

// newResult copies a complete response into a result.
func (c *backendConn) newResult(request *core.Request, response *fasthttp.Response) *core.Result {
	w := c.backend.wire
	result := &core.Result{Written: true, Code: response.StatusCode(), Body: response.SwapBody(nil)}
	headers := newHeaderCopier()
	keepLength := request.Method == fasthttp.MethodHead || result.Code == fasthttp.StatusNotModified
	hasSeal := w.ResponseSignature == ""
	for name, value := range response.Header.All() {
		switch {
		case equalFold(name, w.Load):
			c.setLoadReport(result, string(value))
			continue
		case equalFold(name, w.NotRun) && result.Code >= fasthttp.StatusBadRequest:
			result.Reason = schema.Reason_REASON_SHED
		case equalFold(name, w.ResponseSignature):
			hasSeal = true
		case equalFold(name, fasthttp.HeaderContentEncoding) && w.ResponseSignature != "":
			result.Reason = schema.Reason_REASON_GARBLED
		case equalFold(name, fasthttp.HeaderContentLength) && !keepLength:
			continue
		}
		headers.add(name, value)
	}
	result.Headers = removeHopByHop(headers.finish(), keepLength)
	// Callers take a status below 500 for the server's decision on their request. A failure that is not signed decides nothing.
	decides := result.Code < fasthttp.StatusInternalServerError && result.Reason != schema.Reason_REASON_SHED
	switch {
	case w.Target != "" && result.Code == fasthttp.StatusMisdirectedRequest:
		result.Reason = schema.Reason_REASON_WRONG_INSTANCE
	case decides && !hasSeal && request.ID != "":
		result.Reason = schema.Reason_REASON_GARBLED
	}
	if result.Reason == schema.Reason_REASON_GARBLED {
		result.Code = 0
	}
	return result
}

// setLoadReport parses the load report, which is for the guard only and is not forwarded to the caller.
func (c *backendConn) setLoadReport(result *core.Result, value string) {
	report, ok := c.backend.wire.ParseLoad(value)
	if !ok {
		c.backend.errorCounter.inc("malformed-load")
	}
	result.Report = report
}
