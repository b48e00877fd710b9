package io

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

const (
	// retryAfter is the value of Retry-After for a busy service, in seconds.
	retryAfter = "1"
	// dateRoom holds a response header with a Date field.
	dateRoom = 128
)

var dateReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// Front serves callers over HTTP.
//
// fasthttp, on which fiber builds, does not tell a handler that its caller has disconnected. The context of a call
// therefore ends only when the Front is closed at once; the deadline of the call bounds the work for a caller that is
// gone.
type Front struct {
	options
	faults   faults
	handler  core.Handler
	app      *fiber.App
	listener net.Listener
	stopped  context.Context
	stop     context.CancelFunc
	done     chan struct{}
	once     sync.Once
}

// NewFront listens on address, whose port may be 0, and serves once Serve is called.
func NewFront(address string, handler core.Handler, opts ...Option) (*Front, error) {
	o := newOptions(append([]Option{WithWriteTimeout(defaultCallerWrite)}, opts...), defaultCallerIdle, fiber.DefaultConcurrency)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("http front: %w", err)
	}
	f := &Front{
		options:  o,
		faults:   newFaults(o.registerer, "front"),
		handler:  handler,
		listener: listener,
		done:     make(chan struct{}),
	}
	f.stopped, f.stop = context.WithCancel(context.Background())
	f.app = fiber.New(fiber.Config{
		BodyLimit:                    o.maxBody,
		Concurrency:                  o.connections,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  o.readTimeout,
		WriteTimeout:                 o.writeTimeout,
		IdleTimeout:                  o.idleTime,
		DisableDefaultDate:           true,
		DisableDefaultContentType:    true,
		DisablePreParseMultipartForm: true,
		DisableStartupMessage:        true,
		ErrorHandler:                 f.refuse,
	})
	f.app.Use(f.serve)
	f.app.Server().Handler = f.filter(f.app.Server().Handler)
	return f, nil
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Done is closed once the front has stopped.
func (f *Front) Done() <-chan struct{} { return f.done }

// Serve accepts connections until Shutdown, or until ctx ends, which ends the contexts of all calls.
func (f *Front) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, f.close)
	defer release()
	defer f.finish()
	if err := f.app.Listener(f.listener); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("http front: %w", err)
	}
	return nil
}

// Shutdown stops accepting, waits for the calls in progress and closes the connections.
func (f *Front) Shutdown(ctx context.Context) error {
	err := f.app.ShutdownWithContext(ctx)
	f.stop()
	_ = f.listener.Close()
	f.finish()
	if err != nil {
		return fmt.Errorf("http front: wait for calls in progress: %w", err)
	}
	return nil
}

func (f *Front) close() {
	f.stop()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.app.ShutdownWithContext(ended)
	_ = f.listener.Close()
}

func (f *Front) finish() { f.once.Do(func() { close(f.done) }) }

// filter refuses the methods that fiber does not route, which it would answer without an outcome.
func (f *Front) filter(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(c.Method())) {
			next(c)
			return
		}
		f.faults.count(core.ReasonName(schema.Reason_REASON_MALFORMED))
		writeOutcome(&c.Response, schema.Status_STATUS_NOT_RUN, schema.Reason_REASON_MALFORMED, "unknown method")
	}
}

// FieldError reports a header field of a call that cannot be parsed.
type FieldError struct {
	name   string
	reason schema.Reason
	err    error
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("header %s: %v", e.name, e.err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.err }

func (f *Front) serve(c *fiber.Ctx) error {
	call, err := newCall(c.Request())
	if err != nil {
		return err
	}
	writeReply(c.Response(), f.handler.Handle(f.stopped, call))
	return nil
}

// writeReply writes the outcome of a call.
func writeReply(response *fasthttp.Response, reply *schema.ExecuteReply) {
	h := &response.Header
	h.SetNoDefaultContentType(true)
	if reply.GetStatus() == schema.Status_STATUS_ANSWERED {
		writeAnswer(response, reply)
	} else {
		writeOutcome(response, reply.GetStatus(), reply.GetReason(), "")
	}
	if reply.GetNextTicket() != nil {
		h.Set(core.HeaderNextTicket, ticket.Encode(reply.GetNextTicket()))
	}
	if reply.GetRetried() {
		h.Set(core.HeaderRetried, "1")
	}
}

// newCall copies a request, since fiber reuses its buffers once the handler has returned.
func newCall(request *fasthttp.Request) (*core.Call, error) {
	call := &core.Call{
		Method: string(request.Header.Method()),
		URI:    string(request.Header.RequestURI()),
		Path:   string(request.URI().Path()),
		Body:   append([]byte(nil), request.Body()...),
	}
	if !strings.HasPrefix(call.URI, "/") {
		call.URI = string(request.URI().RequestURI())
	}
	headers := newHeaderCopy()
	var fields callFields
	for name, value := range request.Header.All() {
		if !isCallField(string(name)) {
			headers.add(name, value)
		} else if err := fields.set(call, string(name), string(value)); err != nil {
			return nil, err
		}
	}
	call.Headers = keepEndToEnd(headers.finish(), false)
	return call, nil
}

var errTwice = errors.New("given more than once")

// callFields parses the header fields of a node's own and remembers which were given.
type callFields struct {
	timeout, depth, ticket bool
}

func (c *callFields) set(call *core.Call, name, value string) error {
	var err error
	seen := &c.ticket
	reason := schema.Reason_REASON_MALFORMED
	switch {
	case strings.EqualFold(name, core.HeaderTimeout):
		seen = &c.timeout
		call.Timeout, err = parseTimeout(value)
	case strings.EqualFold(name, core.HeaderDepth):
		seen = &c.depth
		call.Depth, err = parseDepth(value)
	default:
		reason = schema.Reason_REASON_TICKET_INVALID
		call.Ticket, err = ticket.Decode(value)
	}
	if *seen {
		err = errTwice
	}
	*seen = true
	if err != nil {
		return &FieldError{name: name, reason: reason, err: err}
	}
	return nil
}

func parseTimeout(value string) (time.Duration, error) {
	number, err := strconv.ParseUint(value, 10, 31)
	if err != nil || number == 0 {
		return 0, fmt.Errorf("expected milliseconds from 1 to %d", math.MaxInt32)
	}
	return time.Duration(number) * time.Millisecond, nil
}

func parseDepth(value string) (uint32, error) {
	number, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, errors.New("expected the number of layers")
	}
	return uint32(number), nil
}

