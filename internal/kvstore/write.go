package kvstore

import (
	"time"

	"curlewspool/internal/protocol"
)

// maxBatchesInFlight is the maximum number of unanswered transactions.
const maxBatchesInFlight = 3

// WriteRequest is an atomic group of mutations. Its conditions and values are computed when it is
// sent, so a queued request never carries an outdated revision or value.
type WriteRequest struct {
	// Build returns the conditions and mutations. Every written key must have a condition;
	// otherwise a delayed copy of the transaction could undo a newer one. Every value must
	// contain the nonce (CBOR field "w"), by which the transaction is recognized. If Build returns
	// no mutations, the request is cancelled and Done is called with false.
	Build func(nonce string) ([]protocol.Condition, []protocol.Mutation)
	// Done is called when the outcome is known. If applied is true, the mutations were applied in
	// the given revision. If applied is false, they have not been applied and never will be.
	Done func(applied bool, revision uint64)
	// ShouldAbandon, if set, is called when the service has no quorum (503). If it returns true,
	// the request, which was not applied, is dropped without a call of Done.
	ShouldAbandon func() bool

	batchConflicts int // number of failed batches of several requests in which this request may have had the failed condition; if above 0, it is sent alone
	priority       Priority
}

// Priority determines the order in which queued writes are sent.
type Priority int

// Priorities, the highest first.
const (
	PriorityHigh   Priority = iota // ownership, accepted jobs, cancellations, job outcomes
	PriorityNormal                 // task starts
	PriorityLow                    // other progress of jobs

	// PriorityCount is the number of priorities above.
	PriorityCount = iota
)

// writeQueues holds the queued requests of each priority, in the order in which they are sent.
type writeQueues [PriorityCount][]*WriteRequest

// length returns the number of queued requests of all priorities.
func (q *writeQueues) length() int {
	count := 0
	for _, queue := range q {
		count += len(queue)
	}
	return count
}

// pushBack adds a request at the end of the queue of a priority.
func (q *writeQueues) pushBack(priority Priority, request *WriteRequest) {
	q[priority] = append(q[priority], request)
}

// pushFront adds requests at the front of the queue of a priority.
func (q *writeQueues) pushFront(priority Priority, requests ...*WriteRequest) {
	q[priority] = append(requests, q[priority]...)
}

// takeAll returns all requests of a priority and empties its queue.
func (q *writeQueues) takeAll(priority Priority) []*WriteRequest {
	requests := q[priority]
	q[priority] = nil
	return requests
}

// QueuedWrites returns the number of queued writes.
func (s *Store) QueuedWrites() int { return s.queues.length() }

// HasBacklog reports whether sending the queued writes would take at least the given number of
// seconds at the rate of the write budget, if each write has one mutation.
func (s *Store) HasBacklog(seconds float64) bool {
	return float64(s.QueuedWrites()) >= seconds*s.budget.rate
}

// Write queues a request. It is sent after the current callback of the event loop has returned, so
// that requests queued by one callback can be committed in one transaction.
func (s *Store) Write(priority Priority, request *WriteRequest) {
	request.priority = priority
	s.queues.pushBack(priority, request)
	s.scheduleSend(0)
}

// scheduleSend sends queued writes after a delay, unless a send is scheduled already.
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

// sendQueued sends queued writes in batches, as far as the write budget and maxBatchesInFlight
// allow.
func (s *Store) sendQueued() {
	for s.batchesInFlight < maxBatchesInFlight && s.QueuedWrites() > 0 {
		now := s.env.Now()
		if now < s.pausedUntil {
			s.scheduleSend(s.pausedUntil - now)
			return
		}
		s.budget.refill(now)
		b := s.buildBatch()
		if b == nil {
			if s.QueuedWrites() > 0 {
				s.scheduleSend(s.budget.timePerMutation())
			}
			return
		}
		s.batchesInFlight++
		s.sendBatch(b)
	}
}
