package gossip

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
)

// Allotments is the part of the table of allotted slots that concerns the receivers
// of one digest: its head and the hosts that it relays the digest to. The sender's
// incarnation is Message.From.Started.
type Allotments struct {
	// Seq increases with each table of the sender.
	Seq   uint64      `cbor:"1,keyasint"`
	Hosts []HostSlots `cbor:"2,keyasint,omitempty"`
}

// HostSlots is what one host holds.
type HostSlots struct {
	_ struct{} `cbor:",toarray"`

	// Host is the result of HostID.
	Host uint64
	// Slots is the result of PackHoldings.
	Slots []byte
}

// Holdings is what a host holds by its last table.
type Holdings struct {
	// Reader is the result of ReaderID for the sender of the table, and Seq the
	// table's sequence number; both are 0 if the host has received none.
	Reader uint64 `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint,omitempty"`
	// Slots is the result of PackHoldings, empty if the table has expired.
	Slots []byte `cbor:"3,keyasint,omitempty"`
}

// HostID identifies a host in a table, shorter than by its name.
func HostID(name string) uint64 { return xxh3.HashString("host/" + name) }

// ReaderID identifies an incarnation of a reader.
func ReaderID(h Host) uint64 { return xxh3.HashStringSeed("reader/"+h.Name, uint64(h.Started)) }

const (
	// packedBytes is the length of one packed holding: a token and a number of
	// slots.
	packedBytes = 4 + 1
	// maxPackedSlots is the largest number of slots of one packed holding.
	maxPackedSlots = 255
	// maxPackedHoldings bounds the holdings of one host.
	maxPackedHoldings = 4096
)

// PackHoldings packs holdings into 5 bytes each.
func PackHoldings(list []allotment.Holding) []byte {
	b := make([]byte, 0, packedBytes*len(list))
	for _, h := range list {
		b = binary.BigEndian.AppendUint32(b, h.Token)
		b = append(b, byte(min(max(h.Slots, 0), maxPackedSlots)))
	}
	return b
}

// UnpackHoldings returns the holdings that PackHoldings has packed.
func UnpackHoldings(b []byte) ([]allotment.Holding, error) {
	if len(b)%packedBytes != 0 || len(b) > packedBytes*maxPackedHoldings {
		return nil, errors.Newf("gossip: holdings of %d bytes", len(b))
	}
	list := make([]allotment.Holding, 0, len(b)/packedBytes)
	for ; len(b) > 0; b = b[packedBytes:] {
		list = append(list, allotment.Holding{Token: binary.BigEndian.Uint32(b), Slots: int(b[packedBytes-1])})
	}
	return list, nil
}
