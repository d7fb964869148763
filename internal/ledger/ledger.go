// Package ledger keeps a controller's copy of the state service and its
// writes to it: a cache fed by /changes, proofs that the cache is current,
// group-committed transactions whose unknown outcomes are resolved, and the
// grant that the controller's keys hang on.
package ledger

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net/url"
	"slices"
	"strings"
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

// Write is one atomic group of changes. Its conditions are worked out when it
// is sent, so a waiting write never carries an old stamp or value.
type Write struct {
	// Build gives conditions and changes; every key written must be among
	// the conditions, or a delayed copy of the transaction could undo a newer
	// one. Values must carry nonce (field "w"). No changes: the write is off.
	Build func(nonce string) ([]wire.Cond, []wire.Op)
	// Done tells whether it was applied; false: it was not and never will be.
	Done func(ok bool, stamp uint64)
	// Refused, if given, is told that the service refuses requests for now;
	// true gives the write up (it was not applied).
	Refused func() bool
	tries   int
	urgency int
}

// Urgency of a write.
const (
	Urgent = iota // grants, accepts, aborts, ends
	Soon          // starts
	Later         // progress
)

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

func (l *Ledger) load(since string, first bool) {
	out := &wire.EntryList{}
	path := "/store?under=" + Root + "&limit=1000"
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	l.w.Call(l.addr, "GET", path, nil, out, timeout, func(status int) {
		if status != 200 || out.Ledger == 0 && len(out.Entries) > 0 {
			l.w.After(l.retry(), func() { l.load(since, first) })
			return
		}
		if first {
			l.rev = out.Ledger
			l.cache = map[string]Entry{}
		}
		for _, e := range out.Entries {
			l.cache[e.Key] = Entry{e.Value, e.Stamp, e.Lease}
		}
		if out.More && len(out.Entries) > 0 {
			l.load(out.Entries[len(out.Entries)-1].Key, false)
			return
		}
		// Pages are from different moments: the changes since the first one
		// are replayed before anything is believed.
		l.replay()
	})
}

func (l *Ledger) replay() {
	sent, since := l.w.Now(), l.rev
	out := &wire.Changes{}
	l.w.Call(l.addr, "GET", l.changesPath(0), nil, out, timeout, func(status int) {
		status = sound(status, out, since)
		if status == 410 {
			l.load("", true)
			return
		}
		if status != 200 {
			l.w.After(l.retry(), l.replay)
			return
		}
		l.absorb(out)
		l.loaded, l.seenOK = true, sent
		for _, k := range slices.Sorted(maps.Keys(l.cache)) {
			l.change(k, l.cache[k].Value)
		}
		l.change("", nil)
		l.watch()
	})
}

func (l *Ledger) changesPath(hold time.Duration) string {
	return fmt.Sprintf("/changes?under=%s&since=%d&holdMs=%d", Root, l.rev, hold.Milliseconds())
}

// sound is the status of an answer to a question for the changes since a revision; 0,
// as of no answer, if it cannot be one: without a revision or with one that goes back
// it proves nothing of the cache's age, and an event that names no key of ours, or is
// of no revision in between, would put into the cache what is nowhere.
func sound(status int, c *wire.Changes, since uint64) int {
	if status != 200 {
		return status
	}
	ok := c.Ledger >= since
	for _, e := range c.Log {
		ok = ok && (e.Put == "") != (e.Delete == "") && strings.HasPrefix(e.Put+e.Delete, Root) && e.Stamp > since && e.Stamp <= c.Ledger
	}
	if !ok {
		slog.Error("state: changes make no sense", "since", since, "ledger", c.Ledger, "events", len(c.Log))
		return 0
	}
	return 200
}

// absorb applies what is newer than the cache.
func (l *Ledger) absorb(c *wire.Changes) {
	if c.Ledger <= l.rev {
		return
	}
	for _, e := range c.Log {
		if e.Stamp <= l.rev {
			continue
		}
		key := e.Put + e.Delete
		if old, ok := l.cache[key]; ok && old.Stamp >= e.Stamp {
			continue // our own write, known already
		}
		if l.gone[key] >= e.Stamp {
			continue
		}
		var value []byte // of a deletion none, even if the event holds a null
		if e.Put != "" {
			value = e.Value
			l.cache[key] = Entry{Value: e.Value, Stamp: e.Stamp}
		} else {
			delete(l.cache, key)
		}
		if l.loaded {
			l.change(key, value)
		}
	}
	l.rev = c.Ledger
	for k, s := range l.gone {
		if s <= l.rev {
			delete(l.gone, k)
		}
	}
	if l.loaded {
		l.change("", nil)
	}
}

