package spill

// Domain is what is known of one service in one failure domain, in slots.
type Domain struct {
	// Capacity is the number of calls that the servers of the domain work on at their usual pace.
	Capacity float64
	// Demand is the number of slots that the calls which reach routers in the domain need, wherever they run.
	Demand float64
	// Servers is the number of servers that may get calls.
	Servers int
}

// Balance is how the calls that do not fit into their own failure domain share the room in the others. All routers derive it
// from the same sums, so it changes as slowly as the sums do, whatever single reports say.
type Balance struct {
	// ease is the chance that a call that leaves finds room, and open the share of a domain's capacity that its own calls do
	// not need.
	ease float64
	open map[string]float64
	// quiet holds the domains whose calls hardly need to leave.
	quiet map[string]bool
}

// minOpen is the weight that the room of a domain without spare capacity keeps: a free slot there may still be used, since
// the sums are means over some 0.5 s.
const minOpen = 0.05

const (
	// A domain is quiet if its calls need at most quietLoad of its capacity and it has at least quietServers servers: a call then
	// finds a free server at home even if one is slow.
	quietLoad    = 0.4
	quietServers = 3
)

// NewBalance returns the balance of a service.
func NewBalance(domains map[string]Domain) *Balance {
	b := &Balance{ease: 1, open: make(map[string]float64, len(domains)), quiet: make(map[string]bool)}
	excess, spare := 0.0, 0.0
	for name, d := range domains {
		excess += max(0, d.Demand-d.Capacity)
		spare += max(0, d.Capacity-d.Demand)
		b.open[name] = openness(d)
		b.quiet[name] = d.Demand > 0 && d.Servers >= quietServers && d.Demand <= quietLoad*d.Capacity
	}
	if excess > 0 {
		b.ease = min(1, spare/excess)
	}
	return b
}

func openness(d Domain) float64 {
	if d.Capacity <= 0 {
		return minOpen
	}
	return max(minOpen, (d.Capacity-d.Demand)/d.Capacity)
}

// Ease returns the chance that a call that leaves its domain finds room. It is 1 for a nil Balance.
func (b *Balance) Ease() float64 {
	if b == nil {
		return 1
	}
	return b.ease
}

// Open returns the weight of a free slot in the domain for calls of other domains. It is 1 if nothing is known.
func (b *Balance) Open(domain string) float64 {
	if b == nil {
		return 1
	}
	open, ok := b.open[domain]
	if !ok {
		return 1
	}
	return open
}

// Quiet reports whether the calls of a domain hardly need to leave it. It is false if the demand is not known.
func (b *Balance) Quiet(domain string) bool { return b != nil && b.quiet[domain] }
