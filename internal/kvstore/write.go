package kvstore

import (
	"fmt"
	"time"

	"curlewspool/internal/protocol"
)

// This file queues writes and groups them into transactions, within the budget of changes.

// WriteRequest is one atomic group of changes. Its conditions are worked out when it
// is sent, so a waiting write never carries an old stamp or value.
type WriteRequest struct {
	// Build gives conditions and changes; every key written must be among
	// the conditions, or a delayed copy of the transaction could undo a newer
	// one. Values must carry nonce (field "w"). No changes: the write is off.
	Build func(nonce string) ([]protocol.Condition, []protocol.Mutation)
	// Done tells whether it was applied; false: it was not and never will be.
	Done func(ok bool, stamp uint64)
	// ShouldAbandon, if given, is told that the service refuses requests for now;
	// true gives the write up (it was not applied).
	ShouldAbandon func() bool
	conflicts     int
	priority      int
}

// Urgency of a write.
const (
	PriorityHigh   = iota // grants, accepts, aborts, ends
	PriorityNormal        // starts
	PriorityLow           // progress
)

func (s *Store) writeRate() float64 {
	return 0.9 * s.limits.WritesPerSecond / max(1, 0.7*float64(s.limits.Members))
}

// QueuedWrites is the number of writes that wait.
func (s *Store) QueuedWrites() int { return len(s.queues[0]) + len(s.queues[1]) + len(s.queues[2]) }

// HasBacklog tells whether writes wait that take the budget of so many seconds.
func (s *Store) HasBacklog(seconds float64) bool {
	return float64(s.QueuedWrites()) >= seconds*s.writeRate()
}

// Write queues a transaction.
func (s *Store) Write(urgency int, w *WriteRequest) {
	w.priority = urgency
	s.queues[urgency] = append(s.queues[urgency], w)
	// Sent after the current batch of commands, so that what belongs
	// together is committed together.
	if !s.isSendScheduled {
		s.isSendScheduled = true
		s.env.After(0, func() { s.isSendScheduled = false; s.sendQueued() })
	}
}

type batch struct {
	writes           []*WriteRequest
	nonce            string
	transaction      *protocol.Transaction
	conditions       [][]protocol.Condition // each write's
	isOutcomeUnknown bool                   // an earlier send may have been, or yet be, applied
	isResolved       bool                   // seen to be applied before its answer came
}

func (s *Store) sendQueued() {
	for s.batchesInFlight < 3 && s.QueuedWrites() > 0 {
		now := s.env.Now()
		if now < s.pausedUntil {
			s.scheduleSend(s.pausedUntil - now)
			return
		}
		s.writeBudget = min(s.writeRate(), s.writeBudget+s.writeRate()*(now-s.budgetUpdatedAt).Seconds())
		s.budgetUpdatedAt = now
		b := s.buildBatch()
		if b == nil {
			if s.QueuedWrites() > 0 {
				s.scheduleSend(time.Duration(float64(time.Second) / s.writeRate()))
			}
			return
		}
		s.batchesInFlight++
		s.sendBatch(b)
	}
}

func (s *Store) scheduleSend(d time.Duration) {
	if s.isSendScheduled {
		return
	}
	s.isSendScheduled = true
	s.env.After(d, func() { s.isSendScheduled = false; s.sendQueued() })
}

// buildBatch fills a batch, urgent writes first. Lesser ones leave a part of
// the budget untouched for urgent ones to come.
func (s *Store) buildBatch() *batch {
	s.batchCount++
	b := &batch{nonce: fmt.Sprintf("%s.%d", s.processNonce, s.batchCount), transaction: &protocol.Transaction{}}
	seen := map[string]uint64{}
	size := 0
	for u := range s.queues {
		floor := []float64{-s.writeRate(), 0, 0.25 * s.writeRate()}[u]
		// Done may queue another write: it must not be lost with the old list.
		var left []*WriteRequest
		queued := s.queues[u]
		s.queues[u] = nil
		for i, w := range queued {
			if len(b.writes) > 0 && w.conflicts > 0 { // a write that failed in company goes alone
				left = append(left, w)
				continue
			}
			conds, ops := w.Build(b.nonce)
			if len(ops) == 0 {
				w.Done(false, 0)
				continue
			}
			sz := 0
			clash := false
			for _, o := range ops {
				sz += 2*len(o.Value) + len(o.Put) + len(o.Delete) + 64
			}
			for _, c := range conds {
				sz += len(c.Key) + 40
				if expected, ok := seen[c.Key]; ok && expected != c.Revision {
					clash = true
				}
			}
			for _, o := range ops {
				if _, ok := seen["w:"+o.Put+o.Delete]; ok {
					clash = true
				}
			}
			if clash || len(b.transaction.Mutations)+len(ops) > s.limits.MutationsPerTransaction || len(b.transaction.Conditions)+len(conds) > 4*s.limits.MutationsPerTransaction ||
				size+sz > 60<<10 || s.writeBudget-float64(len(ops)) < floor && !(u == PriorityHigh && len(b.writes) == 0 && s.writeBudget > -s.writeRate()) {
				left = append(left, queued[i:]...)
				break
			}
			size += sz
			s.writeBudget -= float64(len(ops))
			for _, c := range conds {
				if _, ok := seen[c.Key]; !ok {
					b.transaction.Conditions = append(b.transaction.Conditions, c)
				}
				seen[c.Key] = c.Revision
			}
			for _, o := range ops {
				seen["w:"+o.Put+o.Delete] = 1
			}
			b.conditions = append(b.conditions, conds)
			b.transaction.Mutations = append(b.transaction.Mutations, ops...)
			b.writes = append(b.writes, w)
			if w.conflicts > 0 {
				left = append(left, queued[i+1:]...)
				s.queues[u] = append(left, s.queues[u]...)
				return b
			}
		}
		s.queues[u] = append(left, s.queues[u]...)
		if len(left) > 0 && len(b.writes) > 0 {
			break
		}
	}
	if len(b.writes) == 0 {
		return nil
	}
	return b
}
