package steering

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	// fleetHosts is the number of hosts of a zone. One host knows all loads of its zone at
	// once; with more of them, old loads would decide the result, not the choice of the
	// zone. reportedHosts is the number that makes a zone a large one.
	fleetHosts    = 1
	reportedHosts = 12
	fleetTargets  = 40
	// summaryDelay is the time of a summary from reader to reader.
	summaryDelay = 2 * time.Millisecond
)

// fleetReplay simulates several large zones with common targets in virtual time. The
// first live host of a zone is its reader.
type fleetReplay struct {
	t       *testing.T
	zones   []*fleetZone
	servers map[fleet.TargetKey]*zoneServer
	// cut reports whether nothing passes from one zone to another; it may be nil.
	cut func(from, to string) bool
	// offers holds the sums of the offers of each zone's summaries, with their times.
	offers map[string][]fleetOffer
	// check is set if the requests sent to each zone are compared with its offers.
	check bool
	// until is when the load ends.
	until time.Duration
}

type fleetOffer struct {
	at    time.Duration
	offer int
}

// fleetZone is one zone of a fleetReplay. The hosts, callers and requests of each are
// those of a zoneReplay; the queue of events is handled for all together.
type fleetZone struct {
	*zoneReplay
	name   string
	reader *crosszone.Reader
	table  crosszone.Table
	// digests holds the summaries in the digests so far.
	digests crosszone.Table
	// readerAway is set while no host is the reader.
	readerAway  bool
	incarnation int64
	// received is the number of requests in progress of other zones' callers, averaged
	// over a second.
	received float64
	// share and demand count the turns of the share sent away and of the reported demand
	// per slot.
	share, demanded turns
}

// turns counts how often a value changes direction by more than minTurn.
type turns struct {
	extreme float64
	rising  bool
	n       int
}

// minTurn is a little more than the random variations of offers and demand.
const minTurn = 0.06

// add counts a turn if the value has changed direction.
func (c *turns) add(v float64) {
	switch {
	case c.rising == (v > c.extreme):
		c.extreme = v
	case math.Abs(v-c.extreme) > minTurn:
		c.rising, c.extreme = !c.rising, v
		c.n++
	}
}

// newFleetReplay returns zones with fleetHosts hosts and fleetTargets targets each.
func newFleetReplay(t *testing.T, seed uint64, enabled bool, names ...string) *fleetReplay {
	f := &fleetReplay{t: t, servers: map[fleet.TargetKey]*zoneServer{}, offers: map[string][]fleetOffer{}}
	for i, name := range names {
		z := &fleetZone{name: name, reader: crosszone.NewReader(name), incarnation: 1}
		z.zoneReplay = &zoneReplay{t: t, rng: rand.New(rand.NewPCG(seed, uint64(i)+20)), servers: f.servers, dead: make([]bool, fleetHosts)}
		z.work = func() time.Duration { return z.logNormal(zoneWork, zoneWorkSpread) }
		z.route = func() packet.Endpoint { return feeds }
		z.flows = i << 24 // callers of different zones differ
		for range fleetHosts {
			w := newFixture(t)
			w.Steering = New(Config{Zone: name, Balancing: Balancing{CrossZone: enabled}})
			w.view.Targets = nil
			for _, zone := range names {
				for n := range fleetTargets {
					f.addTarget(w, fmt.Sprintf("%s%d", zone, n), zone)
				}
			}
			w.apply()
			z.hosts = append(z.hosts, w)
		}
		z.at(time.Duration(z.rng.IntN(200))*time.Millisecond, func() { f.exchange(z) })
		f.zones = append(f.zones, z)
	}
	return f
}

func (f *fleetReplay) addTarget(w *fixture, key, zone string) {
	w.add(key, "book", zone)
	w.entry(fleet.TargetKey(key)).Slots = zoneSlots
	if f.servers[fleet.TargetKey(key)] == nil {
		f.servers[fleet.TargetKey(key)] = &zoneServer{slots: zoneSlots}
	}
}

// changeViews changes the view of each host.
func (f *fleetReplay) changeViews(change func(w *fixture)) {
	for _, z := range f.zones {
		for _, w := range z.hosts {
			w.now = z.now
			change(w)
			w.apply()
		}
	}
}

// run handles the events of all zones up to a time.
func (f *fleetReplay) run(until time.Duration) {
	for {
		var next *fleetZone
		for _, z := range f.zones {
			if len(z.queue) > 0 && (next == nil || z.queue[0].at < next.queue[0].at) {
				next = z
			}
		}
		if next == nil || next.queue[0].at > until {
			return
		}
		e := heap.Pop(&next.queue).(event)
		for _, z := range f.zones {
			z.now = e.at
		}
		e.do()
	}
}

