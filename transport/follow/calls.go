package follow

import "github.com/jujubehaven/jujubehaven/coordination/store"

// Reason says why a call to the store was made.
type Reason string

// Reasons of calls.
const (
	// ReasonStart is the first call of a host.
	ReasonStart Reason = "start"
	// ReasonReader is a call of the host that reads the store for its zone.
	ReasonReader Reason = "reader"
	// ReasonRetry repeats a call that failed.
	ReasonRetry Reason = "retry"
	// ReasonHistoryLost lists all entries because the store no longer has the
	// changes that this host lacks.
	ReasonHistoryLost Reason = "history-lost"
	// ReasonBehind continues a read whose answer left out changes, or may have.
	ReasonBehind Reason = "behind"
	// ReasonTooLong lists all entries because the answer with the changes that this host
	// lacks is longer than it reads.
	ReasonTooLong Reason = "too-long"
	// ReasonNoFeed is a call because no feed of the zone's reader arrived in time.
	ReasonNoFeed Reason = "no-feed"
	// ReasonMissedFeed is a call because a feed follows one that did not arrive.
	ReasonMissedFeed Reason = "missed-feed"
	// ReasonPartialFeed is a call because a feed was too long to be sent.
	ReasonPartialFeed Reason = "partial-feed"
	// ReasonMismatch lists all entries because the view of this host differs from
	// that of the zone's reader at the same position.
	ReasonMismatch Reason = "mismatch"
	// ReasonRestored lists all entries because the grace after the store's restore
	// from an older copy is over.
	ReasonRestored Reason = "restored"
	// ReasonUnknownDestination is a call because of a packet of an open flow whose
	// route or target this host does not know.
	ReasonUnknownDestination Reason = "unknown-destination"
)

// Call identifies the calls that are counted together.
type Call struct {
	Op     store.Op
	Reason Reason
}

// countCall counts a call that is about to be made. The caller holds f.mu.
func (f *Follower) countCall(reason Reason) {
	op := store.OpList
	if f.continuesList() {
		op = store.OpChanges
	}
	f.recordCall(op, reason)
}

// recordCall counts and logs a call. The caller holds f.mu.
func (f *Follower) recordCall(op store.Op, reason Reason) {
	f.stats.Calls[Call{op, reason}]++
	f.cfg.Log.Debug().Str("event", "store_call").Str("operation", string(op)).Str("reason", string(reason)).Send()
}
