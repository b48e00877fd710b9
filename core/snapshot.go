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

// Instance is an immutable member of a snapshot.
type Instance struct {
	name        string
	service     string
	domain      string
	address     string
	incarnation uint64
	state       schema.InstanceState
}

// SetListTime sets the time as of which the platform's instance list is known. It must be called before the snapshot is
// published.
func (s *Snapshot) SetListTime(at time.Time) *Snapshot {
	s.listTime = at
	return s
}

// NewInstance returns the instance for a member record with the given effective state.
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

// Name returns the unique name of the instance.
func (i *Instance) Name() string { return i.name }

// Service returns the name of the service that the instance belongs to.
func (i *Instance) Service() string { return i.service }

// Domain returns the failure domain of the instance.
func (i *Instance) Domain() string { return i.domain }

// Address returns the address of the node's RPC listener as IP:port.
func (i *Instance) Address() string { return i.address }

// Incarnation returns the random number that identifies the node's process, or 0 if the instance is known only from the
// platform's list.
func (i *Instance) Incarnation() uint64 { return i.incarnation }

// State returns the worst of the states given by the document, the platform's list and the node itself, or
// INSTANCE_STATE_UNSPECIFIED for a nil instance.
func (i *Instance) State() schema.InstanceState {
	if i == nil {
		return schema.InstanceState_INSTANCE_STATE_UNSPECIFIED
	}
	return i.state
}

// Eligible reports whether the instance may receive new calls. It is false for a nil instance.
func (i *Instance) Eligible() bool {
	if i == nil {
		return false
	}
	return isEligible(i.state)
}

func isEligible(state schema.InstanceState) bool {
	return state == schema.InstanceState_INSTANCE_STATE_SERVING || state == schema.InstanceState_INSTANCE_STATE_COLD
}

// Snapshot is the current configuration and membership. It is immutable and safe for concurrent use.
type Snapshot struct {
	revision  uint64
	document  *schema.Document
	instances map[string]*Instance
	services  map[string][]*Instance
	rules     map[string][]*schema.Rule
	// customers holds the names of the customers by the hashes of their API keys.
	customers map[string]string
	// serviceNames holds the sorted names of the services of the document.
	serviceNames []string
	listTime     time.Time
}

// anyHost is the host of rules that match every host.
const anyHost = ""

// NewSnapshot builds a snapshot from an accepted document and the known members.
func NewSnapshot(revision uint64, document *schema.Document, members []*schema.Member) *Snapshot {
	s := &Snapshot{
		revision:     revision,
		document:     document,
		rules:        rulesByHost(document),
		customers:    customersByKey(document),
		serviceNames: slices.Sorted(maps.Keys(document.GetServices())),
		instances:    make(map[string]*Instance, len(members)),
		services:     make(map[string][]*Instance),
	}
	running := runningByAddress(members)
	for _, m := range members {
		state := effectiveState(document, m)
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

// runningByAddress returns the name of the latest instance that a node announces as eligible at each address. The platform's
// list may still contain an instance that used the same address earlier.
func runningByAddress(members []*schema.Member) map[string]string {
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

// effectiveState returns the worse of the member's own state and the state set by the document.
func effectiveState(document *schema.Document, member *schema.Member) schema.InstanceState {
	state := max(member.GetState(), schema.InstanceState_INSTANCE_STATE_SERVING)
	if OutOfService(document, member.GetInstance(), member.GetDomain()) {
		return max(state, schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE)
	}
	return state
}

// OutOfService reports whether the document takes the instance or its failure domain out of service. A failure domain
// that is missing from the document is out of service.
func OutOfService(document *schema.Document, instance, domain string) bool {
	places := document.GetPlaces()
	place, ok := places.GetDomains()[domain]
	return !ok || place.GetOutOfService() || places.GetInstances()[instance].GetOutOfService()
}

// Revision returns the revision of the document on the platform, or 0 for a nil snapshot.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Document returns the accepted document, or nil for a nil snapshot. Callers must not modify it.
func (s *Snapshot) Document() *schema.Document {
	if s == nil {
		return nil
	}
	return s.document
}

// Service returns the settings of a service, or nil if the document does not define it.
func (s *Snapshot) Service(name string) *schema.Service { return s.document.GetServices()[name] }

// Instance returns the instance with the given name, or nil.
func (s *Snapshot) Instance(name string) *Instance {
	if s == nil {
		return nil
	}
	return s.instances[name]
}

// Names returns the sorted names of all instances.
func (s *Snapshot) Names() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.instances))
}

