package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/overload"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// maxInFlight is the number of bytes that a caller may have unacknowledged: 16
// packets of 1,200 bytes. Data beyond it shows that the target acknowledged
// some.
const maxInFlight = 16 * 1200

// Config holds the settings of a Steering.
type Config struct {
	// Zone is the availability zone of this host.
	Zone string
	// Events is called when a target becomes silent or answers again; it may be
	// nil.
	Events func(Event)
	// ZoneEvents is called when a zone becomes unreachable or reachable again; it
	// may be nil.
	ZoneEvents func(ZoneEvent)
	// ShareEvents is called when the share of a service's flows that is sent to other
	// zones has changed; it may be nil.
	ShareEvents func(ShareEvent)
	// CompleteTo returns a time up to which the view holds everything that was
	// written to the store, and false if that is unknown. It may be nil.
	CompleteTo func() (time.Duration, bool)
	// Refresh starts a read of the store without waiting for it; it may be nil.
	Refresh func()
	// Balancing selects optional decisions.
	Balancing Balancing
}

// Balancing selects decisions that hosts make together under high load.
type Balancing struct {
	// Allotments lets the hosts of a large zone share out the slots of targets.
	Allotments bool
	// CrossZone lets zones send new flows to other zones by their spare capacity.
	CrossZone bool
	// Admission admits new flows by the objectives and priorities of their routes.
	Admission bool
	// ExpectedWork places new flows by the expected service time of requests.
	ExpectedWork bool
}

// Event reports that a target became silent or answers again.
type Event struct {
	Key fleet.TargetKey
	// Answers is set when the target answers again, unset when it became silent.
	Answers bool
	// Suspected is set if the target answers again after a gap, for Silence, in which it
	// may have started again.
	Suspected bool
	// Silence is the time since a caller last saw an answer, for a silent or suspected target.
	Silence time.Duration
	// Flows is the number of flows without an answer, for a silent target.
	Flows int
}

// Steering makes the forwarding decisions of one host. It holds the host's view
// and what callers' packets show about flows and targets.
type Steering struct {
	cfg  Config
	view *fleet.View
	// viewAt is when the view was last replaced.
	viewAt  time.Duration
	targets map[fleet.TargetKey]*target
	tokens  map[Token]*target
	pools   map[string]*pool
	// paths holds the path to each zone that has or had targets.
	paths     map[string]*zonePath
	routes    map[packet.Endpoint]*route
	flows     map[packet.Flow]*flow
	lastSweep time.Duration
	// lastTick is when Tick was last called, wokeAt when it was first called after a stall
	// of this host.
	lastTick, wokeAt time.Duration
	// queueLimit is the function queueLimit; tests replace it.
	queueLimit func(copies uint32) float64
	// absent holds the open flows whose route or target this host does not know.
	absent map[packet.Flow]*absentFlow
	counts Counts
	// borrowed counts the openings that used slots of other hosts, by service.
	borrowed map[string]uint64
	// peerLoads is the last report of the other hosts' loads, nil if there was
	// none.
	peerLoads *PeerLoads
	cross     crossZone
}

// Counts are totals since the start.
type Counts struct {
	// Forwarded, Dropped and Resets count the decisions of each kind by cause.
	Forwarded [CauseCount]uint64
	Dropped   [CauseCount]uint64
	Resets    [CauseCount]uint64
	// RepeatedOpenings counts retransmitted openings, RepeatedData retransmitted
	// data packets.
	RepeatedOpenings, RepeatedData uint64
	// RejectedOpenings counts openings that got no target, by the priority class of
	// their route and cause.
	RejectedOpenings [overload.NumPriorities][CauseCount]uint64
	// Silenced counts how often a target became silent.
	Silenced uint64
}

// New returns the Steering of a host that has no view yet.
func New(cfg Config) *Steering {
	return &Steering{
		cfg:        cfg,
		queueLimit: queueLimit,
		targets:    map[fleet.TargetKey]*target{},
		tokens:     map[Token]*target{},
		paths:      map[string]*zonePath{},
		flows:      map[packet.Flow]*flow{},
		absent:     map[packet.Flow]*absentFlow{},
		borrowed:   map[string]uint64{},
		cross:      crossZone{shares: crosszone.NewShares(cfg.Zone)},
	}
}

// Counts returns the totals.
func (s *Steering) Counts() Counts { return s.counts }

// NumFlows returns the number of flows in the flow table.
func (s *Steering) NumFlows() int { return len(s.flows) }

