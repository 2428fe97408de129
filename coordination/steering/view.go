package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// route is an address with the pools of its services.
type route struct {
	shares     []share
	total      int
	idempotent bool
	usual      typical
}

// share is a service's part of a route.
type share struct {
	pool   *pool
	weight int
}

// pool is the targets of a service that are not gone.
type pool struct {
	service string
	limits  fleet.ServiceLimits
	targets []*target
}

// SetView replaces what the host believes. Flows keep their targets.
func (s *Steering) SetView(now time.Duration, v *fleet.View) {
	if s.view == nil || s.view.Config.Version != v.Config.Version {
		s.setConfig(&v.Config)
	}
	s.view = v
	s.setTargets(now, v)
}

// setConfig makes the pools and routes of a configuration.
func (s *Steering) setConfig(c *fleet.Config) {
	s.pools = make(map[string]*pool, len(c.Services))
	for name, limits := range c.Services {
		s.pools[name] = &pool{service: name, limits: limits}
	}
	s.routes = make(map[packet.Endpoint]*route, len(c.Routes))
	for i := range c.Routes {
		s.routes[c.Routes[i].Endpoint] = newRoute(&c.Routes[i], s.pools)
	}
}

func newRoute(r *fleet.Route, pools map[string]*pool) *route {
	made := &route{idempotent: r.Idempotent}
	for _, sh := range r.Shares {
		p := pools[sh.Service]
		if p == nil || sh.Weight <= 0 {
			continue
		}
		made.shares = append(made.shares, share{pool: p, weight: sh.Weight})
		made.total += sh.Weight
	}
	return made
}

// setTargets brings the host's targets to the view.
func (s *Steering) setTargets(now time.Duration, v *fleet.View) {
	for _, p := range s.pools {
		p.targets = p.targets[:0]
	}
	tokens := make(map[Token]*target, len(v.Targets))
	known := make(map[fleet.TargetKey]*target, len(v.Targets))
	for i := range v.Targets {
		e := &v.Targets[i]
		t := s.bring(now, e)
		t.out = v.ZonesOut[e.Zone]
		t.shadowed = false
		known[e.Key] = t
		claimToken(tokens, t)
		if p := s.pools[e.Service]; p != nil && !e.Gone {
			p.targets = append(p.targets, t)
		}
	}
	s.tokens = tokens
	for token := range s.unknown {
		if tokens[token] != nil {
			delete(s.unknown, token)
		}
	}
	s.targets = known
}

// bring returns the host's state of a target with its new entry. A new
// incarnation starts without the evidence about the former one.
func (s *Steering) bring(now time.Duration, e *fleet.Entry) *target {
	t := s.targets[e.Key]
	if t == nil || t.entry.Started != e.Started || t.entry.Addr != e.Addr {
		fresh := &target{token: TokenOf(e.Key)}
		if t != nil {
			s.moveFlows(t, fresh)
		}
		t = fresh
	}
	if t.health.silent && e.Said > t.health.since && e.Said > t.entry.Said {
		t.health.until = min(t.health.until, now) // it says that it lives: try it
	}
	t.entry = *e
	return t
}

// moveFlows takes the flows of a target's former incarnation to the next one,
// which resets those that it does not hold.
func (s *Steering) moveFlows(former, fresh *target) {
	for _, f := range s.flows {
		if f.target == former {
			s.detach(f)
			s.attach(f, fresh)
		}
	}
}

// claimToken gives a token to the target that started first, or the one with
// the smaller key, so that all hosts decide alike; the other gets no new flows.
func claimToken(tokens map[Token]*target, t *target) {
	other := tokens[t.token]
	switch {
	case other == nil || other.entry.Gone:
		tokens[t.token] = t
	case t.entry.Gone:
		// The living target keeps the token.
	case t.entry.Started < other.entry.Started:
		other.shadowed = true
		tokens[t.token] = t
	default:
		t.shadowed = true
	}
}
