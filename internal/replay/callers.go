package replay

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

const (
	// openingTimeout and dataTimeout are the initial retransmission timeouts;
	// the timeout doubles with each retransmission, up to maxTimeout.
	openingTimeout = time.Second
	dataTimeout    = 200 * time.Millisecond
	maxTimeout     = 3 * time.Second
	// maxRetransmitTime is how long a caller retransmits one packet.
	maxRetransmitTime = 20 * time.Second
	// payloadBytes is the payload length of each data packet.
	payloadBytes = 100
	// outZoneGrace and leavingGrace are how long after a zone is taken out, or
	// a target drained, packets to it are not counted as violations.
	outZoneGrace = 3 * time.Second
	leavingGrace = 3 * time.Second
)

// phase is the state of a caller's flow.
type phase uint8

const (
	opening phase = iota
	established
	closing
	ended
)

// caller is a simulated caller with one flow.
type caller struct {
	flow     packet.Flow
	service  *service
	standing bool
	phase    phase
	target   *target
	// payloadTarget is the last target that accepted payload of the flow.
	payloadTarget *target
	opened        time.Duration
	endsAt        time.Duration
	seq           uint32
	// zoneOut is set once the zone of the flow's target was taken out. The hosts
	// may then give the flow up.
	zoneOut bool
	// unanswered is set while a packet first sent at sentAt has no answer.
	unanswered bool
	sentAt     time.Duration
	timeout    time.Duration
}

// callers numbers the flows of a run and holds the open ones.
type callers struct {
	next   uint32
	byFlow map[packet.Flow]*caller
}

// scheduleArrivals schedules new flows as a Poisson process at the service's
// rate.
func (sim *simulation) scheduleArrivals(s *service) {
	if s.perSecond <= 0 {
		sim.after(tickInterval, func() { sim.scheduleArrivals(s) })
		return
	}
	gap := time.Duration(sim.rng.ExpFloat64() / s.perSecond * float64(time.Second))
	sim.after(gap, func() {
		length := time.Duration(sim.rng.ExpFloat64() * float64(s.spec.Flows.MeanLength))
		sim.openFlow(s, false, length)
		sim.scheduleArrivals(s)
	})
}

// scheduleStanding schedules the flows that stay open for the whole run.
func (sim *simulation) scheduleStanding(s *service) {
	f := &s.spec.Flows
	for i := range f.Standing {
		at := Warmup + f.StandingWithin*time.Duration(i)/time.Duration(f.Standing)
		sim.queue.add(at, func() { sim.openFlow(s, true, sim.trace.Length) })
	}
}

// openFlow sends the opening of a new flow.
func (sim *simulation) openFlow(s *service, standing bool, length time.Duration) {
	sim.callers.next++
	n := sim.callers.next
	const portBits, firstPort = 14, 1024
	ip := netip.AddrFrom4([4]byte{172, 16 + byte(n>>30), byte(n >> 22), byte(n >> portBits)})
	c := &caller{
		flow: packet.Flow{
			Caller: ip.As16(), CallerPort: firstPort + uint16(n&(1<<portBits-1)), Service: s.endpoint,
		},
		service: s, standing: standing, opened: sim.now, endsAt: sim.now + length,
	}
	sim.callers.byFlow[c.flow] = c
	sim.metrics.countOffered(sim, s)
	sim.transmit(c, openingTimeout)
}

// transmit sends the flow's next packet for the first time.
func (sim *simulation) transmit(c *caller, timeout time.Duration) {
	c.unanswered, c.sentAt, c.timeout = true, sim.now, timeout
	sim.attempt(c)
}

// attempt sends the pending packet and schedules its retransmission.
func (sim *simulation) attempt(c *caller) {
	p := c.packet()
	sent := c.seq
	sentPhase := c.phase
	o := sim.route(c, &p)
	switch o.kind {
	case balancer.Forward:
		sim.deliver(c, &p, o.target)
	case balancer.Refuse:
		sim.handleReset(c, o.action.Verdict)
	case balancer.Drop, balancer.RelayTo:
	}
	if !c.unanswered || c.phase == ended {
		return
	}
	timeout := c.timeout
	c.timeout = min(2*timeout, maxTimeout)
	sim.after(timeout, func() {
		if c.unanswered && c.seq == sent && c.phase == sentPhase {
			sim.retry(c)
		}
	})
}

// retry retransmits the pending packet, or ends the flow after maxRetransmitTime.
func (sim *simulation) retry(c *caller) {
	if sim.now-c.sentAt <= maxRetransmitTime {
		sim.attempt(c)
		return
	}
	if c.phase == opening {
		sim.metrics.countFailed(sim, c)
		sim.removeCaller(c)
		return
	}
	sim.breakFlow(c, "no answer to its packets")
}

