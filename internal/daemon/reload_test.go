package daemon

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/internal/settings"
)

func TestReloadAppliesReloadableSettings(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t)
	s := d.settings
	s.LogLevel = zerolog.ErrorLevel
	s.Limits.ControlBudget = 2 * settings.DefaultControlBudgetBytes
	is.NoErr(d.Reload(s))
	is.Equal(d.level.Level(), zerolog.ErrorLevel)
	is.Equal(d.settings.Limits.ControlBudget, s.Limits.ControlBudget)
}

func TestReloadRejectsFixedSettings(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t)
	before := d.settings
	s := before
	s.Zone = "z2"
	s.Workers++
	s.LogLevel = zerolog.ErrorLevel
	err := d.Reload(s)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "zone, workers")) // names the settings that need a restart
	is.Equal(d.settings.Zone, before.Zone)
	is.Equal(d.level.Level(), before.LogLevel) // the reloadable change is not applied either
}
