package peers

import (
	"errors"
	"fmt"
	"slices"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"verbenareel/config"
	"verbenareel/schema"
)

const (
	// maxFetchedBlocks is the maximum number of blocks that one request asks for, and maxReplyText the size in bytes from which
	// a reply ends. A transfer thus makes progress in small steps, each of which has its own timeout.
	maxFetchedBlocks = 64
	maxReplyText     = 256 << 10
	// maxDecompressed limits the memory that a compressed reply may take.
	maxDecompressed = 2 << 20
	// maxKeptText limits the received blocks that are kept for later attempts, in bytes.
	maxKeptText = 2 * maxText
	// maxCachedReplies limits the compressed replies that are kept for further peers that ask for the same blocks.
	maxCachedReplies = 16
)

var errNoBlocks = errors.New("peer does not have the blocks")

// blockStore holds blocks by their hashes.
type blockStore struct {
	blocks map[uint64][]byte
	size   int
}

func (b *blockStore) add(hash uint64, block []byte) {
	if b.blocks == nil {
		b.blocks = make(map[uint64][]byte)
	}
	if b.blocks[hash] == nil {
		b.blocks[hash] = block
		b.size += len(block)
	}
}

// retain drops all blocks but those with the hashes.
func (b *blockStore) retain(hashes []uint64) {
	before := b.blocks
	b.blocks, b.size = nil, 0
	for _, h := range hashes {
		if block := before[h]; block != nil {
			b.add(h, block)
		}
	}
}

// block returns the block with a hash, of the accepted document or of one that was transferred in part, or nil.
func (s *State) block(hash uint64) []byte {
	if s.accepted != nil {
		if block := s.accepted.blocks[hash]; block != nil {
			return block
		}
	}
	return s.received.blocks[hash]
}

// receiveBlocks keeps the blocks of a reply, whichever attempt asked for them, and returns their number. It stops at the first one
// that the peer does not have.
func (s *State) receiveBlocks(wanted []uint64, blocks [][]byte) int {
	for i, block := range blocks[:min(len(blocks), len(wanted))] {
		if len(block) == 0 || config.HashSection(block) != wanted[i] {
			return i
		}
		s.received.add(wanted[i], block)
		s.counters.BlocksReceived++
	}
	if s.received.size > maxKeptText {
		s.received.retain(s.pulledHashes())
	}
	return min(len(blocks), len(wanted))
}

// pulledHashes returns the hashes of the document that is being transferred.
func (s *State) pulledHashes() []uint64 {
	if s.pull == nil {
		return nil
	}
	return s.pull.hashes
}

// missingHashes returns the hashes of the blocks that the current transfer lacks, without duplicates.
func (s *State) missingHashes() []uint64 {
	var list []uint64
	seen := make(map[uint64]bool)
	for _, h := range s.pulledHashes() {
		if s.block(h) == nil && !seen[h] {
			seen[h] = true
			list = append(list, h)
		}
	}
	return list
}

// assemble concatenates the blocks of the current transfer. It returns false if the text exceeds maxText.
func (s *State) assemble() ([]byte, bool) {
	size := 0
	for _, h := range s.pull.hashes {
		size += len(s.block(h))
	}
	if size > maxText {
		return nil, false
	}
	text := make([]byte, 0, size)
	for _, h := range s.pull.hashes {
		text = append(text, s.block(h)...)
	}
	return text, true
}

// replyBlocks returns the text of the requested blocks. It ends with the one that reaches a size. Unknown blocks are empty.
func (s *State) replyBlocks(hashes []uint64, enough int) *schema.SectionsReply {
	var blocks [][]byte
	size := 0
	for _, h := range hashes {
		if size >= enough {
			break
		}
		block := s.block(h)
		blocks = append(blocks, block)
		size += len(block)
	}
	return schema.SectionsReply_builder{Sections: blocks}.Build()
}

// compressor compresses replies, and keeps those that further peers are likely to ask for.
type compressor struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
	// replies holds the compressed replies by the hash of the requested blocks.
	replies map[uint64][]byte
}

func newCompressor() *compressor {
	// The options are valid, so neither returns an error.
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(maxReplyText), zstd.WithLowerEncoderMem(true))
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressed))
	return &compressor{encoder: encoder, decoder: decoder, replies: make(map[uint64][]byte)}
}

// compress returns a reply to a request for blocks in compressed form. The reply is returned unchanged if it can't be encoded.
func (c *compressor) compress(hashes []uint64, reply *schema.SectionsReply) *schema.SectionsReply {
	key := manifestHash(hashes)
	frame := c.replies[key]
	if frame == nil {
		plain, err := proto.Marshal(reply)
		if err != nil {
			return reply
		}
		frame = c.encoder.EncodeAll(plain, nil)
		c.keep(key, reply, frame)
	}
	return schema.SectionsReply_builder{Compressed: frame}.Build()
}

// keep keeps a compressed reply, unless it lacks blocks: the node may have them later.
func (c *compressor) keep(key uint64, reply *schema.SectionsReply, frame []byte) {
	if slices.ContainsFunc(reply.GetSections(), func(block []byte) bool { return len(block) == 0 }) {
		return
	}
	if len(c.replies) >= maxCachedReplies {
		clear(c.replies)
	}
	c.replies[key] = frame
}

// decompress returns the blocks of a reply.
func (c *compressor) decompress(reply *schema.SectionsReply) ([][]byte, error) {
	if len(reply.GetCompressed()) == 0 {
		return reply.GetSections(), nil
	}
	plain, err := c.decoder.DecodeAll(reply.GetCompressed(), nil)
	if err != nil {
		return nil, fmt.Errorf("decompress blocks: %w", err)
	}
	inner := &schema.SectionsReply{}
	if err := proto.Unmarshal(plain, inner); err != nil {
		return nil, fmt.Errorf("decode blocks: %w", err)
	}
	return inner.GetSections(), nil
}
