package io_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

const secretKey = "secret-5f1b"

// TestKeyField guards against a key that a call still holds, and against a call that is taken for that of a customer although
// its key is empty or given twice.
func TestKeyField(t *testing.T) {
	for _, test := range []struct {
		name, fields, hash string
	}{
		{"one key", "Verbenareel-Key: " + secretKey + "\r\n", core.HashKey(secretKey)},
		{"another spelling", "verbenareel-KEY:\t" + secretKey + " \r\n", core.HashKey(secretKey)},
		{"no key", "", ""},
		{"empty", "Verbenareel-Key: \r\n", ""},
		{"twice", strings.Repeat("Verbenareel-Key: "+secretKey+"\r\n", 2), ""},
		{"empty, then a key", "Verbenareel-Key:\r\nVerbenareel-Key: " + secretKey + "\r\n", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			front := newFront(t, func(call *core.Call) *schema.ExecuteReply {
				qt.Check(t, call.KeyHash, qt.Equals, test.hash)
				return echoCall(call)
			})
			request := "GET /a HTTP/1.1\r\nHost: h\r\n" + test.fields + "Verbenareel-Customer: forged\r\nX-Other: 1\r\n\r\n"
			response := roundTrip(t, front.Addr(), request)
			qt.Check(t, response.header.Get("X-Other"), qt.Equals, "1")
			qt.Check(t, response.header.Values("Verbenareel-Key"), qt.HasLen, 0)
			qt.Check(t, response.header.Values("Verbenareel-Customer"), qt.HasLen, 0)
		})
	}
}

// TestCustomerField guards against a backend server that gets a key, or the name of a customer that the caller made up.
func TestCustomerField(t *testing.T) {
	for _, customer := range []string{"acme", ""} {
		t.Run("customer "+customer, func(t *testing.T) {
			var seen http.Header
			address, _ := newHTTPServer(t, func(conn *net.TCPConn, r *http.Request) bool {
				seen = r.Header
				_, err := conn.Write([]byte(okResponse))
				return err == nil
			})
			request := newPostRequest()
			request.Customer = customer
			request.Headers = []*schema.Header{header("verbenareel-key", secretKey), header("verbenareel-customer", "forged")}
			qt.Assert(t, newBackend(t, address).Send(t.Context(), request).Code, qt.Equals, http.StatusOK)
			qt.Check(t, seen.Values("Verbenareel-Key"), qt.HasLen, 0)
			qt.Check(t, strings.Join(seen.Values("Verbenareel-Customer"), ","), qt.Equals, customer)
		})
	}
}

// TestUnknownKeyStatus guards against a refusal for an unknown key that callers take for a failure of the system, also when
// the call carries a ticket and an earlier attempt may have run.
func TestUnknownKeyStatus(t *testing.T) {
	for name, reply := range map[string]*schema.ExecuteReply{
		"not run": core.NotRun(schema.Reason_REASON_UNKNOWN_KEY),
		"unknown": core.Unknown(schema.Reason_REASON_UNKNOWN_KEY),
	} {
		t.Run(name, func(t *testing.T) {
			front := newFront(t, func(*core.Call) *schema.ExecuteReply { return reply })
			response := roundTrip(t, front.Addr(), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			qt.Check(t, response.code, qt.Equals, http.StatusUnauthorized)
			qt.Check(t, response.header.Get("WWW-Authenticate"), qt.Not(qt.Equals), "")
			qt.Check(t, response.header.Get("Retry-After"), qt.Equals, "")
			qt.Check(t, response.header.Get("Verbenareel-Outcome"), qt.Contains, "reason=unknown-key")
		})
	}
}

// TestKeyInFaultyRequest guards against a key that gets into the log or a response because the request around it is malformed.
func TestKeyInFaultyRequest(t *testing.T) {
	key := "Verbenareel-Key: " + secretKey
	for name, request := range map[string]string{
		"control character": "GET /a HTTP/1.1\r\nHost: h\r\n" + key + "\x01\r\n\r\n",
		"no colon":          "GET /a HTTP/1.1\r\nHost: h\r\nVerbenareel-Key " + secretKey + "\r\n\r\n",
		"invalid time":      "GET /a HTTP/1.1\r\nHost: h\r\n" + key + "\r\nVerbenareel-Timeout: x\r\n\r\n",
		"malformed chunk":   "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + secretKey + "\r\n\r\n",
		"key in a faulty trailer": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
			"Content-Length: 3\r\n" + key + "\r\n\r\n",
		"line without end in a trailer": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
			"Bad Name " + secretKey + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			logged, logs := observer.New(zapcore.DebugLevel)
			front := newFront(t, echoCall, io.WithLogger(zap.New(logged)))
			response := roundTrip(t, front.Addr(), request)
			qt.Check(t, response.body, qt.Not(qt.Contains), secretKey)
			for _, entry := range logs.All() {
				qt.Check(t, fmt.Sprint(entry.Message, entry.ContextMap()), qt.Not(qt.Contains), secretKey)
			}
		})
	}
}
