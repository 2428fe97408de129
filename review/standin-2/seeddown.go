package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Bounds and figures of the case seed-down.
const (
	coldTime = 4 * time.Second
	// coldPerS is what a cold back end bears in a second; the bound is warmup_excess
	// times that and warmup_slack more.
	coldPerS     = 12.0
	warmupExcess = 1.5
	warmupSlack  = 5.0
	// seedLag is how old the seeds in the settings may be.
	seedLag     = 3 * time.Second
	seedDownPer = 215
)

// runSeedDown lets the only seed lose power, adds two hosts to its zone and starts a back
// end there, which is cold.
func runSeedDown(e *env, trouble bool) ([]string, error) {
	e.store.put("op/config", config(7, 110, coldPerS))
	if err := e.addServers(map[string]int{"z-a": 3}); err != nil {
		return nil, err
	}
	seeds := []string{"127.79.1.1"}
	for i := range 3 {
		if _, err := e.addHost(fmt.Sprintf("edge-a-%d", i+1), "z-a", fmt.Sprintf("127.79.1.%d", i+1), 1000, seeds); err != nil {
			return nil, err
		}
	}
	for _, h := range e.hosts {
		e.poll(h)
	}
	if err := e.waitReady(); err != nil {
		return nil, err
	}
	c, err := newClient(fmt.Sprintf("127.79.3.1:%d", e.dataPort), e.router("z-a"))
	if err != nil {
		return nil, err
	}
	e.clients = append(e.clients, c)
	e.load(c, service, seedDownPer, 1_000_000)
	time.Sleep(6 * time.Second)

	if trouble {
		e.hosts[0].kill()
		e.logf("edge-a-1, the seed, loses power")
	}
	time.Sleep(time.Second)
	var added []*host
	for i := range 2 {
		h, err := e.addHost(fmt.Sprintf("edge-a-%d", i+4), "z-a", fmt.Sprintf("127.79.1.%d", i+4), 1000, seeds)
		if err != nil {
			return nil, err
		}
		e.poll(h)
		added = append(added, h)
	}
	begin := time.Now()
	time.Sleep(2300 * time.Millisecond)
	cold, err := newServer(e.store, 0x7f3a9200, "orders", "z-a", fmt.Sprintf("127.79.2.100:%d", e.dataPort), uint16(e.dataPort), coldTime)
	if err != nil {
		return nil, err
	}
	e.servers = append(e.servers, cold)
	e.logf("back end %s starts cold", cold.id)
	time.Sleep(time.Until(begin.Add(seedLag)))
	for _, h := range added {
		if err := e.replaceSeeds(h, seeds[0], "127.79.1.2"); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(cold.born.Add(coldTime)))
	return e.overCold(cold), nil
}

// replaceSeeds writes a host's settings with another seed.
func (e *env) replaceSeeds(h *host, old, seed string) error {
	path := filepath.Join(e.dir, h.name+".yaml")
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	port := fmt.Sprintf(":%d", e.controlPort)
	text := strings.Replace(string(b), "["+fmt.Sprintf("%q", old+port)+"]", "["+fmt.Sprintf("%q", seed+port)+"]", 1)
	e.logf("the settings of %s name the seed %s", h.name, seed)
	return os.WriteFile(path, []byte(text), 0o600)
}

// overCold returns the seconds in which a cold back end got too many openings.
func (e *env) overCold(s *server) []string {
	const bound = coldPerS*warmupExcess + warmupSlack
	var over []string
	list := s.opened()
	first := 0
	worst := 0
	for i, a := range list {
		e.logf("opening %s via %s reached the cold back end after %d ms", a.client, e.clients[0].hostOf(a.client), a.at.Sub(s.born).Milliseconds())
		for a.at.Sub(list[first].at) >= time.Second {
			first++
		}
		n := i - first + 1
		worst = max(worst, n)
		if float64(n) > bound {
			over = append(over, fmt.Sprintf("%d openings in the second up to %d ms after the start, the bound is %.0f", n, a.at.Sub(s.born).Milliseconds(), bound))
		}
	}
	e.logf("%d openings while cold, %d in the worst second", len(list), worst)
	return over
}
