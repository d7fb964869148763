// Package intake answers users: submissions, polls and aborts. Any
// controller answers any user; what it may say is decided by the ledger.
package userapi

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// Host is what intake needs of its controller.
type Host interface {
	Store() *kvstore.Store
	Settings() *settings.Settings
	WallSeconds() float64
	MachineTypes() map[string]*protocol.MachineType
	Job(id string) *shard.JobRecord
	JobProgress(id string) (done, running int, started bool)
	// PlanShards asks the leader for the job's parts.
	PlanShards(j *protocol.Job, done func(rank, chunk int, parts []int))
	// AnnounceChange tells the owners of a job's parts that its record changed.
	AnnounceChange(id string)
	// AnnounceCancelled tells them that its cancellation is stored, and with which other job it
	// was cancelled, if any.
	AnnounceCancelled(id, cause string)
	// IsReserved: no user may use such an id.
	IsReserved(id string) bool
	// RemoteTasks says which of the job's tasks are at partner clusters.
	RemoteTasks(id string) []protocol.RemoteTasks
	// Dependencies says which jobs wait for which.
	Dependencies() *dependency.Graph
	// SupportsDependencies: every controller that is heard understands jobs that need others.
	SupportsDependencies() bool
}

// Reply answers one request; retry is the Retry-After in seconds, 0: none.
type Reply func(status int, body any, retry int)

// Service belongs to the owner's loop.
type Service struct {
	host                       Host
	env                        env.Environment
	finished                   *shard.FinalCache
	cancellations              []cancellation
	cancellationsCompleteSince time.Duration // the log is complete from then on

	pendingLookups []*lookup
	isComparing    bool
	latencies      SubmissionLatencies
}

// Latencies of the submissions accepted so far.
func (in *Service) Latencies() *SubmissionLatencies { return &in.latencies }

type lookup struct {
	job           string
	attempts      int
	onLive        func()                    // live, by a proven cache
	onFinished    func(f shard.FinalRecord) // ended
	onUnknown     func()                    // proven never accepted
	onUnavailable func()                    // no proof
}

// finishedJobsPerMB is how many ended jobs are kept in memory for each MB of it, about
// half a percent; the ledger has them all.
const finishedJobsPerMB = 20

// New makes an empty intake.
func New(h Host, w env.Environment) *Service {
	return &Service{host: h, env: w, finished: shard.NewFinalCache(int(finishedJobsPerMB * h.Settings().Deployment.Limits.RAM)), cancellationsCompleteSince: w.Now()}
}

// cancellation is a job of which this controller learned, at a time, that it is cancelled:
// before that it told nobody so.
type cancellation struct {
	job string
	at  time.Duration
}

// maxCancellations bounds the log; what is older than half of it is dropped.
const maxCancellations = 2048

// RecordFinished remembers a job's end, which the ledger has.
func (in *Service) RecordFinished(id string, f shard.FinalRecord) {
	if _, known := in.finished.Get(id); !known && f.Status == protocol.JobCancelled {
		if len(in.cancellations) >= maxCancellations {
			in.cancellationsCompleteSince = in.cancellations[maxCancellations/2-1].at + 1
			in.cancellations = append(in.cancellations[:0], in.cancellations[maxCancellations/2:]...)
		}
		in.cancellations = append(in.cancellations, cancellation{id, in.env.Now()})
	}
	in.finished.Add(id, f)
	in.host.Dependencies().RecordOutcome(id, dependencyOutcome(f.Status))
}

// CancelledSince lists the jobs that this controller may have said to be cancelled since a
// time, and not before; false: it cannot tell.
func (in *Service) CancelledSince(since time.Duration) (ids []string, ok bool) {
	if since < in.cancellationsCompleteSince {
		return nil, false
	}
	for _, x := range in.cancellations {
		if x.at >= since {
			ids = append(ids, x.job)
		}
	}
	return ids, true
}

// userPatienceSeconds is about how long users wait for an answer, in seconds.
const userPatienceSeconds = 5

