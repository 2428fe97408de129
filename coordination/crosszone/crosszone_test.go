package crosszone

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// minTurn is the smallest change of a share, or of the demand per slot, after which
	// the opposite change counts as a turn.
	minTurn       = 0.03
	roundInterval = 200 * time.Millisecond
	testService   = "book"
)

// zoneModel runs the readers and one host of each of several zones in virtual time.
// Requests in progress follow the demand and the shares at once.
type zoneModel struct {
	rng   *rand.Rand
	now   time.Duration
	zones []*modelZone
	// noise is set if the counts of requests vary as those of Poisson arrivals do.
	noise bool
	// lost reports whether a message from one zone to another is lost; it may be nil.
	lost func(from, to *modelZone) bool
	// maxDelay bounds the delay of messages between zones.
	maxDelay time.Duration
	inbox    []message
	// check is called after each round of a zone.
	check func(z *modelZone)
}

type message struct {
	at       time.Duration
	to       *modelZone
	from     string
	sender   Sender
	services []Service
}

type modelZone struct {
	name   string
	slots  func(now time.Duration) int
	demand func(now time.Duration) float64
	phase  time.Duration
	reader *Reader
	// incarnation is that of the reader; readerDown is set while there is none.
	incarnation int64
	readerDown  bool
	table       Table
	// hosts is what the zone's hosts got of the table by digests.
	hosts Table
	host  *Shares
	// unreachable holds zones that the zone's hosts cannot send flows to.
	unreachable map[string]bool
	// offers holds the sums of the offers in the zone's summaries.
	offers []sentOffer
	// turns counts the changes of direction of the share, demandTurns of the demand.
	turns, demandTurns turnCounter
}

type sentOffer struct {
	at    time.Duration
	offer int
}

// turnCounter counts how often a value changes direction by more than a tolerance.
type turnCounter struct {
	tolerance, extreme float64
	direction          int
	turns              int
	started            bool
}

func (c *turnCounter) add(v float64) {
	if !c.started {
		c.started, c.extreme = true, v
		return
	}
	switch {
	case c.direction >= 0 && v > c.extreme, c.direction <= 0 && v < c.extreme:
		if c.direction == 0 && math.Abs(v-c.extreme) <= c.tolerance {
			return
		}
		if c.direction == 0 {
			c.direction = cmp.Compare(v, c.extreme)
		}
		c.extreme = v
	case math.Abs(v-c.extreme) > c.tolerance:
		c.direction, c.extreme = -c.direction, v
		c.turns++
	}
}

func constantDemand(d float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return d }
}

