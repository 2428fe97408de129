package peers

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// Receivers of summaries in other zones. A host of the other zone may be dead, or of a
// build that does not know summaries, so each summary is sent to two hosts, the second
// of which changes from summary to summary.

// maxSummaryHosts bounds the hosts of a zone that get one summary.
const maxSummaryHosts = 2

// ZoneHosts are hosts of one zone.
type ZoneHosts struct {
	Zone  string
	Hosts []gossip.Host
}

// LeadsLargeZone reports whether this host is the reader of a large zone.
func (p *Peers) LeadsLargeZone() bool { return p.leads && p.large() }

// Large reports whether the zone is a large one.
func (p *Peers) Large() bool { return p.large() }

// IsReader reports whether another host of the zone is the reader whose digests this
// host uses.
func (p *Peers) IsReader(now time.Duration, name string) bool {
	reader := p.reader(now)
	return reader != nil && reader.host.Name == name && !p.leads
}

// SummaryReader returns the reader of this host's zone, to which it forwards the
// summaries of other zones. It reports false if the zone is not a large one, this
// host is the reader, or there is none.
func (p *Peers) SummaryReader(now time.Duration) (gossip.Host, bool) {
	if !p.large() || p.leads {
		return gossip.Host{}, false
	}
	reader := p.reader(now)
	if reader == nil || reader.host.Protocol == 0 {
		return gossip.Host{}, false
	}
	return reader.host, true
}

// SummaryReceivers returns the hosts of each other zone that get a summary: the one
// whose message arrived last, and another one in turn. Of a zone from which no
// message has arrived for peerRetention, one host in turn gets it of those that
// others have named.
func (p *Peers) SummaryReceivers(now time.Duration) []ZoneHosts {
	heard, named := map[string][]gossip.Host{}, map[string][]gossip.Host{}
	var zones []string
	for _, other := range p.recent() {
		zone := other.host.Zone
		if zone == p.self.Zone || other.host.Protocol == 0 || other.leaving {
			continue
		}
		if len(heard[zone]) == 0 && len(named[zone]) == 0 {
			zones = append(zones, zone)
		}
		if other.hasMessage && now < other.lastMessage+peerRetention {
			heard[zone] = append(heard[zone], other.host)
		} else {
			named[zone] = append(named[zone], other.host)
		}
	}
	list := make([]ZoneHosts, 0, len(zones))
	for _, zone := range zones {
		hosts := heard[zone]
		if len(hosts) == 0 {
			hosts = inTurn(named[zone], p.round, 1)
		} else {
			hosts = append(hosts[:1:1], inTurn(hosts[1:], p.round, maxSummaryHosts-1)...)
		}
		list = append(list, ZoneHosts{Zone: zone, Hosts: hosts})
	}
	return list
}

// inTurn returns up to n hosts of a list, others with each turn.
func inTurn(hosts []gossip.Host, turn, n int) []gossip.Host {
	var list []gossip.Host
	for i := range min(n, len(hosts)) {
		list = append(list, hosts[(turn+i)%len(hosts)])
	}
	return list
}
