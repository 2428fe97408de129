package tokenhost

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a host that gets packets which it can't forward. With another host's
// table and no target in its own zone it may be cut off together with its zone: callers
// of an evacuated zone that was cut off waited for hosts that had just restarted.
func TestReadiness(t *testing.T) {
	serving := hostState{knowsTargets: true, hasView: true, confirmed: true, ownZoneTakesFlows: true}
	for name, c := range map[string]struct {
		change func(s *hostState)
		ready  bool
	}{
		"serving":                     {func(*hostState) {}, true},
		"leaving":                     {func(s *hostState) { s.leaving = true }, false},
		"no targets known":            {func(s *hostState) { s.knowsTargets = false }, false},
		"no view":                     {func(s *hostState) { s.hasView = false }, false},
		"cut off":                     {func(s *hostState) { s.cutOff = true }, false},
		"zone out":                    {func(s *hostState) { s.ownZoneTakesFlows = false }, true},
		"table of a peer":             {func(s *hostState) { s.confirmed = false }, true},
		"table of a peer in zone out": {func(s *hostState) { s.confirmed, s.ownZoneTakesFlows = false, false }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serving
			c.change(&s)
			is.Equal(s.ready() == nil, c.ready)
		})
	}
}
