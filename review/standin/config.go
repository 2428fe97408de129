package main

import (
	"fmt"
	"net/netip"
	"time"
)

// operator writes the configuration.
type operator struct {
	w       *world
	version int
	routes  []route
	rec     *record
}

// route is a route of the configuration.
type route struct {
	name    string
	addr    netip.AddrPort
	service string
}

// serviceAddr is the address of the routes that clients use; it stands in packets only.
const serviceAddr = "127.198.0.1"

// addRoute adds a route and returns its address.
func (o *operator) addRoute(port int, service string) netip.AddrPort {
	addr := netip.AddrPortFrom(netip.MustParseAddr(serviceAddr), uint16(port))
	o.routes = append(o.routes, route{fmt.Sprintf("r-%07x", 0x3d3e19+port), addr, service})
	return addr
}

// addIdle adds routes that see no traffic.
func (o *operator) addIdle(n int, service string) {
	for range n {
		i := len(o.routes)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 199, byte(i >> 8), byte(i)}), 8443)
		o.routes = append(o.routes, route{fmt.Sprintf("r-%07x", 0x9e3779b*(i+1)&0xfffffff), addr, service})
	}
}

// removeRoute removes a route.
func (o *operator) removeRoute(addr netip.AddrPort) {
	for i, r := range o.routes {
		if r.addr == addr {
			o.routes = append(o.routes[:i:i], o.routes[i+1:]...)
			return
		}
	}
}

// write writes the configuration as a new version and returns the time of the
// acknowledgement.
func (o *operator) write(services ...string) time.Time {
	o.version += 3
	routes := make([]map[string]any, 0, len(o.routes))
	for _, r := range o.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "hostname": r.addr.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.addr.Port()), "route_type": "non_idempotent",
			"timeout_ms": 4000, "target_latency_ms": 250, "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	list := make([]map[string]any, 0, len(services))
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": 0.0,
		})
	}
	ack := o.w.store.put("op/config", map[string]any{
		"version": o.version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	o.rec.logf("configuration %d with %d routes acknowledged", o.version, len(routes))
	return ack
}
