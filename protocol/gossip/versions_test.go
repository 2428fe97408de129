package gossip

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// The messages in testdata/versions were encoded by the builds of the commits that name
// their directories.
const versionsDir = "testdata/versions"

func recordedMessage(t *testing.T, version, name string) Message {
	t.Helper()
	is := is.New(t)
	b, err := os.ReadFile(filepath.Join(versionsDir, version, name+".cbor"))
	is.NoErr(err)
	m, err := Decode(b)
	is.NoErr(err)
	return m
}

// Guards against hosts that reject or misread what hosts of an older version send.
func TestUpgradeReadsMessagesOfOlderVersions(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(versionsDir, "*", "*.cbor"))
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		version, name := filepath.Base(filepath.Dir(file)), strings.TrimSuffix(filepath.Base(file), ".cbor")
		t.Run(version+"/"+name, func(t *testing.T) {
			is := is.New(t)
			m := recordedMessage(t, version, name)
			is.Equal(m.From.Name, "edge-a-1")
			is.Equal(m.From.Addr.String(), "10.1.0.17:7720")
			switch m.Kind {
			case KindHeartbeat:
				is.True(m.Leaving || len(m.Loads) == 2)
			case KindHelloReply:
				is.Equal(m.KnownHosts[0].Name, "edge-a-2")
			case KindFeed, KindFetchReply:
				is.Equal(m.Feed.To, store.Index(42))
				is.Equal(len(m.Feed.Changes), 2)
				is.True(m.Feed.Changes[1].Deleted)
			case KindDigest:
				is.Equal(m.Digest.Hosts, 55)
				is.Equal(m.Digest.Loads[0].Unanswered, 1)
			case KindFetch:
				is.Equal(m.After, store.Index(40))
			case KindSummary:
				is.Equal(m.Summary.Sequence, uint64(3))
			case KindTable:
				is.Equal(m.AfterKey, store.Key("servers/i-1"))
			case KindTableReply:
				is.Equal(m.Table.Position(), store.Position{Epoch: 3, Index: 42})
			}
		})
	}
}

// Guards against a change of what a field means: what an older version left out reads as
// unknown, never as a value.
func TestUpgradeReadsMissingFieldsAsUnknown(t *testing.T) {
	is := is.New(t)
	oldest := recordedMessage(t, "3d9c8c0", "feed")
	is.Equal(oldest.From.Protocol, 0) // knows neither digests nor fetches
	is.Equal(oldest.From.LinkMbps, 0)
	is.Equal(oldest.Feed.Epoch, store.Epoch(0))
	is.Equal(oldest.Feed.Checksum, uint64(0))
	is.True(oldest.Feed.Operator == nil)
	is.True(recordedMessage(t, "1fbf883", "heartbeat").From.Protocol < TableProtocol)
	withoutAllotments := recordedMessage(t, "e33d031", "heartbeat")
	is.True(withoutAllotments.Holdings == nil)
	is.True(recordedMessage(t, "e33d031", "digest").Digest.Allotments == nil)
}

// Guards against hosts of this version that reject messages of a later one with a field
// that they do not know.
func TestUpgradeIgnoresUnknownFields(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile(filepath.Join(versionsDir, "2e1abc1", "digest.cbor"))
	is.NoErr(err)
	var fields map[int]any
	is.NoErr(cbor.Unmarshal(b, &fields))
	const unused = 900
	fields[unused] = "of a later version"
	const digest = 8
	fields[digest].(map[any]any)[uint64(unused)] = []int{1, 2}
	b, err = cbor.Marshal(fields)
	is.NoErr(err)
	m, err := Decode(b)
	is.NoErr(err)
	is.Equal(m.Digest.Hosts, 55)
}
