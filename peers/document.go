package peers

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"time"

	"github.com/restic/chunker"

	"verbenareel/config"
	"verbenareel/schema"
)

const (
	// The sections of a document are transferred in blocks of consecutive sections. Blocks of about 2 KB keep the total
	// of manifest and transferred text small: with one 8-byte hash for each of thousands of short rules, the manifest
	// would cost more than the change itself.
	minBlockSize = 1 << 10
	maxBlockSize = 8 << 10
	// A section that is longer than a block, such as a whole text in a format without tables, is cut by its content, on
	// average 1<<cutBits bytes after the shortest block. All nodes must use the same polynomial.
	cutBits       = 12
	cutPolynomial = chunker.Pol(0x3DA3358B4DC173)
	// On average one section in blockCutDivisor ends a block. The cut depends on the section's hash, so a change moves
	// few block boundaries.
	blockCutDivisor = 8
	// maxText limits a document in the form in which nodes exchange it, in bytes. An adapter's text may be larger than the value that
	// its platform stores, of up to config.MaxDocument.
	maxText = 4 * config.MaxDocument
	// maxBlocks limits the length of a manifest. A document of maxText bytes has fewer blocks, because only
	// the last block and those before a long section may be shorter than minBlockSize.
	maxBlocks = 2*maxText/minBlockSize + 2
)

// splitBlocks groups the sections of a document into blocks. The blocks concatenate to the text.
func splitBlocks(text []byte) [][]byte {
	var blocks [][]byte
	start, end := 0, 0
	for _, section := range config.Sections(text) {
		if len(section) > maxBlockSize {
			if end > start {
				blocks = append(blocks, text[start:end:end])
			}
			blocks = append(blocks, cutByContent(section)...)
			end += len(section)
			start = end
			continue
		}
		if end > start && end-start+len(section) > maxBlockSize {
			blocks = append(blocks, text[start:end:end])
			start = end
		}
		end += len(section)
		if end-start >= minBlockSize && config.HashSection(section)%blockCutDivisor == 0 {
			blocks = append(blocks, text[start:end:end])
			start = end
		}
	}
	if end > start {
		blocks = append(blocks, text[start:end:end])
	}
	return blocks
}

// cutByContent splits a text at places that depend on the bytes around them, so a change moves few boundaries.
func cutByContent(text []byte) [][]byte {
	var blocks [][]byte
	cutter := chunker.NewWithBoundaries(bytes.NewReader(text), cutPolynomial, minBlockSize, maxBlockSize)
	cutter.SetAverageBits(cutBits)
	buffer := make([]byte, maxBlockSize)
	for start := 0; start < len(text); {
		length := len(text) - start
		if chunk, err := cutter.Next(buffer); err == nil {
			length = int(chunk.Length)
		}
		end := start + length
		blocks = append(blocks, text[start:end:end])
		start = end
	}
	return blocks
}

// documentVersion is one revision of the document, split into blocks.
type documentVersion struct {
	revision uint64
	document *schema.Document
	// hashes lists the block hashes in document order; manifest is the hash of that list; blocks maps each hash to the
	// text of its block.
	hashes   []uint64
	manifest uint64
	blocks   map[uint64][]byte
	// source is the peer that the text came from; empty means the platform. transfer is how long its transfer took.
	source   string
	transfer time.Duration
}

// manifestHash returns the hash of a list of block hashes.
func manifestHash(hashes []uint64) uint64 {
	data := make([]byte, 0, 8*len(hashes))
	for _, h := range hashes {
		data = binary.LittleEndian.AppendUint64(data, h)
	}
	return config.HashSection(data)
}

// newDocumentVersion splits a text into blocks. It does not parse the text: the caller sets the document.
func newDocumentVersion(revision uint64, text []byte) *documentVersion {
	v := &documentVersion{revision: revision, blocks: make(map[uint64][]byte)}
	for _, body := range splitBlocks(text) {
		h := config.HashSection(body)
		v.hashes = append(v.hashes, h)
		v.blocks[h] = body
	}
	v.manifest = manifestHash(v.hashes)
	return v
}

// sourceName returns the address of the peer that the text came from, or "platform".
func (v *documentVersion) sourceName() string { return cmp.Or(v.source, "platform") }

// size returns the length of the text.
func (v *documentVersion) size() int {
	size := 0
	for _, h := range v.hashes {
		size += len(v.blocks[h])
	}
	return size
}

// rejectedVersion describes the last text that failed validation.
type rejectedVersion struct {
	revision uint64
	manifest uint64
	faults   error
	at       time.Time
}

// pull is the transfer of one revision from a peer.
type pull struct {
	revision uint64
	manifest uint64
	// source is the peer being asked; fallbacks are others that announced the same revision.
	source    string
	fallbacks []string
	hashes    []uint64
	// refreshes counts the manifests that the source was asked for anew since it lacked the blocks of an earlier one.
	refreshes int
	// confirmedAt is when the platform was last known to hold the revision.
	confirmedAt time.Time
	// startedAt is when the first attempt began.
	startedAt time.Time
	// attempt matches replies to the current attempt; replies to earlier attempts are ignored.
	attempt uint64
}

// maxFallbacks limits the peers that a failed pull is retried with.
const maxFallbacks = 4

// maxRefreshes limits the manifests that one source is asked for anew.
const maxRefreshes = 4

func (p *pull) addFallback(address string) {
	if address == p.source || len(p.fallbacks) >= maxFallbacks {
		return
	}
	for _, o := range p.fallbacks {
		if o == address {
			return
		}
	}
	p.fallbacks = append(p.fallbacks, address)
}