// Tick does the periodic work: it expires flows, the presumption that recovered
// targets are cold and verdicts about zones, and gives up flows of dead and of absent
// targets and routes. It calls reset for each of these with a segment of the flow,
// whose caller gets a reset. now is on the same clock as in all other calls.
func (s *Steering) Tick(now time.Duration, reset func(*Segment, *Action)) {
	s.observeStall(now)
	if s.view == nil || now < s.lastSweep+sweepInterval {
		return
	}
	s.lastSweep = now
	s.sweep(now)
	s.confirmSilences(now)
	s.resetDeadFlows(now, reset)
	s.resolveAbsent(now, reset)
	s.endPresumedCold(now)
	s.updatePools(now)
	s.expireUnreachable(now)
}

// Handle decides about one packet and writes the decision to a.
func (s *Steering) Handle(now time.Duration, p *Segment, a *Action) {
	*a = Action{}
	s.decide(now, p, a)
	switch a.Kind {
	case Forward:
		s.counts.Forwarded[a.Cause]++
	case Drop:
		s.counts.Dropped[a.Cause]++
	case Reset:
		s.counts.Resets[a.Cause]++
	}
}

func (s *Steering) decide(now time.Duration, p *Segment, a *Action) {
	if s.view == nil {
		a.Cause = CauseNotReady
		return
	}
	r := s.routes[p.Flow.Service]
	if r == nil && s.fromService(p) {
		a.Cause = CauseForged
		return
	}
	switch {
	case r == nil && p.Class == packet.Opening:
		s.refuse(p, a, CauseNoRoute, verdict.NotRun)
	case r == nil:
		s.handleAbsent(now, p, a, CauseNoRoute)
	case p.Class == packet.Opening:
		s.handleOpening(now, p, r, a)
	default:
		s.handleOpenFlow(now, p, r, a)
	}
}

// fromService reports whether a packet has the address of a service as its
// source. Callers never send one, and a reply would go to the service.
func (s *Steering) fromService(p *Segment) bool {
	caller := packet.Endpoint{Addr: p.Flow.Caller, Port: p.Flow.CallerPort, Proto: p.Flow.Service.Proto}
	return s.routes[caller] != nil
}

// refuse replies with a reset, or drops the packet if it is a reset itself.
func (s *Steering) refuse(p *Segment, a *Action, cause Cause, run verdict.Run) {
	a.Cause = cause
	a.Run = run
	if p.Class != packet.Reset {
		a.Kind = Reset
	}
}

// handleOpenFlow forwards a packet of an open flow to the target that its token
// identifies.
func (s *Steering) handleOpenFlow(now time.Duration, p *Segment, r *route, a *Action) {
	t := s.tokens[p.Token]
	f := s.flows[p.Flow]
	if t == nil && f != nil {
		t = f.target
	}
	if t == nil {
		a.Cause = CauseUnknownToken
		if p.Token != 0 {
			s.handleAbsent(now, p, a, CauseUnknownToken)
		}
		return
	}
	if s.gone(t) {
		a.Key = t.entry.Key
		s.handleAbsent(now, p, a, CauseTargetGone)
		return
	}
	if f == nil {
		f = s.ensureFlow(p.Flow)
		f.nextSeq, f.baseSeq, f.ack = p.Seq, p.Seq, p.Ack
		f.setOpen(now)
	}
	sameTarget := f.target == t
	s.attach(f, t)
	if len(p.Payload) > 0 && s.givesUp(now, r, t) && s.mostTargetsAnswer(now) {
		s.refuse(p, a, CauseTargetSilent, verdict.MayHaveRun)
		a.Key = t.entry.Key
		s.removeFlow(p.Flow)
		return
	}
	if !sameTarget && !f.open {
		f.setOpen(now)
		f.ack = p.Ack // another host's opening reached this target
	}
	s.observe(now, p, r, f, a)
	s.observeAdmission(r, f, a)
	s.forward(now, p, t, a, CauseKnown)
}

// removeFlow removes a flow from the flow table and from its target's counts.
func (s *Steering) removeFlow(key packet.Flow) {
	if f := s.flows[key]; f != nil {
		s.detach(f)
		delete(s.flows, key)
	}
}

func (s *Steering) forward(now time.Duration, p *Segment, t *target, a *Action, cause Cause) {
	a.Kind = Forward
	a.Cause = cause
	if len(s.absent) > 0 {
		delete(s.absent, p.Flow)
	}
	a.Dest = t.entry.Addr
	a.Target = t.entry.Number
	a.Token = t.token
	a.Key = t.entry.Key
	a.ViewAge = now - t.entry.HeartbeatAt
}
