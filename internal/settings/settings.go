// Package settings reads and checks the settings of a host in one place: a
// YAML file, overridden by environment variables, overridden by flags. Other
// packages trust the typed values.
package settings

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

// EnvPrefix begins the environment variable of each setting.
const EnvPrefix = "JUJUBEHAVEN_"

// Steering says how a flow's target is found.
type Steering string

const (
	// SteeringOwner finds it through the host that owns the target.
	SteeringOwner Steering = "owner"
	// SteeringToken finds it by the token that the flow's packets carry.
	SteeringToken Steering = "token"
)

// Settings are the checked settings of one host.
type Settings struct {
	Steering Steering
	// Host is the name of this host, unique among all hosts.
	Host string
	// Zone is the availability zone of this host.
	Zone string
	// Data receives tunnelled packets over UDP, from the fabric and from hosts:
	// at most one address of each IP version. Hosts relay to the first.
	Data []netip.AddrPort
	// Control receives messages of hosts over TCP.
	Control netip.AddrPort
	// Admin serves metrics and health over HTTP.
	Admin netip.AddrPort
	// Metrics serves metrics alone over HTTP; it is not valid if there is none.
	Metrics netip.AddrPort
	Fabric  Fabric
	Peers   Peers
	// Platform is the base URL of the platform's key-value service.
	Platform string
	TLS      TLS
	// Workers is the number of workers that handle packets.
	Workers int
	// MTU is the largest outer IP packet in bytes that the network carries.
	MTU      int
	LogLevel zerolog.Level
	Limits   Limits
}

// Fabric is the network that sprays packets over the hosts.
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
	// Seeds are control addresses of hosts to meet first.
	Seeds []netip.AddrPort
}

// TLS names the PEM files of the control links. Plaintext turns TLS off.
type TLS struct {
	Cert, Key, CA string
	Plaintext     bool
}

// Limits bound what a host spends.
type Limits struct {
	// ControlBudget bounds the control traffic sent, in bytes a second on the
	// wire, TLS included.
	ControlBudget int
	// ControlBurst is how many bytes of control traffic may leave at once.
	ControlBurst int
	// MaxMessage bounds one received control message, in bytes.
	MaxMessage int
	// Leave bounds the hand-over of a planned stop.
	Leave time.Duration
	// QueueBatches bounds the batches of packets that wait for one worker.
	QueueBatches int
	// ReadBuffer is the receive buffer of each UDP socket, in bytes.
	ReadBuffer int
	// ICMPErrors bounds the ICMP errors sent to callers, a second.
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

// Bounds of settings.
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
	maxNameBytes          = 63
)

// defaults returns the settings before anything is read.
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
	}
}
