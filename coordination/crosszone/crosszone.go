// Package crosszone decides which share of a zone's new flows goes to other zones.
// The readers of large zones exchange summaries of what their zones can take and
// what their callers ask for. It does no I/O and reads no clock: callers pass the
// time since the host's start.
//
// The load pattern: callers of one zone ask for more than its targets serve while
// targets of other zones are idle. A host sees only what the hosts of its own zone
// cause, so a target of another zone looks idle to it even if its queue is full.
package crosszone

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Lifetime is how long a summary is used.
	Lifetime = 1500 * time.Millisecond
	// Interval is the time between two summaries of a zone.
	Interval = 400 * time.Millisecond
	// targetUtilization is the number of requests per slot above which a zone sends
	// flows away, and up to which it takes those of others. With requests of a random
	// length, queues grow quickly above it.
	targetUtilization = 0.85
)

// ServiceID identifies a service in summaries by a hash of its name.
type ServiceID uint32

// ID returns the ID of a service.
func ID(service string) ServiceID { return ServiceID(xxh3.HashString("service/" + service)) }

// Load is the part of a service's load that the hosts of one zone place on the
// targets of one zone.
type Load struct {
	Service string
	// Zone is the zone of the targets.
	Zone string
	// Slots counts the slots of targets that take new flows; it is set for the hosts'
	// own zone only.
	Slots int
	// Busy counts requests in progress.
	Busy int
}

// Service is what one zone tells another one about a service.
type Service struct {
	ID ServiceID
	// Slots counts the slots that take new flows.
	Slots int
	// Busy counts the requests in progress at the zone's targets, without those of
	// the receiver's zone.
	Busy int
	// Demand counts the requests of the zone's callers in progress in any zone.
	Demand int
	// Offer is the number of requests in progress that the zone takes from the
	// receiver's zone.
	Offer int
	// Sent is the number of requests in progress of the zone's callers at targets of
	// the receiver's zone.
	Sent int
}

// spare returns the requests that a zone can take beside those of its own callers.
// It depends on the callers' demand and not on the requests in progress, because
// those include what other zones send on account of it.
func (s Service) spare() float64 {
	return max(targetUtilization*float64(s.Slots)-float64(s.Demand), 0)
}

// excess returns the requests of a zone's callers that exceed what it can take.
func (s Service) excess() float64 {
	return max(float64(s.Demand)-targetUtilization*float64(s.Slots), 0)
}

// Zone is a summary as a host has received it.
type Zone struct {
	Name string
	// At is the time when the summary was made, by the receiver's clock.
	At       time.Duration
	Services []Service
}

// Valid reports whether the summary is recent enough to be used.
func (z *Zone) Valid(now time.Duration) bool { return now < z.At+Lifetime }

// find returns the entry of a service.
func (z *Zone) find(id ServiceID) (Service, bool) {
	for _, s := range z.Services {
		if s.ID == id {
			return s, true
		}
	}
	return Service{}, false
}
