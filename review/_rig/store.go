package main

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type storeEntry struct {
	value  cbor.RawMessage
	stamp  uint64
	permit uint64
}

type storeChange struct {
	Put    string          `cbor:"put,omitempty"`
	Delete string          `cbor:"delete,omitempty"`
	Value  cbor.RawMessage `cbor:"value,omitempty"`
	Stamp  uint64          `cbor:"stamp"`
}

type storeCondition struct {
	Key   string `cbor:"k"`
	Stamp uint64 `cbor:"stamp"`
}

type storeMutation struct {
	Put    string          `cbor:"put"`
	Delete string          `cbor:"delete"`
	Value  cbor.RawMessage `cbor:"value"`
	Permit uint64          `cbor:"permit"`
}

type storeTransaction struct {
	When  []storeCondition `cbor:"when"`
	Apply []storeMutation  `cbor:"apply"`
}

type grant struct {
	life   time.Duration
	endsAt time.Time
}

// reach is how one node reaches a service.
type reach int

const (
	reachable reach = iota
	refused         // 503 to this node
	silent          // connections hang without an error
)

// store is the state service. Each node has an address of its own, so that one can be cut off.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	entries  map[string]storeEntry
	ledger   uint64
	log      []storeChange
	grants   map[uint64]*grant
	grantNo  uint64
	reaches  map[string]reach
	down     bool
	limits   limits
	reqs     bucket
	writes   bucket
	applied  func(node string, t *storeTransaction) // nil, or called for each applied transaction, locked
	delay    func(node string, t *storeTransaction) (before, after time.Duration)
	slowness time.Duration // of every answer
}

const keptChanges = 10000

type limits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int
}

type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) take(rate, amount float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.level = rate
	} else {
		b.level = min(rate, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}

func newStore(l limits) *store {
	s := &store{entries: map[string]storeEntry{}, grants: map[uint64]*grant{}, reaches: map[string]reach{}, limits: l}
	s.changed = sync.NewCond(&s.mu)
	go s.expire()
	return s
}

func (s *store) addressFor(node string) string {
	listener := listen("127.0.0.1")
	serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) }))
	return listener.Addr().(*net.TCPAddr).String()
}

func (s *store) setReach(node string, to reach) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reaches[node] = to
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down { // after an outage every lease has its full time again
		for _, g := range s.grants {
			g.endsAt = time.Now().Add(g.life)
		}
	}
}

