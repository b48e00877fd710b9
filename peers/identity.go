package peers

import (
	"time"

	"verbenareel/schema"
)

// firstVersion is the version of the record of an instance of which no earlier record is known. It is below the version of each
// record that an earlier process announced for the instance, so that the other nodes keep that record and send it back.
const firstVersion = 1

// versionRaiseDelay is how long a new record keeps its low version. Afterwards the record has to replace those that nodes
// behind a partition still have.
const versionRaiseDelay = 5 * time.Second

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
	known := s.table.byName[instance]
	state, version := s.initialState(known), uint64(firstVersion)
	announced := known != nil && known.record != nil
	if announced {
		version = max(known.record.GetVersion()+1, uint64(now.UnixMilli()))
	}
	s.reannounceSelf(now, s.self.GetVersion()+1, schema.InstanceState_INSTANCE_STATE_GONE)
	renamed := withState(s.self, state)
	renamed.SetInstance(instance)
	renamed.SetVersion(version)
	s.setSelf(now, renamed)
	s.ownSeenAt, s.ownMissingSince = time.Time{}, time.Time{}
	s.earlierProcess, s.namedAt = announced, now
	s.announceRecords(now)
	s.RequestListRead(now)
}

// initialState returns the state in which the node announces another instance, given what the table holds of it.
func (s *State) initialState(known *member) schema.InstanceState {
	switch {
	case s.self.GetState() >= schema.InstanceState_INSTANCE_STATE_LEAVING:
		return schema.InstanceState_INSTANCE_STATE_LEAVING
	case s.knownService(known):
		return schema.InstanceState_INSTANCE_STATE_SERVING
	}
	return schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE
}

// knownService reports whether the table already shows that an instance belongs to the node's service: by its entry in the
// platform's list, or by the record of an earlier process of the node. An instance name is never used again.
func (s *State) knownService(m *member) bool {
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

// FirstProcess reports whether no earlier process of the node announced the instance, as far as other nodes know.
func (s *State) FirstProcess() bool { return s.fullSyncDone && !s.earlierProcess }

// raiseVersion raises the version of the node's own record to that of the time, once its service is known and the other nodes had
// time to send back the record of an earlier process.
func (s *State) raiseVersion(now time.Time) {
	proven := s.self.GetState() != schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE
	low := s.self.GetVersion() < uint64(s.namedAt.UnixMilli())
	if s.namedAt.IsZero() || !proven || !low || now.Sub(s.namedAt) < versionRaiseDelay {
		return
	}
	s.reannounceSelf(now, uint64(now.UnixMilli()), s.self.GetState())
}

// enterService announces the node's own instance as serving once it is known to belong to the node's service.
func (s *State) enterService(now time.Time) {
	if s.self.GetState() != schema.InstanceState_INSTANCE_STATE_OUT_OF_SERVICE {
		return
	}
	s.reannounceSelf(now, s.self.GetVersion()+1, schema.InstanceState_INSTANCE_STATE_SERVING)
	s.announceRecords(now)
}
