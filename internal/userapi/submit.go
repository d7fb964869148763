package userapi

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/httpreply"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// Errors for a malformed submission. Their texts are sent to users.
var (
	errTooLarge      = errors.New("too large")
	errNotMap        = errors.New("not a map")
	errInvalidField  = errors.New("invalid field or not CBOR")
	errFieldsTooLong = errors.New("fields too long")
	errReservedID    = errors.New("this id is reserved for borrowed jobs")
)

// Errors for a job that can never run. Their texts are sent to users.
var (
	errUnknownTeam       = errors.New("unknown team")
	errOverTeamLimit     = errors.New("needs more than the team's limit")
	errNoMachineType     = errors.New("fits no allowed machine type")
	errSpreadInOneZone   = errors.New("all of it in one zone, which apart rules out")
	errDependsOnItself   = errors.New("it needs itself")
	errDependsOnService  = errors.New("it needs a service")
	errUnknownDependency = errors.New("it needs a job that was never accepted")
)

// Submit handles POST /v2/runs. queued is the time that the request spent waiting for the event
// loop.
func (s *Service) Submit(body []byte, queued time.Duration, reply Reply) {
	job, err := parseSubmission(body)
	if err != nil {
		s.rejectMalformed(body, err, reply)
		return
	}
	if s.controller.IsReservedJobID(job.ID) {
		httpreply.Reject(reply, http.StatusBadRequest, errReservedID.Error())
		return
	}
	if outcome, ok := s.finished.Get(job.ID); ok {
		reply(http.StatusOK, finishedState(job.ID, outcome), 0)
		return
	}
	if s.controller.Store().IsUnavailable() {
		httpreply.Unavailable(reply, httpreply.ReasonStoreUnreachable)
		return
	}
	if s.controller.Job(job.ID) != nil {
		s.replyStateOr(job.ID, reply, func() { httpreply.Unavailable(reply, httpreply.ReasonConflict) })
		return
	}
	if len(s.controller.MachineTypes()) == 0 {
		httpreply.Unavailable(reply, reasonNoCatalog)
		return
	}
	if err := s.checkSchedulable(job); err != nil {
		s.rejectUnlessKnown(job.ID, http.StatusUnprocessableEntity, err, reply)
		return
	}
	if s.isOverloaded() {
		reply(http.StatusTooManyRequests, &protocol.ErrorResponse{Error: "overloaded"}, overloadRetryAfterSeconds)
		return
	}
	timing := submissionTiming{queued: queued, receivedAt: s.env.Now()}
	if len(job.Dependencies) > 0 {
		s.submitDependent(job, timing, reply)
		return
	}
	s.placeAndStore(job, timing, reply)
}

// parseSubmission decodes and validates the job in the body of a request.
func parseSubmission(body []byte) (*protocol.Job, error) {
	if len(body) > protocol.MaxBodyBytes {
		return nil, errTooLarge
	}
	if !protocol.IsMap(body) {
		return nil, errNotMap
	}
	var submission protocol.Submission
	if protocol.Decode(body, &submission) != nil {
		return nil, errInvalidField
	}
	return submission.Validate()
}

// rejectMalformed rejects a submission that cannot be parsed. If its ID is that of an accepted job,
// it replies with the state of that job instead, whatever else the body contains.
func (s *Service) rejectMalformed(body []byte, err error, reply Reply) {
	job := parseSubmissionID(body)
	if !protocol.ValidJobID(job) || s.controller.IsReservedJobID(job) {
		httpreply.Reject(reply, http.StatusBadRequest, err.Error())
		return
	}
	s.rejectUnlessKnown(job, http.StatusBadRequest, err, reply)
}

// parseSubmissionID decodes only the ID of a submission. It returns "" if there is none.
func parseSubmissionID(body []byte) string {
	var submission struct {
		ID any `cbor:"id"`
	}
	if len(body) > protocol.MaxBodyBytes || !protocol.IsMap(body) || protocol.Decode(body, &submission) != nil {
		return ""
	}
	id, _ := submission.ID.(string)
	return id
}

// rejectUnlessKnown replies with an error, or with the job's state if it was accepted earlier.
func (s *Service) rejectUnlessKnown(job string, status int, err error, reply Reply) {
	s.replyStateOr(job, reply, func() { httpreply.Reject(reply, status, err.Error()) })
}

