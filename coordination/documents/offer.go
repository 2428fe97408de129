package documents

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/zeebo/xxh3"
)

// Outcome says what became of a text.
type Outcome uint8

const (
	// Accepted documents are in force from now on.
	Accepted Outcome = iota
	// Known documents are in force or held already.
	Known
	// Older documents have a lower generation than the one known.
	Older
	// Diverged documents have the generation of the one known and another
	// text: two writes got the same generation, which the compare-and-swap of
	// an intact store rules out. The one known stays.
	Diverged
	// Rejected texts are not valid; what was in force stays.
	Rejected
	// Held documents conflict with others in force; what was in force stays
	// until the conflict is gone.
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

// Event tells about one document for the log.
type Event struct {
	Outcome    Outcome
	Key        document.Key
	Generation uint64
	Change     string
	Source     string
	// Reason is the problem of a text that was not accepted.
	Reason string
}

// Stats counts the texts offered, by outcome. A text that is held counts as
// held once for each reason, and as accepted when it is put in force.
type Stats struct {
	Texts [OutcomeCount]uint64
}

// Offer takes documents from one source, together: documents that are valid
// only together are accepted together. It returns the events to be logged and
// whether what is in force has changed. A text that was offered before leads
// to no further event.
func (s *Set) Offer(texts []Text) (events []Event, changed bool) {
	for _, text := range texts {
		e, fresh := s.receive(text)
		if e.Outcome == Held {
			continue // settle decides
		}
		s.stats.Texts[e.Outcome]++
		if fresh {
			events = append(events, e)
		}
	}
	settled := s.settle()
	for _, e := range settled {
		changed = changed || e.Outcome == Accepted
	}
	return append(events, settled...), changed
}

// receive parses a text and keeps it as held if it is newer than what is
// known; settle decides about it. fresh is false if there is nothing to log.
func (s *Set) receive(text Text) (e Event, fresh bool) {
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
		return e, s.firstRejected(text)
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
		return e, s.firstRejected(text)
	}
	s.held[text.Key] = version{doc: doc, text: bytes.Clone(text.YAML), source: text.Source}
	delete(s.rejected, text.Key)
	e.Outcome = Held
	return e, true
}

// firstRejected reports whether the text differs from the last one rejected.
func (s *Set) firstRejected(text Text) bool {
	hash := xxh3.Hash(text.YAML)
	last, ok := s.rejected[text.Key]
	s.rejected[text.Key] = hash
	return !ok || last != hash
}

// settle puts the held documents in force that conflict with nothing. It
// starts from all of them and leaves out, step by step, those that conflict.
func (s *Set) settle() []Event {
	if len(s.held) == 0 {
		return nil
	}
	candidates := maps.Clone(s.held)
	left := map[document.Key]string{}
	for {
		conflicts := document.CheckServices(s.union(candidates))
		if len(conflicts) == 0 {
			return s.enforce(candidates, left)
		}
		s.leaveOut(candidates, conflicts, left)
	}
}

// union returns the services in force with the candidates in their place.
func (s *Set) union(candidates map[document.Key]version) []document.Service {
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

// leaveOut removes the candidates that lose a conflict and notes why. What is
// in force has no conflicts, so that each conflict has a candidate.
func (s *Set) leaveOut(candidates map[document.Key]version, conflicts []document.Conflict, left map[document.Key]string) {
	for _, c := range conflicts {
		for _, key := range s.losers(candidates, c) {
			left[key] = c.Error()
		}
	}
	for key := range left {
		delete(candidates, key)
	}
}

// losers returns the candidates that a conflict keeps out of force: the only
// candidate of the two; else the one that also conflicts with the version of
// the other that is in force; else both.
func (s *Set) losers(candidates map[document.Key]version, c document.Conflict) []document.Key {
	first, isFirst := candidates[c.First]
	second, isSecond := candidates[c.Second]
	if !isFirst {
		return []document.Key{c.Second}
	}
	if !isSecond {
		return []document.Key{c.First}
	}
	firstAlone := s.conflictsWithInForce(first, c.Second)
	secondAlone := s.conflictsWithInForce(second, c.First)
	switch {
	case firstAlone && !secondAlone:
		return []document.Key{c.First}
	case secondAlone && !firstAlone:
		return []document.Key{c.Second}
	}
	return []document.Key{c.First, c.Second}
}

// conflictsWithInForce reports whether the candidate conflicts with the
// version of the other service that is in force.
func (s *Set) conflictsWithInForce(candidate version, other document.Key) bool {
	v, ok := s.inForce[other]
	if !ok {
		return false
	}
	pair := []document.Service{*candidate.doc.Service, *v.doc.Service}
	return len(document.CheckServices(pair)) > 0
}

// enforce puts the candidates in force and reports each document that was left
// out once for each reason.
func (s *Set) enforce(candidates map[document.Key]version, left map[document.Key]string) []Event {
	var events []Event
	for _, key := range slices.Sorted(maps.Keys(candidates)) {
		v := candidates[key]
		s.put(key, v)
		delete(s.held, key)
		delete(s.reasons, key)
		s.stats.Texts[Accepted]++
		events = append(events, v.event(key, Accepted, ""))
	}
	for _, key := range slices.Sorted(maps.Keys(left)) {
		reason := fmt.Sprintf("%d %s", s.held[key].generation(), left[key])
		if s.reasons[key] != reason {
			s.reasons[key] = reason
			s.stats.Texts[Held]++
			events = append(events, s.held[key].event(key, Held, left[key]))
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
