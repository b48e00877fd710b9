package peers

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"verbenareel/schema"
)

const (
	// thinLink is the bandwidth of a node's link in each direction, in bytes per second: 10 Mbit/s.
	thinLink = 10e6 / 8
	// thinSegment and thinWindow model flow control: a transfer has at most thinWindow segments on its way.
	thinSegment = 8 << 10
	thinWindow  = 4
	// thinDelay is the delay of a message between two machines, without the time on the links.
	thinDelay = 500 * time.Microsecond
	// Each node sends load reports of thinReport bytes, with headers, to thinSubscribers others on each tick.
	thinReport      = 71
	thinSubscribers = 12
	// base64Numerator and base64Denominator are the growth of a value in an answer of the platform.
	base64Numerator, base64Denominator = 4, 3
	// inForceBound is the time within which a change must be in force on machines with such links.
	inForceBound = 2500 * time.Millisecond
)

// channel is one direction of a link. It sends segments in the order in which they arrive.
type channel struct {
	freeAt time.Time
	bytes  int
}

// thinNode is a process with its link.
type thinNode struct {
	*process
	up, down channel
	// inForce holds the time at which each revision, or a later one, came into force.
	inForce map[uint64]time.Time
}

// thinFleet is a model whose messages take the time that thin links need. Processor time is not modeled.
type thinFleet struct {
	*model
	nodes map[*process]*thinNode
}

func newThinFleet(t testing.TB, n int, text []byte) *thinFleet {
	reading := storeReading()
	reading.CheckChanges, reading.MaxConfirmationAge = true, 700*time.Millisecond
	reading.Parse = func([]byte) (*schema.Document, error) {
		return schema.Document_builder{Deployment: "thin"}.Build(), nil
	}
	f := &thinFleet{model: newReadingModel(n, 1, reading, t.Fatalf), nodes: make(map[*process]*thinNode)}
	for _, p := range f.processes {
		f.nodes[p] = &thinNode{process: p, inForce: make(map[uint64]time.Time)}
		p.reading = reading
	}
	f.publish(text)
	f.run(5 * time.Second)
	for _, node := range f.nodes {
		qt.Assert(t, node.Revision(), qt.Equals, uint64(1))
		node.up.bytes, node.down.bytes = 0, 0
	}
	return f
}

// publish writes a document to the platform.
func (f *thinFleet) publish(text []byte) uint64 {
	f.history = append(f.history, publishedDocument{text: text, manifest: newDocumentVersion(0, text).manifest, valid: true})
	return uint64(len(f.history) - 1)
}

// run advances the time.
func (f *thinFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(TickInterval)
		for len(f.queue) > 0 && !f.queue[0].at.After(next) {
			f.now = f.queue[0].at
			f.popInput()()
		}
		f.now = next
		for i, p := range f.processes {
			p.Tick(f.now)
			f.perform(p)
			f.report(i)
		}
	}
}

// report sends the digest of a process to its subscribers, as load reports do.
func (f *thinFleet) report(i int) {
	from := f.nodes[f.processes[i]]
	revision, manifest, confirmed := from.Digest(f.now)
	for k := range thinSubscribers {
		to := f.processes[(i+1+k*k)%len(f.processes)]
		f.send(&from.up, &f.nodes[to].down, thinReport, func() {
			f.finish(to, func() { to.HandleDigest(f.now, from.record.GetAddress(), revision, manifest, confirmed) })
		})
	}
}

// perform sends the messages that a process requested.
func (f *thinFleet) perform(p *process) {
	node := f.nodes[p]
	for revision := p.Revision(); revision > 0 && node.inForce[revision].IsZero(); revision-- {
		node.inForce[revision] = f.now
	}
	for _, effect := range p.TakeEffects() {
		switch e := effect.(type) {
		case SendSync:
			ask(f, node, e.To, sendTimeout, e.Request, (*State).HandleSync, func(r *schema.SyncReply, err error) { p.SyncDone(f.now, e, r, err) })
		case SendBuckets:
			ask(f, node, e.To, pullTimeout, e.Request, (*State).HandleBuckets, func(r *schema.BucketsReply, err error) { p.BucketsDone(f.now, e, r, err) })
		case FetchManifest:
			ask(f, node, e.To, pullTimeout, e.Request, (*State).HandleManifest, func(r *schema.ManifestReply, err error) { p.ManifestDone(f.now, e, r, err) })
		case FetchSections:
			ask(f, node, e.To, pullTimeout, e.Request, (*State).HandleSections, func(r *schema.SectionsReply, err error) { p.SectionsDone(f.now, e, r, err) })
		case ReadDocument:
			f.readDocument(node, e, f.now.Add(e.Wait))
		case CheckDocument:
			f.checkDocument(node, e)
		case ReadMembers:
			f.members(p, e)
		}
	}
}

