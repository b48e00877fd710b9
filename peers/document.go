package peers

import (
	"encoding/binary"
	"time"

	"verbenareel/config"
	"verbenareel/schema"
)

const (
	// Consecutive sections of the document are exchanged as blocks. Blocks of about 2 KB keep the sum of manifest and
	// pulled text small: a manifest of 8 bytes for each of thousands of short rules would cost more than the change.
	minBlock = 1 << 10
	maxBlock = 8 << 10
	// One section in blockCuts ends a block, chosen by its hash, so that a change moves few block boundaries.
	blockCuts = 8
	// maxBlocks bounds a manifest: a document of config.MaxDocument bytes has fewer blocks, as only the last and those
	// before a long section may be shorter than minBlock.
	maxBlocks = 2*config.MaxDocument/minBlock + 2
)

// blocks groups the sections of a document. Their concatenation is the text.
func blocks(text []byte) [][]byte {
	var list [][]byte
	start, end := 0, 0
	for _, section := range config.Sections(text) {
		if end > start && end-start+len(section) > maxBlock {
			list = append(list, text[start:end:end])
			start = end
		}
		end += len(section)
		if end-start >= minBlock && config.Hash(section)%blockCuts == 0 {
			list = append(list, text[start:end:end])
			start = end
		}
	}
	if end > start {
		list = append(list, text[start:end:end])
	}
	return list
}

// accepted is an accepted document.
type accepted struct {
	revision uint64
	document *schema.Document
	// hashes lists the blocks in order; manifest is the hash of the list.
	hashes   []uint64
	manifest uint64
	bodies   map[uint64][]byte
}

// manifestOf returns the hash of a list of block hashes.
func manifestOf(hashes []uint64) uint64 {
	data := make([]byte, 0, 8*len(hashes))
	for _, h := range hashes {
		data = binary.LittleEndian.AppendUint64(data, h)
	}
	return config.Hash(data)
}

// divide splits a text into blocks. The document is parsed by the caller.
func divide(revision uint64, text []byte) *accepted {
	a := &accepted{revision: revision, bodies: make(map[uint64][]byte)}
	for _, body := range blocks(text) {
		h := config.Hash(body)
		a.hashes = append(a.hashes, h)
		a.bodies[h] = body
	}
	a.manifest = manifestOf(a.hashes)
	return a
}

// rejected is the last text that was not accepted.
type rejected struct {
	revision uint64
	manifest uint64
	faults   error
	at       time.Time
}

// pull is a transfer of a revision from a peer.
type pull struct {
	revision uint64
	manifest uint64
	// from is the peer that is asked now; others announced the same revision.
	from   string
	others []string
	hashes []uint64
	bodies map[uint64][]byte
	// confirmed is the time at which the platform was known to hold the revision.
	confirmed time.Time
	// number tells the replies of this attempt from those of an earlier one.
	number uint64
}

// maxOthers bounds the peers that a failed pull turns to.
const maxOthers = 4

func (p *pull) offeredBy(address string) {
	if address == p.from || len(p.others) >= maxOthers {
		return
	}
	for _, o := range p.others {
		if o == address {
			return
		}
	}
	p.others = append(p.others, address)
}

// missing returns the hashes of the blocks that were not received yet, each once.
func (p *pull) missing() []uint64 {
	var list []uint64
	seen := make(map[uint64]bool)
	for _, h := range p.hashes {
		if p.bodies[h] == nil && !seen[h] {
			seen[h] = true
			list = append(list, h)
		}
	}
	return list
}

// text returns the document of the received blocks, or false if it is too large.
func (p *pull) text() ([]byte, bool) {
	var text []byte
	for _, h := range p.hashes {
		if len(text)+len(p.bodies[h]) > config.MaxDocument {
			return nil, false
		}
		text = append(text, p.bodies[h]...)
	}
	return text, true
}
