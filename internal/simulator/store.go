package simulator

import (
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// Paths of the key-value store's API.
const (
	pathTransactions = "/multi"
	pathLeases       = "/grants"
	pathEntries      = "/store"
	pathEntry        = "/store/"
	renewSuffix      = "/touch"
)

// Store simulates the key-value store, with revisions, conditional transactions, leases and
// watches. It is implemented from the protocol alone, not from the client's code.
type Store struct {
	Address string
	// Unavailable makes the store answer all requests with 503.
	Unavailable bool
	// ResponseDelay returns the delay before the answer to a request for a path is sent. If it is
	// nil, answers are sent at once.
	ResponseDelay func(path string) time.Duration
	// Writes counts the applied mutations.
	Writes int
	// OversizedRequests describes the values and transactions that were refused as too large.
	OversizedRequests []string

	cluster           *Cluster
	revision          uint64
	entries           map[string]protocol.Entry
	changeLog         []protocol.Change
	compactedRevision uint64 // changes up to this revision were dropped from changeLog
	leases            map[uint64]*storeLease
	lastLeaseID       uint64
	pendingWatches    []*watch

	requestLimit       rateLimit
	writeLimit         rateLimit
	maxValueKB         float64
	maxTransactionSize int // in mutations
}

func newStore(cluster *Cluster) *Store {
	limits := &cluster.Settings.Deployment.State
	store := &Store{
		cluster:            cluster,
		entries:            map[string]protocol.Entry{},
		leases:             map[uint64]*storeLease{},
		requestLimit:       newRateLimit(limits.RPS, limits.RPS),
		writeLimit:         newRateLimit(limits.WriteRPS, limits.WriteRPS),
		maxValueKB:         limits.ValueKB,
		maxTransactionSize: limits.TxnOps,
	}
	store.Address = cluster.listen(cluster.address(storeHost), store.serve)
	return store
}

// LowerLimits lowers the store's limits without notice to the controllers. Entries that exceed the
// new limits are kept.
func (s *Store) LowerLimits(valueKB float64, transactionSize int, writesPerSecond float64) {
	s.cluster.Trace("limits of the state service: values of %v KB, %d changes a transaction, %v a second", valueKB, transactionSize, writesPerSecond)
	s.maxValueKB = valueKB
	s.maxTransactionSize = transactionSize
	s.writeLimit.perSecond = writesPerSecond
	s.writeLimit.burst = writesPerSecond
}

// StartOutage makes the store unavailable for a duration and then renews all leases.
func (s *Store) StartOutage(duration time.Duration) {
	s.cluster.Trace("state service down")
	s.setUnavailable(true)
	s.cluster.after(duration, func() {
		s.cluster.Trace("state service back")
		s.setUnavailable(false)
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			s.renewLease(id)
		}
		s.notifyWatches()
	})
}

func (s *Store) setUnavailable(unavailable bool) {
	s.Unavailable = unavailable
	s.cluster.outages[s.Address] = unavailable
}

// replyFunc answers a request with a status and a body. If body is nil, the answer has no body.
type replyFunc = func(status int, body any)

func (s *Store) serve(method, path string, body []byte, reply replyFunc) {
	if s.ResponseDelay != nil {
		reply = s.delayReply(reply, s.ResponseDelay(path))
	}
	if s.Unavailable {
		reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: "trouble"})
		return
	}
	if !s.requestLimit.take(s.cluster.now, 1) {
		reply(http.StatusTooManyRequests, nil)
		return
	}
	target, err := url.Parse(path)
	if err != nil {
		reply(http.StatusBadRequest, nil)
		return
	}
	s.route(method, target, body, reply)
}

func (s *Store) delayReply(reply replyFunc, delay time.Duration) replyFunc {
	return func(status int, body any) {
		s.cluster.after(delay, func() { reply(status, body) })
	}
}

func (s *Store) route(method string, target *url.URL, body []byte, reply replyFunc) {
	isPost := method == http.MethodPost
	switch path := target.Path; {
	case isPost && path == pathTransactions:
		s.applyTransaction(body, reply)
	case isPost && path == pathLeases:
		s.grantLease(body, reply)
	case isPost && strings.HasSuffix(path, renewSuffix):
		s.serveRenewal(path, reply)
	case path == pathEntries:
		s.listEntries(target.Query(), reply)
	case strings.HasPrefix(path, pathEntry):
		s.readEntry(strings.TrimPrefix(path, pathEntry), reply)
	case path == pathChanges:
		s.serveWatch(target.Query(), reply)
	default:
		reply(http.StatusBadRequest, nil)
	}
}

// listEntries answers with the entries whose keys have a prefix and follow a given key, up to a
// limit.
func (s *Store) listEntries(query url.Values, reply replyFunc) {
	list := protocol.EntryList{StoreRevision: s.revision, Entries: []protocol.Entry{}}
	limit, _ := strconv.Atoi(query.Get("limit")) // 0 if it is missing
	since := query.Get("since")
	for _, key := range s.keys(query.Get("under")) {
		if key <= since {
			continue
		}
		if len(list.Entries) >= limit {
			list.Truncated = true
			break
		}
		list.Entries = append(list.Entries, s.entries[key])
	}
	reply(http.StatusOK, &list)
}

// missingEntry is the answer to a read of a key that does not exist.
type missingEntry struct {
	StoreRevision uint64 `cbor:"ledger"`
}

func (s *Store) readEntry(key string, reply replyFunc) {
	entry, ok := s.entries[key]
	if !ok {
		reply(http.StatusNotFound, &missingEntry{StoreRevision: s.revision})
		return
	}
	reply(http.StatusOK, &entry)
}

// keys returns the keys with a prefix, in sorted order.
func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
