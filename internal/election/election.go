// Package election determines which controller is the leader and which one owns each shard.
// Leadership and ownership are keys in the key-value store, attached to the owner's store lease.
// Each time a key is taken, a fencing token is drawn from a single stored counter. The counter only
// increases, so late messages of an earlier owner can be recognized by their lower token.
package election

import (
	"log/slog"
	"maps"
	"slices"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// impossibleRevision is a revision that no key ever has, so a condition on it always fails.
const impossibleRevision = 1<<63 - 1

// Registry holds the owners of all keys and the keys that this controller holds. Like its store,
// it is used on the controller's event loop only.
type Registry struct {
	selfName      string
	store         *kvstore.Store
	owners        map[string]OwnerRecord
	held          map[string]heldKey
	pendingClaims map[string]bool
	// previousOwnerActiveUntil holds, by key, the latest time up to which a previous owner may be
	// active (see OwnerRecord). The time is kept when the key is deleted.
	previousOwnerActiveUntil map[string]float64

	// OnAcquired and OnLost are called when this controller acquires or loses a key. For
	// previousOwnerActiveUntil, see OwnerRecord.
	OnAcquired func(key string, fencingToken uint64, previousOwnerActiveUntil float64)
	OnLost     func(key string)
	// PreviousOwnerDeadline returns the time of day, in seconds, up to which an owner whose key is
	// taken now may go on answering agents.
	PreviousOwnerDeadline func() float64
	// PeersMayExtendLeases means that during an outage of the key-value store, an owner goes on
	// answering agents as long as all peers confirm its ownership, even if its key has been
	// deleted in the meantime.
	PeersMayExtendLeases bool
}

// heldKey is a key that this controller holds.
type heldKey struct {
	revision     uint64 // revision of the transaction that took the key
	fencingToken uint64
}

// New creates an empty registry for the controller selfName.
func New(selfName string, store *kvstore.Store) *Registry {
	return &Registry{
		selfName:                 selfName,
		store:                    store,
		owners:                   map[string]OwnerRecord{},
		held:                     map[string]heldKey{},
		pendingClaims:            map[string]bool{},
		previousOwnerActiveUntil: map[string]float64{},
	}
}

// ApplyChange applies a change of a cached key. Keys other than ownership keys are ignored. A nil
// value means that the key was deleted.
func (r *Registry) ApplyChange(key string, value []byte) {
	if !IsOwnershipKey(key) {
		return
	}
	if value == nil {
		delete(r.owners, key)
	} else if err := r.recordOwner(key, value); err != nil {
		slog.Error("election: invalid owner record", "key", key, "error", err)
		return
	}
	r.checkHeldKey(key)
}

// recordOwner decodes the stored value of a key and records its owner.
func (r *Registry) recordOwner(key string, value []byte) error {
	var record OwnerRecord
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	r.owners[key] = record
	r.extendPreviousOwnerActivity(key, record.PreviousOwnerActiveUntil)
	if record.TakenByForce {
		r.extendPreviousOwnerActivity(key, r.PreviousOwnerDeadline())
	}
	return nil
}

// extendPreviousOwnerActivity records that previous owners of a key may go on answering agents up
// to a time of day, in seconds. A later time that is already recorded is kept.
func (r *Registry) extendPreviousOwnerActivity(key string, activeUntil float64) {
	r.previousOwnerActiveUntil[key] = max(r.previousOwnerActiveUntil[key], activeUntil)
}

// checkHeldKey marks a held key as lost if the cache shows that the key was deleted or written again.
// A write by a pending claim of this controller does not count.
func (r *Registry) checkHeldKey(key string) {
	holding, ok := r.held[key]
	if !ok {
		return
	}
	entry, isStored := r.store.Get(key)
	if isStored && entry.Revision <= holding.revision {
		return
	}
	owner := r.owners[key].Owner
	if isStored && owner == r.selfName && r.pendingClaims[key] {
		return // this controller's own claim was applied and is about to be answered
	}
	r.markLost(key, "taken by "+owner)
}

// markLost removes a key from the held ones and calls OnLost.
func (r *Registry) markLost(key, reason string) {
	slog.Info("election: key lost", "key", key, "reason", reason)
	delete(r.held, key)
	r.OnLost(key)
}

// OwnerOf returns the name of the controller that holds a key, or "" if none does.
func (r *Registry) OwnerOf(key string) string { return r.owners[key].Owner }

// Holds reports whether this controller holds the key, as far as its cache shows. To act as the
// owner, this controller also needs a valid store lease.
func (r *Registry) Holds(key string) bool {
	_, ok := r.held[key]
	return ok
}

// HeldKeys returns the keys that this controller holds, sorted.
func (r *Registry) HeldKeys() []string { return slices.Sorted(maps.Keys(r.held)) }

// FencingToken returns the token that was drawn when this controller took the key, or 0 if it
// does not hold the key.
func (r *Registry) FencingToken(key string) uint64 { return r.held[key].fencingToken }

// OwnershipCondition returns a condition that makes a write fail if this controller does not hold the
// key when the write is applied.
func (r *Registry) OwnershipCondition(key string) protocol.Condition {
	holding, ok := r.held[key]
	if !ok {
		return protocol.Condition{Key: key, Revision: impossibleRevision}
	}
	return protocol.Condition{Key: key, Revision: holding.revision}
}

// DropAllHeld marks every held key as lost because the store lease has expired.
func (r *Registry) DropAllHeld() {
	for _, key := range r.HeldKeys() {
		r.markLost(key, "lease expired")
	}
}

// ResetOwners removes all owners, before the reloaded cache reports them again.
func (r *Registry) ResetOwners() { r.owners = map[string]OwnerRecord{} }

// IsTokenIssued reports whether a fencing token may already have been issued to some owner, according
// to the cached counter. A token between two drawn tokens (see FencingTokenStep) counts as issued if
// the lower one of the two has been issued.
func (r *Registry) IsTokenIssued(token uint64) bool {
	counter, isStored, err := r.readTokenCounter()
	return isStored && err == nil && token/FencingTokenStep <= counter.Issued
}

// IsHeldByPreviousIncarnation reports whether the stored owner of the key is this controller, but the
// key was taken by a previous incarnation of this controller.
func (r *Registry) IsHeldByPreviousIncarnation(key string) bool {
	return r.owners[key].Owner == r.selfName && !r.Holds(key)
}
