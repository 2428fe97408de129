package document

import (
	"bytes"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"go.yaml.in/yaml/v3"
)

// yamlIndent is the number of spaces per indentation level.
const yamlIndent = 2

type serviceYAML struct {
	Service    string         `yaml:"service"`
	Team       string         `yaml:"team"`
	Generation uint64         `yaml:"generation,omitempty"`
	Change     string         `yaml:"change,omitempty"`
	Addresses  []addressYAML  `yaml:"addresses"`
	Idempotent bool           `yaml:"idempotent"`
	Targets    []targetYAML   `yaml:"targets"`
	Objectives objectivesYAML `yaml:"objectives"`
}

type addressYAML struct {
	Address  string `yaml:"address"`
	Port     uint16 `yaml:"port"`
	Protocol string `yaml:"protocol"`
}

type targetYAML struct {
	Name      string     `yaml:"name"`
	Zone      string     `yaml:"zone"`
	Tunnel    string     `yaml:"tunnel"`
	Weight    int        `yaml:"weight"`
	State     string     `yaml:"state"`
	Limits    limitsYAML `yaml:"limits"`
	Ramp      string     `yaml:"ramp"`
	HealthURL string     `yaml:"health_url,omitempty"`
	LoadURL   string     `yaml:"load_url,omitempty"`
}

type limitsYAML struct {
	Connections       int `yaml:"connections"`
	OpeningsInFlight  int `yaml:"openings_in_flight"`
	OpeningsPerSecond int `yaml:"openings_per_second"`
}

type objectivesYAML struct {
	Window         string  `yaml:"window"`
	FlowsNotBroken float64 `yaml:"flows_not_broken"`
	NewFlowsServed float64 `yaml:"new_flows_served"`
}

type zonesYAML struct {
	Generation uint64     `yaml:"generation,omitempty"`
	Change     string     `yaml:"change,omitempty"`
	Zones      []zoneYAML `yaml:"zones"`
}

type zoneYAML struct {
	Name  string `yaml:"name"`
	State string `yaml:"state"`
}

// ProtocolName returns "udp" for packet.ProtoUDP and "tcp" otherwise.
func ProtocolName(protocol uint8) string {
	if protocol == packet.ProtoUDP {
		return "udp"
	}
	return "tcp"
}

// String returns the address as "192.0.2.1:443/tcp".
func (a Address) String() string {
	return a.AddrPort.String() + "/" + ProtocolName(a.Protocol)
}

// Marshal returns the YAML text of the document. Parsing it returns an equal
// document. Comments of the original text are not kept.
func (d Document) Marshal() ([]byte, error) {
	if d.Service != nil {
		return d.Service.Marshal()
	}
	return d.Zones.Marshal()
}

// Marshal returns the YAML text of the service's document.
func (s Service) Marshal() ([]byte, error) {
	out := serviceYAML{
		Service:    s.Name,
		Team:       s.Team,
		Generation: s.Generation,
		Change:     s.Change,
		Idempotent: s.Idempotent,
		Objectives: objectivesYAML{
			Window:         s.Objectives.Window.String(),
			FlowsNotBroken: s.Objectives.FlowsNotBroken,
			NewFlowsServed: s.Objectives.NewFlowsServed,
		},
	}
	for _, a := range s.Addresses {
		out.Addresses = append(out.Addresses, addressYAML{
			Address:  a.AddrPort.Addr().String(),
			Port:     a.AddrPort.Port(),
			Protocol: ProtocolName(a.Protocol),
		})
	}
	for _, t := range s.Targets {
		out.Targets = append(out.Targets, marshalTarget(t))
	}
	return marshal(out)
}

func marshalTarget(t Target) targetYAML {
	return targetYAML{
		Name:      t.Name,
		Zone:      t.Zone,
		Tunnel:    t.Tunnel.String(),
		Weight:    t.Weight,
		State:     string(t.State),
		Limits:    limitsYAML(t.Limits),
		Ramp:      t.Ramp.String(),
		HealthURL: t.HealthURL,
		LoadURL:   t.LoadURL,
	}
}

// Marshal returns the YAML text of the zones document.
func (z Zones) Marshal() ([]byte, error) {
	out := zonesYAML{Generation: z.Generation, Change: z.Change}
	for _, zone := range z.Zones {
		out.Zones = append(out.Zones, zoneYAML{Name: zone.Name, State: string(zone.State)})
	}
	return marshal(out)
}

func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(yamlIndent)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	if err := enc.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
