package direct

import (
	"slices"
	"time"
)

// Packets before the first view. The load pattern: all hosts start again under full
// load, and callers' packets arrive before a host has read its targets. A packet
// that is dropped comes again 200 ms later, which is longer than many requests may
// take; the view is there sooner.

const (
	// maxWaitingAge is how long a packet waits for the first view: less than the
	// time after which its caller sends it again.
	maxWaitingAge = 180 * time.Millisecond
	// maxWaitingPackets and maxWaitingBytes bound the packets that wait.
	maxWaitingPackets = 1024
	maxWaitingBytes   = 512 << 10
)

// waitingPacket is a received datagram behind the codec's headroom.
type waitingPacket struct {
	at  time.Duration
	buf []byte
	// repeated is set for a retransmitted opening.
	repeated bool
}

// waitingPackets holds the packets that wait for the first view, in the order of
// their arrival.
type waitingPackets struct {
	list  []waitingPacket
	bytes int
}

// add appends a copy of a packet and returns those that give way to it: the oldest
// retransmitted openings, then the oldest of all.
func (w *waitingPackets) add(now time.Duration, buf []byte, repeated bool) []waitingPacket {
	w.list = append(w.list, waitingPacket{at: now, buf: slices.Clone(buf), repeated: repeated})
	w.bytes += len(buf)
	var evicted []waitingPacket
	for len(w.list) > maxWaitingPackets || w.bytes > maxWaitingBytes {
		i := max(slices.IndexFunc(w.list, func(p waitingPacket) bool { return p.repeated }), 0)
		evicted = append(evicted, w.remove(i))
	}
	return evicted
}

// expired removes and returns the packets that have waited too long.
func (w *waitingPackets) expired(now time.Duration) []waitingPacket {
	var old []waitingPacket
	for len(w.list) > 0 && now-w.list[0].at > maxWaitingAge {
		old = append(old, w.remove(0))
	}
	return old
}

// take removes and returns all packets.
func (w *waitingPackets) take() []waitingPacket {
	list := w.list
	*w = waitingPackets{}
	return list
}

func (w *waitingPackets) remove(i int) waitingPacket {
	p := w.list[i]
	w.list = slices.Delete(w.list, i, i+1)
	w.bytes -= len(p.buf)
	return p
}
