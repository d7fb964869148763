package kvstore

import (
	"testing"
	"time"
)

// Only silence and a service without quorum count as failing; users are turned away once
// that has lasted for a while.
func TestHealth(t *testing.T) {
	for _, test := range []struct {
		name      string
		err       error
		isFailing bool
	}{
		{"answered", nil, false},
		{"no answer", ErrUnknownOutcome, true},
		{"no quorum", ErrUnavailable, true},
		{"throttled", ErrThrottled, false},
		{"conflict", ErrConflict, false},
		{"unexpected status", ErrUnexpectedStatus, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, store := newTestStore(nil)
			store.isLoaded = true
			store.recordOutcome(test.err)
			if store.IsUnavailable() {
				t.Error("unavailable at once, want not before it has lasted for a while")
			}
			service.clock += unavailableAfter + time.Millisecond
			if got := store.IsUnavailable(); got != test.isFailing {
				t.Errorf("unavailable %v later: %v, want %v", unavailableAfter, got, test.isFailing)
			}
			store.recordOutcome(nil)
			if want := (Health{LastAnsweredAt: service.Now()}); store.Health() != want {
				t.Errorf("after an answer: %+v, want %+v", store.Health(), want)
			}
		})
	}
}

func TestUnavailableUntilLoaded(t *testing.T) {
	_, store := newTestStore(nil)
	if !store.IsUnavailable() {
		t.Error("available without a cache")
	}
}