// packet returns the flow's next packet.
func (c *caller) packet() packet.Packet {
	p := packet.Packet{Flow: c.flow, Class: packet.Data, Seq: c.seq, Ack: 1, AckValid: true, PayloadLen: payloadBytes}
	switch c.phase {
	case opening:
		return packet.Packet{Flow: c.flow, Class: packet.Opening}
	case closing:
		p.Class, p.PayloadLen = packet.Closing, 0
	case established, ended:
	}
	return p
}

// deliver handles the arrival of a packet at a target.
func (sim *simulation) deliver(c *caller, p *packet.Packet, t *target) {
	sim.metrics.checkArrival(sim, c, p, t)
	if p.Class == packet.Opening {
		sim.deliverOpening(c, t)
		return
	}
	if t.flows[c.flow] != c {
		sim.breakFlow(c, "packet reached "+t.name+", the flow is at "+c.target.name)
		return
	}
	if p.PayloadLen > 0 {
		sim.metrics.checkPayloadTarget(sim, c, t)
		c.payloadTarget = t
	}
	c.unanswered = false
	if c.phase == closing {
		delete(t.flows, c.flow)
		sim.removeCaller(c)
		return
	}
	c.seq += payloadBytes
	sim.schedulePacket(c)
}

func (sim *simulation) deliverOpening(c *caller, t *target) {
	a := t.handleOpening(sim.now, c)
	if a.exceeded != "" {
		sim.metrics.addOverLimit(sim, c, t, a.exceeded)
	}
	if !a.answered {
		return
	}
	sim.after(a.after+2*sim.trace.CallerDistance, func() {
		if c.phase != opening {
			return
		}
		c.phase, c.target, c.seq = established, t, 1
		c.zoneOut = c.zoneOut || sim.zones[t.zone].out
		sim.metrics.countServed(sim, c)
		sim.transmit(c, dataTimeout)
	})
}

// schedulePacket schedules the flow's next packet or its end.
func (sim *simulation) schedulePacket(c *caller) {
	every := c.service.spec.Flows.PacketEvery
	if c.standing {
		every = c.service.spec.Flows.StandingPacketEvery
	}
	gap := time.Duration(sim.rng.ExpFloat64() * float64(every))
	if sim.now+gap < c.endsAt {
		sim.after(gap, func() { sim.sendIfOpen(c) })
		return
	}
	sim.after(max(c.endsAt-sim.now, 0), func() {
		if c.phase == established {
			c.phase = closing
			sim.transmit(c, dataTimeout)
		}
	})
}

func (sim *simulation) sendIfOpen(c *caller) {
	if c.phase == established && !c.unanswered {
		sim.transmit(c, dataTimeout)
	}
}

// handleReset handles a reset that the caller receives.
func (sim *simulation) handleReset(c *caller, v verdict.Verdict) {
	switch c.phase {
	case opening:
		sim.metrics.countRefused(sim, c)
		sim.removeCaller(c)
	case established, closing:
		sim.handleGivenUp(c, v)
	case ended:
	}
}

// handleGivenUp ends a flow that the hosts gave up. It counts as broken unless
// it was closing or its target's zone was taken out. A standing flow of such a
// zone is opened again.
func (sim *simulation) handleGivenUp(c *caller, v verdict.Verdict) {
	if c.phase == closing {
		sim.removeCaller(c)
		return
	}
	if !c.zoneOut {
		sim.breakFlow(c, "given up: "+v.Cause.String())
		return
	}
	sim.removeCaller(c)
	if !c.standing {
		return
	}
	spread := max(c.service.spec.Flows.Reconnect, time.Millisecond)
	wait := v.RetryAfter + time.Duration(sim.rng.Int64N(int64(spread)))
	sim.after(wait, func() { sim.openFlow(c.service, true, sim.trace.Length) })
}

// breakFlow ends a broken flow and records it, unless its zone was taken out.
func (sim *simulation) breakFlow(c *caller, why string) {
	if !c.zoneOut {
		sim.metrics.addViolation(sim.now, BrokenFlows, &c.flow, why)
	}
	if c.target != nil {
		delete(c.target.flows, c.flow)
	}
	sim.removeCaller(c)
}

func (sim *simulation) removeCaller(c *caller) {
	c.phase, c.unanswered = ended, false
	delete(sim.callers.byFlow, c.flow)
}

// applyResets delivers the resets that a host sends to targets and callers.
func (sim *simulation) applyResets(h *host, resets []balancer.Reset, v verdict.Verdict) {
	for i := range resets {
		r := &resets[i]
		c := sim.callers.byFlow[r.Flow]
		if r.ToTarget {
			sim.resetAtTarget(h, r)
			continue
		}
		if c != nil && c.phase != opening {
			sim.after(sim.trace.CallerDistance, func() { sim.handleReset(c, v) })
		}
	}
}

func (sim *simulation) resetAtTarget(h *host, r *balancer.Reset) {
	for _, s := range sim.services {
		for _, t := range s.targets {
			if tunnelOf(t) == r.Dest && sim.reaches(h.zone, t.zone) {
				delete(t.flows, r.Flow)
			}
		}
	}
}