// reload throws the cache away: the service no longer keeps the changes. What
// was deleted meanwhile is not known, so the owner starts from nothing.
func (l *Ledger) reload() {
	if !l.loaded {
		return
	}
	l.loaded = false
	l.Reset()
	l.load("", true)
}

func (l *Ledger) watch() {
	if l.watching || !l.loaded {
		return
	}
	l.watching = true
	sent, since := l.w.Now(), l.rev
	hold := 10 * time.Second
	out := &wire.Changes{}
	l.w.Call(l.addr, "GET", l.changesPath(hold), nil, out, hold+timeout, func(status int) {
		l.watching = false
		if !l.loaded {
			return
		}
		switch sound(status, out, since) {
		case 200:
			l.absorb(out)
			l.seenOK = max(l.seenOK, sent)
			l.w.After(l.gap(), l.watch)
		case 410:
			l.reload()
		default:
			l.w.After(l.retry(), l.watch)
		}
	})
}

// Prove calls f once an answer asked for after now has brought the cache up
// to date; f(false) if none came in time.
func (l *Ledger) Prove(f func(ok bool)) {
	l.askers = append(l.askers, f)
	l.sync()
}

// Refresh asks for the newest changes without waiting for the watch.
func (l *Ledger) Refresh() { l.Prove(func(bool) {}) }

func (l *Ledger) sync() {
	if l.syncing || l.syncTimer || len(l.askers) == 0 {
		return
	}
	if !l.loaded {
		l.failAskers(l.takeAskers())
		return
	}
	if wait := l.lastSync + l.gap() - l.w.Now(); wait > 0 {
		l.syncTimer = true
		l.w.After(wait, func() { l.syncTimer = false; l.sync() })
		return
	}
	l.syncing = true
	l.lastSync = l.w.Now()
	sent, since := l.lastSync, l.rev
	askers := l.takeAskers()
	out := &wire.Changes{}
	l.w.Call(l.addr, "GET", l.changesPath(0), nil, out, timeout*3/4, func(status int) {
		status = sound(status, out, since)
		l.note(status)
		l.syncing = false
		switch {
		case !l.loaded:
			l.failAskers(askers)
		case status == 200:
			l.absorb(out)
			l.seenOK = max(l.seenOK, sent)
			for _, f := range askers {
				f(true)
			}
		case status == 410:
			l.failAskers(askers)
			l.reload()
		default:
			l.failAskers(askers)
		}
		l.sync()
	})
}

func (l *Ledger) takeAskers() []func(bool) {
	a := l.askers
	l.askers = nil
	return a
}

func (l *Ledger) failAskers(a []func(bool)) {
	for _, f := range a {
		f(false)
	}
}

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

func (l *Ledger) rate() float64 {
	return 0.9 * l.lim.WriteRPS / max(1, 0.7*float64(l.lim.Members))
}

// Queued is the number of writes that wait.
func (l *Ledger) Queued() int { return len(l.queue[0]) + len(l.queue[1]) + len(l.queue[2]) }

// Pressed tells whether writes wait that take the budget of so many seconds.
func (l *Ledger) Pressed(seconds float64) bool { return float64(l.Queued()) >= seconds*l.rate() }

// Write queues a transaction.
func (l *Ledger) Write(urgency int, w *Write) {
	w.urgency = urgency
	l.queue[urgency] = append(l.queue[urgency], w)
	// Sent after the current batch of commands, so that what belongs
	// together is committed together.
	if !l.pumping {
		l.pumping = true
		l.w.After(0, func() { l.pumping = false; l.pump() })
	}
}

type batch struct {
	writes []*Write
	nonce  string
	txn    *wire.Txn
	conds  [][]wire.Cond // each write's
	doubt  bool          // an earlier send may have been, or yet be, applied
	over   bool          // seen to be applied before its answer came
}

