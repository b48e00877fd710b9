package io

import (
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/schema"
)

// Sources of the responses that callers get.
const (
	// sourceServer is a response that the backend server made, and sourceUnsigned one that came in place of it without the
	// signature that each response of a server has.
	sourceServer   = "server"
	sourceUnsigned = "unsigned"
	// sourceNode is the outcome of a request without a response of its server.
	sourceNode = "node"
)

// newResponseCounter returns the counter of responses to callers.
func newResponseCounter(registerer prometheus.Registerer) *prometheus.CounterVec {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenareel_io_responses_total",
		Help: "Responses to callers by status code and source: the backend server, a response without its signature, or the node.",
	}, []string{"code", "source"})
	if registerer == nil {
		return vector
	}
	if existing, ok := alreadyRegistered(registerer.Register(vector)); ok {
		return existing
	}
	return vector
}

// sourceOf returns the source of the response to a call.
func sourceOf(w *core.WireFormat, reply *schema.ExecuteReply) string {
	if reply.GetStatus() != schema.Status_STATUS_ANSWERED {
		return sourceNode
	}
	if w.ResponseSignature == "" {
		return sourceServer
	}
	for _, h := range reply.GetHeaders() {
		if strings.EqualFold(h.GetName(), w.ResponseSignature) {
			return sourceServer
		}
	}
	return sourceUnsigned
}

// recordResponse counts the response to a call, and logs one that has no signature of its server.
func (f *Front) recordResponse(call *core.Call, code int, source string) {
	f.responses.WithLabelValues(strconv.Itoa(code), source).Inc()
	if source == sourceUnsigned {
		f.logger.Info("response without the signature of its server", zap.String("request", call.ID),
			zap.String("host", call.Host), zap.String("path", call.Path), zap.Int("code", code))
	}
}

// requestID returns the ID in the header of a request, or an empty text.
func requestID(w *core.WireFormat, request *fasthttp.Request) string {
	if w.RequestID == "" {
		return ""
	}
	for name, value := range request.Header.All() {
		if equalFold(name, w.RequestID) {
			return string(value)
		}
	}
	return ""
}

// recordRejection counts and logs a request that could not be read or parsed. Its ID and path are known only if its header was
// parsed.
func (s *session) recordRejection(request *fasthttp.Request, reason schema.Reason, code int, err error) {
	f := s.front
	f.responses.WithLabelValues(strconv.Itoa(code), sourceNode).Inc()
	limits := f.currentLimits()
	f.logger.Info("request rejected", zap.String("request", requestID(f.wire, request)),
		zap.String("reason", core.ReasonName(reason)),
		zap.ByteString("method", request.Header.Method()),
		zap.String("path", pathOf(originForm(string(request.Header.RequestURI())))),
		zap.Int("code", code), zap.Error(err),
		zap.Duration("read_for", time.Since(s.requestBegan)),
		zap.Int("max_header", limits.maxHeader),
		zap.Int("max_body", limits.maxBody),
		zap.Inline(f.configuration()),
		zap.Bool("draining", s.draining()),
		zap.Stringer("caller", s.conn.RemoteAddr()))
}