// retryAfterSeconds is the Retry-After when the state service cannot be used.
const retryAfterSeconds = 1

func replyUnavailable(reply Reply, why string) {
	reply(503, &protocol.ErrorResponse{Error: why}, retryAfterSeconds)
}

func finishedState(id string, f shard.FinalRecord) *protocol.JobState {
	s := &protocol.JobState{ID: id, Status: f.Status, CancelledBy: f.CancelledWith}
	if f.Status == protocol.JobDone {
		zero := 0
		s.Done, s.Running = &f.Tasks, &zero
	}
	return s
}

// isLive tells whether the cache has the job. One whose record cannot be read is known
// all the same, and can be cancelled; its users would else get no answer for ever.
func (in *Service) isLive(id string) bool {
	_, ok := in.host.Store().Get(shard.JobKey(id))
	return ok || in.host.Job(id) != nil
}

func (in *Service) liveState(id string) *protocol.JobState {
	done, running, started := in.host.JobProgress(id)
	s := &protocol.JobState{ID: id, Status: protocol.JobPending, Done: &done, Running: &running}
	if started && running > 0 {
		s.Status = protocol.JobRunning
	}
	s.Remote, s.PendingDependencies = in.host.RemoteTasks(id), in.openDependencies(id)
	return s
}

// Submit handles POST /v2/runs; queued is how long the request waited for the
// owner's loop.
func (in *Service) Submit(body []byte, queued time.Duration, reply Reply) {
	var s protocol.Submission
	bad := ""
	var job *protocol.Job
	switch {
	case len(body) > protocol.MaxBodyBytes:
		bad = "too large"
	case !protocol.IsMap(body):
		bad = "not a map"
	default:
		if err := protocol.Decode(body, &s); err != nil {
			bad = "invalid field or not CBOR"
		} else if job, err = s.Validate(); err != nil {
			bad = err.Error()
		}
	}
	if bad != "" {
		// A repeat of an accepted id is 200 whatever else the body holds.
		var only struct {
			ID any `cbor:"id"`
		}
		id := ""
		if protocol.IsMap(body) && len(body) <= protocol.MaxBodyBytes && protocol.Decode(body, &only) == nil {
			id, _ = only.ID.(string)
		}
		if !protocol.ValidJobID(id) || in.host.IsReserved(id) {
			reply(400, &protocol.ErrorResponse{Error: bad}, 0)
			return
		}
		in.replyKnownOr(id, reply, func() { reply(400, &protocol.ErrorResponse{Error: bad}, 0) })
		return
	}
	if in.host.IsReserved(job.ID) {
		reply(400, &protocol.ErrorResponse{Error: "this id is reserved for borrowed jobs"}, 0)
		return
	}
	if f, ok := in.finished.Get(job.ID); ok {
		reply(200, finishedState(job.ID, f), 0)
		return
	}
	if in.host.Store().IsUnavailable() {
		replyUnavailable(reply, "state service not reachable")
		return
	}
	if in.host.Job(job.ID) != nil {
		in.replyKnownOr(job.ID, reply, func() { replyUnavailable(reply, "try again") })
		return
	}
	if len(in.host.MachineTypes()) == 0 {
		replyUnavailable(reply, "machine types not known yet")
		return
	}
	if why := in.whyUnschedulable(job); why != "" {
		in.replyKnownOr(job.ID, reply, func() { reply(422, &protocol.ErrorResponse{Error: why}, 0) })
		return
	}
	// What would wait for longer than a user does is refused at once.
	if float64(in.host.Store().QueuedWrites()) > userPatienceSeconds*in.host.Settings().Deployment.State.WriteRPS {
		reply(429, &protocol.ErrorResponse{Error: "overloaded"}, 2*retryAfterSeconds)
		return
	}
	st := submissionTiming{queued: queued, receivedAt: in.env.Now()}
	if len(job.Dependencies) > 0 {
		in.submitDependent(job, st, reply)
		return
	}
	in.placeAndStore(job, st, reply)
}

