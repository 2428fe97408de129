// Package flow stores the flows that one host owns or may still receive packets
// or queries about.
//
// Lock order: a shard's lock comes before the lock of an admission target; no
// goroutine holds two shards at once.
package flow

import "sync"

// Key identifies a flow within one process: the caller's IP address and port, and
// the process's index of the service's endpoint.
type Key struct {
	Caller   [16]byte
	Endpoint uint32
	Port     uint16
}

// State is the state of a flow's connection, as seen from the caller's packets.
type State uint8

const (
	// Opening flows have sent no acknowledgement yet.
	Opening State = iota
	// Established flows have acknowledged their target's answer.
	Established
	// Closing flows have sent a FIN.
	Closing
	// Reset flows have sent a RST.
	Reset
	// GivenUp flows were ended by this host because their target's zone was taken
	// out after payload had been forwarded to the target; the entry prevents a
	// copy of the payload from being processed again by another target.
	GivenUp
	// deleted marks the unused entry of a deleted flow.
	deleted
)

// Flags are the properties of a flow.
type Flags uint8

const (
	// Payload is set when payload was forwarded to the target.
	Payload Flags = 1 << iota
	// Replicated is set when the flow was replicated to the successor of the
	// target's owner.
	Replicated
	// Moved is set when the flow was handed over to another host; the entry
	// then only serves packets that arrive during the handover.
	Moved
	// Inferred is set when no queried host had the flow, so that its target had
	// to be inferred.
	Inferred
	// Counted is set while the target's admission counts the flow.
	Counted
	// PeerUnreachable is set when the flow was placed although a host on its
	// lookup path could not be reached.
	PeerUnreachable
)

// Entry is the state of a flow on one host. Times are in ticks since the process's
// epoch; the owner of the table chooses the length of a tick.
type Entry struct {
	Target   uint32
	Seq, Ack uint32
	LastSeen uint32
	// Since is when the flow was placed, was adopted, last made progress or was
	// reset by its caller; if Moved is set, when it was handed over.
	Since uint32
	State State
	Flags Flags
	// Retries counts the retransmissions of data since the last progress.
	Retries uint8
}

const (
	// shardBits is the number of bits of a flow hash that select its shard. They
	// are the low bits of its slot, so that all flows of a slot share a shard.
	shardBits = 8
	// ShardCount is the number of shards of a table.
	ShardCount = 1 << shardBits
	// slotBits is the number of high bits of a flow hash that select its slot;
	// package balancer ranks a service's targets for each slot.
	slotBits = 12
)

// Shard is one part of the table. Its lock must be held while its methods are
// called. Entries are kept in one slice, so that neither they nor the map contain
// pointers that the garbage collector has to scan, and so that Range is
// deterministic.
type Shard struct {
	sync.Mutex
	index   map[Key]uint32
	keys    []Key
	entries []Entry
	free    []uint32
}

// Table is a set of flows, split into shards by flow hash.
type Table struct {
	shards [ShardCount]Shard
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].clear()
	}
	return t
}

// Shard returns the shard of a flow hash.
func (t *Table) Shard(hash uint64) *Shard {
	return &t.shards[(hash>>(64-slotBits))&(ShardCount-1)]
}

// ShardAt returns the i-th shard, 0 <= i < ShardCount.
func (t *Table) ShardAt(i int) *Shard {
	return &t.shards[i]
}

// Len returns the number of flows held.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		n += len(s.index)
		s.Unlock()
	}
	return n
}

// Clear removes all flows.
func (t *Table) Clear() {
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		s.clear()
		s.Unlock()
	}
}

// clear removes all flows.
func (s *Shard) clear() {
	s.index = make(map[Key]uint32)
	s.keys = nil
	s.entries = nil
	s.free = nil
}

// Get returns a flow's entry, nil if there is none. It may be changed in place
// and is valid until the next Insert or Delete.
func (s *Shard) Get(k *Key) *Entry {
	i, ok := s.index[*k]
	if !ok {
		return nil
	}
	return &s.entries[i]
}

// Insert stores a copy of the entry of a flow that must not be in the table.
func (s *Shard) Insert(k *Key, e *Entry) {
	if last := len(s.free) - 1; last >= 0 {
		i := s.free[last]
		s.free = s.free[:last]
		s.keys[i] = *k
		s.entries[i] = *e
		s.index[*k] = i
		return
	}
	s.index[*k] = uint32(len(s.entries))
	s.keys = append(s.keys, *k)
	s.entries = append(s.entries, *e)
}

// Delete removes a flow.
func (s *Shard) Delete(k *Key) {
	i, ok := s.index[*k]
	if !ok {
		return
	}
	delete(s.index, *k)
	s.entries[i].State = deleted
	s.free = append(s.free, i)
}

// Len returns the number of the shard's flows.
func (s *Shard) Len() int {
	return len(s.index)
}

// Range calls f for each flow until f returns false. f may change the entry in
// place and delete the flow it is called for.
func (s *Shard) Range(f func(k *Key, e *Entry) bool) {
	for i := range s.entries {
		if s.entries[i].State == deleted {
			continue
		}
		if !f(&s.keys[i], &s.entries[i]) {
			return
		}
	}
}
