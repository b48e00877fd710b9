package admit

import "time"

const (
	// maxTransitSkew is an upper bound on the difference between the transit times of two calls to the backend
	// server, by which calls sent in different seconds can arrive within one second.
	maxTransitSkew = 50 * time.Millisecond
	// RateWindow is the period over which the sends to a cold backend server are counted. The capacity of the server
	// is a number of calls per second as they arrive.
	RateWindow = time.Second + maxTransitSkew
	// windowSize is the highest number of sends that are stored; a rate above it is not enforced.
	windowSize = 256
)

// window is a ring buffer of the send times within the last RateWindow.
type window struct {
	times [windowSize]time.Time
	next  int
	used  int
}

func (w *window) add(now time.Time) {
	w.times[w.next] = now
	w.next = (w.next + 1) % windowSize
	w.used = min(w.used+1, windowSize)
}

// count returns the number of sends within RateWindow before now.
func (w *window) count(now time.Time) int {
	oldest := now.Add(-RateWindow)
	for w.used > 0 {
		first := (w.next - w.used + windowSize) % windowSize
		if w.times[first].After(oldest) {
			break
		}
		w.used--
	}
	return w.used
}

// since returns the number of sends at from or later and within RateWindow before now.
func (w *window) since(now, from time.Time) int {
	count := 0
	for i := range w.count(now) {
		last := (w.next - 1 - i + windowSize) % windowSize
		if w.times[last].Before(from) {
			break
		}
		count++
	}
	return count
}
