// Package lead keeps who leads and who owns which part: keys in the state
// service that hang on their holder's grant. Each time a key is taken, a
// token is drawn from one stored counter that only grows.
package election

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// FencingTokenStep leaves room below the next token, for a machine to be given a higher one
// when orders got lost or what they started is reaped (see worker.OrdersLost, Orders).
const FencingTokenStep = 1 << 20

// LeaderKey is the key of leadership; part k has PartKey(k).
const LeaderKey = "a/o/lead"

const tokenCounterKey = "a/c/token"

// ShardKey is the key of a part's ownership.
func ShardKey(shardID int) string { return "a/o/" + strconv.Itoa(shardID) }

// OwnerRecord is the value of such a key.
type OwnerRecord struct {
	Nonce        string `cbor:"w"`
	Host         string `cbor:"h"`
	FencingToken uint64 `cbor:"t"`
	// PreviousOwnerUntil is the time of day, in seconds, up to which an owner from whom the
	// key was taken may go on answering workers; 0: nobody does. It stays when
	// the key is taken again: who took it may end and come back, knowing nothing
	// of that. (Found on a scored day: 121 tasks ran twice.)
	PreviousOwnerUntil float64 `cbor:"u,omitempty"`
	// TakenByForce: the key was taken from an owner that may be well. When that was only
	// the state service knows (a claim without an answer is sent again, or carried
	// out late), so who reads it counts that owner's time from the reading.
	TakenByForce bool `cbor:"f,omitempty"`
}

type tokenCounter struct {
	Nonce  string `cbor:"w"`
	Issued uint64 `cbor:"n"`
}

// Registry knows all owners and what this controller holds.
type Registry struct {
	selfName           string
	store              *kvstore.Store
	owners             map[string]OwnerRecord
	held               map[string]holding
	pendingClaims      map[string]bool
	previousOwnerUntil map[string]float64 // the latest Owner.Until seen of a key: it outlives the key
	// OnAcquired and Lost are told what this controller gains and loses; until: see
	// Owner.
	OnAcquired func(key string, token uint64, until float64)
	OnLost     func(key string)
	// PreviousOwnerDeadline gives that time of day for an owner from whom a key is taken now.
	PreviousOwnerDeadline func() float64
	// PeersMayExtend: owners go on without the state service while all members vouch for
	// them, so that one whose key is gone may still answer workers.
	PeersMayExtend bool
}

type holding struct {
	revision     uint64
	fencingToken uint64
}

// New makes an empty book.
func New(selfName string, store *kvstore.Store) *Registry {
	return &Registry{selfName: selfName, store: store, owners: map[string]OwnerRecord{}, held: map[string]holding{}, pendingClaims: map[string]bool{}, previousOwnerUntil: map[string]float64{}}
}

// ApplyChange takes a change of a key below a/o/.
func (r *Registry) ApplyChange(key string, value []byte) {
	if !strings.HasPrefix(key, "a/o/") {
		return
	}
	if value == nil {
		delete(r.owners, key)
	} else {
		var o OwnerRecord
		if err := protocol.Decode(value, &o); err != nil {
			slog.Error("lead: bad owner record", "key", key, "err", err)
			return
		}
		r.owners[key] = o
		r.previousOwnerUntil[key] = max(r.previousOwnerUntil[key], o.PreviousOwnerUntil)
		if o.TakenByForce {
			r.previousOwnerUntil[key] = max(r.previousOwnerUntil[key], r.PreviousOwnerDeadline())
		}
	}
	if h, ok := r.held[key]; ok {
		if e, there := r.store.Get(key); !there || e.Revision > h.revision {
			if o := r.owners[key]; there && o.Host == r.selfName && r.pendingClaims[key] {
				return // our own renewal, about to be confirmed
			}
			r.markLost(key, "taken by "+r.owners[key].Host)
		}
	}
}

func (r *Registry) markLost(key, why string) {
	slog.Info("lead: lost", "key", key, "why", why)
	delete(r.held, key)
	r.OnLost(key)
}

// OwnerOf gives the holder of a key; "" if nobody.
func (r *Registry) OwnerOf(key string) string { return r.owners[key].Host }

// Holds tells whether this controller holds the key, as far as it can know;
// what is done on the strength of it also needs a valid grant.
func (r *Registry) Holds(key string) bool { _, ok := r.held[key]; return ok }

// HeldKeys lists what this controller holds.
func (r *Registry) HeldKeys() []string { return slices.Sorted(maps.Keys(r.held)) }

