package changes

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// UnknownZoneError means that the zones document does not name the zone.
type UnknownZoneError struct {
	Zone  string
	Known []string
}

// Error returns the zone and those that the document has.
func (e *UnknownZoneError) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("zone %q: the store has no zones document; write one by doc apply first", e.Zone)
	}
	return fmt.Sprintf("zone %q is not in the zones document; it has %q", e.Zone, e.Known)
}

// SetZone takes a zone out or returns it. If another change is written at the
// same time, SetZone retries on top of it. It returns a *ConflictError only if
// this change may have been in force and another one has undone it.
// inForceGeneration is as in Request.
func (w *Writer) SetZone(ctx context.Context, zone string, state document.ZoneState, inForceGeneration uint64) (Plan, error) {
	for {
		plan, err := w.planZone(ctx, zone, state, inForceGeneration)
		if err != nil {
			return plan, err
		}
		err = w.Write(ctx, plan)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return plan, err
		}
		if conflict.MayHaveRun && zoneState(conflict.Current, zone) != state {
			return plan, err
		}
	}
}

func (w *Writer) planZone(ctx context.Context, zone string, state document.ZoneState, inForceGeneration uint64) (Plan, error) {
	all, err := Load(ctx, w.store)
	if err != nil {
		return Plan{}, err
	}
	if err := all.invalid(document.ZonesKey); err != nil {
		return Plan{}, err
	}
	zones := all.Zones()
	zones.Zones = slices.Clone(zones.Zones)
	if err := setZoneState(&zones, zone, state); err != nil {
		return Plan{}, err
	}
	text, err := zones.Marshal()
	if err != nil {
		return Plan{}, err
	}
	return w.plan(all, Request{Document: document.Document{Zones: &zones}, Text: text, InForceGeneration: inForceGeneration})
}

func setZoneState(zones *document.Zones, zone string, state document.ZoneState) error {
	var known []string
	for i := range zones.Zones {
		if zones.Zones[i].Name == zone {
			zones.Zones[i].State = state
			return nil
		}
		known = append(known, zones.Zones[i].Name)
	}
	return &UnknownZoneError{Zone: zone, Known: known}
}

// zoneState returns the zone's state in a zones document, empty if it has none.
func zoneState(s Stored, zone string) document.ZoneState {
	if s.Document.Zones == nil {
		return ""
	}
	for _, z := range s.Document.Zones.Zones {
		if z.Name == zone {
			return z.State
		}
	}
	return ""
}
