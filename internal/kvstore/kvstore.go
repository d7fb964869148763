// Package kvstore is a controller's client of the consensus-backed key-value store. It caches
// keys and keeps the cache up to date with a watch, confirms on request that the cache is
// current, groups writes into compare-and-swap transactions, determines the outcome of
// transactions that were not answered, and renews the lease that the controller's keys are
// attached to.
//
// A Store has no lock: all its methods and callbacks run on the controller's event loop.
package kvstore

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// CachedPrefix is the prefix of all keys that are cached. Finished jobs are stored under
// other prefixes.
const CachedPrefix = "a/"

const (
	// requestTimeout limits the time that one request may take. Answers usually take a few
	// milliseconds and occasionally a few hundred; a network partition or an overloaded service
	// gives no answer at all.
	requestTimeout = 2 * time.Second
	// readTimeout is the shorter timeout of requests that a user or a scheduling decision waits
	// for.
	readTimeout = requestTimeout * 3 / 4
)

// Limits holds the service's limits on rate and transaction size, as configured, and the number
// of controllers that share them.
type Limits struct {
	RequestsPerSecond       float64
	WritesPerSecond         float64 // mutations per second
	MutationsPerTransaction int
	Members                 int // controllers of this cluster
}

// Entry is the stored value of a key with its metadata.
type Entry struct {
	Value    []byte
	Revision uint64 // revision of the transaction that wrote the value
	LeaseID  uint64 // the key is deleted when this lease ends; 0: no lease
}

// Store is one controller's client of the key-value service.
type Store struct {
	env     env.Environment
	address string
	limits  Limits

	cache       map[string]Entry
	deletedAt   map[string]uint64 // revisions of this controller's deletions that the watch has not delivered yet
	revision    uint64            // the cache contains all changes up to this revision
	currentAsOf time.Duration     // the cache contains everything that had been stored by this time
	isLoaded    bool
	isWatching  bool
	onChange    func(key string, value []byte)

	syncWaiters     []func(isCurrent bool)
	lastSyncAt      time.Duration
	isSyncing       bool
	isSyncScheduled bool

	health  Health
	latency latencyEstimate

	queues          writeQueues
	budget          writeBudget
	pausedUntil     time.Duration
	batchesInFlight int
	batchesBuilt    int
	isSendScheduled bool
	processNonce    string

	// Lease is the lease that this controller's keys are attached to.
	Lease Lease
	// OnReset is called when the cache is dropped: everything that onChange has reported is
	// invalid from then on.
	OnReset func()
}

// New creates a store for the given controller, as a client of the service at address. onChange is
// called for each change of a cached key, with a nil value if the key was deleted, and with an empty
// key at the end of each group of related changes.
func New(environment env.Environment, address, controllerName string, limits Limits, onChange func(key string, value []byte)) *Store {
	s := &Store{
		env:       environment,
		address:   address,
		limits:    limits,
		cache:     map[string]Entry{},
		deletedAt: map[string]uint64{},
		onChange:  onChange,
		budget:    newWriteBudget(limits),
	}
	s.processNonce = fmt.Sprintf("%s.%x", controllerName, environment.Rand().Uint64())
	s.Lease.store = s
	return s
}

// Start loads the cache and starts the watch that keeps it current.
func (s *Store) Start() { s.loadPage("", true) }

// Incarnation returns an identifier of this process. Other controllers have different identifiers,
// and a controller gets a new one when it restarts.
func (s *Store) Incarnation() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.processNonce)) // Write of a hash never returns an error
	return h.Sum64() | 1
}

// IsLoaded reports whether the cache has been loaded and may be read.
func (s *Store) IsLoaded() bool { return s.isLoaded }

// HasRevision reports whether the cache contains all changes up to a revision. This is not certain
// for the revision of an answered write of this controller: the answer can arrive before the watch
// delivers earlier changes by other controllers.
func (s *Store) HasRevision(revision uint64) bool { return s.revision >= revision }

// CancellationsKnownAsOf returns the latest time up to which this controller knows all cancellations,
// either from the cache or because all peers have confirmed that it knows them.
func (s *Store) CancellationsKnownAsOf() time.Duration {
	return max(s.currentAsOf, s.Lease.ConfirmedByPeersAt)
}

// Staleness returns an upper bound of the cache's age.
func (s *Store) Staleness() time.Duration { return s.env.Now() - s.currentAsOf }

// Get returns a key's entry from the cache.
func (s *Store) Get(key string) (Entry, bool) {
	entry, ok := s.cache[key]
	return entry, ok
}

// CachedKeyCount returns the number of keys in the cache.
func (s *Store) CachedKeyCount() int { return len(s.cache) }

// UnchangedCondition returns the condition that the key's stored revision is still the cached
// one.
func (s *Store) UnchangedCondition(key string) protocol.Condition {
	return protocol.Condition{Key: key, Revision: s.cache[key].Revision}
}

// Fetch reads a key from the service, bypassing the cache. err is nil if the key exists, and
// ErrNotFound if the key does not exist. After any other error, it is not known what the key holds.
func (s *Store) Fetch(key string, done func(entry Entry, err error)) {
	out := &protocol.Entry{}
	s.env.Call(s.address, http.MethodGet, "/store/"+key, nil, out, readTimeout, func(status int) {
		done(Entry{Value: out.Value, Revision: out.Revision, LeaseID: out.Lease}, statusError(status))
	})
}

// CheckConditions asks the service whether all conditions hold at the same time. err is nil if all
// of them hold, and ErrConflict if at least one does not. After any other error, it is not known
// whether they hold.
func (s *Store) CheckConditions(conditions []protocol.Condition, done func(err error)) {
	transaction := &protocol.Transaction{Conditions: conditions}
	result := &protocol.TransactionResult{}
	s.env.Call(s.address, http.MethodPost, "/multi", transaction, result, readTimeout, func(status int) {
		done(statusError(status))
	})
}

// retryDelay returns the backoff after a failed request: 0.1 s plus the time in which the service,
// at its rate limit, handles ten requests of each controller. This time is varied randomly by
// +-50 %, so that the controllers do not all retry at the same time after an outage.
func (s *Store) retryDelay() time.Duration {
	// The constants are twice the values in the doc comment: the sum is halved at the end.
	const minSeconds, requestsPerController, minJitter = 0.2, 20, 0.5
	base := requestsPerController * float64(s.limits.Members) / s.limits.RequestsPerSecond
	seconds := minSeconds + base*(minJitter+s.env.Rand().Float64())
	return time.Duration(seconds * float64(time.Second) / 2)
}

// syncInterval returns the minimum time between two syncs, and between two watch requests. It is
// long enough that the syncs and watches of all controllers use at most half of the service's
// request limit.
func (s *Store) syncInterval() time.Duration {
	const requestsPerController = 4
	seconds := requestsPerController * float64(s.limits.Members) / s.limits.RequestsPerSecond
	return time.Duration(seconds * float64(time.Second))
}
