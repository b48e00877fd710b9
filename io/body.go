package io

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// maxInlineBody is the maximum size of a request body in bytes that is sent in the message of its call.
	maxInlineBody = 16 << 10
	// A larger body is transferred in chunks of bodyChunkSize bytes before its call. At most bodyWindow chunks are
	// unconfirmed, so concurrent transfers to one node hold only little data in the queue of its link, where calls wait
	// behind it.
	bodyChunkSize = 8 << 10
	bodyWindow    = 2
	// maxTransferBytes limits the memory for the transferred bodies of a server in bytes.
	maxTransferBytes = 16 << 20
	// transferLifetime is how long a transferred body is kept for its call.
	transferLifetime = 10 * time.Second
	// maxChunkGap is the time without a chunk after which an incomplete transfer counts as abandoned.
	maxChunkGap = time.Second
	// arrivalDecay is the weight of the earlier arrivals in the rate at which bodies arrive, for each chunk.
	arrivalDecay = 0.95
	// maxReceiveWait limits the reported wait, which is an estimate.
	maxReceiveWait = 10 * time.Second
)

var (
	errBodyTooLarge       = errors.New("body exceeds the maximum size of a message")
	errNoRoom             = errors.New("node does not accept the body")
	errTransferIncomplete = errors.New("time limit passed during the transfer of the body")
	// errUnknownMethod means that the node is of a version without body transfers.
	errUnknownMethod = errors.New("node does not support body transfers")
)

// sendBody transfers the body of a request in advance, and replaces it in the request by the ID of the transfer. It returns
// the reason if the instance refuses the call. The node cannot run the call before it has the request, so a transfer that
// fails is certain not to have run.
func (t *Transport) sendBody(ctx context.Context, address string, request *schema.ExecuteRequest) (refusal schema.Reason, err error) {
	if len(request.GetBody()) > classBodies.maxMessageSize(t.maxBody) {
		t.errorCounter.inc("oversize")
		return refusal, core.NewTransportError(address, schema.Reason_REASON_TOO_LARGE, false, errBodyTooLarge)
	}
	start := t.clock.Now()
	o := &outgoingBody{transport: t, address: address, id: rand.Uint64(), request: request}
	err = o.send(ctx)
	if errors.Is(err, errUnknownMethod) {
		return refusal, nil
	}
	if err != nil || o.refusal != schema.Reason_REASON_NONE {
		return o.refusal, err
	}
	elapsed := t.clock.Now().Sub(start).Microseconds()
	if timeout := request.GetTimeoutUs(); timeout > 0 && timeout <= elapsed {
		return refusal, core.NewTransportError(address, schema.Reason_REASON_DEADLINE, false, errTransferIncomplete)
	}
	request.SetTimeoutUs(max(0, request.GetTimeoutUs()-elapsed))
	if target := request.GetTargetUs(); target > 0 {
		request.SetTargetUs(max(1, target-elapsed))
	}
	request.SetBody(nil)
	request.SetBodyTransfer(o.id)
	return refusal, nil
}

// outgoingBody is the transfer of the body of one request.
type outgoingBody struct {
	transport *Transport
	address   string
	id        uint64
	request   *schema.ExecuteRequest
	offset    int
	window    []*outgoingCall
	refusal   schema.Reason
}

// send sends the chunks and waits until all of them are stored or the instance refuses the call. The first chunk is
// confirmed before others are sent, since the instance decides by it.
func (o *outgoingBody) send(ctx context.Context) error {
	defer o.abandonWindow()
	size := len(o.request.GetBody())
	for o.offset < size || len(o.window) > 0 {
		limit := bodyWindow
		if o.offset == bodyChunkSize && len(o.window) > 0 {
			limit = 1
		}
		if o.offset < size && len(o.window) < limit {
			if err := o.sendChunk(ctx); err != nil {
				return err
			}
			continue
		}
		if err := o.awaitChunk(ctx); err != nil || o.refusal != schema.Reason_REASON_NONE {
			return err
		}
	}
	return nil
}

func (o *outgoingBody) sendChunk(ctx context.Context) error {
	body := o.request.GetBody()
	end := min(o.offset+bodyChunkSize, len(body))
	chunk := schema.BodyChunk_builder{
		Transfer: o.id, Size: uint64(len(body)), Offset: uint64(o.offset), Data: body[o.offset:end],
	}.Build()
	if o.offset == 0 {
		chunk.SetInstance(o.request.GetInstance())
		chunk.SetEager(o.request.GetEager())
	}
	sent, err := o.transport.start(ctx, classBodies, o.address, "Guard.Body", chunk, new(schema.BodyChunkReply))
	if err != nil {
		return notRunError(o.address, err)
	}
	o.window = append(o.window, sent)
	o.offset = end
	return nil
}

