package peers

import (
	"time"

	"verbenareel/schema"
)

// unprovenVersion is the version of a record whose service is not known yet. It is below the version of each record that an
// earlier process announced for the instance, so that the other nodes keep that record and send it back.
const unprovenVersion = 1

// SetInstanceName changes the instance name in the node's own record, because the backend server has reported its name for the
// first time, or another one has replaced it. The previous record is announced as gone.
//
// The address of a server that has ended may go to a server of another service, so a name alone doesn't show that the
// server belongs to the node's service. Unless a record or an entry of the platform's list shows it, the instance stays
// out of service until its entry does.
func (s *State) SetInstanceName(now time.Time, instance string) {
	s.detectPause(now)
	if instance == "" || instance == s.self.GetInstance() {
		return
	}
	state := min(s.self.GetState(), schema.InstanceState_INSTANCE_STATE_LEAVING)
	version := s.nextVersion(now)
	switch {
	case state == schema.InstanceState_INSTANCE_STATE_LEAVING:
	case s.knownService(instance):
		state = schema.InstanceState_INSTANCE_STATE_SERVING
	default:
		state, version = schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE, unprovenVersion
	}
	s.reannounceSelf(now, s.self.GetVersion()+1, schema.InstanceState_INSTANCE_STATE_GONE)
	s.setSelf(now, schema.Member_builder{
		Instance: instance, Service: s.self.GetService(), Domain: s.self.GetDomain(), Address: s.self.GetAddress(),
		Incarnation: s.self.GetIncarnation(), Version: version, State: state,
	}.Build())
	s.ownSeenAt, s.ownMissingSince = time.Time{}, time.Time{}
	s.announceRecords(now)
	s.RequestListRead(now)
}

// nextVersion returns a version for the node's own record that is above its current one and those of earlier processes.
func (s *State) nextVersion(now time.Time) uint64 {
	return max(s.self.GetVersion()+2, uint64(now.UnixMilli()))
}

// knownService reports whether the table already shows that an instance belongs to the node's service: by its entry in the
// platform's list, or by the record of an earlier process of the node. An instance name is never used again.
func (s *State) knownService(instance string) bool {
	m := s.table.byName[instance]
	return m != nil && (s.provesService(m.listEntry) || s.announcesService(m.record))
}

// provesService reports whether an entry of the platform's list names the node's service.
func (s *State) provesService(entry *schema.Member) bool {
	return entry != nil && entry.GetService() == s.self.GetService()
}

// announcesService reports whether an earlier process of the node announced an instance as serving the node's service.
func (s *State) announcesService(r *schema.Member) bool {
	return r != nil && r.GetService() == s.self.GetService() && r.GetAddress() == s.self.GetAddress() && isServing(r.GetState())
}

func isServing(state schema.InstanceState) bool {
	return state == schema.InstanceState_INSTANCE_STATE_SERVING || state == schema.InstanceState_INSTANCE_STATE_COLD
}

// enterService announces the node's own instance as serving once it is known to belong to the node's service.
func (s *State) enterService(now time.Time) {
	if s.self.GetState() != schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE {
		return
	}
	s.reannounceSelf(now, s.nextVersion(now), schema.InstanceState_INSTANCE_STATE_SERVING)
	s.announceRecords(now)
}
