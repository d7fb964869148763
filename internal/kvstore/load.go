package kvstore

import (
	"errors"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"curlewspool/internal/protocol"
)

// pagePath is the request path for one page of at most 1000 cached keys.
const pagePath = "/store?under=" + CachedPrefix + "&limit=1000"

// loadPage requests the page of keys that follow since and adds it to the cache. Then it loads the
// next page or, after the last one, replays the changes made since the first page. The first page
// replaces the cache's content.
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

// replayChanges completes a load. The pages were read at different revisions, so the changes since
// the first page's revision are applied before the cache is used.
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

// reload drops the cache and loads it anew, because the service no longer keeps the changes after
// the cache's revision. It is not known which keys were deleted in the meantime, so OnReset is called
// to let the code that uses the store discard everything that it derived from the cache.
func (s *Store) reload() {
	if !s.isLoaded {
		return
	}
	s.isLoaded = false
	s.OnReset()
	s.loadPage("", true)
}
