package federation

import (
	"errors"
	"net/http"

	"curlewspool/internal/httpreply"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// In this file, the host's leader reports the states of hosted jobs to their homes.

// maxStateRanges is the maximum number of ranges of done tasks that are reported for a live remote
// lease. It bounds the size of a response, which may contain many leases. All ranges are reported
// when the lease has finished.
const maxStateRanges = 64

// hostedState returns the state of a live hosted job, from its stored progress.
func (b *Broker) hostedState(id string) *LeaseState {
	done, running := b.controller.StoredProgress(id)
	state := &LeaseState{Status: StatusQueued, Running: running, Done: done}
	if running > 0 || len(done) > 0 {
		state.Status = StatusRunning
	}
	if len(state.Done) > maxStateRanges {
		state.Done = shard.MergeRanges(maxStateRanges, state.Done)
	}
	return state
}

// finishedLeaseState returns the state of a finished hosted job, from its final record.
func finishedLeaseState(outcome shard.FinalRecord) LeaseState {
	state := LeaseState{Status: StatusFinished, Done: outcome.DoneRanges}
	if outcome.Status == protocol.JobDone {
		state.Done = [][2]int{{0, outcome.Tasks - 1}}
	}
	return state
}

// AnswerStates answers a home's request for the states of its remote leases. It also requests the
// release of the leases that the home has ended or recalled.
func (b *Broker) AnswerStates(from string, request *StatesRequest, reply Reply) {
	if len(request.Leases) > maxLeases || len(request.End) > maxLeases || len(request.Recall) > maxLeases {
		httpreply.Reject(reply, http.StatusBadRequest, "too many loans")
		return
	}
	for _, id := range request.End {
		b.requestRelease(from, id, true)
	}
	for _, id := range request.Recall {
		b.requestRelease(from, id, false)
	}
	response := &StatesResponse{States: make([]LeaseState, len(request.Leases))}
	pending, fetches := 1, 0
	finish := func() {
		if pending--; pending == 0 {
			reply(http.StatusOK, response, 0)
		}
	}
	for i, id := range request.Leases {
		if b.cachedState(from, id, &response.States[i]) {
			continue
		}
		if fetches >= b.controller.Settings().Deployment.State.TxnOps {
			response.States[i].Status = StatusUnavailable
			continue
		}
		fetches++
		pending++
		b.fetchState(id, &response.States[i], finish)
	}
	finish()
}

// cachedState sets the state of a remote lease and returns true if the state is known without a
// request to the store.
func (b *Broker) cachedState(from, id string, state *LeaseState) bool {
	if _, ok := parseLeaseID(id, from); !ok {
		state.Status = StatusUnknown
		return true
	}
	if b.controller.Job(id) != nil {
		*state = *b.hostedState(id)
		return true
	}
	outcome, finished := b.finished.Get(id)
	if finished {
		*state = finishedLeaseState(outcome)
	}
	return finished
}

// fetchState reads the outcome of a remote lease from the store, sets the lease's state and calls
// done. The cache must not contain the lease as live.
func (b *Broker) fetchState(id string, state *LeaseState, done func()) {
	b.controller.Store().Fetch(shard.FinalKey(id), func(entry kvstore.Entry, err error) {
		var outcome shard.FinalRecord
		switch {
		case err == nil && protocol.Decode(entry.Value, &outcome) == nil:
			b.finished.Add(id, outcome)
			*state = finishedLeaseState(outcome)
		case errors.Is(err, kvstore.ErrNotFound):
			b.confirmState(id, state, done)
			return
		default:
			state.Status = StatusUnavailable
		}
		done()
	})
}

// confirmState sets the state of a remote lease that has no outcome in the store, and calls done. It
// synchronizes the cache first, because the cache may lack a lease that an earlier leader has
// accepted. Otherwise home could be told that a running lease is unknown, and could give that lease
// up.
func (b *Broker) confirmState(id string, state *LeaseState, done func()) {
	b.controller.Store().Sync(func(isCurrent bool) {
		switch {
		case !isCurrent:
			state.Status = StatusUnavailable
		case b.controller.Job(id) != nil:
			*state = *b.hostedState(id)
		default:
			state.Status = StatusUnknown
		}
		done()
	})
}

// requestRelease sets the flag Recall in the record of a hosted job and, with stopTasks, also the
// flag Ending. The owner of the job's shard then releases the remote lease as soon as no task of
// the job is on a machine. With stopTasks, the owner also stops the running tasks and starts no
// others.
func (b *Broker) requestRelease(from, id string, stopTasks bool) {
	record := b.controller.Job(id)
	if _, ok := parseLeaseID(id, from); !ok || record == nil || record.RemoteLease == nil || b.pendingReleases[id] {
		return
	}
	if record.RemoteLease.Ending || !stopTasks && record.RemoteLease.Recall {
		return
	}
	b.pendingReleases[id] = true
	b.updateJobRecord(kvstore.PriorityNormal, id, func(record *shard.JobRecord) bool {
		remoteLease := *record.RemoteLease
		remoteLease.Ending, remoteLease.Recall = remoteLease.Ending || stopTasks, true
		record.RemoteLease = &remoteLease
		return true
	}, func(ok bool) {
		delete(b.pendingReleases, id)
		if !ok {
			return
		}
		step := StepRecalled
		if stopTasks {
			step = StepEnded
		}
		b.recordEvent(id, step, "")
		b.controller.AnnounceChange(id)
	})
}