// FencingToken is the token drawn when the key was taken; 0 if it is not held.
func (r *Registry) FencingToken(key string) uint64 { return r.held[key].fencingToken }

// OwnershipCondition is the condition that makes a write fail once the key has changed
// hands.
func (r *Registry) OwnershipCondition(key string) protocol.Condition {
	h, ok := r.held[key]
	if !ok {
		return protocol.Condition{Key: key, Revision: 1<<63 - 1} // fails for certain
	}
	return protocol.Condition{Key: key, Revision: h.revision}
}

// DropAllHeld forgets everything held: the grant is over.
func (r *Registry) DropAllHeld() {
	for _, key := range slices.Sorted(maps.Keys(r.held)) {
		r.markLost(key, "the grant is over")
	}
}

// ResetOwners empties the list of owners, to be told anew.
func (r *Registry) ResetOwners() { r.owners = map[string]OwnerRecord{} }

// IsTokenIssued tells whether a token can have been given to anybody, as far as the cache
// knows.
func (r *Registry) IsTokenIssued(token uint64) bool {
	var c tokenCounter
	if e, ok := r.store.Get(tokenCounterKey); !ok || protocol.Decode(e.Value, &c) != nil {
		return false
	}
	return token/FencingTokenStep <= c.Issued
}

// IsHeldByPreviousIncarnation tells whether the key is held by this controller's name, but from
// before its restart.
func (r *Registry) IsHeldByPreviousIncarnation(key string) bool {
	return r.owners[key].Host == r.selfName && !r.Holds(key)
}

// Claim takes a key: a free one, our own from before a restart, or (force)
// another's. An owner that holds it draws a new token this way.
func (r *Registry) Claim(key string, force bool) {
	if r.pendingClaims[key] || !r.store.Lease.IsValid() {
		return
	}
	r.pendingClaims[key] = true
	was := r.owners[key].Host
	var token uint64
	forced := was != r.selfName && (was != "" || r.PeersMayExtend)
	r.store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if !r.store.Lease.IsValid() || r.owners[key].Host != was || was != "" && was != r.selfName && !force {
				return nil, nil
			}
			var c tokenCounter
			if e, ok := r.store.Get(tokenCounterKey); ok {
				if err := protocol.Decode(e.Value, &c); err != nil {
					return nil, nil
				}
			}
			c.Nonce = nonce
			c.Issued++
			token = c.Issued * FencingTokenStep
			// It stays: the taker's grant may end before the one it took the key from stops.
			until := r.previousOwnerUntil[key]
			if forced {
				until = max(until, r.PreviousOwnerDeadline())
			}
			return []protocol.Condition{r.store.UnchangedCondition(key), r.store.UnchangedCondition(tokenCounterKey)}, []protocol.Mutation{
				{Put: key, Value: protocol.Encode(&OwnerRecord{Nonce: nonce, Host: r.selfName, FencingToken: token, PreviousOwnerUntil: until, TakenByForce: forced}), Lease: r.store.Lease.ID},
				{Put: tokenCounterKey, Value: protocol.Encode(&c)}}
		},
		Done: func(ok bool, stamp uint64) {
			delete(r.pendingClaims, key)
			if !ok || !r.store.Lease.IsValid() {
				return
			}
			if e, there := r.store.Get(key); !there || e.Revision != stamp {
				return // taken away again meanwhile
			}
			r.held[key] = holding{stamp, token}
			if forced { // it was carried out before now, whenever it was sent
				r.previousOwnerUntil[key] = max(r.previousOwnerUntil[key], r.PreviousOwnerDeadline())
			}
			r.owners[key] = OwnerRecord{Host: r.selfName, FencingToken: token, PreviousOwnerUntil: r.previousOwnerUntil[key], TakenByForce: forced}
			slog.Info("lead: taken", "key", key, "token", token, "from", was)
			r.OnAcquired(key, token, r.previousOwnerUntil[key])
		},
	})
}

// Release gives a key up.
func (r *Registry) Release(key string) {
	if !r.Holds(key) {
		return
	}
	guard := r.OwnershipCondition(key)
	r.markLost(key, "released")
	r.store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(string) ([]protocol.Condition, []protocol.Mutation) {
			return []protocol.Condition{guard}, []protocol.Mutation{{Delete: key}}
		},
		Done: func(ok bool, _ uint64) {
			if !ok {
				slog.Info("lead: release failed", "key", key)
			}
		},
	})
}
