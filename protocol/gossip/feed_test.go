package gossip

import (
	"bytes"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// maxDecodeAllocs bounds the bytes that Decode allocates for one datagram. The
// largest message takes about half of it.
const maxDecodeAllocs = 16 << 20

func position(epoch store.Epoch, index store.Index) store.Position {
	return store.Position{Epoch: epoch, Index: index}
}

// feedMessage returns a message with a feed that uses all fields.
func feedMessage(from, to store.Position) *Message {
	m := testMessage()
	m.Kind, m.Loads = KindFetchReply, nil
	m.Feed = NewFeed(from, to, []Change{
		{Key: "t/1", Value: []byte("entry"), Revision: 8, Copied: true},
		{Key: "o/out/a", Revision: 9, Deleted: true},
	})
	m.Feed.AgeMS, m.Feed.Checksum = 1500, 1<<63+7
	m.Feed.Operator = &OperatorState{ConfigVersion: 3, Keys: []store.Key{"o/config", "o/out/b"}}
	return m
}

// marshal returns the CBOR of a message without the checks of Encode.
func marshal(t testing.TB, m *Message) []byte {
	b, err := cbor.Marshal(m)
	is.New(t).NoErr(err)
	return b
}

func TestFeedRoundTrip(t *testing.T) {
	for name, m := range map[string]*Message{
		"one epoch":     feedMessage(position(2, 7), position(2, 9)),
		"crosses":       feedMessage(position(2, 900), position(3, 9)),
		"no epochs":     feedMessage(position(0, 7), position(0, 9)),
		"nothing new":   feedMessage(position(2, 9), position(2, 9)),
		"largest index": feedMessage(position(2, 1<<63), position(1<<64-1, 1<<64-1)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := Encode(m)
			is.NoErr(err)
			got, err := Decode(b)
			is.NoErr(err)
			is.Equal(cmp.Diff(*m, got, cmp.Comparer(sameAddr)), "")
		})
	}
}

func sameAddr(a, b netip.AddrPort) bool { return a == b }

// Guards against feeds that no host sends and that would mislead a receiver: a
// negative or overflowing age makes a view look fresher than it is, positions in the
// wrong order make known changes look new.
func TestWrongFeedsAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(m *Message){
		"epoch goes back":      func(m *Message) { m.Feed.Epoch = 1 },
		"index goes back":      func(m *Message) { m.Feed.To = 6 },
		"one epoch is missing": func(m *Message) { m.Feed.FromEpoch = 0 },
		"negative age":         func(m *Message) { m.Feed.AgeMS = -1 },
		"age overflows":        func(m *Message) { m.Feed.AgeMS = 1 << 60 },
		"change without a key": func(m *Message) { m.Feed.Changes[0].Key = "" },
		"key is no text":       func(m *Message) { m.Feed.Changes[0].Key = "\xff" },
		"empty operator key":   func(m *Message) { m.Feed.Operator.Keys[0] = "" },
		"partial with changes": func(m *Message) { m.Feed.Partial = true },
		"no feed":              func(m *Message) { m.Feed = nil },
		"feed in a heartbeat":  func(m *Message) { m.Kind = KindHeartbeat },
		"too many changes": func(m *Message) {
			m.Feed.Changes = make([]Change, maxElements+1)
			for i := range m.Feed.Changes {
				m.Feed.Changes[i] = Change{Key: "k", Revision: 1}
			}
		},
		"too many keys": func(m *Message) {
			m.Feed.Operator.Keys = slicesOf(maxElements+1, store.Key("k"))
		},
		"too long": func(m *Message) {
			m.Feed.Changes[0].Value = make([]byte, maxMessageBytes)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := feedMessage(position(2, 7), position(2, 9))
			spoil(m)
			_, err := Encode(m)
			is.True(err != nil)
			_, err = Decode(compress(marshal(t, m)))
			is.True(err != nil)
		})
	}
}

// tableMessage returns a message with a page of a table that uses all fields.
func tableMessage() *Message {
	m := testMessage()
	m.Kind, m.Loads = KindTableReply, nil
	m.Table = &TablePage{Epoch: 2, Index: 9, AgeMS: 1500, After: "o/config", More: true, HeldMS: 300, Entries: []TableEntry{
		{Key: "o/out/a", Revision: 4}, {Key: "t/1", Value: []byte("entry"), Revision: 8, Missing: true},
	}}
	return m
}

func TestTableRoundTrip(t *testing.T) {
	is := is.New(t)
	b, err := Encode(tableMessage())
	is.NoErr(err)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(cmp.Diff(*tableMessage(), got, cmp.Comparer(sameAddr)), "")
}