func (l *Ledger) pump() {
	for l.inFlight < 3 && l.Queued() > 0 {
		now := l.w.Now()
		if now < l.pauseTo {
			l.again(l.pauseTo - now)
			return
		}
		l.budget = min(l.rate(), l.budget+l.rate()*(now-l.budgetAt).Seconds())
		l.budgetAt = now
		b := l.collect()
		if b == nil {
			if l.Queued() > 0 {
				l.again(time.Duration(float64(time.Second) / l.rate()))
			}
			return
		}
		l.inFlight++
		l.send(b)
	}
}

func (l *Ledger) again(d time.Duration) {
	if l.pumping {
		return
	}
	l.pumping = true
	l.w.After(d, func() { l.pumping = false; l.pump() })
}

// collect fills a batch, urgent writes first. Lesser ones leave a part of
// the budget untouched for urgent ones to come.
func (l *Ledger) collect() *batch {
	l.nonces++
	b := &batch{nonce: fmt.Sprintf("%s.%d", l.nonce, l.nonces), txn: &wire.Txn{}}
	seen := map[string]uint64{}
	size := 0
	for u := range l.queue {
		floor := []float64{-l.rate(), 0, 0.25 * l.rate()}[u]
		// Done may queue another write: it must not be lost with the old list.
		var left []*Write
		queued := l.queue[u]
		l.queue[u] = nil
		for i, w := range queued {
			if len(b.writes) > 0 && w.tries > 0 { // a write that failed in company goes alone
				left = append(left, w)
				continue
			}
			conds, ops := w.Build(b.nonce)
			if len(ops) == 0 {
				w.Done(false, 0)
				continue
			}
			sz := 0
			clash := false
			for _, o := range ops {
				sz += 2*len(o.Value) + len(o.Put) + len(o.Delete) + 64
			}
			for _, c := range conds {
				sz += len(c.Key) + 40
				if s, ok := seen[c.Key]; ok && s != c.Stamp {
					clash = true
				}
			}
			for _, o := range ops {
				if _, ok := seen["w:"+o.Put+o.Delete]; ok {
					clash = true
				}
			}
			if clash || len(b.txn.Apply)+len(ops) > l.lim.TxnOps || len(b.txn.When)+len(conds) > 4*l.lim.TxnOps ||
				size+sz > 60<<10 || l.budget-float64(len(ops)) < floor && !(u == Urgent && len(b.writes) == 0 && l.budget > -l.rate()) {
				left = append(left, queued[i:]...)
				break
			}
			size += sz
			l.budget -= float64(len(ops))
			for _, c := range conds {
				if _, ok := seen[c.Key]; !ok {
					b.txn.When = append(b.txn.When, c)
				}
				seen[c.Key] = c.Stamp
			}
			for _, o := range ops {
				seen["w:"+o.Put+o.Delete] = 1
			}
			b.conds = append(b.conds, conds)
			b.txn.Apply = append(b.txn.Apply, ops...)
			b.writes = append(b.writes, w)
			if w.tries > 0 {
				left = append(left, queued[i+1:]...)
				l.queue[u] = append(left, l.queue[u]...)
				return b
			}
		}
		l.queue[u] = append(left, l.queue[u]...)
		if len(left) > 0 && len(b.writes) > 0 {
			break
		}
	}
	if len(b.writes) == 0 {
		return nil
	}
	return b
}

func (l *Ledger) send(b *batch) {
	if b.over {
		return
	}
	out, sent, answered := &wire.TxnResult{}, l.w.Now(), false
	l.w.Call(l.addr, "POST", "/multi", b.txn, out, timeout, func(status int) {
		answered = true
		if status == 200 && out.Ledger == 0 {
			status = 0 // of no revision: whether it was applied is to be found out
		}
		l.note(status)
		if status == 200 {
			l.answers.add(l.w.Now() - sent)
		}
		if b.over {
			return
		}
		switch status {
		case 200:
			l.applied(b, out.Ledger)
		case 409:
			if b.doubt {
				l.settle(b)
				return
			}
			l.conflict(b, out.Failed)
		case 400:
			if b.doubt && !strings.Contains(out.Error, "lease") && !strings.Contains(out.Error, "permit") {
				l.settle(b)
				return
			}
			slog.Error("state: transaction refused", "err", out.Error, "first", b.txn.Apply[0].Put)
			if out.Error != "" && strings.Contains(out.Error, "no such") {
				l.Grant.lost()
			}
			l.conflict(b, nil)
		case 429, 503: // not executed
			if b.doubt {
				l.w.After(l.retry(), func() { l.send(b) })
				return
			}
			l.pauseTo = l.w.Now() + l.retry()
			l.inFlight--
			for i := len(b.writes) - 1; i >= 0; i-- { // to be built anew
				if w := b.writes[i]; status != 503 || w.Refused == nil || !w.Refused() {
					l.queue[Urgent] = append([]*Write{w}, l.queue[Urgent]...)
				}
			}
			l.again(l.retry())
		default:
			// It may have been applied or may be yet. The same conditions
			// hold for the second copy, so at most one of the two takes
			// effect; the nonce tells whether one has.
			b.doubt = true
			l.w.After(l.retry(), func() { l.send(b) })
		}
	})
	if d, ok := l.answers.late(); ok && b.put() != "" {
		l.w.After(d, func() {
			if !answered && !b.over {
				l.look(b)
			}
		})
	}
}