func constantSlots(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// newModel returns a model of zones with 100 slots and the given demands.
func newModel(seed uint64, demands ...func(time.Duration) float64) *zoneModel {
	m := &zoneModel{rng: rand.New(rand.NewPCG(seed, 7)), maxDelay: 2 * time.Millisecond}
	for i, d := range demands {
		name := string(rune('a' + i))
		m.zones = append(m.zones, &modelZone{
			name: name, slots: constantSlots(100), demand: d, phase: time.Duration(m.rng.Int64N(int64(roundInterval/time.Millisecond))) * time.Millisecond,
			reader: NewReader(name), incarnation: 1, host: NewShares(name), unreachable: map[string]bool{},
		})
	}
	return m
}

// share returns the share of a zone's flows that goes to another one.
func (z *modelZone) share(to string) float64 {
	p := z.host.Plan(ID(testService))
	if p == nil {
		return 0
	}
	for _, d := range p.Destinations {
		if d.Zone == to {
			return d.Share
		}
	}
	return 0
}

// reportedDemand returns the demand that the zone's hosts know, which has the
// variations of the counts of requests.
func (z *modelZone) reportedDemand() float64 {
	if p := z.host.Plan(ID(testService)); p != nil {
		return float64(p.Demand)
	}
	return 0
}

// away returns the share of a zone's flows that goes to other zones.
func (z *modelZone) away() float64 {
	if p := z.host.Plan(ID(testService)); p != nil {
		return p.Share
	}
	return 0
}

// sent returns the mean requests in progress of a zone's callers at another zone.
func (z *modelZone) sent(now time.Duration, to string) float64 { return z.share(to) * z.demand(now) }

func (m *zoneModel) count(mean float64) int {
	if m.noise {
		mean += math.Sqrt(mean) * m.rng.NormFloat64()
	}
	return max(int(math.Round(mean)), 0)
}

func (m *zoneModel) run(until time.Duration) {
	for ; m.now < until; m.now += time.Millisecond {
		m.inbox = slices.DeleteFunc(m.inbox, func(d message) bool {
			if m.now < d.at {
				return false
			}
			if !d.to.readerDown {
				d.to.table.Put(m.now, d.from, d.sender, d.services)
			}
			return true
		})
		for _, z := range m.zones {
			if (m.now+z.phase)%roundInterval == 0 {
				m.round(z)
			}
		}
	}
}

func (m *zoneModel) round(z *modelZone) {
	z.host.Update(m.now, z.hosts.Zones(m.now), func(zone string) bool { return !z.unreachable[zone] })
	if !z.readerDown {
		m.readerRound(z)
	}
	if m.check != nil {
		m.check(z)
	}
}

func (m *zoneModel) readerRound(z *modelZone) {
	demand := z.demand(m.now)
	var loads []Load
	for _, other := range m.zones {
		l := Load{Service: testService, Zone: other.name}
		if other == z {
			l.Slots, l.Busy = z.slots(m.now), m.count(demand*(1-z.away()))
		} else {
			l.Busy = m.count(demand * z.share(other.name))
		}
		loads = append(loads, l)
	}
	if z.reader.Round(m.now, true, loads) {
		m.sendSummaries(z)
	}
	for _, changed := range z.table.TakeChanged(m.now) {
		z.hosts.PutRelayed(m.now, m.now-changed.At, changed.Name, changed.Services)
	}
}

func (m *zoneModel) sendSummaries(z *modelZone) {
	zones := z.table.Zones(m.now)
	offer := 0
	for _, other := range m.zones {
		if other == z {
			continue
		}
		services := z.reader.For(other.name, zones)
		for _, s := range services {
			offer += s.Offer
		}
		if m.lost != nil && m.lost(z, other) {
			continue
		}
		m.inbox = append(m.inbox, message{
			at: m.now + time.Duration(m.rng.Int64N(int64(m.maxDelay))), to: other, from: z.name, services: services,
			sender: Sender{Name: fmt.Sprintf("%s%d", z.name, z.incarnation), Incarnation: z.incarnation, Sequence: z.reader.Sequence()},
		})
	}
	z.table.PutRelayed(m.now, 0, z.name, z.reader.Own(zones))
	z.offers = append(z.offers, sentOffer{m.now, offer})
}

// offerSince returns the largest offer of a zone to all others together that was in
// force since a time.
func (z *modelZone) offerSince(since time.Duration) int {
	largest := 0
	for i := len(z.offers) - 1; i >= 0; i-- {
		largest = max(largest, z.offers[i].offer)
		if z.offers[i].at <= since {
			break
		}
	}
	return largest
}

// countTurns counts the turns of shares and demands in each round from a time on.
func (m *zoneModel) countTurns(from time.Duration) {
	for _, z := range m.zones {
		z.turns.tolerance, z.demandTurns.tolerance = minTurn, minTurn
	}
	m.check = func(z *modelZone) {
		if m.now >= from {
			z.turns.add(z.away())
			z.demandTurns.add(z.reportedDemand() / 100)
		}
	}
}

func wave(mean, swing float64, period, phase time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		return 100 * mean * (1 + swing*math.Sin(2*math.Pi*(now+phase).Seconds()/period.Seconds()))
	}
}

// Guards against an excess that stays in its zone while others are idle, and against
// zones that send more than they need to.
func TestExcessGoesToZonesWithSpareCapacity(t *testing.T) {
	is := is.New(t)
	m := newModel(1, constantDemand(120), constantDemand(30), constantDemand(60))
	m.run(8 * time.Second)
	a := m.zones[0]
	t.Logf("to b %.3f, to c %.3f", a.share("b"), a.share("c"))
	is.True(math.Abs(a.away()*120-35) <= 2)
	is.True(math.Abs(a.share("b")/a.share("c")-55.0/25) <= 0.2) // in proportion to the spare capacity
	is.Equal(m.zones[1].away(), 0.0)
	is.Equal(m.zones[2].away(), 0.0)
}

