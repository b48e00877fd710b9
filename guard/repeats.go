package guard

import (
	"math"
	"sync"
	"time"

	"verbenareel/schema"
)

// repeatDecayTime is the time constant with which earlier runs lose weight in the share of repeated runs.
const repeatDecayTime = 2 * time.Second

// repeats measures which share of the recent runs at the backend server were repeats of a call that had reached a
// server before. It is safe for concurrent use.
type repeats struct {
	mu       sync.Mutex
	last     time.Time
	runs     float64
	repeated float64
}

// record counts a request that the backend server may have run.
func (r *repeats) record(now time.Time, request *schema.ExecuteRequest, reply *schema.ExecuteReply) {
	if reply.GetStatus() == schema.Status_STATUS_NOT_RUN {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.runs++
	if request.GetEarlierArrivals() > 0 {
		r.repeated++
	}
}

func (r *repeats) decay(now time.Time) {
	if elapsed := now.Sub(r.last); elapsed > 0 && !r.last.IsZero() {
		weight := math.Exp(-elapsed.Seconds() / repeatDecayTime.Seconds())
		r.runs *= weight
		r.repeated *= weight
	}
	if now.After(r.last) {
		r.last = now
	}
}

// share returns the share of repeats among the recent runs.
func (r *repeats) share(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	return r.repeated / math.Max(r.runs, 1)
}

// RepeatShare returns the share of repeats among the recent runs at the backend server. The calls that these runs made
// count as repeats at the services that they call.
func (g *Guard) RepeatShare(now time.Time) float64 { return g.repeats.share(now) }
