package core

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareel/schema"
)

// Instance is a member of a snapshot. It is immutable.
type Instance struct {
	name        string
	service     string
	domain      string
	address     string
	incarnation uint64
	state       schema.InstanceState
}

// WithListed sets the time as of which the platform's list is known. It is called before the snapshot is published.
func (s *Snapshot) WithListed(at time.Time) *Snapshot {
	s.listed = at
	return s
}

// NewInstance returns an instance from a member record and its state in force.
func NewInstance(member *schema.Member, state schema.InstanceState) *Instance {
	return &Instance{
		name:        member.GetInstance(),
		service:     member.GetService(),
		domain:      member.GetDomain(),
		address:     member.GetAddress(),
		incarnation: member.GetIncarnation(),
		state:       state,
	}
}

// Name returns the name of the instance.
func (i *Instance) Name() string { return i.name }

// Service returns the service that the instance serves.
func (i *Instance) Service() string { return i.service }

// Domain returns the failure domain.
func (i *Instance) Domain() string { return i.domain }

// Address returns the address of the node's rpc listener, as IP:port.
func (i *Instance) Address() string { return i.address }

// Incarnation returns the random number of the node's process, or 0 if only the platform's list names the instance.
func (i *Instance) Incarnation() uint64 { return i.incarnation }

// State returns the worst state that the document, the platform's list and the node itself give, and no state for a nil
// instance.
func (i *Instance) State() schema.InstanceState {
	if i == nil {
		return schema.InstanceState_INSTANCE_STATE_UNSPECIFIED
	}
	return i.state
}

// Eligible reports whether the instance may receive new work. A nil instance may not.
func (i *Instance) Eligible() bool {
	if i == nil {
		return false
	}
	return isEligible(i.state)
}

func isEligible(state schema.InstanceState) bool {
	return state == schema.InstanceState_INSTANCE_STATE_SERVING || state == schema.InstanceState_INSTANCE_STATE_COLD
}

// Snapshot is the configuration and the members in force. It is immutable and safe for concurrent use.
type Snapshot struct {
	revision  uint64
	document  *schema.Document
	instances map[string]*Instance
	services  map[string][]*Instance
	rules     map[string][]*schema.Rule
	listed    time.Time
}

// anyHost is the host of a rule that matches each host.
const anyHost = ""

// NewSnapshot returns the snapshot of an accepted document and the known members.
func NewSnapshot(revision uint64, document *schema.Document, members []*schema.Member) *Snapshot {
	s := &Snapshot{
		revision:  revision,
		document:  document,
		rules:     rulesByHost(document),
		instances: make(map[string]*Instance, len(members)),
		services:  make(map[string][]*Instance),
	}
	running := runningAt(members)
	for _, m := range members {
		state := stateInForce(document, m)
		if name, ok := running[m.GetAddress()]; ok && name != m.GetInstance() {
			state = schema.InstanceState_INSTANCE_STATE_GONE
		}
		instance := NewInstance(m, state)
		s.instances[m.GetInstance()] = instance
		s.services[m.GetService()] = append(s.services[m.GetService()], instance)
	}
	for _, list := range s.services {
		sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	}
	return s
}

// runningAt returns the instances that nodes announce as able to work, by address. A platform's list may go on naming the
// instance that ran at an address before.
func runningAt(members []*schema.Member) map[string]string {
	running := make(map[string]string)
	latest := make(map[string]uint64)
	for _, m := range members {
		address := m.GetAddress()
		if m.GetIncarnation() == 0 || !isEligible(m.GetState()) || m.GetVersion() < latest[address] {
			continue
		}
		running[address] = m.GetInstance()
		latest[address] = m.GetVersion()
	}
	return running
}

// stateInForce returns the worse of the member's own state and the document's.
func stateInForce(document *schema.Document, member *schema.Member) schema.InstanceState {
	state := max(member.GetState(), schema.InstanceState_INSTANCE_STATE_SERVING)
	if OutOfService(document, member.GetInstance(), member.GetDomain()) {
		return max(state, schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE)
	}
	return state
}

// OutOfService reports whether the document takes the instance or its failure domain out of service. A failure domain
// that the document does not name is out of service.
func OutOfService(document *schema.Document, instance, domain string) bool {
	places := document.GetPlaces()
	place, ok := places.GetDomains()[domain]
	return !ok || place.GetOutOfService() || places.GetInstances()[instance].GetOutOfService()
}

// Revision returns the platform's revision of the document, or 0 for a nil snapshot.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Document returns the accepted document, which is not to be changed, or nil for a nil snapshot.
func (s *Snapshot) Document() *schema.Document {
	if s == nil {
		return nil
	}
	return s.document
}

