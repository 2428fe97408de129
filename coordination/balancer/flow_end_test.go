package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// TestSilentFlowIsResetAtBothEnds checks that a flow is reset at both ends if it
// retransmits without progress while other flows of its target make progress, for
// example because a device on its path lost its state.
func TestSilentFlowIsResetAtBothEnds(t *testing.T) {
	is := is.New(t)
	n, h := singleHost(t)
	packets := fillTable(n, h, 200)
	silent := packets[0]
	var a Action
	h.HandlePacket(n.now, &silent, nil, &a)
	target := a.Target
	n.run(silentTimeout+5*time.Second, func() {
		if len(h.givenUp) > 0 {
			return
		}
		h.HandlePacket(n.now, &silent, nil, &a)
		for i := range packets[1:] {
			p := &packets[1+i]
			p.Seq += 10
			h.HandlePacket(n.now, p, nil, &a)
		}
	})
	is.Equal(len(h.givenUp), 1) // other flows were given up, or the silent one was not
	g := h.givenUp[0]
	is.Equal(g.Target, target)
	is.Equal(g.Verdict.Cause, verdict.CauseSilent)
	is.Equal(g.Verdict.Run, verdict.MayHaveRun)
	is.Equal(int(g.ResetLen), 2)
	is.True(!g.Resets[0].ToTarget)
	is.Equal(g.Resets[0].Seq, silent.Ack) // the next sequence number the caller expects
	is.True(g.Resets[1].ToTarget)
	is.Equal(g.Resets[1].Seq, nextSeq(&silent)) // the next sequence number the target expects
}

// TestSilentTargetKeepsItsFlows checks that flows are not reset if no flow of
// their target makes progress: then the target has failed, not the path of one
// flow.
func TestSilentTargetKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	n, h := singleHost(t)
	packets := fillTable(n, h, 50)
	var a Action
	n.run(silentTimeout+5*time.Second, func() {
		for i := range packets {
			h.HandlePacket(n.now, &packets[i], nil, &a)
		}
	})
	is.Equal(len(h.givenUp), 0)
}

// TestReusedPortKeepsTarget checks that a new flow with the addresses and ports of
// a closed flow goes to the same target. Delayed packets of the old flow may still
// arrive; with two targets, the caller would get replies of both.
func TestReusedPortKeepsTarget(t *testing.T) {
	is := is.New(t)
	n, h := singleHost(t)
	packets := fillTable(n, h, 300)
	services := copyServices(n.services)
	joinTarget(services, "new", "z1")
	n.setDocuments(services, n.zones, 0)
	n.run(20*time.Second, nil)
	var before, after, late Action
	for i := range packets {
		data := packets[i]
		h.HandlePacket(n.now, &data, nil, &before)
		closing := data
		closing.Class = packet.Closing
		h.HandlePacket(n.now, &closing, nil, &before)
		h.HandlePacket(n.now, &packet.Packet{Class: packet.Opening, Flow: data.Flow}, nil, &after)
		h.HandlePacket(n.now, &data, nil, &late)
		is.Equal(after.Kind, Forward)
		is.Equal(after.Target, before.Target)
		is.Equal(late.Target, before.Target)
	}
}

// TestReusedPortAvoidsDrainingTarget checks that a new flow with the addresses and
// ports of a closed flow is not placed at the former target if that is draining.
func TestReusedPortAvoidsDrainingTarget(t *testing.T) {
	is := is.New(t)
	n, h := singleHost(t)
	packets := fillTable(n, h, 100)
	services := copyServices(n.services)
	services[0].Targets[0].State = document.TargetDraining
	drained := TargetID(services[0].Name, services[0].Targets[0].Name)
	n.setDocuments(services, n.zones, 0)
	n.run(time.Second, nil)
	var a Action
	moved := 0
	for i := range packets {
		h.HandlePacket(n.now, &packets[i], nil, &a)
		if a.Target != drained {
			continue
		}
		closing := packets[i]
		closing.Class = packet.Closing
		h.HandlePacket(n.now, &closing, nil, &a)
		h.HandlePacket(n.now, &packet.Packet{Class: packet.Opening, Flow: closing.Flow}, nil, &a)
		is.Equal(a.Kind, Forward)
		is.True(a.Target != drained) // new flow at a draining target
		moved++
	}
	is.True(moved > 0)
}
