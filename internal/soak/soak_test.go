package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlanIsDeterministic(t *testing.T) {
	is := is.New(t)
	specs := []FaultSpec{
		{Kind: "kill", Weight: 3, MinDuration: time.Second, MaxDuration: 5 * time.Second, Subjects: 4},
		{Kind: "slow", Weight: 1, MaxDuration: time.Second, Subjects: 1},
	}
	const length = 5 * time.Minute
	faults := Plan(7, length, specs)
	is.Equal(faults, Plan(7, length, specs))
	is.True(len(faults) > 20)
	overlap, kinds := 0, map[Kind]int{}
	for i, f := range faults {
		is.True(f.Subject < 4 && f.Start+f.Duration <= length)
		kinds[f.Kind]++
		if i > 0 {
			is.True(f.Start >= faults[i-1].Start)
			if f.Start < faults[i-1].Start+faults[i-1].Duration {
				overlap++
			}
		}
	}
	is.True(overlap > 0)                   // faults overlap
	is.True(kinds["kill"] > kinds["slow"]) // drawn by weight
}

func TestProcessDistinguishesUnexpectedExits(t *testing.T) {
	is := is.New(t)
	p := NewProcess("sleep", []string{"60"}, filepath.Join(t.TempDir(), "out"))
	is.NoErr(p.Start())
	first := p.PID()
	is.True(first != 0)
	p.Signal(syscall.SIGSTOP)
	is.True(p.Stop(5 * time.Second)) // a paused process is resumed and exits
	is.NoErr(p.Start())
	is.True(p.PID() != first)
	p.Kill()
	is.Equal(len(p.UnexpectedExits()), 0)
	short := NewProcess("sleep", []string{"0"}, filepath.Join(t.TempDir(), "out"))
	is.NoErr(short.Start())
	for end := time.Now().Add(10 * time.Second); short.PID() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(short.UnexpectedExits()), 1)
}

func TestDatagramRelayImpairments(t *testing.T) {
	is := is.New(t)
	server, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	relay, err := NewDatagramRelay(netip.MustParseAddrPort("127.0.0.1:0"), server.LocalAddr().(*net.UDPAddr).AddrPort())
	is.NoErr(err)
	defer func() { _ = relay.Close() }()
	client, err := net.Dial("udp", relay.conn.LocalAddr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	arrives := func(within time.Duration) bool {
		_, err := client.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(server.SetReadDeadline(time.Now().Add(within)))
		_, err = server.Read(make([]byte, 10))
		return err == nil
	}
	is.True(arrives(10 * time.Second))
	relay.Set(Impairment{DropForward: true})
	is.True(!arrives(100 * time.Millisecond))
	relay.Set(Impairment{Delay: 50 * time.Millisecond})
	start := time.Now()
	is.True(arrives(10 * time.Second))
	is.True(time.Since(start) >= 50*time.Millisecond)
}

func TestStreamRelayImpairments(t *testing.T) {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					_, _ = fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	relay, err := NewStreamRelay("127.0.0.1:0", echo.Addr().String())
	is.NoErr(err)
	defer func() { _ = relay.Close() }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", relay.Addr())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	answers := func(c net.Conn, within time.Duration) bool {
		if _, err := fmt.Fprintln(c, "hello"); err != nil {
			return false
		}
		is.NoErr(c.SetReadDeadline(time.Now().Add(within)))
		_, err := c.Read(make([]byte, 10))
		return err == nil
	}
	old := dial()
	is.True(answers(old, 10*time.Second))
	relay.Set(Impairment{DropReverse: true})
	is.True(!answers(old, 100*time.Millisecond))
	relay.Set(Impairment{})
	is.True(!answers(old, 100*time.Millisecond)) // stays silent
	is.True(answers(dial(), 10*time.Second))     // new connections work
	relay.Set(Impairment{Reset: true})
	is.True(!answers(old, 10*time.Second))
	relay.Set(Impairment{})
	is.True(answers(dial(), 10*time.Second))
}
