package kvstore

import (
	"errors"

	"curlewspool/internal/protocol"
)

// errNotStored means that a key does not hold the value that a batch writes. This proves nothing
// while the batch is in flight, as the batch may still be applied.
var errNotStored = errors.New("kvstore: key does not hold the written value")

// checkStored reads a written key to find out whether a batch whose answer is late has been applied.
// If the key holds the written value, the batch counts as applied without waiting for the answer.
// Otherwise nothing is concluded, as the batch may still be applied. There is one such read for each
// send of a batch, and at most maxBatchesInFlight batches are in flight, so the number of reads stays
// low even in an outage.
func (s *Store) checkStored(b *batch) {
	s.readStored(b, func(revision uint64, err error) {
		if err == nil && !b.isResolved {
			s.handleApplied(b, revision)
		}
	})
}

// resolveOutcome determines whether an earlier copy of a batch was applied. It is called when the
// service has refused a later copy in such a way that no copy can be applied any more.
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

// readStored reads the batch's first put key to determine whether the batch has been applied, and
// in which revision. err is errNotStored if the key does not exist or holds the value of another
// transaction. After any other error it is not known whether the batch has been applied.
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
