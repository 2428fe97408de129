package settings

import "reflect"

// NeedRestart returns the names of the changed settings that take effect only
// after a restart. All others can be reloaded.
func NeedRestart(old, changed Settings) []string {
	fixed := []struct {
		key          string
		old, changed any
	}{
		{"steering", old.Steering, changed.Steering},
		{"host", old.Host, changed.Host},
		{"zone", old.Zone, changed.Zone},
		{"data", old.Data, changed.Data},
		{"control", old.Control, changed.Control},
		{"admin", old.Admin, changed.Admin},
		{"metrics", old.Metrics, changed.Metrics},
		{"fabric.return", old.Fabric.Return, changed.Fabric.Return},
		{"fabric.sources", old.Fabric.Sources, changed.Fabric.Sources},
		{"peers.sources", old.Peers.Sources, changed.Peers.Sources},
		{"peers.seeds", old.Peers.Seeds, changed.Peers.Seeds},
		{"platform", old.Platform, changed.Platform},
		{"tls.cert", old.TLS.Cert, changed.TLS.Cert},
		{"tls.key", old.TLS.Key, changed.TLS.Key},
		{"tls.ca", old.TLS.CA, changed.TLS.CA},
		{"plaintext", old.TLS.Plaintext, changed.TLS.Plaintext},
		{"workers", old.Workers, changed.Workers},
		{"mtu", old.MTU, changed.MTU},
		{"link_mbps", old.LinkMbps, changed.LinkMbps},
		{"balancing.allotments", old.Balancing.Allotments, changed.Balancing.Allotments},
		{"balancing.cross_zone", old.Balancing.CrossZone, changed.Balancing.CrossZone},
		{"balancing.admission", old.Balancing.Admission, changed.Balancing.Admission},
		{"balancing.expected_work", old.Balancing.ExpectedWork, changed.Balancing.ExpectedWork},
		{"limits.max_message", old.Limits.MaxMessage, changed.Limits.MaxMessage},
		{"limits.queue_batches", old.Limits.QueueBatches, changed.Limits.QueueBatches},
		{"limits.read_buffer", old.Limits.ReadBuffer, changed.Limits.ReadBuffer},
		{"limits.icmp_errors", old.Limits.ICMPErrors, changed.Limits.ICMPErrors},
	}
	var keys []string
	for _, f := range fixed {
		if !reflect.DeepEqual(f.old, f.changed) {
			keys = append(keys, f.key)
		}
	}
	return keys
}
