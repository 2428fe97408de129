package steering

import (
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/overload"
	"github.com/jujubehaven/jujubehaven/coordination/servicetime"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// route is a service address with the pools that new flows are spread over.
type route struct {
	shares      []share
	totalWeight int
	idempotent  bool
	answerTimes answerTimes
	// served is the median service time of requests, without the wait in queues.
	served quantileEstimate
	// objective, timeout and priority are those of the configuration.
	objective, timeout time.Duration
	priority           int
}

// share is a pool's weight in a route.
type share struct {
	pool   *pool
	weight int
	// times estimates the service times of the route's requests at the pool.
	times *servicetime.Distribution
}

// pool holds the targets of one service that are not gone.
type pool struct {
	service string
	limits  fleet.ServiceLimits
	targets []*target
	// peersMean is the mean load per slot that other hosts of this host's zone report
	// for the pool's targets in it.
	peersMean float64
	// saturated is set while nearly all slots are in use.
	saturated bool
	// times estimates the mean service time of the pool's requests.
	times *servicetime.Service
	// ownKnowledge is how far the loads of the pool's targets follow from this host's
	// own flows, from 0 to 1.
	ownKnowledge float64
	// demand holds what admission knows about the pool's openings.
	demand *overload.Service
}

// SetView replaces the host's view. Open flows keep their targets.
func (s *Steering) SetView(now time.Duration, v *fleet.View) {
	if s.view == nil || s.view.Config.Version != v.Config.Version {
		s.setConfig(&v.Config)
	}
	s.view, s.viewAt = v, now
	s.setTargets(now, v)
}

// setConfig rebuilds the pools and routes from a configuration. What was learned of
// a route's answer times is kept while the same services serve it.
func (s *Steering) setConfig(c *fleet.Config) {
	formerPools := s.pools
	s.pools = make(map[string]*pool, len(c.Services))
	for name, limits := range c.Services {
		p := &pool{service: name, limits: limits, times: &servicetime.Service{}, demand: &overload.Service{}}
		if old := formerPools[name]; old != nil {
			p.times, p.demand = old.times, old.demand
		}
		s.pools[name] = p
	}
	former := s.routes
	s.routes = make(map[packet.Endpoint]*route, len(c.Routes))
	for i := range c.Routes {
		r := newRoute(&c.Routes[i], s.pools)
		if old := former[c.Routes[i].Endpoint]; old != nil && old.sameServices(r) {
			r.answerTimes, r.served = old.answerTimes, old.served
		}
		r.keepTimes(former[c.Routes[i].Endpoint])
		s.routes[c.Routes[i].Endpoint] = r
	}
}

// sameServices reports whether two routes lead to the same services.
func (r *route) sameServices(other *route) bool {
	return slices.EqualFunc(r.shares, other.shares, func(a, b share) bool { return a.pool.service == b.pool.service })
}

func newRoute(r *fleet.Route, pools map[string]*pool) *route {
	rt := &route{idempotent: r.Idempotent, objective: r.Objective, timeout: r.Timeout, priority: r.Priority}
	for _, sh := range r.Shares {
		p := pools[sh.Service]
		if p == nil || sh.Weight <= 0 {
			continue
		}
		rt.shares = append(rt.shares, share{pool: p, weight: sh.Weight, times: &servicetime.Distribution{}})
		rt.totalWeight += sh.Weight
	}
	return rt
}

// setTargets updates the targets, the token table and the pools from a view.
func (s *Steering) setTargets(now time.Duration, v *fleet.View) {
	for _, p := range s.pools {
		p.targets = p.targets[:0]
	}
	tokens := make(map[Token]*target, len(v.Targets))
	known := make(map[fleet.TargetKey]*target, len(v.Targets))
	for i := range v.Targets {
		e := &v.Targets[i]
		t := s.updateTarget(now, e)
		t.zoneOut = v.ZonesOut[e.Zone]
		t.shadowed = false
		known[e.Key] = t
		assignToken(tokens, t)
		t.pool = s.pools[e.Service]
		if t.pool != nil && !e.Gone {
			t.pool.targets = append(t.pool.targets, t)
		}
	}
	s.tokens = tokens
	s.targets = known
}

// updateTarget returns the state of a target with its new entry. A new
// incarnation starts without the health data of the former one.
func (s *Steering) updateTarget(now time.Duration, e *fleet.Entry) *target {
	t := s.targets[e.Key]
	if t == nil || t.entry.Started != e.Started || t.entry.Addr != e.Addr {
		next := &target{token: TokenOf(e.Key)}
		if t != nil {
			s.moveFlows(t, next)
		}
		t = next
	}
	if t.health.silent && e.HeartbeatAt > t.health.silentSince && e.HeartbeatAt > t.entry.HeartbeatAt {
		t.health.retryAt = min(t.health.retryAt, now) // a new heartbeat arrived: retry at once
	}
	t.entry = *e
	t.path = s.pathTo(e.Zone)
	return t
}

// moveFlows assigns the flows of a target's former incarnation to the next one,
// which resets those that it does not have.
func (s *Steering) moveFlows(former, next *target) {
	for _, f := range s.flows {
		if f.target == former {
			s.detach(f)
			s.attach(f, next)
		}
	}
}

// assignToken resolves a token collision: of the targets that are not gone, the
// one that started first gets the token, on all hosts alike, and the other one
// gets no new flows. Targets are passed in the order of their keys, which
// breaks ties.
func assignToken(tokens map[Token]*target, t *target) {
	other := tokens[t.token]
	switch {
	case other == nil || other.entry.Gone:
		tokens[t.token] = t
	case t.entry.Gone:
		// The target that is not gone keeps the token.
	case t.entry.Started < other.entry.Started:
		other.shadowed = true
		tokens[t.token] = t
	default:
		t.shadowed = true
	}
}
