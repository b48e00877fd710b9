package io

import (
	"errors"

	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

const kindPanic = "panic"

// errPanic is the error of a request whose handler panicked.
var errPanic = errors.New("internal error")

// recordPanic counts and logs a panic in the handler of one request. The process goes on: the other requests are unaffected.
func recordPanic(logger *zap.Logger, counter errorCounter, method string, value any) {
	counter.inc(kindPanic)
	logger.Error("handler panicked", zap.String("method", method), zap.Any("panic", value), zap.Stack("stack"))
}

// handle calls the handler of a caller's request. After a panic the outcome is unknown, because the request may have been
// sent.
func (f *Front) handle(s *session, call *core.Call) (reply *schema.ExecuteReply) {
	defer func() {
		if value := recover(); value != nil {
			recordPanic(f.logger, f.errorCounter, call.Method+" "+call.Path, value)
			reply = core.Unknown(schema.Reason_REASON_NODE_LOST)
		}
	}()
	return f.handler.Handle(s.ctx, call)
}

// recoverPanic replaces the result of an RPC method that panicked by an error. It must be deferred.
func (s *Server) recoverPanic(method string, err *error) {
	if value := recover(); value != nil {
		recordPanic(s.logger, s.errorCounter, method, value)
		*err = errPanic
	}
}
