package settings

import (
	"net/netip"
	"slices"
)

// checkTogether checks settings against each other.
func (l *loader) checkTogether(path string) {
	if l.settings.Steering == SteeringToken {
		l.checkToken(path)
		return
	}
	l.checkTLS(path)
	l.checkAddresses(path)
	if l.settings.Platform == "" && len(l.settings.Peers.Seeds) == 0 {
		l.problem(fileOr(path), "platform", "is missing and peers.seeds is empty, so no documents can be had")
	}
	burst, budget := l.settings.Limits.ControlBurst, l.settings.Limits.ControlBudget
	if burst < budget {
		l.problem(l.whereOf("limits.control_burst", path), "limits.control_burst",
			"%d is less than limits.control_budget, %d", burst, budget)
	}
}

// checkToken checks what steering by token needs.
func (l *loader) checkToken(path string) {
	s := l.settings
	if s.Platform == "" {
		l.problem(fileOr(path), "platform", "is missing; steering by token reads services and targets from it")
	}
	if len(s.Data) != 1 || !s.Data[0].Addr().Is4() {
		l.problem(l.whereOf("data", path), "data", "want one IPv4 address when steering is token")
	}
	if s.Metrics.IsValid() && s.Metrics == s.Admin {
		l.problem(l.whereOf("metrics", path), "metrics", "%s is the admin address too", s.Metrics)
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
			l.problem(l.whereOf(f.key, path), f.key, "is set although plaintext is true")
		}
		if !l.settings.TLS.Plaintext && f.path == "" {
			l.problem(fileOr(path), f.key, "is missing; control links need TLS unless plaintext is true")
		}
	}
}

func (l *loader) checkAddresses(path string) {
	s := l.settings
	if s.Control == s.Admin {
		l.problem(l.whereOf("admin", path), "admin", "%s is the control address too", s.Admin)
	}
	for _, addr := range s.Fabric.Return {
		if slices.Contains(s.Data, addr) {
			l.problem(l.whereOf("fabric.return", path), "fabric.return", "%s is a data address too", addr)
		}
	}
	l.checkData(path)
}

// checkData allows one address of each IP version, each of which the other
// hosts have to accept as a source.
func (l *loader) checkData(path string) {
	s := l.settings
	if len(s.Data) > 2 || (len(s.Data) == 2 && s.Data[0].Addr().Is4() == s.Data[1].Addr().Is4()) {
		l.problem(l.whereOf("data", path), "data", "two addresses of one IP version")
	}
	for _, addr := range s.Data {
		if !contains(s.Peers.Sources, addr.Addr()) {
			l.problem(l.whereOf("peers.sources", path), "peers.sources",
				"none holds this host's own data address %s", addr.Addr())
		}
	}
}

func contains(prefixes []netip.Prefix, addr netip.Addr) bool {
	for _, p := range prefixes {
		if p.Contains(addr) {
			return true
		}
	}
	return false
}
