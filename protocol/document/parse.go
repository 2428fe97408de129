package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"go.yaml.in/yaml/v3"
)

// Document is one parsed document: exactly one of its fields is set.
type Document struct {
	Service *Service
	Zones   *Zones
}

// Key returns the document's key.
func (d Document) Key() Key {
	if d.Service != nil {
		return ServiceKey(d.Service.Name)
	}
	return ZonesKey
}

// Generation returns the document's generation.
func (d Document) Generation() uint64 {
	if d.Service != nil {
		return d.Service.Generation
	}
	return d.Zones.Generation
}

// Change returns the ID of the write that created the document's generation.
func (d Document) Change() string {
	if d.Service != nil {
		return d.Service.Change
	}
	return d.Zones.Change
}

// Parse parses and validates a document of either kind from its YAML text; file
// is the name of the text in errors. The error is an Errors with all problems
// found.
//
// Generation and change may both be missing in a text that is not in the store
// yet; they are then zero.
func Parse(file string, text []byte) (Document, error) {
	p := &parser{file: file}
	root := p.root(text)
	if root == nil {
		return Document{}, p.err()
	}
	var doc Document
	if hasKey(root, "service") {
		service := p.service(root)
		doc.Service = &service
	} else if hasKey(root, "zones") {
		zones := p.zones(root)
		doc.Zones = &zones
	} else {
		p.errorf(root.Line, "", "must have the key service or the key zones")
	}
	if err := p.err(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// ParseService parses the document of one service.
func ParseService(file string, text []byte) (Service, error) {
	doc, err := Parse(file, text)
	if err != nil {
		return Service{}, err
	}
	if doc.Service == nil {
		return Service{}, Errors{{File: file, Line: 1, Key: "service", Reason: "missing; this is the zones document"}}
	}
	return *doc.Service, nil
}

// ParseZones parses the zones document.
func ParseZones(file string, text []byte) (Zones, error) {
	doc, err := Parse(file, text)
	if err != nil {
		return Zones{}, err
	}
	if doc.Zones == nil {
		return Zones{}, Errors{{File: file, Line: 1, Key: "zones", Reason: "missing; this is a service's document"}}
	}
	return *doc.Zones, nil
}

// ParseStored parses a document that the store holds under the key. The
// document must belong to the key, and generation and change must be set.
func ParseStored(key Key, text []byte) (Document, error) {
	doc, err := Parse(string(key), text)
	if err != nil {
		return Document{}, err
	}
	p := &parser{file: string(key)}
	if doc.Key() != key {
		p.errorf(1, "", "the text contains the document %s", doc.Key())
	}
	if doc.Generation() == 0 {
		p.errorf(1, "generation", "missing in a stored document")
	}
	if err := p.err(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

func hasKey(root *yaml.Node, key string) bool {
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == key {
			return true
		}
	}
	return false
}

// root returns the top-level mapping of the text, or nil after an error.
func (p *parser) root(text []byte) *yaml.Node {
	if len(text) > MaxTextBytes {
		p.errorf(0, "", "is longer than %d bytes", MaxTextBytes)
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	var doc yaml.Node
	if err := decode(dec, &doc); err != nil {
		p.syntaxError(err)
		return nil
	}
	var second yaml.Node
	if err := decode(dec, &second); !errors.Is(err, io.EOF) {
		p.errorf(second.Line, "", "must hold one YAML document only")
		return nil
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		p.errorf(doc.Line, "", "must be a mapping of keys to values")
		return nil
	}
	p.rejectAliases(&doc)
	if len(p.errs) > 0 {
		return nil
	}
	return doc.Content[0]
}

// decode decodes the next YAML document. The YAML library panics on some
// malformed input; decode returns that as an error.
func decode(dec *yaml.Decoder, n *yaml.Node) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("yaml: malformed input: %v", r)
		}
	}()
	return dec.Decode(n)
}

// rejectAliases rejects anchors and aliases, since a short text could expand to a
// very long one and the line of a value would be ambiguous.
func (p *parser) rejectAliases(n *yaml.Node) {
	if n.Anchor != "" || n.Kind == yaml.AliasNode {
		p.errorf(n.Line, "", "anchors and aliases are not allowed")
		return
	}
	for _, child := range n.Content {
		p.rejectAliases(child)
	}
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (p *parser) syntaxError(err error) {
	if errors.Is(err, io.EOF) {
		p.errorf(1, "", "is empty")
		return
	}
	line := 1
	reason := err.Error()
	if found := syntaxLine.FindStringSubmatch(reason); found != nil {
		line, _ = strconv.Atoi(found[1])
		reason = strings.TrimPrefix(reason, found[0])
	}
	// The YAML library counts lines from 0 in parser errors and from 1 in scanner
	// errors.
	if strings.HasPrefix(reason, "did not find expected") {
		line++
	}
	p.errorf(line, "", "not valid YAML: %s", strings.TrimPrefix(reason, "yaml: "))
}

func (p *parser) service(root *yaml.Node) Service {
	m := p.mapping(root, "", "service", "team", "generation", "change",
		"addresses", "idempotent", "targets", "objectives")
	s := Service{
		Name:       p.name(m, "service"),
		Team:       p.name(m, "team"),
		Idempotent: p.boolean(m, "idempotent"),
	}
	s.Generation, s.Change = p.version(m)
	s.Addresses = p.addresses(m)
	s.Targets = p.targets(m)
	s.Objectives = p.objectives(m)
	p.checkTunnels(m, s)
	return s
}

// version parses generation and change, which must be both set or both missing.
func (p *parser) version(m mapping) (uint64, string) {
	generation := p.generation(m, "generation")
	change := p.text(m, "change")
	hasGeneration := m.values["generation"] != nil
	hasChange := m.values["change"] != nil
	if hasGeneration != hasChange {
		p.errorf(m.line, m.keyPath("generation"),
			"generation and change must be set together: keep both as written by doc apply, or remove both")
	}
	if hasChange && !validChange(change) {
		p.errorf(m.lineOf("change"), m.keyPath("change"),
			"must be 1 to %d letters, digits or '-'", MaxChangeBytes)
	}
	return generation, change
}

func validChange(s string) bool {
	for _, c := range []byte(s) {
		digit := c >= '0' && c <= '9'
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !digit && !letter && c != '-' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= MaxChangeBytes
}

func (p *parser) addresses(m mapping) []Address {
	var addresses []Address
	lines := map[Address]int{}
	for i, n := range p.list(m, "addresses", MaxAddresses) {
		item := p.mapping(n, fmt.Sprintf("addresses[%d]", i), "address", "port", "protocol")
		a := p.address(item)
		if !a.AddrPort.IsValid() || a.Protocol == 0 {
			continue
		}
		if first, ok := lines[a]; ok {
			p.errorf(item.line, item.path, "duplicate address %s; first at line %d", a, first)
			continue
		}
		lines[a] = item.line
		addresses = append(addresses, a)
	}
	return addresses
}

func (p *parser) address(m mapping) Address {
	for _, key := range []string{"address", "port", "protocol"} {
		p.required(m, key)
	}
	port := p.integer(m, "port", 1, 65535, 0)
	protocol := p.protocol(m)
	n := p.scalar(m, "address", "an IP address", "!!str")
	if n == nil || port == 0 {
		return Address{}
	}
	ip, err := netip.ParseAddr(n.Value)
	if err != nil {
		p.errorf(n.Line, m.keyPath("address"), "%q is not an IP address", n.Value)
		return Address{}
	}
	if reason := checkIP(ip); reason != "" {
		p.errorf(n.Line, m.keyPath("address"), "%s: %s", n.Value, reason)
		return Address{}
	}
	return Address{AddrPort: netip.AddrPortFrom(ip, uint16(port)), Protocol: protocol}
}

func (p *parser) protocol(m mapping) uint8 {
	n := p.scalar(m, "protocol", "tcp or udp", "!!str")
	if n == nil {
		return 0
	}
	switch n.Value {
	case "tcp":
		return packet.ProtoTCP
	case "udp":
		return packet.ProtoUDP
	}
	p.errorf(n.Line, m.keyPath("protocol"), "%q is not tcp or udp", n.Value)
	return 0
}

func (p *parser) objectives(m mapping) Objectives {
	o := Objectives{
		Window:         DefaultWindow,
		FlowsNotBroken: DefaultFlowsNotBroken,
		NewFlowsServed: DefaultNewFlowsServed,
	}
	n := m.values["objectives"]
	if n == nil {
		return o
	}
	item := p.mapping(n, "objectives", "window", "flows_not_broken", "new_flows_served")
	o.Window = p.duration(item, "window", MinWindow, MaxWindow, o.Window)
	o.FlowsNotBroken = p.share(item, "flows_not_broken", o.FlowsNotBroken)
	o.NewFlowsServed = p.share(item, "new_flows_served", o.NewFlowsServed)
	return o
}
