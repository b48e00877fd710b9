package budget

import "time"

// savings is what a node spends while its part of the slack is smaller than one arrival, because there are more nodes than
// slack. The part alone is of no use then: a node must save the earnings of several calls for one arrival. While no
// arrival is denied it saves no more than its part, so that the first arrivals of many nodes together stay within the
// slack. From a denial on it saves up to one arrival. The nodes of a large fleet hold about the same sum at all times then,
// so what they spend in a window is what they earn in it.
type savings struct {
	amount   float64
	denied   bool
	deniedAt time.Duration
}

// add adds the earnings of a call. share is the node's part of the slack.
func (s *savings) add(elapsed time.Duration, earned, share float64, window time.Duration) {
	limit := share
	if share < 1 && s.denied && elapsed-s.deniedAt < window {
		limit = 1
	}
	s.amount = min(s.amount+earned, limit)
}

// deny notes that an arrival was denied.
func (s *savings) deny(elapsed time.Duration) { s.denied, s.deniedAt = true, elapsed }
