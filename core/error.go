package core

import (
	"fmt"

	"verbenareel/schema"
)

// TransportError reports that a request to another node failed.
type TransportError struct {
	address   string
	reason    schema.Reason
	maybeSent bool
	err       error
}

// NewTransportError returns an error for the node at address. maybeSent reports whether any byte of the request may have
// reached the node.
func NewTransportError(address string, reason schema.Reason, maybeSent bool, err error) *TransportError {
	return &TransportError{address: address, reason: reason, maybeSent: maybeSent, err: err}
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("node %s: %s: %v", e.address, ReasonName(e.reason), e.err)
}

// Unwrap returns the underlying error.
func (e *TransportError) Unwrap() error { return e.err }

// Reason returns UNREACHABLE, NODE_LOST, CONNECTION_SILENT, DEADLINE, CANCELLED, BUSY, TOO_LARGE or MALFORMED.
func (e *TransportError) Reason() schema.Reason { return e.reason }

// MaybeSent reports whether any byte of the request may have reached the node.
func (e *TransportError) MaybeSent() bool { return e.maybeSent }
