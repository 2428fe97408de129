package main

import (
	"errors"
	"net/netip"
	"sync/atomic"
)

// maxTries is the number of attempts at a request: one and two retries.
const maxTries = 3

var errNoService = errors.New("less than half of the requests were answered")

// tally is a counter.
type tally struct{ n atomic.Int64 }

func (t *tally) add()       { t.n.Add(1) }
func (t *tally) value() int { return int(t.n.Load()) }

// oneAttempt opens a flow for one request and closes it.
func oneAttempt(w *world, c *clients, route netip.AddrPort) outcome {
	f := c.newFlow(route)
	defer f.finish()
	if o := f.openFlow(); o != answered {
		w.rec.logf("flow %s to %s via %s: %v", f.key.client, route, f.via, o)
		return o
	}
	id := w.nextID.Add(1)
	o := f.request(id)
	w.rec.logf("request %d on flow %s to %s via %s: %v", id, f.key.client, route, f.via, o)
	if o != answered && f.open && o != rejected {
		return noAnswer
	}
	return o
}

// oneRequest sends a request that is not idempotent: it is tried again only if no flow
// opened or the back end said that it has not run.
func oneRequest(w *world, c *clients, route netip.AddrPort) outcome {
	o := noAnswer
	for range maxTries {
		f := c.newFlow(route)
		if o = f.openFlow(); o != answered {
			w.rec.logf("flow %s to %s via %s: %v", f.key.client, route, f.via, o)
			f.finish()
			continue
		}
		id := w.nextID.Add(1)
		o = f.request(id)
		w.rec.logf("request %d on flow %s to %s via %s: %v", id, f.key.client, route, f.via, o)
		f.finish()
		if o != rejected {
			return o
		}
	}
	return o
}
