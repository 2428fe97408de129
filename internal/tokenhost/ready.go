package tokenhost

import "github.com/cockroachdb/errors"

// hostState is what the readiness of a host follows from.
type hostState struct {
	// leaving is set during a planned stop.
	leaving bool
	// knowsTargets is set once services and targets are known, hasView once the packet
	// path forwards by them.
	knowsTargets, hasView bool
	// cutOff is set while no zone with targets that take new flows is reachable.
	cutOff bool
	// confirmed is unset while the host has only the table of another host, as the store
	// does not answer it.
	confirmed bool
	// ownZoneTakesFlows is set while targets of the host's zone take new flows.
	ownZoneTakesFlows bool
}

// ready returns nil if the host can forward packets, or the reason why not.
func (s hostState) ready() error {
	switch {
	case s.leaving:
		return errors.New("leaving")
	case !s.knowsTargets:
		return errors.New("services and targets are not known yet")
	case !s.hasView:
		return errors.New("packets are not forwarded yet")
	case s.cutOff:
		return errors.New("no zone with targets that take new flows is reachable")
	case !s.confirmed && !s.ownZoneTakesFlows:
		// The whole zone may be cut off: the fabric has to use hosts of other zones.
		return errors.New("the store does not answer, and no target of this zone takes new flows")
	}
	return nil
}
