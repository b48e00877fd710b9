package core

import (
	"fmt"

	"verbenareel/schema"
)

// TransportError reports that an exchange with another node failed.
type TransportError struct {
	address string
	reason  schema.Reason
	sent    bool
	err     error
}

// NewTransportError returns an error for the node at address. sent tells whether any byte of the request may have
// reached it.
func NewTransportError(address string, reason schema.Reason, sent bool, err error) *TransportError {
	return &TransportError{address: address, reason: reason, sent: sent, err: err}
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("node %s: %s: %v", e.address, ReasonName(e.reason), e.err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.err }

// Reason returns UNREACHABLE, NODE_LOST, CONNECTION_SILENT, DEADLINE or CANCELLED.
func (e *TransportError) Reason() schema.Reason { return e.reason }

// Sent reports whether any byte of the request may have reached the node.
func (e *TransportError) Sent() bool { return e.sent }
