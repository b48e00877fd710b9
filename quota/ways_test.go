package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkWays compares leases with equal shares and with shares by the demand that nodes gossip. It gives the table in
// docs/design/quotas.md.
func BenchmarkWays(b *testing.B) {
	ways := map[string]func(f *fleet){"leases": func(*fleet) {}, "equal": useEqualShares, "gossip": useDemandShares}
	for _, nodes := range []int{30, 68, 300, 840} {
		for _, spread := range []int{0, 4} {
			for name, use := range ways {
				b.Run(fmt.Sprintf("%s/nodes=%d/spread=%d", name, nodes, spread), func(b *testing.B) {
					for b.Loop() {
						f := newFleet(nodes, 1, site(7.5)...)
						f.spread = spread
						use(f)
						f.run(14 * time.Second)
						f.reportMetrics(b)
					}
				})
			}
		}
	}
}

func (f *fleet) reportMetrics(b *testing.B) {
	within, _ := f.refused()
	worst, total, most := 0.0, 0, 0
	for _, l := range f.loads {
		ratio, _ := l.worst()
		worst = max(worst, ratio)
	}
	for _, m := range f.machines {
		total += m.bytes
		most = max(most, m.bytes)
	}
	seconds := float64(f.step) / 1000
	hot := f.loads[0]
	settled := 0
	for _, n := range hot.runs[f.first:] {
		settled += n
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*within, "%refused")
	b.ReportMetric(100*float64(settled)/(hot.quota*(seconds-float64(f.first)/1000)), "%hotquota")
	b.ReportMetric(100*worst, "%bound")
	b.ReportMetric(float64(total)/seconds/float64(len(f.machines)), "B/s/node")
	b.ReportMetric(float64(most)/seconds, "B/s/busiest")
}

// share is the bucket of a node for one customer, and the demand that it publishes every second.
type share struct {
	bucket
	calls     int
	published float64
}

// useEqualShares gives each node one part of each quota, and at least one token.
func useEqualShares(f *fleet) {
	shares := make(map[*machine]map[*load]*share)
	f.decideOther = func(m *machine, l *load) bool {
		s := f.share(shares, m, l)
		part := 1 / float64(len(f.machines))
		s.accrue(f.now, part*l.quota, max(1, part*l.burst))
		return s.take(1) == 1
	}
}

// useDemandShares gives each node a part by its calls of the last second, which others learn half a second later. A tenth is
// divided equally, so that a node without calls so far can begin.
func useDemandShares(f *fleet) {
	shares := make(map[*machine]map[*load]*share)
	sums := make(map[*load]float64)
	f.decideOther = func(m *machine, l *load) bool {
		s := f.share(shares, m, l)
		s.calls++
		part := 0.1 / float64(len(f.machines))
		if sums[l] > 0 {
			part += 0.9 * s.published / sums[l]
		}
		s.accrue(f.now, part*l.quota, max(1, part*l.burst))
		return s.take(1) == 1
	}
	for step := 0; step < 14000; step += 500 {
		f.at(time.Duration(step)*time.Millisecond, func() { f.publish(shares, sums, step%1000 == 0) })
	}
}

// publish makes the demand of the last second known to the nodes themselves, or half a second later to all others. Each demand
// above 0 reaches each other node once, in 12 bytes.
func (f *fleet) publish(shares map[*machine]map[*load]*share, sums map[*load]float64, own bool) {
	entries := 0
	if !own {
		clear(sums)
	}
	for _, m := range f.machines {
		for l, s := range shares[m] {
			if own {
				s.published, s.calls = float64(s.calls), 0
			}
			if !own {
				sums[l] += s.published
			}
			if own && s.published > 0 {
				entries++
			}
		}
	}
	for _, m := range f.machines {
		m.bytes += 12 * entries
	}
}

func (f *fleet) share(shares map[*machine]map[*load]*share, m *machine, l *load) *share {
	if shares[m] == nil {
		shares[m] = make(map[*load]*share)
	}
	s := shares[m][l]
	if s == nil {
		s = &share{bucket: bucket{level: 1, at: f.now}}
		shares[m][l] = s
	}
	return s
}
