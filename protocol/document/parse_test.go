package document

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/matryer/is"
)

const ordersText = `service: orders
team: recoating
generation: 7
change: c-7
addresses:
  - {address: 192.0.2.10, port: 443, protocol: tcp}
  - {address: "2001:db8::10", port: 443, protocol: udp}
idempotent: true
targets:
  - name: orders-1
    zone: north
    tunnel: 10.0.1.1:6080
    weight: 2
    state: draining
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50}
    ramp: 90s
    health_url: http://10.0.1.1:8080/healthz
    load_url: http://[2001:db8:1::1]:8080/metrics
  - name: orders-2
    zone: south
    tunnel: "[2001:db8:1::2]:6080"
    limits: {connections: 1, openings_in_flight: 1, openings_per_second: 1}
objectives: {window: 24h, flows_not_broken: 0.999, new_flows_served: 0.99}
`

const zonesText = `generation: 3
change: c-3
zones:
  - {name: north, state: in}
  - {name: south, state: out}
`

var equalAddrs = cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})

func TestParseService(t *testing.T) {
	is := is.New(t)
	got, err := ParseService("orders.yaml", []byte(ordersText))
	is.NoErr(err)
	want := Service{
		Name: "orders", Team: "recoating", Generation: 7, Change: "c-7", Idempotent: true,
		Addresses: []Address{
			{AddrPort: netip.MustParseAddrPort("192.0.2.10:443"), Protocol: packet.ProtoTCP},
			{AddrPort: netip.MustParseAddrPort("[2001:db8::10]:443"), Protocol: packet.ProtoUDP},
		},
		Targets: []Target{
			{
				Name: "orders-1", Zone: "north", Tunnel: netip.MustParseAddrPort("10.0.1.1:6080"),
				Weight: 2, State: TargetDraining, Limits: Limits{2000, 3, 50}, Ramp: 90 * time.Second,
				HealthURL: "http://10.0.1.1:8080/healthz", LoadURL: "http://[2001:db8:1::1]:8080/metrics",
			},
			{
				Name: "orders-2", Zone: "south", Tunnel: netip.MustParseAddrPort("[2001:db8:1::2]:6080"),
				Weight: DefaultWeight, State: TargetActive, Limits: Limits{1, 1, 1}, Ramp: DefaultRamp,
			},
		},
		Objectives: Objectives{24 * time.Hour, 0.999, 0.99},
	}
	is.Equal(cmp.Diff(want, got, equalAddrs), "")
}

func TestMarshalRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{ordersText, zonesText} {
		first, err := Parse("a", []byte(text))
		is.NoErr(err)
		out, err := first.Marshal()
		is.NoErr(err)
		second, err := Parse("b", out)
		is.NoErr(err)
		is.Equal(cmp.Diff(first, second, equalAddrs), "")
	}
}

