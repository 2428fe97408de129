package balancer

import (
	"encoding/binary"
	"sync"
)

const (
	// replicaShards is the number of shards of the replicas.
	replicaShardBits = 6
	replicaShards    = 1 << replicaShardBits
	// nonFingerprintMask covers the bits of a flow hash that are not in its
	// fingerprint.
	nonFingerprintMask = 1<<(64-8*fingerprintBytes) - 1
)

// replicas holds the flows that other hosts have replicated to this host: flow
// fingerprints with the ID of the flow's target.
type replicas struct {
	shards [replicaShards]replicaShard
}

type replicaShard struct {
	sync.Mutex
	targets map[uint64]uint64
}

func newReplicas() *replicas {
	r := &replicas{}
	for i := range r.shards {
		r.shards[i].targets = make(map[uint64]uint64)
	}
	return r
}

func (r *replicas) shard(hash uint64) *replicaShard {
	return &r.shards[hash>>(64-replicaShardBits)]
}

// target returns the ID of the flow's target, 0 if there is no replica.
func (r *replicas) target(hash uint64) uint64 {
	key := hash &^ nonFingerprintMask
	s := r.shard(key)
	s.Lock()
	defer s.Unlock()
	return s.targets[key]
}

// apply adds and deletes the fingerprints of one message. It rejects a message
// of invalid length as a whole and returns false.
func (r *replicas) apply(target uint64, add, end []byte) bool {
	if len(add)%fingerprintBytes != 0 || len(end)%fingerprintBytes != 0 {
		return false
	}
	for ; len(add) > 0; add = add[fingerprintBytes:] {
		hash := fingerprintAt(add)
		s := r.shard(hash)
		s.Lock()
		s.targets[hash] = target
		s.Unlock()
	}
	for ; len(end) > 0; end = end[fingerprintBytes:] {
		hash := fingerprintAt(end)
		s := r.shard(hash)
		s.Lock()
		if s.targets[hash] == target {
			delete(s.targets, hash)
		}
		s.Unlock()
	}
	return true
}

// fingerprintAt decodes the first fingerprint of a list.
func fingerprintAt(list []byte) uint64 {
	var full [8]byte
	copy(full[:], list[:fingerprintBytes])
	return binary.BigEndian.Uint64(full[:])
}

// each calls f for the flows of one shard until f returns false; it reports
// whether all were visited. f must not call methods of the replicas.
func (r *replicas) each(shard int, f func(hash, target uint64) bool) bool {
	s := &r.shards[shard]
	s.Lock()
	defer s.Unlock()
	for hash, target := range s.targets {
		if !f(hash, target) {
			return false
		}
	}
	return true
}

// len returns the number of flows in the replicas.
func (r *replicas) len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.Lock()
		n += len(s.targets)
		s.Unlock()
	}
	return n
}

// clear deletes all replicas.
func (r *replicas) clear() {
	for i := range r.shards {
		s := &r.shards[i]
		s.Lock()
		s.targets = make(map[uint64]uint64)
		s.Unlock()
	}
}
