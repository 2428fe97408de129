package changes

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Compare-and-swap protects a single key, and each document has its own: two
// concurrent changes that each pass the checks could give one address to two
// services. So a change that adds an address or a tunnel first adds a claim to a
// list under one key. A claim ends when its service's document reaches the
// claim's generation, by this change or by another.

// claim lists the addresses and tunnels that a change under way will use.
type claim struct {
	Service    string         `json:"service"`
	Team       string         `json:"team"`
	Generation uint64         `json:"generation"`
	Change     string         `json:"change"`
	Addresses  []claimAddress `json:"addresses"`
	Tunnels    []claimTunnel  `json:"tunnels"`
}

type claimAddress struct {
	AddrPort netip.AddrPort `json:"address"`
	UDP      bool           `json:"udp,omitempty"`
}

type claimTunnel struct {
	Target string         `json:"target"`
	Tunnel netip.AddrPort `json:"tunnel"`
}

// claimList is the value under store.ClaimsKey, as JSON.
type claimList struct {
	Claims   []claim `json:"claims"`
	revision store.Revision
}

func newClaim(s document.Service) claim {
	c := claim{Service: s.Name, Team: s.Team, Generation: s.Generation, Change: s.Change}
	for _, a := range s.Addresses {
		c.Addresses = append(c.Addresses, claimAddress{a.AddrPort, a.Protocol == packet.ProtoUDP})
	}
	for _, t := range s.Targets {
		c.Tunnels = append(c.Tunnels, claimTunnel{t.Name, t.Tunnel})
	}
	return c
}

// service returns the claimed part of the service's document.
func (c claim) service() document.Service {
	s := document.Service{Name: c.Service, Team: c.Team}
	for _, a := range c.Addresses {
		protocol := packet.ProtoTCP
		if a.UDP {
			protocol = packet.ProtoUDP
		}
		s.Addresses = append(s.Addresses, document.Address{AddrPort: a.AddrPort, Protocol: protocol})
	}
	for _, t := range c.Tunnels {
		s.Targets = append(s.Targets, document.Target{Name: t.Target, Tunnel: t.Tunnel})
	}
	return s
}

func readClaims(ctx context.Context, s store.Store) (claimList, error) {
	entry, err := s.Get(ctx, store.ClaimsKey)
	if store.IsKind(err, store.NotFound) {
		return claimList{}, nil
	}
	if err != nil {
		return claimList{}, err
	}
	list := claimList{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &list); err != nil {
		return claimList{}, errors.Wrapf(err, "store: %s", store.ClaimsKey)
	}
	return list, nil
}

func writeClaims(ctx context.Context, s store.Store, list claimList, guard store.Guard) error {
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return s.PutGuarded(ctx, store.ClaimsKey, text, list.revision, guard)
}

// pending returns the claims whose document may still be written. The documents
// must have been read after the claims.
func (l claimList) pending(all Snapshot) []claim {
	return slices.DeleteFunc(slices.Clone(l.Claims), func(c claim) bool {
		stored := all.Documents[document.ServiceKey(c.Service)]
		return stored.generation() >= c.Generation
	})
}

// contains reports whether the list has a claim of the change.
func (l claimList) contains(change string) bool {
	return slices.ContainsFunc(l.Claims, func(c claim) bool { return c.Change == change })
}

// needsClaim reports whether the new document uses an address or a tunnel that the
// stored one does not, or belongs to another team.
func needsClaim(stored Stored, s document.Service) bool {
	if stored.Revision == 0 || stored.Document.Service.Team != s.Team {
		return true
	}
	old := stored.Document.Service
	for _, a := range s.Addresses {
		if !slices.Contains(old.Addresses, a) {
			return true
		}
	}
	for _, t := range s.Targets {
		same := func(o document.Target) bool { return o.Tunnel == t.Tunnel }
		if !slices.ContainsFunc(old.Targets, same) {
			return true
		}
	}
	return false
}

// errClaimLost means that the claim of a change is not in the store, which was
// restored from an older copy.
var errClaimLost = errors.New("the claim of the change is not in the store")

// acquireClaim reads the claims and documents, checks the service against both
// and writes its claim. If it returns nil, no other service can get the
// service's addresses and tunnels until the claim ends or the store loses it.
func (w *Writer) acquireClaim(ctx context.Context, s document.Service) error {
	own := newClaim(s)
	return w.retry(ctx, func() (done bool, err error) {
		err = w.guarded(ctx, func(guard store.Guard) (wrote bool, err error) {
			list, all, err := w.readForClaim(ctx, guard)
			if err != nil {
				return false, err
			}
			pending := list.pending(all)
			if err := checkClaims(pending, s); err != nil {
				return false, err
			}
			conflicts := conflictsWith(document.ServiceKey(s.Name), document.CheckServices(servicesWith(all, s)))
			if len(conflicts) > 0 {
				return false, &CheckError{Conflicts: conflicts}
			}
			if list.contains(own.Change) {
				return false, nil
			}
			err = writeClaims(ctx, w.store, claimList{Claims: append(pending, own), revision: list.revision}, guard)
			return err == nil, err
		})
		return err == nil, err
	})
}

// readForClaim reads the claims and then the documents. It fails if one of them was
// written after the guard, which then says nothing about it.
func (w *Writer) readForClaim(ctx context.Context, guard store.Guard) (claimList, Snapshot, error) {
	list, err := readClaims(ctx, w.store)
	if err != nil {
		return claimList{}, Snapshot{}, err
	}
	all, err := Load(ctx, w.store)
	if err != nil {
		return claimList{}, Snapshot{}, err
	}
	newest := list.revision
	for _, stored := range all.Documents {
		newest = max(newest, stored.Revision)
	}
	if newest > guard.Revision {
		return claimList{}, Snapshot{}, retryLater(store.ClaimsKey, errWrittenMeanwhile)
	}
	return list, all, nil
}

// checkOwnClaim fails if the claim of a change is not in the store.
func (w *Writer) checkOwnClaim(ctx context.Context, change string) error {
	list, err := readClaims(ctx, w.store)
	if err == nil && !list.contains(change) {
		return errClaimLost
	}
	return err
}

func servicesWith(all Snapshot, s document.Service) []document.Service {
	services, _ := all.withDocument(document.Document{Service: &s})
	return services
}

// checkClaims checks a service against the claims of other services.
func checkClaims(claims []claim, s document.Service) error {
	key := document.ServiceKey(s.Name)
	for _, c := range claims {
		if c.Service == s.Name {
			continue
		}
		pair := []document.Service{c.service(), s}
		if conflicts := conflictsWith(key, document.CheckServices(pair)); len(conflicts) > 0 {
			return &CheckError{Conflicts: conflicts, Pending: true}
		}
	}
	return nil
}

// removeClaim removes the claim of a finished change. If it fails, the claim
// ends with the next change of the service.
func (w *Writer) removeClaim(ctx context.Context, change string) error {
	return w.retry(ctx, func() (done bool, err error) {
		err = w.guarded(ctx, func(guard store.Guard) (wrote bool, err error) {
			list, err := readClaims(ctx, w.store)
			switch {
			case err != nil || !list.contains(change):
				return false, err
			case list.revision > guard.Revision:
				return false, retryLater(store.ClaimsKey, errWrittenMeanwhile)
			}
			list.Claims = slices.DeleteFunc(list.Claims, func(c claim) bool { return c.Change == change })
			err = writeClaims(ctx, w.store, list, guard)
			return err == nil, err
		})
		return err == nil, err
	})
}
