package settings

import (
	"slices"
	"strings"

	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

// Key describes one setting: its path in the file, its meaning and how its value
// is parsed.
type Key struct {
	// Name is the path in the file, joined by dots.
	Name string
	// Usage is the help text, one line.
	Usage string
	// Default is the default value of an optional setting, as shown to operators.
	Default string
	// Required is set if the setting has no default and must be given.
	Required bool
	// OwnerOnly is set if the setting is required only when flows are steered by
	// owner. Steering by token ignores the setting, except that the control
	// address enables gossip.
	OwnerOnly bool
	// List is set if the setting takes several values, which are separated by
	// commas in flags and environment variables.
	List bool
	set  func(s *Settings, values []string) error
}

// Env returns the name of the environment variable that overrides the setting.
func (k Key) Env() string {
	return EnvPrefix + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(k.Name))
}

// Flag returns the name of the flag that overrides the setting.
func (k Key) Flag() string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(k.Name)
}

// Keys returns all settings in the order of the operators' documentation.
func Keys() []Key {
	return slices.Concat(identityKeys(), limitKeys(), balancingKeys())
}

func balancingKeys() []Key {
	return []Key{
		balancingKey("allotments", "false stops sharing out the slots of targets among the hosts of a large zone", func(b *Balancing) *bool { return &b.Allotments }),
		balancingKey("cross_zone", "false stops sending new flows to other zones by their spare capacity", func(b *Balancing) *bool { return &b.CrossZone }),
		balancingKey("admission", "false stops admitting new flows by the objectives and priorities of their routes", func(b *Balancing) *bool { return &b.Admission }),
		balancingKey("expected_work", "false stops placing new flows by the expected time of service of requests", func(b *Balancing) *bool { return &b.ExpectedWork }),
	}
}

func balancingKey(name, usage string, field func(*Balancing) *bool) Key {
	return Key{
		Name: "balancing." + name, Default: "true", Usage: usage,
		set: single(func(s *Settings, v string) error { return setBool(field(&s.Balancing), v) }),
	}
}

func identityKeys() []Key {
	return []Key{
		{
			Name: "steering", Default: "owner", Usage: "how a flow's target is found: owner or token",
			set: single(func(s *Settings, v string) error { return setSteering(&s.Steering, v) }),
		},
		{
			Name: "host", Required: true, Usage: "name of this host, unique among all hosts",
			set: single(func(s *Settings, v string) error { return setName(&s.Host, v) }),
		},
		{
			Name: "zone", Required: true, Usage: "availability zone of this host",
			set: single(func(s *Settings, v string) error { return setName(&s.Zone, v) }),
		},
		{
			Name: "data", Required: true, List: true, Usage: "UDP addresses for packets, one of each IP version; hosts relay to the first",
			set: func(s *Settings, v []string) error { return setAddrPorts(&s.Data, v) },
		},
		{
			Name: "control", Required: true, OwnerOnly: true, Usage: "TCP address and port for messages from hosts",
			set: single(func(s *Settings, v string) error { return setAddrPort(&s.Control, v) }),
		},
		{
			Name: "admin", Required: true, Usage: "TCP address and port for metrics and health over HTTP",
			set: single(func(s *Settings, v string) error { return setAddrPort(&s.Admin, v) }),
		},
		{
			Name: "metrics", Default: "none", Usage: "TCP address and port for metrics alone, beside those on admin",
			set: single(func(s *Settings, v string) error { return setAddrPort(&s.Metrics, v) }),
		},
		{
			Name: "fabric.return", Required: true, OwnerOnly: true, List: true, Usage: "the fabric's tunnel addresses for packets to callers",
			set: func(s *Settings, v []string) error { return setAddrPorts(&s.Fabric.Return, v) },
		},
		{
			Name: "fabric.sources", Required: true, OwnerOnly: true, List: true, Usage: "prefixes from which the fabric may send",
			set: func(s *Settings, v []string) error { return setPrefixes(&s.Fabric.Sources, v) },
		},
		{
			Name: "peers.sources", Required: true, OwnerOnly: true, List: true, Usage: "prefixes from which hosts may relay packets",
			set: func(s *Settings, v []string) error { return setPrefixes(&s.Peers.Sources, v) },
		},
		{
			Name: "peers.seeds", List: true, Default: "none", Usage: "control addresses of hosts to meet first",
			set: func(s *Settings, v []string) error { return setAddrPorts(&s.Peers.Seeds, v) },
		},
		{
			Name: "platform", Default: "none", Usage: "base URL of the platform's key-value service",
			set: single(func(s *Settings, v string) error { return setURL(&s.Platform, v) }),
		},
		{
			Name: "tls.cert", Default: "none", Usage: "PEM file of this host's certificate chain",
			set: single(func(s *Settings, v string) error { s.TLS.Cert = v; return nil }),
		},
		{
			Name: "tls.key", Default: "none", Usage: "PEM file of this host's private key",
			set: single(func(s *Settings, v string) error { s.TLS.Key = v; return nil }),
		},
		{
			Name: "tls.ca", Default: "none", Usage: "PEM file of the authority that signs the hosts' certificates",
			set: single(func(s *Settings, v string) error { s.TLS.CA = v; return nil }),
		},
		{
			Name: "plaintext", Default: "false", Usage: "true turns TLS off on control links",
			set: single(func(s *Settings, v string) error { return setBool(&s.TLS.Plaintext, v) }),
		},
	}
}

