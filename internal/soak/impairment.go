package soak

import (
	"sync"
	"time"
)

// Impairment describes how a relay impairs its traffic. The zero value means no
// impairment.
type Impairment struct {
	// DropForward drops all data from the client to the server; DropReverse drops
	// all data in the other direction.
	DropForward, DropReverse bool
	// Delay is added to each datagram or read.
	Delay time.Duration
	// Reset closes connections at once; a datagram relay ignores it.
	Reset bool
}

// impairmentState holds the impairment in force. It is safe for concurrent use.
type impairmentState struct {
	mu      sync.Mutex
	current Impairment
}

func (s *impairmentState) set(imp Impairment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = imp
}

func (s *impairmentState) get() Impairment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}