// refuse answers requests that did not become a call: a malformed field, or an error of fasthttp.
func (f *Front) refuse(c *fiber.Ctx, err error) error {
	reason := schema.Reason_REASON_MALFORMED
	code := 0
	var field *FieldError
	var status *fiber.Error
	switch {
	case errors.As(err, &field):
		reason = field.reason
	case errors.As(err, &status):
		code = status.Code
	}
	if code == fiber.StatusRequestEntityTooLarge || code == fiber.StatusRequestHeaderFieldsTooLarge {
		reason = schema.Reason_REASON_TOO_LARGE
	}
	if code == fiber.StatusRequestTimeout {
		reason = schema.Reason_REASON_DEADLINE
	}
	f.faults.count(core.ReasonName(reason))
	f.logger.Debug("refused a request", zap.Error(err))
	c.Response().Reset()
	writeOutcome(c.Response(), schema.Status_STATUS_NOT_RUN, reason, err.Error())
	if code != 0 {
		c.Response().SetStatusCode(code)
	}
	return nil
}

// writeAnswer writes the response of the backend server as it came, but for the fields by which a node tells the outcome:
// a server that copies them from the response to a nested call would make its caller misjudge its own call.
func writeAnswer(response *fasthttp.Response, reply *schema.ExecuteReply) {
	h := &response.Header
	h.DisableNormalizing()
	for _, f := range reply.GetHeaders() {
		if strings.EqualFold(f.GetName(), fasthttp.HeaderDate) {
			setDate(response, f.GetValue())
		}
	}
	for _, f := range reply.GetHeaders() {
		if !isOutcomeField(f.GetName()) {
			h.AddBytesV(f.GetName(), f.GetValue())
		}
	}
	response.SetStatusCode(int(reply.GetCode()))
	response.SetBodyRaw(reply.GetBody())
}

// setDate sets the Date of the backend server. fasthttp's setters ignore that field and only its parser sets it. It
// resets the other fields.
func setDate(response *fasthttp.Response, value []byte) {
	text := make([]byte, 0, dateRoom)
	text = append(text, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: "...)
	text = append(text, value...)
	text = append(text, "\r\n\r\n"...)
	reader := dateReaders.Get().(*bufio.Reader)
	defer dateReaders.Put(reader)
	reader.Reset(bytes.NewReader(text))
	h := &response.Header
	if err := h.Read(reader); err != nil {
		h.Reset()
		h.DisableNormalizing()
	}
	h.SetStatusMessage(nil)
	h.SetProtocol(nil)
}

// writeOutcome writes a response for a call without an answer.
func writeOutcome(response *fasthttp.Response, status schema.Status, reason schema.Reason, detail string) {
	name := core.ReasonName(reason)
	h := &response.Header
	h.Set(core.HeaderOutcome, core.StatusName(status)+"; reason="+name)
	h.SetContentType("text/plain; charset=utf-8")
	if isBusy(reason) && status == schema.Status_STATUS_NOT_RUN {
		h.Set(fasthttp.HeaderRetryAfter, retryAfter)
	}
	response.SetStatusCode(outcomeCode(status, reason))
	text := core.StatusName(status) + ": " + name
	if detail != "" {
		text += ": " + strings.ReplaceAll(detail, "\n", " ")
	}
	response.SetBodyString(text + "\n")
}

func isBusy(reason schema.Reason) bool {
	return reason == schema.Reason_REASON_BUSY || reason == schema.Reason_REASON_PREEMPTED
}

// notRunCodes gives the HTTP status codes of calls that did not run; others are 503.
var notRunCodes = map[schema.Reason]int{
	schema.Reason_REASON_RETRY_BUDGET:    fasthttp.StatusTooManyRequests,
	schema.Reason_REASON_TICKET_REQUIRED: fasthttp.StatusPreconditionRequired,
	schema.Reason_REASON_TICKET_INVALID:  fasthttp.StatusBadRequest,
	schema.Reason_REASON_TICKET_MISMATCH: fasthttp.StatusUnprocessableEntity,
	schema.Reason_REASON_TICKET_CLOSED:   fasthttp.StatusConflict,
	schema.Reason_REASON_MALFORMED:       fasthttp.StatusBadRequest,
	schema.Reason_REASON_DEPTH:           fasthttp.StatusBadRequest,
	schema.Reason_REASON_NO_RULE:         fasthttp.StatusNotFound,
	schema.Reason_REASON_TOO_LARGE:       fasthttp.StatusRequestEntityTooLarge,
}

// outcomeCode returns the HTTP status code of a call without an answer.
func outcomeCode(status schema.Status, reason schema.Reason) int {
	if status == schema.Status_STATUS_NOT_RUN {
		if code, ok := notRunCodes[reason]; ok {
			return code
		}
		return fasthttp.StatusServiceUnavailable
	}
	if reason == schema.Reason_REASON_DEADLINE || reason == schema.Reason_REASON_CONNECTION_SILENT {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}
