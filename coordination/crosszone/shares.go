package crosszone

import "time"

const (
	// maxRise and maxFall bound the change of the share sent away in one round.
	maxRise = 0.1
	maxFall = 0.05
	// reversal is the difference of the wanted share from the current one from which
	// the share changes direction. Random variations of demand are smaller.
	reversal = 0.05
	// offerTolerance is the part of a zone's demand by which the requests sent away
	// may exceed the offers before they are cut back to them at once.
	offerTolerance = maxFall
)

// Destination is another zone with a valid summary, for one service.
type Destination struct {
	Zone string
	// Share is the share of new flows that goes to the zone.
	Share float64
	// Offer is the number of requests in progress that the zone takes from this one.
	Offer int
	// Slots counts the zone's slots that take new flows; Busy counts the requests in
	// progress at them without those of this zone.
	Slots, Busy int
	// ValidUntil is when the summary expires.
	ValidUntil time.Duration
}

// RequestsPerSlot returns the requests per slot at the zone's targets without those of this
// zone.
func (d *Destination) RequestsPerSlot() float64 { return float64(d.Busy) / float64(max(d.Slots, 1)) }

// Plan is what a zone sends away of one service.
type Plan struct {
	// Slots, Demand and Spare are those of the own zone. Known is set if its summary is
	// valid; without it nothing is sent away.
	Slots, Demand, Spare int
	Known                bool
	// Share is the share of new flows that goes to other zones.
	Share        float64
	Destinations []Destination
}

// Pick returns the destination of a new flow, or -1 for the own zone. point is
// uniform in [0, 1) and depends on the flow only.
func (p *Plan) Pick(now time.Duration, point float64) int {
	for i := range p.Destinations {
		d := &p.Destinations[i]
		if point < d.Share {
			if now >= d.ValidUntil {
				return -1
			}
			return i
		}
		point -= d.Share
	}
	return -1
}

// Shares holds a host's plans for all services. All hosts of a zone get the same
// summaries and reach the same plans.
type Shares struct {
	zone  string
	plans map[ServiceID]*plan
}

// plan is a Plan with its state.
type plan struct {
	Plan
	falling bool
}

// NewShares returns the Shares of a host in a zone.
func NewShares(zone string) *Shares { return &Shares{zone: zone, plans: map[ServiceID]*plan{}} }

// Plan returns the plan for a service, nil if there is none.
func (s *Shares) Plan(id ServiceID) *Plan {
	if p := s.plans[id]; p != nil {
		return &p.Plan
	}
	return nil
}

// Update makes the plans of a round from the summaries of all zones, this one
// included. usable reports whether this host may send flows to a zone.
func (s *Shares) Update(now time.Duration, zones []Zone, usable func(zone string) bool) {
	former := s.plans
	s.plans = map[ServiceID]*plan{}
	for i := range zones {
		if !zones[i].Valid(now) {
			continue
		}
		for _, service := range zones[i].Services {
			s.add(&zones[i], service, former, usable(zones[i].Name))
		}
	}
	for _, p := range s.plans {
		p.update()
	}
}

// add adds a zone's entry for a service to the plan for it.
func (s *Shares) add(z *Zone, service Service, former map[ServiceID]*plan, usable bool) {
	p := s.plans[service.ID]
	if p == nil {
		p = &plan{falling: true}
		if old := former[service.ID]; old != nil {
			p.Share, p.falling = old.Share, old.falling
		}
		s.plans[service.ID] = p
	}
	if z.Name == s.zone {
		p.Slots, p.Demand, p.Spare, p.Known = service.Slots, service.Demand, int(service.spare()), true
		return
	}
	offer := service.Offer
	if !usable {
		offer = 0
	}
	p.Destinations = append(p.Destinations, Destination{
		Zone: z.Name, Offer: offer, Slots: service.Slots, Busy: service.Busy, ValidUntil: z.At + Lifetime,
	})
}

// update moves the share towards the excess, as far as the offers go, and divides it
// among the zones in proportion to their offers.
func (p *plan) update() {
	offers := 0
	for i := range p.Destinations {
		offers += p.Destinations[i].Offer
	}
	excess := Service{Slots: p.Slots, Demand: p.Demand}.excess()
	if !p.Known || excess == 0 || offers == 0 {
		p.Share, p.falling = 0, true // a new excess below reversal is not sent away
		return
	}
	p.approach(min(excess, float64(offers))/float64(p.Demand), float64(offers)/float64(p.Demand))
	for i := range p.Destinations {
		d := &p.Destinations[i]
		d.Share = p.Share * float64(d.Offer) / float64(offers)
	}
}

// approach moves the share towards the wanted one, which is at most the offered one. A
// loss of offers applies at once.
func (p *plan) approach(wanted, offered float64) {
	if p.Share > offered+offerTolerance {
		p.Share, p.falling = offered, true
	}
	difference := wanted - p.Share
	switch {
	case difference > 0 && (!p.falling || difference > reversal):
		p.Share, p.falling = p.Share+min(difference, maxRise), false
	case difference < 0 && (p.falling || -difference > reversal || p.Share > offered):
		p.Share, p.falling = p.Share-min(-difference, maxFall), true
	}
}
