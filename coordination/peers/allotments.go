package peers

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// Slots of targets in a large zone. The load pattern: the hosts place flows by loads
// that are several request times old. The zone's reader allots each slot to one host
// and sends each host its part with the digest, so the table arrives as often and as
// reliably as the loads. Hosts report what they hold: it confirms a table to the
// reader, and lets its successor start from it.

const (
	// reportRound is the time within which the reports of all hosts arrive: a round
	// of each host, and half a round for delays.
	reportRound = HeartbeatInterval + HeartbeatInterval/2
	// maxUnconfirmed is the number of tables that a host may leave unconfirmed before
	// it is allotted no more slots: it does not receive them, as on a path that works
	// in one direction only. Its last table has expired by then.
	maxUnconfirmed = 10
)

// allotments is the state of the allotment of slots at one host.
type allotments struct {
	// share is this host's part of the last table. It came from reader with the
	// sequence number seq; holdings is the same for reports.
	share    allotment.Share
	reader   uint64
	seq      uint64
	holdings []byte
	// allotter and table are set while this host allots the slots, and firstSeq is
	// the sequence number of its first table. lastSeq is that of its last one.
	allotter          *allotment.Allotter
	table             *allotment.Table
	firstSeq, lastSeq uint64
	// receiving is set while the other hosts send their reports to this one, which
	// they have done since receivingSince.
	receiving      bool
	receivingSince time.Duration
}

// Allot computes the table of this round if this host is the reader of a large zone
// and has received the reports of all hosts. targets are the targets of the zone, none
// as long as this host has no view of them.
func (p *Peers) Allot(now time.Duration, targets []allotment.Target) {
	a := &p.allotments
	a.table = nil
	if !p.large() || !p.receivesReports() {
		a.receiving, a.allotter = false, nil
		return
	}
	if !a.receiving {
		a.receiving, a.receivingSince = true, now
	}
	if !p.leads || len(targets) == 0 || now < a.receivingSince+reportRound || !p.mostHostsReport(now) {
		a.allotter = nil
		return
	}
	if a.allotter == nil {
		a.allotter, a.firstSeq = allotment.NewAllotter(a.lastSeq), a.lastSeq+1
	}
	a.table = a.allotter.Update(now, targets, p.demand(now, targets))
	a.lastSeq = a.table.Seq
	own, _ := a.table.Holdings(p.self.Name)
	p.setShare(now, gossip.ReaderID(p.self), a.table.Seq, own)
}

// reset makes this host wait for new reports before it allots slots again. It is called
// after a stall of this host: the reports that it has may be old, and other hosts may
// have allotted slots meanwhile.
func (a *allotments) reset() { a.receiving, a.allotter = false, nil }

// receivesReports reports whether the other hosts send their reports to this one: it
// is the reader or its standby.
func (p *Peers) receivesReports() bool {
	return p.leads || (p.digest.Hosts > 0 && p.digest.Standby == p.self.Addr)
}

// mostHostsReport reports whether most hosts of the zone report to this one. A reader
// with the reports of few hosts would allot all slots to these, and two readers of a zone that is split
// would allot the same slots.
func (p *Peers) mostHostsReport(now time.Duration) bool {
	n := 1
	for _, other := range p.zonePeers() {
		if p.hasReported(now, other) {
			n++
		}
	}
	return 2*n > 1+len(p.zonePeers())
}

// hasReported reports whether a host has sent a report lately. Reports that arrive
// right at the end of a stall of this host are old: they waited in its socket.
func (p *Peers) hasReported(now time.Duration, other *peer) bool {
	return p.reports(now, other, p.reportWindow()) && other.lastHeartbeat >= p.allotments.receivingSince+HeartbeatInterval/2
}

