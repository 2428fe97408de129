// Package gossip defines the datagrams by which hosts that steer by token tell
// each other that they live, what load they give to targets and what the
// store says. Their encoding is JSON.
package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

const (
	// MaxBytes bounds a datagram.
	MaxBytes = 32 << 10
	// compressAbove is the length from which a datagram is compressed: below
	// it is one packet of any network.
	compressAbove = 1200
	// maxMessage bounds a message after it was decompressed, in bytes.
	maxMessage = 4 << 20
)

// gzipMagic begins compressed datagrams; all others begin with '{'.
var gzipMagic = []byte{0x1f, 0x8b}

// Kind says what a datagram is.
type Kind string

// Kinds of datagrams.
const (
	// KindBeat tells a host of the same availability zone that the sender
	// lives and what load it gives to targets.
	KindBeat Kind = "beat"
	// KindHello asks a host for the hosts that it knows.
	KindHello Kind = "hello"
	// KindKnown answers a hello.
	KindKnown Kind = "known"
	// KindFeed passes on what the store told the sender.
	KindFeed Kind = "feed"
)

// Host is a host as it tells of itself.
type Host struct {
	Name string         `json:"name"`
	Zone string         `json:"zone"`
	Addr netip.AddrPort `json:"addr"`
	// Started tells the incarnations of a host apart: nanoseconds since the
	// Unix epoch by its own clock.
	Started int64 `json:"started"`
}

// Load is the work that a host gives to one target.
type Load struct {
	// Token names the target.
	Token uint32 `json:"t"`
	// Open counts flows, Busy those with a request in work.
	Open int `json:"o"`
	Busy int `json:"b"`
	// Fast is the share of the target's answers that came too fast for the work,
	// in percent.
	Fast int `json:"f,omitempty"`
	// Silent counts the hosts that find that the target does not answer: 1 or 0
	// from one host.
	Silent int `json:"s,omitempty"`
}

// Feed is what a store told: the changes after one index up to another. Where
// it leaves changes out, because they are too long for a datagram, Partial is
// set and the receiver has to ask the store.
type Feed struct {
	From    store.Index `json:"from"`
	To      store.Index `json:"to"`
	Changes []Change    `json:"changes,omitempty"`
	Partial bool        `json:"partial,omitempty"`
}

// Change is one change of the store.
type Change struct {
	Key      store.Key      `json:"k"`
	Value    []byte         `json:"v,omitempty"`
	Revision store.Revision `json:"r"`
	Deleted  bool           `json:"d,omitempty"`
}

// Message is one datagram.
type Message struct {
	Kind Kind `json:"kind"`
	From Host `json:"from"`
	// StoreAnswers is set while the store answers the sender.
	StoreAnswers bool `json:"store,omitempty"`
	// Leaving is set while the sender is in a planned stop.
	Leaving bool   `json:"leaving,omitempty"`
	Loads   []Load `json:"loads,omitempty"`
	Known   []Host `json:"known,omitempty"`
	Feed    *Feed  `json:"feed,omitempty"`
}

// Encode returns the datagram of a message; it fails if that would be longer
// than MaxBytes.
func Encode(m *Message) ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "gossip")
	}
	if len(b) > compressAbove {
		b = compress(b)
	}
	if len(b) > MaxBytes {
		return nil, errors.Newf("gossip: %d bytes, more than %d", len(b), MaxBytes)
	}
	return b, nil
}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(b) // a buffer takes all
	_ = w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	b, err = io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err == nil && len(b) > maxMessage {
		return nil, errors.Newf("more than %d bytes", maxMessage)
	}
	return b, err
}

// Decode reads a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	if bytes.HasPrefix(b, gzipMagic) {
		var err error
		if b, err = decompress(b); err != nil {
			return Message{}, errors.Wrap(err, "gossip")
		}
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return Message{}, errors.Wrap(err, "gossip")
	}
	if m.From.Name == "" || m.From.Zone == "" || !m.From.Addr.IsValid() {
		return Message{}, errors.New("gossip: the sender is not named")
	}
	return m, nil
}
