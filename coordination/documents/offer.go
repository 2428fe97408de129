package documents

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/zeebo/xxh3"
)

// Outcome is the result of offering a text.
type Outcome uint8

const (
	// Accepted documents are in force from now on.
	Accepted Outcome = iota
	// Known documents are already in force or held.
	Known
	// Older documents have a lower generation than the known one.
	Older
	// Diverged documents have the generation of the known one and another
	// change: two writes got the same generation, which the compare-and-swap of
	// an intact store prevents. The known one stays.
	Diverged
	// Rejected texts are not valid; the document in force stays.
	Rejected
	// Held documents conflict with others in force; the document in force stays
	// until the conflict is resolved.
	Held
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	names := [OutcomeCount]string{"accepted", "known", "older", "diverged", "rejected", "held"}
	if o < OutcomeCount {
		return names[o]
	}
	return "unknown"
}

// Event describes the outcome for one document, for the log.
type Event struct {
	Outcome    Outcome
	Key        document.Key
	Generation uint64
	Change     string
	Source     string
	// Reason is why the text was not accepted.
	Reason string
}

// Stats counts the offered texts by outcome. A held text counts as held once for
// each reason, and as accepted when it comes into force.
type Stats struct {
	Texts [OutcomeCount]uint64
}

// Offer receives texts from one source as a batch: documents that are valid only
// together are accepted together. It returns the events to be logged and whether
// the documents in force have changed. A text that was offered before causes no
// further event.
func (s *Set) Offer(texts []Text) (events []Event, changed bool) {
	for _, text := range texts {
		e, shouldLog := s.receive(text)
		if e.Outcome == Held {
			continue // applyHeld decides
		}
		s.stats.Texts[e.Outcome]++
		if shouldLog {
			events = append(events, e)
		}
	}
	heldEvents := s.applyHeld()
	for _, e := range heldEvents {
		changed = changed || e.Outcome == Accepted
	}
	return append(events, heldEvents...), changed
}

// receive parses a text and holds it if it is newer than the known one;
// applyHeld then decides about it. shouldLog is false if there is nothing to log.
func (s *Set) receive(text Text) (e Event, shouldLog bool) {
	e = Event{Key: text.Key, Source: text.Source}
	known := s.newest(text.Key)
	if known.generation() > 0 && bytes.Equal(known.text, text.YAML) {
		e.Outcome = Known
		return e, false
	}
	doc, err := document.ParseStored(text.Key, text.YAML)
	if err != nil {
		e.Outcome = Rejected
		e.Reason = err.Error()
		return e, s.isNewRejection(text)
	}
	e.Generation, e.Change = doc.Generation(), doc.Change()
	switch {
	case doc.Generation() < known.generation():
		e.Outcome = Older
		return e, false
	case doc.Generation() == known.generation() && doc.Change() == known.doc.Change():
		e.Outcome = Known
		return e, false
	case doc.Generation() == known.generation():
		e.Outcome = Diverged
		e.Reason = fmt.Sprintf("change %s has the generation of change %s", doc.Change(), known.doc.Change())
		return e, s.isNewRejection(text)
	}
	s.held[text.Key] = version{doc: doc, text: bytes.Clone(text.YAML), source: text.Source}
	delete(s.rejectedHashes, text.Key)
	e.Outcome = Held
	return e, true
}

// isNewRejection reports whether the text differs from the last one rejected.
func (s *Set) isNewRejection(text Text) bool {
	hash := xxh3.Hash(text.YAML)
	last, ok := s.rejectedHashes[text.Key]
	s.rejectedHashes[text.Key] = hash
	return !ok || last != hash
}

// applyHeld puts the held documents without conflicts into force. It starts with
// all of them and repeatedly excludes those that conflict.
func (s *Set) applyHeld() []Event {
	if len(s.held) == 0 {
		return nil
	}
	candidates := maps.Clone(s.held)
	excluded := map[document.Key]string{}
	for {
		conflicts := document.CheckServices(s.servicesWith(candidates))
		if len(conflicts) == 0 {
			return s.apply(candidates, excluded)
		}
		s.exclude(candidates, conflicts, excluded)
	}
}

// servicesWith returns the services in force, with the candidates replacing
// their versions in force.
func (s *Set) servicesWith(candidates map[document.Key]version) []document.Service {
	all := maps.Clone(s.inForce)
	maps.Copy(all, candidates)
	var services []document.Service
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if service := all[key].doc.Service; service != nil {
			services = append(services, *service)
		}
	}
	return services
}

// exclude removes the candidates that a conflict excludes and records the
// conflict. The documents in force have no conflicts, so each conflict involves a
// candidate.
func (s *Set) exclude(candidates map[document.Key]version, conflicts []document.Conflict, excluded map[document.Key]string) {
	for _, c := range conflicts {
		for _, key := range s.excludedBy(candidates, c) {
			excluded[key] = c.Error()
		}
	}
	for key := range excluded {
		delete(candidates, key)
	}
}

// excludedBy returns the candidates that a conflict excludes: the only candidate
// of the two; else the one that also conflicts with the other's version in
// force; else both.
func (s *Set) excludedBy(candidates map[document.Key]version, c document.Conflict) []document.Key {
	firstVersion, hasFirst := candidates[c.First]
	secondVersion, hasSecond := candidates[c.Second]
	if !hasFirst {
		return []document.Key{c.Second}
	}
	if !hasSecond {
		return []document.Key{c.First}
	}
	firstConflicts := s.conflictsWithInForce(firstVersion, c.Second)
	secondConflicts := s.conflictsWithInForce(secondVersion, c.First)
	switch {
	case firstConflicts && !secondConflicts:
		return []document.Key{c.First}
	case secondConflicts && !firstConflicts:
		return []document.Key{c.Second}
	}
	return []document.Key{c.First, c.Second}
}

// conflictsWithInForce reports whether the candidate conflicts with the other
// service's version in force.
func (s *Set) conflictsWithInForce(candidate version, other document.Key) bool {
	v, ok := s.inForce[other]
	if !ok {
		return false
	}
	pair := []document.Service{*candidate.doc.Service, *v.doc.Service}
	return len(document.CheckServices(pair)) > 0
}

// apply puts the candidates into force. It reports each excluded document once
// for each reason.
func (s *Set) apply(candidates map[document.Key]version, excluded map[document.Key]string) []Event {
	var events []Event
	for _, key := range slices.Sorted(maps.Keys(candidates)) {
		v := candidates[key]
		s.put(key, v)
		delete(s.held, key)
		delete(s.heldReasons, key)
		s.stats.Texts[Accepted]++
		events = append(events, v.event(key, Accepted, ""))
	}
	for _, key := range slices.Sorted(maps.Keys(excluded)) {
		reason := fmt.Sprintf("%d %s", s.held[key].generation(), excluded[key])
		if s.heldReasons[key] != reason {
			s.heldReasons[key] = reason
			s.stats.Texts[Held]++
			events = append(events, s.held[key].event(key, Held, excluded[key]))
		}
	}
	return events
}

func (v version) event(key document.Key, o Outcome, reason string) Event {
	return Event{
		Outcome: o, Key: key, Generation: v.doc.Generation(), Change: v.doc.Change(),
		Source: v.source, Reason: reason,
	}
}
