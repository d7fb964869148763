// Package ledger keeps a controller's copy of the state service and its
// writes to it: a cache fed by /changes, proofs that the cache is current,
// group-committed transactions whose unknown outcomes are resolved, and the
// grant that the controller's keys hang on.
package kvstore

import (
	"fmt"
	"hash/fnv"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// CachedPrefix is the prefix of all keys that are cached. Finished jobs live outside.
const CachedPrefix = "a/"

// Limits are the state service's, from the settings.
type Limits struct {
	RequestsPerSecond, WritesPerSecond float64
	ValueKB                            float64
	MutationsPerTransaction            int
	Members                            int
}

// Entry is a cached key.
type Entry struct {
	Value    []byte
	Revision uint64
	LeaseID  uint64
}

// Store belongs to the owner's loop.
type Store struct {
	env     env.Environment
	address string
	limits  Limits

	cache     map[string]Entry
	deletedAt map[string]uint64 // our deletes that the cache has not passed yet
	revision  uint64
	isLoaded  bool
	onChange  func(key string, value []byte)

	isWatching      bool
	isSyncing       bool
	lastSyncAt      time.Duration
	isSyncScheduled bool
	syncWaiters     []func(bool)
	failingSince    time.Duration // no good answer since; 0: the last was good
	lastAnsweredAt  time.Duration // when the newest good answer came; 0: none yet
	currentAsOf     time.Duration // sent time of the newest answered /changes

	queues          [3][]*WriteRequest
	batchesInFlight int
	writeBudget     float64
	budgetUpdatedAt time.Duration
	pausedUntil     time.Duration
	isSendScheduled bool
	latency         latencyEstimate
	processNonce    string
	batchCount      int

	Lease Lease
	// OnReset is told that all that Change told before is void.
	OnReset func()
}

// New makes a ledger; change is told every change of a cached key (nil: deleted).
func New(w env.Environment, address, host string, limits Limits, onChange func(key string, value []byte)) *Store {
	store := &Store{env: w, address: address, limits: limits, cache: map[string]Entry{}, deletedAt: map[string]uint64{}, onChange: onChange}
	store.processNonce = fmt.Sprintf("%s.%x", host, w.Rand().Uint64())
	store.writeBudget = store.writeRate()
	store.Lease.store = store
	return store
}

// requestTimeout bounds one request: answers take a few ms, occasionally a few
// hundred; a cut or a busy spell shows as silence.
const requestTimeout = 2 * time.Second

// retryDelay is the pause after a failed request, with jitter, so that members do
// not return in step after an outage.
func (s *Store) retryDelay() time.Duration {
	base := 20 * float64(s.limits.Members) / s.limits.RequestsPerSecond
	return time.Duration((0.2 + base*(0.5+s.env.Rand().Float64())) * float64(time.Second) / 2)
}

// syncInterval spaces syncs and watches so that all members' together use about half
// of the requests the service allows.
func (s *Store) syncInterval() time.Duration {
	return time.Duration(4 * float64(s.limits.Members) / s.limits.RequestsPerSecond * float64(time.Second))
}

// Start loads the cache and keeps it fed.
func (s *Store) Start() { s.loadPage("", true) }

// Incarnation names this process: its transactions carry it, and it is never used again.
func (s *Store) Incarnation() uint64 {
	h := fnv.New64a()
	h.Write([]byte(s.processNonce))
	return h.Sum64() | 1
}

// IsLoaded tells whether the cache can be read at all.
func (s *Store) IsLoaded() bool { return s.isLoaded }

// HasRevision tells whether all changes up to a stamp are in the cache. (The answer to a
// write of ours comes before those of others that were made before it.)
func (s *Store) HasRevision(stamp uint64) bool { return s.revision >= stamp }

// CancellationsKnownAsOf is the moment as of which all cancellations are known, from the cache or by the
// word of all members.
func (s *Store) CancellationsKnownAsOf() time.Duration {
	return max(s.currentAsOf, s.Lease.ConfirmedByPeersAt)
}

// Staleness is how old the cache may be.
func (s *Store) Staleness() time.Duration { return s.env.Now() - s.currentAsOf }

// recordStatus follows whether the service answers.
func (s *Store) recordStatus(status int) {
	switch status {
	case 0, 503:
		if s.failingSince == 0 {
			s.failingSince = s.env.Now()
		}
	default:
		s.failingSince, s.lastAnsweredAt = 0, s.env.Now()
	}
}

// Health is when the service last answered well, by this process's clock; bad is
// since when it has not (0: the last answer was good).
func (s *Store) Health() (good, bad time.Duration) { return s.lastAnsweredAt, s.failingSince }

// IsUnavailable tells that requests have gone unanswered or refused for a while, so
// that a user is better told at once to come back later.
func (s *Store) IsUnavailable() bool {
	return !s.isLoaded || s.failingSince != 0 && s.env.Now()-s.failingSince > requestTimeout/8
}

// Get reads the cache.
func (s *Store) Get(key string) (Entry, bool) { e, ok := s.cache[key]; return e, ok }

// CachedKeys is the number of keys in the cache.
func (s *Store) CachedKeys() int { return len(s.cache) }

// UnchangedCondition gives the condition under which key is as the cache has it.
func (s *Store) UnchangedCondition(key string) protocol.Condition {
	return protocol.Condition{Key: key, Revision: s.cache[key].Revision}
}

// Fetch reads a key outside the cache. status 0, 429 and 503: not known.
func (s *Store) Fetch(key string, done func(status int, value []byte, stamp uint64)) {
	out := &protocol.Entry{}
	s.env.Call(s.address, "GET", "/store/"+key, nil, out, requestTimeout*3/4, func(status int) {
		done(status, out.Value, out.Revision)
	})
}

// CheckConditions checks conditions only.
func (s *Store) CheckConditions(when []protocol.Condition, done func(status int)) {
	s.env.Call(s.address, "POST", "/multi", &protocol.Transaction{Conditions: when}, &protocol.TransactionResult{}, requestTimeout*3/4, done)
}
