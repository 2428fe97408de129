package document

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// parser parses one document and collects its errors.
type parser struct {
	file string
	errs Errors
}

func (p *parser) errorf(line int, key, format string, args ...any) {
	p.errs = append(p.errs, &Error{
		File:   p.file,
		Line:   line,
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// err returns the problems sorted by line, or nil.
func (p *parser) err() error {
	if len(p.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(p.errs, func(a, b *Error) int { return a.Line - b.Line })
	return p.errs
}

// mapping is a YAML mapping with validated keys.
type mapping struct {
	line   int
	path   string
	values map[string]*yaml.Node
}

func (m mapping) keyPath(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

// lineOf returns the line of the key's value, or of the mapping if the key is
// absent.
func (m mapping) lineOf(key string) int {
	if n := m.values[key]; n != nil {
		return n.Line
	}
	return m.line
}

// mapping checks that the node is a mapping of the allowed keys, each at most
// once. Null values are kept, so that the check of the value's type rejects a
// forgotten value.
func (p *parser) mapping(n *yaml.Node, path string, allowed ...string) mapping {
	m := mapping{line: n.Line, path: path, values: map[string]*yaml.Node{}}
	if n.Kind != yaml.MappingNode {
		p.errorf(n.Line, path, "must be a mapping of keys to values")
		return m
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		p.addKey(&m, key, value, allowed)
	}
	return m
}

func (p *parser) addKey(m *mapping, key, value *yaml.Node, allowed []string) {
	path := m.keyPath(key.Value)
	switch {
	case key.Kind != yaml.ScalarNode || key.Tag != "!!str":
		p.errorf(key.Line, m.path, "a key must be plain text")
	case !slices.Contains(allowed, key.Value):
		p.errorf(key.Line, path, "unknown key; allowed keys: %s", strings.Join(allowed, ", "))
	case m.values[key.Value] != nil:
		p.errorf(key.Line, path, "duplicate key; first at line %d", m.values[key.Value].Line)
	default:
		m.values[key.Value] = value
	}
}

// list returns the items of a required list of 1 to maxItems items.
func (p *parser) list(m mapping, key string, maxItems int) []*yaml.Node {
	n := m.values[key]
	path := m.keyPath(key)
	if n == nil {
		p.errorf(m.line, path, "missing")
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		p.errorf(n.Line, path, "must be a list")
		return nil
	}
	if len(n.Content) == 0 {
		p.errorf(n.Line, path, "must have at least one item")
	}
	if len(n.Content) > maxItems {
		p.errorf(n.Line, path, "has %d items; at most %d are allowed", len(n.Content), maxItems)
		return nil
	}
	return n.Content
}

// scalar returns the node of a scalar value, or nil if the key is absent or the
// value has another type. tags are the accepted YAML types and want describes
// them in the error.
func (p *parser) scalar(m mapping, key, want string, tags ...string) *yaml.Node {
	n := m.values[key]
	if n == nil {
		return nil
	}
	if n.Kind != yaml.ScalarNode || !slices.Contains(tags, n.Tag) {
		p.errorf(n.Line, m.keyPath(key), "must be %s", want)
		return nil
	}
	return n
}

// required adds an error if the key is absent.
func (p *parser) required(m mapping, key string) {
	if m.values[key] == nil {
		p.errorf(m.line, m.keyPath(key), "missing")
	}
}

func (p *parser) text(m mapping, key string) string {
	n := p.scalar(m, key, "text", "!!str")
	if n == nil {
		return ""
	}
	return n.Value
}

// name parses a required DNS label.
func (p *parser) name(m mapping, key string) string {
	p.required(m, key)
	n := p.scalar(m, key, "a name", "!!str")
	if n == nil {
		return ""
	}
	if !validName(n.Value) {
		p.errorf(n.Line, m.keyPath(key),
			"%q is not a name: use 1 to %d of a-z, 0-9 and '-', beginning and ending with a letter or digit",
			n.Value, MaxNameBytes)
	}
	return n.Value
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > MaxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return s[0] != '-' && s[len(s)-1] != '-'
}

// integer parses a decimal integer from low to high. It returns fallback if the
// key is absent or the value is invalid.
func (p *parser) integer(m mapping, key string, low, high, fallback int) int {
	n := p.scalar(m, key, "a whole number", "!!int")
	if n == nil {
		return fallback
	}
	v, err := strconv.Atoi(n.Value)
	if err != nil || v < low || v > high {
		p.errorf(n.Line, m.keyPath(key), "%s is not a whole number from %d to %d", n.Value, low, high)
		return fallback
	}
	return v
}

// generation parses a number from 1 to MaxGeneration; it returns 0 if the key is
// absent.
func (p *parser) generation(m mapping, key string) uint64 {
	n := p.scalar(m, key, "a whole number", "!!int")
	if n == nil {
		return 0
	}
	v, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil || v == 0 || v > MaxGeneration {
		p.errorf(n.Line, m.keyPath(key), "%s is not a whole number from 1 to %d", n.Value, MaxGeneration)
	}
	return v
}

func (p *parser) boolean(m mapping, key string) bool {
	n := p.scalar(m, key, "true or false", "!!bool")
	if n == nil {
		return false
	}
	switch n.Value {
	case "true":
		return true
	case "false":
	default:
		p.errorf(n.Line, m.keyPath(key), "must be true or false")
	}
	return false
}

// share parses a fraction within the bounds of an objective.
func (p *parser) share(m mapping, key string, fallback float64) float64 {
	n := p.scalar(m, key, "a number", "!!float", "!!int")
	if n == nil {
		return fallback
	}
	v, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || !(v >= MinObjective && v < 1) {
		p.errorf(n.Line, m.keyPath(key), "%s is not a number from %v to below 1", n.Value, MinObjective)
		return fallback
	}
	return v
}

// duration parses a Go duration such as "90s" from low to high.
func (p *parser) duration(m mapping, key string, low, high, fallback time.Duration) time.Duration {
	n := p.scalar(m, key, "a duration such as 90s", "!!str")
	if n == nil {
		return fallback
	}
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		p.errorf(n.Line, m.keyPath(key), "%q is not a duration such as 90s", n.Value)
		return fallback
	}
	if v < low || v > high {
		p.errorf(n.Line, m.keyPath(key), "%s is not between %s and %s", n.Value, low, high)
		return fallback
	}
	return v
}

// checkIP returns the reason why packets cannot be sent to the address, or an
// empty string.
func checkIP(a netip.Addr) string {
	switch {
	case a.Zone() != "":
		return "an IPv6 scope is not allowed"
	case a.Is4In6():
		return "write an IPv4 address in its usual form"
	case a.IsUnspecified():
		return "the unspecified address is not allowed"
	case a.IsMulticast():
		return "a multicast address is not allowed"
	case a == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return "the broadcast address is not allowed"
	}
	return ""
}

// addrPort parses a required "ip:port".
func (p *parser) addrPort(m mapping, key string) netip.AddrPort {
	p.required(m, key)
	n := p.scalar(m, key, `text of the form "ip:port"`, "!!str")
	if n == nil {
		return netip.AddrPort{}
	}
	v, err := netip.ParseAddrPort(n.Value)
	if err != nil {
		p.errorf(n.Line, m.keyPath(key), "%q is not an IP address and port", n.Value)
		return netip.AddrPort{}
	}
	if reason := checkIP(v.Addr()); reason != "" {
		p.errorf(n.Line, m.keyPath(key), "%s: %s", n.Value, reason)
		return netip.AddrPort{}
	}
	if v.Port() == 0 {
		p.errorf(n.Line, m.keyPath(key), "%s: port 0 is not allowed", n.Value)
		return netip.AddrPort{}
	}
	return v
}

// reportURL parses an optional HTTP URL. Its host must be an IP address, so that
// probing a target does not depend on DNS.
func (p *parser) reportURL(m mapping, key string) string {
	n := p.scalar(m, key, "a URL", "!!str")
	if n == nil {
		return ""
	}
	if reason := checkURL(n.Value); reason != "" {
		p.errorf(n.Line, m.keyPath(key), "%s", reason)
	}
	return n.Value
}

// checkURL returns the reason why a report URL is invalid, or an empty string.
func checkURL(text string) string {
	if len(text) > MaxURLBytes {
		return fmt.Sprintf("is longer than %d bytes", MaxURLBytes)
	}
	u, err := url.Parse(text)
	if err != nil {
		return fmt.Sprintf("%q is not a URL", text)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Sprintf("%q must begin with http:// or https://", text)
	}
	if u.User != nil {
		return "a URL must not contain a user or password"
	}
	addr, err := netip.ParseAddr(u.Hostname())
	if err != nil {
		return fmt.Sprintf("%q must have an IP address as its host", text)
	}
	if reason := checkIP(addr); reason != "" {
		return fmt.Sprintf("%q: %s", text, reason)
	}
	if port := u.Port(); port != "" {
		if v, err := strconv.ParseUint(port, 10, 16); err != nil || v == 0 {
			return fmt.Sprintf("%q has no valid port", text)
		}
	}
	return ""
}
