package core

import (
	"context"

	"verbenareel/schema"
)

// QuotaPeer handles the quota requests of other nodes.
type QuotaPeer interface {
	Quota(request *schema.QuotaRequest) *schema.QuotaReply
}

// QuotaTransport sends requests to the QuotaPeer of the node at an RPC address. All errors are of type *TransportError.
type QuotaTransport interface {
	Quota(ctx context.Context, address string, request *schema.QuotaRequest) (*schema.QuotaReply, error)
}
