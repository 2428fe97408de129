package bench

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortConfig returns a run of a few seconds with three balancers and no faults.
func shortConfig() Config {
	c := Default()
	c.HostsPerZone, c.TargetsPerZone = 1, 2
	c.Rate, c.MaxFlows, c.Duration = 20, 100, 3*time.Second
	c.Kill, c.ZoneOut = false, false
	return c
}

// TestRunWithoutFaults guards against broken or uncounted flows in a run without
// faults.
func TestRunWithoutFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts three balancers")
	}
	is := is.New(t)
	r, err := Run(context.Background(), shortConfig())
	is.NoErr(err)
	t.Logf("%+v", r.Flows)
	f := r.Flows
	is.True(f.Opened > 0)
	is.Equal(f.Broken(), 0)
	is.Equal(f.GivenUp, 0)
	is.Equal(f.Started, f.Opened)
	is.Equal(f.Opened, f.Ended)
	is.Equal(r.Opening.Count, int64(f.Opened))
	is.True(r.ControlBytes.Max > 0)
	is.Equal(r.Counted.Placed, uint64(f.Opened)) // as in the answer to report burn
	is.Equal(r.Counted.Refused, uint64(0))
	is.Equal(r.Counted.Broken, uint64(0))
	is.True(r.Counted.RelayedShare > 0 && r.Counted.RelayedShare < 1)
	is.True(len(r.Seconds) >= 2)
}

// TestZoneOutFlowsAreNotCountedAsBroken guards against counting flows as broken
// that were given up because their zone was taken out.
func TestZoneOutFlowsAreNotCountedAsBroken(t *testing.T) {
	if testing.Short() {
		t.Skip("starts three balancers")
	}
	is := is.New(t)
	c := shortConfig()
	c.Duration, c.ZoneOut, c.LongShare = 6*time.Second, true, 1
	r, err := Run(context.Background(), c)
	is.NoErr(err)
	t.Logf("%+v %+v", r.Flows, r.Faults)
	is.Equal(len(r.Faults), 2)
	is.True(r.Flows.GivenUp > 0)
	is.Equal(r.Flows.Broken(), 0)
}

func TestConfigIsChecked(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"rate", func(c *Config) { c.Rate = 1e6 }, "rate"},
		{"flows", func(c *Config) { c.MaxFlows = 0 }, "flows"},
		{"hosts", func(c *Config) { c.HostsPerZone = 50 }, "hosts"},
		{"duration", func(c *Config) { c.Duration = time.Hour }, "duration"},
		{"zone out", func(c *Config) { c.Zones = 1 }, "two zones"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := Default()
			is.NoErr(c.Check())
			tt.change(&c)
			err := c.Check()
			is.True(err != nil && strings.Contains(err.Error(), tt.want))
		})
	}
}

// TestResultFiles guards against results that change when written and read, and
// against differences that Compare does not mark.
func TestResultFiles(t *testing.T) {
	is := is.New(t)
	a := Result{Version: Version, Config: Default(), Flows: Flows{Opened: 10, Reset: 1}, Seconds: []Second{{At: 1, Open: 5}, {At: 2, Open: 7}}, Faults: []Fault{{At: 1.5, What: "kill host-01"}}}
	file := filepath.Join(t.TempDir(), "a.json")
	out, err := os.Create(file)
	is.NoErr(err)
	is.NoErr(a.Write(out))
	is.NoErr(out.Close())
	got, err := Read(file)
	is.NoErr(err)
	is.Equal(got.Flows, a.Flows)

	b := got
	b.Flows.Reset = 0
	b.Config.Seed = 2
	var text bytes.Buffer
	is.NoErr(Compare(&text, &a, &b))
	is.True(strings.Contains(text.String(), "configurations differ"))
	is.True(strings.Contains(text.String(), "by a reset"))
	is.Equal(strings.Count(text.String(), "*"), 2) // broken, and by a reset

	for _, name := range []string{"p.svg", "p.png"} {
		is.NoErr(a.Plot(filepath.Join(t.TempDir(), name)))
	}
	_, err = Read("/dev/null")
	is.True(err != nil)
}
