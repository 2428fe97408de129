package tunnel

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// queue collects outgoing datagrams for one socket and writes them in batches.
type queue struct {
	conn     batchConn
	counters *counters
	messages []ipv4.Message
	slots    []slot
	n        int
}

// slot holds the data that one message of a queue refers to.
type slot struct {
	kind SentKind
	addr net.UDPAddr
	ip   [16]byte
	// scratch is the buffer for a packet that this host generates.
	scratch []byte
}

// scratchCap is the capacity in bytes for a generated packet with its GUE
// header. The longest is an ICMPv6 error of 1280 bytes.
const scratchCap = 1280 + 4

func newQueue(conn batchConn, c *counters) *queue {
	q := &queue{
		conn:     conn,
		counters: c,
		messages: make([]ipv4.Message, batchSize),
		slots:    make([]slot, batchSize),
	}
	for i := range q.messages {
		q.messages[i].Buffers = make([][]byte, 1)
		q.messages[i].Addr = &q.slots[i].addr
	}
	return q
}

// scratch returns an empty buffer for a packet to be passed to the next add.
func (q *queue) scratch() []byte {
	if q.slots[q.n].scratch == nil {
		q.slots[q.n].scratch = make([]byte, 0, scratchCap)
	}
	return q.slots[q.n].scratch[:0]
}

// storeScratch keeps the buffer that scratch returned, which may have been
// reallocated since.
func (q *queue) storeScratch(b []byte) {
	q.slots[q.n].scratch = b
}

// add appends a datagram. b must not change until the flush.
func (q *queue) add(dest netip.AddrPort, b []byte, kind SentKind) {
	sl := &q.slots[q.n]
	sl.kind = kind
	sl.setAddr(dest)
	q.messages[q.n].Buffers[0] = b
	q.n++
	if q.n == len(q.messages) {
		q.flush()
	}
}

func (sl *slot) setAddr(dest netip.AddrPort) {
	addr := dest.Addr()
	sl.addr.Port = int(dest.Port())
	sl.addr.Zone = addr.Zone()
	if addr = addr.Unmap(); addr.Is4() {
		ip := addr.As4()
		sl.addr.IP = append(sl.ip[:0], ip[:]...)
		return
	}
	ip := addr.As16()
	sl.addr.IP = append(sl.ip[:0], ip[:]...)
}

// flush writes all datagrams. A datagram that can't be written is counted and
// skipped.
func (q *queue) flush() {
	for done := 0; done < q.n; {
		n, err := q.conn.WriteBatch(q.messages[done:q.n], 0)
		for i := range max(n, 0) {
			q.counters.sent[q.slots[done+i].kind].Add(1)
		}
		done += max(n, 0)
		if err != nil || n <= 0 {
			q.counters.dropped[DropWrite].Add(1)
			done++
		}
	}
	q.n = 0
}
