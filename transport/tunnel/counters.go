package tunnel

import (
	"sync/atomic"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// DropCause is the reason why the tunnel dropped a packet. Packets that the
// decoder refuses are counted by packet.Cause instead.
type DropCause uint8

const (
	// DropSource means that the outer source address is not allowed.
	DropSource DropCause = iota
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
	// DropCauseCount is the number of causes.
	DropCauseCount
)

var dropNames = [DropCauseCount]string{
	"source", "relay-source", "oversize", "receive-buffer", "queue-full", "too-big", "no-socket",
	"no-fabric", "write", "icmp-rate",
}

// String returns the name used in logs and metrics.
func (d DropCause) String() string {
	if d < DropCauseCount {
		return dropNames[d]
	}
	return "unknown"
}

// SentKind is the kind of a packet that the tunnel sends.
type SentKind uint8

const (
	// SentForward is a caller's packet to a target.
	SentForward SentKind = iota
	// SentRelay is a caller's packet to another host.
	SentRelay
	// SentReset is a TCP reset to a caller or a target.
	SentReset
	// SentICMP is an ICMP error to a caller.
	SentICMP
	// SentKindCount is the number of kinds.
	SentKindCount
)

var sentNames = [SentKindCount]string{"forward", "relay", "reset", "icmp"}

// String returns the name used in logs and metrics.
func (s SentKind) String() string {
	if s < SentKindCount {
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
	Dropped          [DropCauseCount]uint64
	Sent             [SentKindCount]uint64
}

// counters are written by one goroutine and may be read by any.
type counters struct {
	received, handled, relayed atomic.Uint64
	refused                    [packet.CauseCount]atomic.Uint64
	dropped                    [DropCauseCount]atomic.Uint64
	sent                       [SentKindCount]atomic.Uint64
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
