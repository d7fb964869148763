package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Store is a stand-in for the state service (PROTOCOL, "Controller nodes -> state service").
type Store struct {
	site Site

	mu       sync.Mutex
	ledger   uint64
	entries  map[string]*storeEntry
	log      []storeEvent
	dropped  uint64 // revision of the newest change that is no longer kept
	grants   map[uint64]*storeGrant
	nextID   uint64
	changed  chan struct{} // closed and replaced at each change
	requests bucket
	writes   bucket
}

type storeEntry struct {
	value  cbor.RawMessage
	stamp  uint64
	permit uint64
}

type storeEvent struct {
	key   string
	value cbor.RawMessage
	isPut bool
	stamp uint64
}

type storeGrant struct {
	life    time.Duration
	expires time.Time
}

// keptChanges is the number of changes that the service keeps.
const keptChanges = 10000

func newStore(site Site) *Store {
	s := &Store{
		site:     site,
		entries:  map[string]*storeEntry{},
		grants:   map[uint64]*storeGrant{},
		changed:  make(chan struct{}),
		requests: newBucket(site.StateRPS, site.StateRPS),
		writes:   newBucket(site.StateWriteRPS, site.StateWriteRPS),
	}
	go s.expireGrants()
	return s
}

// expireGrants ends leases within 100 ms of their end.
func (s *Store) expireGrants() {
	for range time.Tick(25 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, grant := range s.grants {
			if now.After(grant.expires) {
				s.endGrant(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for key, entry := range s.entries {
		if entry.permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.ledger++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *Store) remove(key string) {
	if s.entries[key] == nil {
		return
	}
	delete(s.entries, key)
	s.addEvent(storeEvent{key: key, stamp: s.ledger})
}

func (s *Store) addEvent(event storeEvent) {
	s.log = append(s.log, event)
	if len(s.log) > keptChanges {
		s.dropped = s.log[0].stamp
		s.log = s.log[1:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeTransaction struct {
	When []struct {
		Key   string `cbor:"k"`
		Stamp uint64 `cbor:"stamp"`
	} `cbor:"when"`
	Apply []struct {
		Put    string          `cbor:"put"`
		Delete string          `cbor:"delete"`
		Value  cbor.RawMessage `cbor:"value"`
		Permit uint64          `cbor:"permit"`
	} `cbor:"apply"`
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.site.StateLatency)
	body, _ := io.ReadAll(r.Body)
	if !s.requests.take(1) {
		reply(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	switch path := r.URL.Path; {
	case path == "/multi" && r.Method == http.MethodPost:
		s.multi(w, body)
	case path == "/store" && r.Method == http.MethodGet:
		s.list(w, r)
	case strings.HasPrefix(path, "/store/") && r.Method == http.MethodGet:
		s.get(w, strings.TrimPrefix(path, "/store/"))
	case path == "/changes" && r.Method == http.MethodGet:
		s.changes(w, r)
	case path == "/grants" && r.Method == http.MethodPost:
		s.grant(w, body)
	case strings.HasPrefix(path, "/grants/"):
		s.touchOrEnd(w, r)
	default:
		reply(w, 400, map[string]any{"error": "no such call"})
	}
}

func (s *Store) multi(w http.ResponseWriter, body []byte) {
	var t storeTransaction
	if cbor.Unmarshal(body, &t) != nil || len(body) > 64<<10 ||
		len(t.Apply) > s.site.StateTxnOps || len(t.When) > 4*s.site.StateTxnOps {
		reply(w, 400, map[string]any{"error": "malformed or too large"})
		return
	}
	for _, change := range t.Apply {
		key := change.Put + change.Delete
		if len(key) < 1 || len(key) > 200 || strings.Contains(key, " ") || (change.Put == "") == (change.Delete == "") ||
			len(change.Value) > int(s.site.StateValueKB*1024) {
			reply(w, 400, map[string]any{"error": "malformed or too large"})
			return
		}
	}
	if len(t.Apply) > 0 && !s.writes.take(float64(len(t.Apply))) {
		reply(w, 429, map[string]any{"error": "too many changes"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range t.Apply {
		if change.Put != "" && change.Permit != 0 && s.grants[change.Permit] == nil {
			reply(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, condition := range t.When {
		var stamp uint64
		if entry := s.entries[condition.Key]; entry != nil {
			stamp = entry.stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ledger": s.ledger})
		return
	}
	if len(t.Apply) > 0 {
		s.ledger++
		for _, change := range t.Apply {
			if change.Delete != "" {
				s.remove(change.Delete)
				continue
			}
			s.entries[change.Put] = &storeEntry{change.Value, s.ledger, change.Permit}
			s.addEvent(storeEvent{key: change.Put, value: change.Value, isPut: true, stamp: s.ledger})
		}
		s.notify()
	}
	reply(w, 200, map[string]any{"ledger": s.ledger})
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	if entry == nil {
		reply(w, 404, map[string]any{"ledger": s.ledger})
		return
	}
	reply(w, 200, entryMap(key, entry))
}

func entryMap(key string, entry *storeEntry) map[string]any {
	m := map[string]any{"k": key, "value": entry.value, "stamp": entry.stamp}
	if entry.permit != 0 {
		m["permit"] = entry.permit
	}
	return m
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	under, since := r.URL.Query().Get("under"), r.URL.Query().Get("since")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, under) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries, size, truncated := []any{}, 0, false
	for _, key := range keys {
		size += len(key) + len(s.entries[key].value) + 40
		if len(entries) >= limit || size > 512<<10 {
			truncated = true
			break
		}
		entries = append(entries, entryMap(key, s.entries[key]))
	}
	reply(w, 200, map[string]any{"entries": entries, "truncated": truncated, "ledger": s.ledger})
}

func (s *Store) changes(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	under := query.Get("under")
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		reply(w, 400, map[string]any{"error": "since"})
		return
	}
	hold, _ := strconv.Atoi(query.Get("holdMs"))
	deadline := time.Now().Add(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.dropped {
			s.mu.Unlock()
			reply(w, 410, map[string]any{"error": "too old"})
			return
		}
		found := []any{}
		for _, event := range s.log {
			if event.stamp <= since || !strings.HasPrefix(event.key, under) {
				continue
			}
			if event.isPut {
				found = append(found, map[string]any{"put": event.key, "value": event.value, "stamp": event.stamp})
			} else {
				found = append(found, map[string]any{"delete": event.key, "stamp": event.stamp})
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		if left := time.Until(deadline); len(found) > 0 || left <= 0 {
			reply(w, 200, map[string]any{"ledger": ledger, "log": found})
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) grant(w http.ResponseWriter, body []byte) {
	var request struct {
		LifeMs uint64 `cbor:"lifeMs"`
	}
	if cbor.Unmarshal(body, &request) != nil || request.LifeMs < 100 || request.LifeMs > 600000 {
		reply(w, 400, map[string]any{"error": "lifeMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	life := time.Duration(request.LifeMs) * time.Millisecond
	s.grants[s.nextID] = &storeGrant{life, time.Now().Add(life)}
	reply(w, 200, map[string]any{"permit": s.nextID})
}

func (s *Store) touchOrEnd(w http.ResponseWriter, r *http.Request) {
	rest, isTouch := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/touch")
	id, err := strconv.ParseUint(rest, 10, 64)
	if err != nil {
		reply(w, 400, map[string]any{"error": "permit"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.grants[id]
	if grant == nil {
		reply(w, 404, map[string]any{"error": "no such lease"})
		return
	}
	if isTouch {
		grant.expires = time.Now().Add(grant.life)
	} else {
		s.endGrant(id)
	}
	reply(w, 200, map[string]any{"permit": id})
}

// bucket is a token bucket.
type bucket struct {
	mu        *sync.Mutex
	rate      float64
	capacity  float64
	available *float64
	updated   *time.Time
}

func newBucket(rate, capacity float64) bucket {
	available, updated := capacity, time.Now()
	return bucket{&sync.Mutex{}, rate, capacity, &available, &updated}
}

func (b bucket) take(count float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	*b.available = min(b.capacity, *b.available+b.rate*now.Sub(*b.updated).Seconds())
	*b.updated = now
	if *b.available < count {
		return false
	}
	*b.available -= count
	return true
}

// reply sends a CBOR answer.
func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("cannot encode an answer: ", err))
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
