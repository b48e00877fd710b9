package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash"

	"google.golang.org/protobuf/proto"

	"verbenareel/schema"
)

// MaxEncoded is the maximum length of an encoded ticket in bytes.
const MaxEncoded = 512

// DecodeError reports text that is not an encoded ticket.
type DecodeError struct {
	size int
	err  error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("ticket too long: %d bytes, at most %d allowed", e.size, MaxEncoded)
	}
	return fmt.Sprintf("malformed ticket of %d bytes: %v", e.size, e.err)
}

// Unwrap returns the cause, or nil if the text was too long.
func (e *DecodeError) Unwrap() error { return e.err }

// Encode returns the ticket as text for a header field: the protobuf message in unpadded base64url.
func Encode(ticket *schema.Ticket) string {
	data, err := proto.Marshal(ticket)
	if err != nil {
		// Marshal fails only for a string field that isn't valid UTF-8, and no issued ticket has one.
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode returns the ticket encoded by Encode. It doesn't verify the MAC. The error is a *DecodeError.
func Decode(text string) (*schema.Ticket, error) {
	if len(text) > MaxEncoded {
		return nil, &DecodeError{size: len(text)}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, &DecodeError{size: len(text), err: fmt.Errorf("base64: %w", err)}
	}
	ticket := new(schema.Ticket)
	if err := proto.Unmarshal(data, ticket); err != nil {
		return nil, &DecodeError{size: len(text), err: fmt.Errorf("protobuf: %w", err)}
	}
	if len(ticket.GetMac()) != sha256.Size || ticket.GetInstance() == "" {
		return nil, &DecodeError{size: len(text), err: errMissingField}
	}
	return ticket, nil
}

type fieldError struct{}

// Error implements error.
func (fieldError) Error() string { return "missing instance or MAC" }

var errMissingField error = fieldError{}

// signer computes the MACs of tickets. It is not safe for concurrent use.
type signer struct {
	mac    hash.Hash
	buffer []byte
	sum    []byte
}

func newSigner(key []byte) *signer {
	return &signer{mac: hmac.New(sha256.New, key)}
}

// sign returns the MAC over all other fields. The result is valid until the next call.
func (s *signer) sign(ticket *schema.Ticket) []byte {
	b := s.buffer[:0]
	b = appendString(b, ticket.GetInstance())
	b = appendString(b, ticket.GetService())
	b = binary.BigEndian.AppendUint64(b, ticket.GetIncarnation())
	b = binary.BigEndian.AppendUint64(b, ticket.GetSerial())
	b = binary.BigEndian.AppendUint64(b, uint64(ticket.GetExpiresMs()))
	s.buffer = b
	s.mac.Reset()
	s.mac.Write(b)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum
}

// verify compares the MAC in constant time.
func (s *signer) verify(ticket *schema.Ticket) bool {
	return hmac.Equal(ticket.GetMac(), s.sign(ticket))
}

// appendString appends the text prefixed by its length, so that moving bytes between adjacent strings changes the MAC.
func appendString(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}
