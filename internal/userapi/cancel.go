package userapi

import (
	"log/slog"
	"net/http"

	"curlewspool/internal/httpreply"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// maxCancelAttempts limits how often a cancellation is retried. A retry is needed when the job's
// record changed between the lookup and the write.
const maxCancelAttempts = 5

// Cancel handles POST /v2/runs/{id}/abort.
func (s *Service) Cancel(job string, reply Reply) {
	if !protocol.ValidJobID(job) || s.controller.IsReservedJobID(job) {
		replyNoSuchJob(reply)
		return
	}
	s.cancel(job, reply, 0)
}

// cancel looks the job up, and cancels the job if it is live. attempts counts the retries so far.
func (s *Service) cancel(job string, reply Reply, attempts int) {
	s.find(job, func(result lookupResult) {
		switch result.state {
		case jobLive:
			s.cancelLive(job, reply, attempts)
		case jobFinished:
			reply(http.StatusOK, &protocol.JobState{ID: job, Status: result.outcome.Status}, 0)
		case jobUnknown:
			replyNoSuchJob(reply)
		case jobUnavailable:
			httpreply.Unavailable(reply, httpreply.ReasonStoreUnreachable)
		}
	})
}

// cancelLive stores the cancellation durably before it replies to the user. One transaction
// writes the outcome and deletes the live record, so no controller can start or finish the job
// afterwards.
func (s *Service) cancelLive(job string, reply Reply, attempts int) {
	if !s.isLive(job) || attempts > maxCancelAttempts {
		httpreply.Unavailable(reply, httpreply.ReasonConflict)
		return
	}
	single := s.newSingleReply(reply)
	done := func(ok bool) {
		if ok {
			single.send(http.StatusOK, &protocol.JobState{ID: job, Status: protocol.JobCancelled}, 0)
			return
		}
		if !single.answered { // the record changed or the job finished before the write
			s.cancel(job, single.send, attempts+1)
		}
	}
	s.storeCancellation(job, "", done, single.failUnavailable)
}

// storeCancellation stores that a job is cancelled. If cause is empty, the user has cancelled the job.
// Otherwise cause is the dependency whose cancellation also cancels the job. shouldAbandon becomes
// kvstore.WriteRequest.ShouldAbandon.
func (s *Service) storeCancellation(job, cause string, done func(ok bool), shouldAbandon func() bool) {
	store, tasks := s.controller.Store(), s.taskCount(job)
	var outcome shard.FinalRecord
	store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			current := store.UnchangedCondition(shard.JobKey(job))
			if current.Revision == 0 {
				return nil, nil
			}
			outcome = shard.FinalRecord{
				Nonce:         nonce,
				Status:        protocol.JobCancelled,
				Tasks:         tasks,
				FinishedAt:    s.controller.WallSeconds(),
				CancelledWith: cause,
			}
			conditions := []protocol.Condition{current, {Key: shard.FinalKey(job)}}
			return conditions, []protocol.Mutation{
				{Put: shard.FinalKey(job), Value: protocol.Encode(&outcome)},
				{Delete: shard.JobKey(job)},
			}
		},
		Done: func(ok bool, _ uint64) {
			if ok {
				slog.Info("userapi: job cancelled", "job", job, "cause", cause)
				s.RecordFinished(job, outcome)
				s.controller.AnnounceCancelled(job, cause)
			}
			done(ok)
		},
		ShouldAbandon: shouldAbandon,
	})
}
