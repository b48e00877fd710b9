package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	acmeKey    = "acme-key-1"
	revokedKey = "acme-key-0"
)

// customerRouter returns a router whose document lists the customer acme, and the requests that its guard received. Calls
// below /order need a key, those below /look do not.
func customerRouter() (*Router, *fixedSnapshots, *[]*schema.ExecuteRequest) {
	var sent []*schema.ExecuteRequest
	r, _, snapshots := newTestRouter(1, func(_ context.Context, request *schema.ExecuteRequest) *schema.ExecuteReply {
		sent = append(sent, request)
		return answer(200)
	})
	snapshots.Store(core.NewSnapshot(2, customerDocument(acmeKey), members(1)))
	return r, snapshots, &sent
}

func customerDocument(keys ...string) *schema.Document {
	d := document(nil)
	acme := schema.Customer_builder{Priority: schema.Priority_PRIORITY_LOW}.Build()
	for _, key := range keys {
		acme.SetKeyHashes(append(acme.GetKeyHashes(), core.HashKey(key)))
	}
	d.SetCustomers(map[string]*schema.Customer{"acme": acme})
	d.GetRules()[0].SetKeyExempt(true)
	d.GetRules()[0].SetPriority(schema.Priority_PRIORITY_HIGH)
	d.GetRules()[1].SetRepeatable(true)
	d.GetRules()[1].SetPriority(schema.Priority_PRIORITY_HIGH)
	return d
}

// callWithKey returns a call as the HTTP front passes it on: with the hash of the key, or without one.
func callWithKey(path, key string) *core.Call {
	input := &core.Call{Method: "GET", URI: path, Path: path}
	if key != "" {
		input.KeyHash = core.HashKey(key)
	}
	return input
}

// TestAuthentication guards against calls without a valid key that run, and against refusals of calls that need none.
func TestAuthentication(t *testing.T) {
	for _, test := range []struct {
		name, path, key string
		customer        string
		charged         string
		priority        schema.Priority
		reason          schema.Reason
	}{
		{"known key", "/order", acmeKey, "acme", "acme", schema.Priority_PRIORITY_LOW, schema.Reason_REASON_NONE},
		{"no key", "/order", "", "", "", 0, schema.Reason_REASON_UNKNOWN_KEY},
		{"revoked key", "/order", revokedKey, "", "", 0, schema.Reason_REASON_UNKNOWN_KEY},
		{"exempt without a key", "/look", "", "", "", schema.Priority_PRIORITY_HIGH, schema.Reason_REASON_NONE},
		{"exempt with an unknown key", "/look", revokedKey, "", "", schema.Priority_PRIORITY_HIGH, schema.Reason_REASON_NONE},
		{"exempt with a known key", "/look", acmeKey, "acme", "", schema.Priority_PRIORITY_LOW, schema.Reason_REASON_NONE},
		{"no rule before the key", "", acmeKey, "", "", 0, schema.Reason_REASON_NO_RULE},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _, sent := customerRouter()
			input := callWithKey(test.path, test.key)
			reply := r.Handle(context.Background(), input)
			qt.Check(t, reply.GetReason(), qt.Equals, test.reason)
			if test.reason != schema.Reason_REASON_NONE {
				qt.Check(t, reply.GetStatus(), qt.Equals, schema.Status_STATUS_NOT_RUN)
				qt.Check(t, *sent, qt.HasLen, 0)
				return
			}
			qt.Assert(t, *sent, qt.HasLen, 1)
			qt.Check(t, (*sent)[0].GetCustomer(), qt.Equals, test.customer)
			qt.Check(t, (*sent)[0].GetPriority(), qt.Equals, test.priority)
			c, _ := r.accept(r.clock.Now(), input)
			qt.Check(t, c.customer, qt.Equals, test.charged)
		})
	}
}

// TestRevokedKey guards against a key that still works once the document no longer lists it, and against a node that answers
// for a document that it does not have.
func TestRevokedKey(t *testing.T) {
	r, snapshots, sent := customerRouter()
	qt.Check(t, r.Handle(context.Background(), callWithKey("/order", acmeKey)).GetCode(), qt.Equals, uint32(200))
	snapshots.Store(core.NewSnapshot(3, customerDocument("acme-key-2"), members(1)))
	qt.Check(t, r.Handle(context.Background(), callWithKey("/order", acmeKey)).GetReason(), qt.Equals, schema.Reason_REASON_UNKNOWN_KEY)
	qt.Check(t, *sent, qt.HasLen, 1)
	status := r.CustomerStatuses()
	qt.Assert(t, status, qt.HasLen, 1)
	qt.Check(t, status[0].Calls, qt.Equals, uint64(1))
	qt.Check(t, status[0].KeyHashes, qt.DeepEquals, []string{core.HashKey("acme-key-2")[:8]})
	snapshots.Store(nil)
	reply := r.Handle(context.Background(), callWithKey("/order", acmeKey))
	qt.Check(t, reply.GetReason(), qt.Equals, schema.Reason_REASON_NO_CONFIGURATION)
}

// TestKeyUnknownYet guards against a final 401 for a key that a later document lists, and against a call that runs without a valid
// key since the node does not know whether its document is the current one.
func TestKeyUnknownYet(t *testing.T) {
	for _, test := range []struct {
		name, key string
		age       time.Duration
		reason    schema.Reason
	}{
		{"confirmed", revokedKey, time.Second, schema.Reason_REASON_UNKNOWN_KEY},
		{"confirmed long ago", revokedKey, time.Hour, schema.Reason_REASON_NO_CONFIGURATION},
		{"no key, confirmed long ago", "", time.Hour, schema.Reason_REASON_UNKNOWN_KEY},
		{"known key, confirmed long ago", acmeKey, time.Hour, schema.Reason_REASON_NONE},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, snapshots, sent := customerRouter()
			confirmed := &confirmedSnapshots{at: time.Now().Add(-test.age)}
			confirmed.Store(snapshots.Load())
			r.snapshots = confirmed
			assertVerdict(qt.New(t), r.Handle(t.Context(), callWithKey("/order", test.key)), test.reason)
			qt.Check(t, len(*sent) == 1, qt.Equals, test.reason == schema.Reason_REASON_NONE)
		})
	}
}
