package follow

import (
	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

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
	key := f.targetKey(c.Key)
	if c.Deleted {
		delete(f.rejected, c.Key)
		if removal := f.dir.RemoveTarget(f.cfg.Clock(), f.completeTo, key); removal != fleet.RemovalNone {
			f.cfg.Log.Info().Str("event", "target_removed").Str("target", string(key)).Stringer("state", removal).
				Uint64("revision", uint64(c.Revision)).Send()
		}
		return true
	}
	t, ok := f.decodeTarget(c.Entry)
	if !ok {
		f.dir.MarkTargetMissing(f.cfg.Clock(), key)
		return true
	}
	return f.applyTarget(t, c.Entry)
}

// applyOperator applies a change of one of the operator's entries and reports
// whether the configuration or a zone changed.
func (f *Follower) applyOperator(c store.Change) bool {
	f.operator[c.Key] = !c.Deleted
	if len(c.Value) > 0 || f.values[c.Key].Key == "" { // a feed may name the key only
		f.recordValue(c.Entry)
	}
	change := f.decodeOperator(c.Entry, c.Deleted)
	changed := change.Config != nil && f.setConfig(*change.Config)
	if change.Zone != "" && f.dir.SetZone(change.Zone, change.ZoneOut) {
		changed = true
		f.cfg.Log.Info().Str("event", "zone_changed").Str("zone", change.Zone).Bool("out", change.ZoneOut).
			Uint64("revision", uint64(c.Revision)).Send()
	}
	return changed
}

// latestOperator returns the revision of the last change of each of the operator's
// entries in a list of changes. Each change replaces the former ones of its entry, and
// long configurations are costly to decode.
func (f *Follower) latestOperator(list []store.Change) map[store.Key]store.Revision {
	latest := map[store.Key]store.Revision{}
	for i := range list {
		if list[i].Key.HasPrefix(f.cfg.Keys.Operator) {
			latest[list[i].Key] = list[i].Revision
		}
	}
	return latest
}

func (f *Follower) applyTarget(t fleet.Target, e store.Entry) bool {
	f.recordValue(e)
	change := f.dir.PutTarget(f.cfg.Clock(), t)
	if change == fleet.ChangeNone {
		return false
	}
	f.cfg.Log.Info().Str("event", "target_changed").Str("target", string(t.Key)).Str("change", change.String()).
		Str("service", t.Service).Str("zone", t.Zone).Stringer("address", t.Addr).Bool("draining", t.Draining).
		Dur("slow_ms", t.WarmUpLeft).Send()
	return true
}

// setConfig applies a configuration and reports whether it is newer than the
// current one.
func (f *Follower) setConfig(c fleet.Config) bool {
	previous := f.dir.ConfigVersion()
	if !f.dir.SetConfig(c) {
		return false
	}
	f.stats.ConfigVersion = c.Version
	f.cfg.Log.Info().Str("event", "config_in_force").Uint64("version", c.Version).Uint64("former", previous).
		Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
	return true
}

func (f *Follower) decodeOperator(e store.Entry, deleted bool) fleet.OperatorChange {
	change, err := recovered(func() (fleet.OperatorChange, error) { return f.cfg.Decoder.Operator(e.Key, e.Value, deleted) })
	f.recordDecode(e.Key, err)
	return change
}

func (f *Follower) decodeTarget(e store.Entry) (fleet.Target, bool) {
	t, err := recovered(func() (fleet.Target, error) { return f.cfg.Decoder.Target(e.Key, e.Value) })
	f.recordDecode(e.Key, err)
	return t, err == nil
}

// recovered returns the result of a decoder, and its panic as an error: one entry must
// not end the host or its reading.
func recovered[T any](decode func() (T, error)) (result T, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("decoder panicked: %v", cause)
		}
	}()
	return decode()
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