// isOverloaded reports whether a new write would stay queued for longer than users wait for a
// response.
func (s *Service) isOverloaded() bool {
	return float64(s.controller.Store().QueuedWrites()) > userTimeoutSeconds*s.controller.Settings().Deployment.State.WriteRPS
}

// limitTolerance compensates for rounding errors when demand is compared with a limit.
const limitTolerance = 1e-9

// checkSchedulable returns an error if the job can never run.
func (s *Service) checkSchedulable(job *protocol.Job) error {
	team := s.controller.Settings().Team(job.Team)
	if team == nil {
		return errUnknownTeam
	}
	concurrentTasks := 1.0 // number of tasks that must run at the same time
	if job.Shape != protocol.ShapeArray {
		concurrentTasks = float64(job.Tasks)
	}
	if team.CoresMax > 0 && concurrentTasks*job.Cores > team.CoresMax+limitTolerance ||
		team.GPUsMax > 0 && concurrentTasks*job.GPUs > team.GPUsMax+limitTolerance {
		return errOverTeamLimit
	}
	zones := map[string]bool{}
	for _, machineType := range s.controller.MachineTypes() {
		for _, zone := range machineType.Zones {
			if shard.CanRunOn(job, machineType, zone, false) {
				zones[zone] = true
			}
		}
	}
	if len(zones) == 0 {
		return errNoMachineType
	}
	isSpread := job.Shape == protocol.ShapeGang && job.SpreadZones && job.Tasks > 1
	if isSpread && (job.SingleZone || len(zones) < 2) {
		return errSpreadInOneZone
	}
	return nil
}

// placeAndStore asks the leader to choose the shards of a job, and then stores the job.
func (s *Service) placeAndStore(job *protocol.Job, timing submissionTiming, reply Reply) {
	acceptedAt := s.controller.WallSeconds()
	s.controller.PlanShards(job, func(placement dispatch.Placement) {
		timing.placedAt = s.env.Now()
		record := &shard.JobRecord{
			Job:         *job,
			AcceptedAt:  acceptedAt,
			Rank:        placement.Rank,
			ChunkSize:   placement.ChunkSize,
			ChunkShards: placement.Shards,
		}
		record.Anywhere = job.Tasks == 1 && job.Shape == protocol.ShapeArray &&
			s.controller.Store().HasBacklog(s.controller.Settings().Dispatch.Anywhere)
		s.storeJob(&timing, record, reply)
	})
}

// storeJob writes a job's record on the condition that the job was never accepted. It replies to
// the user once the record is durable.
func (s *Service) storeJob(timing *submissionTiming, record *shard.JobRecord, reply Reply) {
	job := record.Job.ID
	if len(protocol.Encode(record)) > s.controller.Settings().MaxRecordBytes() {
		s.rejectUnlessKnown(job, http.StatusBadRequest, errFieldsTooLong, reply)
		return
	}
	single := s.newSingleReply(reply)
	s.controller.Store().Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if single.answered {
				return nil, nil
			}
			record.Nonce = nonce
			timing.sentAt = s.env.Now()
			conditions := []protocol.Condition{{Key: shard.JobKey(job)}, {Key: shard.FinalKey(job)}}
			return conditions, []protocol.Mutation{{Put: shard.JobKey(job), Value: protocol.Encode(record)}}
		},
		Done:          func(ok bool, _ uint64) { s.finishSubmission(ok, timing, record, single) },
		ShouldAbandon: single.failUnavailable,
	})
}

// finishSubmission replies to a submission once it is known whether its write was applied.
func (s *Service) finishSubmission(applied bool, timing *submissionTiming, record *shard.JobRecord, single *singleReply) {
	job := record.Job.ID
	// If the store's response arrived late, the job may already have finished.
	if _, finished := s.finished.Get(job); !applied || finished || !s.isLive(job) {
		if !single.answered {
			s.replyStateOr(job, single.send, func() { httpreply.Unavailable(single.send, httpreply.ReasonConflict) })
		}
		return
	}
	slog.Debug("userapi: job accepted", "job", job, "rank", record.Rank, "shards", record.ChunkShards)
	s.controller.AnnounceChange(job)
	s.latencies.record(*timing, s.env.Now())
	status := protocol.JobPending
	if s.controller.Dependencies().IsCancelled(job) {
		status = protocol.JobCancelled
	}
	single.send(http.StatusCreated, &protocol.JobState{ID: job, Status: status}, 0)
}
