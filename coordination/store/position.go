package store

import "cmp"

// Epoch numbers the histories of a store. It rises when the store is restored from
// an older copy of its data: what was written since the copy is lost, and indexes and
// revisions are issued again for other contents. 0 means that the store does not
// report its epoch.
type Epoch uint64

// Position is a position in the history of a store. An index alone does not
// identify one, as another epoch may have issued it before.
type Position struct {
	Epoch Epoch
	Index Index
}

// Compare returns -1, 0 or 1 if p is before, equal to or after the other
// position. All positions of an epoch are after those of the epochs before it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Index, other.Index))
}

// Before reports whether p is before the other position.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }
