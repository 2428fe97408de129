package tunnel

import (
	"sync/atomic"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Drop is the cause for which the tunnel dropped a packet that the decoder
// accepted.
type Drop uint8

const (
	// DropSource means that the outer source address is not allowed.
	DropSource Drop = iota
	// DropRelaySource means that a relayed packet came from an address outside
	// HostSources.
	DropRelaySource
	// DropOversize means that the datagram was larger than the MTU.
	DropOversize
	// DropReceiveBuffer means that the socket's receive buffer was full. Such
	// datagrams are not part of Received, and they are counted when the next
	// datagram is received.
	DropReceiveBuffer
	// DropQueueFull means that the queue of the flow's worker was full.
	DropQueueFull
	// DropTooBig means that the encapsulated packet exceeds the MTU.
	DropTooBig
	// DropNoSocket means that no socket has the destination's IP version.
	DropNoSocket
	// DropNoFabric means that no fabric address is configured for a packet to a
	// caller.
	DropNoFabric
	// DropWrite means that the system call to send the packet failed.
	DropWrite
	// DropICMPRate means that an ICMP error exceeded the rate limit.
	DropICMPRate
	// DropCount is the number of causes.
	DropCount
)

var dropNames = [DropCount]string{
	"source", "relay-source", "oversize", "receive-buffer", "queue-full", "too-big", "no-socket",
	"no-fabric", "write", "icmp-rate",
}

// String returns the name used in logs and metrics.
func (d Drop) String() string {
	if d < DropCount {
		return dropNames[d]
	}
	return "unknown"
}

// Sent is the kind of a packet that the tunnel sends.
type Sent uint8

const (
	// SentForward is a caller's packet to a target.
	SentForward Sent = iota
	// SentRelay is a caller's packet to another host.
	SentRelay
	// SentReset is a TCP reset to a caller or a target.
	SentReset
	// SentICMP is an ICMP error to a caller.
	SentICMP
	// SentCount is the number of kinds.
	SentCount
)

var sentNames = [SentCount]string{"forward", "relay", "reset", "icmp"}

// String returns the name used in logs and metrics.
func (s Sent) String() string {
	if s < SentCount {
		return sentNames[s]
	}
	return "unknown"
}

// Stats counts packets since the server started. Each received datagram is
// counted once in Received, and once in Handled, Refused or Dropped when its
// processing ends. Each packet to be sent is counted in Sent or in Dropped.
type Stats struct {
	Received uint64
	// Relayed counts the packets in Handled that came from other hosts.
	Handled, Relayed uint64
	Refused          [packet.CauseCount]uint64
	Dropped          [DropCount]uint64
	Sent             [SentCount]uint64
}

// counters are written by one goroutine and may be read by any.
type counters struct {
	received, handled, relayed atomic.Uint64
	refused                    [packet.CauseCount]atomic.Uint64
	dropped                    [DropCount]atomic.Uint64
	sent                       [SentCount]atomic.Uint64
	// The padding prevents false sharing between the counters of two goroutines.
	_ [64]byte
}

func (c *counters) addTo(s *Stats) {
	s.Received += c.received.Load()
	s.Handled += c.handled.Load()
	s.Relayed += c.relayed.Load()
	addAll(s.Refused[:], c.refused[:])
	addAll(s.Dropped[:], c.dropped[:])
	addAll(s.Sent[:], c.sent[:])
}

func addAll(sums []uint64, values []atomic.Uint64) {
	for i := range values {
		sums[i] += values[i].Load()
	}
}