// Service returns the settings of a service, or nil.
func (s *Snapshot) Service(name string) *schema.Service { return s.document.GetServices()[name] }

// Instance returns the instance with the name, or nil.
func (s *Snapshot) Instance(name string) *Instance {
	if s == nil {
		return nil
	}
	return s.instances[name]
}

// Names returns the names of the instances in order.
func (s *Snapshot) Names() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.instances))
}

// Instances returns the instances of a service in order of name, in each state; the slice is not to be changed.
func (s *Snapshot) Instances(service string) []*Instance { return s.services[service] }

// Route returns the first rule that matches a request, or nil. The host is in lower case and without a port.
func (s *Snapshot) Route(method, host, path string) *schema.Rule {
	rules, ok := s.rules[host]
	if !ok {
		rules = s.rules[anyHost]
	}
	for _, r := range rules {
		if r.GetMethod() != "" && r.GetMethod() != method {
			continue
		}
		if strings.HasPrefix(path, r.GetPath()) {
			return r
		}
	}
	return nil
}

// rulesByHost returns the rules that match each host that the document names, and those that match all other hosts.
func rulesByHost(document *schema.Document) map[string][]*schema.Rule {
	rules := make(map[string][]*schema.Rule)
	for _, r := range document.GetRules() {
		rules[r.GetHost()] = nil
	}
	for _, r := range document.GetRules() {
		if r.GetHost() != anyHost {
			rules[r.GetHost()] = append(rules[r.GetHost()], r)
			continue
		}
		for host := range rules {
			rules[host] = append(rules[host], r)
		}
	}
	return rules
}

// Listed returns the time as of which the platform's list is known, or the zero time.
func (s *Snapshot) Listed() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.listed
}

// Delay returns the network round trip between two failure domains by the document.
func (s *Snapshot) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	places := s.document.GetPlaces()
	here := places.GetDomains()[from].GetRegion()
	there := places.GetDomains()[to].GetRegion()
	region := places.GetRegions()[here]
	if here == there {
		return 2 * region.GetDelay().AsDuration()
	}
	return 2 * region.GetRemoteDelay().AsDuration()
}

// InstanceHash returns the number that stands for an instance in load reports.
func InstanceHash(name string) uint64 { return xxhash.Sum64String(name) }

// LoadReport is the guard's measurement of its backend server as a plain value.
type LoadReport struct {
	InFlight    int
	Queued      int
	Limit       int
	Latency     time.Duration
	FailureRate float64
	State       schema.InstanceState
	Revision    uint64
	Incarnation uint64
	// Pace is the time that work takes now relative to the usual time; 0 if it is not known.
	Pace float64
	// BasePace is the lowest pace of the last second: a pace that is far higher is a passing one.
	BasePace float64
	// StartRate is how many calls a second the backend server can begin, and StartsLeft how many of them are left; StartRate
	// is 0 if the rate is not bounded.
	StartRate  int
	StartsLeft int
}

// NewLoadReport returns the plain value of a message; a nil message gives the zero report.
func NewLoadReport(load *schema.Load) LoadReport {
	return LoadReport{
		InFlight:    int(load.GetInFlight()),
		Queued:      int(load.GetQueued()),
		Limit:       int(load.GetLimit()),
		Latency:     time.Duration(load.GetLatencyUs()) * time.Microsecond,
		FailureRate: float64(load.GetFailurePermille()) / 1000,
		State:       load.GetState(),
		Revision:    load.GetRevision(),
		Incarnation: load.GetIncarnation(),
		Pace:        float64(load.GetPacePercent()) / 100,
		BasePace:    float64(load.GetBasePercent()) / 100,
		StartRate:   int(load.GetStartRate()),
		StartsLeft:  int(load.GetStartsLeft()),
	}
}

// slowFactor is how many times as high as its base a pace is in a slow phase.
const slowFactor = 1.5

// Slow reports whether the backend server works more slowly now than it did within the last second.
func (r LoadReport) Slow() bool { return r.Pace >= slowFactor*max(r.BasePace, 1) }

// Message returns the report as a message.
func (r LoadReport) Message() *schema.Load {
	return schema.Load_builder{
		InFlight:        uint32(r.InFlight),
		Queued:          uint32(r.Queued),
		Limit:           uint32(r.Limit),
		LatencyUs:       uint32(r.Latency / time.Microsecond),
		FailurePermille: uint32(r.FailureRate * 1000),
		State:           r.State,
		Revision:        r.Revision,
		Incarnation:     r.Incarnation,
		PacePercent:     uint32(math.Round(r.Pace * 100)),
		BasePercent:     uint32(math.Round(r.BasePace * 100)),
		StartRate:       uint32(r.StartRate),
		StartsLeft:      uint32(r.StartsLeft),
	}.Build()
}