func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.down {
			for id, g := range s.grants {
				if time.Now().After(g.endsAt) {
					s.endGrant(id)
				}
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

func (s *store) endGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for key, entry := range s.entries {
		if entry.permit == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.ledger++
		delete(s.entries, key)
		s.append(storeChange{Delete: key, Stamp: s.ledger})
	}
}

func (s *store) append(c storeChange) {
	s.log = append(s.log, c)
	if len(s.log) > keptChanges {
		s.log = s.log[len(s.log)-keptChanges:]
	}
}

// hang waits until the node is reachable again or the client has gone; it returns false then.
func (s *store) hang(node string, r *http.Request) bool {
	for {
		s.mu.Lock()
		isSilent := s.reaches[node] == silent
		s.mu.Unlock()
		if !isSilent {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *store) handle(node string, w http.ResponseWriter, r *http.Request) {
	if !s.hang(node, r) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	isRefused := s.down || s.reaches[node] == refused
	isThrottled := !isRefused && !s.reqs.take(s.limits.rps, 1)
	slowness := s.slowness
	s.mu.Unlock()
	time.Sleep(slowness / 2)
	defer time.Sleep(slowness / 2)
	switch {
	case isRefused:
		answer(w, http.StatusServiceUnavailable, object{"error": "trouble"})
	case isThrottled:
		answer(w, http.StatusTooManyRequests, object{"error": "too many requests"})
	case r.URL.Path == "/multi":
		s.multi(node, w, r)
	case r.URL.Path == "/changes":
		s.changes(node, w, r)
	case r.URL.Path == "/store":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/store/"))
	case strings.HasPrefix(r.URL.Path, "/grants"):
		s.grant(w, r)
	default:
		answer(w, http.StatusBadRequest, object{"error": "no such path"})
	}
	// The answer of a node that was cut off meanwhile does not arrive.
	if !s.hang(node, r) {
		panic(http.ErrAbortHandler)
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	entry, ok := s.entries[key]
	ledger := s.ledger
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, object{"ledger": ledger})
		return
	}
	answer(w, http.StatusOK, object{"k": key, "value": entry.value, "stamp": entry.stamp, "permit": entry.permit})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 1000 || limit < 1 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries, size, truncated := []object{}, 0, false
	for _, key := range keys {
		entry := s.entries[key]
		size += len(key) + 2*len(entry.value) + 32
		if len(entries) >= limit || size > 500<<10 {
			truncated = true
			break
		}
		entries = append(entries, object{"k": key, "value": entry.value, "stamp": entry.stamp, "permit": entry.permit})
	}
	answer(w, http.StatusOK, object{"entries": entries, "truncated": truncated, "ledger": s.ledger})
}

func (s *store) changes(node string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	holdMs, _ := strconv.Atoi(query.Get("holdMs"))
	until := time.Now().Add(time.Duration(min(holdMs, 60000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.log) == keptChanges && s.log[0].Stamp > since+1 {
		answer(w, http.StatusGone, object{"error": "too old"})
		return
	}
	for {
		isOut := s.down || s.reaches[node] != reachable // open watches remain open
		log := []storeChange{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Stamp > since; i-- {
			if strings.HasPrefix(s.log[i].Put+s.log[i].Delete, query.Get("under")) {
				log = append(log, s.log[i])
			}
		}
		if r.Context().Err() != nil {
			return
		}
		if !isOut && (len(log) > 0 || !time.Now().Before(until)) {
			for i, k := 0, len(log)-1; i < k; i, k = i+1, k-1 {
				log[i], log[k] = log[k], log[i]
			}
			answer(w, http.StatusOK, object{"ledger": s.ledger, "log": log})
			return
		}
		s.changed.Wait()
	}
}

func (s *store) multi(node string, w http.ResponseWriter, r *http.Request) {
	var t storeTransaction
	if err := readBody(r, &t); err != nil {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	var after time.Duration
	if s.delay != nil {
		before, later := s.delay(node, &t)
		after = later
		time.Sleep(before)
	}
	status, body := s.apply(node, &t)
	time.Sleep(after)
	answer(w, status, body)
}

func (s *store) apply(node string, t *storeTransaction) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return http.StatusServiceUnavailable, object{"error": "trouble"}
	}
	if len(t.Apply) > s.limits.txnOps || len(t.When) > 4*s.limits.txnOps {
		return http.StatusBadRequest, object{"error": "too many operations"}
	}
	if len(t.Apply) > 0 && !s.writes.take(s.limits.writeRPS, float64(len(t.Apply))) {
		return http.StatusTooManyRequests, object{"error": "too many changes"}
	}
	var failed []string
	for _, condition := range t.When {
		if s.entries[condition.Key].stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	for _, m := range t.Apply {
		if key := m.Put + m.Delete; len(key) == 0 || len(key) > 200 || strings.Contains(key, " ") {
			return http.StatusBadRequest, object{"error": "bad key"}
		}
		if float64(len(m.Value)) > s.limits.valueKB*1024 {
			return http.StatusBadRequest, object{"error": "value too large"}
		}
		if m.Put != "" && m.Permit != 0 && s.grants[m.Permit] == nil {
			return http.StatusBadRequest, object{"error": "no such lease"}
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, object{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Apply) > 0 {
		s.ledger++
		for _, m := range t.Apply {
			if m.Put != "" {
				s.entries[m.Put] = storeEntry{m.Value, s.ledger, m.Permit}
				s.append(storeChange{Put: m.Put, Value: m.Value, Stamp: s.ledger})
			} else if _, ok := s.entries[m.Delete]; ok {
				delete(s.entries, m.Delete)
				s.append(storeChange{Delete: m.Delete, Stamp: s.ledger})
			}
		}
		if s.applied != nil {
			s.applied(node, t)
		}
		s.changed.Broadcast()
	}
	return http.StatusOK, object{"ledger": s.ledger}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var request struct {
			LifeMs uint64 `cbor:"lifeMs"`
		}
		if err := readBody(r, &request); err != nil || request.LifeMs < 100 || request.LifeMs > 600000 {
			answer(w, http.StatusBadRequest, object{"error": "lifeMs"})
			return
		}
		s.grantNo++
		life := time.Duration(request.LifeMs) * time.Millisecond
		s.grants[s.grantNo] = &grant{life, time.Now().Add(life)}
		answer(w, http.StatusOK, object{"permit": s.grantNo})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	held := s.grants[id]
	switch {
	case held == nil:
		answer(w, http.StatusNotFound, object{"error": "no such lease"})
	case r.Method == http.MethodDelete:
		s.endGrant(id)
		answer(w, http.StatusOK, object{})
	default:
		held.endsAt = time.Now().Add(held.life)
		answer(w, http.StatusOK, object{})
	}
}