// demand lets requests of a zone's callers arrive at a share of the zone's slots.
func (z *fleetZone) demand(from, to time.Duration, share func(time.Duration) float64) {
	mean := float64(zoneWork) / float64(fleetTargets*zoneSlots)
	for at := from; at < to; at += time.Duration(z.rng.ExpFloat64() * mean / share(at)) {
		z.at(at, func() { z.request(&zoneRequest{due: at}) })
	}
}

// exchange gives each host of a zone the loads of the last exchange, and lets the
// reader send its summaries.
func (f *fleetReplay) exchange(z *fleetZone) {
	z.shareReports(func(_ int, l *PeerLoads) {
		l.Hosts, l.Zones, l.At = max(l.Hosts, reportedHosts), z.digests.Zones(z.now), z.now
	})
	reader := z.hosts[z.live()[0]]
	z.at(z.now+reportInterval, func() { f.exchange(z) })
	if !z.readerAway {
		f.readerRound(z, reader)
	}
	if plans := reader.ServicePlans(); len(plans) > 0 && z.now > 4*time.Second && z.now < f.until {
		z.share.add(plans[0].Share)
		z.demanded.add(float64(plans[0].Demand) / (fleetTargets * zoneSlots))
	}
	f.checkReceived(z)
}

// checkReceived compares what other zones have in progress at a zone with its offers
// of the last second; they may exceed these by the steps of one round.
func (f *fleetReplay) checkReceived(z *fleetZone) {
	sent, demand := 0, 0
	for _, other := range f.zones {
		if other == z {
			continue
		}
		for _, l := range other.hosts[0].ZoneLoads(z.now) {
			demand += l.Busy
			if l.Zone == z.name {
				sent += l.Busy
			}
		}
	}
	z.received += 0.2 * (float64(sent) - z.received)
	offer := 0
	for _, o := range f.offers[z.name] {
		if o.at >= z.now-time.Second {
			offer = max(offer, o.offer)
		}
	}
	if f.check && z.now > 4*time.Second && z.now < f.until && z.received > float64(offer)+0.1*float64(demand) {
		f.t.Errorf("%v: zone %s has %.1f requests of others, offers %d; their demand is %d", z.now, z.name, z.received, offer, demand)
	}
}

func (f *fleetReplay) readerRound(z *fleetZone, reader *fixture) {
	if z.reader.Round(z.now, true, reader.ZoneLoads(z.now)) {
		zones, sequence, offer := z.table.Zones(z.now), z.reader.Sequence(), 0
		for _, other := range f.zones {
			if other == z {
				continue
			}
			services := z.reader.For(other.name, zones)
			for _, s := range services {
				offer += s.Offer
			}
			if f.cut != nil && f.cut(z.name, other.name) {
				continue
			}
			sender := crosszone.Sender{Name: fmt.Sprint(z.name, z.incarnation), Incarnation: z.incarnation, Sequence: sequence}
			other.at(z.now+summaryDelay, func() { other.table.Put(other.now, z.name, sender, services) })
		}
		f.offers[z.name] = append(f.offers[z.name], fleetOffer{z.now, offer})
		z.table.PutRelayed(z.now, 0, z.name, z.reader.Own(zones))
	}
	for _, changed := range z.table.TakeChanged(z.now) {
		z.digests.PutRelayed(z.now, z.now-changed.At, changed.Name, changed.Services)
	}
}

// replaceReader lets the reader of a zone fail at a time; another one acts from 0.7 s
// later on.
func (f *fleetReplay) replaceReader(z *fleetZone, at time.Duration) {
	z.at(at, func() { z.readerAway = true })
	z.at(at+700*time.Millisecond, func() {
		z.readerAway, z.reader, z.table = false, crosszone.NewReader(z.name), z.digests
		z.incarnation++
	})
}

func (f *fleetReplay) zone(name string) *fleetZone {
	return f.zones[slices.IndexFunc(f.zones, func(z *fleetZone) bool { return z.name == name })]
}

func fleetWave(mean, swing float64, period, phase time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		return mean * (1 + swing*math.Sin(2*math.Pi*(now+phase).Seconds()/period.Seconds()))
	}
}

// fleetPattern is a load pattern of the requirements page.
type fleetPattern struct {
	name  string
	until time.Duration
	// load starts the requests and events.
	load func(f *fleetReplay, until time.Duration)
	// unbounded is set if a zone cannot queue, so that its flows go to others that offer
	// nothing.
	unbounded bool
	// waves is set if the demand of the zones are waves.
	waves bool
}

