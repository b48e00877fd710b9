package peers

import (
	"cmp"
	"errors"
	"time"

	"verbenareel/config"
	"verbenareel/schema"
)

var (
	errNoManifest   = errors.New("peer does not list the blocks of the revision")
	errNoBlocks     = errors.New("peer does not have the blocks")
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
	case revision == s.rejected.revision && manifest == s.rejected.manifest:
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
	s.startPull(from)
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

// startPull starts an attempt of the current pull.
func (s *State) startPull(from string) {
	s.counters.Pulls++
	s.lastID++
	s.pull.source, s.pull.attempt = from, s.lastID
	s.pull.hashes, s.pull.blocks = nil, make(map[uint64][]byte)
	s.emit(FetchManifest{To: from, Request: schema.ManifestRequest_builder{Revision: s.pull.revision}.Build(), attempt: s.lastID})
}

// retryPull retries the pull with the next peer that announced the revision. Without one, it gives up until the
// revision is announced again.
func (s *State) retryPull(now time.Time, cause error) {
	s.counters.PullsFailed++
	s.failedPulls = failedPulls{
		count: s.failedPulls.count + 1, revision: s.pull.revision, source: s.pull.source, blocks: len(s.pull.hashes),
		missing: len(s.pull.missingHashes()), after: now.Sub(s.pull.startedAt), err: cause,
	}
	if len(s.pull.fallbacks) == 0 {
		s.pull = nil
		s.finishRecheck()
		return
	}
	next := s.pull.fallbacks[0]
	s.pull.fallbacks = s.pull.fallbacks[1:]
	s.startPull(next)
}

// HandleManifest returns the block hashes of the accepted revision, or an empty reply for any other revision.
func (s *State) HandleManifest(now time.Time, r *schema.ManifestRequest) *schema.ManifestReply {
	s.detectPause(now)
	if s.accepted == nil || s.accepted.revision != r.GetRevision() {
		return &schema.ManifestReply{}
	}
	return schema.ManifestReply_builder{Revision: s.accepted.revision, Sections: s.accepted.hashes}.Build()
}

// ManifestDone processes the reply to a FetchManifest, or its error.
func (s *State) ManifestDone(now time.Time, sent FetchManifest, reply *schema.ManifestReply, err error) {
	s.detectPause(now)
	if s.pull == nil || s.pull.attempt != sent.attempt {
		return
	}
	hashes := reply.GetSections()
	if err != nil || len(hashes) > maxBlocks || manifestHash(hashes) != s.pull.manifest {
		s.retryPull(now, cmp.Or(err, errNoManifest))
		return
	}
	s.pull.hashes = hashes
	if s.accepted != nil {
		for _, h := range hashes {
			if body := s.accepted.blocks[h]; body != nil {
				s.pull.blocks[h] = body
			}
		}
	}
	s.continuePull(now)
}

// continuePull requests missing blocks, or applies the document once it is complete.
func (s *State) continuePull(now time.Time) {
	p := s.pull
	if missing := p.missingHashes(); len(missing) > 0 {
		missing = missing[:min(len(missing), maxFetchedBlocks)]
		s.emit(FetchSections{To: p.source, Request: schema.SectionsRequest_builder{Sections: missing}.Build(), attempt: p.attempt})
		return
	}
	text, ok := p.assemble()
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
	reply := &schema.SectionsReply{}
	hashes := r.GetSections()
	if s.accepted == nil || len(hashes) > maxFetchedBlocks {
		return reply
	}
	blocks := make([][]byte, 0, len(hashes))
	for _, h := range hashes {
		blocks = append(blocks, s.accepted.blocks[h])
	}
	reply.SetSections(blocks)
	return reply
}

// SectionsDone processes the reply to a FetchSections, or its error.
func (s *State) SectionsDone(now time.Time, sent FetchSections, reply *schema.SectionsReply, err error) {
	s.detectPause(now)
	if s.pull == nil || s.pull.attempt != sent.attempt {
		return
	}
	wanted := sent.Request.GetSections()
	blocks := reply.GetSections()
	if err != nil || len(blocks) != len(wanted) {
		s.retryPull(now, cmp.Or(err, errNoBlocks))
		return
	}
	for i, h := range wanted {
		if len(blocks[i]) == 0 || config.HashSection(blocks[i]) != h {
			s.retryPull(now, errNoBlocks)
			return
		}
		s.pull.blocks[h] = blocks[i]
	}
	s.continuePull(now)
}

// applyDocument validates a text and accepts or rejects it. A revision lower than the accepted one is never applied.
func (s *State) applyDocument(now time.Time, revision uint64, text []byte, confirmedAt time.Time) {
	offered := newDocumentVersion(revision, text)
	switch {
	case revision < s.Revision():
		s.counters.Lower++
		return
	case revision == s.rejected.revision && offered.manifest == s.rejected.manifest:
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
	document, err := s.reading.Parse(text)
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
	s.confirmedAt = confirmedAt
	if s.pull != nil && s.pull.revision <= revision {
		s.pull = nil
	}
	s.announceRevision(now)
}
