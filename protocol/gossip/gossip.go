// Package gossip defines the datagrams that hosts in token steering exchange:
// heartbeats, the load that they place on targets and changes of the store.
// They are encoded in CBOR (RFC 8949) with integer keys.
package gossip

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

const (
	// MaxBytes is the maximum size of a datagram.
	MaxBytes = 32 << 10
	// compressThreshold is the length in bytes above which a datagram is
	// compressed. Shorter ones fit one packet of any usual network.
	compressThreshold = 1200
	// maxMessageBytes is the maximum size of a message before compression. A feed of
	// 256 KB, which is what hosts keep of changes, fits several times.
	maxMessageBytes = 1 << 20
)

// gzipMagic is the prefix of compressed datagrams. No CBOR message starts with
// it.
var gzipMagic = []byte{0x1f, 0x8b}

// Kind is the type of a datagram.
type Kind string

// Kinds of datagrams.
const (
	// KindHeartbeat is the heartbeat to hosts of the same availability zone. It
	// carries the load that the sender places on targets.
	KindHeartbeat Kind = "beat"
	// KindHello requests the list of hosts that the receiver knows.
	KindHello Kind = "hello"
	// KindHelloReply is the reply to a hello.
	KindHelloReply Kind = "known"
	// KindFeed forwards changes that the sender received from the store.
	KindFeed Kind = "feed"
	// KindDigest is the heartbeat of the reader of a large availability zone. It
	// carries the loads of all hosts of the zone.
	KindDigest Kind = "digest"
	// KindFetch requests the changes of the store after an index. KindFetchReply
	// is the reply, which carries a feed.
	KindFetch      Kind = "fetch"
	KindFetchReply Kind = "fetched"
	// KindSummary tells the reader of another zone what the sender's zone can take and
	// what its callers ask for. A host that is not its zone's reader forwards it.
	KindSummary Kind = "summary"
	// KindTable requests a page of the entries that the receiver knows of the store.
	// KindTableReply is the reply.
	KindTable      Kind = "table"
	KindTableReply Kind = "tabled"
)

// Protocol is the version of the messages that this build exchanges. Builds of
// version 0 know neither digests, relayed messages nor fetches: they expect the
// heartbeats and feeds of all hosts of their zone directly. Builds before version
// TableProtocol don't serve tables.
const (
	Protocol      = 2
	TableProtocol = 2
)

// maxRelays bounds the hosts that a received message may ask to be relayed to.
const maxRelays = 64

