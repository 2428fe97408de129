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
	d.PutTarget(0, target("t1", 1))
	d.PutTarget(0, target("t2", 1))
	d.SetListed()
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
	d.SetListed()
	is.True(d.Ready())
	d = NewDirectory()
	d.SetListed()
	is.True(!d.Ready()) // a list without a configuration
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
	d.RemoveTarget(time.Second, time.Second, "t1")
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
	d.RemoveTarget(10*time.Second, 10*time.Second, "t1")
	d.RemoveTarget(10*time.Second, 10*time.Second, "t2")
	is.True(entry(d, "t1").Missing)
	is.True(!entry(d, "t1").Gone)
	is.Equal(len(d.Sweep(12*time.Second, 12*time.Second)), 0)
	is.Equal(d.PutTarget(12*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(12500*time.Millisecond, 12500*time.Millisecond), []TargetKey{"t2"})
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
	d.RemoveTarget(11*time.Second, 11*time.Second, "t1")
	is.True(entry(d, "t1").Missing)
	d.RemoveTarget(13*time.Second, 13*time.Second, "t2")
	is.True(entry(d, "t2").Gone)
}

// An entry that another writer replaced is rewritten with the target's next
// heartbeat; until then the target's flows must not be reset.
func TestUnreadableEntryLeavesTargetMissing(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.MarkTargetMissing(time.Second, "t1")
	d.MarkTargetMissing(time.Second, "t2")
	is.True(entry(d, "t1").Missing)
	is.True(entry(d, "t2").Missing)
	is.Equal(d.PutTarget(2*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(4*time.Second, 4*time.Second), []TargetKey{"t2"})
	d.MarkTargetMissing(5*time.Second, "t9") // an unknown target
	is.Equal(entry(d, "t9").Key, TargetKey(""))
}

func TestNoTargetIsGoneWhileStoreIsUnreachable(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.StoreLost()
	d.RemoveTarget(time.Second, time.Second, "t1") // received from another host
	is.Equal(len(d.Sweep(time.Hour, time.Hour)), 0)
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
	d.RemoveTarget(0, 0, "t1")
	d.Sweep(59*time.Second, 59*time.Second)
	is.True(entry(d, "t1").Gone)
	d.Sweep(60*time.Second, 60*time.Second)
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

// Guards against a target that has left, or is about to, getting new flows again
// because the store was restored from a copy that is older. What a newer incarnation
// wrote is never older.
func TestKeepsTargetThatIsNewerThanACopy(t *testing.T) {
	draining, later := target("t1", 2), target("t1", 5)
	draining.Draining = true
	restarted := target("t1", 1)
	restarted.Started = 2
	cases := []struct {
		name   string
		act    func(d *Directory)
		copied Target
		want   bool
	}{
		{"unknown", func(*Directory) {}, target("t9", 1), false},
		{"as known", func(*Directory) {}, target("t1", 1), false},
		{"later heartbeat", func(*Directory) {}, target("t1", 3), false},
		{"gone", func(d *Directory) { d.RemoveTarget(0, 0, "t1") }, target("t1", 3), true},
		{"gone, restarted", func(d *Directory) { d.RemoveTarget(0, 0, "t1") }, restarted, false},
		{"draining", func(d *Directory) { d.PutTarget(0, draining) }, target("t1", 3), true},
		{"draining, in the copy too", func(d *Directory) { d.PutTarget(0, draining) }, draining, false},
		{"draining, restarted", func(d *Directory) { d.PutTarget(0, draining) }, restarted, false},
		{"earlier heartbeat", func(d *Directory) { d.PutTarget(0, later) }, target("t1", 4), true},
		{"earlier incarnation", func(d *Directory) { d.PutTarget(0, restarted) }, target("t1", 9), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newReadyDirectory()
			c.act(d)
			is.New(t).Equal(d.KeepsTarget(c.copied), c.want)
		})
	}
}

// Guards against flows of living targets being reset because a copy of the store
// lacks targets that joined after it: they write their entries again.
func TestTargetsMissingFromACopyAreKept(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.ExpectRewrites(10 * time.Second)
	d.RemoveTarget(10*time.Second, 10*time.Second, "t1")
	d.RemoveTarget(10*time.Second, 10*time.Second, "t2")
	is.True(entry(d, "t1").Missing && !entry(d, "t1").Gone)
	is.Equal(d.PutTarget(11*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.Sweep(12500*time.Millisecond, 12500*time.Millisecond), []TargetKey{"t2"})
}

// Guards against targets that count as gone during an outage because changes came
// late through another host.
func TestExpectedRewritesDoNotEndAnOutage(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.StoreLost()
	d.ExpectRewrites(time.Second)
	d.RemoveTarget(time.Second, time.Second, "t1")
	is.Equal(len(d.Sweep(time.Hour, time.Hour)), 0)
	is.True(entry(d, "t1").Missing)
	is.True(d.StoreRegained(2 * time.Hour))
	is.Equal(d.Sweep(3*time.Hour, 3*time.Hour), []TargetKey{"t1"})
}

// Guards against a target that counts as gone because its removal is read long after
// the store is reachable again, while its new entry stands further on in the history.
func TestGraceCountsByWhatWasRead(t *testing.T) {
	is := is.New(t)
	d := newReadyDirectory()
	d.StoreLost()
	d.StoreRegained(10 * time.Second)
	is.Equal(d.RemoveTarget(14*time.Second, 4*time.Second, "t1"), RemovalMissing)
	is.Equal(len(d.Sweep(20*time.Second, 16*time.Second)), 0) // not read yet what it wrote until 16.5 s
	is.Equal(d.PutTarget(20*time.Second, target("t1", 2)), ChangeReturned)
	is.Equal(d.RemoveTarget(21*time.Second, 12499*time.Millisecond, "t2"), RemovalMissing)
	is.Equal(d.Sweep(24*time.Second, 23500*time.Millisecond), []TargetKey{"t2"})
	is.Equal(d.RemoveTarget(30*time.Second, 12500*time.Millisecond, "t1"), RemovalGone)
}
