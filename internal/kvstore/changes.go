package kvstore

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// watchHold is how long the service may delay the answer to a watch request while there is no
// change (long polling).
const watchHold = 10 * time.Second

// watch keeps one long-polling request for changes open, so that the cache follows the service.
func (s *Store) watch() {
	if s.isWatching || !s.isLoaded {
		return
	}
	s.isWatching = true
	sentAt := s.env.Now()
	s.fetchChanges(watchHold, watchHold+requestTimeout, func(changes *protocol.ChangeLog, err error) {
		s.isWatching = false
		switch {
		case !s.isLoaded:
		case err == nil:
			s.applyChanges(changes)
			s.currentAsOf = max(s.currentAsOf, sentAt)
			s.env.After(s.syncInterval(), s.watch)
		case errors.Is(err, ErrCompacted):
			s.reload()
		default:
			s.env.After(s.retryDelay(), s.watch)
		}
	})
}

// fetchChanges requests the changes after the cache's revision. The service may delay its answer by
// up to hold while there are no such changes.
func (s *Store) fetchChanges(hold, timeout time.Duration, done func(changes *protocol.ChangeLog, err error)) {
	since := s.revision
	path := fmt.Sprintf("/changes?under=%s&since=%d&holdMs=%d", CachedPrefix, since, hold.Milliseconds())
	changes := &protocol.ChangeLog{}
	s.env.Call(s.address, http.MethodGet, path, nil, changes, timeout, func(status int) {
		err := statusError(status)
		if err == nil {
			err = validateChanges(changes, since)
		}
		done(changes, err)
	})
}

// validateChanges checks the answer to a request for the changes since a revision. If the answer is
// invalid, it returns ErrUnknownOutcome, as if no answer had come. There are two reasons for the
// check. First, an answer does not prove that the cache is current if it has no revision or a
// revision before since. Second, a change of a key outside CachedPrefix, or with a revision outside
// the requested range, would put an entry into the cache that is not stored in the service.
func validateChanges(changes *protocol.ChangeLog, since uint64) error {
	isValid := changes.StoreRevision >= since
	for i := range changes.Changes {
		isValid = isValid && isValidChange(&changes.Changes[i], since, changes.StoreRevision)
	}
	if isValid {
		return nil
	}
	slog.Error("kvstore: invalid answer to a request for changes", "since", since, "revision", changes.StoreRevision, "events", len(changes.Changes))
	return ErrUnknownOutcome
}

// isValidChange reports whether a change names exactly one key, which is a cached one, and has a
// revision after since and up to latest.
func isValidChange(change *protocol.Change, since, latest uint64) bool {
	namesOneKey := (change.Put == "") != (change.Delete == "")
	isCached := strings.HasPrefix(change.Put+change.Delete, CachedPrefix)
	return namesOneKey && isCached && change.Revision > since && change.Revision <= latest
}

// applyChanges applies to the cache the changes that it does not contain yet.
func (s *Store) applyChanges(changes *protocol.ChangeLog) {
	if changes.StoreRevision <= s.revision {
		return
	}
	for i := range changes.Changes {
		s.applyChange(&changes.Changes[i])
	}
	s.revision = changes.StoreRevision
	for key, deletedAt := range s.deletedAt {
		if deletedAt <= s.revision {
			delete(s.deletedAt, key)
		}
	}
	if s.isLoaded {
		s.onChange("", nil)
	}
}

// applyChange applies one change to the cache, unless the cache already contains this change or a
// later change of the same key. The cache usually contains this controller's own writes already,
// because they are applied when their answers arrive.
func (s *Store) applyChange(change *protocol.Change) {
	if change.Revision <= s.revision {
		return
	}
	key := change.Put + change.Delete
	if cached, ok := s.cache[key]; ok && cached.Revision >= change.Revision {
		return
	}
	if s.deletedAt[key] >= change.Revision {
		return
	}
	var value []byte // nil for a deletion, even if the change holds an encoded null
	if change.Put != "" {
		value = change.Value
		s.cache[key] = Entry{Value: change.Value, Revision: change.Revision}
	} else {
		delete(s.cache, key)
	}
	if s.isLoaded {
		s.onChange(key, value)
	}
}