// Host is a host as it advertises itself.
type Host struct {
	Name string         `cbor:"1,keyasint"`
	Zone string         `cbor:"2,keyasint"`
	Addr netip.AddrPort `cbor:"3,keyasint"`
	// Started is the start time of the process, which distinguishes incarnations
	// of a host: nanoseconds since the Unix epoch by the host's clock.
	Started int64 `cbor:"4,keyasint"`
	// Protocol is the version of the messages that the host exchanges.
	Protocol int `cbor:"5,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, 0 if
	// unknown.
	LinkMbps int `cbor:"6,keyasint,omitempty"`
}

// TargetLoad is the load that a host places on one target.
type TargetLoad struct {
	// An array is shorter than a map; a heartbeat carries many loads.
	_ struct{} `cbor:",toarray"`

	// Token identifies the target.
	Token uint32
	// Open is the number of flows and Busy the number of those with a request in
	// progress or about to be sent.
	Open int
	Busy int
	// FastPercent is the share of the target's responses that came far faster
	// than usual, in percent.
	FastPercent int
	// Unanswered is the number of flows that the target left unanswered since its
	// last answer. A host reports at most a few. Builds of version 0 report 1 for
	// a silent target.
	Unanswered int
}

// Restart is a target that may have started again.
type Restart struct {
	_ struct{} `cbor:",toarray"`

	// Token identifies the target.
	Token uint32
	// Certain is set if chance does not explain what the host has seen.
	Certain bool
}

// Feed holds the changes of the store after index From of epoch FromEpoch up to
// index To of epoch Epoch. If the epochs differ, the store has returned from an
// older copy, and the changes are the differences between what the sender knew and
// what it takes over from the copy. Partial is set if changes are left out because
// they exceed the size of a datagram; the receiver then has to query the store.
type Feed struct {
	From    store.Index `cbor:"1,keyasint"`
	To      store.Index `cbor:"2,keyasint"`
	Changes []Change    `cbor:"3,keyasint,omitempty"`
	Partial bool        `cbor:"4,keyasint,omitempty"`
	// AgeMS is the time in milliseconds since the sender last knew all changes, in
	// the reply to a fetch. A feed is sent as soon as the store has answered.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	// Checksum is the checksum of the sender's targets at index To, 0 if it sends
	// none. A receiver with another one has missed a change.
	Checksum uint64 `cbor:"6,keyasint,omitempty"`
	// FromEpoch and Epoch are the epochs of From and To. Builds that know no epochs
	// send 0.
	FromEpoch store.Epoch `cbor:"7,keyasint,omitempty"`
	Epoch     store.Epoch `cbor:"8,keyasint,omitempty"`
	// Operator is the operator's state at index To, nil if the sender does not send
	// it.
	Operator *OperatorState `cbor:"9,keyasint,omitempty"`
	// LagMS is the time in milliseconds since the sender last knew all changes if
	// there may be some that it has not read yet, else 0. Builds that don't know it
	// send 0.
	LagMS int64 `cbor:"10,keyasint,omitempty"`
}

// OperatorState sums up what the operator has written.
type OperatorState struct {
	// ConfigVersion is the version of the configuration.
	ConfigVersion uint64 `cbor:"1,keyasint"`
	// Keys holds the keys of the operator's entries.
	Keys []store.Key `cbor:"2,keyasint"`
}

// Start returns the position after which the changes were made.
func (f *Feed) Start() store.Position {
	return store.Position{Epoch: f.FromEpoch, Index: f.From}
}

// End returns the position up to which the changes were made.
func (f *Feed) End() store.Position { return store.Position{Epoch: f.Epoch, Index: f.To} }

// NewFeed returns a feed of the changes between two positions.
func NewFeed(from, to store.Position, changes []Change) *Feed {
	return &Feed{From: from.Index, FromEpoch: from.Epoch, To: to.Index, Epoch: to.Epoch, Changes: changes}
}

// Change is the change of one key in the store.
type Change struct {
	Key      store.Key      `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint,omitempty"`
	Revision store.Revision `cbor:"3,keyasint"`
	Deleted  bool           `cbor:"4,keyasint,omitempty"`
	// Copied is set if the change comes from a list that may be an older copy of the
	// store, which does not override what the receiver knows.
	Copied bool `cbor:"5,keyasint,omitempty"`
}

// TablePage is one page of the entries of the store as the sender knows them: the
// entries after the key After, in order. Their position is Index of Epoch.
type TablePage struct {
	Epoch store.Epoch `cbor:"1,keyasint,omitempty"`
	Index store.Index `cbor:"2,keyasint"`
	// AgeMS is the time in milliseconds since the sender last knew all changes.
	AgeMS   int64        `cbor:"3,keyasint,omitempty"`
	After   store.Key    `cbor:"4,keyasint,omitempty"`
	Entries []TableEntry `cbor:"5,keyasint,omitempty"`
	// More is set if entries follow.
	More bool `cbor:"6,keyasint,omitempty"`
	// HeldMS is for how many milliseconds more the sender does not let the store,
	// which was restored from an older copy, override what it knows.
	HeldMS int64 `cbor:"7,keyasint,omitempty"`
}

// Position returns the position of the page.
func (p *TablePage) Position() store.Position {
	return store.Position{Epoch: p.Epoch, Index: p.Index}
}

// TableEntry is an entry of a table.
type TableEntry struct {
	Key      store.Key      `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint,omitempty"`
	Revision store.Revision `cbor:"3,keyasint"`
	// Missing is set if the entry is that of a target which the sender knows as
	// missing.
	Missing bool `cbor:"4,keyasint,omitempty"`
}

// Digest is what the reader of a large zone tells its hosts.
type Digest struct {
	// Hosts is the number of live hosts of the zone, the sender included.
	Hosts int `cbor:"1,keyasint"`
	// Standby is the address of the host that takes over from the sender; it is
	// not valid if there is none.
	Standby netip.AddrPort `cbor:"2,keyasint,omitempty"`
	// Loads holds the loads on the targets, summed over the hosts; FastPercent is
	// the maximum.
	Loads []TargetLoad `cbor:"3,keyasint,omitempty"`
	// Allotments holds the slots of the hosts that get this copy of the digest, nil
	// if the sender allots none.
	Allotments *Allotments `cbor:"4,keyasint,omitempty"`
	// Zones holds the latest summaries of all zones, the sender's included. Only some
	// digests carry them.
	Zones []ZoneSummary `cbor:"5,keyasint,omitempty"`
	// Read is how far the sender itself has read the store, nil if it has not read it
	// yet. Builds that don't know it send none.
	Read *ReadState `cbor:"6,keyasint,omitempty"`
	// Restarts holds the targets that hosts of the zone have reported in Restarts of their
	// heartbeats.
	Restarts []Restart `cbor:"7,keyasint,omitempty"`
}

