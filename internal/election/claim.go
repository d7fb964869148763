package election

import (
	"log/slog"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// claim is an attempt by this controller to become the owner of a key.
type claim struct {
	registry      *Registry
	key           string
	previousOwner string // owner when Claim was called; "" if there was none
	mayForce      bool   // the key may be taken from another controller
	// previousOwnerMayBeActive means that another owner may still be running and answering agents.
	// In this case, TakenByForce is set in the record.
	previousOwnerMayBeActive bool
	fencingToken             uint64 // drawn when the transaction was last built
}

// Claim tries to take a key that is free or that this controller held before a restart. With force,
// it also takes a key that another controller holds. An owner that claims a key which it holds gets
// a new fencing token for it. Claim does nothing if this controller has no valid store lease, or
// while another claim of the key is pending.
func (r *Registry) Claim(key string, force bool) {
	if r.pendingClaims[key] || !r.store.Lease.IsValid() {
		return
	}
	r.pendingClaims[key] = true
	previousOwner := r.owners[key].Owner
	c := &claim{
		registry:                 r,
		key:                      key,
		previousOwner:            previousOwner,
		mayForce:                 force,
		previousOwnerMayBeActive: previousOwner != r.selfName && (previousOwner != "" || r.PeersMayExtendLeases),
	}
	r.store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{Build: c.build, Done: c.finish})
}

// isPossible reports whether the claim may still be made. For this, the store lease must be valid, the
// key must have the same owner as when Claim was called, and taking the key from that owner must be
// allowed.
func (c *claim) isPossible() bool {
	r := c.registry
	if !r.store.Lease.IsValid() || r.owners[c.key].Owner != c.previousOwner {
		return false
	}
	isHeldByOther := c.previousOwner != "" && c.previousOwner != r.selfName
	return !isHeldByOther || c.mayForce
}

// build draws a fencing token and returns the conditions and mutations that take the key. It
// returns none if the claim may not be made any more.
func (c *claim) build(nonce string) ([]protocol.Condition, []protocol.Mutation) {
	if !c.isPossible() {
		return nil, nil
	}
	r := c.registry
	counter, _, err := r.readTokenCounter()
	if err != nil {
		return nil, nil
	}
	counter.Nonce = nonce
	counter.Issued++
	c.fencingToken = counter.Issued * FencingTokenStep
	// If an earlier claim recorded until when a previous owner may be active, the new record keeps
	// that time, because this owner's lease may end earlier.
	activeUntil := r.previousOwnerActiveUntil[c.key]
	if c.previousOwnerMayBeActive {
		activeUntil = max(activeUntil, r.PreviousOwnerDeadline())
	}
	record := &OwnerRecord{
		Nonce:                    nonce,
		Owner:                    r.selfName,
		FencingToken:             c.fencingToken,
		PreviousOwnerActiveUntil: activeUntil,
		TakenByForce:             c.previousOwnerMayBeActive,
	}
	conditions := []protocol.Condition{
		r.store.UnchangedCondition(c.key),
		r.store.UnchangedCondition(tokenCounterKey),
	}
	mutations := []protocol.Mutation{
		{Put: c.key, Value: protocol.Encode(record), Lease: r.store.Lease.ID},
		{Put: tokenCounterKey, Value: protocol.Encode(&counter)},
	}
	return conditions, mutations
}

// finish completes the claim. If it was applied, this controller holds the key from now on.
func (c *claim) finish(applied bool, revision uint64) {
	r := c.registry
	delete(r.pendingClaims, c.key)
	if !applied || !r.store.Lease.IsValid() {
		return
	}
	if entry, ok := r.store.Get(c.key); !ok || entry.Revision != revision {
		return // the key was written or deleted again in the meantime
	}
	r.held[c.key] = heldKey{revision: revision, fencingToken: c.fencingToken}
	if c.previousOwnerMayBeActive {
		// The claim may have been applied long after it was built, but not later than now.
		r.extendPreviousOwnerActivity(c.key, r.PreviousOwnerDeadline())
	}
	activeUntil := r.previousOwnerActiveUntil[c.key]
	r.owners[c.key] = OwnerRecord{
		Owner:                    r.selfName,
		FencingToken:             c.fencingToken,
		PreviousOwnerActiveUntil: activeUntil,
		TakenByForce:             c.previousOwnerMayBeActive,
	}
	slog.Info("election: key acquired", "key", c.key, "fencing_token", c.fencingToken, "previous_owner", c.previousOwner)
	r.OnAcquired(c.key, c.fencingToken, activeUntil)
}

// Release gives up a key that this controller holds.
func (r *Registry) Release(key string) {
	if !r.Holds(key) {
		return
	}
	condition := r.OwnershipCondition(key)
	r.markLost(key, "released")
	r.store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(string) ([]protocol.Condition, []protocol.Mutation) {
			return []protocol.Condition{condition}, []protocol.Mutation{{Delete: key}}
		},
		Done: func(applied bool, _ uint64) {
			if !applied {
				slog.Info("election: release not applied", "key", key)
			}
		},
	})
}
