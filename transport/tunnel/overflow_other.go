//go:build !linux

package tunnel

import "net"

// overflowOOBLen is 0 because no control message is received here.
const overflowOOBLen = 0

// enableOverflowCount does nothing: only Linux reports the datagrams that did
// not fit the receive buffer.
func enableOverflowCount(*net.UDPConn) error { return nil }

func overflowCount([]byte) (uint32, bool) { return 0, false }
