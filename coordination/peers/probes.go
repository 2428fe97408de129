package peers

import (
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// Probes of other zones. The failure they answer: an availability zone loses power
// and its callers are sent to hosts of other zones, which have seen nothing of its
// targets and would learn of their death flow by flow. Hosts that read the store
// for their zone therefore probe a few hosts of each other zone in every round. In
// a large zone the reader tells the others in its digests.

const (
	// probesPerZone is the number of hosts of a zone that get a probe in one round.
	probesPerZone = 3
	// silentZoneTimeout is how long all probes of a zone must go unanswered for the
	// zone's hosts to count as silent: more than two rounds.
	silentZoneTimeout = 500 * time.Millisecond
)

// ProbeContacts returns the hosts of other zones that get a probe in this round, in
// turn, none if another host of the zone probes. It is called once a round, after
// ReadsStore.
func (p *Peers) ProbeContacts(now time.Duration) []gossip.Host {
	if p.large() && !p.leads {
		clear(p.probedSince)
		return nil
	}
	zones := map[string][]gossip.Host{}
	for _, other := range p.sorted() {
		if other.host.Zone != p.self.Zone && other.host.Protocol >= gossip.ProbeProtocol {
			zones[other.host.Zone] = append(zones[other.host.Zone], other.host)
		}
	}
	var contacts []gossip.Host
	for zone, hosts := range zones {
		if _, probed := p.probedSince[zone]; !probed {
			p.probedSince[zone] = now
		}
		for i := range min(len(hosts), probesPerZone) {
			contacts = append(contacts, hosts[(p.round*probesPerZone+i)%len(hosts)])
		}
	}
	for zone := range p.probedSince {
		if zones[zone] == nil {
			delete(p.probedSince, zone)
		}
	}
	return contacts
}

// SilentZones returns the zones none of whose hosts answers, ordered by name.
func (p *Peers) SilentZones(now time.Duration) []string {
	if p.large() && !p.leads {
		if now >= p.digestAt+digestLifetime {
			return nil
		}
		return p.digest.SilentZones
	}
	var silent []string
	for zone, since := range p.probedSince {
		if now >= max(since, p.zoneAnswers[zone])+silentZoneTimeout {
			silent = append(silent, zone)
		}
	}
	slices.Sort(silent)
	return silent
}
