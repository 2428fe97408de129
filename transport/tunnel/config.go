// Package tunnel carries callers' IP packets in GUE over UDP. It receives them
// from the fabric and from other hosts, dispatches them to workers by flow, and
// sends packets to targets, hosts and the fabric as the handler decides.
package tunnel

import (
	"net/netip"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Lengths in bytes of the outer headers in front of a GUE header.
const (
	outerIPv4Len = 20
	outerIPv6Len = 40
	outerUDPLen  = 8
)

// MaxOverhead is the largest encapsulation overhead in bytes: an IPv6 header, a
// UDP header and a GUE header with the longest relay header.
const MaxOverhead = outerIPv6Len + outerUDPLen + packet.MaxRelayOverhead

// Limits of Config.MTU in bytes. The minimum leaves room for the minimum IPv6
// link MTU of 1280 bytes (RFC 8200, section 5).
const (
	MinMTU = 1280 + MaxOverhead
	MaxMTU = 65535
)

// Defaults of Config. The MTU and the read buffer are in bytes.
const (
	DefaultMTU                 = 1500
	DefaultQueueBatches        = 128
	DefaultReadBufferBytes     = 4 << 20
	DefaultICMPErrorsPerSecond = 100
)

// Config configures a Server. A zero value selects the default if the field has
// one.
type Config struct {
	// Listen holds the local UDP addresses, at most one of each IP version.
	// Port 0 selects a free port.
	Listen []netip.AddrPort
	// Fabric holds the addresses that packets to callers are sent to.
	Fabric []netip.AddrPort
	// FabricSources are the outer source addresses allowed for packets from
	// callers, HostSources those allowed for relayed packets.
	FabricSources []netip.Prefix
	HostSources   []netip.Prefix
	// MTU is the largest outer IP packet in bytes that the network between
	// hosts, targets and fabric carries. Callers whose packets don't fit the
	// tunnel receive an ICMP error with an MTU of MTU - MaxOverhead bytes.
	MTU int
	// Shards is the number of workers; the default is one for each processor.
	Shards int
	// QueueBatches is the maximum number of batches queued for one worker.
	QueueBatches int
	// ReadBufferBytes is the requested receive buffer size of each socket.
	ReadBufferBytes int
	// ICMPErrorsPerSecond limits the ICMP errors sent to callers.
	ICMPErrorsPerSecond int
	// Now returns the monotonic time passed to Handler. It is read once per
	// batch.
	Now func() time.Duration
	// Handler decides what to do with each packet.
	Handler Handler
}

func (c Config) withDefaults() Config {
	setDefault(&c.MTU, DefaultMTU)
	setDefault(&c.Shards, runtime.GOMAXPROCS(0))
	setDefault(&c.QueueBatches, DefaultQueueBatches)
	setDefault(&c.ReadBufferBytes, DefaultReadBufferBytes)
	setDefault(&c.ICMPErrorsPerSecond, DefaultICMPErrorsPerSecond)
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	return c
}

func setDefault(value *int, def int) {
	if *value == 0 {
		*value = def
	}
}

// validate returns an error for the first invalid value.
func (c *Config) validate() error {
	if c.Handler == nil {
		return errors.New("tunnel: no handler")
	}
	if len(c.Listen) == 0 {
		return errors.New("tunnel: no listen address")
	}
	if c.MTU < MinMTU || c.MTU > MaxMTU {
		return errors.Newf("tunnel: MTU %d is outside the range %d to %d", c.MTU, MinMTU, MaxMTU)
	}
	if c.Shards < 0 || c.QueueBatches < 0 || c.ReadBufferBytes < 0 || c.ICMPErrorsPerSecond < 0 {
		return errors.New("tunnel: number of shards, queue length, read buffer size and ICMP rate must not be negative")
	}
	var seen [2]bool
	for _, addr := range c.Listen {
		if !addr.IsValid() {
			return errors.New("tunnel: invalid listen address")
		}
		family := familyOf(addr.Addr())
		if seen[family] {
			return errors.Newf("tunnel: more than one listen address of an IP version: %s", addr)
		}
		seen[family] = true
	}
	return nil
}

// family is an IP version, used as an index into arrays.
type family int

const (
	familyIPv4 family = iota
	familyIPv6
	familyCount
)

func familyOf(addr netip.Addr) family {
	if addr.Unmap().Is4() {
		return familyIPv4
	}
	return familyIPv6
}