func TestParseProblems(t *testing.T) {
	tests := []struct {
		name, old, new string
		line           int
		key, reason    string
	}{
		{"unknown key", "idempotent: true", "idempotant: true", 8, "idempotant", "unknown key"},
		{"unknown nested key", "zone: south", "zone: south\n    zome: x", 21, "targets[1].zome", "unknown key"},
		{"duplicate key", "team: recoating", "team: recoating\nteam: other", 3, "team", "duplicate key; first at line 2"},
		{"null value", "team: recoating", "team:", 2, "team", "must be a name"},
		{"missing key", "team: recoating\n", "", 1, "team", "missing"},
		{"bad name", "team: recoating", "team: Re_coating", 2, "team", "not a name"},
		{"empty text", ordersText, "", 1, "", "is empty"},
		{"not YAML", "team: recoating", "team: [", 2, "", "not valid YAML"},
		{"not a mapping", ordersText, "- a", 1, "", "must be a mapping"},
		{"neither kind", ordersText, "team: x", 1, "", "must have the key service or the key zones"},
		{"two documents", "objectives:", "---\nobjectives:", 23, "", "one YAML document only"},
		{"anchor", "team: recoating", "team: &x recoating", 2, "", "anchors and aliases"},
		{"generation zero", "generation: 7", "generation: 0", 3, "generation", "not a whole number"},
		{"generation negative", "generation: 7", "generation: -1", 3, "generation", "not a whole number"},
		{"generation above", "generation: 7", "generation: 9007199254740993", 3, "generation", "not a whole number"},
		{"generation text", "generation: 7", "generation: seven", 3, "generation", "must be a whole number"},
		{"generation alone", "change: c-7\n", "", 1, "generation", "must be set together"},
		{"change alone", "generation: 7\n", "", 1, "generation", "must be set together"},
		{"bad change", "change: c-7", "change: c 7", 4, "change", "letters, digits"},
		{"idempotent yes", "idempotent: true", "idempotent: yes", 8, "idempotent", "true or false"},
		{"bad address", "192.0.2.10", "192.0.2.300", 6, "addresses[0].address", "not an IP address"},
		{"unspecified address", "192.0.2.10", "0.0.0.0", 6, "addresses[0].address", "unspecified"},
		{"multicast address", "192.0.2.10", "224.0.0.1", 6, "addresses[0].address", "multicast"},
		{"broadcast address", "192.0.2.10", "255.255.255.255", 6, "addresses[0].address", "broadcast"},
		{"mapped address", "192.0.2.10", `"::ffff:192.0.2.10"`, 6, "addresses[0].address", "usual form"},
		{"scoped address", `"2001:db8::10"`, `"fe80::1%eth0"`, 7, "addresses[1].address", "scope"},
		{"port range", "port: 443, protocol: tcp", "port: 65536, protocol: tcp", 6, "addresses[0].port", "from 1 to 65535"},
		{"protocol", "protocol: tcp", "protocol: sctp", 6, "addresses[0].protocol", "not tcp or udp"},
		{
			"duplicate address", `"2001:db8::10", port: 443, protocol: udp`, "192.0.2.10, port: 443, protocol: tcp",
			7, "addresses[1]", "duplicate address 192.0.2.10:443/tcp; first at line 6",
		},
		{"duplicate target", "name: orders-2", "name: orders-1", 19, "targets[1].name", `duplicate target "orders-1"; first at line 10`},
		{"duplicate tunnel", `"[2001:db8:1::2]:6080"`, "10.0.1.1:6080", 21, "targets[1].tunnel", "duplicate tunnel"},
		{"tunnel without port", "10.0.1.1:6080", "10.0.1.1", 12, "targets[0].tunnel", "not an IP address and port"},
		{"tunnel port zero", "10.0.1.1:6080", "10.0.1.1:0", 12, "targets[0].tunnel", "port 0"},
		{"tunnel by name", "10.0.1.1:6080", "host:6080", 12, "targets[0].tunnel", "not an IP address and port"},
		{"tunnel at own address", "10.0.1.1:6080", "192.0.2.10:6080", 10, "targets[0].tunnel", "callers of this service use"},
		{"weight zero", "weight: 2", "weight: 0", 13, "targets[0].weight", "from 1 to 100"},
		{"weight above", "weight: 2", "weight: 101", 13, "targets[0].weight", "from 1 to 100"},
		{"weight fraction", "weight: 2", "weight: 1.5", 13, "targets[0].weight", "must be a whole number"},
		{"state", "state: draining", "state: drained", 14, "targets[0].state", "not active or draining"},
		{"limit missing", ", openings_per_second: 50", "", 15, "targets[0].limits.openings_per_second", "missing"},
		{"limit zero", "connections: 2000", "connections: 0", 15, "targets[0].limits.connections", "from 1 to"},
		{"limit above", "connections: 2000", "connections: 1000001", 15, "targets[0].limits.connections", "from 1 to 1000000"},
		{"limits crossed", "connections: 2000", "connections: 2", 15, "targets[0].limits.openings_in_flight", "more than the 2 connections"},
		{"ramp number", "ramp: 90s", "ramp: 90", 16, "targets[0].ramp", "must be a duration"},
		{"ramp negative", "ramp: 90s", "ramp: -1s", 16, "targets[0].ramp", "between 1s and 1h"},
		{"ramp above", "ramp: 90s", "ramp: 2h", 16, "targets[0].ramp", "between 1s and 1h"},
		{"health scheme", "http://10.0.1.1", "ftp://10.0.1.1", 17, "targets[0].health_url", "http:// or https://"},
		{"health by name", "http://10.0.1.1", "http://orders", 17, "targets[0].health_url", "IP address as its host"},
		{"health password", "http://10.0.1.1", "http://a:b@10.0.1.1", 17, "targets[0].health_url", "user or password"},
		{"window", "window: 24h", "window: 1s", 23, "objectives.window", "between 1m0s and 2160h"},
		{"share of one", "flows_not_broken: 0.999", "flows_not_broken: 1", 23, "objectives.flows_not_broken", "below 1"},
		{"share percent", "new_flows_served: 0.99", "new_flows_served: 99.9", 23, "objectives.new_flows_served", "below 1"},
		{"share not a number", "new_flows_served: 0.99", "new_flows_served: .nan", 23, "objectives.new_flows_served", "below 1"},
		{"no target", ordersText[strings.Index(ordersText, "targets:"):], "targets: []\n", 9, "targets", "at least one item"},
		{"targets missing", ordersText[strings.Index(ordersText, "targets:"):], "", 1, "targets", "missing"},
		{"zone state", ordersText, strings.Replace(zonesText, "state: out", "state: off", 1), 5, "zones[1].state", "not in or out"},
		{"zone twice", ordersText, strings.Replace(zonesText, "south", "north", 1), 5, "zones[1].name", "duplicate zone"},
		{"zone state missing", ordersText, strings.Replace(zonesText, ", state: in", "", 1), 4, "zones[0].state", "missing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(ordersText, tt.old, tt.new, 1)
			is.True(text != ordersText) // the replacement applied
			_, err := Parse("orders.yaml", []byte(text))
			is.True(err != nil) // the changed text is invalid
			var problem *Error
			is.True(errors.As(err, &problem))
			is.Equal(problem.File, "orders.yaml")
			is.Equal(problem.Line, tt.line)
			is.Equal(problem.Key, tt.key)
			is.True(strings.Contains(problem.Reason, tt.reason)) // reason
			var all Errors
			is.True(errors.As(err, &all))
			is.Equal(len(all), 1) // one fault, one error
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("tcp", "sctp", "weight: 2", "weight: 0", "ramp: 90s", "ramp: 0s").Replace(ordersText)
	_, err := Parse("f", []byte(text))
	var all Errors
	is.True(errors.As(err, &all))
	is.Equal(len(all), 3)
	is.Equal(all[0].Error(), `f:6: addresses[0].protocol: "sctp" is not tcp or udp`)
	is.True(all[0].Line < all[1].Line && all[1].Line < all[2].Line) // in the order of lines
}

func TestParseStored(t *testing.T) {
	is := is.New(t)
	_, err := ParseStored("services/orders", []byte(ordersText))
	is.NoErr(err)
	_, err = ParseStored("services/archive", []byte(ordersText))
	is.True(err != nil) // another service's key
	draft := strings.NewReplacer("generation: 7\n", "", "change: c-7\n", "").Replace(ordersText)
	_, err = ParseStored("services/orders", []byte(draft))
	is.True(err != nil) // no generation
	_, err = ParseZones("f", []byte(ordersText))
	is.True(err != nil) // other kind
	_, err = ParseService("f", []byte(zonesText))
	is.True(err != nil) // other kind
}

func TestCheckSet(t *testing.T) {
	zones, err := ParseZones("zones", []byte(zonesText))
	if err != nil {
		t.Fatal(err)
	}
	base := strings.NewReplacer("orders", "archive", "192.0.2.10", "192.0.2.20", "2001:db8::10", "2001:db8::20",
		"10.0.1.1:", "10.0.2.1:", "2001:db8:1::2", "2001:db8:2::2", "team: recoating", "team: maps").Replace(ordersText)
	tests := []struct{ name, old, new, reason string }{
		{"no conflict", "", "", ""},
		{"same address", "192.0.2.20", "192.0.2.10", "both have the address 192.0.2.10:443/tcp"},
		{"other port", "192.0.2.20, port: 443", "192.0.2.10, port: 444", ""},
		{"other protocol", "192.0.2.20, port: 443, protocol: tcp", "192.0.2.10, port: 443, protocol: udp", ""},
		{"tunnel at other's address", "10.0.2.1:6080", "192.0.2.10:6080", "which callers use"},
		{"address at other's tunnel", "192.0.2.20", "10.0.1.1", "which callers use"},
		{"tunnel of other team", "10.0.2.1:6080", "10.0.1.1:6080", "belongs to a target of team recoating"},
		{"unknown zone", "zone: south", "zone: west", "zone west"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			orders, err := ParseService("orders", []byte(ordersText))
			is.NoErr(err)
			archive, err := ParseService("archive", []byte(strings.Replace(base, tt.old, tt.new, 1)))
			is.NoErr(err)
			conflicts := CheckSet([]Service{orders, archive}, zones)
			if tt.reason == "" {
				is.Equal(len(conflicts), 0)
				return
			}
			is.Equal(len(conflicts), 1)
			is.True(strings.Contains(conflicts[0].Error(), tt.reason))
			is.True(strings.Contains(conflicts[0].Error(), "services/archive"))
		})
	}
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	is.Equal(Diff("a\n", "a\n"), "")
	is.Equal(Diff("", "a\n"), "+ a\n")
	is.Equal(Diff("1\n2\n3\n4\n5\n6\n7\n8\n", "1\n2\n3\n4\nx\n6\n7\n8\n9\n"),
		"  3\n  4\n- 5\n+ x\n  6\n  7\n  8\n+ 9\n")
	is.Equal(Diff("1\n2\n3\n4\n", "1\n2\n3\n"), "  2\n  3\n- 4\n")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(ordersText))
	f.Add([]byte(zonesText))
	f.Add([]byte("service: &a [*a]"))
	f.Add([]byte("? {a: b}\n: c\n---\n..."))
	f.Add([]byte("zones: [{name: \xff, state: !!binary in}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("fuzz", text)
		if err != nil {
			var problem *Error
			if !errors.As(err, &problem) || problem.Reason == "" {
				t.Fatalf("error without a reason: %v", err)
			}
			return
		}
		out, err := doc.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse("again", out)
		if err != nil {
			t.Fatalf("marshaled text does not parse: %v\n%s", err, out)
		}
		if diff := cmp.Diff(doc, reparsed, equalAddrs); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestParseTooLong(t *testing.T) {
	is := is.New(t)
	text := ordersText + "#" + strings.Repeat("x", MaxTextBytes)
	_, err := Parse("f", []byte(text))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "longer than 500000 bytes"))
}
