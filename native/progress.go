package native

import (
	"context"
	"time"
)

// progress ends a request whose response does not begin in time, or stops arriving. A response that arrives takes as long as its
// size and the link need.
type progress struct {
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
	// wait is how long the platform may wait before it answers.
	wait time.Duration
	// firstByte is when the first byte arrived.
	firstByte time.Time
	received  int
}

// watchProgress returns a context that ends when the response to a request, which may wait, makes no progress.
func (r *HTTPReader) watchProgress(parent context.Context, wait time.Duration) (context.Context, *progress) {
	ctx, cancel := context.WithCancelCause(parent)
	p := &progress{cancel: cancel, timeout: r.timeout, wait: wait}
	p.timer = time.AfterFunc(wait+r.timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, p
}

// restart begins anew with another attempt, if the one before received anything.
func (p *progress) restart() {
	if p.received > 0 {
		p.received = 0
		p.timer.Reset(p.wait + p.timeout)
	}
}

// record records that bytes have arrived.
func (p *progress) record(n int) {
	now := time.Now()
	if p.received == 0 {
		p.firstByte = now
	}
	p.received += n
	slowest := time.Duration(float64(p.received) / minTransferRate * float64(time.Second))
	left := p.firstByte.Add(p.timeout + slowest).Sub(now)
	p.timer.Reset(min(p.timeout, left))
}

// stop releases the resources of the context.
func (p *progress) stop() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}
