package documents

import (
	"net/netip"
	"slices"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/hostlist"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// WithLeaving returns a copy of the services in which the targets whose tunnel
// ends at a host that the platform lists as leaving are draining.
func WithLeaving(services []document.Service, list hostlist.List) []document.Service {
	leaving := map[netip.Addr]bool{}
	for _, h := range list.Hosts {
		if h.State == hostlist.Leaving {
			leaving[h.Address.Unmap()] = true
		}
	}
	out := slices.Clone(services)
	for i := range out {
		out[i].Targets = slices.Clone(out[i].Targets)
		for k := range out[i].Targets {
			target := &out[i].Targets[k]
			if leaving[target.Tunnel.Addr()] {
				target.State = document.TargetDraining
			}
		}
	}
	return out
}

// EntryHosts returns the live entry hosts of the platform's list: those that run
// this load balancer. Their incarnations are unknown and left 0.
func EntryHosts(list hostlist.List) []peer.Host {
	var hosts []peer.Host
	for _, h := range list.Hosts {
		if h.Control != "" && h.State == hostlist.Live {
			hosts = append(hosts, peer.Host{Name: h.Name, Zone: h.Zone, Relay: h.Relay, Control: h.Control})
		}
	}
	return hosts
}

// LeavingHosts returns the hosts that the list has as leaving.
func LeavingHosts(list hostlist.List) []hostlist.Host {
	var leaving []hostlist.Host
	for _, h := range list.Hosts {
		if h.State == hostlist.Leaving {
			leaving = append(leaving, h)
		}
	}
	return leaving
}

// KeepLeaving returns a list that may be an older copy, with hosts that are known to
// be leaving.
func KeepLeaving(list hostlist.List, leaving []hostlist.Host) hostlist.List {
	known := map[string]bool{}
	for _, h := range leaving {
		known[h.Name] = true
	}
	kept := slices.Clone(leaving)
	for _, h := range list.Hosts {
		if !known[h.Name] {
			kept = append(kept, h)
		}
	}
	return hostlist.List{Hosts: kept}
}
