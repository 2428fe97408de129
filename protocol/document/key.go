package document

import "strings"

// Key identifies a document: "zones", or "services/" followed by the name of the
// service.
type Key string

// ZonesKey is the key of the zones document.
const ZonesKey Key = "zones"

const servicePrefix = "services/"

// ServiceKey returns the key of a service's document.
func ServiceKey(service string) Key {
	return Key(servicePrefix + service)
}

// Service returns the name of the service whose document has the key, and
// false for any other key.
func (k Key) Service() (string, bool) {
	name, found := strings.CutPrefix(string(k), servicePrefix)
	return name, found && validName(name)
}

// Valid reports whether k is the key of a service's document or ZonesKey.
func (k Key) Valid() bool {
	if k == ZonesKey {
		return true
	}
	_, ok := k.Service()
	return ok
}

// InForce identifies one version of a document that is in force on a host.
type InForce struct {
	Key        Key    `json:"key"`
	Generation uint64 `json:"generation"`
	Change     string `json:"change"`
}

// InForceList is the JSON response of a host's admin address at InForcePath.
type InForceList struct {
	Host      string    `json:"host"`
	Documents []InForce `json:"documents"`
}

// InForcePath is the path of the list of documents in force.
const InForcePath = "/v1/documents"
