package daemon

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/internal/settings"
)

// Reload applies new settings and reloads the TLS keys. If it returns an error,
// the previous settings and keys stay in force.
func (d *Daemon) Reload(s settings.Settings) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if keys := settings.NeedRestart(d.settings, s); len(keys) > 0 {
		return errors.Newf("changed settings that need a restart: %s", strings.Join(keys, ", "))
	}
	if err := d.links.ReloadKeys(); err != nil {
		return err
	}
	d.level.Set(s.LogLevel)
	d.budget.Set(s.Limits.ControlBudget, s.Limits.ControlBurst)
	d.settings = s
	return nil
}
