package tunnel

import (
	"sync"

	"github.com/alitto/pond/v2"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// item is a decoded packet and the buffer that holds it.
type item struct {
	buffer *buffer
	// start is the offset of the IP packet in the buffer.
	start   int
	packet  packet.Packet
	relay   packet.Relay
	relayed bool
	// queued is set once the sender's queue may refer to the buffer.
	queued bool
}

// shard handles the packets of a subset of the flows in the order of arrival,
// with a pool of a single worker.
type shard struct {
	server  *Server
	index   int
	pool    pond.Pool
	sender  *Sender
	batches sync.Pool
	// task is the method value handleNext, stored to avoid an allocation per
	// submission.
	task func()

	// mu guards the ring buffer of waiting batches. The pool has one task for
	// each batch.
	mu      sync.Mutex
	waiting []*batch
	head    int
	count   int
}

// newShard returns a shard whose worker does not recover from panics: a handler
// that panicked may still hold locks, so the process must terminate.
func newShard(s *Server, index int, sender *Sender) *shard {
	sh := &shard{
		server:  s,
		index:   index,
		sender:  sender,
		waiting: make([]*batch, s.cfg.QueueBatches),
	}
	sh.task = sh.handleNext
	sh.batches.New = func() any { return &batch{items: make([]item, 0, batchSize)} }
	sh.pool = pond.NewPool(1,
		pond.WithQueueSize(s.cfg.QueueBatches),
		pond.WithNonBlocking(true),
		pond.WithoutPanicRecovery())
	return sh
}

func (sh *shard) newBatch() *batch {
	return sh.batches.Get().(*batch)
}

// submit queues b, or appends its items to the last waiting batch if they fit.
// It reports false if the queue is full; the caller then still owns b.
func (sh *shard) submit(b *batch) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if last := sh.last(); last != nil && len(last.items)+len(b.items) <= batchSize {
		last.items = append(last.items, b.items...)
		b.items = b.items[:0]
		sh.release(b)
		return true
	}
	if sh.count == len(sh.waiting) {
		return false
	}
	if err := sh.pool.Go(sh.task); err != nil {
		return false
	}
	sh.waiting[(sh.head+sh.count)%len(sh.waiting)] = b
	sh.count++
	return true
}

// last returns the newest waiting batch, nil if none is waiting.
func (sh *shard) last() *batch {
	if sh.count == 0 {
		return nil
	}
	return sh.waiting[(sh.head+sh.count-1)%len(sh.waiting)]
}

// pop removes and returns the oldest waiting batch.
func (sh *shard) pop() *batch {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.waiting[sh.head]
	sh.waiting[sh.head] = nil
	sh.head = (sh.head + 1) % len(sh.waiting)
	sh.count--
	return b
}

// handleNext handles the oldest waiting batch.
func (sh *shard) handleNext() {
	b := sh.pop()
	sh.handle(b)
	sh.release(b)
}

// batch holds packets of one shard from one or more reads.
type batch struct {
	items []item
}

func (b *batch) add(it *item) {
	b.items = append(b.items, *it)
}

// handle passes each packet to the handler and flushes the sender.
func (sh *shard) handle(b *batch) {
	send := sh.sender
	now := sh.server.cfg.Now()
	for i := range b.items {
		it := &b.items[i]
		var in *packet.Relay
		if it.relayed {
			in = &it.relay
			send.counters.relayed.Add(1)
		}
		send.counters.handled.Add(1)
		send.item = it
		sh.server.cfg.Handler.HandlePacket(now, sh.index, &it.packet, in, send)
	}
	send.item = nil
	send.flush()
}

// release returns the batch and its buffers to their pools.
func (sh *shard) release(b *batch) {
	for i := range b.items {
		sh.server.buffers.Put(b.items[i].buffer)
		b.items[i] = item{}
	}
	b.items = b.items[:0]
	sh.batches.Put(b)
}

// shardOf returns the shard of the flow: the upper 32 bits of its hash, scaled to
// the number of shards.
func (s *Server) shardOf(f *packet.Flow) int {
	const upperBits = 32
	return int((f.Hash() >> upperBits) * uint64(len(s.shards)) >> upperBits)
}
