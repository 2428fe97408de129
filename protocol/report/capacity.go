package report

// CapacityPath is the path of a host's capacity report on its admin address.
const CapacityPath = "/zones/capacity"

// Capacity is what a host knows of the spare capacity of availability zones.
type Capacity struct {
	// Host and Zone are those of the host that reports.
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Enabled is set if the host's settings let it send flows to other zones by their
	// spare capacity.
	Enabled bool `json:"enabled"`
	// Services lists the services of which a zone's summary is known.
	Services []ServiceCapacity `json:"services"`
}

// ServiceCapacity is the capacity of one service.
type ServiceCapacity struct {
	Service string `json:"service"`
	// Known is set if the host has a valid summary of its own zone. Without it no share
	// of the flows is sent away.
	Known bool `json:"known"`
	// Slots, Demand and Spare are the slots that take new flows, the requests of the
	// callers in progress anywhere and the spare capacity of the host's zone.
	Slots  int `json:"slots"`
	Demand int `json:"demand"`
	Spare  int `json:"spare"`
	// ShareAway is the share of new flows that goes to other zones.
	ShareAway float64 `json:"share_away"`
	// Zones lists the other zones with valid summaries.
	Zones []ZoneCapacity `json:"zones"`
}

// ZoneCapacity is the capacity of a service in another zone.
type ZoneCapacity struct {
	Zone string `json:"zone"`
	// Slots are those that take new flows, and Busy the requests in progress at them
	// without those of the reporting host's zone.
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
	// Spare is the part of the zone's spare capacity that it offers to the reporting
	// host's zone.
	Spare int `json:"spare"`
	// ShareAway is the share of new flows that goes to the zone.
	ShareAway float64 `json:"share_away"`
}