// finish runs the completion of a message at a process.
func (f *thinFleet) finish(p *process, run func()) {
	run()
	f.perform(p)
}

// ask sends a request to a peer and passes its reply to done, or an error after a timeout.
func ask[Q, R proto.Message](f *thinFleet, from *thinNode, to string, timeout time.Duration, request Q, handle func(*State, time.Time, Q) R, done func(R, error)) {
	answered := false
	end := func(reply R, err error) {
		if !answered {
			answered = true
			f.finish(from.process, func() { done(reply, err) })
		}
	}
	f.schedule(timeout, func() {
		var none R
		end(none, errUnreachable)
	})
	for _, q := range f.processes {
		if q.record.GetAddress() != to {
			continue
		}
		peer := f.nodes[q]
		f.send(&from.up, &peer.down, proto.Size(request), func() {
			var reply R
			f.finish(q, func() { reply = handle(q.State, f.now, request) })
			f.send(&peer.up, &from.down, proto.Size(reply), func() { end(reply, nil) })
		})
		return
	}
}

// readDocument answers a read of the document. The platform's own link is not a bottleneck.
func (f *thinFleet) readDocument(node *thinNode, e ReadDocument, until time.Time) {
	revision := uint64(len(f.history) - 1)
	if revision <= e.After && f.now.Before(until) {
		f.schedule(10*time.Millisecond, func() { f.readDocument(node, e, until) })
		return
	}
	var text []byte
	if revision > e.After {
		text = f.history[revision].text
	}
	f.send(nil, &node.down, responseBytes+len(text)*base64Numerator/base64Denominator, func() {
		f.finish(node.process, func() { node.DocumentDone(f.now, e, revision, text, nil) })
	})
}

// checkDocument answers a check of the document.
func (f *thinFleet) checkDocument(node *thinNode, e CheckDocument) {
	changed := 0
	if revision := len(f.history) - 1; uint64(revision) > e.After {
		changed = len(f.history[revision].text)
	}
	f.send(nil, &node.down, responseBytes, func() {
		f.finish(node.process, func() { node.CheckDone(f.now, e, changed, nil) })
	})
}

// send transfers a message over two links and then runs done. A nil channel has no limit.
func (f *thinFleet) send(up, down *channel, size int, done func()) {
	left, arrived := size, 0
	var start func()
	start = func() {
		if left == 0 {
			return
		}
		n := min(left, thinSegment)
		left -= n
		f.pass(up, n, func() {
			f.pass(down, n, func() {
				arrived += n
				if arrived == size {
					f.schedule(thinDelay, done)
					return
				}
				start()
			})
		})
	}
	size = max(size, 1)
	left = size
	for range thinWindow {
		start()
	}
}

// pass sends a segment over one direction of a link.
func (f *thinFleet) pass(c *channel, n int, done func()) {
	if c == nil {
		done()
		return
	}
	if c.freeAt.Before(f.now) {
		c.freeAt = f.now
	}
	c.freeAt = c.freeAt.Add(time.Duration(float64(n) / thinLink * float64(time.Second)))
	c.bytes += n
	f.schedule(c.freeAt.Sub(f.now), done)
}

// lastInForce returns the time from a moment until a revision was in force on the last node, or a minute if some node lacks it.
func (f *thinFleet) lastInForce(since time.Time, revision uint64) time.Duration {
	longest := time.Duration(0)
	for _, node := range f.nodes {
		at, ok := node.inForce[revision]
		if !ok {
			return time.Minute
		}
		longest = max(longest, at.Sub(since))
	}
	return longest
}

