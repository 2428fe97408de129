package packet

import "encoding/binary"

// Layout of the GUE header, variant 0 (draft-ietf-intarea-gue, section 3):
//
//	 0                   1                   2                   3
//	|0 0|C|  Hlen   |  Proto/ctype  |             Flags             |
//	|       extension fields and private data, Hlen words           |
const (
	gueHeaderLen    = 4
	gueVariantShift = 6
	gueControlBit   = 1 << 5
	gueHlenMask     = 0x1f
	gueWordLen      = 4
)

// IP protocol numbers of the GUE payload.
const (
	protoIPv4 uint8 = 4
	protoIPv6 uint8 = 41
)

// Layout of the private data of a relayed packet, in bytes. The visited host
// IDs follow, relayHostLen bytes each.
const (
	relayMagicOffset     = 0
	relayVersionOffset   = 2
	relayStageOffset     = 3
	relayFlagsOffset     = 4
	relayVisitedOffset   = 5
	relayExcludedOffset  = 6
	relayViewOffset      = 8
	relayCandidateOffset = 12
	relayFixedLen        = 20
	relayHostLen         = 4
)

const (
	relayMagic   uint16 = 0x6a68
	relayVersion uint8  = 1

	relayFlagViewsDiffer     uint8 = 1 << 0
	relayFlagPeerUnreachable uint8 = 1 << 1
	relayFlagsMask                 = relayFlagViewsDiffer | relayFlagPeerUnreachable
)

// GUEOverhead is the length in bytes of the GUE header without private data,
// MaxRelayOverhead the length of one with MaxVisited visited hosts.
const (
	GUEOverhead      = gueHeaderLen
	MaxRelayOverhead = gueHeaderLen + relayFixedLen + MaxVisited*relayHostLen
)

// ParseGUE returns the IP packet in the UDP payload b, which the result
// aliases. If the private data holds a relay header, it is decoded into relay and
// hasRelay is true; otherwise relay is unchanged. Extension fields, control
// messages and private data of any other kind are refused.
func ParseGUE(b []byte, relay *Relay) (inner []byte, hasRelay bool, cause Cause) {
	if len(b) < gueHeaderLen {
		return nil, false, CauseTruncated
	}
	if cause := checkGUEHeader(b); cause != CauseNone {
		return nil, false, cause
	}
	headerLen := gueHeaderLen + int(b[0]&gueHlenMask)*gueWordLen
	if headerLen >= len(b) {
		return nil, false, CauseTruncated
	}
	inner = b[headerLen:]
	if !protoMatchesVersion(b[1], inner[0]) {
		return nil, false, CauseBadVersion
	}
	if headerLen == gueHeaderLen {
		return inner, false, CauseNone
	}
	if !parseRelay(b[gueHeaderLen:headerLen], relay) {
		return nil, false, CauseBadRelay
	}
	return inner, true, CauseNone
}

func checkGUEHeader(b []byte) Cause {
	if b[0]>>gueVariantShift != 0 {
		return CauseGUEVariant
	}
	if b[0]&gueControlBit != 0 {
		return CauseGUEControl
	}
	if b[1] != protoIPv4 && b[1] != protoIPv6 {
		return CauseGUEProtocol
	}
	if binary.BigEndian.Uint16(b[2:4]) != 0 {
		return CauseGUEFlags
	}
	return CauseNone
}

func protoMatchesVersion(proto, firstByte uint8) bool {
	switch firstByte >> 4 {
	case 4:
		return proto == protoIPv4
	case 6:
		return proto == protoIPv6
	}
	return false
}

// parseRelay reports whether b is exactly one valid relay header, and decodes it
// into r only then.
func parseRelay(b []byte, r *Relay) bool {
	if len(b) < relayFixedLen ||
		binary.BigEndian.Uint16(b[relayMagicOffset:]) != relayMagic ||
		b[relayVersionOffset] != relayVersion {
		return false
	}
	stage := RelayStage(b[relayStageOffset])
	flags := b[relayFlagsOffset]
	visited := b[relayVisitedOffset]
	if stage < StageLookup || stage > StagePlaceAny || flags&^relayFlagsMask != 0 {
		return false
	}
	if visited > MaxVisited || len(b) != relayFixedLen+int(visited)*relayHostLen {
		return false
	}
	*r = Relay{
		Stage:           stage,
		VisitedLen:      visited,
		ViewsDiffer:     flags&relayFlagViewsDiffer != 0,
		PeerUnreachable: flags&relayFlagPeerUnreachable != 0,
		Excluded:        binary.BigEndian.Uint16(b[relayExcludedOffset:]),
		View:            binary.BigEndian.Uint32(b[relayViewOffset:]),
		Candidate:       binary.BigEndian.Uint64(b[relayCandidateOffset:]),
	}
	for i := range int(visited) {
		r.Visited[i] = binary.BigEndian.Uint32(b[relayFixedLen+i*relayHostLen:])
	}
	return true
}

// AppendGUEHeader appends the GUE header for the IP packet inner.
func AppendGUEHeader(dst, inner []byte) []byte {
	return append(dst, 0, payloadProto(inner), 0, 0)
}

// AppendRelayGUEHeader appends the GUE header for inner with r as private data.
// VisitedLen is limited to MaxVisited.
func AppendRelayGUEHeader(dst []byte, r *Relay, inner []byte) []byte {
	visited := min(r.VisitedLen, MaxVisited)
	words := (relayFixedLen + int(visited)*relayHostLen) / gueWordLen
	dst = append(dst, uint8(words), payloadProto(inner), 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, relayMagic)
	dst = append(dst, relayVersion, uint8(r.Stage), relayFlags(r), visited)
	dst = binary.BigEndian.AppendUint16(dst, r.Excluded)
	dst = binary.BigEndian.AppendUint32(dst, r.View)
	dst = binary.BigEndian.AppendUint64(dst, r.Candidate)
	for _, id := range r.Visited[:visited] {
		dst = binary.BigEndian.AppendUint32(dst, id)
	}
	return dst
}

// AppendGUE appends the IP packet inner in GUE.
func AppendGUE(dst, inner []byte) []byte {
	return append(AppendGUEHeader(dst, inner), inner...)
}

// AppendRelayGUE appends the IP packet inner in GUE with r as private data.
func AppendRelayGUE(dst []byte, r *Relay, inner []byte) []byte {
	return append(AppendRelayGUEHeader(dst, r, inner), inner...)
}

func relayFlags(r *Relay) uint8 {
	var flags uint8
	if r.ViewsDiffer {
		flags |= relayFlagViewsDiffer
	}
	if r.PeerUnreachable {
		flags |= relayFlagPeerUnreachable
	}
	return flags
}

// payloadProto returns the IP protocol number of the IP packet inner as payload.
func payloadProto(inner []byte) uint8 {
	if len(inner) > 0 && inner[0]>>4 == 6 {
		return protoIPv6
	}
	return protoIPv4
}

// RelayOverhead returns the length in bytes of the GUE header with r as private
// data.
func RelayOverhead(r *Relay) int {
	return gueHeaderLen + relayFixedLen + int(min(r.VisitedLen, MaxVisited))*relayHostLen
}
