package zonemodel

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// knowledge is what a host has once known; what is older must not replace it.
type knowledge struct {
	version uint64
	// closed holds the incarnations of targets that were gone or drained.
	closed map[fleet.TargetKey]int64
	// zones holds since when a host knows the state of a zone, wasOut the zones that
	// it has known as out.
	zones  map[string]zoneKnowledge
	wasOut map[string]bool
}

type zoneKnowledge struct {
	out bool
	at  time.Time
}

func newKnowledge() knowledge {
	return knowledge{closed: map[fleet.TargetKey]int64{}, zones: map[string]zoneKnowledge{}, wasOut: map[string]bool{}}
}

// usable reports whether new flows may be sent to a target.
func usable(e *fleet.Entry) bool { return !e.Gone && !e.Draining && !e.Missing }

// checkHost checks that a host's view takes nothing back.
func (m *model) checkHost(h *host) {
	v := h.lastView()
	if v == nil {
		return
	}
	k := &h.known
	if v.Config.Version < k.version {
		m.fail("host %d: configuration fell from %d to %d", h.number, k.version, v.Config.Version)
	}
	k.version = v.Config.Version
	for i := range v.Targets {
		m.checkTarget(h, &v.Targets[i])
	}
	for _, zone := range []string{"a", "b", "c"} {
		m.checkZone(h, zone, v.ZonesOut[zone])
	}
}

func (m *model) checkTarget(h *host, e *fleet.Entry) {
	t := m.targets[e.Key]
	closed, wasClosed := h.known.closed[e.Key]
	switch {
	case wasClosed && usable(e) && e.Started <= closed:
		m.fail("host %d: target %s is used again after it has left", h.number, e.Key)
	case e.Gone && !t.left:
		m.fail("host %d: target %s counts as gone but lives", h.number, e.Key)
	}
	if e.Gone || e.Draining {
		h.known.closed[e.Key] = e.Started
	}
}

// checkZone fails if a host had the operator's last word on a zone and holds the
// opposite now. A host that has not known the zone as out can't tell an older copy
// from a new word and may take the zone out.
func (m *model) checkZone(h *host, zone string, out bool) {
	known, ok := h.known.zones[zone]
	truth, since := m.zonesOut[zone], m.zoneSince[zone]
	tells := !out || h.known.wasOut[zone]
	h.known.wasOut[zone] = h.known.wasOut[zone] || out
	if ok && known.out == truth && known.at.After(since) && out != truth && tells {
		m.fail("host %d: zone %s went back to out=%t", h.number, zone, out)
	}
	if !ok || known.out != out {
		h.known.zones[zone] = zoneKnowledge{out: out, at: h.knownAt()}
	}
	if ok && known.out == out && known.at.Before(since) && out == truth {
		h.known.zones[zone] = zoneKnowledge{out: out, at: h.knownAt()}
	}
}

// knownAt returns the time of what a host knows. While the store refuses it, that is
// the age of another host's table: a zone that is out in it may have come back and gone
// out again since.
func (h *host) knownAt() time.Time {
	if h.feed.refuses() {
		return h.start.Add(h.follower.Stats().LastUpdate)
	}
	return time.Now()
}

// checkSettled checks that all hosts know the state of all targets and zones.
func (m *model) checkSettled() {
	for _, h := range m.hosts {
		v := h.lastView()
		if v == nil {
			m.fail("host %d: no view", h.number)
			continue
		}
		if int(v.Config.Version) != m.version {
			m.fail("host %d: configuration %d, want %d", h.number, v.Config.Version, m.version)
		}
		for _, zone := range []string{"a", "b", "c"} {
			if v.ZonesOut[zone] != m.zonesOut[zone] {
				m.fail("host %d: zone %s out=%t, want %t", h.number, zone, v.ZonesOut[zone], m.zonesOut[zone])
			}
		}
		m.checkSettledTargets(h, v)
	}
}

func (m *model) checkSettledTargets(h *host, v *fleet.View) {
	seen := map[fleet.TargetKey]bool{}
	for i := range v.Targets {
		e := &v.Targets[i]
		seen[e.Key] = usable(e)
	}
	for key, t := range m.targets {
		if want := !t.left && !t.draining; seen[key] != want {
			m.fail("host %d: target %s usable=%t, want %t", h.number, key, seen[key], want)
		}
	}
}
