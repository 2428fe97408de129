package tokenhost

import (
	"encoding/json"
	"net/http"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/report"
)

// currentSettings returns the settings in force.
func (h *Host) currentSettings() settings.Settings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settings
}

// capacity returns what the host knows of the spare capacity of zones.
func (h *Host) capacity() report.Capacity {
	s := h.currentSettings()
	c := report.Capacity{Host: s.Host, Zone: s.Zone, Enabled: s.Balancing.CrossZone, Services: []report.ServiceCapacity{}}
	for _, p := range h.packets.Stats().Plans {
		service := report.ServiceCapacity{
			Service: p.Service, Known: p.Known, Slots: p.Slots, Demand: p.Demand, Spare: p.Spare, ShareAway: p.Share,
			Zones: []report.ZoneCapacity{},
		}
		for _, d := range p.Destinations {
			service.Zones = append(service.Zones, report.ZoneCapacity{
				Zone: d.Zone, Slots: d.Slots, Busy: d.Busy, Spare: d.Offer, ShareAway: d.Share,
			})
		}
		c.Services = append(c.Services, service)
	}
	return c
}

// serveCapacity answers with the capacity in JSON.
func (h *Host) serveCapacity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(h.capacity())
}

// collectCapacity exports the spare capacity of zones and what is sent to them.
func (c *collector) collectCapacity(out metricWriter) {
	zone := c.host.currentSettings().Zone
	for _, p := range c.host.packets.Stats().Plans {
		if p.Known {
			out.gauge(c.zoneSpareSlots, float64(p.Spare), zone, p.Service)
		}
		for _, d := range p.Destinations {
			out.gauge(c.zoneSpareSlots, float64(d.Offer), d.Zone, p.Service)
			out.gauge(c.zoneShareAway, d.Share, d.Zone, p.Service)
		}
	}
}

// logShareEvent logs that the share of a service's flows that is sent away changed.
func (l *decisionLog) logShareEvent(e steering.ShareEvent) {
	l.log.Info().Str("event", "zone_share_changed").Str("service", e.Service).Float64("share", e.Share).
		Float64("former", e.Former).Int("slots", e.Slots).Int("demand", e.Demand).Send()
}
