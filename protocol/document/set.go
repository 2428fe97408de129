package document

import (
	"fmt"
	"net/netip"
)

// Conflict is the reason why two documents that are each valid alone must not be
// in force together. First and Second are their keys.
type Conflict struct {
	First, Second Key
	Reason        string
}

// Error returns the keys and the reason.
func (c Conflict) Error() string {
	return fmt.Sprintf("%s and %s: %s", c.First, c.Second, c.Reason)
}

// CheckSet returns the conflicts between documents that would be in force
// together:
//   - two services with the same address, port and protocol;
//   - a target's tunnel at an address of any service, since the fabric would
//     route the packet back to a balancer;
//   - a tunnel that services of two teams share, since each team's limits
//     would count only its own flows;
//   - a target in a zone that the zones document doesn't name.
//
// In a set without conflicts, no document changes where packets of another
// team's service go.
func CheckSet(services []Service, zones Zones) []Conflict {
	return append(CheckServices(services), zoneConflicts(services, zones)...)
}

// CheckServices returns the conflicts between services alone: all those of
// CheckSet except targets in unknown zones.
func CheckServices(services []Service) []Conflict {
	return append(addressConflicts(services), tunnelConflicts(services)...)
}

func addressConflicts(services []Service) []Conflict {
	var conflicts []Conflict
	owners := map[Address]Key{}
	for _, s := range services {
		key := ServiceKey(s.Name)
		for _, a := range s.Addresses {
			first, taken := owners[a]
			if !taken {
				owners[a] = key
				continue
			}
			if first != key {
				conflicts = append(conflicts, Conflict{first, key, "both have the address " + a.String()})
			}
		}
	}
	return conflicts
}

func tunnelConflicts(services []Service) []Conflict {
	callerAddrs := map[netip.Addr]Key{}
	for _, s := range services {
		for _, a := range s.Addresses {
			callerAddrs[a.AddrPort.Addr()] = ServiceKey(s.Name)
		}
	}
	var conflicts []Conflict
	owners := map[netip.AddrPort]Service{}
	for _, s := range services {
		key := ServiceKey(s.Name)
		for _, t := range s.Targets {
			if other, ok := callerAddrs[t.Tunnel.Addr()]; ok {
				conflicts = append(conflicts, Conflict{other, key, fmt.Sprintf(
					"the tunnel of target %s is at %s, which callers use", t.Name, t.Tunnel.Addr())})
			}
			owner, taken := owners[t.Tunnel]
			if !taken {
				owners[t.Tunnel] = s
				continue
			}
			if owner.Team != s.Team {
				conflicts = append(conflicts, Conflict{ServiceKey(owner.Name), key, fmt.Sprintf(
					"the tunnel %s of target %s belongs to a target of team %s", t.Tunnel, t.Name, owner.Team)})
			}
		}
	}
	return conflicts
}

func zoneConflicts(services []Service, zones Zones) []Conflict {
	known := map[string]bool{}
	for _, z := range zones.Zones {
		known[z.Name] = true
	}
	var conflicts []Conflict
	for _, s := range services {
		for _, t := range s.Targets {
			if !known[t.Zone] {
				conflicts = append(conflicts, Conflict{ZonesKey, ServiceKey(s.Name), fmt.Sprintf(
					"target %s is in zone %s, which the zones document does not name", t.Name, t.Zone)})
			}
		}
	}
	return conflicts
}
