package tunnel

import (
	"encoding/binary"
	"net"

	"golang.org/x/sys/unix"
)

// overflowOOBLen is the buffer size in bytes for the control message with the
// overflow count.
const overflowOOBLen = 64

// enableOverflowCount makes the kernel attach to each datagram the number of
// earlier ones that were dropped because the socket's receive buffer was full
// (SO_RXQ_OVFL, socket(7)).
func enableOverflowCount(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RXQ_OVFL, 1)
	})
	if err != nil {
		return err
	}
	return optErr
}

// overflowCount returns the number of datagrams dropped since the socket was
// opened, modulo 2^32, from the control messages of a datagram. The kernel
// attaches no such message before the first drop.
func overflowCount(oob []byte) (uint32, bool) {
	const countLen = 4
	for len(oob) >= unix.SizeofCmsghdr {
		header, data, rest, err := unix.ParseOneSocketControlMessage(oob)
		if err != nil {
			return 0, false
		}
		if header.Level == unix.SOL_SOCKET && header.Type == unix.SO_RXQ_OVFL && len(data) >= countLen {
			return binary.NativeEndian.Uint32(data), true
		}
		oob = rest
	}
	return 0, false
}
