package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func target(key TargetKey, beats uint64) Target {
	return Target{Key: key, Service: "s", Zone: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3, Started: 1, Beats: beats}
}

func ready() *Directory {
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

func TestVersionsNeverGoBack(t *testing.T) {
	is := is.New(t)
	d := ready()
	is.True(d.SetConfig(Config{Version: 7}))
	is.True(!d.SetConfig(Config{Version: 7})) // twice the same
	is.True(!d.SetConfig(Config{Version: 5}))
	is.Equal(d.ConfigVersion(), uint64(7))
}

func TestRemovedTargetIsGoneAtOnceWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	d := ready()
	d.RemoveTarget(time.Second, "t1")
	is.True(entry(d, "t1").Gone)
	is.True(!entry(d, "t2").Gone)
}

// Entries that lapsed while the store was away come back within two seconds of
// its return; only what is missing then is gone.
func TestTargetsSurviveAnOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	d := ready()
	d.StoreAway()
	is.True(d.StoreBack(10 * time.Second))
	d.SetTargets(10*time.Second, nil)
	is.True(entry(d, "t1").Missing)
	is.True(!entry(d, "t1").Gone)
	is.Equal(len(d.Sweep(12*time.Second)), 0)
	is.Equal(d.PutTarget(12*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(12500*time.Millisecond), []TargetKey{"t2"})
	is.True(!entry(d, "t1").Missing)
	is.True(entry(d, "t2").Gone)
}

// An entry that lapses a moment after the store's return may come back too.
func TestRemovalSoonAfterTheReturnIsNotBelieved(t *testing.T) {
	is := is.New(t)
	d := ready()
	d.StoreAway()
	d.StoreBack(10 * time.Second)
	d.RemoveTarget(11*time.Second, "t1")
	is.True(entry(d, "t1").Missing)
	d.RemoveTarget(13*time.Second, "t2")
	is.True(entry(d, "t2").Gone)
}

// An entry that another writer replaced is written again with the target's next
// beat; until then the target's flows must not be given up.
func TestUnreadableEntryIsDoubted(t *testing.T) {
	is := is.New(t)
	d := ready()
	d.DoubtTarget(time.Second, "t1")
	d.SetTargets(time.Second, nil, "t2")
	is.True(entry(d, "t1").Missing)
	is.True(entry(d, "t2").Missing)
	is.Equal(d.PutTarget(2*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(4*time.Second), []TargetKey{"t2"})
	d.DoubtTarget(5*time.Second, "t9") // never known
	is.Equal(entry(d, "t9").Key, TargetKey(""))
}

func TestNothingIsGoneWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	d := ready()
	d.StoreAway()
	d.RemoveTarget(time.Second, "t1") // told by a peer
	is.Equal(len(d.Sweep(time.Hour)), 0)
	is.True(entry(d, "t1").Missing)
}

func TestChanges(t *testing.T) {
	drains, moved, again := target("t1", 2), target("t1", 2), target("t1", 1)
	cold, warming := target("t1", 2), target("t1", 2)
	cold.SlowFor, warming.SlowFor = 10*time.Second, time.Second
	drains.Draining = true
	moved.Addr = netip.MustParseAddrPort("10.0.0.2:80")
	again.Started = 2
	cases := []struct {
		name string
		t    Target
		want Change
	}{
		{"beat", target("t1", 2), ChangeNone},
		{"draining", drains, ChangeDraining},
		{"cold again", cold, ChangeCold},
		{"nearly warm", warming, ChangeNone},
		{"another address", moved, ChangeMoved},
		{"started again", again, ChangeRestarted},
		{"counts began anew", target("t1", 0), ChangeRestarted},
		{"new", target("t9", 1), ChangeNew},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ready().PutTarget(time.Second, c.t), c.want)
		})
	}
}

func TestGoneTargetIsForgottenAfterAMinute(t *testing.T) {
	is := is.New(t)
	d := ready()
	d.RemoveTarget(0, "t1")
	d.Sweep(59 * time.Second)
	is.True(entry(d, "t1").Gone)
	d.Sweep(60 * time.Second)
	is.Equal(entry(d, "t1").Key, TargetKey(""))
}

func TestZones(t *testing.T) {
	is := is.New(t)
	d := ready()
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
	d := ready()
	is.True(d.View() != nil)
	is.True(d.View() == nil)
	d.PutTarget(time.Second, target("t1", 1)) // read again, not said again
	is.True(d.View() == nil)
}
