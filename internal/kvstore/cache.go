package kvstore

import (
	"fmt"
	"log/slog"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// This file keeps the cache current: loaded page by page, fed by a watch of changes, and
// proven by a question for the changes that is newer than what is to be proven.

func (s *Store) loadPage(since string, first bool) {
	out := &protocol.EntryList{}
	path := "/store?under=" + CachedPrefix + "&limit=1000"
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	s.env.Call(s.address, "GET", path, nil, out, requestTimeout, func(status int) {
		if status != 200 || out.StoreRevision == 0 && len(out.Entries) > 0 {
			s.env.After(s.retryDelay(), func() { s.loadPage(since, first) })
			return
		}
		if first {
			s.revision = out.StoreRevision
			s.cache = map[string]Entry{}
		}
		for _, e := range out.Entries {
			s.cache[e.Key] = Entry{e.Value, e.Revision, e.Lease}
		}
		if out.Truncated && len(out.Entries) > 0 {
			s.loadPage(out.Entries[len(out.Entries)-1].Key, false)
			return
		}
		// Pages are from different moments: the changes since the first one
		// are replayed before anything is believed.
		s.replayChanges()
	})
}

func (s *Store) replayChanges() {
	sent, since := s.env.Now(), s.revision
	out := &protocol.ChangeLog{}
	s.env.Call(s.address, "GET", s.changesPath(0), nil, out, requestTimeout, func(status int) {
		status = checkChanges(status, out, since)
		if status == 410 {
			s.loadPage("", true)
			return
		}
		if status != 200 {
			s.env.After(s.retryDelay(), s.replayChanges)
			return
		}
		s.applyChanges(out)
		s.isLoaded, s.currentAsOf = true, sent
		for _, k := range slices.Sorted(maps.Keys(s.cache)) {
			s.onChange(k, s.cache[k].Value)
		}
		s.onChange("", nil)
		s.watch()
	})
}

func (s *Store) changesPath(hold time.Duration) string {
	return fmt.Sprintf("/changes?under=%s&since=%d&holdMs=%d", CachedPrefix, s.revision, hold.Milliseconds())
}

// checkChanges is the status of an answer to a question for the changes since a revision; 0,
// as of no answer, if it cannot be one: without a revision or with one that goes back
// it proves nothing of the cache's age, and an event that names no key of ours, or is
// of no revision in between, would put into the cache what is nowhere.
func checkChanges(status int, c *protocol.ChangeLog, since uint64) int {
	if status != 200 {
		return status
	}
	ok := c.StoreRevision >= since
	for _, e := range c.Changes {
		ok = ok && (e.Put == "") != (e.Delete == "") && strings.HasPrefix(e.Put+e.Delete, CachedPrefix) && e.Revision > since && e.Revision <= c.StoreRevision
	}
	if !ok {
		slog.Error("state: changes make no sense", "since", since, "ledger", c.StoreRevision, "events", len(c.Changes))
		return 0
	}
	return 200
}

// applyChanges applies what is newer than the cache.
func (s *Store) applyChanges(c *protocol.ChangeLog) {
	if c.StoreRevision <= s.revision {
		return
	}
	for _, e := range c.Changes {
		if e.Revision <= s.revision {
			continue
		}
		key := e.Put + e.Delete
		if old, ok := s.cache[key]; ok && old.Revision >= e.Revision {
			continue // our own write, known already
		}
		if s.deletedAt[key] >= e.Revision {
			continue
		}
		var value []byte // of a deletion none, even if the event holds a null
		if e.Put != "" {
			value = e.Value
			s.cache[key] = Entry{Value: e.Value, Revision: e.Revision}
		} else {
			delete(s.cache, key)
		}
		if s.isLoaded {
			s.onChange(key, value)
		}
	}
	s.revision = c.StoreRevision
	for k, deletedAt := range s.deletedAt {
		if deletedAt <= s.revision {
			delete(s.deletedAt, k)
		}
	}
	if s.isLoaded {
		s.onChange("", nil)
	}
}

// reload throws the cache away: the service no longer keeps the changes. What
// was deleted meanwhile is not known, so the owner starts from nothing.
func (s *Store) reload() {
	if !s.isLoaded {
		return
	}
	s.isLoaded = false
	s.OnReset()
	s.loadPage("", true)
}

func (s *Store) watch() {
	if s.isWatching || !s.isLoaded {
		return
	}
	s.isWatching = true
	sent, since := s.env.Now(), s.revision
	hold := 10 * time.Second
	out := &protocol.ChangeLog{}
	s.env.Call(s.address, "GET", s.changesPath(hold), nil, out, hold+requestTimeout, func(status int) {
		s.isWatching = false
		if !s.isLoaded {
			return
		}
		switch checkChanges(status, out, since) {
		case 200:
			s.applyChanges(out)
			s.currentAsOf = max(s.currentAsOf, sent)
			s.env.After(s.syncInterval(), s.watch)
		case 410:
			s.reload()
		default:
			s.env.After(s.retryDelay(), s.watch)
		}
	})
}

// Sync calls f once an answer asked for after now has brought the cache up
// to date; f(false) if none came in time.
func (s *Store) Sync(f func(ok bool)) {
	s.syncWaiters = append(s.syncWaiters, f)
	s.startSync()
}

// Refresh asks for the newest changes without waiting for the watch.
func (s *Store) Refresh() { s.Sync(func(bool) {}) }

func (s *Store) startSync() {
	if s.isSyncing || s.isSyncScheduled || len(s.syncWaiters) == 0 {
		return
	}
	if !s.isLoaded {
		s.failSyncWaiters(s.takeSyncWaiters())
		return
	}
	if wait := s.lastSyncAt + s.syncInterval() - s.env.Now(); wait > 0 {
		s.isSyncScheduled = true
		s.env.After(wait, func() { s.isSyncScheduled = false; s.startSync() })
		return
	}
	s.isSyncing = true
	s.lastSyncAt = s.env.Now()
	sent, since := s.lastSyncAt, s.revision
	askers := s.takeSyncWaiters()
	out := &protocol.ChangeLog{}
	s.env.Call(s.address, "GET", s.changesPath(0), nil, out, requestTimeout*3/4, func(status int) {
		status = checkChanges(status, out, since)
		s.recordStatus(status)
		s.isSyncing = false
		switch {
		case !s.isLoaded:
			s.failSyncWaiters(askers)
		case status == 200:
			s.applyChanges(out)
			s.currentAsOf = max(s.currentAsOf, sent)
			for _, f := range askers {
				f(true)
			}
		case status == 410:
			s.failSyncWaiters(askers)
			s.reload()
		default:
			s.failSyncWaiters(askers)
		}
		s.startSync()
	})
}

func (s *Store) takeSyncWaiters() []func(bool) {
	a := s.syncWaiters
	s.syncWaiters = nil
	return a
}

func (s *Store) failSyncWaiters(a []func(bool)) {
	for _, f := range a {
		f(false)
	}
}