// demand returns the reports of the live hosts that use allotments.
func (p *Peers) demand(now time.Duration, targets []allotment.Target) []allotment.Demand {
	services := make(map[uint32]string, len(targets))
	for i := range targets {
		services[targets[i].Token] = targets[i].Service
	}
	list := []allotment.Demand{{
		Host: p.self.Name, Requests: requests(services, p.ownLoads), Seq: p.allotments.lastSeq, Held: unpack(p.Holdings(now)),
	}}
	for _, other := range p.zonePeers() {
		if !p.hasReported(now, other) || other.leaving || other.holdings == nil {
			continue
		}
		d := allotment.Demand{Host: other.host.Name, Requests: requests(services, other.loads), Held: unpack(other.holdings)}
		if other.holdings.Reader == gossip.ReaderID(p.self) {
			d.Seq = other.holdings.Seq
		}
		if p.allotments.lastSeq >= max(d.Seq, p.allotments.firstSeq)+maxUnconfirmed {
			continue
		}
		list = append(list, d)
	}
	return list
}

// requests sums up the requests of a report by service.
func requests(services map[uint32]string, loads []gossip.TargetLoad) map[string]int {
	sum := map[string]int{}
	for _, l := range loads {
		if service, ok := services[l.Token]; ok && l.Busy > 0 {
			sum[service] += l.Busy
		}
	}
	return sum
}

func unpack(h *gossip.Holdings) []allotment.Holding {
	if h == nil {
		return nil
	}
	list, _ := gossip.UnpackHoldings(h.Slots) // holdings that can't be read are none
	return list
}

// AllotmentsFor returns the part of the table for the hosts of a group, nil if this
// host has no table in this round. Hosts that hold nothing are named too, so that
// they know of the table.
func (p *Peers) AllotmentsFor(g *Group) *gossip.Allotments {
	t := p.allotments.table
	if t == nil || g.Head.Protocol == 0 {
		return nil
	}
	part := &gossip.Allotments{Seq: t.Seq}
	add := func(name string) {
		held, _ := t.Holdings(name)
		part.Hosts = append(part.Hosts, gossip.HostSlots{Host: gossip.HostID(name), Slots: gossip.PackHoldings(held)})
	}
	add(g.Head.Name)
	if len(g.Relay) == 0 {
		return part
	}
	relayed := make(map[netip.AddrPort]bool, len(g.Relay))
	for _, addr := range g.Relay {
		relayed[addr] = true
	}
	for _, other := range p.zonePeers() {
		if relayed[other.host.Addr] {
			add(other.host.Name)
		}
	}
	return part
}

// receiveAllotments takes over this host's part of a table of the zone's reader,
// unless a later one of the same incarnation has arrived before.
func (p *Peers) receiveAllotments(now time.Duration, from *peer, t *gossip.Allotments) {
	if t == nil || t.Seq <= from.tableSeq || p.leads {
		return
	}
	id := gossip.HostID(p.self.Name)
	for _, h := range t.Hosts {
		if h.Host != id {
			continue
		}
		held, err := gossip.UnpackHoldings(h.Slots)
		if err != nil {
			return
		}
		from.tableSeq = t.Seq
		p.setShare(now, gossip.ReaderID(from.host), t.Seq, held)
		return
	}
}

func (p *Peers) setShare(now time.Duration, reader, seq uint64, held []allotment.Holding) {
	a := &p.allotments
	a.share, a.reader, a.seq = allotment.NewShare(now, held), reader, seq
	a.holdings = gossip.PackHoldings(held)
}

// Share returns this host's share of the slots, which may have expired.
func (p *Peers) Share() allotment.Share { return p.allotments.share }

// Holdings returns what this host reports of its share, nil in a small zone.
func (p *Peers) Holdings(now time.Duration) *gossip.Holdings {
	if !p.large() {
		return nil
	}
	a := &p.allotments
	h := &gossip.Holdings{Reader: a.reader, Seq: a.seq}
	if a.share.Valid(now) {
		h.Slots = a.holdings
	}
	return h
}