var fleetPatterns = []fleetPattern{
	{"one zone at 1.5 of its slots, one full", 12 * time.Second, func(f *fleetReplay, until time.Duration) {
		f.zone("a").demand(0, until, constant(1.5))
		f.zone("b").demand(0, until, constant(0.9))
		f.zone("c").demand(0, until, constant(0.2))
	}, false, false},
	{"two zones full, one idle", 12 * time.Second, func(f *fleetReplay, until time.Duration) {
		f.zone("a").demand(0, until, constant(1.15))
		f.zone("b").demand(0, until, constant(1.1))
		f.zone("c").demand(0, until, constant(0.3))
	}, false, false},
	{"waves out of phase, swing 0.15", 60 * time.Second, func(f *fleetReplay, until time.Duration) {
		f.zone("a").demand(0, until, fleetWave(0.85, 0.15, 11*time.Second, 0))
		f.zone("b").demand(0, until, fleetWave(0.7, 0.15, 11*time.Second, 5*time.Second))
		f.zone("c").demand(0, until, fleetWave(0.6, 0.15, 17*time.Second, 3*time.Second))
	}, false, true},
	{"waves out of phase, swing 0.55", 60 * time.Second, func(f *fleetReplay, until time.Duration) {
		f.zone("a").demand(0, until, fleetWave(0.8, 0.55, 11*time.Second, 0))
		f.zone("b").demand(0, until, fleetWave(0.65, 0.55, 11*time.Second, 5*time.Second))
		f.zone("c").demand(0, until, fleetWave(0.55, 0.55, 17*time.Second, 3*time.Second))
	}, false, true},
	{"a zone loses a fifth of its targets", 16 * time.Second, func(f *fleetReplay, until time.Duration) {
		for _, z := range f.zones {
			z.demand(0, until, constant(0.75))
		}
		f.zone("a").at(6*time.Second, func() {
			f.changeViews(func(w *fixture) {
				for n := range fleetTargets / 5 {
					w.entry(fleet.TargetKey(fmt.Sprintf("a%d", n))).Draining = true
				}
			})
		})
	}, false, false},
	{"callers move between zones", 16 * time.Second, func(f *fleetReplay, until time.Duration) {
		move := func(before, after float64) func(time.Duration) float64 {
			return func(now time.Duration) float64 {
				if now < 6*time.Second {
					return before
				}
				return after
			}
		}
		f.zone("a").demand(0, until, move(0.6, 1.3))
		f.zone("b").demand(0, until, move(1.3, 0.6))
		f.zone("c").demand(0, until, constant(0.6))
	}, false, false},
	{"a zone is evacuated at full load", 16 * time.Second, func(f *fleetReplay, until time.Duration) {
		for _, z := range f.zones {
			z.demand(0, until, constant(0.6))
		}
		f.zone("a").at(6*time.Second, func() {
			f.changeViews(func(w *fixture) { w.view.ZonesOut = map[string]bool{"a": true} })
		})
	}, true, false},
	{"targets are replaced at the peak of a wave", 16 * time.Second, func(f *fleetReplay, until time.Duration) {
		f.zone("a").demand(0, until, fleetWave(0.7, 0.3, 11*time.Second, 0))
		f.zone("b").demand(0, until, fleetWave(0.5, 0.3, 11*time.Second, 5*time.Second))
		f.zone("c").demand(0, until, fleetWave(0.5, 0.3, 17*time.Second, 5*time.Second))
		for n := range fleetTargets / 4 {
			// One after the other drains, and its successor is cold for three seconds.
			f.zone("a").at(12*time.Second+time.Duration(n)*100*time.Millisecond, func() {
				f.changeViews(func(w *fixture) {
					w.entry(fleet.TargetKey(fmt.Sprintf("a%d", n))).Draining = true
					f.addTarget(w, fmt.Sprintf("a%d", fleetTargets+n), "a")
					w.entry(fleet.TargetKey(fmt.Sprintf("a%d", fleetTargets+n))).ColdUntil = w.now + 3*time.Second
				})
			})
		}
	}, false, false},
	{"the reader of a full zone is replaced", 14 * time.Second, func(f *fleetReplay, until time.Duration) {
		f.zone("a").demand(0, until, constant(1.3))
		f.zone("b").demand(0, until, constant(0.9))
		f.zone("c").demand(0, until, constant(0.35))
		f.replaceReader(f.zone("a"), 6*time.Second)
	}, false, false},
}

// In each load pattern, with 0.85 of all slots in use at most, nearly all requests are
// answered in time, targets reject none, and no zone gets more from others than it
// offers and one round's steps. Over waves, the share sent away turns no more often than
// the demand. Guards against zones that keep an excess, overload each other or exchange
// their load back and forth.
func TestCrossZonePatterns(t *testing.T) {
	for _, p := range fleetPatterns {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleetReplay(t, 1, true, "a", "b", "c")
			f.check, f.until = !p.unbounded, p.until
			p.load(f, p.until)
			f.run(p.until + 2*time.Second)
			for _, z := range f.zones {
				list := z.between(4*time.Second, p.until)
				t.Logf("zone %s: in time %.4f, p99 %v, rejected %d, turns of the share %d, of the demand %d", z.name,
					inTime(list), percentile(list, 0.99).Round(time.Millisecond), z.rejected, z.share.n, z.demanded.n)
				is.True(inTime(list) >= 0.995)
				is.Equal(z.rejected, 0)
				is.True(!p.waves || z.share.n <= z.demanded.n)
			}
		})
	}
}
