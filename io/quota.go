package io

import (
	"context"
	"errors"

	"verbenareel/core"
	"verbenareel/schema"
)

var errNoQuota = errors.New("node coordinates no quotas")

// WithQuotaPeer sets the handler of a Server for the quota requests of other nodes.
func WithQuotaPeer(peer core.QuotaPeer) Option {
	return func(o *options) { o.quotaPeer = peer }
}

// Quota leases shares of quotas to the node and hands out tokens.
func (m *PeerMethods) Quota(request *schema.QuotaRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Peer.Quota", &err)
	if m.server.quotaPeer == nil {
		return errNoQuota
	}
	reply.message = m.server.quotaPeer.Quota(request)
	return nil
}

// Quota implements core.QuotaTransport. It uses the connection for calls, because a call waits for the reply.
func (t *Transport) Quota(ctx context.Context, address string, request *schema.QuotaRequest) (*schema.QuotaReply, error) {
	return call(ctx, t, classCalls, address, "Peer.Quota", request, new(schema.QuotaReply))
}
