package wire

import "bytes"

// maxHeldSegments is the maximum number of segments in a ReorderBuffer.
const maxHeldSegments = 64

// ReorderBuffer buffers out-of-order TCP segments, which occur when packets of one
// flow take different paths (RFC 9293, section 3.10.7.4). The zero value is empty.
type ReorderBuffer struct {
	held map[uint32][]byte
}

// Insert stores a copy of payload, which starts at seq. A segment is ignored if seq
// is not after next, the sequence number of the first missing byte, or if the
// buffer is full.
func (r *ReorderBuffer) Insert(next, seq uint32, payload []byte) {
	if int32(seq-next) <= 0 || len(payload) == 0 || len(r.held) >= maxHeldSegments {
		return
	}
	if r.held == nil {
		r.held = make(map[uint32][]byte)
	}
	r.held[seq] = bytes.Clone(payload)
}

// Take removes and returns the buffered bytes that are contiguous from next, and
// discards older segments.
func (r *ReorderBuffer) Take(next uint32) []byte {
	var out []byte
	for payload, ok := r.held[next]; ok; payload, ok = r.held[next] {
		out = append(out, payload...)
		delete(r.held, next)
		next += uint32(len(payload))
	}
	for seq := range r.held {
		if int32(seq-next) < 0 {
			delete(r.held, seq)
		}
	}
	return out
}
