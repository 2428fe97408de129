// Package explain defines the answer of a host that explains where an opening would
// be placed, as its admin address serves it in JSON.
package explain

// Path is the path of the endpoint at the admin address. The parameters ToParameter
// and FromParameter hold the address and port of the service and, optionally, of the
// caller.
const (
	Path          = "/explain"
	ToParameter   = "to"
	FromParameter = "from"
)

// Answer says where an opening would be placed at the time of the question, and why.
// Readers ignore fields that they do not know.
type Answer struct {
	// Host and Zone are the host that answers and its availability zone.
	Host string `json:"host"`
	Zone string `json:"zone"`
	// To is the address of the service, From that of the caller. CallerAssumed is set
	// if the question named no caller: the choice may differ from caller to caller.
	To            string `json:"to"`
	From          string `json:"from"`
	CallerAssumed bool   `json:"caller_assumed,omitempty"`
	// Shares are the services of the route, Service the one that the caller's address
	// and port select.
	Shares  []Share `json:"shares"`
	Service string  `json:"service,omitempty"`
	// Chosen is the key of the target that would be chosen, empty if there is none.
	// Cause is the cause of the decision as in logs and metrics, Reason a sentence.
	Chosen string `json:"chosen,omitempty"`
	Cause  string `json:"cause"`
	Reason string `json:"reason"`
	// KnownTarget is the target of an open flow with the same addresses and ports. Its
	// packets, and copies of its opening, go there.
	KnownTarget string `json:"known_target,omitempty"`
	// Ages are the ages of the data that the decision is based on.
	Ages []Age `json:"ages"`
	// Candidates are all targets of the service, by key.
	Candidates []Candidate `json:"candidates"`
}

// Share is a service's weight in a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Age is the age of one kind of data.
type Age struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Candidate is one target as the host sees it.
type Candidate struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	Addr   string `json:"addr"`
	Slots  int    `json:"slots"`
	// Open and Busy count this host's flows and requests at the target, PeersOpen and
	// PeersBusy those of the other hosts of its zone.
	Open      int `json:"open"`
	Busy      int `json:"busy"`
	PeersOpen int `json:"peers_open"`
	PeersBusy int `json:"peers_busy"`
	// Load is in multiples of the slots. Cost ranks the targets that are not ruled
	// out: the load and what is added to it.
	Load float64 `json:"load"`
	Cost float64 `json:"cost"`
	// RuledOut lists what excludes the target, RankedLower what raises its cost.
	RuledOut    []string `json:"ruled_out,omitempty"`
	RankedLower []string `json:"ranked_lower,omitempty"`
	// HeartbeatAgeSeconds is the time since the target's last heartbeat that the host
	// has read.
	HeartbeatAgeSeconds float64 `json:"heartbeat_age_seconds"`
	// Figures are further columns, in the same order for all candidates.
	Figures []Figure `json:"figures,omitempty"`
}

// Figure is a named value of a candidate.
type Figure struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Problem is the answer to a question that the host can't answer.
type Problem struct {
	Error string `json:"error"`
}
