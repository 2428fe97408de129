package crosszone

import (
	"cmp"
	"slices"
	"time"
)

// senderTimeout is how long another sender of a zone is ignored after a summary of
// the current one: more than two summaries later. For a moment a zone may have two
// readers, of which one knows only a part of the zone's load.
const senderTimeout = 2*Interval + Interval/4

// Sender identifies a summary among those of its zone.
type Sender struct {
	Name string
	// Incarnation is the start of the sender's process, Sequence the number of the
	// summary among those of this incarnation.
	Incarnation int64
	Sequence    uint64
}

// Table holds the latest summary of each zone. The pattern that it addresses:
// datagrams are lost, delayed and reordered, and readers are replaced. The zero value
// is empty.
type Table struct {
	zones map[string]entry
}

type entry struct {
	zone   Zone
	sender Sender
	// changed is set until the summary is returned by TakeChanged.
	changed bool
}

// Put records a summary that arrived from a zone's reader. It reports false if the
// summary is out of date, or another reader of the zone is in charge.
func (t *Table) Put(now time.Duration, zone string, from Sender, services []Service) bool {
	old, known := t.zones[zone]
	switch {
	case !known || old.sender.Name == "":
	case old.sender.Name == from.Name:
		if cmp.Or(cmp.Compare(from.Incarnation, old.sender.Incarnation), cmp.Compare(from.Sequence, old.sender.Sequence)) <= 0 {
			return false
		}
	case now < old.zone.At+senderTimeout:
		return false
	}
	t.set(entry{zone: Zone{Name: zone, At: now, Services: services}, sender: from})
	return true
}

// PutRelayed records a summary of a certain age from a digest of the zone's reader,
// which has checked its sender.
func (t *Table) PutRelayed(now, age time.Duration, zone string, services []Service) {
	at := now - max(age, 0)
	if old, known := t.zones[zone]; known && at <= old.zone.At {
		return
	}
	t.set(entry{zone: Zone{Name: zone, At: at, Services: services}})
}

func (t *Table) set(e entry) {
	if t.zones == nil {
		t.zones = map[string]entry{}
	}
	e.changed = true
	t.zones[e.zone.Name] = e
}

// Zones returns the valid summaries, ordered by zone.
func (t *Table) Zones(now time.Duration) []Zone {
	list := make([]Zone, 0, len(t.zones))
	for _, e := range t.zones {
		if e.zone.Valid(now) {
			list = append(list, e.zone)
		}
	}
	return sortZones(list)
}

// TakeChanged returns the valid summaries that were recorded since its last call,
// ordered by zone. A digest carries each summary once, as soon as it has arrived.
func (t *Table) TakeChanged(now time.Duration) []Zone {
	var list []Zone
	for name, e := range t.zones {
		if e.changed && e.zone.Valid(now) {
			list = append(list, e.zone)
		}
		e.changed = false
		t.zones[name] = e
	}
	return sortZones(list)
}

func sortZones(list []Zone) []Zone {
	slices.SortFunc(list, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