// Guards against tables that no host sends: one whose keys don't follow the requested
// one would make a transfer go round in circles.
func TestWrongTablesAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(m *Message){
		"no table":            func(m *Message) { m.Table = nil },
		"table in a feed":     func(m *Message) { m.Kind, m.Feed = KindFeed, &Feed{} },
		"negative age":        func(m *Message) { m.Table.AgeMS = -1 },
		"age overflows":       func(m *Message) { m.Table.AgeMS = 1 << 60 },
		"negative grace":      func(m *Message) { m.Table.HeldMS = -1 },
		"endless grace":       func(m *Message) { m.Table.HeldMS = 1 << 40 },
		"key before the page": func(m *Message) { m.Table.After = "o/z" },
		"same key twice":      func(m *Message) { m.Table.Entries[1].Key = "o/out/a" },
		"key is no text":      func(m *Message) { m.Table.Entries[1].Key = "t\xff" },
		"nothing but more":    func(m *Message) { m.Table.Entries = nil },
		"too many entries":    func(m *Message) { m.Table.Entries = make([]TableEntry, maxElements+1) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := tableMessage()
			spoil(m)
			_, err := Encode(m)
			is.True(err != nil)
			_, err = Decode(compress(marshal(t, m)))
			is.True(err != nil)
		})
	}
}

func slicesOf[T any](n int, value T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = value
	}
	return list
}

func TestDecodeRejectsWhatTheEncoderNeverWrites(t *testing.T) {
	valid := marshal(t, feedMessage(position(2, 7), position(2, 9)))
	incompressible := testMessage()
	incompressible.From.Name = strings.Repeat("x", MaxBytes)
	for name, b := range map[string][]byte{
		"trailing data":     append(bytes.Clone(valid), 0),
		"datagram too long": marshal(t, incompressible),
		"key twice":         append(append([]byte{valid[0] + 1}, valid[1:]...), 0x01, 0x61, 'x'),
		"indefinite length": append(append([]byte{0xbf}, valid[1:]...), 0xff),
		"tag":               append([]byte{0xd9, 0xd9, 0xf7}, valid...),
		"deep nesting":      append(append([]byte{valid[0] + 1, 0x18, 99}, bytes.Repeat([]byte{0x81}, 20)...), append([]byte{0}, valid[1:]...)...),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(b)
			is.New(t).True(err != nil)
		})
	}
}

// Fields of later builds don't make a message unreadable.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	valid := marshal(t, feedMessage(position(2, 7), position(2, 9)))
	_, err := Decode(append(append([]byte{valid[0] + 1}, valid[1:]...), 0x18, 99, 0x61, 'x'))
	is.New(t).NoErr(err)
}

// FuzzFeed decodes messages with feeds. What is accepted must be what a host may
// send, so that it can be sent on and says the same then.
func FuzzFeed(f *testing.F) {
	for _, m := range []*Message{
		feedMessage(position(2, 7), position(2, 9)), feedMessage(position(2, 900), position(3, 9)), feedMessage(position(0, 0), position(0, 9)),
		{Kind: KindFetch, From: testMessage().From, After: 7, AfterEpoch: 2},
		{Kind: KindTable, From: testMessage().From, AfterKey: "t/1"},
		tableMessage(),
		{Kind: KindFeed, From: testMessage().From, Feed: &Feed{From: 1, To: 2, Partial: true}, Relay: []netip.AddrPort{testMessage().From.Addr}},
	} {
		b := marshal(f, m)
		f.Add(b, false)
		f.Add(b, true)
		f.Add(b[:len(b)-1], true)
	}
	f.Fuzz(func(t *testing.T, b []byte, compressed bool) {
		if compressed {
			b = compress(b)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		m, err := Decode(b)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxDecodeAllocs {
			t.Errorf("decoding %d bytes allocated %d bytes", len(b), allocated)
		}
		if err == nil {
			checkAccepted(t, b, &m)
		}
	})
}

// checkAccepted fails the test if a decoded message is not one that a host sends.
func checkAccepted(t *testing.T, b []byte, m *Message) {
	if len(b) > MaxBytes {
		t.Errorf("accepted %d bytes", len(b))
	}
	if f := m.Feed; f != nil {
		if f.End().Before(f.Start()) || (f.FromEpoch == 0) != (f.Epoch == 0) || f.AgeMS < 0 {
			t.Errorf("accepted a feed from %v to %v of age %d ms", f.Start(), f.End(), f.AgeMS)
		}
		for _, c := range f.Changes {
			if c.Key == "" || !utf8.ValidString(string(c.Key)) {
				t.Errorf("accepted the change %v", c)
			}
		}
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		t.Fatalf("accepted what can't be encoded: %v", err)
	}
	sent, err := Encode(m)
	if err != nil {
		// How much fits into a datagram depends on the compression.
		if len(text) > compressThreshold && len(compress(text)) > MaxBytes {
			return
		}
		t.Fatalf("accepted what Encode refuses: %v", err)
	}
	again, err := Decode(sent)
	if err != nil {
		t.Fatalf("accepted what is refused when it is sent on: %v", err)
	}
	if diff := cmp.Diff(*m, again, cmp.Comparer(sameAddr), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("sent on, it differs: %s", diff)
	}
}
