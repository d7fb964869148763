package kvstore

import (
	"fmt"
	"slices"

	"curlewspool/internal/protocol"
)

const (
	// maxBatchBytes keeps a transaction's body below the service's size limit.
	maxBatchBytes = 60 << 10
	// maxConditionsPerMutation, multiplied by the limit on mutations, is the limit on the
	// conditions of a transaction.
	maxConditionsPerMutation = 4
	// mutationOverhead and conditionOverhead are upper bounds of the encoded size of a mutation
	// or a condition without its key and value.
	mutationOverhead  = 64
	conditionOverhead = 40
)

// batch is a transaction that combines the mutations of several write requests.
type batch struct {
	requests    []*WriteRequest
	conditions  [][]protocol.Condition // conditions of each request, in the order of requests
	transaction *protocol.Transaction
	nonce       string

	expected map[string]uint64 // revision that the conditions require, by key
	written  map[string]bool   // keys of all mutations
	bytes    int               // upper bound of the encoded transaction's size

	isOutcomeUnknown bool // a copy sent earlier may have been applied, or may still be applied
	isResolved       bool // the batch is known to be applied; later answers are ignored
}

// candidate is a write request with the conditions and mutations that it would add to a batch.
type candidate struct {
	request    *WriteRequest
	conditions []protocol.Condition
	mutations  []protocol.Mutation
	bytes      int
}

// mutationKey returns the key that a mutation writes or deletes.
func mutationKey(mutation *protocol.Mutation) string { return mutation.Put + mutation.Delete }

// newCandidate has the request build its conditions and mutations and estimates their size.
func newCandidate(request *WriteRequest, nonce string) candidate {
	c := candidate{request: request}
	c.conditions, c.mutations = request.Build(nonce)
	for i := range c.mutations {
		mutation := &c.mutations[i]
		c.bytes += 2*len(mutation.Value) + len(mutationKey(mutation)) + mutationOverhead
	}
	for _, condition := range c.conditions {
		c.bytes += len(condition.Key) + conditionOverhead
	}
	return c
}

// conflictsWith reports whether a candidate cannot be in the same transaction as the batch's
// requests. This is the case if the candidate and the batch require different revisions of a key or
// write the same key.
func (b *batch) conflictsWith(c *candidate) bool {
	for _, condition := range c.conditions {
		if revision, ok := b.expected[condition.Key]; ok && revision != condition.Revision {
			return true
		}
	}
	for i := range c.mutations {
		if b.written[mutationKey(&c.mutations[i])] {
			return true
		}
	}
	return false
}

// hasCapacityFor reports whether the batch stays within the limits of a transaction if the
// candidate is added.
func (b *batch) hasCapacityFor(c *candidate, maxMutations int) bool {
	mutations := len(b.transaction.Mutations) + len(c.mutations)
	conditions := len(b.transaction.Conditions) + len(c.conditions)
	return mutations <= maxMutations &&
		conditions <= maxConditionsPerMutation*maxMutations &&
		b.bytes+c.bytes <= maxBatchBytes
}

// add adds a candidate to the batch.
func (b *batch) add(c *candidate) {
	for _, condition := range c.conditions {
		if _, ok := b.expected[condition.Key]; !ok {
			b.transaction.Conditions = append(b.transaction.Conditions, condition)
		}
		b.expected[condition.Key] = condition.Revision
	}
	for i := range c.mutations {
		b.written[mutationKey(&c.mutations[i])] = true
	}
	b.transaction.Mutations = append(b.transaction.Mutations, c.mutations...)
	b.requests = append(b.requests, c.request)
	b.conditions = append(b.conditions, c.conditions)
	b.bytes += c.bytes
}

// firstPutKey returns the first key that the batch writes, or "" if the batch only deletes keys.
func (b *batch) firstPutKey() string {
	isPut := func(mutation protocol.Mutation) bool { return mutation.Put != "" }
	i := slices.IndexFunc(b.transaction.Mutations, isPut)
	if i < 0 {
		return ""
	}
	return b.transaction.Mutations[i].Put
}

// buildBatch builds a batch from the queued requests, the highest priority first. It returns nil
// if nothing can be sent now.
func (s *Store) buildBatch() *batch {
	s.batchesBuilt++
	b := &batch{
		nonce:       fmt.Sprintf("%s.%d", s.processNonce, s.batchesBuilt),
		transaction: &protocol.Transaction{},
		expected:    map[string]uint64{},
		written:     map[string]bool{},
	}
	for priority := PriorityHigh; priority < PriorityCount; priority++ {
		if isComplete := s.fillBatch(b, priority); isComplete {
			break
		}
	}
	if len(b.requests) == 0 {
		return nil
	}
	return b
}

// fillBatch moves queued requests of one priority into a batch. It returns true if the batch is to
// be sent without requests of lower priority. A request that may have caused an earlier batch to
// fail is sent in a batch of its own.
func (s *Store) fillBatch(b *batch, priority Priority) (isComplete bool) {
	// A call of Done below may queue another request. The queue is emptied first, so that the
	// new request is not overwritten when the remaining ones are put back.
	queued := s.queues.takeAll(priority)
	var remaining []*WriteRequest
	isSentAlone := false
	for i, request := range queued {
		isFirst := len(b.requests) == 0
		mustBeAlone := request.batchConflicts > 0
		if mustBeAlone && !isFirst {
			remaining = append(remaining, request)
			continue
		}
		c := newCandidate(request, b.nonce)
		if len(c.mutations) == 0 {
			request.Done(false, 0)
			continue
		}
		if !s.canAdd(b, &c, priority) {
			remaining = append(remaining, queued[i:]...)
			break
		}
		s.budget.spend(len(c.mutations))
		b.add(&c)
		if mustBeAlone {
			remaining = append(remaining, queued[i+1:]...)
			isSentAlone = true
			break
		}
	}
	s.queues.pushFront(priority, remaining...)
	return isSentAlone || len(remaining) > 0 && len(b.requests) > 0
}

// canAdd reports whether a candidate of the given priority may be added to a batch: it does not
// conflict with the batch, and the transaction limits and the write budget allow it.
func (s *Store) canAdd(b *batch, c *candidate, priority Priority) bool {
	isFirst := len(b.requests) == 0
	return !b.conflictsWith(c) &&
		b.hasCapacityFor(c, s.limits.MutationsPerTransaction) &&
		s.budget.allows(priority, len(c.mutations), isFirst)
}
