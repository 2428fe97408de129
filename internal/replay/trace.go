// Package replay runs a recorded trace of events through the decision cores of
// several hosts and compares the measurements with the trace's stated outcomes.
// Time is virtual and randomness is seeded. Hosts, targets, callers and the
// platform's store are small fakes around the cores.
package replay

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Trace is one recorded run with its required outcomes.
type Trace struct {
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	Seed  uint64 `yaml:"seed"`
	// Length is the duration of the run in virtual time, Warmup included.
	Length time.Duration `yaml:"length"`
	// CallerDistance is the one-way delay between callers and the fabric.
	CallerDistance time.Duration `yaml:"caller_distance"`
	// HostDistance is the one-way delay of messages between hosts.
	HostDistance time.Duration `yaml:"host_distance"`
	Zones        []ZoneSpec    `yaml:"zones"`
	Services     []ServiceSpec `yaml:"services"`
	Events       []Event       `yaml:"events"`
	Outcomes     []Outcome     `yaml:"outcomes"`
}

// Warmup is the time for hosts to discover each other before callers start.
const Warmup = 5 * time.Second

// ZoneSpec is an availability zone and the number of its hosts, which are named
// after it: a zone a has the hosts a-1, a-2 and so on.
type ZoneSpec struct {
	Name  string `yaml:"name"`
	Hosts int    `yaml:"hosts"`
}

// ServiceSpec is a service with targets t01, t02 and so on, spread over the
// zones in turn, and the flows that callers open.
type ServiceSpec struct {
	Name              string        `yaml:"name"`
	Address           string        `yaml:"address"`
	Targets           int           `yaml:"targets"`
	Connections       int           `yaml:"connections"`
	OpeningsInFlight  int           `yaml:"openings_in_flight"`
	OpeningsPerSecond int           `yaml:"openings_per_second"`
	Ramp              time.Duration `yaml:"ramp"`
	Flows             FlowSpec      `yaml:"flows"`
}

