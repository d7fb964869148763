package kvstore

import (
	"errors"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"curlewspool/internal/protocol"
)

// pagePath lists the cached keys, a page of 1000 at a time.
const pagePath = "/store?under=" + CachedPrefix + "&limit=1000"

// loadPage fills the cache with the page of keys after the key since; an empty cache with
// the first page.
func (s *Store) loadPage(since string, isFirst bool) {
	path := pagePath
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	page := &protocol.EntryList{}
	s.env.Call(s.address, http.MethodGet, path, nil, page, requestTimeout, func(status int) {
		hasNoRevision := page.StoreRevision == 0 && len(page.Entries) > 0
		if statusError(status) != nil || hasNoRevision {
			s.env.After(s.retryDelay(), func() { s.loadPage(since, isFirst) })
			return
		}
		if isFirst {
			s.revision = page.StoreRevision
			s.cache = map[string]Entry{}
		}
		for _, entry := range page.Entries {
			s.cache[entry.Key] = Entry{Value: entry.Value, Revision: entry.Revision, LeaseID: entry.Lease}
		}
		if page.Truncated && len(page.Entries) > 0 {
			s.loadPage(page.Entries[len(page.Entries)-1].Key, false)
			return
		}
		s.replayChanges()
	})
}

// replayChanges finishes a load. Its pages are from different moments, so the changes
// since the first one are replayed before anything is believed.
func (s *Store) replayChanges() {
	sentAt := s.env.Now()
	s.fetchChanges(0, requestTimeout, func(changes *protocol.ChangeLog, err error) {
		if errors.Is(err, ErrCompacted) {
			s.loadPage("", true)
			return
		}
		if err != nil {
			s.env.After(s.retryDelay(), s.replayChanges)
			return
		}
		s.applyChanges(changes)
		s.isLoaded = true
		s.currentAsOf = sentAt
		for _, key := range slices.Sorted(maps.Keys(s.cache)) {
			s.onChange(key, s.cache[key].Value)
		}
		s.onChange("", nil)
		s.watch()
	})
}

// reload drops the cache, as the service no longer keeps the changes since. What was
// deleted meanwhile is not known, so the owner starts from nothing.
func (s *Store) reload() {
	if !s.isLoaded {
		return
	}
	s.isLoaded = false
	s.OnReset()
	s.loadPage("", true)
}