// awaitChunk waits for the confirmation of the oldest chunk in the window.
func (o *outgoingBody) awaitChunk(ctx context.Context) error {
	oldest := o.window[0]
	o.window = o.window[1:]
	if err := oldest.wait(ctx); err != nil {
		return notRunError(o.address, err)
	}
	reply := oldest.request.reply.(*schema.BodyChunkReply)
	o.refusal = reply.GetRefusal()
	if o.refusal == schema.Reason_REASON_NONE && !reply.GetStored() {
		return core.NewTransportError(o.address, schema.Reason_REASON_BUSY, false, errNoRoom)
	}
	return nil
}

func (o *outgoingBody) abandonWindow() {
	for _, sent := range o.window {
		sent.abandon()
	}
}

// notRunError converts the error of a chunk, whose call has not been sent.
func notRunError(address string, err error) error {
	var server rpc.ServerError
	if errors.As(err, &server) {
		return errUnknownMethod
	}
	var failed *core.TransportError
	if !errors.As(err, &failed) {
		return err
	}
	return core.NewTransportError(address, failed.Reason(), false, err)
}

// bodyStore holds the bodies that have been transferred to a server before their calls.
type bodyStore struct {
	clock core.Clock
	limit int

	mutex     sync.Mutex
	transfers map[uint64]*transfer
	bytes     int
	// missing is the number of bytes that have not arrived. received and receiveTime are decaying sums of the bytes that
	// arrived while some were missing, and of that time.
	missing     int
	lastChunk   time.Time
	received    float64
	receiveTime time.Duration
}

// transfer is a body of which the given number of bytes is missing.
type transfer struct {
	body      []byte
	missing   int
	started   time.Time
	lastChunk time.Time
}

// newBodyStore returns a store for bodies of at most limit bytes each.
func newBodyStore(clock core.Clock, limit int) *bodyStore {
	return &bodyStore{clock: clock, limit: limit, transfers: make(map[uint64]*transfer)}
}

// add stores a chunk and reports whether there was room for it.
func (s *bodyStore) add(chunk *schema.BodyChunk) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	entry := s.transfers[chunk.GetTransfer()]
	if entry == nil && chunk.GetOffset() > 0 {
		return false
	}
	if entry == nil {
		s.expire(now)
		size := chunk.GetSize()
		if size > uint64(s.limit) || s.bytes+int(size) > maxTransferBytes {
			return false
		}
		entry = &transfer{body: make([]byte, size), missing: int(size), started: now}
		s.transfers[chunk.GetTransfer()] = entry
		s.bytes += int(size)
		s.recordArrival(now, 0)
		s.missing += int(size)
	}
	data, offset := chunk.GetData(), chunk.GetOffset()
	if offset > uint64(len(entry.body)) || len(data) > len(entry.body)-int(offset) {
		return false
	}
	entry.lastChunk = now
	arrived := min(copy(entry.body[offset:], data), entry.missing)
	entry.missing -= arrived
	s.recordArrival(now, arrived)
	s.missing -= arrived
	return true
}

// recordArrival updates the rate at which bodies arrive.
func (s *bodyStore) recordArrival(now time.Time, size int) {
	if s.missing > 0 {
		s.received = arrivalDecay*s.received + float64(size)
		s.receiveTime = time.Duration(arrivalDecay*float64(s.receiveTime)) + now.Sub(s.lastChunk)
	}
	s.lastChunk = now
}

// wait returns the time until the bodies on their way have arrived at the present rate.
func (s *bodyStore) wait() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(s.clock.Now())
	if s.missing == 0 || s.received == 0 {
		return 0
	}
	return min(maxReceiveWait, time.Duration(float64(s.receiveTime)/s.received*float64(s.missing)))
}

// take removes and returns a complete body.
func (s *bodyStore) take(id uint64) (body []byte, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.transfers[id]
	if entry == nil || entry.missing != 0 {
		return nil, false
	}
	s.remove(id, entry)
	return entry.body, true
}

// expire removes abandoned transfers, and bodies whose calls have not arrived in time.
func (s *bodyStore) expire(now time.Time) {
	for id, entry := range s.transfers {
		abandoned := entry.missing > 0 && now.Sub(entry.lastChunk) > maxChunkGap
		if abandoned || now.Sub(entry.started) > transferLifetime {
			s.remove(id, entry)
		}
	}
}

func (s *bodyStore) remove(id uint64, entry *transfer) {
	delete(s.transfers, id)
	s.bytes -= len(entry.body)
	s.missing -= entry.missing
}

// sweep removes expired bodies.
func (s *bodyStore) sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(s.clock.Now())
}
