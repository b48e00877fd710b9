package core

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SuspectTable holds the fingerprints of requests that were in flight when a backend server crashed.
// It is safe for concurrent use.
type SuspectTable interface {
	// Crashes returns the number of crashes during which the request was in flight; 0 means that it is not a suspect.
	Crashes(now time.Time, fingerprint uint64) int
	// Known reports whether the request was in flight during a crash, even if a later run cleared it.
	Known(now time.Time, fingerprint uint64) bool
	// Record adds one crash to each of the fingerprints. alone reports that the single request in fingerprints was the only
	// one running.
	Record(now time.Time, fingerprints []uint64, alone bool)
	// Clear removes a fingerprint after its request was answered without a crash.
	Clear(now time.Time, fingerprint uint64)
}

// Fingerprint returns the xxhash of service, method, uri and body. Each field is prefixed with its length, so that the
// same bytes split differently between fields yield different hashes.
func Fingerprint(service, method, uri string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, field := range [...]string{service, method, uri} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(field)
	}
	binary.LittleEndian.PutUint64(length[:], uint64(len(body)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(body)
	return d.Sum64()
}
