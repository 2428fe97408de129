// Package fleet holds what a host believes about the services, their targets
// and the availability zones, as read from the platform's store. It does no
// I/O and reads no clock: callers pass the time.
package fleet

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// TargetKey names a target in the store. A target that starts again may come
// back under the key that it had.
type TargetKey string

// Target is one target as it describes itself.
type Target struct {
	Key TargetKey
	// Number identifies the target on the wire, before each packet for it.
	Number  uint64
	Service string
	Zone    string
	Addr    netip.AddrPort
	// Draining targets keep their flows and get no new ones.
	Draining bool
	// Slots is how many requests the target works on at once.
	Slots int
	// SlowFor is how much longer the target stays slow after its start,
	// counted from when it said so.
	SlowFor time.Duration
	// Started is when this incarnation of the target started, in milliseconds
	// of its own clock since the Unix epoch; 0 if it did not say.
	Started int64
	// Beats counts what the target has said since its start.
	Beats uint64
}

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route is an address that callers use and the services behind it.
type Route struct {
	Endpoint packet.Endpoint
	Shares   []Share
	// Idempotent is set if callers may repeat the route's requests after any
	// failure.
	Idempotent bool
}

// ServiceLimits is what the targets of a service can bear.
type ServiceLimits struct {
	// Connections bounds the flows open at one target; 0 means no bound.
	Connections int
	// WarmUp is how long a target stays cold after its start.
	WarmUp time.Duration
	// ColdOpenings is how many new flows a second a cold target bears from all
	// hosts together; 0 means as many as a warm one.
	ColdOpenings float64
}

// Config is the operator's configuration.
type Config struct {
	// Version rises with each change; 0 stands for no configuration.
	Version uint64
	Routes  []Route
	// Services has the limits of each service by its name.
	Services map[string]ServiceLimits
	// IdleTimeout is how long a silent flow is kept.
	IdleTimeout time.Duration
}
