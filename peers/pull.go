package peers

import (
	"cmp"
	"errors"
	"time"

	"verbenareel/schema"
)

var (
	errNoManifest   = errors.New("peer does not list the blocks of the revision")
	errTextTooLarge = errors.New("text exceeds the limit")
)

// failedPulls counts the failed attempts of transfers from peers that have not been logged, and describes the last one.
type failedPulls struct {
	count           int
	revision        uint64
	source          string
	blocks, missing int
	after           time.Duration
	err             error
}

// handleRevision compares the revision of a peer with the accepted one and pulls it if it is higher.
func (s *State) handleRevision(now time.Time, from string, revision, manifest uint64, confirmedAt time.Time) {
	switch {
	case revision < s.Revision() || revision == 0:
		return
	case revision == s.Revision() && manifest == s.manifest():
		s.recordConfirmation(confirmedAt)
		return
	case revision == s.Revision() && !s.mayMerge(manifest):
		s.recordConflict(manifest)
		return
	case s.isRejected(revision, manifest):
		return
	case manifest == s.manifest():
		s.advanceRevision(revision, confirmedAt)
		return
	}
	if s.pull != nil && s.pull.revision == revision && s.pull.manifest == manifest {
		s.pull.addFallback(from)
		return
	}
	if s.pull != nil && s.pull.revision >= revision {
		return
	}
	s.pull = &pull{revision: revision, manifest: manifest, confirmedAt: confirmedAt, startedAt: now}
	s.startPull(now, from)
}

// isRejected reports whether a version is the one that last failed validation.
func (s *State) isRejected(revision, manifest uint64) bool {
	return revision == s.rejected.revision && manifest == s.rejected.manifest
}

// advanceRevision raises the revision of the accepted document, because the platform holds the same text under the
// higher revision.
func (s *State) advanceRevision(revision uint64, confirmedAt time.Time) {
	s.accepted.revision = revision
	s.recordConfirmation(confirmedAt)
	if s.pull != nil && s.pull.revision <= revision {
		s.pull = nil
		s.finishRecheck()
	}
}

// recordConflict counts a different text under the accepted revision. The text accepted first stays in force.
func (s *State) recordConflict(manifest uint64) {
	if s.conflictManifest != manifest {
		s.conflictManifest = manifest
		s.counters.Conflicts++
	}
}

