package kvstore

import (
	"errors"

	"curlewspool/internal/protocol"
)

// errNotStored means that a key does not hold what a batch wrote. That proves nothing
// while the batch is under way.
var errNotStored = errors.New("kvstore: not stored")

// checkStored reads whether a batch whose answer is late has been applied. If it shows
// so, nothing is waited for; if not, nothing is concluded, as it may be yet. At most
// maxBatchesInFlight batches are under way, each looked for once a send, so this takes few
// requests in an outage too.
func (s *Store) checkStored(b *batch) {
	s.readStored(b, func(revision uint64, err error) {
		if err == nil && !b.isResolved {
			s.handleApplied(b, revision)
		}
	})
}

// resolveOutcome finds out whether a batch was applied that cannot be any more.
func (s *Store) resolveOutcome(b *batch) {
	if b.firstPutKey() == "" {
		s.handleConflict(b, nil)
		return
	}
	s.readStored(b, func(revision uint64, err error) {
		switch {
		case b.isResolved:
		case err == nil:
			s.handleApplied(b, revision)
		case errors.Is(err, errNotStored):
			s.handleConflict(b, nil)
		default:
			s.env.After(s.retryDelay(), func() { s.resolveOutcome(b) })
		}
	})
}

// readStored reads whether what the batch writes is stored, and in which revision. err is
// errNotStored if the key is missing or holds another's value, or any other if it is not
// known.
func (s *Store) readStored(b *batch, done func(revision uint64, err error)) {
	s.Fetch(b.firstPutKey(), func(entry Entry, err error) {
		var stored struct {
			Nonce string `cbor:"w"`
		}
		switch {
		case errors.Is(err, ErrNotFound):
			done(0, errNotStored)
		case err != nil:
			done(0, err)
		case protocol.Decode(entry.Value, &stored) != nil || stored.Nonce != b.nonce:
			done(0, errNotStored)
		default:
			done(entry.Revision, nil)
		}
	})
}
