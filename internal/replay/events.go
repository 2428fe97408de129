package replay

import (
	"slices"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// applyEvent executes an event.
func (sim *simulation) applyEvent(e *Event) {
	switch e.Kind {
	case ZoneOut:
		sim.takeZoneOut(e)
	case ZoneReturn:
		sim.returnZone(e)
	case HostDies, HostLeaves, HostPauses, HostJoins:
		sim.applyHost(e)
	case ZonesCut:
		sim.cutUntil[zonePair{e.Zone, e.OtherZone}] = sim.now + e.For
		if !e.OneWay {
			sim.cutUntil[zonePair{e.OtherZone, e.Zone}] = sim.now + e.For
		}
	case PlatformOut:
		sim.platform.outUntil = sim.now + e.For
	case Rate:
		sim.findService(e.Service).perSecond = e.PerSecond
	default:
		sim.applyTargets(e)
	}
}

func (sim *simulation) applyHost(e *Event) {
	h := sim.findHost(e.Host)
	switch {
	case e.Kind == HostJoins && h != nil && !h.dead:
		// The former process of a planned restart is still running: retry later.
		sim.after(tickInterval, func() { sim.applyHost(e) })
	case e.Kind == HostJoins:
		sim.startHost(e.Host, e.Zone)
	case h == nil:
	case e.Kind == HostDies:
		h.dead = true
		h.withdrawnAt = sim.now + fabricDetectionDelay
	case e.Kind == HostLeaves:
		h.leaving = true
		h.withdrawnAt = sim.now + fabricDetectionDelay
		h.core.Leave(sim.now)
	case e.Kind == HostPauses:
		h.pausedUntil = sim.now + e.For
		h.withdrawnAt = sim.now + fabricDetectionDelay
		sim.after(e.For+fabricDetectionDelay, func() { h.withdrawnAt = 0 })
	}
}

// takeZoneOut takes a zone out. From then on, its targets' flows may be given up.
func (sim *simulation) takeZoneOut(e *Event) {
	z := sim.zones[e.Zone]
	z.out, z.outAt = true, sim.now
	for _, t := range sim.targets {
		if t.zone != e.Zone {
			continue
		}
		for _, c := range t.flows {
			c.zoneOut = true
		}
	}
	sim.publishZones(e.Reach)
}

// returnZone puts a zone back into service and restarts its targets.
func (sim *simulation) returnZone(e *Event) {
	sim.zones[e.Zone].out = false
	for _, t := range sim.targets {
		if t.zone == e.Zone {
			t.restart(sim.now)
		}
	}
	sim.publishZones(e.Reach)
}

// applyTargets executes an event that concerns targets of one service.
func (sim *simulation) applyTargets(e *Event) {
	s := sim.findService(e.Service)
	if e.Kind == TargetsJoin {
		for range e.Count {
			sim.addTarget(s, e.Zone).restart(sim.now)
		}
	}
	for _, t := range s.targets {
		if slices.Contains(e.Targets, t.name) {
			sim.applyTarget(e, t)
		}
	}
	if e.Kind != TargetsCold && e.Kind != TargetsShed {
		sim.publishService(s, e.Reach)
	}
}

func (sim *simulation) applyTarget(e *Event, t *target) {
	switch e.Kind {
	case TargetsDrain:
		t.state, t.drainingSince = document.TargetDraining, sim.now
	case TargetsActivate:
		t.state = document.TargetActive
	case TargetsLeave:
		if !t.removed && t.state == document.TargetActive {
			t.drainingSince = sim.now
		}
		t.removed, t.state = true, document.TargetDraining
	case TargetsWeigh:
		t.weight = e.Weight
	case TargetsCold:
		t.cold, t.coldAt, t.unannounced = true, sim.now, true
	case TargetsShed:
		t.sheddingUntil = sim.now + e.For
	}
}