// received returns the bytes that a node received on average.
func (f *thinFleet) received() int {
	sum := 0
	for _, node := range f.nodes {
		sum += node.down.bytes
	}
	return sum / len(f.nodes)
}

// routesText returns a document of about a size in the JSON format of a platform adapter. note differs between versions of it; the
// routes depend on the seed.
func routesText(size, note int, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 2))
	name := func() string {
		return hex.EncodeToString([]byte{byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32())})
	}
	var text strings.Builder
	fmt.Fprintf(&text, `{"config":{"version":%d,"routes":[`, note)
	for text.Len() < size-300 {
		fmt.Fprintf(&text, `{"name":%q,"host":"%s.example","prefix":"/%s/","route_type":"safe","timeout":"1200ms","target_latency":"600ms",`+
			`"priority":2,"service":"sheets","max_attempts":2},`, name(), name(), name())
	}
	fmt.Fprintf(&text, `{"name":"last","prefix":"/%d/"}]},"evacuated":[]}`, note)
	return []byte(text.String())
}

// sizes of documents, up to what the platform stores.
var thinSizes = []int{64 << 10, 256 << 10, 1 << 20}

// TestLargeDocumentOnThinLinks guards against a configuration that is not in force in time since it is large and links are thin.
func TestLargeDocumentOnThinLinks(t *testing.T) {
	for _, size := range thinSizes {
		t.Run(fmt.Sprintf("%dKB", size>>10), func(t *testing.T) {
			f := newThinFleet(t, 48, routesText(10<<10, 1, 1))
			since := f.now
			revision := f.publish(routesText(size, 2, 2))
			f.run(10 * time.Second)
			qt.Check(t, f.lastInForce(since, revision) <= inForceBound, qt.IsTrue, qt.Commentf("%v", f.lastInForce(since, revision)))
		})
	}
}

// TestSeriesOfLargeDocuments guards against versions that are late since further ones follow while they are transferred.
func TestSeriesOfLargeDocuments(t *testing.T) {
	for _, size := range thinSizes {
		t.Run(fmt.Sprintf("%dKB", size>>10), func(t *testing.T) {
			f := newThinFleet(t, 48, routesText(size, 1, 1))
			published := make(map[uint64]time.Time)
			for note := range 12 {
				published[f.publish(routesText(size, note+2, 1))] = f.now
				f.run(330 * time.Millisecond)
			}
			f.run(10 * time.Second)
			var late []string
			for revision, at := range published {
				if wait := f.lastInForce(at, revision); wait > inForceBound {
					late = append(late, fmt.Sprintf("%d: %v", revision, wait))
				}
			}
			slices.Sort(late)
			qt.Check(t, late, qt.HasLen, 0)
		})
	}
}

// TestChangedRouteTransfersItsBlocks guards against moving a whole document of a format without TOML tables for a small change.
func TestChangedRouteTransfersItsBlocks(t *testing.T) {
	before, after := newDocumentVersion(1, routesText(1<<20, 1, 1)), newDocumentVersion(2, routesText(1<<20, 2, 1))
	changed := 0
	for hash, block := range after.blocks {
		if before.blocks[hash] == nil {
			changed += len(block)
		}
	}
	qt.Check(t, changed < 4*maxBlockSize, qt.IsTrue, qt.Commentf("%d bytes", changed))
}

// BenchmarkLargeDocument measures the time until the last of 48 nodes has a document, and the bytes that a node receives: for a new
// document, and for one that differs from the one before in its version and one route.
func BenchmarkLargeDocument(b *testing.B) {
	for _, size := range thinSizes {
		for _, change := range []struct {
			name   string
			before []byte
		}{{"new", routesText(10<<10, 1, 1)}, {"route", routesText(size, 1, 2)}} {
			b.Run(fmt.Sprintf("%s/%dKB", change.name, size>>10), func(b *testing.B) {
				for b.Loop() {
					f := newThinFleet(b, 48, change.before)
					since := f.now
					revision := f.publish(routesText(size, 2, 2))
					f.run(10 * time.Second)
					b.ReportMetric(f.lastInForce(since, revision).Seconds(), "s/last-node")
					b.ReportMetric(float64(f.received()), "B/node")
				}
			})
		}
	}
}
