package gossip

import (
	"net/netip"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// FetchTable requests the entries after a key from the named host, or from the next
// one that may have a table if the name is empty. It reports whether there is such a
// host; the reply goes to Local.HandleTable.
func (e *Exchange) FetchTable(after store.Key, from string) bool {
	e.mu.Lock()
	to, ok := e.tableHost(from)
	e.mu.Unlock()
	if ok {
		e.send(&gossip.Message{Kind: gossip.KindTable, From: e.cfg.Self, AfterKey: after}, to)
	}
	return ok
}

// tableHost returns the address of the named host, or of the next one if the name is
// empty. The caller holds e.mu.
func (e *Exchange) tableHost(name string) (netip.AddrPort, bool) {
	hosts := e.peers.TableFrom(e.cfg.Clock())
	if name == "" && len(hosts) > 0 {
		next := hosts[e.tableRequests%len(hosts)]
		e.tableRequests++
		return next.Addr, true
	}
	for _, h := range hosts {
		if h.Name == name {
			return h.Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// replyToTable sends the entries after a key, if this host has a view.
func (e *Exchange) replyToTable(after store.Key, to netip.AddrPort) {
	page := e.cfg.Local.TablePage(after)
	if page == nil {
		return
	}
	e.send(&gossip.Message{
		Kind: gossip.KindTableReply, From: e.cfg.Self, StoreAnswers: e.cfg.Local.StoreAnswers(), Leaving: e.cfg.Local.Leaving(), Table: page,
	}, to)
}