// placeAndStore has the leader choose parts for a job and stores it.
func (in *Service) placeAndStore(job *protocol.Job, st submissionTiming, reply Reply) {
	at := in.host.WallSeconds()
	in.host.PlanShards(job, func(rank, chunk int, parts []int) {
		st.placedAt = in.env.Now()
		single := job.Tasks == 1 && job.Shape == protocol.ShapeArray && in.host.Store().HasBacklog(in.host.Settings().Dispatch.Anywhere)
		in.storeJob(&st, &shard.JobRecord{Job: *job, AcceptedAt: at, Rank: rank, ChunkSize: chunk, ChunkShards: parts, Anywhere: single}, reply)
	})
}

// replyKnownOr answers with the state of a known job, and otherwise as told.
func (in *Service) replyKnownOr(id string, reply Reply, never func()) {
	in.lookUp(id, &lookup{job: id,
		onLive:        func() { reply(200, in.liveState(id), 0) },
		onFinished:    func(f shard.FinalRecord) { reply(200, finishedState(id, f), 0) },
		onUnknown:     never,
		onUnavailable: func() { replyUnavailable(reply, "state service not reachable") },
	})
}

// whyUnschedulable says why a job can never run.
func (in *Service) whyUnschedulable(j *protocol.Job) string {
	t := in.host.Settings().Team(j.Team)
	if t == nil {
		return "unknown team"
	}
	n := 1.0
	if j.Shape != protocol.ShapeArray {
		n = float64(j.Tasks)
	}
	const eps = 1e-9
	if t.CoresMax > 0 && n*j.Cores > t.CoresMax+eps || t.GPUsMax > 0 && n*j.GPUs > t.GPUsMax+eps {
		return "needs more than the team's limit"
	}
	zones := map[string]bool{}
	for _, mt := range in.host.MachineTypes() {
		for _, z := range mt.Zones {
			if shard.CanRunOn(j, mt, z, false) {
				zones[z] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case j.Shape == protocol.ShapeGang && j.SpreadZones && j.Tasks > 1 && (j.SingleZone || len(zones) < 2):
		return "all of it in one zone, which apart rules out"
	}
	return ""
}

func (in *Service) storeJob(st *submissionTiming, rec *shard.JobRecord, reply Reply) {
	id := rec.Job.ID
	l := in.host.Store()
	answered := false
	if len(protocol.Encode(rec)) > in.host.Settings().MostRecord() {
		in.replyKnownOr(id, reply, func() { reply(400, &protocol.ErrorResponse{Error: "fields too long"}, 0) })
		return
	}
	once := func(status int, body any, retry int) {
		if !answered {
			answered = true
			reply(status, body, retry)
		}
	}
	// Users wait 5 s; an answer without a result comes well before.
	in.env.After(3*time.Second, func() { once(503, &protocol.ErrorResponse{Error: "state service slow"}, retryAfterSeconds) })
	l.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if answered {
				return nil, nil
			}
			rec.Nonce = nonce
			st.sentAt = in.env.Now()
			return []protocol.Condition{{Key: shard.JobKey(id)}, {Key: shard.FinalKey(id)}},
				[]protocol.Mutation{{Put: shard.JobKey(id), Value: protocol.Encode(rec)}}
		},
		Done: func(ok bool, _ uint64) {
			if _, over := in.finished.Get(id); ok && !over && in.isLive(id) { // else the answer came late
				slog.Debug("intake: accepted", "job", id, "rank", rec.Rank, "parts", rec.ChunkShards)
				in.host.AnnounceChange(id)
				in.latencies.record(*st, in.env.Now())
				status := protocol.JobPending
				if in.host.Dependencies().IsCancelled(id) {
					status = protocol.JobCancelled
				}
				once(201, &protocol.JobState{ID: id, Status: status}, 0)
				return
			}
			if !answered {
				in.replyKnownOr(id, once, func() { replyUnavailable(once, "try again") })
			}
		},
		ShouldAbandon: func() bool {
			once(503, &protocol.ErrorResponse{Error: "state service not reachable"}, retryAfterSeconds)
			return true
		},
	})
}

