package follow

import (
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// applyOperatorEntries replaces the set of zones that are out and applies the
// configuration, if it is among the entries.
func (f *Follower) applyOperatorEntries(entries []store.Entry) {
	var zones []string
	clear(f.operatorKeys)
	for _, e := range entries {
		if !e.Key.HasPrefix(f.cfg.Keys.Operator) {
			continue
		}
		f.operatorKeys[e.Key] = true
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

// applyTargetEntries replaces all targets with the listed ones.
func (f *Follower) applyTargetEntries(entries []store.Entry) {
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

// apply applies one change and reports whether it was more than a target's
// heartbeat.
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
	return f.applyTarget(t)
}

func (f *Follower) applyOperator(c store.Change) {
	if c.Deleted {
		delete(f.operatorKeys, c.Key)
	} else {
		f.operatorKeys[c.Key] = true
	}
	change := f.decodeOperator(c.Entry, c.Deleted)
	if change.Config != nil {
		f.setConfig(*change.Config)
	}
	if change.Zone != "" && f.dir.SetZone(change.Zone, change.ZoneOut) {
		f.cfg.Log.Info().Str("event", "zone_changed").Str("zone", change.Zone).Bool("out", change.ZoneOut).
			Uint64("revision", uint64(c.Revision)).Send()
	}
}

func (f *Follower) applyTarget(t fleet.Target) bool {
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
	previous := f.dir.ConfigVersion()
	if f.dir.SetConfig(c) {
		f.stats.ConfigVersion = c.Version
		f.cfg.Log.Info().Str("event", "config_in_force").Uint64("version", c.Version).Uint64("former", previous).
			Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
	}
}

func (f *Follower) decodeOperator(e store.Entry, deleted bool) fleet.OperatorChange {
	change, err := f.cfg.Decoder.Operator(e.Key, e.Value, deleted)
	f.recordDecode(e.Key, err)
	return change
}

func (f *Follower) decodeTarget(e store.Entry) (fleet.Target, bool) {
	t, err := f.cfg.Decoder.Target(e.Key, e.Value)
	f.recordDecode(e.Key, err)
	return t, err == nil
}

// recordDecode tracks which entries can't be decoded. It logs an entry when its
// error changes.
func (f *Follower) recordDecode(key store.Key, err error) {
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