// FlowSpec describes the flows that callers open.
type FlowSpec struct {
	// PerSecond is the mean rate of new flows. Their lengths and the gaps
	// between their packets are exponential with the means MeanLength and
	// PacketEvery.
	PerSecond   float64       `yaml:"per_second"`
	MeanLength  time.Duration `yaml:"mean_length"`
	PacketEvery time.Duration `yaml:"packet_every"`
	// Standing is the number of flows that are opened evenly over StandingWithin
	// after Warmup and stay open to the end, with a packet every
	// StandingPacketEvery on average. A caller whose standing flow is given up
	// opens a new one within Reconnect after the advised retry delay.
	Standing            int           `yaml:"standing"`
	StandingWithin      time.Duration `yaml:"standing_within"`
	StandingPacketEvery time.Duration `yaml:"standing_packet_every"`
	Reconnect           time.Duration `yaml:"reconnect"`
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events, with the fields of Event that each uses.
const (
	ZoneOut         EventKind = "zone-out"         // zone, reach
	ZoneReturn      EventKind = "zone-return"      // zone, reach
	HostDies        EventKind = "host-dies"        // host
	HostLeaves      EventKind = "host-leaves"      // host
	HostJoins       EventKind = "host-joins"       // host, zone
	HostPauses      EventKind = "host-pauses"      // host, for
	ZonesCut        EventKind = "zones-cut"        // zone, other_zone, for, one_way
	PlatformOut     EventKind = "platform-out"     // for
	Rate            EventKind = "rate"             // service, per_second
	TargetsJoin     EventKind = "targets-join"     // service, zone, count
	TargetsDrain    EventKind = "targets-drain"    // service, targets
	TargetsActivate EventKind = "targets-activate" // service, targets
	TargetsLeave    EventKind = "targets-leave"    // service, targets
	TargetsWeigh    EventKind = "targets-weigh"    // service, targets, weight
	TargetsCold     EventKind = "targets-cold"     // service, targets
	TargetsShed     EventKind = "targets-shed"     // service, targets, for
)

// Event is a change at a given time of the run.
type Event struct {
	At        time.Duration `yaml:"at"`
	Kind      EventKind     `yaml:"kind"`
	Zone      string        `yaml:"zone"`
	OtherZone string        `yaml:"other_zone"`
	OneWay    bool          `yaml:"one_way"`
	Host      string        `yaml:"host"`
	Service   string        `yaml:"service"`
	Targets   []string      `yaml:"targets"`
	Count     int           `yaml:"count"`
	Weight    int           `yaml:"weight"`
	PerSecond float64       `yaml:"per_second"`
	For       time.Duration `yaml:"for"`
	// Reach is the number of hosts that receive a change from the platform at
	// once, even if the platform is unavailable from then on. The other hosts, or
	// all if Reach is 0, receive it by watches or from other hosts.
	Reach int `yaml:"reach"`
}

// OutcomeKind is the kind of a measured outcome.
type OutcomeKind string

// The kinds of outcomes. The counts from BrokenFlows to Misdelivered cover the
// whole run and all services; the others cover the time from From until To and,
// if Service is set, only that service.
const (
	// BrokenFlows counts established flows that were reset, got no answer or
	// reached a target that does not hold them, except flows of a zone that was
	// taken out.
	BrokenFlows OutcomeKind = "broken-flows"
	// OverLimit counts openings that exceed a limit of their target, except at
	// targets in an unannounced cold start.
	OverLimit OutcomeKind = "over-limit"
	// OutZonePackets counts packets to a zone later than 3 s after it was taken
	// out.
	OutZonePackets OutcomeKind = "out-zone-packets"
	// LeavingOpenings counts openings of new flows at targets that have been
	// draining for more than 3 s.
	LeavingOpenings OutcomeKind = "leaving-openings"
	// RanTwice counts flows whose payload two targets accepted.
	RanTwice OutcomeKind = "ran-twice"
	// Misdelivered counts packets that reached a target of another service.
	Misdelivered OutcomeKind = "misdelivered"
	// PeakToMean is the largest ratio of the highest to the mean number of open
	// flows of a service's warm targets.
	PeakToMean OutcomeKind = "peak-to-mean"
	// Served is the share of new flows that a target served.
	Served OutcomeKind = "served"
	// Goodput is the number of served flows divided by the number that could be
	// served: in each second, the smaller of the offered flows and the openings
	// that the targets' rate limits allow.
	Goodput OutcomeKind = "goodput"
	// RefusalDelay is the largest time, in seconds, from a caller's first
	// packet to the refusal.
	RefusalDelay OutcomeKind = "refusal-delay"
	// RefusalSwings counts reversals of the refused share by 10 percentage
	// points or more.
	RefusalSwings OutcomeKind = "refusal-swings"
)

// Outcome is a bound on a measured outcome. If To is 0, it is the end of the run.
type Outcome struct {
	Kind    OutcomeKind   `yaml:"kind"`
	Service string        `yaml:"service"`
	From    time.Duration `yaml:"from"`
	To      time.Duration `yaml:"to"`
	Max     *float64      `yaml:"max"`
	Min     *float64      `yaml:"min"`
}

// Parse reads and checks a trace in YAML. Unknown keys are errors.
func Parse(r io.Reader) (*Trace, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	t := &Trace{}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(t); err != nil {
		return nil, errors.Wrap(err, "parse trace")
	}
	if err := t.check(); err != nil {
		return nil, errors.Wrap(err, "check trace")
	}
	return t, nil
}

// limits returns the limits of the service's targets.
func (s *ServiceSpec) limits() document.Limits {
	return document.Limits{
		Connections:       s.Connections,
		OpeningsInFlight:  s.OpeningsInFlight,
		OpeningsPerSecond: s.OpeningsPerSecond,
	}
}
