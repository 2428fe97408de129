package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"

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
	// tokenBytes is the length of a token.
	tokenBytes = 4
	// maxPackedSlots is the largest number of slots of one holding, maxRunLength the
	// largest number of tokens after one number of slots.
	maxPackedSlots = 255
	maxRunLength   = 255
	// maxPackedBytes bounds the holdings of one host: about 4,000.
	maxPackedBytes = 16 << 10
)

// PackHoldings packs holdings into about 4 bytes each: runs of tokens with the same
// number of slots, each after that number and the length of the run.
func PackHoldings(list []allotment.Holding) []byte {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b allotment.Holding) int { return cmp.Compare(a.Slots, b.Slots) })
	b := make([]byte, 0, tokenBytes*(len(list)+1))
	run := 0 // where the last run begins
	for i, h := range list {
		slots := byte(min(max(h.Slots, 0), maxPackedSlots))
		if i == 0 || slots != b[run] || b[run+1] == maxRunLength {
			run = len(b)
			b = append(b, slots, 0)
		}
		b[run+1]++
		b = binary.BigEndian.AppendUint32(b, h.Token)
	}
	return b
}

// UnpackHoldings returns the holdings that PackHoldings has packed.
func UnpackHoldings(b []byte) ([]allotment.Holding, error) {
	if len(b) > maxPackedBytes {
		return nil, errors.Newf("gossip: holdings of %d bytes exceed the limit of %d", len(b), maxPackedBytes)
	}
	list := make([]allotment.Holding, 0, len(b)/tokenBytes)
	for len(b) > 0 {
		if len(b) < 2 || len(b) < 2+tokenBytes*int(b[1]) {
			return nil, errors.New("gossip: holdings are cut off")
		}
		slots, n := int(b[0]), int(b[1])
		b = b[2:]
		for ; n > 0; n-- {
			list = append(list, allotment.Holding{Token: binary.BigEndian.Uint32(b), Slots: slots})
			b = b[tokenBytes:]
		}
	}
	return list, nil
}
