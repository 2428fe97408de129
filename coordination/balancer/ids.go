package balancer

import "github.com/zeebo/xxh3"

// HostID returns the ID of a host, the same on every host and never zero. Load
// reports identify a service by the HostID of the service's name.
func HostID(name string) uint32 {
	return uint32(xxh3.HashString("host/"+name)) | 1
}

// TargetID returns the ID of a service's target, the same on every host and
// never zero.
func TargetID(service, target string) uint64 {
	return xxh3.HashString("target/"+service+"/"+target) | 1
}

// zoneID returns the hash of an availability zone's name.
func zoneID(zone string) uint64 {
	return xxh3.HashString("zone/" + zone)
}