// CountNodes returns the number of nodes that may be running. A node may have several names in the snapshot: its first one, and
// those of the servers that it stood for. So nodes are counted by their addresses.
func (s *Snapshot) CountNodes() int {
	if s == nil {
		return 0
	}
	nodes := make(map[string]bool)
	for _, i := range s.instances {
		if i.state != schema.InstanceState_INSTANCE_STATE_GONE {
			nodes[i.address] = true
		}
	}
	return len(nodes)
}

// Instances returns the instances of a service in all states, sorted by name. Callers must not modify the slice.
func (s *Snapshot) Instances(service string) []*Instance { return s.services[service] }

// Route returns the first rule that matches a request, or nil. host must be in lower case and without a port.
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

// rulesByHost returns the matching rules for each host in the document, and under anyHost the rules for all other hosts.
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

const (
	// Fleets of up to reportFleet instances report their load at the configured interval. In larger ones the interval grows
	// with the fleet, up to maxReportStretch times: each node has more instances to choose from.
	reportFleet      = 100
	maxReportStretch = 2
)

// Large reports whether the fleet is so large that nodes report less often and to fewer others.
func (s *Snapshot) Large() bool { return s != nil && len(s.instances) > reportFleet }

// ReportInterval returns the interval of load reports, or of the probes that they are based on, for the size of the fleet.
func (s *Snapshot) ReportInterval(base time.Duration) time.Duration {
	if !s.Large() {
		return base
	}
	return min(maxReportStretch*base, base*time.Duration(len(s.instances))/reportFleet)
}

// ListTime returns the time as of which the platform's instance list is known, or the zero time.
func (s *Snapshot) ListTime() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.listTime
}

// Delay returns the network round-trip time between two failure domains according to the document.
func (s *Snapshot) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	places := s.document.GetPlaces()
	fromRegion := places.GetDomains()[from].GetRegion()
	toRegion := places.GetDomains()[to].GetRegion()
	region := places.GetRegions()[fromRegion]
	if fromRegion == toRegion {
		return 2 * region.GetDelay().AsDuration()
	}
	return 2 * region.GetRemoteDelay().AsDuration()
}

// InstanceHash returns the hash that identifies an instance in load reports.
func InstanceHash(name string) uint64 { return xxhash.Sum64String(name) }

// ServiceHash returns the hash that identifies a service in load reports.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// LoadReport is a guard's measurement of the load on its backend server.
type LoadReport struct {
	InFlight    int
	Queued      int
	Limit       int
	Latency     time.Duration
	FailureRate float64
	State       schema.InstanceState
	Revision    uint64
	Incarnation uint64
	// Pace is the current processing time relative to the usual one; 0 if it is unknown.
	Pace float64
	// BasePace is the lowest pace within the last second. A much higher Pace indicates a temporary slowdown.
	BasePace float64
	// StartRate is the number of calls per second that the backend server can start, or 0 if the rate is unlimited.
	// StartsLeft is the number of calls that can still be started now.
	StartRate  int
	StartsLeft int
	// ReceiveWait is the time until the large bodies that are on their way to the node have arrived. A further one waits
	// behind them on the link of the node.
	ReceiveWait time.Duration
}

// NewLoadReport converts a message to a LoadReport. A nil message yields the zero value.
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
		ReceiveWait: time.Duration(load.GetReceiveWaitUs()) * time.Microsecond,
	}
}

// slowFactor is the ratio of the pace to the base pace from which a backend server counts as slow.
const slowFactor = 1.5

// Slow reports whether the backend server is slower now than at its fastest within the last second.
func (r LoadReport) Slow() bool { return r.Pace >= slowFactor*max(r.BasePace, 1) }

// Message converts the report to a message.
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
		ReceiveWaitUs:   uint32(r.ReceiveWait / time.Microsecond),
	}.Build()
}
