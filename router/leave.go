package router

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/picker"
	"verbenareel/schema"
	"verbenareel/spill"
)

const (
	// answerWeight is the weight of the newest answer in the mean size of the answers of a rule, and roundTripWeight that of the
	// newest attempt in the mean round-trip time.
	answerWeight    = 0.1
	roundTripWeight = 0.1
	// maxMeasuredBody is the size in bytes up to which a body travels with its call.
	maxMeasuredBody = 16 << 10
)

// leaving holds what the router knows for the decision whether a call leaves its failure domain.
type leaving struct {
	// chooser is nil if calls leave at a constant cost.
	chooser core.NeedChooser
	demands spill.Demands
	calls   *prometheus.CounterVec
	bytes   *prometheus.CounterVec

	mu       sync.Mutex
	profiles map[string]*profile
	offers   map[string]*offer
	// roundTrips holds the mean round-trip times to other domains, since a document need not name them.
	roundTrips map[string]time.Duration
}

// newLeaving returns the state for a chooser, which decides by need if it is a core.NeedChooser.
func newLeaving(chooser core.Chooser) *leaving {
	l := &leaving{
		profiles:   make(map[string]*profile),
		offers:     make(map[string]*offer),
		roundTrips: make(map[string]time.Duration),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_router_left_domain_total",
			Help: "Attempts sent to another failure domain, by service and reason.",
		}, []string{"service", "reason"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenareel_router_left_domain_bytes_total",
			Help: "Bytes of request and response bodies of attempts in another failure domain, by reason.",
		}, []string{"reason"}),
	}
	l.chooser, _ = chooser.(core.NeedChooser)
	return l
}

// register registers the metrics; registerer may be nil.
func (l *leaving) register(registerer prometheus.Registerer, logger *zap.Logger) {
	if registerer == nil {
		return
	}
	for _, c := range []prometheus.Collector{l.calls, l.bytes} {
		if err := registerer.Register(c); err != nil {
			logger.Error("cannot register router metric", zap.Error(err))
		}
	}
}

// profile is what is usual for the calls of one rule.
type profile struct {
	// work is the service time in nanoseconds, and answerBytes the size of an answer; 0 if they are not known.
	work        atomic.Int64
	answerBytes atomic.Int64
}

// profileOf returns the profile of a rule, or nil for a rule without a name.
func (l *leaving) profileOf(rule *schema.Rule) *profile {
	if l.chooser == nil || rule.GetName() == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.profiles[rule.GetName()]
	if p == nil {
		p = &profile{}
		l.profiles[rule.GetName()] = p
	}
	return p
}

// observe records what the reply to an attempt tells about the rule.
func (p *profile) observe(reply *schema.ExecuteReply) {
	if p == nil || !succeeded(reply) {
		return
	}
	if work := reply.GetWorkUs(); work > 0 {
		p.work.Store(int64(work) * int64(time.Microsecond))
	}
	mean := p.answerBytes.Load()
	p.answerBytes.Store(mean + int64(answerWeight*float64(int64(len(reply.GetBody()))-mean)))
}

// usualWork returns the usual service time of the rule, or 0 if it is not known.
func (p *profile) usualWork() time.Duration {
	if p == nil {
		return 0
	}
	return time.Duration(p.work.Load())
}

// observeRoundTrip records the round-trip time of an attempt that took a time until its reply arrived. A large body is sent in
// several rounds before the call, so such attempts don't count.
func (l *leaving) observeRoundTrip(domain string, took time.Duration, bodySize int, reply *schema.ExecuteReply) {
	held := time.Duration(reply.GetHeldUs()) * time.Microsecond
	if held == 0 || bodySize > maxMeasuredBody {
		return
	}
	measured := max(0, took-held)
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.roundTrips[domain]
	if !ok {
		mean = measured
	}
	l.roundTrips[domain] = mean + time.Duration(roundTripWeight*float64(measured-mean))
}

// offer is the demand for one service at this node.
type offer struct {
	// work is the work in nanoseconds of the calls since the last tick, and count their number.
	work  atomic.Int64
	count atomic.Int64
	// slots is the mean demand and mean the mean work of a call; they are protected by the mutex of leaving.
	rate  spill.Rate
	slots float64
	mean  time.Duration
	// balance is that of the service.
	balance *spill.Balance
}

// offerOf returns the demand for a service, or nil if calls leave at a constant cost.
func (l *leaving) offerOf(service string) *offer {
	if l.chooser == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.offers[service]
	if o == nil {
		o = &offer{}
		l.offers[service] = o
	}
	return o
}

// record adds a new call.
func (o *offer) record(work time.Duration) {
	if o == nil || work <= 0 {
		return
	}
	o.work.Add(int64(work))
	o.count.Add(1)
}

// update updates the means. The mutex of leaving must be held.
func (o *offer) update(elapsed time.Duration) {
	work, count := time.Duration(o.work.Swap(0)), o.count.Swap(0)
	o.slots = o.rate.Update(work, elapsed)
	if count > 0 {
		o.mean = work / time.Duration(count)
	}
}

