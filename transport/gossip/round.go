package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/peers"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// Run sends heartbeats, and hellos to the seeds, until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(peers.HeartbeatInterval)
	defer ticker.Stop()
	for {
		e.runRound()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runRound sends one round of heartbeats, and hellos if due. It also determines
// whether this host reads the store, and passes the loads of the other hosts to
// Local.
func (e *Exchange) runRound() {
	answers, leaving := e.cfg.Local.StoreAnswers(), e.cfg.Local.Leaving()
	own, targetAnswers := e.cfg.Local.Loads()
	heartbeat, err := gossip.Encode(&gossip.Message{
		Kind: gossip.KindHeartbeat, From: e.cfg.Self, StoreAnswers: answers, Leaving: leaving, Loads: own, Answers: targetAnswers,
	})
	if err != nil {
		e.cfg.Log.Error().Str("event", "gossip_failed").Str("kind", string(gossip.KindHeartbeat)).Err(err).Send()
	}
	e.mu.Lock()
	now := e.cfg.Clock()
	helloDue := e.peers.HelloDue(now)
	to := e.peers.NextRound(now, len(heartbeat), own, targetAnswers)
	seeds := e.seeds
	queried, contacts := e.zoneContacts()
	prevReads, prevHosts := e.reads, e.hosts
	e.reads = e.peers.ReadsStore(now, answers, leaving)
	e.hosts = e.peers.LiveHosts(now)
	reads, hosts := e.reads, e.hosts
	digest, receivers := e.peers.Digest(now), e.peers.Receivers(now)
	loads := &steering.PeerLoads{
		Hosts: hosts, Settled: e.peers.Settled(now), Targets: map[steering.Token]steering.TargetLoad{},
		QueriedZones: queried, ZoneAnswers: e.peers.ZoneAnswers(),
	}
	for token, l := range e.peers.Loads(now) {
		loads.Targets[steering.Token(token)] = steering.TargetLoad{Open: l.Open, Busy: l.Busy, Unanswered: l.Unanswered, FastShare: float64(l.FastPercent) / percent}
	}
	e.mu.Unlock()
	if hosts != prevHosts {
		e.cfg.Log.Info().Str("event", "hosts_changed").Int("hosts", hosts).Int("former", prevHosts).Send()
	}
	if reads != prevReads {
		e.cfg.Log.Info().Str("event", "reader_changed").Bool("reads", reads).Int("hosts", hosts).Bool("store_answers", answers).Send()
	}
	if reads != prevReads {
		e.cfg.Local.HandleReader()
	}
	e.cfg.Local.HandleLoads(loads)
	hello := &gossip.Message{Kind: gossip.KindHello, From: e.cfg.Self}
	if helloDue {
		e.send(hello, seeds...)
	}
	e.send(hello, contacts...)
	if err == nil {
		e.write(heartbeat, addrs(to)...)
	}
	if digest != nil {
		e.sendToZone(&gossip.Message{Kind: gossip.KindDigest, From: e.cfg.Self, StoreAnswers: answers, Leaving: leaving, Digest: digest}, receivers)
	}
}

// zoneContacts returns the unreachable zones of which hosts are known, and the
// hosts that are queried to find out whether they can be reached again. The caller
// holds e.mu.
func (e *Exchange) zoneContacts() (zones []string, contacts []netip.AddrPort) {
	for _, zone := range e.cfg.Local.UnreachableZones() {
		if hosts := e.peers.ZoneContacts(zone); len(hosts) > 0 {
			zones = append(zones, zone)
			contacts = append(contacts, addrs(hosts)...)
		}
	}
	return zones, contacts
}

// sendToZone sends a message to the heads of groups, with the hosts that each of
// them relays it to.
func (e *Exchange) sendToZone(m *gossip.Message, groups []peers.Group) {
	for _, g := range groups {
		m.Relay = g.Relay
		e.send(m, g.Head.Addr)
	}
}
