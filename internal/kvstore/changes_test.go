package kvstore

import (
	"errors"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Answers to a question for changes that cannot be one are taken for none.
func TestInvalidChangesRejected(t *testing.T) {
	validEvents := []protocol.Change{{Put: "a/j/x", Value: protocol.Encode(1), Revision: 12}}
	for _, test := range []struct {
		name    string
		changes protocol.ChangeLog
		isValid bool
	}{
		{"valid", protocol.ChangeLog{StoreRevision: 12, Changes: validEvents}, true},
		{"nothing new", protocol.ChangeLog{StoreRevision: 10}, true},
		{"no revision", protocol.ChangeLog{}, false},
		{"no revision, with events", protocol.ChangeLog{Changes: validEvents}, false},
		{"a revision that goes back", protocol.ChangeLog{StoreRevision: 9}, false},
		{"an event from before", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Delete: "a/j/x", Revision: 10}}}, false},
		{"an event later than the revision", protocol.ChangeLog{StoreRevision: 11, Changes: validEvents}, false},
		{"an event of no key", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Revision: 12}}}, false},
		{"an event of two keys", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Put: "a/j/x", Delete: "a/j/y", Revision: 12}}}, false},
		{"an event of a key that is not cached", protocol.ChangeLog{StoreRevision: 12, Changes: []protocol.Change{{Delete: "b/j/x", Revision: 12}}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := validateChanges(&test.changes, 10)
			if test.isValid && err != nil {
				t.Errorf("error %v, want none", err)
			}
			if !test.isValid && !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("error %v, want %v", err, ErrUnknownOutcome)
			}
		})
	}
}

// An answer without a revision neither proves that the cache is current nor changes it.
func TestSyncIgnoresInvalidAnswer(t *testing.T) {
	service, store := newTestStore(nil)
	store.isLoaded, store.revision, store.currentAsOf = true, 10, service.Now()
	before := store.currentAsOf
	service.changes = func() protocol.ChangeLog { return protocol.ChangeLog{} }
	service.clock += time.Second
	var told []bool
	store.Sync(func(isCurrent bool) { told = append(told, isCurrent) })
	service.runTimers()
	if !slices.Equal(told, []bool{false}) {
		t.Errorf("the caller was told %v, want once that the cache is not current", told)
	}
	if store.currentAsOf != before || store.revision != 10 {
		t.Errorf("the cache is current as of %v later, at revision %d; want no change from revision 10",
			store.currentAsOf-before, store.revision)
	}
}