// retain forgets the services and rules that the document no longer has.
func (l *leaving) retain(snapshot *core.Snapshot) {
	named := make(map[string]bool)
	for _, rule := range snapshot.Document().GetRules() {
		named[rule.GetName()] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.profiles {
		if !named[name] {
			delete(l.profiles, name)
		}
	}
	for name := range l.offers {
		if snapshot.Service(name) == nil {
			delete(l.offers, name)
		}
	}
}

// pick returns the index of the instance that the chooser selects for the call, or -1, and records the choice.
func (r *Router) pick(now time.Time, c *call, g *group, exclude func(index int) bool) int {
	if r.leaving.chooser != nil {
		c.choice = r.leaving.chooser.ChooseFor(now, r.needOf(now, c, g), g.candidates, exclude)
		return c.choice.Index
	}
	c.choice = core.Choice{Index: r.chooser.Choose(now, g.candidates, exclude)}
	if i := c.choice.Index; i >= 0 && g.views[i].Instance().Domain() != r.self.GetDomain() {
		c.choice.Leave = core.LeaveCost
	}
	return c.choice.Index
}

// needOf returns what the call needs now.
func (r *Router) needOf(now time.Time, c *call, g *group) core.Need {
	need := core.Need{Work: c.profile.usualWork(), RequestBytes: len(c.input.Body)}
	if c.profile != nil {
		need.AnswerBytes = int(c.profile.answerBytes.Load())
	}
	if !c.target.IsZero() {
		need.Target, need.Left = c.rule.GetTargetLatency().AsDuration(), c.targetLeft(now)
	}
	if len(c.declined) > 0 {
		revision := r.current(now).snapshot.Revision()
		need.Declined = func(i int) bool {
			v := g.views[i]
			return slices.Contains(c.declined, v) && !slices.Contains(c.tried, v) && v.Eligible(now, revision) && !v.InBackoff(now)
		}
	}
	return need
}

// updateBalances updates the demand at this node and how the domains share the room of each service.
func (r *Router) updateBalances(now time.Time, elapsed time.Duration, t *table) {
	if r.leaving.chooser == nil || t.snapshot == nil {
		return
	}
	r.leaving.demands.Forget(now)
	own := core.InstanceHash(r.self.GetInstance())
	r.leaving.mu.Lock()
	for _, o := range r.leaving.offers {
		o.update(elapsed)
	}
	r.leaving.mu.Unlock()
	r.leaving.demands.Record(now, own, r.self.GetDomain(), r.Demands())
	for name, g := range t.groups {
		g.updateBalance(now, r.leaving, name, t.nodesByDomain)
	}
}

// Demands returns the demand at this node in slots, by the core.ServiceHash of the service.
func (r *Router) Demands() map[uint32]float64 {
	r.leaving.mu.Lock()
	defer r.leaving.mu.Unlock()
	slots := make(map[uint32]float64, len(r.leaving.offers))
	for name, o := range r.leaving.offers {
		slots[core.ServiceHash(name)] = o.slots
	}
	return slots
}

// HandleDemands records the demand at another node; hash is the core.InstanceHash of its instance.
func (r *Router) HandleDemands(hash uint64, slots map[uint32]float64) {
	now := r.clock.Now()
	if v := r.current(now).viewsByHash[hash]; v != nil {
		r.leaving.demands.Record(now, hash, v.Instance().Domain(), slots)
	}
}

// nodesByDomain returns the number of nodes in each domain.
func nodesByDomain(snapshot *core.Snapshot) map[string]float64 {
	counts := make(map[string]float64)
	for _, name := range snapshot.Names() {
		i := snapshot.Instance(name)
		if i.State() < schema.InstanceState_INSTANCE_STATE_GONE {
			counts[i.Domain()]++
		}
	}
	return counts
}

// updateBalance recomputes the balance of the service from the capacities of its instances and the reported demands.
func (g *group) updateBalance(now time.Time, l *leaving, service string, nodes map[string]float64) {
	domains := make(map[string]spill.Domain)
	for domain, mean := range l.demands.Means(core.ServiceHash(service)) {
		domains[domain] = spill.Domain{Demand: mean * nodes[domain]}
	}
	for _, v := range g.views {
		d := domains[v.Instance().Domain()]
		if v.Instance().Eligible() {
			d.Servers++
			d.Capacity += picker.Capacity(now, v, int(g.settings.GetSlots()))
		}
		domains[v.Instance().Domain()] = d
	}
	balance := spill.NewBalance(domains)
	l.mu.Lock()
	defer l.mu.Unlock()
	g.offer.balance = balance
}

// balance returns the balance of the service as of the last tick, or nil.
func (g *group) balance(l *leaving) *spill.Balance {
	if g.offer == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return g.offer.balance
}

// applyBalance sets what the last tick found in a new baseline.
func (g *group) applyBalance(l *leaving, baseline *picker.Baseline) {
	if g.offer == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	baseline.Balance, baseline.Work = g.offer.balance, g.offer.mean
	baseline.RoundTrips = maps.Clone(l.roundTrips)
}

// recordLeft counts the attempts of a call in other domains and the bytes of their bodies.
func (r *Router) recordLeft(c *call) {
	for _, h := range c.hops {
		if h.leave == "" {
			continue
		}
		r.leaving.calls.WithLabelValues(c.service, string(h.leave)).Inc()
		r.leaving.bytes.WithLabelValues(string(h.leave)).Add(float64(len(c.input.Body) + h.answerBytes))
	}
}

// leaveFor returns the reason for which the latest choice sends the call to the instance in another domain.
func (c *call) leaveFor(view *picker.View) core.LeaveReason {
	i := c.choice.Index
	if c.choice.Leave == "" || i < 0 || i >= len(c.group.views) || c.group.views[i] != view {
		return ""
	}
	return c.choice.Leave
}

// leaveReason returns the reason for which an attempt of the call left the domain, or an empty one.
func (c *call) leaveReason() core.LeaveReason {
	for _, h := range c.hops {
		if h.leave != "" {
			return h.leave
		}
	}
	return ""
}
