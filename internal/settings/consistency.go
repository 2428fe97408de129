package settings

import (
	"net/netip"
	"slices"
)

// checkConsistency validates settings that depend on each other.
func (l *loader) checkConsistency(path string) {
	if l.settings.Steering == SteeringToken {
		l.checkToken(path)
		return
	}
	l.checkTLS(path)
	l.checkAddresses(path)
	if l.settings.Platform == "" && len(l.settings.Peers.Seeds) == 0 {
		l.addProblem(fileLocation(path), "platform", "is missing and peers.seeds is empty; there is no source of documents")
	}
	burst, budget := l.settings.Limits.ControlBurst, l.settings.Limits.ControlBudget
	if burst < budget {
		l.addProblem(l.location("limits.control_burst", path), "limits.control_burst",
			"%d is less than limits.control_budget, %d", burst, budget)
	}
}

// checkToken validates the settings that steering by token requires.
func (l *loader) checkToken(path string) {
	s := l.settings
	if s.Platform == "" {
		l.addProblem(fileLocation(path), "platform", "is missing; steering by token reads services and targets from it")
	}
	if len(s.Data) != 1 || !s.Data[0].Addr().Is4() {
		l.addProblem(l.location("data", path), "data", "want one IPv4 address when steering is token")
	}
	if s.Metrics.IsValid() && s.Metrics == s.Admin {
		l.addProblem(l.location("metrics", path), "metrics", "%s is also the admin address", s.Metrics)
	}
}

func (l *loader) checkTLS(path string) {
	files := []struct{ key, path string }{
		{"tls.cert", l.settings.TLS.Cert},
		{"tls.key", l.settings.TLS.Key},
		{"tls.ca", l.settings.TLS.CA},
	}
	for _, f := range files {
		if l.settings.TLS.Plaintext && f.path != "" {
			l.addProblem(l.location(f.key, path), f.key, "is set although plaintext is true")
		}
		if !l.settings.TLS.Plaintext && f.path == "" {
			l.addProblem(fileLocation(path), f.key, "is missing; control links need TLS unless plaintext is true")
		}
	}
}

func (l *loader) checkAddresses(path string) {
	s := l.settings
	if s.Control == s.Admin {
		l.addProblem(l.location("admin", path), "admin", "%s is also the control address", s.Admin)
	}
	for _, addr := range s.Fabric.Return {
		if slices.Contains(s.Data, addr) {
			l.addProblem(l.location("fabric.return", path), "fabric.return", "%s is also a data address", addr)
		}
	}
	l.checkData(path)
}

// checkData requires at most one data address of each IP version. The peer source
// prefixes must contain each of them, as other hosts accept relayed packets only
// from these prefixes.
func (l *loader) checkData(path string) {
	s := l.settings
	if len(s.Data) > 2 || (len(s.Data) == 2 && s.Data[0].Addr().Is4() == s.Data[1].Addr().Is4()) {
		l.addProblem(l.location("data", path), "data", "two addresses of one IP version")
	}
	for _, addr := range s.Data {
		if !containsAddr(s.Peers.Sources, addr.Addr()) {
			l.addProblem(l.location("peers.sources", path), "peers.sources",
				"no prefix contains this host's own data address %s", addr.Addr())
		}
	}
}

func containsAddr(prefixes []netip.Prefix, addr netip.Addr) bool {
	for _, p := range prefixes {
		if p.Contains(addr) {
			return true
		}
	}
	return false
}
