package io_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// TestResponsesBySource guards against a request that a node ends with a 4xx without a trace: each response is counted by its
// source, and one that the server did not sign or that the node made before routing is logged with its request.
func TestResponsesBySource(t *testing.T) {
	signed := header("x-seal", "s")
	for _, c := range []struct {
		name, request string
		reply         *schema.ExecuteReply
		code          int
		source        string
		message       string
	}{
		{"signed", "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", answeredReply([]*schema.Header{signed}, nil), 200, "server", ""},
		{"unsigned", "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", answeredReply(nil, nil), 200, "unsigned", "response without the signature of its server"},
		{"refused", "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", core.NotRun(schema.Reason_REASON_NO_RULE), 404, "node", ""},
		{"rejected", "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Time: soon\r\n\r\n", nil, 400, "node", "request rejected"},
	} {
		t.Run(c.name, func(t *testing.T) {
			logged, logs := observer.New(zap.InfoLevel)
			registry := prometheus.NewRegistry()
			front := newFront(t, func(*core.Call) *schema.ExecuteReply { return c.reply },
				io.WithWire(customWire()), io.WithLogger(zap.New(logged)), io.WithRegisterer(registry), io.WithConfiguration(version7))
			qt.Check(t, roundTrip(t, front.Addr(), c.request).code, qt.Equals, c.code)
			checkOneResponse(t, registry, c.code, c.source)
			if c.message == "" {
				return
			}
			lines := logs.FilterMessage(c.message).All()
			qt.Assert(t, lines, qt.HasLen, 1)
			qt.Check(t, lines[0].ContextMap()["request"], qt.Equals, "1")
			qt.Check(t, lines[0].ContextMap()["path"], qt.Equals, "/a")
			qt.Check(t, lines[0].ContextMap()["code"], qt.Equals, int64(c.code))
			if c.reply == nil {
				qt.Check(t, lines[0].ContextMap()["deployment"], qt.Equals, "version 7")
			}
		})
	}
}

// version7 is a configuration in force.
func version7() zapcore.ObjectMarshaler {
	return zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("deployment", "version 7")
		return nil
	})
}

// checkOneResponse checks that one response was counted, with a code and a source.
func checkOneResponse(t *testing.T, registry *prometheus.Registry, code int, source string) {
	t.Helper()
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	counted := ""
	for _, family := range families {
		if family.GetName() != "verbenareel_io_responses_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := metric.GetLabel()
			counted += fmt.Sprint(labels[0].GetValue(), " ", labels[1].GetValue(), " ", metric.GetCounter().GetValue())
		}
	}
	qt.Check(t, counted, qt.Equals, fmt.Sprint(code, " ", source, " 1"))
}
