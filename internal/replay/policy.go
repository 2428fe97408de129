package replay

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// reportLag is the age of the reports that PolicyLeastReported uses.
const reportLag = 5 * time.Second

// route sends a packet through the hosts, or places its flow by one of the
// simpler policies, which ignore limits and use one flow table for all hosts.
func (sim *simulation) route(c *caller, p *packet.Packet) packetOutcome {
	if sim.policy == PolicyCore || sim.policy == PolicyNoRamp {
		return sim.sendToFabric(p)
	}
	t := c.target
	if t == nil {
		t = sim.placeByScore(c)
	}
	switch {
	case t == nil:
		return packetOutcome{kind: balancer.Refuse}
	case sim.zones[t.zone].out:
		return packetOutcome{kind: balancer.Refuse}
	}
	return packetOutcome{kind: balancer.Forward, target: t}
}

// placeByScore returns the active target with the lowest score for a new flow.
func (sim *simulation) placeByScore(c *caller) *target {
	var best *target
	var bestScore float64
	for _, t := range c.service.targets {
		if t.state != document.TargetActive || sim.zones[t.zone].out {
			continue
		}
		score := sim.score(c, t)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score rates a target by the policy; the lowest score is preferred.
func (sim *simulation) score(c *caller, t *target) float64 {
	if sim.policy == PolicyLeastReported {
		return float64(sim.metrics.lastReport(t, sim.now-reportLag))
	}
	// The finalizer of the 64-bit MurmurHash3.
	h := c.flow.Hash() ^ t.id
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return float64(h ^ h>>33)
}

// Valid reports whether the policy is known.
func (p Policy) Valid() bool {
	switch p {
	case PolicyCore, PolicyNoRamp, PolicyHashing, PolicyLeastReported:
		return true
	}
	return false
}
