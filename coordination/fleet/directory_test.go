package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func target(key TargetKey, heartbeats uint64) Target {
	return Target{Key: key, Service: "s", Zone: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3, Started: 1, Heartbeats: heartbeats}
}

func newReadyDirectory() *Directory {
	d := NewDirectory()
	d.SetConfig(Config{Version: 1})
	d.SetZones(nil)
	d.SetTargets(0, []Target{target("t1", 1), target("t2", 1)})
	return d
}

func entry(d *Directory, key TargetKey) Entry {
	d.changed = true
	for _, e := range d.View().Targets {
		if e.Key == key {
			return e
		}
	}
	return Entry{}
}

func TestReadyNeedsEverything(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.SetConfig(Config{Version: 1})
	is.True(!d.Ready())
	d.SetTargets(0, nil)
	is.True(!d.Ready())
	d.SetZones(nil)
	is.True(d.Ready())
}

func TestOlderConfigVersionIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	is.True(d.SetConfig(Config{Version: 7}))
	is.True(!d.SetConfig(Config{Version: 7})) // the same version again
	is.True(!d.SetConfig(Config{Version: 5}))
	is.Equal(d.ConfigVersion(), uint64(7))
}

func TestRemovedTargetIsGoneAtOnceWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.RemoveTarget(time.Second, "t1")
	is.True(entry(d, "t1").Gone)
	is.True(!entry(d, "t2").Gone)
}

// Guards against the loss of targets whose entries expired while the store was
// unreachable: they are rewritten within two seconds of its recovery, and only
// those that are still missing then are gone.
func TestTargetsSurviveAnOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.StoreLost()
	is.True(d.StoreRegained(10 * time.Second))
	d.SetTargets(10*time.Second, nil)
	is.True(entry(d, "t1").Missing)
	is.True(!entry(d, "t1").Gone)
	is.Equal(len(d.Sweep(12*time.Second)), 0)
	is.Equal(d.PutTarget(12*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(12500*time.Millisecond), []TargetKey{"t2"})
	is.True(!entry(d, "t1").Missing)
	is.True(entry(d, "t2").Gone)
}

// An entry that expires shortly after the store's recovery may be rewritten
// too.
func TestRemovalSoonAfterStoreRecoveryLeavesTargetMissing(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.StoreLost()
	d.StoreRegained(10 * time.Second)
	d.RemoveTarget(11*time.Second, "t1")
	is.True(entry(d, "t1").Missing)
	d.RemoveTarget(13*time.Second, "t2")
	is.True(entry(d, "t2").Gone)
}

// An entry that another writer replaced is rewritten with the target's next
// heartbeat; until then the target's flows must not be reset.
func TestUnreadableEntryLeavesTargetMissing(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.MarkTargetMissing(time.Second, "t1")
	d.SetTargets(time.Second, nil, "t2")
	is.True(entry(d, "t1").Missing)
	is.True(entry(d, "t2").Missing)
	is.Equal(d.PutTarget(2*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(4*time.Second), []TargetKey{"t2"})
	d.MarkTargetMissing(5*time.Second, "t9") // an unknown target
	is.Equal(entry(d, "t9").Key, TargetKey(""))
}

func TestNoTargetIsGoneWhileStoreIsUnreachable(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.StoreLost()
	d.RemoveTarget(time.Second, "t1") // received from another host
	is.Equal(len(d.Sweep(time.Hour)), 0)
	is.True(entry(d, "t1").Missing)
}

func TestChanges(t *testing.T) {
	draining, moved, restarted := target("t1", 2), target("t1", 2), target("t1", 1)
	cold, nearlyWarm := target("t1", 2), target("t1", 2)
	cold.WarmUpLeft, nearlyWarm.WarmUpLeft = 10*time.Second, time.Second
	draining.Draining = true
	moved.Addr = netip.MustParseAddrPort("10.0.0.2:80")
	restarted.Started = 2
	cases := []struct {
		name string
		t    Target
		want Change
	}{
		{"heartbeat", target("t1", 2), ChangeNone},
		{"draining", draining, ChangeDraining},
		{"cold again", cold, ChangeCold},
		{"nearly warm", nearlyWarm, ChangeNone},
		{"another address", moved, ChangeMoved},
		{"restarted", restarted, ChangeRestarted},
		{"heartbeat count restarted", target("t1", 0), ChangeRestarted},
		{"new", target("t9", 1), ChangeNew},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(newReadyDirectory().PutTarget(time.Second, c.t), c.want)
		})
	}
}

func TestGoneTargetIsForgottenAfterAMinute(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.RemoveTarget(0, "t1")
	d.Sweep(59 * time.Second)
	is.True(entry(d, "t1").Gone)
	d.Sweep(60 * time.Second)
	is.Equal(entry(d, "t1").Key, TargetKey(""))
}

func TestZones(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.View()
	is.True(d.SetZone("a", true))
	is.True(!d.SetZone("a", true))
	v := d.View()
	is.True(v.ZonesOut["a"])
	is.True(d.SetZone("a", false))
	is.True(v.ZonesOut["a"]) // a view never changes
	is.True(!d.View().ZonesOut["a"])
}

func TestViewOnlyAfterAChange(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	is.True(d.View() != nil)
	is.True(d.View() == nil)
	d.PutTarget(time.Second, target("t1", 1)) // the same heartbeat was read twice
	is.True(d.View() == nil)
}