// ReadState is how far a host has read the store, by calls of its own.
type ReadState struct {
	Epoch store.Epoch `cbor:"1,keyasint,omitempty"`
	Index store.Index `cbor:"2,keyasint"`
	// AgeMS is the time in milliseconds since the store's last answer.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
}

// Position returns the position up to which the host has read.
func (r *ReadState) Position() store.Position {
	return store.Position{Epoch: r.Epoch, Index: r.Index}
}

// Age returns the time since the store's last answer.
func (r *ReadState) Age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// Message is one datagram.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	From Host `cbor:"2,keyasint"`
	// StoreAnswers is set while the sender can reach the store.
	StoreAnswers bool `cbor:"3,keyasint,omitempty"`
	// Leaving is set during a planned shutdown of the sender.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Loads is part of a heartbeat, KnownHosts of a hello reply, Feed of a feed,
	// Digest of a digest, After and AfterEpoch of a fetch.
	Loads      []TargetLoad `cbor:"5,keyasint,omitempty"`
	KnownHosts []Host       `cbor:"6,keyasint,omitempty"`
	Feed       *Feed        `cbor:"7,keyasint,omitempty"`
	Digest     *Digest      `cbor:"8,keyasint,omitempty"`
	After      store.Index  `cbor:"9,keyasint,omitempty"`
	// Answers holds the tokens of the targets that have just answered the sender
	// of a heartbeat.
	Answers []uint32 `cbor:"11,keyasint,omitempty"`
	// Relay holds the hosts that the receiver sends the message on to, without
	// this list.
	Relay []netip.AddrPort `cbor:"10,keyasint,omitempty"`
	// AfterEpoch is the epoch of After.
	AfterEpoch store.Epoch `cbor:"12,keyasint,omitempty"`
	// Holdings is part of a heartbeat in a large zone, nil if the sender uses no
	// allotments.
	Holdings *Holdings `cbor:"15,keyasint,omitempty"`
	// Summary is part of a summary. Its incarnation is the sender's.
	Summary *Summary `cbor:"13,keyasint,omitempty"`
	// Restarts holds the targets that may have started again unseen by the store,
	// as the sender of a heartbeat has just seen.
	Restarts []Restart `cbor:"17,keyasint,omitempty"`
	// AfterKey is part of a request for a table: the key after which the page begins.
	// Table is part of the reply.
	AfterKey store.Key  `cbor:"16,keyasint,omitempty"`
	Table    *TablePage `cbor:"14,keyasint,omitempty"`
}

// Encode returns the datagram of a message. It fails if the datagram exceeds
// MaxBytes or if Decode would not accept it.
func Encode(m *Message) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "gossip")
	}
	if len(b) > maxMessageBytes {
		return nil, errors.Newf("gossip: message of %d bytes exceeds the limit of %d bytes", len(b), maxMessageBytes)
	}
	if len(b) > compressThreshold {
		b = compress(b)
	}
	if len(b) > MaxBytes {
		return nil, errors.Newf("gossip: datagram of %d bytes exceeds the limit of %d bytes", len(b), MaxBytes)
	}
	return b, nil
}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(b) // a write to a buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	b, err = io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err == nil && len(b) > maxMessageBytes {
		return nil, errors.Newf("decompressed message exceeds %d bytes", maxMessageBytes)
	}
	return b, err
}

// Decode decodes a datagram. It fails if Encode would not write the message: if the
// sender is not named, a feed contradicts itself or a bound is exceeded.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) > MaxBytes {
		return Message{}, errors.Newf("gossip: datagram of %d bytes exceeds the limit of %d bytes", len(b), MaxBytes)
	}
	if bytes.HasPrefix(b, gzipMagic) {
		var err error
		if b, err = decompress(b); err != nil {
			return Message{}, errors.Wrap(err, "gossip")
		}
	}
	if err := decMode.Unmarshal(b, &m); err != nil {
		return Message{}, errors.Wrap(err, "gossip")
	}
	if err := m.check(); err != nil {
		return Message{}, err
	}
	return m, nil
}
