package federation

import (
	"errors"
	"log/slog"
	"net/http"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/shard"
)

// This file accepts leases and tells their states, as the host's leader.

// AcceptLease takes a lease: it is durable before the answer. The request is idempotent.
// Nothing of the lease starts before home has answered a renewal.
func (b *Broker) AcceptLease(from string, request *LeaseRequest, reply Reply) {
	key, reason := checkLeaseRequest(from, request)
	if reason != "" {
		replyProblem(reply, http.StatusBadRequest, reason)
		return
	}
	if b.host.Job(request.ID) != nil {
		reply(http.StatusOK, b.borrowedState(request.ID), 0)
		return
	}
	offer := b.offers[request.Offer]
	if !b.stands(offer, from, request) {
		b.refuseLease(request.ID, reply)
		return
	}
	job := borrowedJob(request.ID, from, &request.Job)
	record := &shard.JobRecord{
		Job:         job,
		AcceptedAt:  b.host.WallSeconds(),
		ChunkSize:   job.Tasks,
		ChunkShards: []int{offer.shard},
		DoneRanges:  shiftRanges(request.Done, 0, job.Tasks),
		Loan:        &shard.Loan{HomeCluster: from, HomeJobID: key.Job, FirstTask: key.FirstTask, LoanNumber: key.Number, TermMillis: request.TermMs},
	}
	if len(protocol.Encode(record)) > b.host.Settings().MostRecord() {
		replyProblem(reply, http.StatusBadRequest, "fields too long")
		return
	}
	b.storeLease(record, offer, reply)
}

// checkLeaseRequest says what is wrong with a request; "" if nothing.
func checkLeaseRequest(from string, request *LeaseRequest) (key remotelease.Key, reason string) {
	key, ok := parseKeyOf(request.ID, from)
	switch {
	case !ok || request.Job.ID != request.ID:
		return key, "the loan's name is not one of its home"
	case request.TermMs < minTermMs || request.TermMs > maxTermMs:
		return key, "term"
	}
	return key, invalidReason(&request.Job)
}

// stands tells whether an offer, which may be nil, still holds capacity for a lease.
func (b *Broker) stands(offer *heldOffer, from string, request *LeaseRequest) bool {
	return offer != nil && !offer.isTaken && offer.home == from && b.host.Now() <= offer.until &&
		request.Job.Tasks <= offer.tasks && b.settings.Partner(from).Lends > 0
}

// refuseLease refuses a lease whose offer does not stand, on proof that no earlier leader
// accepted it.
func (b *Broker) refuseLease(id string, reply Reply) {
	b.host.Store().Sync(func(proven bool) {
		switch {
		case !proven:
			replyUnavailable(reply, reasonStoreUnreachable)
		case b.host.Job(id) != nil:
			reply(http.StatusOK, b.borrowedState(id), 0)
		default:
			b.Counters.RefusedHere++
			replyProblem(reply, http.StatusConflict, "the offer does not stand any more")
		}
	})
}

// storeLease writes the record of a borrowed job, on condition that the job was never
// accepted before.
func (b *Broker) storeLease(record *shard.JobRecord, offer *heldOffer, reply Reply) {
	id := record.Job.ID
	b.host.Store().Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if !b.host.IsLeader() {
				return nil, nil
			}
			record.Nonce = nonce
			conditions := []protocol.Condition{b.host.LeaderCondition(), {Key: shard.JobKey(id)}, {Key: shard.FinalKey(id)}}
			return conditions, []protocol.Mutation{{Put: shard.JobKey(id), Value: protocol.Encode(record)}}
		},
		Done: func(ok bool, _ uint64) {
			if !ok { // known already, or over, or another leader
				replyUnavailable(reply, reasonConflict)
				return
			}
			offer.isTaken = true
			offer.until = b.host.Now() + 2*b.reportInterval() // held until it has started
			b.Counters.Borrowed++
			slog.Info("federation: remote lease accepted", "job", id, "tasks", record.Job.Tasks, "partner", record.Loan.HomeCluster)
			b.recordEvent(id, stepBorrowed, "")
			b.host.AnnounceChange(id)
			reply(http.StatusOK, &LeaseState{Status: StatusQueued}, 0)
		},
		ShouldAbandon: func() bool {
			replyUnavailable(reply, reasonStoreUnreachable)
			return true
		},
	})
}

// maxStateRanges of done tasks are told of a running lease. An answer holds as many leases
// as there are; the rest is told when the lease is over.
const maxStateRanges = 64

