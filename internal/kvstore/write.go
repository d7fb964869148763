package kvstore

import (
	"time"

	"curlewspool/internal/protocol"
)

// WriteRequest is one atomic group of mutations. Its conditions are worked out when it
// is sent, so a waiting request never carries an old revision or value.
type WriteRequest struct {
	// Build gives conditions and mutations; every key written must be among the
	// conditions, or a delayed copy of the transaction could undo a newer one. Values
	// must carry nonce (CBOR field "w"). No mutations: the request is withdrawn.
	Build func(nonce string) ([]protocol.Condition, []protocol.Mutation)
	// Done is called with whether the mutations were applied, and if so in which
	// revision; false: they were not and never will be.
	Done func(applied bool, revision uint64)
	// ShouldAbandon, if given, is asked when the service has no quorum; true gives the
	// request up without a call of Done (it was not applied).
	ShouldAbandon func() bool

	conflicts int // how often it was in a batch of several that failed for it
	priority  Priority
}

// Priority orders waiting writes.
type Priority int

// Priorities, the highest first.
const (
	PriorityHigh   Priority = iota // ownership, accepted jobs, cancellations, ends
	PriorityNormal                 // task starts
	PriorityLow                    // progress

	// PriorityCount is the number of priorities.
	PriorityCount = iota
)

const (
	// maxBatchesInFlight is how many transactions are under way at once.
	maxBatchesInFlight = 3
	// writeRateShare is the part of the service's write limit that controllers plan to use.
	writeRateShare = 0.9
	// busyMembersShare is the part of all controllers that is taken to write at a time.
	busyMembersShare = 0.7
	// lowPriorityReserve is the part of a second's budget that writes of low priority
	// leave to others.
	lowPriorityReserve = 0.25
)

// writeRate is this controller's budget of mutations a second.
func (s *Store) writeRate() float64 {
	return writeRateShare * s.limits.WritesPerSecond / max(1, busyMembersShare*float64(s.limits.Members))
}

// QueuedWrites is the number of writes that wait.
func (s *Store) QueuedWrites() int {
	count := 0
	for _, queue := range s.queues {
		count += len(queue)
	}
	return count
}

// HasBacklog reports whether so many writes wait that they take the budget of the given
// seconds.
func (s *Store) HasBacklog(seconds float64) bool {
	return float64(s.QueuedWrites()) >= seconds*s.writeRate()
}

// Write queues a request. It is sent after the current batch of commands, so that what
// belongs together is committed together.
func (s *Store) Write(priority Priority, request *WriteRequest) {
	request.priority = priority
	s.queues[priority] = append(s.queues[priority], request)
	s.scheduleSend(0)
}

// scheduleSend sends queued writes after a delay, unless that is planned already.
func (s *Store) scheduleSend(delay time.Duration) {
	if s.isSendScheduled {
		return
	}
	s.isSendScheduled = true
	s.env.After(delay, func() {
		s.isSendScheduled = false
		s.sendQueued()
	})
}

// sendQueued sends batches of queued writes as far as the budget allows.
func (s *Store) sendQueued() {
	for s.batchesInFlight < maxBatchesInFlight && s.QueuedWrites() > 0 {
		now := s.env.Now()
		if now < s.pausedUntil {
			s.scheduleSend(s.pausedUntil - now)
			return
		}
		s.refillBudget(now)
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

// refillBudget adds what has accrued since the last call, up to one second's worth.
func (s *Store) refillBudget(now time.Duration) {
	accrued := s.writeRate() * (now - s.budgetUpdatedAt).Seconds()
	s.writeBudget = min(s.writeRate(), s.writeBudget+accrued)
	s.budgetUpdatedAt = now
}

// isWithinBudget reports whether a write of so many mutations may be sent now. Those of
// lower priority leave a part of the budget untouched for higher ones to come; one of
// high priority may overdraw it by a second's worth, and be larger than that if it is
// the first of its batch.
func (s *Store) isWithinBudget(priority Priority, mutations int, isFirst bool) bool {
	rate := s.writeRate()
	floor := [PriorityCount]float64{PriorityHigh: -rate, PriorityNormal: 0, PriorityLow: lowPriorityReserve * rate}[priority]
	if s.writeBudget-float64(mutations) >= floor {
		return true
	}
	return priority == PriorityHigh && isFirst && s.writeBudget > -rate
}

// requeueFirst puts a request before all others of a priority.
func (s *Store) requeueFirst(priority Priority, request *WriteRequest) {
	s.queues[priority] = append([]*WriteRequest{request}, s.queues[priority]...)
}
