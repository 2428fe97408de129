package replay

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// check returns an error for the first invalid value of a trace.
func (t *Trace) check() error {
	if t.Length <= Warmup {
		return errors.Newf("length: %s is not longer than the warm-up of %s", t.Length, Warmup)
	}
	if len(t.Zones) == 0 || len(t.Services) == 0 {
		return errors.New("zones, services: at least one of each is needed")
	}
	for _, z := range t.Zones {
		if z.Name == "" || z.Hosts < 1 {
			return errors.Newf("zones: %q needs a name and at least one host", z.Name)
		}
	}
	for i := range t.Services {
		if err := t.Services[i].check(); err != nil {
			return errors.Wrapf(err, "services[%d]", i)
		}
	}
	for i := range t.Events {
		if err := t.checkEvent(&t.Events[i]); err != nil {
			return errors.Wrapf(err, "events[%d] at %s", i, t.Events[i].At)
		}
	}
	for i := range t.Outcomes {
		if err := t.checkOutcome(&t.Outcomes[i]); err != nil {
			return errors.Wrapf(err, "outcomes[%d]", i)
		}
	}
	return nil
}

func (s *ServiceSpec) check() error {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	if s.Name == "" || s.Targets < 1 {
		return errors.New("name, targets: a service needs a name and at least one target")
	}
	if s.Connections < 1 || s.OpeningsInFlight < 1 || s.OpeningsPerSecond < 1 {
		return errors.New("connections, openings_in_flight, openings_per_second: must be at least 1")
	}
	f := &s.Flows
	if f.PerSecond > 0 && (f.MeanLength <= 0 || f.PacketEvery <= 0) {
		return errors.New("flows: mean_length and packet_every must be above 0")
	}
	if f.Standing > 0 && (f.StandingWithin <= 0 || f.StandingPacketEvery <= 0) {
		return errors.New("flows: standing_within and standing_packet_every must be above 0")
	}
	return nil
}

func (t *Trace) checkEvent(e *Event) error {
	if e.At < 0 || e.At > t.Length {
		return errors.New("at: not within the trace")
	}
	switch e.Kind {
	case ZoneOut, ZoneReturn:
		return t.requireZone(e.Zone)
	case HostDies, HostLeaves, HostPauses:
		return requireHost(e.Host)
	case HostJoins:
		if err := requireHost(e.Host); err != nil {
			return err
		}
		return t.requireZone(e.Zone)
	case ZonesCut:
		if err := t.requireZone(e.OtherZone); err != nil {
			return err
		}
		return t.requireZone(e.Zone)
	case PlatformOut:
		return nil
	case Rate:
		return t.requireService(e.Service)
	case TargetsJoin:
		if err := t.requireZone(e.Zone); err != nil {
			return err
		}
		return t.requireService(e.Service)
	case TargetsDrain, TargetsActivate, TargetsLeave, TargetsWeigh, TargetsCold, TargetsShed:
		if len(e.Targets) == 0 {
			return errors.New("targets: at least one is needed")
		}
		return t.requireService(e.Service)
	}
	return errors.Newf("kind: unknown kind %q", e.Kind)
}

func requireHost(name string) error {
	if name == "" {
		return errors.New("host: a name is needed")
	}
	return nil
}

func (t *Trace) requireZone(name string) error {
	if slices.ContainsFunc(t.Zones, func(z ZoneSpec) bool { return z.Name == name }) {
		return nil
	}
	return errors.Newf("zone: no zone %q", name)
}

func (t *Trace) requireService(name string) error {
	if slices.ContainsFunc(t.Services, func(s ServiceSpec) bool { return s.Name == name }) {
		return nil
	}
	return errors.Newf("service: no service %q", name)
}

func (t *Trace) checkOutcome(o *Outcome) error {
	kinds := []OutcomeKind{
		BrokenFlows, OverLimit, OutZonePackets, LeavingOpenings, RanTwice, Misdelivered,
		PeakToMean, Served, Goodput, RefusalDelay, RefusalSwings,
	}
	if !slices.Contains(kinds, o.Kind) {
		return errors.Newf("kind: unknown kind %q", o.Kind)
	}
	if o.Max == nil && o.Min == nil {
		return errors.New("max, min: one of them is needed")
	}
	if o.To > t.Length || o.From > o.To {
		return errors.New("from, to: not within the trace")
	}
	if o.Service == "" {
		return nil
	}
	return t.requireService(o.Service)
}
