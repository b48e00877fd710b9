package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// thinLink is the bandwidth of a thin link in bytes per second: 10 Mbit/s.
const thinLink = 10e6 / 8

// documentSizes are the sizes of large documents in bytes, up to just below the 1 MiB that the platform stores.
var documentSizes = []int{2 << 10, 100 << 10, 600 << 10, 1020 << 10}

// document returns a document that takes failure domains out of service. With large documents, its size and the rules that fill it up
// depend on the seed and the revision: some versions share most of their rules with the one before.
func (f *fleet) document(outOfService ...string) []byte {
	text := f.shape.Document(outOfService...)
	if !f.options.LargeDocuments {
		return text
	}
	random := rand.New(rand.NewPCG(f.options.Seed, f.platform.Revision()))
	size := documentSizes[random.IntN(len(documentSizes))]
	rules := rand.New(rand.NewPCG(f.options.Seed, random.Uint64N(2)))
	padded := bytes.NewBuffer(text)
	service := f.shape.Groups[0].Service
	for padded.Len() < size {
		_, _ = fmt.Fprintf(padded, "\n[[rules]]\nmethod = \"GET\"\npath = \"/unused/%x/\"\nservice = %q\nrepeatable = true\n", rules.Uint64(), service)
	}
	return padded.Bytes()
}
