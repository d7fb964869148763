// Package ledger keeps a controller's copy of the state service and its
// writes to it: a cache fed by /changes, proofs that the cache is current,
// group-committed transactions whose unknown outcomes are resolved, and the
// grant that the controller's keys hang on.
package ledger

import (
	"fmt"
	"hash/fnv"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Root is the prefix of all keys that are cached. Finished jobs live outside.
const Root = "a/"

// Limits are the state service's, from the settings.
type Limits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
	Members       int
}

// Entry is a cached key.
type Entry struct {
	Value []byte
	Stamp uint64
	Lease uint64
}

// Ledger belongs to the owner's loop.
type Ledger struct {
	w    world.World
	addr string
	lim  Limits

	cache  map[string]Entry
	gone   map[string]uint64 // our deletes that the cache has not passed yet
	rev    uint64
	loaded bool
	change func(key string, value []byte)

	watching  bool
	syncing   bool
	lastSync  time.Duration
	syncTimer bool
	askers    []func(bool)
	badSince  time.Duration // no good answer since; 0: the last was good
	good      time.Duration // when the newest good answer came; 0: none yet
	seenOK    time.Duration // sent time of the newest answered /changes

	queue    [3][]*Write
	inFlight int
	budget   float64
	budgetAt time.Duration
	pauseTo  time.Duration
	pumping  bool
	answers  answers
	nonce    string
	nonces   int

	Grant Grant
	// Reset is told that all that Change told before is void.
	Reset func()
}

// New makes a ledger; change is told every change of a cached key (nil: deleted).
func New(w world.World, addr, host string, lim Limits, change func(key string, value []byte)) *Ledger {
	l := &Ledger{w: w, addr: addr, lim: lim, cache: map[string]Entry{}, gone: map[string]uint64{}, change: change}
	l.nonce = fmt.Sprintf("%s.%x", host, w.Rand().Uint64())
	l.budget = l.rate()
	l.Grant.l = l
	return l
}

// timeout bounds one request: answers take a few ms, occasionally a few
// hundred; a cut or a busy spell shows as silence.
const timeout = 2 * time.Second

// retry is the pause after a failed request, with jitter, so that members do
// not return in step after an outage.
func (l *Ledger) retry() time.Duration {
	base := 20 * float64(l.lim.Members) / l.lim.RPS
	return time.Duration((0.2 + base*(0.5+l.w.Rand().Float64())) * float64(time.Second) / 2)
}

// gap spaces syncs and watches so that all members' together use about half
// of the requests the service allows.
func (l *Ledger) gap() time.Duration {
	return time.Duration(4 * float64(l.lim.Members) / l.lim.RPS * float64(time.Second))
}

// Start loads the cache and keeps it fed.
func (l *Ledger) Start() { l.load("", true) }

// Life names this process: its transactions carry it, and it is never used again.
func (l *Ledger) Life() uint64 {
	h := fnv.New64a()
	h.Write([]byte(l.nonce))
	return h.Sum64() | 1
}

// Loaded tells whether the cache can be read at all.
func (l *Ledger) Loaded() bool { return l.loaded }

// Passed tells whether all changes up to a stamp are in the cache. (The answer to a
// write of ours comes before those of others that were made before it.)
func (l *Ledger) Passed(stamp uint64) bool { return l.rev >= stamp }

// News is the moment as of which all cancellations are known, from the cache or by the
// word of all members.
func (l *Ledger) News() time.Duration { return max(l.seenOK, l.Grant.Vouched) }

// Age is how old the cache may be.
func (l *Ledger) Age() time.Duration { return l.w.Now() - l.seenOK }

// note follows whether the service answers.
func (l *Ledger) note(status int) {
	switch status {
	case 0, 503:
		if l.badSince == 0 {
			l.badSince = l.w.Now()
		}
	default:
		l.badSince, l.good = 0, l.w.Now()
	}
}

// Good is when the service last answered well, by this process's clock; bad is
// since when it has not (0: the last answer was good).
func (l *Ledger) Good() (good, bad time.Duration) { return l.good, l.badSince }

// Down tells that requests have gone unanswered or refused for a while, so
// that a user is better told at once to come back later.
func (l *Ledger) Down() bool {
	return !l.loaded || l.badSince != 0 && l.w.Now()-l.badSince > timeout/8
}

// Get reads the cache.
func (l *Ledger) Get(key string) (Entry, bool) { e, ok := l.cache[key]; return e, ok }

// Cached is the number of keys in the cache.
func (l *Ledger) Cached() int { return len(l.cache) }

// Stamp gives the condition under which key is as the cache has it.
func (l *Ledger) Stamp(key string) wire.Cond { return wire.Cond{Key: key, Stamp: l.cache[key].Stamp} }

// Fetch reads a key outside the cache. status 0, 429 and 503: not known.
func (l *Ledger) Fetch(key string, done func(status int, value []byte, stamp uint64)) {
	out := &wire.Entry{}
	l.w.Call(l.addr, "GET", "/store/"+key, nil, out, timeout*3/4, func(status int) {
		done(status, out.Value, out.Stamp)
	})
}

// Compare checks conditions only.
func (l *Ledger) Compare(when []wire.Cond, done func(status int)) {
	l.w.Call(l.addr, "POST", "/multi", &wire.Txn{When: when}, &wire.TxnResult{}, timeout*3/4, done)
}
