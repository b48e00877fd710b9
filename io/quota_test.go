package io_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/io"
	"verbenareel/schema"
)

// quotaPeer grants what is asked for.
type quotaPeer struct{ core.Peer }

func (quotaPeer) Quota(r *schema.QuotaRequest) *schema.QuotaReply {
	var grants []*schema.QuotaGrant
	for _, ask := range r.GetAsks() {
		grants = append(grants, schema.QuotaGrant_builder{Tokens: ask.GetWant()}.Build())
	}
	return schema.QuotaReply_builder{Epoch: r.GetEpoch(), Grants: grants}.Build()
}

// TestQuota guards against a quota request that does not reach the peer, and against one to a node that coordinates none that
// ends in anything but an error.
func TestQuota(t *testing.T) {
	request := schema.QuotaRequest_builder{Epoch: 7, Asks: []*schema.QuotaAsk{
		schema.QuotaAsk_builder{Customer: 1, Want: 3}.Build(), schema.QuotaAsk_builder{Customer: 2, Want: 5}.Build(),
	}}.Build()
	send := func(opts ...io.Option) (*schema.QuotaReply, error) {
		s, err := io.NewServer("127.0.0.1:0", executor{}, quotaPeer{}, opts...)
		server := serveInBackground(t, s, err)
		return newTransport(t).Quota(context.Background(), server.Addr(), request)
	}
	reply, err := send(io.WithQuotaPeer(quotaPeer{}))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply.GetEpoch(), qt.Equals, uint64(7))
	qt.Assert(t, len(reply.GetGrants()), qt.Equals, 2)
	qt.Check(t, reply.GetGrants()[1].GetTokens(), qt.Equals, uint32(5))
	_, err = send()
	qt.Check(t, err, qt.ErrorMatches, ".*coordinates no quotas.*")
}
