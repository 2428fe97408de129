package peerlink

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// boundedCodec is a jsonrpc2.VarintObjectCodec that limits the length of received
// messages. A message is its length as an unsigned varint followed by that many
// bytes of JSON.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	maxBytes int
	// onFault counts a fault and logs it.
	onFault func(cause string, err error)
}

func (l *Links) codec() boundedCodec {
	return boundedCodec{
		maxBytes: l.cfg.MaxMessage,
		onFault:  func(cause string, err error) { l.countFault(cause, "", err) },
	}
}

// ReadObject reads one message into v. Any error ends the connection.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err // the connection has ended
	}
	if n > uint64(c.maxBytes) {
		err := errors.Newf("message of %d bytes exceeds the limit of %d", n, c.maxBytes)
		c.onFault(faultTooLong, err)
		return err
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(stream, body); err != nil {
		c.onFault(faultCutInMessage, err)
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		c.onFault(faultMalformed, err)
		return err
	}
	return nil
}
