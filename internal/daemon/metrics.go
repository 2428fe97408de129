package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

func (d *Daemon) registerMetrics(more ...prometheus.Collector) {
	d.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newTunnelCollector(d.tunnel),
	)
	d.registry.MustRegister(more...)
}

// tunnelCollector exports the counters of the tunnel.
type tunnelCollector struct {
	tunnel                                    *tunnel.Server
	received, handled, refused, dropped, sent *prometheus.Desc
}

func newTunnelCollector(t *tunnel.Server) *tunnelCollector {
	return &tunnelCollector{
		tunnel:   t,
		received: prometheus.NewDesc("jujubehaven_tunnel_received_packets_total", "Datagrams read from the data sockets.", nil, nil),
		handled:  prometheus.NewDesc("jujubehaven_tunnel_handled_packets_total", "Packets handed to the balancer by origin.", []string{"from"}, nil),
		refused:  prometheus.NewDesc("jujubehaven_tunnel_refused_packets_total", "Packets that do not decode.", []string{"cause"}, nil),
		dropped:  prometheus.NewDesc("jujubehaven_tunnel_dropped_packets_total", "Packets that the tunnel dropped.", []string{"cause"}, nil),
		sent:     prometheus.NewDesc("jujubehaven_tunnel_sent_packets_total", "Packets sent by kind.", []string{"kind"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *tunnelCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.received, c.handled, c.refused, c.dropped, c.sent} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *tunnelCollector) Collect(ch chan<- prometheus.Metric) {
	s := c.tunnel.Stats()
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	counter(c.received, s.Received)
	counter(c.handled, s.Handled-s.Relayed, "fabric")
	counter(c.handled, s.Relayed, "host")
	for cause, n := range s.Refused {
		if packet.Cause(cause) != packet.CauseNone {
			counter(c.refused, n, packet.Cause(cause).String())
		}
	}
	for cause, n := range s.Dropped {
		counter(c.dropped, n, tunnel.DropCause(cause).String())
	}
	for kind, n := range s.Sent {
		counter(c.sent, n, tunnel.SentKind(kind).String())
	}
}