// recordConfirmation records that the platform held the accepted revision at the given time.
func (s *State) recordConfirmation(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// startPull starts an attempt of the current pull. Blocks that were received before are kept.
func (s *State) startPull(now time.Time, from string) {
	s.counters.Pulls++
	s.pull.source, s.pull.refreshes, s.pull.hashes = from, 0, nil
	s.fetchManifest(now)
}

// fetchManifest asks the source of the current pull for the blocks of its revision.
func (s *State) fetchManifest(now time.Time) {
	s.lastID++
	s.pull.attempt = s.lastID
	request := schema.ManifestRequest_builder{Revision: s.pull.revision}.Build()
	s.emit(FetchManifest{To: s.pull.source, Request: request, sentAt: now, attempt: s.lastID})
}

// retryPull retries the pull with the next peer that announced the revision. Without one, it gives up until the
// revision is announced again.
func (s *State) retryPull(now time.Time, cause error) {
	s.counters.PullsFailed++
	s.failedPulls = failedPulls{
		count: s.failedPulls.count + 1, revision: s.pull.revision, source: s.pull.source, blocks: len(s.pull.hashes),
		missing: len(s.missingHashes()), after: now.Sub(s.pull.startedAt), err: cause,
	}
	if len(s.pull.fallbacks) == 0 {
		s.pull = nil
		s.finishRecheck()
		return
	}
	next := s.pull.fallbacks[0]
	s.pull.fallbacks = s.pull.fallbacks[1:]
	s.startPull(now, next)
}

// HandleManifest returns the block hashes of the accepted revision, or an empty reply if it is lower than the requested one.
func (s *State) HandleManifest(now time.Time, r *schema.ManifestRequest) *schema.ManifestReply {
	s.detectPause(now)
	if s.accepted == nil || s.accepted.revision < r.GetRevision() {
		return &schema.ManifestReply{}
	}
	return schema.ManifestReply_builder{
		Revision: s.accepted.revision, Sections: s.accepted.hashes, ConfirmedMs: s.confirmationAge(now),
	}.Build()
}

// ManifestDone processes the reply to a FetchManifest, or its error.
func (s *State) ManifestDone(now time.Time, sent FetchManifest, reply *schema.ManifestReply, err error) {
	s.detectPause(now)
	if s.pull == nil || s.pull.attempt != sent.attempt {
		return
	}
	if err != nil || !s.pull.follow(reply, s.confirmationTime(sent.sentAt, reply.GetConfirmedMs())) || s.isRejected(s.pull.revision, s.pull.manifest) {
		s.retryPull(now, cmp.Or(err, errNoManifest))
		return
	}
	s.continuePull(now)
}

// follow sets the blocks to transfer to those of a manifest, and reports whether it is that of the revision or of a later one: the
// peer may have accepted another revision meanwhile.
func (p *pull) follow(reply *schema.ManifestReply, confirmedAt time.Time) bool {
	hashes, revision := reply.GetSections(), reply.GetRevision()
	manifest := manifestHash(hashes)
	known := revision == p.revision && manifest == p.manifest
	if len(hashes) == 0 || len(hashes) > maxBlocks || revision < p.revision || revision == p.revision && !known {
		return false
	}
	if !known {
		p.revision, p.manifest, p.confirmedAt = revision, manifest, confirmedAt
	}
	p.hashes = hashes
	return true
}

// continuePull requests missing blocks, or applies the document once it is complete.
func (s *State) continuePull(now time.Time) {
	p := s.pull
	if missing := s.missingHashes(); len(missing) > 0 {
		missing = missing[:min(len(missing), maxFetchedBlocks)]
		request := schema.SectionsRequest_builder{Sections: missing, Compressed: true}.Build()
		s.emit(FetchSections{To: p.source, Request: request, attempt: p.attempt})
		return
	}
	text, ok := s.assemble()
	if !ok {
		s.retryPull(now, errTextTooLarge)
		return
	}
	s.pull = nil
	s.applyDocument(now, p.revision, text, p.confirmedAt)
	if s.accepted != nil && s.accepted.revision == p.revision {
		s.accepted.source, s.accepted.transfer = p.source, now.Sub(p.startedAt)
	}
	s.releaseHeld(now)
	s.finishRecheck()
}

// HandleSections returns the text of the requested blocks. Unknown blocks are empty.
func (s *State) HandleSections(now time.Time, r *schema.SectionsRequest) *schema.SectionsReply {
	s.detectPause(now)
	hashes := r.GetSections()
	if len(hashes) > maxBlocks {
		return &schema.SectionsReply{}
	}
	if !r.GetCompressed() {
		// Nodes without compression take a reply that lacks blocks for a failure.
		return s.replyBlocks(hashes, maxText)
	}
	return s.compressor.compress(hashes, s.replyBlocks(hashes, maxReplyText))
}

// SectionsDone processes the reply to a FetchSections, or its error. The blocks of a reply that comes too late for its attempt are
// kept as well.
func (s *State) SectionsDone(now time.Time, sent FetchSections, reply *schema.SectionsReply, err error) {
	s.detectPause(now)
	var received int
	if err == nil {
		var blocks [][]byte
		blocks, err = s.compressor.decompress(reply)
		received = s.receiveBlocks(sent.Request.GetSections(), blocks)
	}
	switch {
	case s.pull == nil || s.pull.attempt != sent.attempt:
	case err == nil && received > 0:
		s.continuePull(now)
	case err == nil && s.pull.refreshes < maxRefreshes:
		// The source may have accepted another revision, which no longer has the blocks.
		s.pull.refreshes++
		s.fetchManifest(now)
	default:
		s.retryPull(now, cmp.Or(err, errNoBlocks))
	}
}

// parse returns the document of a text, or the fault for which every node rejects it.
func (s *State) parse(text []byte) (*schema.Document, error) {
	if len(text) > maxText {
		return nil, errTextTooLarge
	}
	return s.reading.Parse(text)
}

// applyDocument validates a text and accepts or rejects it. A revision lower than the accepted one is never applied.
func (s *State) applyDocument(now time.Time, revision uint64, text []byte, confirmedAt time.Time) {
	offered := newDocumentVersion(revision, text)
	switch {
	case revision < s.Revision():
		s.counters.Lower++
		return
	case s.isRejected(revision, offered.manifest):
		return
	}
	candidate, text := s.merge(offered, text)
	unchanged := s.accepted != nil && candidate.manifest == s.accepted.manifest
	switch {
	case unchanged && revision == s.Revision():
		s.recordConfirmation(confirmedAt)
		return
	case unchanged:
		s.advanceRevision(revision, confirmedAt)
		return
	case s.accepted != nil && revision == s.Revision() && s.reading.Merge == nil:
		s.recordConflict(candidate.manifest)
		return
	}
	document, err := s.parse(text)
	if err != nil {
		s.counters.Rejected++
		if revision >= s.rejected.revision {
			s.rejected = rejectedVersion{revision: revision, manifest: offered.manifest, faults: err, at: now}
		}
		return
	}
	candidate.document = document
	s.counters.Accepted++
	s.accepted = candidate
	s.received.retain(s.pulledHashes())
	s.confirmedAt = confirmedAt
	if s.pull != nil && s.pull.revision <= revision {
		s.pull = nil
	}
	s.announceRevision(now)
}
