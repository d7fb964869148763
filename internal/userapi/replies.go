package userapi

import (
	"net/http"
	"time"

	"curlewspool/internal/httpreply"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// Reply sends the response to one request of a user.
type Reply = httpreply.Func

const (
	// userTimeoutSeconds is approximately how long users wait for a response.
	userTimeoutSeconds = 5
	// replyTimeout is the time after which a request without a result gets an error response. It is
	// well below userTimeoutSeconds, so that the user still receives the response.
	replyTimeout = 3 * time.Second

	// overloadRetryAfterSeconds is the Retry-After of a response that refuses a submission because
	// too many writes are queued.
	overloadRetryAfterSeconds = 2 * httpreply.RetryAfterSeconds
)

// Reasons for an error response that asks the user to retry later. They are sent to users.
const (
	reasonStoreSlow     = "state service slow"
	reasonNoCatalog     = "machine types not known yet"
	reasonOldController = "a controller of the version before is up"
)

// replyNoSuchJob replies that the requested job was never accepted.
func replyNoSuchJob(reply Reply) { httpreply.Reject(reply, http.StatusNotFound, "no such job") }

// singleReply sends the first response to a request and drops later ones.
type singleReply struct {
	reply    Reply
	answered bool
}

// newSingleReply returns a singleReply that sends an error response after replyTimeout, unless
// another response was sent before.
func (s *Service) newSingleReply(reply Reply) *singleReply {
	single := &singleReply{reply: reply}
	s.env.After(replyTimeout, func() { httpreply.Unavailable(single.send, reasonStoreSlow) })
	return single
}

// send sends a response, unless another response was sent before. It has the signature of Reply.
func (r *singleReply) send(status int, body any, retryAfter int) {
	if !r.answered {
		r.answered = true
		r.reply(status, body, retryAfter)
	}
}

// failUnavailable replies that the store is unreachable. It serves as kvstore.WriteRequest.ShouldAbandon,
// and returns true so that the pending write is abandoned.
func (r *singleReply) failUnavailable() (shouldAbandon bool) {
	httpreply.Unavailable(r.send, httpreply.ReasonStoreUnreachable)
	return true
}

// finishedState returns the response body for a finished job.
func finishedState(job string, outcome shard.FinalRecord) *protocol.JobState {
	state := &protocol.JobState{ID: job, Status: outcome.Status, CancelledBy: outcome.CancelledWith}
	if outcome.Status == protocol.JobDone {
		running := 0
		state.Done, state.Running = &outcome.Tasks, &running
	}
	return state
}

// liveState returns the response body for a live job.
func (s *Service) liveState(job string) *protocol.JobState {
	counts := s.controller.JobProgress(job)
	state := &protocol.JobState{ID: job, Status: protocol.JobPending, Done: &counts.Done, Running: &counts.Running}
	if counts.Started && counts.Running > 0 {
		state.Status = protocol.JobRunning
	}
	state.Remote = s.controller.RemoteTasks(job)
	state.PendingDependencies = s.pendingDependencies(job)
	return state
}

// replyStateOr replies with the state of a job, or calls onUnknown if the job was never accepted.
func (s *Service) replyStateOr(job string, reply Reply, onUnknown func()) {
	s.find(job, func(result lookupResult) {
		switch result.state {
		case jobLive:
			reply(http.StatusOK, s.liveState(job), 0)
		case jobFinished:
			reply(http.StatusOK, finishedState(job, result.outcome), 0)
		case jobUnknown:
			onUnknown()
		case jobUnavailable:
			httpreply.Unavailable(reply, httpreply.ReasonStoreUnreachable)
		}
	})
}

// Status handles GET /v2/runs/{id}.
func (s *Service) Status(job string, reply Reply) {
	if !protocol.ValidJobID(job) || s.controller.IsReservedJobID(job) {
		replyNoSuchJob(reply)
		return
	}
	s.replyStateOr(job, reply, func() { replyNoSuchJob(reply) })
}
