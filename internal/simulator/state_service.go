package simulator

import (
	"maps"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// StateService is a stand-in for the state service, written from PROTOCOL.
type StateService struct {
	cluster           *Cluster
	Address           string
	Unavailable       bool
	revision          uint64
	entries           map[string]protocol.Entry
	changeLog         []protocol.Change
	compactedRevision uint64 // changes up to this one are not kept any more
	leases            map[uint64]*lease
	lastLeaseID       uint64
	pendingWatches    []func(final bool) bool
	Writes            int
	ResponseDelay     func(path string) time.Duration // how late an answer leaves; nil: at once
	// What of the limits was used.
	requestLimit, writeLimit rateLimit
	maxValueKB               float64
	maxTransactionSize       int
	OversizedRequests        []string // values and transactions that were refused as such
}

func newStateService(cluster *Cluster) *StateService {
	d := &cluster.Settings.Deployment.State
	state := &StateService{cluster: cluster, entries: map[string]protocol.Entry{}, leases: map[uint64]*lease{},
		requestLimit: newRateLimit(d.RPS, d.RPS), writeLimit: newRateLimit(d.WriteRPS, d.WriteRPS), maxValueKB: d.ValueKB, maxTransactionSize: d.TxnOps}
	state.Address = cluster.listen(cluster.address("state"), state.serve)
	return state
}

type responseFields map[string]any

// LowerLimits gives the service lower limits from now on, without notice. What is stored stays.
func (s *StateService) LowerLimits(valueKB float64, txnOps int, writeRPS float64) {
	s.cluster.Trace("limits of the state service: values of %v KB, %d changes a transaction, %v a second", valueKB, txnOps, writeRPS)
	s.maxValueKB, s.maxTransactionSize = valueKB, txnOps
	s.writeLimit.perSecond, s.writeLimit.burst = writeRPS, writeRPS
}

func (s *StateService) serve(method, path string, body []byte, reply func(int, any)) {
	if s.ResponseDelay != nil {
		at, soon := s.ResponseDelay(path), reply
		reply = func(status int, answer any) { s.cluster.after(at, func() { soon(status, answer) }) }
	}
	if s.Unavailable {
		reply(503, responseFields{"error": "trouble"})
		return
	}
	if !s.requestLimit.take(s.cluster.now, 1) {
		reply(429, nil)
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		reply(400, nil)
		return
	}
	q := u.Query()
	switch {
	case method == "POST" && u.Path == "/multi":
		s.applyTransaction(body, reply)
	case method == "POST" && u.Path == "/grants":
		var r protocol.LeaseRequest
		if protocol.Decode(body, &r) != nil || r.TTLMillis < 100 {
			reply(400, nil)
			return
		}
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &lease{duration: time.Duration(r.TTLMillis) * time.Millisecond}
		s.renewLease(s.lastLeaseID)
		reply(200, responseFields{"permit": s.lastLeaseID})
	case method == "POST" && strings.HasSuffix(u.Path, "/touch"):
		id, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		if s.leases[id] == nil {
			reply(404, nil)
			return
		}
		s.renewLease(id)
		reply(200, responseFields{})
	case u.Path == "/store":
		list := protocol.EntryList{StoreRevision: s.revision, Entries: []protocol.Entry{}}
		limit, _ := strconv.Atoi(q.Get("limit"))
		for _, key := range s.keys(q.Get("under")) {
			if key <= q.Get("since") {
				continue
			}
			if len(list.Entries) >= limit {
				list.Truncated = true
				break
			}
			list.Entries = append(list.Entries, s.entries[key])
		}
		reply(200, &list)
	case strings.HasPrefix(u.Path, "/store/"):
		if entry, ok := s.entries[u.Path[7:]]; ok {
			reply(200, &entry)
		} else {
			reply(404, responseFields{"ledger": s.revision})
		}
	case u.Path == "/changes":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		s.watchChanges(q.Get("under"), since, time.Duration(hold)*time.Millisecond, reply)
	default:
		reply(400, nil)
	}
}

func (s *StateService) keys(prefix string) []string {
	var out []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// StartOutage stops the service for a while.
func (s *StateService) StartOutage(duration time.Duration) {
	s.cluster.Trace("state service down")
	s.Unavailable, s.cluster.outages[s.Address] = true, true
	s.cluster.after(duration, func() {
		s.cluster.Trace("state service back")
		s.Unavailable, s.cluster.outages[s.Address] = false, false
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			s.renewLease(id)
		}
		s.notifyWatches()
	})
}
