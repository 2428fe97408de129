package main

import (
	"fmt"
	"net/netip"
	"time"
)

// routeEntry, serviceEntry and configEntry are the operator's configuration.
type routeEntry struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	Prefix          string `json:"prefix"`
	RouteType       string `json:"route_type"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
}

type serviceEntry struct {
	Name         string  `json:"name"`
	HealthPath   string  `json:"health_path"`
	MaxConns     int     `json:"max_conns"`
	Protocol     string  `json:"protocol"`
	TLS          bool    `json:"tls"`
	WarmupS      float64 `json:"warmup_s"`
	WarmupPerSec float64 `json:"warmup_per_s"`
}

type configEntry struct {
	Version  uint64         `json:"version"`
	Routes   []routeEntry   `json:"routes"`
	Services []serviceEntry `json:"services"`
	Limits   struct {
		IdleTimeoutMS int `json:"idle_timeout_ms"`
	} `json:"limits"`
}

// coldTime is how long a backend is cold after its start.
const coldTime = 2 * time.Second

// idleRoutes is the number of routes without traffic, as on the site's sheet.
const idleRoutes = 110

// configure writes the next configuration.
func (w *world) configure() {
	w.version += 3
	c := configEntry{Version: w.version}
	c.Limits.IdleTimeoutMS = 15000
	add := func(name, typ, service string, at netip.AddrPort, latency, timeout, priority int) {
		c.Routes = append(c.Routes, routeEntry{
			Name: name, Hostname: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()), RouteType: typ,
			TimeoutMS: timeout, TargetLatencyMS: latency, Priority: priority, Service: service, MaxAttempts: 2,
		})
	}
	add("r-feed", "idempotent", feeds.service, w.routes[feeds], 200, 3000, 2)
	add("r-order", "non_idempotent", orders.service, w.routes[orders], 250, 4000, 1)
	add("r-upload", "upload", uploads.service, w.routes[uploads], 500, 8000, 2)
	for i := range idleRoutes {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 1, byte(i + 1)}), 8443)
		add(fmt.Sprintf("r-idle-%d", i), "idempotent", feeds.service, at, 200, 3000, 2)
	}
	for _, name := range []string{"bron", "qabyl"} {
		c.Services = append(c.Services, serviceEntry{
			Name: name, HealthPath: "/health", MaxConns: 2000, Protocol: "h1", WarmupS: coldTime.Seconds(), WarmupPerSec: w.coldRate,
		})
	}
	w.store.put("op/config", c)
}