// Status handles GET /v2/runs/{id}.
func (in *Service) Status(id string, reply Reply) {
	if !protocol.ValidJobID(id) || in.host.IsReserved(id) {
		reply(404, &protocol.ErrorResponse{Error: "no such job"}, 0)
		return
	}
	in.lookUp(id, &lookup{job: id,
		onLive:        func() { reply(200, in.liveState(id), 0) },
		onFinished:    func(f shard.FinalRecord) { reply(200, finishedState(id, f), 0) },
		onUnknown:     func() { reply(404, &protocol.ErrorResponse{Error: "no such job"}, 0) },
		onUnavailable: func() { replyUnavailable(reply, "state service not reachable") },
	})
}

// Cancel handles POST /v2/runs/{id}/abort.
func (in *Service) Cancel(id string, reply Reply) {
	if !protocol.ValidJobID(id) || in.host.IsReserved(id) {
		reply(404, &protocol.ErrorResponse{Error: "no such job"}, 0)
		return
	}
	in.cancel(id, reply, 0)
}

func (in *Service) cancel(id string, reply Reply, tries int) {
	in.lookUp(id, &lookup{job: id,
		onLive:        func() { in.cancelLive(id, reply, tries) },
		onFinished:    func(f shard.FinalRecord) { reply(200, &protocol.JobState{ID: id, Status: f.Status}, 0) },
		onUnknown:     func() { reply(404, &protocol.ErrorResponse{Error: "no such job"}, 0) },
		onUnavailable: func() { replyUnavailable(reply, "state service not reachable") },
	})
}

// cancelLive makes the abort durable: the final record stands and the live one
// is gone, so nobody can start or finish the job afterwards.
func (in *Service) cancelLive(id string, reply Reply, tries int) {
	if !in.isLive(id) || tries > 5 {
		replyUnavailable(reply, "try again")
		return
	}
	answered := false
	once := func(status int, body any, retry int) {
		if !answered {
			answered = true
			reply(status, body, retry)
		}
	}
	in.env.After(3*time.Second, func() { once(503, &protocol.ErrorResponse{Error: "state service slow"}, retryAfterSeconds) })
	in.storeCancellation(id, "", func(ok bool) {
		if ok {
			once(200, &protocol.JobState{ID: id, Status: protocol.JobCancelled}, 0)
			return
		}
		if !answered { // moved, or over, meanwhile
			in.cancel(id, once, tries+1)
		}
	}, func() bool {
		once(503, &protocol.ErrorResponse{Error: "state service not reachable"}, retryAfterSeconds)
		return true
	})
}

// storeCancellation stores that a job is cancelled, by its user or, if cause is not empty,
// with another. refused: see ledger.Write.
func (in *Service) storeCancellation(id, cause string, done func(ok bool), refused func() bool) {
	l, tasks := in.host.Store(), in.taskCount(id)
	var f shard.FinalRecord
	l.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			c := l.UnchangedCondition(shard.JobKey(id))
			if c.Revision == 0 {
				return nil, nil
			}
			f = shard.FinalRecord{Nonce: nonce, Status: protocol.JobCancelled, Tasks: tasks, EndedAt: in.host.WallSeconds(), CancelledWith: cause}
			return []protocol.Condition{c, {Key: shard.FinalKey(id)}},
				[]protocol.Mutation{{Put: shard.FinalKey(id), Value: protocol.Encode(&f)}, {Delete: shard.JobKey(id)}}
		},
		Done: func(ok bool, _ uint64) {
			if ok {
				slog.Info("intake: withdrawn", "job", id)
				in.RecordFinished(id, f)
				in.host.AnnounceCancelled(id, cause)
			}
			done(ok)
		},
		ShouldAbandon: refused,
	})
}

