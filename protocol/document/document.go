// Package document defines the configuration documents of operators: one for each
// service and one for the state of the availability zones. It parses and
// validates them, so that other packages can rely on the typed values.
package document

import (
	"net/netip"
	"time"
)

// Service is the document of one service, owned by one team.
type Service struct {
	Name string
	Team string
	// Generation increases by one with each accepted change.
	Generation uint64
	// Change is the unique ID of the write that created this generation.
	Change    string
	Addresses []Address
	// Idempotent is set if callers may repeat requests of the service.
	Idempotent bool
	Targets    []Target
	Objectives Objectives
}

// Address is one IP address, port and protocol at which callers reach a service.
type Address struct {
	AddrPort netip.AddrPort
	// Protocol is packet.ProtoTCP or packet.ProtoUDP.
	Protocol uint8
}

// TargetState is the administrative state of a target.
type TargetState string

const (
	// TargetActive targets accept new flows.
	TargetActive TargetState = "active"
	// TargetDraining targets accept no new flows and keep their existing ones.
	TargetDraining TargetState = "draining"
)

// Target is one target of a service.
type Target struct {
	Name string
	Zone string
	// Tunnel is the UDP address at which the target's kernel decapsulates GUE
	// packets.
	Tunnel netip.AddrPort
	// Weight is the target's relative share of new flows, from 1 to MaxWeight.
	Weight int
	State  TargetState
	Limits Limits
	// Ramp is the time over which a new target warms up to its limits.
	Ramp time.Duration
	// HealthURL and LoadURL are the URLs of the target's health and load reports;
	// empty means none.
	HealthURL string
	LoadURL   string
}

// Limits are the load limits of a warm target. An opening is an attempt to open a
// new flow.
type Limits struct {
	// Connections is the maximum number of concurrent flows.
	Connections int
	// OpeningsInFlight is the maximum number of openings that the target has not
	// answered yet.
	OpeningsInFlight int
	// OpeningsPerSecond is the maximum rate of openings.
	OpeningsPerSecond int
}

// Objectives are the service-level objectives: fractions, from 0 to 1, over
// Window.
type Objectives struct {
	Window         time.Duration
	FlowsNotBroken float64
	NewFlowsServed float64
}

// ZoneState is whether an availability zone is in service.
type ZoneState string

const (
	// ZoneIn zones are in service.
	ZoneIn ZoneState = "in"
	// ZoneOut zones receive no packets.
	ZoneOut ZoneState = "out"
)

// Zones is the document that holds the state of all availability zones.
type Zones struct {
	Generation uint64
	Change     string
	Zones      []Zone
}

// Zone is the state of one availability zone.
type Zone struct {
	Name  string
	State ZoneState
}
