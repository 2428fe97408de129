package daemon

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

// cacheLineBytes is the padding that avoids false sharing between the actions of
// two workers.
const cacheLineBytes = 64

// packetHandler passes packets to the balancer and carries out its actions.
type packetHandler struct {
	balancer *balancer.Balancer
	// actions holds one reused action for each worker.
	actions []paddedAction
}

type paddedAction struct {
	balancer.Action
	_ [cacheLineBytes]byte
}

func (d *Daemon) openTunnel() (*tunnel.Server, error) {
	s := d.settings
	return tunnel.New(tunnel.Config{
		Listen:              s.Data,
		Fabric:              s.Fabric.Return,
		FabricSources:       s.Fabric.Sources,
		HostSources:         s.Peers.Sources,
		MTU:                 s.MTU,
		Shards:              s.Workers,
		QueueBatches:        s.Limits.QueueBatches,
		ReadBufferBytes:     s.Limits.ReadBuffer,
		ICMPErrorsPerSecond: s.Limits.ICMPErrors,
		Now:                 d.clock,
		Handler:             &packetHandler{balancer: d.balancer, actions: make([]paddedAction, s.Workers)},
	})
}

// HandlePacket implements tunnel.Handler.
func (h *packetHandler) HandlePacket(now time.Duration, shard int, p *packet.Packet, in *packet.Relay, send *tunnel.Sender) {
	a := &h.actions[shard].Action
	h.balancer.HandlePacket(now, p, in, a)
	switch a.Kind {
	case balancer.Forward:
		send.Forward(a.Dest)
	case balancer.RelayTo:
		send.Relay(a.Dest, &a.Relay)
	case balancer.Refuse:
		if p.Class == packet.Datagram {
			send.Unreachable()
		}
	case balancer.Drop:
		// The balancer has counted it by cause.
	}
	sendResets(send, a.Resets[:a.ResetLen])
}

// sendResets sends the resets of TCP flows; UDP has no reset.
func sendResets(send *tunnel.Sender, resets []balancer.Reset) {
	for i := range resets {
		r := &resets[i]
		if r.Flow.Service.Proto != packet.ProtoTCP {
			continue
		}
		if r.ToTarget {
			send.ResetTarget(r.Dest, &r.Flow, r.Seq, r.Ack, r.AckValid)
			continue
		}
		send.ResetCaller(&r.Flow, r.Seq, r.Ack, r.AckValid)
	}
}
