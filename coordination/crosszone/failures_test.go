package crosszone

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// agesOut is the time after which nothing is sent on account of a lost summary: it
// expires, and the hosts have had another round.
const agesOut = Lifetime + 2*roundInterval

// loseBetween loses the messages from one zone to another.
func loseBetween(from, to *modelZone) func(from, to *modelZone) bool {
	return func(f, t *modelZone) bool { return f == from && t == to }
}

// A zone whose summaries do not arrive gets nothing; the others take the excess. Guards
// against flows that are sent to a zone on account of what it once offered.
func TestSummariesOfACutOffZoneAgeOut(t *testing.T) {
	losses := map[string]func(m *zoneModel) func(from, to *modelZone) bool{
		"zone partitioned": func(m *zoneModel) func(from, to *modelZone) bool {
			return func(from, to *modelZone) bool { return from == m.zones[1] || to == m.zones[1] }
		},
		"one way, its summaries are lost": func(m *zoneModel) func(from, to *modelZone) bool {
			return loseBetween(m.zones[1], m.zones[0])
		},
		"one way, it gets no summaries": func(m *zoneModel) func(from, to *modelZone) bool {
			return loseBetween(m.zones[0], m.zones[1])
		},
	}
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(3, constantDemand(120), constantDemand(30), constantDemand(40))
			m.run(8 * time.Second)
			a := m.zones[0]
			is.True(a.share("b") > 0.1)
			m.lost = loss(m)
			m.run(m.now + agesOut + Lifetime) // one way, the other zone has to miss summaries first
			t.Logf("share to b %.3f, to c %.3f", a.share("b"), a.share("c"))
			is.Equal(a.share("b"), 0.0)
			m.run(m.now + 2*time.Second)
			is.True(a.share("c")*120 >= 32) // of an excess of 35
			m.lost = nil
			m.run(m.now + 4*time.Second)
			is.True(a.share("b") > 0.1)
		})
	}
}

// Two zones with an excess do not hear each other, while the third one hears both.
// Guards against zones that each take the whole offer.
func TestZonesThatDoNotHearEachOtherShareAnOffer(t *testing.T) {
	is := is.New(t)
	m := newModel(4, constantDemand(125), constantDemand(45), constantDemand(125))
	a, b, c := m.zones[0], m.zones[1], m.zones[2]
	m.lost = func(from, to *modelZone) bool { return (from == a && to == c) || (from == c && to == a) }
	m.check = func(*modelZone) {
		sent, demand := m.sendersOf(b)
		is.True(sent <= float64(b.offerSince(m.now-3*roundInterval))+maxRise*demand)
	}
	m.run(10 * time.Second)
	sent, _ := m.sendersOf(b)
	t.Logf("sent %.1f of 40", sent)
	is.True(sent >= 35 && sent <= 42)
}

// Guards against flows that are sent to a zone which this host cannot reach, because it
// offers capacity.
func TestUnreachableZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	m := newModel(5, constantDemand(120), constantDemand(30))
	m.run(6 * time.Second)
	a := m.zones[0]
	is.True(a.share("b") > 0.2)
	a.unreachable["b"] = true
	m.run(m.now + roundInterval)
	is.Equal(a.share("b"), 0.0)
}

// A zone's reader is replaced: its successor starts from the reports and from the
// summaries that it got as a host. Meanwhile the shares stay or fall to 0; afterwards
// they are as before. Guards against a successor that offers capacity that is in use.
func TestReaderIsReplaced(t *testing.T) {
	for _, replaced := range []int{0, 1} {
		is := is.New(t)
		m := newModel(6, constantDemand(120), constantDemand(30))
		m.run(8 * time.Second)
		a, z := m.zones[0], m.zones[replaced]
		before := a.share("b")
		z.readerDown = true
		m.run(m.now + 700*time.Millisecond)
		z.readerDown, z.incarnation, z.reader, z.table = false, 2, NewReader(z.name), z.hosts
		m.check = func(*modelZone) { is.True(a.share("b") <= before+0.02) }
		m.run(m.now + 5*time.Second)
		t.Logf("reader of %s: %.3f before, %.3f after", z.name, before, a.share("b"))
		is.True(a.share("b") >= before-0.02)
	}
}

// Guards against a reader that was stalled and sends a summary before the hosts have
// reported again and the packet path has summed the reports.
func TestStalledReaderSendsNothingAtFirst(t *testing.T) {
	is := is.New(t)
	r := NewReader("a")
	loads := []Load{{Service: testService, Zone: "a", Slots: 100, Busy: 50}}
	var sent []time.Duration
	round := func(now time.Duration) {
		if r.Round(now, true, loads) {
			sent = append(sent, now)
		}
	}
	for now := time.Duration(0); now <= 3*time.Second; now += roundInterval {
		round(now)
	}
	is.Equal(sent[0], 600*time.Millisecond)
	is.Equal(sent[1]-sent[0], Interval)
	stalled := len(sent)
	for now := 8 * time.Second; now <= 9*time.Second; now += roundInterval {
		round(now)
	}
	is.Equal(sent[stalled], 8600*time.Millisecond)
	is.True(!r.Round(9200*time.Millisecond, false, loads))
	is.True(!r.Round(9400*time.Millisecond, true, loads)) // the reader again
}

// A summary that was delayed, or that another reader of the zone has sent, does not
// replace a newer one. Guards against two readers whose summaries alternate.
func TestTableOrdersSummaries(t *testing.T) {
	is := is.New(t)
	var table Table
	put := func(at time.Duration, name string, incarnation int64, sequence uint64) bool {
		return table.Put(at, "b", Sender{name, incarnation, sequence}, nil)
	}
	is.True(put(0, "b1", 1, 5))
	is.True(!put(1, "b1", 1, 5))
	is.True(!put(1, "b1", 1, 4))
	is.True(put(1, "b1", 1, 6))
	is.True(put(2, "b1", 2, 1)) // it has restarted
	is.True(!put(3, "b1", 1, 9))
	is.True(!put(Interval, "b2", 9, 9))
	is.True(put(2+senderTimeout, "b2", 1, 1))
	is.Equal(len(table.Zones(Lifetime)), 1)
	is.Equal(len(table.Zones(2+senderTimeout+Lifetime)), 0)
	is.Equal(len(table.TakeChanged(Lifetime)), 1)
	is.Equal(len(table.TakeChanged(Lifetime)), 0)
	table.PutRelayed(time.Second, 900*time.Millisecond, "b", nil) // older than the one known
	is.Equal(len(table.TakeChanged(Lifetime)), 0)
}