// Guards against two full zones that both fill the same third one.
func TestSpareCapacityIsDividedByExcess(t *testing.T) {
	is := is.New(t)
	m := newModel(1, constantDemand(125), constantDemand(105), constantDemand(55))
	m.run(10 * time.Second)
	a, b := m.zones[0].sent(m.now, "c"), m.zones[1].sent(m.now, "c")
	t.Logf("from a %.1f, from b %.1f of 30", a, b)
	is.True(a+b <= 31)
	is.True(a+b >= 26)
	is.True(math.Abs(a/b-2) <= 0.3)
}

// Guards against a share that changes faster than zones can follow, and against flows
// that are sent away below the utilization limit, also when all requests wait in queues
// elsewhere.
func TestShareMovesInSteps(t *testing.T) {
	is := is.New(t)
	demand := func(now time.Duration) float64 {
		switch {
		case now < 5*time.Second:
			return 84
		case now < 15*time.Second:
			return 140
		case now < 20*time.Second:
			return 100
		}
		return 80
	}
	m := newModel(2, demand, constantDemand(20))
	last := 0.0
	m.check = func(z *modelZone) {
		if z != m.zones[0] {
			return
		}
		is.True(z.away()-last <= 0.1+1e-9)
		is.True(last-z.away() <= 0.05+1e-9 || m.now > 20*time.Second)
		is.True(m.now >= 5*time.Second || z.away() == 0)
		is.True(m.now < 23*time.Second || z.away() == 0)
		last = z.away()
	}
	m.run(14 * time.Second)
	is.True(m.zones[0].away() > 0.35)
	m.run(30 * time.Second)
}

// Guards against shares that oscillate: over 60 s of waves out of phase, the share
// sent away turns no more often than the demand of the zone does.
func TestSharesDoNotOscillate(t *testing.T) {
	for _, swing := range []float64{0.15, 0.55} {
		for _, noise := range []bool{false, true} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("%v/%v/%d", swing, noise, seed), func(t *testing.T) {
					m := newModel(seed, wave(0.8, swing, 11*time.Second, 0), wave(0.7, swing, 11*time.Second, 4*time.Second),
						wave(0.7, swing, 17*time.Second, 7*time.Second))
					m.noise = noise
					m.countTurns(3 * time.Second)
					m.run(63 * time.Second)
					for _, z := range m.zones {
						t.Logf("zone %s: share turns %d, demand turns %d", z.name, z.turns.turns, z.demandTurns.turns)
						is.New(t).True(z.turns.turns <= z.demandTurns.turns)
					}
				})
			}
		}
	}
}

// sendersOf returns the requests in progress of all other zones' callers at a zone,
// and the demand of these zones.
func (m *zoneModel) sendersOf(w *modelZone) (sent, demand float64) {
	for _, z := range m.zones {
		if z != w {
			sent += z.sent(m.now, w.name)
			if z.share(w.name) > 0 {
				demand += z.demand(m.now)
			}
		}
	}
	return sent, demand
}

// randomSteps returns a demand that changes at random every one to four seconds.
func randomSteps(rng *rand.Rand, until time.Duration) func(time.Duration) float64 {
	var ends []time.Duration
	var values []float64
	for at := time.Duration(0); at < until; {
		at += time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
		ends, values = append(ends, at), append(values, 20+130*rng.Float64())
	}
	return func(now time.Duration) float64 {
		i, _ := slices.BinarySearch(ends, now)
		return values[min(i, len(values)-1)]
	}
}

