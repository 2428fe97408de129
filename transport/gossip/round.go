package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/peers"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/coordination/store"
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

// round is what one round of heartbeats does.
type round struct {
	// access is this host's access to the store, which it has read up to readTo.
	access peers.StoreAccess
	readTo store.Position
	// restarts are the targets that may have started again, as this host has seen.
	restarts []gossip.Restart
	// heartbeatTo are the receivers of the heartbeat, helloTo those of a hello.
	heartbeatTo, helloTo []netip.AddrPort
	// digest is sent to the groups unless it is nil.
	digest *gossip.Digest
	groups []peers.Group
	// parts holds each group's part of the table of allotted slots, which may be nil.
	parts []*gossip.Allotments
	// allotted and prevAllotted report whether this host's share of the slots is in
	// force and was in the last round.
	allotted, prevAllotted bool
	// summaries are sent to other zones.
	summaries []summaryMessage
	// loads is what the other hosts reported.
	loads *steering.PeerLoads
	// reads reports whether this host reads the store and hosts is the number of
	// the zone's hosts; prevReads and prevHosts are those of the last round.
	reads, prevReads bool
	hosts, prevHosts int
}

// runRound sends one round of heartbeats, hellos if due, and a digest if this
// host is the reader of a large zone. It passes the loads of the other hosts to
// Local.
func (e *Exchange) runRound() {
	r := round{access: peers.StoreAccess{Answers: e.cfg.Local.StoreAnswers(), Leaving: e.cfg.Local.Leaving()}}
	r.readTo, r.access.LastRead, r.access.HasRead = e.cfg.Local.LastRead()
	loads, targetAnswers := e.cfg.Local.Loads()
	r.restarts = e.cfg.Local.Restarts()
	heartbeat, err := gossip.Encode(&gossip.Message{
		Kind: gossip.KindHeartbeat, From: e.cfg.Self, StoreAnswers: r.access.Answers, Leaving: r.access.Leaving, Loads: loads, Answers: targetAnswers, Restarts: r.restarts,
		Holdings: e.holdings(),
	})
	if err != nil {
		e.cfg.Log.Error().Str("event", "gossip_failed").Str("kind", string(gossip.KindHeartbeat)).Err(err).Send()
	}
	var zoneLoads []crosszone.Load
	if e.cfg.CrossZone {
		zoneLoads = e.cfg.Local.ZoneLoads()
	}
	e.planRound(&r, len(heartbeat), loads, targetAnswers, zoneLoads)
	e.reportChanges(&r)
	e.cfg.Local.HandleLoads(r.loads)
	e.send(&gossip.Message{Kind: gossip.KindHello, From: e.cfg.Self}, r.helloTo...)
	if err == nil {
		e.write(heartbeat, r.heartbeatTo...)
	}
	if r.digest != nil {
		e.sendDigest(&r)
	}
	e.sendSummaries(&r)
}

// sendDigest sends the digest to the heads of the groups, each with the slots of its
// group.
func (e *Exchange) sendDigest(r *round) {
	for i := range r.groups {
		digest := *r.digest
		if r.parts != nil {
			digest.Allotments = r.parts[i]
		}
		e.sendToZone(&gossip.Message{
			Kind: gossip.KindDigest, From: e.cfg.Self, StoreAnswers: r.access.Answers, Leaving: r.access.Leaving, Digest: &digest,
		}, r.groups[i:i+1])
	}
}

// planRound decides whom the round's messages go to and whether this host reads
// the store.
func (e *Exchange) planRound(r *round, heartbeatBytes int, loads []gossip.TargetLoad, targetAnswers []uint32, zoneLoads []crosszone.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock()
	queried, contacts := e.zoneContacts()
	r.helloTo = contacts
	if e.peers.HelloDue(now) {
		r.helloTo = append(r.helloTo, e.seeds...)
	}
	e.peers.SetRestarts(r.restarts)
	r.heartbeatTo = addrs(e.peers.NextRound(now, heartbeatBytes, loads, targetAnswers))
	r.prevReads, r.prevHosts = e.reads, e.hosts
	e.reads = e.peers.ReadsStore(now, r.access)
	e.hosts = e.peers.LiveHosts(now)
	r.reads, r.hosts = e.reads, e.hosts
	r.digest, r.groups = e.peers.Digest(now), e.peers.Receivers(now)
	if r.digest != nil {
		r.digest.Read = r.readState(now)
	}
	e.allot(now, r)
	r.loads = &steering.PeerLoads{
		Hosts: r.hosts, Sharers: e.peers.Sharers(now, len(e.seeds) > 0), Settled: e.peers.Settled(now),
		Targets:      steeringLoads(e.peers.Loads(now)),
		QueriedZones: queried, ZoneAnswers: e.peers.ZoneAnswers(), Share: e.peers.Share(),
		Restarts: steeringRestarts(e.peers.Restarts(now)),
	}
	e.planSummaries(now, r, zoneLoads)
}

// steeringRestarts converts what other hosts have seen of targets.
func steeringRestarts(list []gossip.Restart) []steering.Restart {
	restarts := make([]steering.Restart, len(list))
	for i, r := range list {
		restarts[i] = steering.Restart{Token: steering.Token(r.Token), Certain: r.Certain}
	}
	return restarts
}

// readState returns how far this host has read the store, nil if it has not.
func (r *round) readState(now time.Duration) *gossip.ReadState {
	if !r.access.HasRead {
		return nil
	}
	return &gossip.ReadState{Epoch: r.readTo.Epoch, Index: r.readTo.Index, AgeMS: (now - r.access.LastRead).Milliseconds()}
}

// steeringLoads converts the loads of other hosts.
func steeringLoads(loads map[uint32]gossip.TargetLoad) map[steering.Token]steering.TargetLoad {
	targets := make(map[steering.Token]steering.TargetLoad, len(loads))
	for token, l := range loads {
		targets[steering.Token(token)] = steering.TargetLoad{
			Open: l.Open, Busy: l.Busy, Unanswered: l.Unanswered, FastShare: float64(l.FastPercent) / percent,
		}
	}
	return targets
}

// reportChanges logs what differs from the last round and tells Local if this
// host begins or ends to read the store.
func (e *Exchange) reportChanges(r *round) {
	if r.hosts != r.prevHosts {
		e.cfg.Log.Info().Str("event", "hosts_changed").Int("hosts", r.hosts).Int("former", r.prevHosts).Send()
	}
	if r.reads != r.prevReads {
		e.cfg.Log.Info().Str("event", "reader_changed").Bool("reads", r.reads).Int("hosts", r.hosts).Bool("store_answers", r.access.Answers).
			Bool("has_read", r.access.HasRead).Dur("read_age_ms", e.cfg.Clock()-r.access.LastRead).Send()
		e.cfg.Local.HandleReader()
	}
	e.reportAllotments(r)
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
