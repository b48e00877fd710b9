package peers

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"verbenareel/core"
)

// logChanges logs the differences between two snapshots: the revision in force, the failure domains out of service, and
// the states of instances.
func (e *Exchange) logChanges(before, after *core.Snapshot) {
	if before == nil || before.Document() != after.Document() {
		e.logger.Info("configuration in force", zap.Uint64("revision", after.Revision()),
			zap.Uint64("revision_before", before.Revision()), zap.String("deployment", after.Document().GetDeployment()),
			zap.Strings("domains_out_of_service", domainsOutOfService(after)),
			zap.String("source", e.state.accepted.sourceName()), zap.Int("bytes", e.state.accepted.size()),
			zap.Duration("transfer", e.state.accepted.transfer))
	}
	var changed []string
	for _, name := range after.Names() {
		old := before.Instance(name)
		if old == nil || old.State() != after.Instance(name).State() {
			changed = append(changed, name)
		}
	}
	e.logInstances(before, after, changed)
	for _, name := range before.Names() {
		if after.Instance(name) == nil {
			e.logger.Info("instance is no longer known", zap.String("name", name), zap.Time("list_as_of", after.ListTime()))
		}
	}
}

// maxInstanceLines is the number of instances that get a line of their own when they change at the same time.
const maxInstanceLines = 16

// logInstances logs the new states of instances: one line for each, or one for all if there are many, as at the start of a
// fleet.
func (e *Exchange) logInstances(before, after *core.Snapshot, names []string) {
	if len(names) > maxInstanceLines {
		changes := make([]string, 0, len(names))
		for _, name := range names {
			changes = append(changes, name+" "+core.StateName(after.Instance(name).State()))
		}
		e.logger.Info("instances", zap.Strings("states", changes), zap.Time("list_as_of", after.ListTime()))
		return
	}
	for _, name := range names {
		i := after.Instance(name)
		e.logger.Info("instance", zap.String("name", name), zap.String("service", i.Service()),
			zap.String("domain", i.Domain()), zap.String("address", i.Address()), zap.String("state", core.StateName(i.State())),
			zap.String("state_before", core.StateName(before.Instance(name).State())), zap.Time("list_as_of", after.ListTime()))
	}
}

// logFailedPulls logs the transfers from peers that failed since the last call, one line for all if there are many.
func (e *Exchange) logFailedPulls() {
	failed := e.state.failedPulls
	e.state.failedPulls = failedPulls{}
	if failed.count == 0 {
		return
	}
	e.logger.Info("transfer of a configuration from a peer failed", zap.Uint64("revision", failed.revision),
		zap.String("source", failed.source), zap.Int("blocks", failed.blocks), zap.Int("missing", failed.missing),
		zap.Duration("after", failed.after), zap.Int("failures", failed.count), zap.Error(failed.err))
}

// logPlatform logs when the platform becomes unreachable and when it can be read again.
func (e *Exchange) logPlatform() {
	lost := e.state.outage.err != nil
	if lost == e.platformDown {
		return
	}
	e.platformDown = lost
	if lost {
		e.logger.Warn("platform cannot be read", zap.Error(e.state.outage.err), zap.Uint64("revision", e.state.Revision()),
			zap.Time("confirmed", e.state.confirmedAt), zap.Time("list_as_of", e.state.listedAt))
		return
	}
	e.logger.Info("platform can be read again", zap.Duration("away", e.state.outage.end.Sub(e.state.outage.start)),
		zap.Uint64("revision", e.state.Revision()))
}

// logExpired logs when the node's own entry is missing from the platform's list but may have expired in an outage.
func (e *Exchange) logExpired() {
	if expired := e.state.ownExpired; expired != e.ownExpired {
		e.ownExpired = expired
		e.logger.Info("own entry missing after an outage of the platform; it may have expired", zap.Bool("missing", expired),
			zap.Time("last_seen", e.state.ownSeenAt), zap.Duration("since_outage", e.clock.Now().Sub(e.state.outage.end)))
	}
}

// domainsOutOfService returns the sorted names of the failure domains that the document takes out of service.
func domainsOutOfService(s *core.Snapshot) []string {
	var names []string
	domains := s.Document().GetPlaces().GetDomains()
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if domains[name].GetOutOfService() {
			names = append(names, name)
		}
	}
	return names
}
