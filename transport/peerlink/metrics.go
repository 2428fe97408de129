package peerlink

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
)

// Values of the label cause of dropped messages.
const (
	dropHeartbeatReplaced = "heartbeat_replaced"
	dropFlowsQueueFull    = "flows_queue_full"
	dropFlowsDisconnected = "flows_disconnected"
)

// Values of the label cause of connection faults.
const (
	faultAccept        = "accept"
	faultBadParams     = "bad_parameters"
	faultBusy          = "busy"
	faultCall          = "call_failed"
	faultCutInMessage  = "cut_in_message"
	faultDial          = "dial"
	faultHandshake     = "handshake"
	faultMalformed     = "malformed_json"
	faultProtocol      = "protocol"
	faultTooLong       = "message_too_long"
	faultUnknownMethod = "unknown_method"
	faultWrite         = "write"
)

// Metrics counts the traffic and the faults of control links. It implements
// prometheus.Collector.
type Metrics struct {
	bytesSent, bytesReceived        prometheus.Counter
	sent, received, dropped, faults *prometheus.CounterVec
}

// NewMetrics returns unregistered metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		bytesSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubehaven_control_sent_bytes_total",
			Help: "Bytes sent on control connections, TLS included, TCP and IP headers not.",
		}),
		bytesReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubehaven_control_received_bytes_total",
			Help: "Bytes received on control connections, TLS included, TCP and IP headers not.",
		}),
		sent:     newCounterVec("jujubehaven_control_sent_messages_total", "Messages sent by method.", "method"),
		received: newCounterVec("jujubehaven_control_received_messages_total", "Messages received by method.", "method"),
		dropped:  newCounterVec("jujubehaven_control_dropped_messages_total", "Messages dropped before they were sent.", "cause"),
		faults:   newCounterVec("jujubehaven_control_faults_total", "Faults of control connections.", "cause"),
	}
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func (m *Metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.bytesSent, m.bytesReceived, m.sent, m.received, m.dropped, m.faults}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range m.collectors() {
		c.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	for _, c := range m.collectors() {
		c.Collect(ch)
	}
}

// countFault counts and logs a fault of a connection. The number of peers and the
// backoff of retries bound the rate of log lines.
func (l *Links) countFault(cause, address string, err error) {
	if l.ctx.Err() != nil {
		return
	}
	l.cfg.Metrics.faults.WithLabelValues(cause).Inc()
	l.cfg.Log.Warn().Str("event", "control_link_fault").Str("cause", cause).
		Str("peer", address).Err(err).Send()
}

// countDialFailure counts a failed attempt to connect. It logs at debug level,
// since a dead peer is retried for as long as it is in the membership.
func (l *Links) countDialFailure(address string, err error) {
	if l.ctx.Err() != nil {
		return
	}
	l.cfg.Metrics.faults.WithLabelValues(faultDial).Inc()
	l.cfg.Log.Debug().Str("event", "control_dial_failed").Str("peer", address).Err(err).Send()
}

func (l *Links) connOptions() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.SetLogger(protocolLog{links: l})}
}

// protocolLog counts the protocol errors that jsonrpc2 logs.
type protocolLog struct{ links *Links }

// Printf implements jsonrpc2.Logger.
func (p protocolLog) Printf(format string, v ...any) {
	if p.links.ctx.Err() != nil {
		return
	}
	p.links.cfg.Metrics.faults.WithLabelValues(faultProtocol).Inc()
	p.links.cfg.Log.Debug().Str("event", "control_protocol").Msgf(format, v...)
}