// The requests sent to a zone exceed what it offers by at most one round's worth: the
// steps of the share of one round, on the offers of the summaries that are in force.
// Guards against zones that overload another one together, in any history of demand,
// of lost slots and of lost, delayed and reordered summaries.
func TestSentStaysWithinOffers(t *testing.T) {
	const until = 60 * time.Second
	worst := 0.0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var demands []func(time.Duration) float64
		for range 2 + seed%5 {
			demands = append(demands, randomSteps(rng, until))
		}
		m := newModel(seed, demands...)
		m.noise = seed%2 == 0
		inForce := 3 * roundInterval // sent, put into a digest and used
		if seed%3 == 0 {
			m.maxDelay = 600 * time.Millisecond
			m.lost = func(_, _ *modelZone) bool { return rng.Float64() < 0.2 }
			inForce = Lifetime + 2*roundInterval + m.maxDelay
		}
		for _, z := range m.zones {
			lost := randomSteps(rng, until)
			z.slots = func(now time.Duration) int { return 100 - int(lost(now)/5) }
		}
		m.check = func(*modelZone) {
			for _, w := range m.zones {
				sent, demand := m.sendersOf(w)
				over := sent - float64(w.offerSince(m.now-inForce))
				if demand > 0 {
					worst = max(worst, over/demand)
				}
				if over > 0.1*demand+1 {
					t.Errorf("seed %d at %v: zone %s gets %.1f, offers %d; demand of the senders %.1f",
						seed, m.now, w.name, sent, w.offerSince(m.now-inForce), demand)
				}
			}
		}
		m.run(until)
	}
	t.Logf("largest excess over the offers: %.3f of the senders' demand", worst)
}

// Guards against shares that follow random variations of the counts of requests while
// the demand does not change.
func TestSharesIgnoreRandomVariations(t *testing.T) {
	for _, demand := range []float64{87, 110} {
		for seed := range uint64(5) {
			m := newModel(seed, constantDemand(demand), constantDemand(30))
			m.noise = true
			var shares turnCounter
			shares.tolerance = 0.001
			m.check = func(z *modelZone) {
				if z == m.zones[0] && m.now > 5*time.Second {
					shares.add(z.away())
				}
			}
			m.run(65 * time.Second)
			t.Logf("demand %.0f, seed %d: %d turns", demand, seed, shares.turns)
			is.New(t).True(shares.turns <= 25)
		}
	}
}

// Guards against requests that a zone counts twice or not at all: what the receiver has
// in progress there is known to the receiver, what third zones have is not.
func TestSummaryContents(t *testing.T) {
	is := is.New(t)
	id := ID(testService)
	s := NewSummarizer("a")
	s.Update([]Load{
		{Service: testService, Zone: "a", Slots: 100, Busy: 40},
		{Service: testService, Zone: "b", Busy: 6},
		{Service: testService, Zone: "c", Busy: 4},
		{Service: "idle", Zone: "a", Slots: 50},
	})
	others := []Zone{
		{Name: "b", Services: []Service{{ID: id, Slots: 100, Demand: 20, Sent: 7}}},
		{Name: "c", Services: []Service{{ID: id, Slots: 10, Demand: 20, Sent: 9}, {ID: ID("elsewhere"), Demand: 5}}},
	}
	// 35 requests are spare; the excess is 0 of b and 11.5 of c, each plus one request.
	is.Equal(s.For("b", others), []Service{{ID: id, Slots: 100, Busy: 49, Demand: 50, Offer: 2, Sent: 6}})
	is.Equal(s.For("c", others), []Service{{ID: id, Slots: 100, Busy: 47, Demand: 50, Offer: 32, Sent: 4}})
	is.Equal(s.Own(others), []Service{{ID: id, Slots: 100, Busy: 56, Demand: 50, Offer: 35}})
	// A service without traffic here is offered to a zone that has some.
	others[1].Services[1].ID = ID("idle")
	is.Equal(len(s.For("c", others)), 2)
	// What is lost is not offered; demand follows in steps.
	s.Update([]Load{{Service: testService, Zone: "a", Slots: 60, Busy: 40}, {Service: testService, Zone: "c", Busy: 14}})
	is.Equal(s.Own(nil), []Service{{ID: id, Slots: 60, Busy: 40, Demand: 51, Offer: 0}})
	// Requests in queues count up to half of the slots.
	for range 40 {
		s.Update([]Load{{Service: testService, Zone: "a", Slots: 60, Busy: 180}})
	}
	is.Equal(s.Own(nil)[0].Demand, 90)
}