// put is a key that the batch writes; none if it only deletes.
func (b *batch) put() string {
	i := slices.IndexFunc(b.txn.Apply, func(o wire.Op) bool { return o.Put != "" })
	if i < 0 {
		return ""
	}
	return b.txn.Apply[i].Put
}

// read tells whether what the batch writes is stored; status 0, 429 and 503: not
// known. A value that is not the batch's proves nothing while it is under way.
func (l *Ledger) read(b *batch, done func(status int, stored bool, stamp uint64)) {
	l.Fetch(b.put(), func(status int, value []byte, stamp uint64) {
		var v struct {
			W string `cbor:"w"`
		}
		done(status, status == 200 && wire.Decode(value, &v) == nil && v.W == b.nonce, stamp)
	})
}

// settle finds out whether a doubtful batch was applied.
func (l *Ledger) settle(b *batch) {
	if b.put() == "" {
		l.conflict(b, nil)
		return
	}
	l.read(b, func(status int, stored bool, stamp uint64) {
		switch {
		case b.over:
		case stored:
			l.applied(b, stamp)
		case status == 200 || status == 404:
			l.conflict(b, nil)
		default:
			l.w.After(l.retry(), func() { l.settle(b) })
		}
	})
}

func (l *Ledger) applied(b *batch, stamp uint64) {
	b.over = true
	l.inFlight--
	for _, o := range b.txn.Apply {
		key := o.Put + o.Delete
		// What the cache has passed it knows better than an answer that comes late: a
		// key that is not there any more was deleted since. (A chunk's move, its answer
		// held up, and the job called off by then through another controller: the answer
		// put the job back into this one's cache, for good, where it was started again.)
		if !strings.HasPrefix(key, Root) || l.cache[key].Stamp >= stamp || l.loaded && stamp <= l.rev {
			continue
		}
		if o.Put != "" {
			l.cache[key] = Entry{o.Value, stamp, o.Lease}
		} else {
			delete(l.cache, key)
			if stamp > l.rev {
				l.gone[key] = stamp
			}
		}
		if l.loaded {
			l.change(key, o.Value)
		}
	}
	for _, w := range b.writes {
		w.Done(true, stamp)
	}
	l.pump()
}

// conflict: none of the batch was applied. A lone write is told so, once the
// cache shows why. Of several, those whose conditions failed are tried again
// one by one; their company goes back to where it waited. (One stale write
// among twenty would otherwise cost twenty transactions.)
func (l *Ledger) conflict(b *batch, failed []string) {
	l.inFlight--
	if len(b.writes) > 1 {
		for i := len(b.writes) - 1; i >= 0; i-- {
			w, u := b.writes[i], b.writes[i].urgency
			if len(failed) == 0 || slices.ContainsFunc(b.conds[i], func(c wire.Cond) bool { return slices.Contains(failed, c.Key) }) {
				w.tries++
				u = Urgent
			}
			l.queue[u] = append([]*Write{w}, l.queue[u]...)
		}
		l.pump()
		return
	}
	w := b.writes[0]
	l.tell(w)
	l.pump()
}

// tell says that w was not applied, but not before the cache shows why: an
// owner that goes on with what it knew before could act on what is no longer
// its own.
func (l *Ledger) tell(w *Write) {
	l.Prove(func(ok bool) {
		if !ok {
			l.w.After(l.retry(), func() { l.tell(w) })
			return
		}
		w.Done(false, 0)
	})
}
