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

// MaxEncoded is the longest encoded ticket in bytes.
const MaxEncoded = 512

// DecodeError reports a text that is no ticket.
type DecodeError struct {
	size int
	err  error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("ticket of %d bytes exceeds %d", e.size, MaxEncoded)
	}
	return fmt.Sprintf("malformed ticket of %d bytes: %v", e.size, e.err)
}

// Unwrap returns the cause, or nil if the text was too long.
func (e *DecodeError) Unwrap() error { return e.err }

// Encode returns the ticket as text for a header field: the protobuf message in base64url without padding.
func Encode(ticket *schema.Ticket) string {
	data, err := proto.Marshal(ticket)
	if err != nil {
		// Only a string field that isn't UTF-8 makes Marshal fail, and no issued ticket has one.
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode returns the ticket that Encode made text from. It doesn't check the MAC. The error is a *DecodeError.
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
func (fieldError) Error() string { return "no instance or no MAC" }

var errMissingField error = fieldError{}

// signer computes the MAC of tickets. It is not safe for concurrent use.
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
	b = appendText(b, ticket.GetInstance())
	b = appendText(b, ticket.GetService())
	b = binary.BigEndian.AppendUint64(b, ticket.GetIncarnation())
	b = binary.BigEndian.AppendUint64(b, ticket.GetSerial())
	b = binary.BigEndian.AppendUint64(b, uint64(ticket.GetExpiresMs()))
	s.buffer = b
	s.mac.Reset()
	s.mac.Write(b)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum
}

// valid compares the MAC in constant time.
func (s *signer) valid(ticket *schema.Ticket) bool {
	return hmac.Equal(ticket.GetMac(), s.sign(ticket))
}

// appendText writes the length first, so that two texts can't be split in another way under the same MAC.
func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}
