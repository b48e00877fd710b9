package peers

import (
	"time"

	"verbenareel/config"
	"verbenareel/schema"
)

// consider compares a peer's revision with the accepted one and pulls a higher one.
func (s *State) consider(from string, revision, manifest uint64, confirmed time.Time) {
	switch {
	case revision < s.Revision() || revision == 0:
		return
	case revision == s.Revision():
		if manifest == s.manifest() {
			s.confirm(confirmed)
			return
		}
		s.disagree(manifest)
		return
	case revision == s.rejected.revision && manifest == s.rejected.manifest:
		return
	case manifest == s.manifest():
		s.redate(revision, confirmed)
		return
	}
	if s.pull != nil && s.pull.revision == revision && s.pull.manifest == manifest {
		s.pull.offeredBy(from)
		return
	}
	if s.pull != nil && s.pull.revision >= revision {
		return
	}
	s.pull = &pull{revision: revision, manifest: manifest, confirmed: confirmed}
	s.fetch(from)
}

// redate gives the document in force a higher revision, at which the platform still held the same text.
func (s *State) redate(revision uint64, confirmed time.Time) {
	s.accepted.revision = revision
	s.confirm(confirmed)
	if s.pull != nil && s.pull.revision <= revision {
		s.pull = nil
		s.settle()
	}
}

// disagree counts other bytes under the accepted revision; the first ones stay in force.
func (s *State) disagree(manifest uint64) {
	if s.conflict != manifest {
		s.conflict = manifest
		s.counters.Conflicts++
	}
}

// confirm notes that the platform held the accepted revision at a time.
func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// fetch begins an attempt of the current pull.
func (s *State) fetch(from string) {
	s.counters.Pulls++
	s.number++
	s.pull.from, s.pull.number = from, s.number
	s.pull.hashes, s.pull.bodies = nil, make(map[uint64][]byte)
	s.emit(FetchManifest{To: from, Request: schema.ManifestRequest_builder{Revision: s.pull.revision}.Build(), number: s.number})
}

// fail turns to the next peer that offered the revision, or gives up until the next offer.
func (s *State) fail() {
	s.counters.PullsFailed++
	if len(s.pull.others) == 0 {
		s.pull = nil
		s.settle()
		return
	}
	next := s.pull.others[0]
	s.pull.others = s.pull.others[1:]
	s.fetch(next)
}

// HandleManifest gives the block hashes of the accepted revision.
func (s *State) HandleManifest(now time.Time, r *schema.ManifestRequest) *schema.ManifestReply {
	s.observe(now)
	if s.accepted == nil || s.accepted.revision != r.GetRevision() {
		return &schema.ManifestReply{}
	}
	return schema.ManifestReply_builder{Revision: s.accepted.revision, Sections: s.accepted.hashes}.Build()
}

// ManifestDone takes the reply to a FetchManifest, or its error.
func (s *State) ManifestDone(now time.Time, sent FetchManifest, reply *schema.ManifestReply, err error) {
	s.observe(now)
	if s.pull == nil || s.pull.number != sent.number {
		return
	}
	hashes := reply.GetSections()
	if err != nil || len(hashes) > maxBlocks || manifestOf(hashes) != s.pull.manifest {
		s.fail()
		return
	}
	s.pull.hashes = hashes
	if s.accepted != nil {
		for _, h := range hashes {
			if body := s.accepted.bodies[h]; body != nil {
				s.pull.bodies[h] = body
			}
		}
	}
	s.proceed(now)
}

// proceed asks for blocks that are missing, or offers the whole text.
func (s *State) proceed(now time.Time) {
	p := s.pull
	if missing := p.missing(); len(missing) > 0 {
		missing = missing[:min(len(missing), maxFetch)]
		s.emit(FetchSections{To: p.from, Request: schema.SectionsRequest_builder{Sections: missing}.Build(), number: p.number})
		return
	}
	text, ok := p.text()
	if !ok {
		s.fail()
		return
	}
	s.pull = nil
	s.offer(now, p.revision, text, p.confirmed)
	s.settle()
}

// HandleSections gives the text of blocks; an unknown block is empty.
func (s *State) HandleSections(now time.Time, r *schema.SectionsRequest) *schema.SectionsReply {
	s.observe(now)
	reply := &schema.SectionsReply{}
	hashes := r.GetSections()
	if s.accepted == nil || len(hashes) > maxFetch {
		return reply
	}
	bodies := make([][]byte, 0, len(hashes))
	for _, h := range hashes {
		bodies = append(bodies, s.accepted.bodies[h])
	}
	reply.SetSections(bodies)
	return reply
}

// SectionsDone takes the reply to a FetchSections, or its error.
func (s *State) SectionsDone(now time.Time, sent FetchSections, reply *schema.SectionsReply, err error) {
	s.observe(now)
	if s.pull == nil || s.pull.number != sent.number {
		return
	}
	wanted := sent.Request.GetSections()
	bodies := reply.GetSections()
	if err != nil || len(bodies) != len(wanted) {
		s.fail()
		return
	}
	for i, h := range wanted {
		if len(bodies[i]) == 0 || config.Hash(bodies[i]) != h {
			s.fail()
			return
		}
		s.pull.bodies[h] = bodies[i]
	}
	s.proceed(now)
}

// offer accepts a text or rejects it. A lower revision than the accepted one is never applied.
func (s *State) offer(now time.Time, revision uint64, text []byte, confirmed time.Time) {
	candidate := divide(revision, text)
	switch {
	case revision < s.Revision():
		s.counters.Lower++
		return
	case revision == s.Revision() && s.accepted != nil:
		if candidate.manifest != s.accepted.manifest {
			s.disagree(candidate.manifest)
			return
		}
		s.confirm(confirmed)
		return
	case revision == s.rejected.revision && candidate.manifest == s.rejected.manifest:
		return
	case candidate.manifest == s.manifest():
		s.redate(revision, confirmed)
		return
	}
	document, err := s.reading.Parse(text)
	if err != nil {
		s.counters.Rejected++
		if revision >= s.rejected.revision {
			s.rejected = rejected{revision: revision, manifest: candidate.manifest, faults: err, at: now}
		}
		return
	}
	candidate.document = document
	s.counters.Accepted++
	s.accepted = candidate
	s.confirmed = confirmed
	if s.pull != nil && s.pull.revision <= revision {
		s.pull = nil
	}
	s.announce(now)
}
