package document

import "time"

// Bounds of the values in a document.
const (
	// MaxTextBytes is the maximum length of a document's text. Peers send it as a
	// JSON string in a message of up to 1 MiB. Escaping makes the string up to
	// twice as long, or more if the text has many '<', '>' or '&' (6 bytes each).
	MaxTextBytes = 500_000
	// MaxAddresses is the maximum number of addresses of one service.
	MaxAddresses = 64
	// MaxTargets is the maximum number of targets of one service.
	MaxTargets = 512
	// MaxZones is the maximum number of availability zones.
	MaxZones = 64
	// MaxNameBytes is the maximum length of a name (a DNS label, RFC 1123,
	// section 2.1).
	MaxNameBytes = 63
	// MaxGeneration is the highest generation. JSON parsers that use float64
	// represent integers up to it exactly.
	MaxGeneration = 1 << 53
	// MaxChangeBytes is the maximum length of a change ID.
	MaxChangeBytes = 64
	// MaxURLBytes is the maximum length of a health or load URL.
	MaxURLBytes = 512
	// MaxWeight is the maximum weight of a target.
	MaxWeight = 100
	// MaxConnections is the highest limit of a target's connections.
	MaxConnections = 1_000_000
	// MaxOpeningsInFlight is the highest limit of a target's openings in flight.
	MaxOpeningsInFlight = 100_000
	// MaxOpeningsPerSecond is the highest limit of a target's openings per second.
	MaxOpeningsPerSecond = 1_000_000
	// MinRamp and MaxRamp bound the ramp of a new target.
	MinRamp = time.Second
	MaxRamp = time.Hour
	// MinWindow and MaxWindow bound the window of the objectives.
	MinWindow = time.Minute
	MaxWindow = 90 * 24 * time.Hour
	// MinObjective is the lowest fraction allowed for an objective. An objective
	// must also be below 1, since 1 leaves no error budget.
	MinObjective = 0.5
)

// Defaults of the optional keys of a document.
const (
	// DefaultWeight is the default weight of a target.
	DefaultWeight = 1
	// DefaultRamp is the default ramp of a new target.
	DefaultRamp = time.Minute
	// DefaultWindow is the default window of the objectives.
	DefaultWindow = 30 * 24 * time.Hour
	// DefaultFlowsNotBroken is the default fraction of flows that must not break.
	DefaultFlowsNotBroken = 0.9999
	// DefaultNewFlowsServed is the default fraction of new flows that must be
	// served.
	DefaultNewFlowsServed = 0.999
)
