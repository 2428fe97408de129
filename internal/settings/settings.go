// Package settings loads and validates the settings of a host from a YAML file,
// environment variables and flags, in ascending priority. Other packages rely on
// the validated values.
package settings

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

// EnvPrefix is the name prefix of the environment variables.
const EnvPrefix = "JUJUBEHAVEN_"

// Steering selects how the target of a flow is found.
type Steering string

const (
	// SteeringOwner finds the target through the host that owns it.
	SteeringOwner Steering = "owner"
	// SteeringToken finds the target by the token that the flow's packets carry.
	SteeringToken Steering = "token"
)

// Settings are the validated settings of one host.
type Settings struct {
	Steering Steering
	// Host is the name of this host, unique among all hosts.
	Host string
	// Zone is the availability zone of this host.
	Zone string
	// Data holds the UDP addresses that receive packets, at most one of each IP
	// version. If flows are steered by owner, the packets are tunnelled by the
	// fabric and by other hosts, which relay to the first address.
	Data []netip.AddrPort
	// Control is the address for messages of other hosts: TCP if flows are steered
	// by owner, otherwise UDP gossip, which is off if the address is not valid.
	Control netip.AddrPort
	// Admin is the address for metrics and health over HTTP.
	Admin netip.AddrPort
	// Metrics is an additional address for metrics over HTTP; it is not valid if
	// there is none.
	Metrics netip.AddrPort
	Fabric  Fabric
	Peers   Peers
	// Platform is the base URL of the platform's key-value service.
	Platform string
	TLS      TLS
	// Workers is the number of workers that handle packets.
	Workers int
	// MTU is the largest outer IP packet in bytes that the network carries.
	MTU int
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, 0 if unknown.
	LinkMbps  int
	LogLevel  zerolog.Level
	Limits    Limits
	Balancing Balancing
	// Ignored lists the settings of the group if_known that this version does not know.
	Ignored []Problem
}

// Balancing holds the methods by which hosts that steer by token balance high load. Each
// can be switched off.
type Balancing struct {
	// Allotments lets the hosts of a large zone share out the slots of targets.
	Allotments bool
	// CrossZone lets zones send new flows to other zones by their spare capacity.
	CrossZone bool
	// Admission admits new flows by the objectives and priorities of their routes.
	Admission bool
	// ExpectedWork places new flows by the expected time of service of requests.
	ExpectedWork bool
}

// Fabric is the network that distributes packets across the hosts.
type Fabric struct {
	// Return holds the fabric's tunnel addresses for packets to callers.
	Return []netip.AddrPort
	// Sources are the prefixes from which the fabric may send.
	Sources []netip.Prefix
}

// Peers are the other hosts.
type Peers struct {
	// Sources are the prefixes from which hosts may relay packets.
	Sources []netip.Prefix
	// Seeds are the control addresses of the hosts to join through.
	Seeds []netip.AddrPort
}

// TLS names the PEM files of the control links. Plaintext turns TLS off.
type TLS struct {
	Cert, Key, CA string
	Plaintext     bool
}

// Limits holds the resource limits of a host.
type Limits struct {
	// ControlBudget limits the control traffic sent, in bytes per second on the
	// wire, TLS included.
	ControlBudget int
	// ControlBurst is the largest burst of control traffic sent, in bytes.
	ControlBurst int
	// MaxMessage is the maximum size of a received control message, in bytes.
	MaxMessage int
	// Leave limits the duration of the hand-over in a planned stop. If flows are
	// steered by token, there is no hand-over, and the host serves for this time
	// before it closes.
	Leave time.Duration
	// QueueBatches is the maximum number of packet batches queued for one worker.
	QueueBatches int
	// ReadBuffer is the receive buffer of each UDP socket, in bytes.
	ReadBuffer int
	// ICMPErrors limits the ICMP errors sent to callers, per second.
	ICMPErrors int
}

// Defaults of settings that a file may leave out.
const (
	DefaultWorkers            = 2
	DefaultControlBudgetBytes = 4000
	DefaultControlBurstBytes  = 65536
	DefaultMaxMessageBytes    = 1 << 20
	DefaultLeave              = 35 * time.Second
)

// Minimum and maximum values of settings.
const (
	maxWorkers            = 256
	minControlBudgetBytes = 500
	maxControlBudgetBytes = 10_000_000
	minControlBurstBytes  = 1000
	maxControlBurstBytes  = 10_000_000
	minMaxMessageBytes    = 1 << 10
	maxMaxMessageBytes    = 16 << 20
	maxLeave              = 10 * time.Minute
	minLeave              = 100 * time.Millisecond
	maxQueueBatches       = 1 << 16
	minReadBufferBytes    = 1 << 16
	maxReadBufferBytes    = 1 << 30
	maxICMPErrors         = 1_000_000
	maxLinkMbps           = 1_000_000
	maxNameBytes          = 63
)

// defaults returns the settings with all defaults, before any source is read.
func defaults() Settings {
	return Settings{
		Steering: SteeringOwner,
		Workers:  DefaultWorkers,
		MTU:      tunnel.DefaultMTU,
		LogLevel: zerolog.InfoLevel,
		Limits: Limits{
			ControlBudget: DefaultControlBudgetBytes,
			ControlBurst:  DefaultControlBurstBytes,
			MaxMessage:    DefaultMaxMessageBytes,
			Leave:         DefaultLeave,
			QueueBatches:  tunnel.DefaultQueueBatches,
			ReadBuffer:    tunnel.DefaultReadBufferBytes,
			ICMPErrors:    tunnel.DefaultICMPErrorsPerSecond,
		},
		Balancing: Balancing{Allotments: true, CrossZone: true, Admission: true, ExpectedWork: true},
	}
}
