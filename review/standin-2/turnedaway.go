package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Bounds and figures of the case turned-away.
const (
	evacuateBound = 5 * time.Second
	// contactTime is that of the larger deployments; the smaller ones have 4 s.
	contactTime = 5 * time.Second
	// awayTime is how long the store turns machines away.
	awayTime = 9 * time.Second
	// watchTime is how long openings are observed after the zone was taken out.
	watchTime = 9 * time.Second
	// idleRoutes is the number of routes without traffic.
	idleRoutes = 1640
	zoneHosts  = 12
	turnedAway = 4
	fastMbps   = 200
	slowMbps   = 10
	ratePerS   = 60
)

// service is the address that clients use.
var service = netip.MustParseAddrPort("198.18.0.1:8080")

// config returns a configuration with a number of routes without traffic.
func config(version, idle int, warmupPerS float64) map[string]any {
	route := func(name, host string, port int, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": fmt.Sprintf("/%d/", port), "route_type": kind, "timeout_ms": 4000,
			"target_latency_ms": 250, "priority": 1, "service": "orders", "max_attempts": 2,
		}
	}
	routes := []any{route("r-orders", service.Addr().String(), int(service.Port()), "non_idempotent")}
	for i := range idle {
		// Names have the form of the platform's, which are drawn at random.
		name := fmt.Sprintf("r-%07x", uint32(i*2654435761)>>4)
		routes = append(routes, route(name, fmt.Sprintf("198.18.%d.%d", 1+i/200, 1+i%200), 443, "idempotent"))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": "orders", "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
			"warmup_s": coldTime.Seconds(), "warmup_per_s": warmupPerS,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// runTurnedAway lets the store give no response to a third of the machines of a zone,
// among them the two with the fastest links, while a configuration is accepted and the
// zone is taken out.
func runTurnedAway(e *env, trouble bool) ([]string, error) {
	e.store.put("op/config", config(7, idleRoutes, 0))
	if err := e.addServers(map[string]int{"z-a": 4, "z-b": 2}); err != nil {
		return nil, err
	}
	if err := e.addTurnedAwayHosts(); err != nil {
		return nil, err
	}
	for i, zone := range []string{"z-a", "z-b"} {
		c, err := newClient(fmt.Sprintf("127.79.3.%d:%d", i+1, e.dataPort), e.router(zone))
		if err != nil {
			return nil, err
		}
		e.clients = append(e.clients, c)
		e.load(c, service, ratePerS, uint64(i+1)*1_000_000)
	}
	time.Sleep(contactTime + 2*time.Second)

	away := e.turnAway(trouble)
	time.Sleep(50 * time.Millisecond)
	e.store.put("op/config", config(11, idleRoutes+1, 0))
	e.logf("configuration 11 acknowledged")
	acked := e.store.put("op/evacuate/z-a", struct{}{})
	e.logf("evacuation of z-a acknowledged")
	time.Sleep(awayTime)
	for _, h := range e.hosts {
		e.store.setSilent(h.name, false)
	}
	time.Sleep(time.Until(acked.Add(watchTime)))
	return e.lateOpenings("z-a", acked, away), nil
}

// addServers starts back ends.
func (e *env) addServers(perZone map[string]int) error {
	number := uint64(0x7f3a9100)
	for _, zone := range []string{"z-a", "z-b"} {
		for range perZone[zone] {
			number++
			addr := fmt.Sprintf("127.79.2.%d:%d", len(e.servers)+1, e.dataPort)
			s, err := newServer(e.store, number, "orders", zone, addr, uint16(e.dataPort), 0)
			if err != nil {
				return err
			}
			e.servers = append(e.servers, s)
		}
	}
	return nil
}

// addTurnedAwayHosts starts the hosts of both zones and waits until they are ready.
func (e *env) addTurnedAwayHosts() error {
	seeds := []string{"127.79.1.1", "127.79.1.2", "127.79.1.101"}
	for i := range zoneHosts {
		mbps := float64(slowMbps)
		if i < 2 {
			mbps = fastMbps
		}
		if _, err := e.addHost(fmt.Sprintf("edge-a-%d", i+1), "z-a", fmt.Sprintf("127.79.1.%d", i+1), mbps, seeds); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := e.addHost(fmt.Sprintf("edge-b-%d", i+1), "z-b", fmt.Sprintf("127.79.1.%d", 101+i), fastMbps, seeds); err != nil {
			return err
		}
	}
	for _, h := range e.hosts {
		e.poll(h)
	}
	return e.waitReady()
}

// turnAway makes the store give no response to four machines of the first zone and
// returns their data addresses.
func (e *env) turnAway(trouble bool) map[string]bool {
	away := map[string]bool{}
	if !trouble {
		return away
	}
	var names []string
	for _, h := range e.hosts[:turnedAway] {
		e.store.setSilent(h.name, true)
		away[fmt.Sprintf("%s:%d", h.ip, e.dataPort)] = true
		names = append(names, h.name)
	}
	e.logf("the store gives no response to %s", strings.Join(names, ", "))
	return away
}

// lateOpenings returns the openings that reached back ends of an evacuated zone after the
// bound, through a host that the store did not turn away.
func (e *env) lateOpenings(zone string, acked time.Time, away map[string]bool) []string {
	var late []string
	for _, s := range e.servers {
		if s.zone != zone {
			continue
		}
		for _, a := range s.opened() {
			after := a.at.Sub(acked)
			if after < 0 {
				continue
			}
			via := e.hostOf(a.client)
			e.logf("opening %s via %s reached back end %s %d ms after the acknowledgement", a.client, via, s.id, after.Milliseconds())
			if after > evacuateBound && !away[via] {
				late = append(late, fmt.Sprintf("opening %s via %s reached zone %s %d ms after its evacuation", a.client, via, zone, after.Milliseconds()))
			}
		}
	}
	return late
}

// hostOf returns the host that a client's opening was sent to.
func (e *env) hostOf(flow netip.AddrPort) string {
	for _, c := range e.clients {
		if via := c.hostOf(flow); via != "" {
			return via
		}
	}
	return ""
}
