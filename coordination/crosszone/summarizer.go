package crosszone

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// smoothing is the weight of a round in the averages of requests. Counts of one
	// moment vary by a tenth and more without any change of demand.
	smoothing = 0.2
	// minBusy is the average of requests below which a zone is removed.
	minBusy = 0.01
	// reservedRequest is added to each zone's excess when spare capacity is divided,
	// so that a zone whose excess begins can send a little at once: an offer that
	// follows its excess arrives a second later.
	reservedRequest = 1.0
	// maxQueueFactor bounds the demand in multiples of the slots. Requests that wait
	// in queues exceed what the callers' rate amounts to.
	maxQueueFactor = 1.5
)

// Summarizer makes the summaries of a zone at its reader. It is updated once per
// round.
type Summarizer struct {
	zone     string
	services map[ServiceID]*serviceLoad
}

// serviceLoad is a service's load, averaged over the last rounds.
type serviceLoad struct {
	slots int
	// busy holds the requests of the zone's hosts by the zone of their targets.
	busy map[string]float64
}

// NewSummarizer returns the Summarizer of a zone's reader.
func NewSummarizer(zone string) *Summarizer {
	return &Summarizer{zone: zone, services: map[ServiceID]*serviceLoad{}}
}

// Update adds the loads of a round. The slots count at once: capacity that is lost
// must not be offered.
func (s *Summarizer) Update(loads []Load) {
	latest := groupByService(loads)
	for id, l := range latest {
		if s.services[id] == nil {
			s.services[id] = &serviceLoad{busy: maps.Clone(l.busy)}
		}
	}
	for id, l := range s.services {
		l.update(latest[id])
		if l.slots == 0 && len(l.busy) == 0 {
			delete(s.services, id)
		}
	}
}

// groupByService returns the loads of a round by service.
func groupByService(loads []Load) map[ServiceID]serviceLoad {
	services := map[ServiceID]serviceLoad{}
	for _, l := range loads {
		id := ID(l.Service)
		service, known := services[id]
		if !known {
			service.busy = map[string]float64{}
		}
		service.slots += l.Slots
		service.busy[l.Zone] = float64(l.Busy)
		services[id] = service
	}
	return services
}

// update takes over the slots of a round and averages its requests.
func (l *serviceLoad) update(latest serviceLoad) {
	l.slots = latest.slots
	for zone := range latest.busy {
		if _, known := l.busy[zone]; !known {
			l.busy[zone] = 0
		}
	}
	for zone, busy := range l.busy {
		l.busy[zone] = busy + smoothing*(latest.busy[zone]-busy)
		if l.busy[zone] < minBusy {
			delete(l.busy, zone)
		}
	}
}

// Own returns the zone's own summary for its hosts, with all its spare capacity as
// the offer. others are the valid summaries of all zones.
func (s *Summarizer) Own(others []Zone) []Service { return s.summary("", others) }

// For returns the summary for another zone. others are the valid summaries of all
// zones.
func (s *Summarizer) For(zone string, others []Zone) []Service { return s.summary(zone, others) }

// summary lists the services with traffic in this zone or in any other one.
func (s *Summarizer) summary(receiver string, others []Zone) []Service {
	list := make([]Service, 0, len(s.services))
	for id, l := range s.services {
		entry := Service{ID: id, Slots: l.slots, Demand: l.demand(s.zone), Sent: round(l.busy[receiver])}
		busy := l.busy[s.zone]
		elsewhere := false
		for i := range others {
			if others[i].Name == s.zone {
				continue
			}
			other, ok := others[i].find(id)
			elsewhere = elsewhere || (ok && other.Demand > 0)
			if others[i].Name != receiver {
				busy += float64(other.Sent)
			}
		}
		entry.Busy = round(busy)
		if entry.Demand == 0 && entry.Busy == 0 && !elsewhere {
			continue
		}
		entry.Offer = int(entry.spare() * s.offeredShare(receiver, id, others))
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// demand returns the requests of the zone's callers in progress in any zone.
func (l *serviceLoad) demand(zone string) int {
	sum := 0.0
	for at, busy := range l.busy {
		if at == zone && l.slots > 0 {
			busy = min(busy, maxQueueFactor*float64(l.slots))
		}
		sum += busy
	}
	return round(sum)
}

func round(f float64) int { return int(f + 0.5) }

// offeredShare returns the share of the spare capacity that is offered to a zone: in
// proportion to the zones' excess. A zone without a valid summary gets none, as what
// it sends is not known.
func (s *Summarizer) offeredShare(receiver string, id ServiceID, others []Zone) float64 {
	if receiver == "" {
		return 1
	}
	sum, own := 0.0, 0.0
	for i := range others {
		if others[i].Name == s.zone {
			continue
		}
		other, ok := others[i].find(id)
		if !ok {
			continue
		}
		weight := other.excess() + reservedRequest
		sum += weight
		if others[i].Name == receiver {
			own = weight
		}
	}
	if sum == 0 {
		return 0
	}
	return own / sum
}
