package gossip

import (
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

const (
	// maxElements bounds each list of a message, and with maxMessageBytes what is
	// allocated for a datagram: few compressed bytes can stand for a long list.
	maxElements = 16 << 10
	// maxFields bounds the fields of a message or a part of it, with room for those of
	// later builds, which are ignored. maxNesting bounds the depth of its parts.
	maxFields  = 64
	maxNesting = 8
	// maxLoad bounds the flows or requests of a host at one target, or of a zone's hosts
	// together.
	maxLoad    = 1 << 24
	maxPercent = 100
	// maxAge bounds the age of a feed. Longer ones could overflow a time.
	maxAge = 365 * 24 * time.Hour
	// maxHeld bounds the grace that a table hands on. It is several times what hosts
	// use.
	maxHeld = time.Minute
)

// decMode accepts only the forms of CBOR that the encoder writes.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxFields,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// check returns an error if the message is not one that a host sends.
func (m *Message) check() error {
	if m.From.Name == "" || m.From.Zone == "" || !m.From.Addr.IsValid() {
		return errors.New("gossip: name, zone or address of the sender is missing")
	}
	if len(m.Relay) > maxRelays {
		return errors.Newf("gossip: %d hosts to relay to exceed the limit of %d", len(m.Relay), maxRelays)
	}
	if n := max(len(m.Loads), len(m.KnownHosts), len(m.Answers), len(m.Restarts)); n > maxElements {
		return errors.Newf("gossip: list of %d elements exceeds the limit of %d", n, maxElements)
	}
	if err := checkLoads(m.Loads); err != nil {
		return errors.Wrap(err, "gossip")
	}
	if m.Digest != nil {
		if err := m.Digest.check(); err != nil {
			return errors.Wrap(err, "gossip: digest")
		}
	}
	carriesFeed := m.Kind == KindFeed || m.Kind == KindFetchReply
	if carriesFeed != (m.Feed != nil) {
		return errors.Newf("gossip: message of kind %q: feed missing or not expected", m.Kind)
	}
	if (m.Kind == KindTableReply) != (m.Table != nil) {
		return errors.Newf("gossip: message of kind %q: table missing or not expected", m.Kind)
	}
	if m.Table != nil {
		return errors.Wrap(m.Table.check(), "gossip: table")
	}
	if m.Feed == nil {
		return nil
	}
	return errors.Wrap(m.Feed.check(), "gossip: feed")
}

func (d *Digest) check() error {
	switch {
	case len(d.Loads) > maxElements:
		return errors.Newf("%d loads exceed the limit of %d", len(d.Loads), maxElements)
	case len(d.Restarts) > maxElements:
		return errors.Newf("%d restarts exceed the limit of %d", len(d.Restarts), maxElements)
	case d.Read != nil && (d.Read.AgeMS < 0 || d.Read.AgeMS > maxAge.Milliseconds()):
		return errors.Newf("age of %d ms is not between 0 and %s", d.Read.AgeMS, maxAge)
	case d.Hosts < 0 || d.Hosts > maxElements:
		return errors.Newf("%d hosts are not between 0 and %d", d.Hosts, maxElements)
	}
	return checkLoads(d.Loads)
}

// checkLoads returns an error for loads that no host sends: sums of them could overflow.
func checkLoads(loads []TargetLoad) error {
	for i := range loads {
		l := &loads[i]
		least, most := min(l.Open, l.Busy, l.Unanswered, l.FastPercent), max(l.Open, l.Busy, l.Unanswered)
		if least < 0 || most > maxLoad || l.FastPercent > maxPercent {
			return errors.Newf("load %d of target %d: open %d, busy %d, unanswered %d, fast %d%%", i, l.Token, l.Open, l.Busy, l.Unanswered, l.FastPercent)
		}
	}
	return nil
}

func (p *TablePage) check() error {
	switch {
	case p.AgeMS < 0 || p.AgeMS > maxAge.Milliseconds():
		return errors.Newf("age of %d ms is not between 0 and %s", p.AgeMS, maxAge)
	case p.HeldMS < 0 || p.HeldMS > maxHeld.Milliseconds():
		return errors.Newf("grace of %d ms is not between 0 and %s", p.HeldMS, maxHeld)
	case len(p.Entries) > maxElements:
		return errors.Newf("%d entries exceed the limit of %d", len(p.Entries), maxElements)
	case p.More && len(p.Entries) == 0:
		return errors.New("page without entries that is not the last")
	}
	last := p.After
	for i := range p.Entries {
		key := p.Entries[i].Key
		if !validKey(key) || key <= last {
			return errors.Newf("key %q of entry %d does not follow %q", key, i, last)
		}
		last = key
	}
	return nil
}

func (f *Feed) check() error {
	switch {
	case f.End().Before(f.Start()):
		return errors.Newf("position %v is after position %v", f.Start(), f.End())
	case (f.FromEpoch == 0) != (f.Epoch == 0):
		return errors.Newf("only one of the epochs %d and %d is named", f.FromEpoch, f.Epoch)
	case f.AgeMS < 0 || f.AgeMS > maxAge.Milliseconds():
		return errors.Newf("age of %d ms is not between 0 and %s", f.AgeMS, maxAge)
	case f.Partial && len(f.Changes) > 0:
		return errors.New("partial feed with changes")
	case len(f.Changes) > maxElements:
		return errors.Newf("%d changes exceed the limit of %d", len(f.Changes), maxElements)
	}
	for i := range f.Changes {
		if key := f.Changes[i].Key; !validKey(key) {
			return errors.Newf("change %d has the key %q", i, key)
		}
	}
	return f.Operator.check()
}

func (s *OperatorState) check() error {
	if s == nil {
		return nil
	}
	if len(s.Keys) > maxElements {
		return errors.Newf("%d keys exceed the limit of %d", len(s.Keys), maxElements)
	}
	for i, key := range s.Keys {
		if !validKey(key) {
			return errors.Newf("operator key %d is %q", i, key)
		}
	}
	return nil
}

// validKey reports whether a key can be sent: CBOR has text in UTF-8 only.
func validKey(key store.Key) bool { return key != "" && utf8.ValidString(string(key)) }
