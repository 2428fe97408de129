// Package fleet holds a host's view of the services, their targets and the
// availability zones, as read from the platform's store. It does no I/O and
// reads no clock: callers pass the time.
package fleet

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// TargetKey identifies a target in the store. A target that restarts may reuse
// its key.
type TargetKey string

// Target is a target's entry as the target itself wrote it.
type Target struct {
	Key TargetKey
	// Number identifies the target on the wire, in front of each packet to it.
	Number  uint64
	Service string
	Zone    string
	Addr    netip.AddrPort
	// Draining targets keep their flows and get no new ones.
	Draining bool
	// Slots is the number of requests that the target serves at once.
	Slots int
	// WarmUpLeft is how much longer the target warms up after its start, counted
	// from the time of the entry's write.
	WarmUpLeft time.Duration
	// Started identifies the incarnation of the target: its start in milliseconds
	// since the Unix epoch by its own clock, 0 if unknown.
	Started int64
	// Heartbeats counts the target's writes of its entry since its start.
	Heartbeats uint64
}

// Share is a service's share of a route's new flows.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route is an address that callers connect to and the services behind it.
type Route struct {
	Endpoint packet.Endpoint
	Shares   []Share
	// Idempotent is set if callers may retry the route's requests after any
	// failure.
	Idempotent bool
	// Objective is the time from a caller's first attempt to the answer within
	// which a request has its full value; 0 means none.
	Objective time.Duration
	// Timeout is the time after which an answer has no value; 0 means none.
	Timeout time.Duration
	// Priority ranks the route when capacity is short; 0 is the highest.
	Priority int
}

// ServiceLimits holds the capacity limits of a service's targets.
type ServiceLimits struct {
	// Connections is the maximum number of flows open at one target; 0 means no
	// limit.
	Connections int
	// WarmUp is how long a target stays cold after its start.
	WarmUp time.Duration
	// ColdOpenings is the number of new flows per second that a cold target
	// accepts from all hosts together; 0 means no limit.
	ColdOpenings float64
}

// Config is the operator's configuration.
type Config struct {
	// Version increases with each change; 0 means that there is no configuration.
	Version uint64
	Routes  []Route
	// Services holds the limits of each service by its name.
	Services map[string]ServiceLimits
	// IdleTimeout is how long an idle flow is kept.
	IdleTimeout time.Duration
}
