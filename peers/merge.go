package peers

import "bytes"

// merge returns the version that takes effect when one is offered with a revision that is not lower than the accepted one, and
// its text. On a platform that may be restored from a backup, an offered text may be older in parts.
func (s *State) merge(offered *documentVersion, text []byte) (*documentVersion, []byte) {
	if s.reading.Merge == nil || s.accepted == nil || offered.manifest == s.accepted.manifest {
		return offered, text
	}
	merged := s.reading.Merge(s.accepted.revision, s.accepted.text(), offered.revision, text)
	if bytes.Equal(merged, text) {
		return offered, text
	}
	version := newDocumentVersion(offered.revision, merged)
	if version.manifest != offered.manifest {
		s.counters.Merged++
		s.mergedManifest = offered.manifest
	}
	return version, merged
}

// mayMerge reports whether to pull a text that a peer has under the accepted revision. A text that was merged already brings
// nothing new; the peer pulls the result.
func (s *State) mayMerge(manifest uint64) bool {
	return s.reading.Merge != nil && manifest != s.mergedManifest
}

// text returns the text of the document.
func (v *documentVersion) text() []byte {
	var text []byte
	for _, h := range v.hashes {
		text = append(text, v.blocks[h]...)
	}
	return text
}