// borrowedState is the state of a borrowed job that is live.
func (b *Broker) borrowedState(id string) *LeaseState {
	done, running := b.host.StoredProgress(id)
	state := &LeaseState{Status: StatusQueued, Running: running, Done: done}
	if running > 0 || len(done) > 0 {
		state.Status = StatusRunning
	}
	if len(state.Done) > maxStateRanges {
		state.Done = shard.MergeRanges(maxStateRanges, state.Done)
	}
	return state
}

// finishedLeaseState is the state of a borrowed job that has finished.
func finishedLeaseState(outcome shard.FinalRecord) LeaseState {
	state := LeaseState{Status: StatusFinished, Done: outcome.DoneRanges}
	if outcome.Status == protocol.JobDone {
		state.Done = [][2]int{{0, outcome.Tasks - 1}}
	}
	return state
}

// AnswerStates tells a home the state of its leases, and takes from it which are over or
// wanted back.
func (b *Broker) AnswerStates(from string, request *StatesRequest, reply Reply) {
	if len(request.Leases) > maxLeases || len(request.End) > maxLeases || len(request.Recall) > maxLeases {
		replyProblem(reply, http.StatusBadRequest, "too many loans")
		return
	}
	for _, id := range request.End {
		b.flagForReturn(from, id, true)
	}
	for _, id := range request.Recall {
		b.flagForReturn(from, id, false)
	}
	response := &StatesResponse{States: make([]LeaseState, len(request.Leases))}
	pending, fetches := 1, 0
	finish := func() {
		if pending--; pending == 0 {
			reply(http.StatusOK, response, 0)
		}
	}
	for i, id := range request.Leases {
		if b.knownState(from, id, &response.States[i]) {
			continue
		}
		if fetches >= b.host.Settings().Deployment.State.TxnOps {
			response.States[i].Status = StatusUnavailable
			continue
		}
		fetches++
		pending++
		b.fetchState(id, &response.States[i], finish)
	}
	finish()
}

// knownState sets the state of a lease that is known without asking the store; false: it
// is not.
func (b *Broker) knownState(from, id string, state *LeaseState) bool {
	if _, ok := parseKeyOf(id, from); !ok {
		state.Status = StatusUnknown
		return true
	}
	if b.host.Job(id) != nil {
		*state = *b.borrowedState(id)
		return true
	}
	outcome, finished := b.finished.Get(id)
	if finished {
		*state = finishedLeaseState(outcome)
	}
	return finished
}

// fetchState reads the state of a lease that is not live in the cache, and calls done.
func (b *Broker) fetchState(id string, state *LeaseState, done func()) {
	b.host.Store().Fetch(shard.FinalKey(id), func(entry kvstore.Entry, err error) {
		var outcome shard.FinalRecord
		switch {
		case err == nil && protocol.Decode(entry.Value, &outcome) == nil:
			b.finished.Add(id, outcome)
			*state = finishedLeaseState(outcome)
		case errors.Is(err, kvstore.ErrNotFound):
			b.proveState(id, state, done)
			return
		default:
			state.Status = StatusUnavailable
		}
		done()
	})
}

// proveState sets the state of a lease that has not finished. The cache may be older than
// its acceptance by an earlier leader: without proof home would give up a lease that runs.
func (b *Broker) proveState(id string, state *LeaseState, done func()) {
	b.host.Store().Sync(func(proven bool) {
		switch {
		case !proven:
			state.Status = StatusUnavailable
		case b.host.Job(id) != nil:
			*state = *b.borrowedState(id)
		default:
			state.Status = StatusUnknown
		}
		done()
	})
}

// flagForReturn notes in a borrowed job's record that it is to be given back: at once, or
// if nothing of it has started. The owner of its shard sees it there.
func (b *Broker) flagForReturn(from, id string, atOnce bool) {
	record := b.host.Job(id)
	if _, ok := parseKeyOf(id, from); !ok || record == nil || record.Loan == nil || b.flagging[id] {
		return
	}
	if record.Loan.Ending || !atOnce && record.Loan.Recall {
		return
	}
	b.flagging[id] = true
	b.updateJobRecord(kvstore.PriorityNormal, id, func(record *shard.JobRecord) bool {
		borrowed := *record.Loan
		borrowed.Ending, borrowed.Recall = borrowed.Ending || atOnce, true
		record.Loan = &borrowed
		return true
	}, func(ok bool) {
		delete(b.flagging, id)
		if !ok {
			return
		}
		step := stepRecalled
		if atOnce {
			step = stepEnded
		}
		b.recordEvent(id, step, "")
		b.host.AnnounceChange(id)
	})
}
