package gossip

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// maxSummaryAge bounds the age in a digest, far above the age at which a summary
// expires.
const maxSummaryAge = time.Minute

// crossZone is the state of the exchange with other zones. Exchange.mu guards it.
type crossZone struct {
	reader *crosszone.Reader
	table  crosszone.Table
}

func newCrossZone(zone string) crossZone { return crossZone{reader: crosszone.NewReader(zone)} }

// summaryMessage is a summary with its receivers.
type summaryMessage struct {
	message   gossip.Message
	receivers []gossip.Host
}

// planSummaries sets the summaries that are sent in this round, if any, and what the
// digest and the packet path get of them. The caller holds e.mu.
func (e *Exchange) planSummaries(now time.Duration, r *round, loads []crosszone.Load) {
	if !e.cfg.CrossZone || !e.peers.Large() {
		return
	}
	leads := e.peers.LeadsLargeZone()
	if e.cross.reader.Round(now, leads, loads) {
		zones := e.cross.table.Zones(now)
		for _, z := range e.peers.SummaryReceivers(now) {
			r.summaries = append(r.summaries, summaryMessage{
				message: gossip.Message{Kind: gossip.KindSummary, From: e.cfg.Self, Summary: &gossip.Summary{
					Sequence: e.cross.reader.Sequence(), Services: encodeServices(e.cross.reader.For(z.Zone, zones)),
				}},
				receivers: z.Hosts,
			})
		}
		e.cross.table.PutRelayed(now, 0, e.cfg.Self.Zone, e.cross.reader.Own(zones))
	}
	if r.digest != nil {
		r.digest.Zones = encodeZones(now, e.cross.table.TakeChanged(now))
	}
	r.loads.At = now
	r.loads.Zones = e.cross.table.Zones(now)
}

// sendSummaries sends the summaries of the round.
func (e *Exchange) sendSummaries(r *round) {
	for i := range r.summaries {
		e.send(&r.summaries[i].message, addrs(r.summaries[i].receivers)...)
	}
}

// receiveSummaries records the summaries in a message. It returns a summary that is
// to be forwarded to the zone's reader, nil if there is none, with the reader. The
// caller holds e.mu.
func (e *Exchange) receiveSummaries(now time.Duration, m *gossip.Message) (*gossip.Message, gossip.Host) {
	if !e.cfg.CrossZone {
		return nil, gossip.Host{}
	}
	if m.Kind == gossip.KindDigest && m.Digest != nil && m.From.Zone == e.cfg.Self.Zone && e.peers.IsReader(now, m.From.Name) {
		for _, z := range m.Digest.Zones {
			age := min(time.Duration(z.AgeMS)*time.Millisecond, maxSummaryAge)
			e.cross.table.PutRelayed(now, age, z.Zone, decodeServices(z.Services))
		}
		return nil, gossip.Host{}
	}
	if m.Kind != gossip.KindSummary || m.Summary == nil || m.From.Zone == e.cfg.Self.Zone {
		return nil, gossip.Host{}
	}
	return e.receiveSummary(now, m)
}

// receiveSummary records a summary of another zone, or returns it if it is to be
// forwarded to the zone's reader, with the reader.
func (e *Exchange) receiveSummary(now time.Duration, m *gossip.Message) (*gossip.Message, gossip.Host) {
	if e.peers.LeadsLargeZone() {
		sender := crosszone.Sender{Name: m.From.Name, Incarnation: m.From.Started, Sequence: m.Summary.Sequence}
		e.cross.table.Put(now, m.From.Zone, sender, decodeServices(m.Summary.Services))
		return nil, gossip.Host{}
	}
	reader, ok := e.peers.SummaryReader(now)
	if !ok || m.Summary.Forwarded {
		return nil, gossip.Host{}
	}
	forwarded, summary := *m, *m.Summary
	summary.Forwarded = true
	forwarded.Summary, forwarded.Relay = &summary, nil
	return &forwarded, reader
}

// decodeServices converts the entries of a received summary.
func decodeServices(list []gossip.ServiceSummary) []crosszone.Service {
	converted := make([]crosszone.Service, len(list))
	for i, s := range list {
		converted[i] = crosszone.Service{
			ID: crosszone.ServiceID(s.Service), Slots: int(s.Slots), Busy: int(s.Busy), Demand: int(s.Demand),
			Offer: int(s.Offer), Sent: int(s.Sent),
		}
	}
	return converted
}

// encodeServices converts the entries of a summary that is sent.
func encodeServices(list []crosszone.Service) []gossip.ServiceSummary {
	converted := make([]gossip.ServiceSummary, len(list))
	for i, s := range list {
		converted[i] = gossip.ServiceSummary{
			Service: uint32(s.ID), Slots: uint32(s.Slots), Busy: uint32(s.Busy), Demand: uint32(s.Demand),
			Offer: uint32(s.Offer), Sent: uint32(s.Sent),
		}
	}
	return converted
}

// encodeZones converts the summaries for a digest.
func encodeZones(now time.Duration, zones []crosszone.Zone) []gossip.ZoneSummary {
	list := make([]gossip.ZoneSummary, len(zones))
	for i, z := range zones {
		list[i] = gossip.ZoneSummary{Zone: z.Name, AgeMS: uint32((now - z.At).Milliseconds()), Services: encodeServices(z.Services)}
	}
	return list
}
