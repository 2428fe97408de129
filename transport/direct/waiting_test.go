package direct

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

// Guards against packets that are lost between the start of a host and its first
// view: their callers send them again only after 200 ms.
func TestPacketsWaitForTheFirstView(t *testing.T) {
	is := is.New(t)
	target, caller := listen(t), listen(t)
	start := time.Now()
	s, err := New(Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Codec: byteCodec{addrOf(caller)}, Observer: &recorder{},
		Steering: steering.New(steering.Config{Zone: "a"}), Clock: func() time.Duration { return time.Since(start) },
	})
	is.NoErr(err)
	done := make(chan error, 1)
	at := net.UDPAddrFromAddrPort(addrOf(s.conn))
	for _, text := range []string{"s", "d1", "d2"} {
		_, err := caller.WriteToUDP([]byte(text), at)
		is.NoErr(err)
	}
	go func() { done <- s.Run() }()
	time.Sleep(20 * time.Millisecond) // Run reads the packets
	s.SetView(&fleet.View{
		Number: 1,
		Config: fleet.Config{
			Version: 1, Services: map[string]fleet.ServiceLimits{"book": {}},
			Routes: []fleet.Route{{Endpoint: service, Shares: []fleet.Share{{Service: "book", Weight: 1}}}},
		},
		Targets: []fleet.Entry{{Target: fleet.Target{Key: "t/1", Number: '7', Service: "book", Zone: "a", Slots: 3, Heartbeats: 1, Addr: addrOf(target)}}},
	})
	for _, want := range []string{"7s", "7d1", "7d2"} {
		is.Equal(receive(t, target), want)
	}
	is.NoErr(s.Close())
	is.NoErr(<-done)
}

// The packets that wait are bounded in age, number and bytes. Retransmitted
// openings give way first: what they ask for is late already.
func TestWaitingPackets(t *testing.T) {
	is := is.New(t)
	var w waitingPackets
	is.Equal(len(w.add(0, []byte("old"), false)), 0)
	is.Equal(len(w.add(time.Millisecond, []byte("repeated"), true)), 0)
	for i := range maxWaitingPackets - 2 {
		is.Equal(len(w.add(time.Millisecond+time.Duration(i)*time.Microsecond, []byte("x"), false)), 0)
	}
	evicted := w.add(2*time.Millisecond, []byte("x"), false)
	is.Equal(len(evicted), 1)
	is.Equal(string(evicted[0].buf), "repeated")
	evicted = w.add(2*time.Millisecond, []byte("x"), false)
	is.Equal(string(evicted[0].buf), "old") // no retransmitted opening is left
	is.Equal(len(w.expired(maxWaitingAge+time.Millisecond)), 0)
	is.Equal(len(w.expired(maxWaitingAge+2*time.Millisecond)), 1000)
	is.Equal(len(w.take()), maxWaitingPackets-1000)
	is.Equal(w.bytes, 0)
	is.Equal(len(w.add(0, make([]byte, maxWaitingBytes+1), false)), 1) // longer than all that may wait
	is.Equal(w.bytes, 0)
}
