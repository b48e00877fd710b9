package io

import (
	"errors"
	"net"
	"os"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/schema"
)

// rejectionFor returns the reason and the response to a request that could not be read or parsed. The response is nil if the
// connection has failed. Callers do not repeat a request after a 4xx other than 408, so each of them needs a fault of the caller; an
// error that is not known to be one means that the request did not run.
func (f *Front) rejectionFor(err error, conn net.Conn) (schema.Reason, *response) {
	reason := schema.Reason_REASON_NODE_LOST
	code := 0
	var invalid *FieldError
	var header *headerError
	switch {
	case errors.As(err, &invalid):
		reason = invalid.reason
	case errors.As(err, &header), errors.Is(err, errBodySyntax):
		reason = schema.Reason_REASON_MALFORMED
	case errors.Is(err, errHeaderTooLarge):
		reason, code = schema.Reason_REASON_TOO_LARGE, fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoConfiguration):
		reason = schema.Reason_REASON_NO_CONFIGURATION
	case errors.Is(err, errMemoryFull):
		reason = schema.Reason_REASON_MEMORY
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = schema.Reason_REASON_TOO_LARGE
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason, code = schema.Reason_REASON_DEADLINE, fasthttp.StatusRequestTimeout
	case errors.Is(err, errBodyEnded):
		reason, code = schema.Reason_REASON_CONNECTION_LOST, fasthttp.StatusRequestTimeout
	case isNetError(err):
		return reason, nil
	}
	f.refuse(core.ReasonName(reason), conn)
	return reason, newRejection(f.wire, reason, code, err)
}

// concealContent replaces an error of the body parser that may quote the request, since a trailer may hold an API key.
func concealContent(err error) error {
	for _, plain := range []error{fasthttp.ErrBodyTooLarge, errHeaderTooLarge, errMemoryFull, os.ErrDeadlineExceeded} {
		// The parser may wrap it together with a part of the trailer.
		if errors.Is(err, plain) {
			return plain
		}
	}
	if err == nil || isNetError(err) {
		return err
	}
	return errBodySyntax
}

// isNetError reports whether err means that the connection failed while a request was read.
func isNetError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) || isReset(err)
}