func limitKeys() []Key {
	return []Key{
		{
			Name: "workers", Default: "2", Usage: "workers that handle packets",
			set: single(func(s *Settings, v string) error { return setInt(&s.Workers, v, 1, maxWorkers) }),
		},
		{
			Name: "mtu", Default: "1500", Usage: "bytes of the largest outer IP packet that the network carries",
			set: single(func(s *Settings, v string) error { return setInt(&s.MTU, v, tunnel.MinMTU, tunnel.MaxMTU) }),
		},
		{
			Name: "link_mbps", Default: "0", Usage: "bandwidth of this host's network link in Mbit/s, 0 if unknown",
			set: single(func(s *Settings, v string) error { return setMbps(&s.LinkMbps, v) }),
		},
		{
			Name: "log_level", Default: "info", Usage: "debug, info, warn or error",
			set: single(func(s *Settings, v string) error { return setLevel(&s.LogLevel, v) }),
		},
		{
			Name: "limits.control_budget", Default: "4000", Usage: "bytes a second of control traffic sent, TLS included",
			set: single(func(s *Settings, v string) error {
				return setInt(&s.Limits.ControlBudget, v, minControlBudgetBytes, maxControlBudgetBytes)
			}),
		},
		{
			Name: "limits.control_burst", Default: "65536", Usage: "bytes of control traffic that may leave at once",
			set: single(func(s *Settings, v string) error {
				return setInt(&s.Limits.ControlBurst, v, minControlBurstBytes, maxControlBurstBytes)
			}),
		},
		{
			Name: "limits.max_message", Default: "1048576", Usage: "bytes of one received control message",
			set: single(func(s *Settings, v string) error {
				return setInt(&s.Limits.MaxMessage, v, minMaxMessageBytes, maxMaxMessageBytes)
			}),
		},
		{
			Name: "limits.leave", Default: "35s", Usage: "longest hand-over of a planned stop",
			set: single(func(s *Settings, v string) error { return setDuration(&s.Limits.Leave, v, minLeave, maxLeave) }),
		},
		{
			Name: "limits.queue_batches", Default: "128", Usage: "batches of packets that may wait for one worker",
			set: single(func(s *Settings, v string) error {
				return setInt(&s.Limits.QueueBatches, v, 1, maxQueueBatches)
			}),
		},
		{
			Name: "limits.read_buffer", Default: "4194304", Usage: "bytes of the receive buffer of each UDP socket",
			set: single(func(s *Settings, v string) error {
				return setInt(&s.Limits.ReadBuffer, v, minReadBufferBytes, maxReadBufferBytes)
			}),
		},
		{
			Name: "limits.icmp_errors", Default: "100", Usage: "ICMP errors a second sent to callers",
			set: single(func(s *Settings, v string) error { return setInt(&s.Limits.ICMPErrors, v, 1, maxICMPErrors) }),
		},
	}
}
