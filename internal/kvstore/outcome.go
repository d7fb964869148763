package kvstore

import (
	"log/slog"
	"slices"
	"strings"

	"curlewspool/internal/protocol"
)

// This file sends transactions and finds out what became of them.

func (s *Store) sendBatch(b *batch) {
	if b.isResolved {
		return
	}
	out, sent, answered := &protocol.TransactionResult{}, s.env.Now(), false
	s.env.Call(s.address, "POST", "/multi", b.transaction, out, requestTimeout, func(status int) {
		answered = true
		if status == 200 && out.StoreRevision == 0 {
			status = 0 // of no revision: whether it was applied is to be found out
		}
		s.recordStatus(status)
		if status == 200 {
			s.latency.observe(s.env.Now() - sent)
		}
		if b.isResolved {
			return
		}
		switch status {
		case 200:
			s.handleApplied(b, out.StoreRevision)
		case 409:
			if b.isOutcomeUnknown {
				s.resolveOutcome(b)
				return
			}
			s.handleConflict(b, out.FailedKeys)
		case 400:
			if b.isOutcomeUnknown && !strings.Contains(out.Error, "lease") && !strings.Contains(out.Error, "permit") {
				s.resolveOutcome(b)
				return
			}
			slog.Error("state: transaction refused", "err", out.Error, "first", b.transaction.Mutations[0].Put)
			if out.Error != "" && strings.Contains(out.Error, "no such") {
				s.Lease.handleLost()
			}
			s.handleConflict(b, nil)
		case 429, 503: // not executed
			if b.isOutcomeUnknown {
				s.env.After(s.retryDelay(), func() { s.sendBatch(b) })
				return
			}
			s.pausedUntil = s.env.Now() + s.retryDelay()
			s.batchesInFlight--
			for i := len(b.writes) - 1; i >= 0; i-- { // to be built anew
				if w := b.writes[i]; status != 503 || w.ShouldAbandon == nil || !w.ShouldAbandon() {
					s.queues[PriorityHigh] = append([]*WriteRequest{w}, s.queues[PriorityHigh]...)
				}
			}
			s.scheduleSend(s.retryDelay())
		default:
			// It may have been applied or may be yet. The same conditions
			// hold for the second copy, so at most one of the two takes
			// effect; the nonce tells whether one has.
			b.isOutcomeUnknown = true
			s.env.After(s.retryDelay(), func() { s.sendBatch(b) })
		}
	})
	if d, ok := s.latency.lateAfter(); ok && b.firstPutKey() != "" {
		s.env.After(d, func() {
			if !answered && !b.isResolved {
				s.checkStored(b)
			}
		})
	}
}

// firstPutKey is a key that the batch writes; none if it only deletes.
func (b *batch) firstPutKey() string {
	i := slices.IndexFunc(b.transaction.Mutations, func(o protocol.Mutation) bool { return o.Put != "" })
	if i < 0 {
		return ""
	}
	return b.transaction.Mutations[i].Put
}

// readStored tells whether what the batch writes is stored; status 0, 429 and 503: not
// known. A value that is not the batch's proves nothing while it is under way.
func (s *Store) readStored(b *batch, done func(status int, stored bool, stamp uint64)) {
	s.Fetch(b.firstPutKey(), func(status int, value []byte, stamp uint64) {
		var v struct {
			W string `cbor:"w"`
		}
		done(status, status == 200 && protocol.Decode(value, &v) == nil && v.W == b.nonce, stamp)
	})
}

// resolveOutcome finds out whether a doubtful batch was applied.
func (s *Store) resolveOutcome(b *batch) {
	if b.firstPutKey() == "" {
		s.handleConflict(b, nil)
		return
	}
	s.readStored(b, func(status int, stored bool, stamp uint64) {
		switch {
		case b.isResolved:
		case stored:
			s.handleApplied(b, stamp)
		case status == 200 || status == 404:
			s.handleConflict(b, nil)
		default:
			s.env.After(s.retryDelay(), func() { s.resolveOutcome(b) })
		}
	})
}

func (s *Store) handleApplied(b *batch, stamp uint64) {
	b.isResolved = true
	s.batchesInFlight--
	for _, o := range b.transaction.Mutations {
		key := o.Put + o.Delete
		// What the cache has passed it knows better than an answer that comes late: a
		// key that is not there any more was deleted since. (A chunk's move, its answer
		// held up, and the job called off by then through another controller: the answer
		// put the job back into this one's cache, for good, where it was started again.)
		if !strings.HasPrefix(key, CachedPrefix) || s.cache[key].Revision >= stamp || s.isLoaded && stamp <= s.revision {
			continue
		}
		if o.Put != "" {
			s.cache[key] = Entry{o.Value, stamp, o.Lease}
		} else {
			delete(s.cache, key)
			if stamp > s.revision {
				s.deletedAt[key] = stamp
			}
		}
		if s.isLoaded {
			s.onChange(key, o.Value)
		}
	}
	if s.isLoaded {
		s.onChange("", nil)
	}
	for _, w := range b.writes {
		w.Done(true, stamp)
	}
	s.sendQueued()
}

// handleConflict: none of the batch was applied. A lone write is told so, once the
// cache shows why. Of several, those whose conditions failed are tried again
// one by one; their company goes back to where it waited. (One stale write
// among twenty would otherwise cost twenty transactions.)
func (s *Store) handleConflict(b *batch, failed []string) {
	s.batchesInFlight--
	if len(b.writes) > 1 {
		for i := len(b.writes) - 1; i >= 0; i-- {
			w, u := b.writes[i], b.writes[i].priority
			if len(failed) == 0 || slices.ContainsFunc(b.conditions[i], func(c protocol.Condition) bool { return slices.Contains(failed, c.Key) }) {
				w.conflicts++
				u = PriorityHigh
			}
			s.queues[u] = append([]*WriteRequest{w}, s.queues[u]...)
		}
		s.sendQueued()
		return
	}
	w := b.writes[0]
	s.reportNotApplied(w)
	s.sendQueued()
}

// reportNotApplied says that w was not applied, but not before the cache shows why: an
// owner that goes on with what it knew before could act on what is no longer
// its own.
func (s *Store) reportNotApplied(w *WriteRequest) {
	s.Sync(func(ok bool) {
		if !ok {
			s.env.After(s.retryDelay(), func() { s.reportNotApplied(w) })
			return
		}
		w.Done(false, 0)
	})
}
