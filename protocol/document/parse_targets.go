package document

import (
	"fmt"
	"net/netip"

	"go.yaml.in/yaml/v3"
)

// targetLines maps the names and tunnels of a document's targets to their lines
// in order to find duplicates.
type targetLines struct {
	names   map[string]int
	tunnels map[netip.AddrPort]int
}

func (p *parser) targets(m mapping) []Target {
	seen := targetLines{names: map[string]int{}, tunnels: map[netip.AddrPort]int{}}
	var targets []Target
	for i, n := range p.list(m, "targets", MaxTargets) {
		item := p.mapping(n, fmt.Sprintf("targets[%d]", i), "name", "zone", "tunnel",
			"weight", "state", "limits", "ramp", "health_url", "load_url")
		t := p.target(item)
		p.checkDuplicates(item, t, &seen)
		targets = append(targets, t)
	}
	return targets
}

func (p *parser) target(m mapping) Target {
	return Target{
		Name:      p.name(m, "name"),
		Zone:      p.name(m, "zone"),
		Tunnel:    p.addrPort(m, "tunnel"),
		Weight:    p.integer(m, "weight", 1, MaxWeight, DefaultWeight),
		State:     p.targetState(m),
		Limits:    p.limits(m),
		Ramp:      p.duration(m, "ramp", MinRamp, MaxRamp, DefaultRamp),
		HealthURL: p.reportURL(m, "health_url"),
		LoadURL:   p.reportURL(m, "load_url"),
	}
}

func (p *parser) checkDuplicates(m mapping, t Target, seen *targetLines) {
	if first, ok := seen.names[t.Name]; ok && t.Name != "" {
		p.errorf(m.lineOf("name"), m.keyPath("name"), "duplicate target %q; first at line %d", t.Name, first)
	} else {
		seen.names[t.Name] = m.lineOf("name")
	}
	if first, ok := seen.tunnels[t.Tunnel]; ok && t.Tunnel.IsValid() {
		p.errorf(m.lineOf("tunnel"), m.keyPath("tunnel"), "duplicate tunnel %s; first at line %d", t.Tunnel, first)
	} else {
		seen.tunnels[t.Tunnel] = m.lineOf("tunnel")
	}
}

func (p *parser) targetState(m mapping) TargetState {
	n := p.scalar(m, "state", "active or draining", "!!str")
	if n == nil {
		return TargetActive
	}
	switch state := TargetState(n.Value); state {
	case TargetActive, TargetDraining:
		return state
	}
	p.errorf(n.Line, m.keyPath("state"), "%q is not active or draining", n.Value)
	return TargetActive
}

func (p *parser) limits(m mapping) Limits {
	n := m.values["limits"]
	if n == nil {
		p.errorf(m.line, m.keyPath("limits"), "missing")
		return Limits{}
	}
	item := p.mapping(n, m.keyPath("limits"), "connections", "openings_in_flight", "openings_per_second")
	if n.Kind != yaml.MappingNode {
		return Limits{}
	}
	for _, key := range []string{"connections", "openings_in_flight", "openings_per_second"} {
		p.required(item, key)
	}
	l := Limits{
		Connections:       p.integer(item, "connections", 1, MaxConnections, 0),
		OpeningsInFlight:  p.integer(item, "openings_in_flight", 1, MaxOpeningsInFlight, 0),
		OpeningsPerSecond: p.integer(item, "openings_per_second", 1, MaxOpeningsPerSecond, 0),
	}
	if l.Connections > 0 && l.OpeningsInFlight > l.Connections {
		p.errorf(item.lineOf("openings_in_flight"), item.keyPath("openings_in_flight"),
			"%d is more than the %d connections", l.OpeningsInFlight, l.Connections)
	}
	return l
}

// checkTunnels rejects a tunnel to an address of the service itself, since the
// fabric would route the packet back to a balancer.
func (p *parser) checkTunnels(m mapping, s Service) {
	serviceAddrs := map[netip.Addr]bool{}
	for _, a := range s.Addresses {
		serviceAddrs[a.AddrPort.Addr()] = true
	}
	for i, t := range s.Targets {
		if !serviceAddrs[t.Tunnel.Addr()] || !t.Tunnel.IsValid() {
			continue
		}
		item := m.values["targets"].Content[i]
		p.errorf(item.Line, fmt.Sprintf("targets[%d].tunnel", i),
			"%s is an address that callers of this service use", t.Tunnel.Addr())
	}
}

func (p *parser) zones(root *yaml.Node) Zones {
	m := p.mapping(root, "", "zones", "generation", "change")
	var z Zones
	z.Generation, z.Change = p.version(m)
	lines := map[string]int{}
	for i, n := range p.list(m, "zones", MaxZones) {
		item := p.mapping(n, fmt.Sprintf("zones[%d]", i), "name", "state")
		zone := Zone{Name: p.name(item, "name"), State: p.zoneState(item)}
		if first, ok := lines[zone.Name]; ok && zone.Name != "" {
			p.errorf(item.lineOf("name"), item.keyPath("name"), "duplicate zone %q; first at line %d", zone.Name, first)
		}
		lines[zone.Name] = item.lineOf("name")
		z.Zones = append(z.Zones, zone)
	}
	return z
}

func (p *parser) zoneState(m mapping) ZoneState {
	p.required(m, "state")
	n := p.scalar(m, "state", "in or out", "!!str")
	if n == nil {
		return ""
	}
	switch state := ZoneState(n.Value); state {
	case ZoneIn, ZoneOut:
		return state
	}
	p.errorf(n.Line, m.keyPath("state"), "%q is not in or out", n.Value)
	return ""
}
