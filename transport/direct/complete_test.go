package direct

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

// Guards against a view that is older than the time up to which it is taken to be
// complete: a route or target that was added in between would count as absent.
func TestCompleteToIsReadBeforeTheView(t *testing.T) {
	is := is.New(t)
	var s *Server
	later := &fleet.View{Number: 1}
	s, err := New(Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Codec: byteCodec{}, Observer: &recorder{},
		Steering: steering.New(steering.Config{Zone: "a"}), Clock: func() time.Duration { return 0 },
		CompleteTo: func() (time.Duration, bool) {
			s.SetView(later) // published just before its time is returned
			return time.Second, true
		},
	})
	is.NoErr(err)
	defer func() { is.NoErr(s.Close()) }()
	s.tick(0)
	complete, known := s.CompleteTo()
	is.True(known)
	is.Equal(complete, time.Second)
	is.Equal(s.appliedView, later)
}
