package soak

import (
	"sync"
	"time"
)

// Trouble describes how a relay impairs its traffic. The zero value means no
// impairment.
type Trouble struct {
	// Silent drops all data from the client to the server; SilentBack drops all
	// data in the other direction.
	Silent, SilentBack bool
	// Delay is added to each datagram or read.
	Delay time.Duration
	// Reset closes connections at once; a datagram relay ignores it.
	Reset bool
}

// impairmentState holds the impairment in force. It is safe for concurrent use.
type impairmentState struct {
	mu      sync.Mutex
	current Trouble
}

func (t *impairmentState) set(imp Trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = imp
}

func (t *impairmentState) get() Trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}
