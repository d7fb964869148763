package ledger

import (
	"fmt"
	"log/slog"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/wire"
)

// This file keeps the cache current: loaded page by page, fed by a watch of changes, and
// proven by a question for the changes that is newer than what is to be proven.

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
