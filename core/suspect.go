package core

import (
	"encoding/binary"
	"strings"
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

// Fingerprint returns the xxhash of service, method, uri and body. It identifies a request that is sent again with its
// ticket.
func Fingerprint(service, method, uri string, body []byte) uint64 {
	return hashFields(body, service, method, uri)
}

// SuspectFingerprints returns the fingerprints by which a request that crashes backend servers is recognized when its
// caller sends it again: one without the query, which may differ each time, and one with it, which the answers to other
// queries do not clear. caller is the service of the caller.
func SuspectFingerprints(service, caller, method, uri string, body []byte) []uint64 {
	path, query, found := strings.Cut(uri, "?")
	fingerprints := []uint64{hashFields(body, service, caller, method, path)}
	if found {
		fingerprints = append(fingerprints, hashFields(body, service, caller, method, path, query))
	}
	return fingerprints
}

// hashFields returns the xxhash of the fields and the body. Each is prefixed with its length, so that the same bytes split
// differently between fields yield different hashes.
func hashFields(body []byte, fields ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, field := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(field)
	}
	binary.LittleEndian.PutUint64(length[:], uint64(len(body)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(body)
	return d.Sum64()
}