// lookUp settles what is known of a job; anything but an end needs proof.
func (in *Service) lookUp(id string, k *lookup) {
	if f, ok := in.finished.Get(id); ok {
		k.onFinished(f)
		return
	}
	if in.host.Store().IsUnavailable() {
		k.onUnavailable()
		return
	}
	if !in.isLive(id) {
		in.enqueueLookup(k)
		return
	}
	in.host.Store().Sync(func(ok bool) {
		switch f, over := in.finished.Get(id); {
		case over:
			k.onFinished(f)
		case !ok:
			k.onUnavailable()
		case in.isLive(id):
			in.resolveLive(k)
		default:
			in.enqueueLookup(k)
		}
	})
}

// enqueueLookup asks the state service about a job that the cache does not have; one
// comparison serves all that wait.
func (in *Service) enqueueLookup(k *lookup) {
	// Each question holds a connection; half of them are for users.
	if in.host.Store().IsUnavailable() || len(in.pendingLookups) > in.host.Settings().Deployment.Limits.Sockets/2 {
		k.onUnavailable()
		return
	}
	in.pendingLookups = append(in.pendingLookups, k)
	in.compareNextBatch()
}

func (in *Service) compareNextBatch() {
	if in.isComparing || len(in.pendingLookups) == 0 {
		return
	}
	in.isComparing = true
	s := &in.host.Settings().Deployment.State
	// Waiting a little lets one request serve many.
	in.env.After(time.Duration(float64(len(in.host.Settings().Names()))/s.RPS*float64(time.Second)), func() {
		n := min(len(in.pendingLookups), 2*s.TxnOps)
		batch := in.pendingLookups[:n:n]
		in.pendingLookups = in.pendingLookups[n:]
		var when []protocol.Condition
		seen := map[string]bool{}
		for _, k := range batch {
			if !seen[k.job] {
				seen[k.job] = true
				when = append(when, protocol.Condition{Key: shard.JobKey(k.job)}, protocol.Condition{Key: shard.FinalKey(k.job)})
			}
		}
		in.host.Store().CheckConditions(when, func(err error) {
			in.isComparing = false
			switch {
			case err == nil: // neither live nor ended, all at one moment
				for _, k := range batch {
					k.onUnknown()
				}
			case errors.Is(err, kvstore.ErrConflict):
				for _, k := range batch {
					in.resolveAfterMismatch(k)
				}
			default:
				for _, k := range batch {
					k.onUnavailable()
				}
			}
			in.compareNextBatch()
		})
	})
}

// resolveAfterMismatch: at least one of a batch is known. The ended are read; the rest are
// looked for in a proven cache, and compared again if they are not there.
func (in *Service) resolveAfterMismatch(k *lookup) {
	in.readOutcome(k.job, func(final shard.FinalRecord, err error) {
		switch {
		case err == nil:
			k.onFinished(final)
		case errors.Is(err, kvstore.ErrNotFound):
			in.host.Store().Sync(func(ok bool) {
				switch {
				case !ok || k.attempts > 3:
					k.onUnavailable()
				case in.isLive(k.job):
					in.resolveLive(k)
				default:
					k.attempts++
					in.enqueueLookup(k)
				}
			})
		default:
			k.onUnavailable()
		}
	})
}

// readOutcome reads a job's end, and remembers it. err is kvstore.ErrNotFound if the job
// has not ended, or any other if that is not known.
func (in *Service) readOutcome(id string, done func(final shard.FinalRecord, err error)) {
	in.host.Store().Fetch(shard.FinalKey(id), func(entry kvstore.Entry, err error) {
		var final shard.FinalRecord
		if err == nil {
			err = protocol.Decode(entry.Value, &final)
		}
		if err == nil {
			in.RecordFinished(id, final)
		}
		done(final, err)
	})
}

// String says in one line how much is remembered and how many look-ups wait.
func (in *Service) String() string {
	return fmt.Sprintf("%d ended jobs in memory, %d look-ups wait", in.finished.Len(), len(in.pendingLookups))
}
