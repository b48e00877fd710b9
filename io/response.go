package io

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/status"
	"verbenareel/ticket"
)

const (
	// defaultRetryAfter is the Retry-After value of a call refused for lack of capacity if the router sets none.
	defaultRetryAfter = time.Second
	textPlain         = "text/plain; charset=utf-8"
	// authenticationScheme is the challenge that a response of status 401 must have (RFC 9110, section 15.5.2). No registered
	// scheme stands for an API key in a field of its own.
	authenticationScheme = "Key"
)

// response is an HTTP response that a session writes to its caller.
type response struct {
	code    int
	headers []*schema.Header
	body    []byte
	// omitBody is set for responses to HEAD requests, which have no body.
	omitBody bool
	close    bool
}

func (r *response) addHeader(name, value string) {
	if name != "" {
		r.headers = append(r.headers, schema.Header_builder{Name: name, Value: []byte(value)}.Build())
	}
}

// write writes the response to w. Write errors are sticky in w and returned by its Flush method.
func (r *response) write(w *bufio.Writer) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", r.code, fasthttp.StatusMessage(r.code))
	for _, h := range r.headers {
		_, _ = w.WriteString(h.GetName())
		_, _ = w.WriteString(": ")
		_, _ = w.Write(h.GetValue())
		_, _ = w.WriteString("\r\n")
	}
	if r.close {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if status.HasBody(r.code) && !r.omitBody {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(r.body))
		_, _ = w.Write(r.body)
		return
	}
	_, _ = w.WriteString("\r\n")
}

// newResponse converts the reply to a call into an HTTP response.
func newResponse(w *core.WireFormat, call *core.Call, reply *schema.ExecuteReply) *response {
	r := &response{omitBody: call.Method == fasthttp.MethodHead}
	if reply.GetStatus() == schema.Status_STATUS_ANSWERED {
		r.setBackendResponse(w, reply)
	} else {
		r.addHeader(w.RequestID, call.ID)
		r.setOutcome(w, reply, "")
	}
	if reply.GetNextTicket() != nil {
		r.addHeader(w.NextTicket, ticket.Encode(reply.GetNextTicket()))
	}
	if reply.GetRetried() {
		r.addHeader(w.Retried, "1")
	}
	return r
}

// newRejection returns the response to a request that could not be turned into a call. If code is 0, the status code is
// derived from the reason.
func newRejection(w *core.WireFormat, reason schema.Reason, code int, err error) *response {
	r := &response{}
	r.setOutcome(w, core.NotRun(reason), err.Error())
	if code != 0 {
		r.code = code
	}
	return r
}

// setBackendResponse copies the response of the backend server without the header fields that report an outcome. A server
// may copy these from the response to a nested call, and its caller would take them for the outcome of its own call.
func (r *response) setBackendResponse(w *core.WireFormat, reply *schema.ExecuteReply) {
	r.code = int(reply.GetCode())
	r.body = reply.GetBody()
	for _, h := range reply.GetHeaders() {
		if !w.IsOutcomeField(h.GetName()) {
			r.headers = append(r.headers, h)
		}
	}
}

// setOutcome fills in the response to an unanswered call.
func (r *response) setOutcome(w *core.WireFormat, reply *schema.ExecuteReply, detail string) {
	outcome, reason := reply.GetStatus(), reply.GetReason()
	name := core.ReasonName(reason)
	r.code = core.OutcomeCode(outcome, reason)
	r.addHeader(w.Outcome, core.StatusName(outcome)+"; reason="+name)
	r.addHeader(fasthttp.HeaderContentType, textPlain)
	if r.code == fasthttp.StatusUnauthorized {
		r.addHeader(fasthttp.HeaderWWWAuthenticate, authenticationScheme)
	}
	if after := retryAfter(reply); after > 0 {
		r.addHeader(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	text := core.StatusName(outcome) + ": " + name
	if detail != "" {
		text += ": " + strings.ReplaceAll(detail, "\n", " ")
	}
	r.body = []byte(text + "\n")
}

// retryAfter returns the time after which the caller may retry a call that did not run, or 0 if there is none.
func retryAfter(reply *schema.ExecuteReply) time.Duration {
	if reply.GetStatus() != schema.Status_STATUS_NOT_RUN {
		return 0
	}
	if after := reply.GetRetryAfterUs(); after > 0 {
		return (time.Duration(after) * time.Microsecond).Round(time.Millisecond)
	}
	switch reply.GetReason() {
	case schema.Reason_REASON_BUSY, schema.Reason_REASON_PREEMPTED, schema.Reason_REASON_MEMORY:
		return defaultRetryAfter
	}
	return 0
}
