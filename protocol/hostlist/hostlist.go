// Package hostlist defines the platform's list of live and leaving hosts. The
// list may be stale and incomplete, so it does not prove that a host is alive.
package hostlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// State is the state of a host as reported by the platform.
type State string

const (
	// Live hosts are running according to the platform.
	Live State = "live"
	// Leaving hosts are shutting down; their targets receive no new flows.
	Leaving State = "leaving"
)

// Host is one host of the platform: an entry host, which runs jujubehaven, or
// the host of a target.
type Host struct {
	Name    string     `json:"name"`
	Zone    string     `json:"zone"`
	Address netip.Addr `json:"address"`
	State   State      `json:"state"`
	// Relay and Control are the UDP and TCP addresses of an entry host's
	// jujubehaven process as "ip:port"; both are empty for the host of a target.
	Relay   string `json:"relay,omitempty"`
	Control string `json:"control,omitempty"`
}

// List is the list of hosts; the platform's store holds it as JSON.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Parse decodes and validates the JSON text of a list. Unknown keys are ignored,
// since the platform may add some. An error names the index of the host and the
// key.
func Parse(text []byte) (List, error) {
	var l List
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&l); err != nil {
		return List{}, fmt.Errorf("list of hosts: not valid JSON: %w", err)
	}
	for i, h := range l.Hosts {
		if err := h.check(); err != nil {
			return List{}, fmt.Errorf("list of hosts: hosts[%d]: %w", i, err)
		}
	}
	return l, nil
}

func (h Host) check() error {
	if h.Name == "" {
		return fmt.Errorf("name: missing")
	}
	if !h.Address.IsValid() {
		return fmt.Errorf("address: missing")
	}
	if h.State != Live && h.State != Leaving {
		return fmt.Errorf("state: %q is not live or leaving", h.State)
	}
	if (h.Relay == "") != (h.Control == "") {
		return fmt.Errorf("relay and control must both be set or both be empty")
	}
	for _, text := range []string{h.Relay, h.Control} {
		if _, err := netip.ParseAddrPort(text); text != "" && err != nil {
			return fmt.Errorf("%q is not an IP address and port", text)
		}
	}
	return nil
}

// Marshal returns the JSON text of the list.
func (l List) Marshal() ([]byte, error) { return json.Marshal(l) }
