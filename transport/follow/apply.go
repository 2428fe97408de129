package follow

import (
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

func (f *Follower) takeOperator(entries []store.Entry) {
	var zones []string
	for _, e := range entries {
		if !e.Key.HasPrefix(f.cfg.Keys.Operator) {
			continue
		}
		change := f.decodeOperator(e, false)
		if change.Config != nil {
			f.setConfig(*change.Config)
		}
		if change.ZoneOut {
			zones = append(zones, change.Zone)
		}
	}
	f.dir.SetZones(zones)
}

func (f *Follower) takeTargets(entries []store.Entry) {
	list := make([]fleet.Target, 0, len(entries))
	var unreadable []fleet.TargetKey
	for _, e := range entries {
		if !e.Key.HasPrefix(f.cfg.Keys.Targets) {
			continue
		}
		if t, ok := f.decodeTarget(e); ok {
			list = append(list, t)
			continue
		}
		unreadable = append(unreadable, fleet.TargetKey(e.Key[len(f.cfg.Keys.Targets):]))
	}
	for _, key := range f.dir.SetTargets(f.cfg.Clock(), list, unreadable...) {
		f.cfg.Log.Info().Str("event", "target_removed").Str("target", string(key)).Bool("listed", true).Send()
	}
}

// apply takes one change in and reports whether it says more than that a
// target still lives.
func (f *Follower) apply(c store.Change) bool {
	switch {
	case c.Key.HasPrefix(f.cfg.Keys.Operator):
		f.applyOperator(c)
		return true
	case !c.Key.HasPrefix(f.cfg.Keys.Targets):
		return false
	}
	key := fleet.TargetKey(c.Key[len(f.cfg.Keys.Targets):])
	if c.Deleted {
		delete(f.rejected, c.Key)
		f.dir.RemoveTarget(f.cfg.Clock(), key)
		f.cfg.Log.Info().Str("event", "target_removed").Str("target", string(key)).Uint64("revision", uint64(c.Revision)).Send()
		return true
	}
	t, ok := f.decodeTarget(c.Entry)
	if !ok {
		f.dir.MarkTargetMissing(f.cfg.Clock(), key)
		return true
	}
	return f.putTarget(t)
}

func (f *Follower) applyOperator(c store.Change) {
	change := f.decodeOperator(c.Entry, c.Deleted)
	if change.Config != nil {
		f.setConfig(*change.Config)
	}
	if change.Zone != "" && f.dir.SetZone(change.Zone, change.ZoneOut) {
		f.cfg.Log.Info().Str("event", "zone_changed").Str("zone", change.Zone).Bool("out", change.ZoneOut).
			Uint64("revision", uint64(c.Revision)).Send()
	}
}

func (f *Follower) putTarget(t fleet.Target) bool {
	change := f.dir.PutTarget(f.cfg.Clock(), t)
	if change == fleet.ChangeNone {
		return false
	}
	f.cfg.Log.Info().Str("event", "target_changed").Str("target", string(t.Key)).Str("change", change.String()).
		Str("service", t.Service).Str("zone", t.Zone).Stringer("address", t.Addr).Bool("draining", t.Draining).
		Dur("slow_ms", t.WarmUpLeft).Send()
	return true
}

func (f *Follower) setConfig(c fleet.Config) {
	former := f.dir.ConfigVersion()
	if f.dir.SetConfig(c) {
		f.stats.ConfigVersion = c.Version
		f.cfg.Log.Info().Str("event", "config_in_force").Uint64("version", c.Version).Uint64("former", former).
			Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
	}
}

func (f *Follower) decodeOperator(e store.Entry, deleted bool) fleet.OperatorChange {
	change, err := f.cfg.Decoder.Operator(e.Key, e.Value, deleted)
	f.reject(e.Key, err)
	return change
}

func (f *Follower) decodeTarget(e store.Entry) (fleet.Target, bool) {
	t, err := f.cfg.Decoder.Target(e.Key, e.Value)
	f.reject(e.Key, err)
	return t, err == nil
}

// reject notes an entry that can't be read, or that it can be again.
func (f *Follower) reject(key store.Key, err error) {
	if err == nil {
		delete(f.rejected, key)
		return
	}
	if f.rejected[key] == err.Error() {
		return
	}
	f.rejected[key] = err.Error()
	f.cfg.Log.Warn().Str("event", "entry_rejected").Str("key", string(key)).Err(err).Send()
}
